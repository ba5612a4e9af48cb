/** Header fields of messages that the router forwards, as flat lists in which names and values alternate. */
import type { IncomingMessage } from 'node:http'

/** Fields that apply to a single connection only and are never forwarded. */
const hopByHop = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
])

/** The field names that the sender lists in its `connection` fields and thereby marks as hop-by-hop. */
const namedByConnection = (connection: string | undefined): Set<string> | undefined => {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return undefined
  const names = new Set(connection.split(',').map((token) => token.trim().toLowerCase()))
  // The message could not be framed or routed without these, so a sender cannot have them removed.
  for (const name of ['content-length', 'host']) names.delete(name)
  return names
}

export interface EndToEndHeadersOptions {
  readonly dropContentLength: boolean
  /** Names of further fields to drop, in lower case. */
  readonly alsoDrop?: ReadonlySet<string>
}

/** The fields to forward: all but hop-by-hop ones and those whose name starts with `pimentotally`. */
export const endToEndHeaders = (
  { rawHeaders: raw, headers }: IncomingMessage,
  { dropContentLength, alsoDrop }: EndToEndHeadersOptions,
): string[] => {
  const named = namedByConnection(headers.connection)
  const kept: string[] = []
  for (let index = 0; index < raw.length; index += 2) {
    const original = raw[index] ?? ''
    const name = original.toLowerCase()
    if (hopByHop.has(name) || name.startsWith('pimentotally')) continue
    if (dropContentLength && name === 'content-length') continue
    if (named?.has(name) === true || alsoDrop?.has(name) === true) continue
    kept.push(original, raw[index + 1] ?? '')
  }
  return kept
}

/** How many fields have the given name, which must be in lower case. */
export const countHeader = (raw: readonly string[], name: string): number => {
  let count = 0
  for (let index = 0; index < raw.length; index += 2) if (raw[index]?.toLowerCase() === name) count += 1
  return count
}
