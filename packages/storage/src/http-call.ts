/**
 * Calls to the platform over Node http. Each call has a timeout; a call without a response in time destroys its
 * connection and the idle ones, as open connections may have gone silent while new ones work.
 */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import { Result } from 'true-myth'
import type { PlatformError, PlatformResult } from './result.js'

export interface HttpPlatformOptions {
  /** IP address and port of the platform. */
  readonly address: string
  /** For calls that state none. */
  readonly timeoutMs?: number
  readonly maxConnections?: number
  readonly idleTimeoutMs?: number
}

export interface HttpCall {
  readonly step: string
  readonly kind: 'read' | 'write'
  readonly method: string
  readonly path: string
  readonly body?: string | Uint8Array
  readonly timeoutMs?: number
}

export interface HttpAnswer {
  readonly status: number
  readonly body: Buffer
}

const maxAnswerBytes = 64 * 1024 * 1024

/** Connections to one platform address, shared by its clients. */
export class HttpPlatform {
  readonly #address: string
  readonly #timeoutMs: number
  readonly #agent: Agent

  constructor({
    address,
    timeoutMs = 1000,
    maxConnections = 8,
    idleTimeoutMs = 30_000,
  }: HttpPlatformOptions) {
    this.#address = address
    this.#timeoutMs = timeoutMs
    this.#agent = new Agent({ keepAlive: true, maxSockets: maxConnections, timeout: idleTimeoutMs })
  }

  /** A status that says that nothing was done comes back as `unavailable`, a lost response as `unknown` for writes. */
  async call(call: HttpCall): Promise<PlatformResult<HttpAnswer>> {
    const deadlineMs = performance.now() + (call.timeoutMs ?? this.#timeoutMs)
    let outcome = await this.#attempt(call, deadlineMs)
    // The server may close an idle connection just as it is reused; a read is then sent on a fresh one.
    if (outcome.staleConnection && call.kind === 'read') {
      this.#dropIdle()
      outcome = await this.#attempt(call, deadlineMs)
    }
    return outcome.result
  }

  close(): void {
    this.#agent.destroy()
  }

  #dropIdle(): void {
    for (const sockets of Object.values(this.#agent.freeSockets))
      for (const socket of sockets ?? []) socket.destroy()
  }

  #attempt(
    { step, kind, method, path, body }: HttpCall,
    deadlineMs: number,
  ): Promise<{ result: PlatformResult<HttpAnswer>; staleConnection: boolean }> {
    return new Promise((resolve) => {
      let sent = false
      let settled = false
      const settle = (result: PlatformResult<HttpAnswer>, staleConnection = false): void => {
        if (settled) return
        settled = true
        clearTimeout(timer)
        resolve({ result, staleConnection })
      }
      const fail = (message: string, stale = false): void => {
        settle(Result.err(callError({ step, kind, sent, message })), stale)
      }
      const outgoing = request({
        agent: this.#agent,
        host: this.#address.slice(0, this.#address.lastIndexOf(':')).replace(/^\[|\]$/g, ''),
        port: Number(this.#address.slice(this.#address.lastIndexOf(':') + 1)),
        method,
        path,
        headers: body === undefined ? {} : { 'content-length': Buffer.byteLength(body) },
      })
      const timer = setTimeout(
        () => {
          fail('no response in time')
          outgoing.destroy()
          this.#dropIdle()
        },
        Math.max(1, deadlineMs - performance.now()),
      )
      onSent(outgoing, () => (sent = true))
      outgoing.on('error', (error) => {
        fail(error.message, outgoing.reusedSocket)
      })
      outgoing.on('response', (incoming) => {
        collect(incoming).then(
          (bytes) => {
            settle(readAnswer({ step, kind, status: incoming.statusCode ?? 0, bytes }))
          },
          (error: unknown) => {
            fail(error instanceof Error ? error.message : String(error))
            outgoing.destroy()
          },
        )
      })
      outgoing.end(body)
    })
  }
}

/** Calls back when the request may have put its first byte on a connection. */
const onSent = (outgoing: ClientRequest, callback: () => void): void => {
  outgoing.once('socket', (socket) => {
    if (socket.connecting) socket.once('connect', callback)
    else callback()
  })
}

const collect = async (incoming: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of incoming) {
    chunks.push(chunk as Buffer)
    length += (chunk as Buffer).length
    if (length > maxAnswerBytes) throw new Error(`response exceeds ${String(maxAnswerBytes)} bytes`)
  }
  if (!incoming.complete) throw new Error('response was cut off')
  return Buffer.concat(chunks)
}

interface CallFailure {
  readonly step: string
  readonly kind: 'read' | 'write'
  readonly sent: boolean
  readonly message: string
}

const callError = ({ step, kind, sent, message }: CallFailure): PlatformError => ({
  code: sent && kind === 'write' ? 'unknown' : 'unavailable',
  step,
  message,
})

interface StatusedBody {
  readonly step: string
  readonly kind: 'read' | 'write'
  readonly status: number
  readonly bytes: Buffer
}

/** 503 and all 4xx statuses state that nothing was done; other failures leave a write open. */
const readAnswer = ({ step, kind, status, bytes }: StatusedBody): PlatformResult<HttpAnswer> => {
  if (status === 200 || (status === 404 && kind === 'read')) return Result.ok({ status, body: bytes })
  const message = `status ${String(status)}`
  if (status === 409) {
    const conflict = parseJson<{ key: string; actualVersion: number; message: string }>(bytes)
    if (conflict !== undefined) return Result.err({ code: 'conflict', step, ...conflict })
  }
  const nothingDone = status === 503 || (status >= 400 && status < 500)
  return Result.err(callError({ step, kind, sent: !nothingDone, message }))
}

const parseJson = <T>(bytes: Buffer): T | undefined => {
  try {
    return JSON.parse(bytes.toString('utf8')) as T
  } catch {
    return undefined
  }
}

/** Makes a JSON call; a response that is not JSON counts as lost. */
export const callJson = async <T>(
  platform: HttpPlatform,
  call: Omit<HttpCall, 'body'> & { readonly body?: unknown },
): Promise<PlatformResult<T>> => {
  const body = call.body === undefined ? undefined : JSON.stringify(call.body)
  const answer = await platform.call({ ...call, body })
  if (answer.isErr) return Result.err(answer.error)
  const value = answer.value.status === 200 ? parseJson<T>(answer.value.body) : undefined
  const { step, kind } = call
  return value === undefined
    ? Result.err(callError({ step, kind, sent: true, message: 'response is not as expected' }))
    : Result.ok(value)
}
