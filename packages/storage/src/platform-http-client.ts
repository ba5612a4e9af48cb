/**
 * Calls to the platform over HTTP. Each call has a timeout. A call that gets no response in time destroys its
 * own connection and all idle ones, as established connections may no longer work while new ones do.
 */
import { Result } from 'true-myth'
import { HttpClient } from '@pimentotally/http'
import type { PlatformError, PlatformResult } from './result.js'

export interface PlatformHttpClientOptions {
  /** IP address and port of the platform. */
  readonly address: string
  /** Timeout of calls that set none of their own. */
  readonly timeoutMs?: number
  readonly maxConnections?: number
  readonly idleTimeoutMs?: number
}

export interface PlatformHttpCall {
  readonly step: string
  readonly kind: 'read' | 'write'
  readonly method: string
  readonly path: string
  readonly body?: string | Uint8Array
  readonly timeoutMs?: number
}

export interface PlatformHttpResponse {
  readonly status: number
  readonly body: Buffer
}

/** Bounds the memory that one response can take, as responses are held in memory as a whole. */
const maxResponseBytes = 64 * 1024 * 1024

/** The HTTP client of one platform address; the services at that address share its connections. */
export class PlatformHttpClient {
  readonly #address: string
  readonly #timeoutMs: number
  readonly #httpClient: HttpClient

  constructor({
    address,
    timeoutMs = 1000,
    maxConnections = 8,
    idleTimeoutMs = 30_000,
  }: PlatformHttpClientOptions) {
    this.#address = address
    this.#timeoutMs = timeoutMs
    this.#httpClient = new HttpClient({
      connections: maxConnections,
      idleTimeoutMs,
      maxResponseBytes,
    })
  }

  /**
   * Fails with `unavailable` when the call certainly had no effect or was a read, and with `unknown` when a
   * write may have taken effect.
   */
  async call({
    step,
    kind,
    method,
    path,
    body,
    timeoutMs,
  }: PlatformHttpCall): Promise<PlatformResult<PlatformHttpResponse>> {
    const response = await this.#httpClient.call(
      { step, address: this.#address, method, path, body, timeoutMs: timeoutMs ?? this.#timeoutMs },
      { idempotent: kind === 'read' },
    )
    if (response.isOk)
      return interpretResponse({ step, kind, status: response.value.status, bytes: response.value.body })
    const { code, message } = response.error
    return Result.err(callError({ step, kind, sent: code !== 'not_sent', message }))
  }

  close(): void {
    this.#httpClient.close()
  }
}

interface CallFailure {
  readonly step: string
  readonly kind: 'read' | 'write'
  /** False also for a call that was sent but refused: it certainly had no effect. */
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

/** 503 and all 4xx mean that nothing was done; after other failures a write may have taken effect. */
const interpretResponse = ({
  step,
  kind,
  status,
  bytes,
}: StatusedBody): PlatformResult<PlatformHttpResponse> => {
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

/**
 * Makes a call with JSON bodies. A response with status 200 whose body is not JSON is treated as lost, and so
 * is a 404 to a read.
 */
export const callJson = async <T>(
  platform: PlatformHttpClient,
  call: Omit<PlatformHttpCall, 'body'> & { readonly body?: unknown },
): Promise<PlatformResult<T>> => {
  const body = call.body === undefined ? undefined : JSON.stringify(call.body)
  const response = await platform.call({ ...call, body })
  if (response.isErr) return Result.err(response.error)
  const value = response.value.status === 200 ? parseJson<T>(response.value.body) : undefined
  const { step, kind } = call
  return value === undefined
    ? Result.err(
        callError({ step, kind, sent: true, message: 'response is not status 200 with a JSON body' }),
      )
    : Result.ok(value)
}
