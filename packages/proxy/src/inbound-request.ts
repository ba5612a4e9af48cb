/**
 * One request of a caller or of a forwarding peer, with the state that the parts of the request path share.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { AttemptKind, type Clock, type ServiceSpec } from '@pimentotally/core'
import { GeneratedResponse } from './generated-response.js'
import { endToEndHeaders } from '@pimentotally/http'
import type { RequestTrace } from './http-listener.js'
import { RequestBody } from './request-body.js'
import type { RequestKey } from './routing.js'

/** How a request reached this host. */
export interface Origin {
  readonly forwarded: boolean
  /** Number of hosts that forwarded the request before it reached this one. */
  readonly hops: number
  /** Ids of the hosts that forwarded the request. */
  readonly visited: readonly string[]
  readonly requestId: string
  /** Time that was left at the host that forwarded the request; absent if a caller sent it here. */
  readonly deadlineMs?: number
  readonly attempt: AttemptKind
}

/** How a request ends without a response of a target. */
export type Failure =
  { readonly kind: 'generated'; readonly answer: GeneratedResponse } | { readonly kind: 'callerGone' }

export interface InboundRequestOptions {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly origin: Origin
  readonly service: ServiceSpec
  readonly key: RequestKey | undefined
  readonly idempotent: boolean
  readonly body: RequestBody
  readonly trace: RequestTrace
  readonly clock: Clock
}

export class InboundRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly origin: Origin
  readonly service: ServiceSpec
  readonly key: RequestKey | undefined
  readonly idempotent: boolean
  readonly body: RequestBody
  readonly method: string
  readonly path: string
  readonly idempotencyKey: string | undefined
  /** The caller's end-to-end header fields without content-length; alternating names and values. */
  readonly headers: readonly string[]
  /** The same for every send of a request; a request that crashes targets is recognised by it. */
  readonly identity: string
  /** On the monotonic clock. */
  readonly deadlineAtMs: number
  /**
   * True when this request holds a row in the ledger: a send that certainly did not run may then be repeated.
   */
  hasLedgerRow = false
  /** True once an attempt may have run at a target: the outcome can no longer be "not run". */
  mayHaveRun = false
  readonly #clock: Clock
  readonly #callerGoneCallbacks: (() => void)[] = []
  #abortController: AbortController | undefined
  #isCallerGone = false
  #attempts = 0

  constructor({
    request,
    response,
    origin,
    service,
    key,
    idempotent,
    body,
    trace,
    clock,
  }: InboundRequestOptions) {
    this.request = request
    this.response = response
    this.origin = origin
    this.service = service
    this.key = key
    this.idempotent = idempotent
    this.body = body
    this.method = request.method ?? 'GET'
    this.path = request.url ?? '/'
    this.#clock = clock
    this.headers = endToEndHeaders(request, { dropContentLength: true })
    const idempotencyKey = request.headers['idempotency-key']
    this.idempotencyKey =
      typeof idempotencyKey === 'string' && idempotencyKey !== '' ? idempotencyKey : undefined
    this.identity = this.idempotencyKey ?? RequestBody.identity(service.name, this.method, this.path, body)
    const limitMs = Math.min(service.requestTimeoutMs, origin.deadlineMs ?? Infinity)
    // Streaming a body is limited by stall timeouts, so for such a request the limit counts from now, not
    // from its head.
    this.deadlineAtMs = (body.kind === 'stream' ? clock.monotonicMs() : trace.startedAtMs) + limitMs
    trace.onClose = () => {
      if (!response.writableFinished) this.#markCallerGone()
    }
    if (response.destroyed) this.#markCallerGone()
  }

  /** True when the caller's connection has ended before the whole response was written. */
  get isCallerGone(): boolean {
    return this.#isCallerGone
  }

  /** `isCallerGone` as an abort signal, for permit sources. */
  get callerGoneSignal(): AbortSignal {
    this.#abortController ??= new AbortController()
    if (this.#isCallerGone) this.#abortController.abort()
    return this.#abortController.signal
  }

  /**
   * Calls back once when the caller is gone, at once if it already is; returns a function that unsubscribes.
   */
  onCallerGone(callback: () => void): () => void {
    if (this.#isCallerGone) callback()
    else this.#callerGoneCallbacks.push(callback)
    return () => {
      const index = this.#callerGoneCallbacks.indexOf(callback)
      if (index >= 0) this.#callerGoneCallbacks.splice(index, 1)
    }
  }

  get remainingMs(): number {
    return this.deadlineAtMs - this.#clock.monotonicMs()
  }

  #markCallerGone(): void {
    this.#isCallerGone = true
    this.#abortController?.abort()
    for (const callback of this.#callerGoneCallbacks.splice(0)) callback()
  }

  get attempts(): number {
    return this.#attempts
  }

  /** A new id for each send, so that cancelling one send does not affect another. */
  nextRequestId(): string {
    this.#attempts += 1
    return `${this.origin.requestId}.${String(this.#attempts)}`
  }

  /** The header fields of the caller, the framing of the body and the router's own fields. */
  outgoingHeaders(routerFields: readonly string[]): string[] {
    const framing =
      this.body.kind === 'buffered'
        ? ['content-length', String(this.body.bytes.length)]
        : this.body.kind === 'none'
          ? this.request.headers['content-length'] === undefined
            ? []
            : ['content-length', '0']
          : this.body.declared === undefined
            ? ['transfer-encoding', 'chunked']
            : ['content-length', String(this.body.declared)]
    // HTTP/1.0 callers need no host, but targets do.
    if (this.request.headers.host === undefined) framing.push('host', this.service.name)
    return [...this.headers, ...framing, ...routerFields]
  }
}
