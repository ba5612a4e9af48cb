/** Header fields on their way through the router, as flat lists of name and value in turn. */
import type { IncomingMessage } from 'node:http'

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

/** The fields that the sender calls hop-by-hop, from its joined `connection` fields. */
const namedByConnection = (connection: string | undefined): Set<string> | undefined => {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return undefined
  const names = new Set(connection.split(',').map((token) => token.trim().toLowerCase()))
  // A sender must not be able to have a framing field or the host removed.
  for (const name of ['content-length', 'host']) names.delete(name)
  return names
}

export interface EndToEndHeadersOptions {
  readonly dropContentLength: boolean
  /** Further fields to drop, in lower case. */
  readonly alsoDrop?: ReadonlySet<string>
}

/** Drops hop-by-hop fields and everything that starts with `pimentotally`. */
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

/** The number of fields of that name; `name` is in lower case. */
export const countHeader = (raw: readonly string[], name: string): number => {
  let count = 0
  for (let index = 0; index < raw.length; index += 2) if (raw[index]?.toLowerCase() === name) count += 1
  return count
}
