/** One request as a caller makes it, and what the caller saw. */
import { request, type Agent } from 'node:http'
import { performance } from 'node:perf_hooks'

export interface CallerRequest {
  /** IP address and port of a host's callers' listener. */
  readonly address: string
  readonly path: string
  readonly method?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly agent?: Agent
  readonly timeoutMs?: number
}

export type CallResult =
  /** A whole answer that a target made. */
  | { readonly kind: 'answer'; readonly status: number; readonly body: Buffer }
  /** Made by the router. */
  | {
      readonly kind: 'notRun' | 'unknown'
      readonly status: number
      readonly code: string
      readonly message: string
    }
  /** No connection, so nothing was sent. */
  | { readonly kind: 'unreachable' }
  /** The connection ended before the answer was whole, or no answer came in time. */
  | { readonly kind: 'cut'; readonly reason: string }

/** Resolves to what was seen; never rejects. */
export const callHost = ({
  address,
  path,
  method = 'GET',
  headers = {},
  body,
  agent,
  timeoutMs = 15_000,
}: CallerRequest): Promise<CallResult> =>
  new Promise((resolve) => {
    const timer = setTimeout(() => {
      resolve({ kind: 'cut', reason: 'timeout' })
      call.destroy()
    }, timeoutMs)
    const settle = (seen: CallResult): void => {
      clearTimeout(timer)
      resolve(seen)
    }
    const cut = (error: NodeJS.ErrnoException): void => {
      settle({ kind: 'cut', reason: error.code ?? error.message })
    }
    const call = request(`http://${address}${path}`, { method, headers, agent }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', cut)
      response.on('end', () => {
        if (!response.complete) {
          settle({ kind: 'cut', reason: 'incomplete' })
          return
        }
        const bytes = Buffer.concat(chunks)
        const status = response.statusCode ?? 0
        const outcome = response.headers['pimentotally-outcome']
        if (outcome === undefined) settle({ kind: 'answer', status, body: bytes })
        else {
          const { code, message } = JSON.parse(bytes.toString()) as { code: string; message: string }
          settle({ kind: outcome === 'not-run' ? 'notRun' : 'unknown', status, code, message })
        }
      })
    })
    call.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') settle({ kind: 'unreachable' })
      else cut(error)
    })
    call.end(body)
  })

/** Milliseconds since this process started. */
export const nowMs = (): number => performance.now()
