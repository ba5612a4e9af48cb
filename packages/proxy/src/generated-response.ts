/** Responses that the router itself generates; each states the outcome of its request. */
import type { ServerResponse } from 'node:http'
import { Outcome, PermitRefusalCode, type PermitRefusal } from '@pimentotally/core'

export const routerHeaders = {
  outcome: 'pimentotally-outcome',
  requestId: 'pimentotally-request-id',
  targetRefused: 'pimentotally-target-refused',
  fence: 'pimentotally-fence',
  term: 'pimentotally-term',
  service: 'pimentotally-service',
  shard: 'pimentotally-shard',
  /**
   * A key may have another owner than its shard, so a target that verifies grants needs the hash of the key.
   */
  keyHash: 'pimentotally-key-hash',
  deadlineMs: 'pimentotally-deadline-ms',
} as const

export interface GeneratedResponse {
  readonly status: 503 | 429 | 400 | 404 | 409 | 413 | 421 | 504
  readonly code: string
  readonly outcome: Outcome
  readonly message: string
  readonly retryAfterMs?: number
  /** The connection cannot be used for another request, for example because the body was not read. */
  readonly close?: boolean
}

const permitStatus: Partial<Record<PermitRefusalCode, 429 | 409>> = {
  [PermitRefusalCode.queueFull]: 429,
  [PermitRefusalCode.requestBlocked]: 409,
}

export const GeneratedResponse = {
  notRun: (
    status: Exclude<GeneratedResponse['status'], 504>,
    code: string,
    message: string,
    extra: { retryAfterMs?: number; close?: boolean } = {},
  ): GeneratedResponse => ({ status, code, outcome: Outcome.notRun, message, ...extra }),

  unknown: (code: string, message: string): GeneratedResponse => ({
    status: 504,
    code,
    outcome: Outcome.unknown,
    message,
  }),

  ofPermitRefusal: ({ code, message, retryAfterMs }: PermitRefusal): GeneratedResponse =>
    GeneratedResponse.notRun(permitStatus[code] ?? 503, code, message, { retryAfterMs }),

  body: ({ code, outcome, message, retryAfterMs }: GeneratedResponse): string =>
    JSON.stringify({ code, outcome, message, retryAfterMs }),

  /** Reads a response that another host generated; undefined when the text is not one. */
  parse: (status: number, text: string): GeneratedResponse | undefined => {
    try {
      const value = JSON.parse(text) as Partial<GeneratedResponse>
      if (typeof value.code !== 'string' || typeof value.message !== 'string') return undefined
      if (status === 504) return GeneratedResponse.unknown(value.code, value.message)
      if (value.outcome !== Outcome.notRun) return undefined
      const { code, message, retryAfterMs } = value
      return GeneratedResponse.notRun(status as 503, code, message, { retryAfterMs })
    } catch {
      return undefined
    }
  },

  headers: (generated: GeneratedResponse, body: string, requestId: string): string[] => {
    const headers = [
      'content-type',
      'application/json',
      'content-length',
      String(Buffer.byteLength(body)),
      routerHeaders.outcome,
      generated.outcome,
    ]
    if (requestId !== '') headers.push(routerHeaders.requestId, requestId)
    if (generated.retryAfterMs !== undefined) {
      headers.push('retry-after', String(Math.ceil(generated.retryAfterMs / 1000)))
    }
    if (generated.close === true) headers.push('connection', 'close')
    return headers
  },

  write: (response: ServerResponse, generated: GeneratedResponse, requestId: string): void => {
    const body = GeneratedResponse.body(generated)
    response.writeHead(generated.status, GeneratedResponse.headers(generated, body, requestId))
    response.end(body)
  },

  /** The response as text for a connection without a valid request; the connection is closed afterwards. */
  rawBytes: (generated: GeneratedResponse): string => {
    const body = GeneratedResponse.body(generated)
    const headers = GeneratedResponse.headers({ ...generated, close: true }, body, '')
    const lines = Array.from(
      { length: headers.length / 2 },
      (_, index) => `${headers[2 * index] ?? ''}: ${headers[2 * index + 1] ?? ''}`,
    )
    return `HTTP/1.1 ${String(generated.status)} Refused\r\n${lines.join('\r\n')}\r\n\r\n${body}`
  },
}
