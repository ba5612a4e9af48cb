/**
 * Reads HTTP responses from the bytes of a caller's connection. Unlike Node's client it keeps what follows a response,
 * and takes the end of the connection for the end of a body without a length only if the connection was not reset.
 */
import { connect } from 'node:net'

export interface RawAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

interface Parsed {
  readonly answer: RawAnswer
  readonly length: number
}

/** The body in chunks that begins at `from`, and where it ends; undefined if it has not arrived completely. */
const readChunks = (
  text: string,
  from: number,
): { readonly body: string; readonly end: number } | undefined => {
  let body = ''
  let at = from
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at)
    if (lineEnd < 0) return undefined
    const size = Number.parseInt(text.slice(at, lineEnd), 16)
    const end = lineEnd + 2 + size + 2
    if (!(size >= 0) || text.length < end) return undefined
    body += text.slice(lineEnd + 2, end - 2)
    at = end
    if (size === 0) return { body, end }
  }
}

const readAnswer = (text: string, isEnded: boolean): Parsed | undefined => {
  const headEnd = text.indexOf('\r\n\r\n')
  const [line = '', ...fields] = text.slice(0, headEnd).split('\r\n')
  const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(line)?.[1])
  if (headEnd < 0 || Number.isNaN(status)) return undefined
  const headers = Object.fromEntries(
    fields.map((field) => {
      const colon = field.indexOf(':')
      return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()]
    }),
  )
  const from = headEnd + 4
  const parsed = (body: string, length: number): Parsed => ({ answer: { status, headers, body }, length })
  if (headers['transfer-encoding'] !== undefined) {
    const chunks = readChunks(text, from)
    return chunks === undefined ? undefined : parsed(chunks.body, chunks.end)
  }
  if (headers['content-length'] === undefined) {
    return isEnded ? parsed(text.slice(from), text.length) : undefined
  }
  const end = from + Number(headers['content-length'])
  return text.length < end ? undefined : parsed(text.slice(from, end), end)
}

export interface ReadAnswers {
  /** The complete responses, in their order. */
  readonly answers: readonly RawAnswer[]
  /** What follows them. */
  readonly rest: string
}

/** Reads at most `most` responses. `isEnded`: the connection has ended, and was not reset. */
export const readAnswers = (text: string, most: number, isEnded: boolean): ReadAnswers => {
  const answers: RawAnswer[] = []
  let rest = text
  while (answers.length < most && rest !== '') {
    const parsed = readAnswer(rest, isEnded)
    if (parsed === undefined) break
    answers.push(parsed.answer)
    rest = rest.slice(parsed.length)
  }
  return { answers, rest }
}

export interface RawExchangeOptions {
  readonly port: number
  /** The requests' bytes, which are written at once. */
  readonly requests: readonly string[]
  readonly timeoutMs: number
  /** Time after the last response in which the connection must stay silent. */
  readonly silenceMs: number
}

/** Writes requests to a new connection and reads the responses, until all have arrived or the connection ends. */
export const exchangeRaw = ({
  port,
  requests,
  timeoutMs,
  silenceMs,
}: RawExchangeOptions): Promise<ReadAnswers> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = []
    const read = (isEnded: boolean): ReadAnswers =>
      readAnswers(Buffer.concat(chunks).toString('latin1'), requests.length, isEnded)
    let settled = false
    let isEnded = false
    const settle = (): void => {
      if (settled) return
      settled = true
      clearTimeout(timer)
      socket.destroy()
      resolve(read(isEnded))
    }
    const timer = setTimeout(settle, timeoutMs)
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(requests.join(''))
    })
    socket.on('data', (chunk) => {
      chunks.push(chunk)
      if (read(false).answers.length === requests.length) setTimeout(settle, silenceMs)
    })
    socket.on('end', () => {
      // Node reports an end for some reset connections; such a one has no remote port any more.
      isEnded = socket.remotePort !== undefined
    })
    socket.on('error', () => {
      isEnded = false
    })
    socket.on('close', settle)
  })
