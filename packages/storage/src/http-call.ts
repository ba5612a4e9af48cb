/**
 * Calls to the platform over Node http. Each call has a timeout; a call without a response in time destroys its
 * connection and the idle ones, as open connections may have gone silent while new ones work.
 */
import { Result } from 'true-myth'
import { HttpCaller } from '@pimentotally/http'
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
  readonly #caller: HttpCaller

  constructor({
    address,
    timeoutMs = 1000,
    maxConnections = 8,
    idleTimeoutMs = 30_000,
  }: HttpPlatformOptions) {
    this.#address = address
    this.#timeoutMs = timeoutMs
    this.#caller = new HttpCaller({
      connections: maxConnections,
      idleTimeoutMs,
      maxResponseBytes: maxAnswerBytes,
    })
  }

  /** A status that says that nothing was done comes back as `unavailable`, a lost response as `unknown` for writes. */
  async call({ step, kind, method, path, body, timeoutMs }: HttpCall): Promise<PlatformResult<HttpAnswer>> {
    const answer = await this.#caller.call(
      { step, address: this.#address, method, path, body, timeoutMs: timeoutMs ?? this.#timeoutMs },
      { idempotent: kind === 'read' },
    )
    if (answer.isOk) return readAnswer({ step, kind, status: answer.value.status, bytes: answer.value.body })
    const { code, message } = answer.error
    return Result.err(callError({ step, kind, sent: code !== 'not_sent', message }))
  }

  close(): void {
    this.#caller.close()
  }
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
