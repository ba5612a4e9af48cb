/** One request of a caller or peer, as the parts of the request path share it. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { AttemptKind, type Clock, type ServiceSpec } from '@pimentotally/core'
import { GeneratedResponse } from './generated-response.js'
import { endToEndHeaders } from '@pimentotally/http'
import type { RequestTrace } from './http-listener.js'
import { RequestBody } from './request-body.js'
import type { RequestKey } from './routing.js'

/** How a request came to this host. */
export interface Origin {
  readonly forwarded: boolean
  /** Hosts that the request passed before this one. */
  readonly hops: number
  readonly visited: readonly string[]
  readonly requestId: string
  /** Time left at the sender, for a forwarded request. */
  readonly deadlineMs?: number
  readonly attempt: AttemptKind
}

/** What the router decided, apart from the target's own answer. */
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
  /** The caller's end-to-end header fields without content-length. */
  readonly headers: readonly string[]
  readonly identity: string
  readonly deadlineAtMs: number
  /** Set when the request has a row in the ledger, so that a send that certainly did not run may be repeated. */
  hasLedgerRow = false
  /** True once an attempt may have started at a target: the outcome can no longer be "not run". */
  mayHaveRun = false
  readonly #clock: Clock
  readonly #onGone: (() => void)[] = []
  #abort: AbortController | undefined
  #isGone = false
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
    // A body that is still being streamed has stall limits; the time for the head counts from here.
    this.deadlineAtMs = (body.kind === 'stream' ? clock.monotonicMs() : trace.startedAtMs) + limitMs
    trace.onClose = () => {
      if (!response.writableFinished) this.#leave()
    }
    if (response.destroyed) this.#leave()
  }

  /** True when the caller's connection is gone. */
  get isCallerGone(): boolean {
    return this.#isGone
  }

  /** The same as a signal, for permit sources. */
  get callerGoneSignal(): AbortSignal {
    this.#abort ??= new AbortController()
    if (this.#isGone) this.#abort.abort()
    return this.#abort.signal
  }

  /** Calls back once when the caller goes, at once if it has gone; returns a function that ends this. */
  onCallerGone(callback: () => void): () => void {
    if (this.#isGone) callback()
    else this.#onGone.push(callback)
    return () => {
      const index = this.#onGone.indexOf(callback)
      if (index >= 0) this.#onGone.splice(index, 1)
    }
  }

  get remainingMs(): number {
    return this.deadlineAtMs - this.#clock.monotonicMs()
  }

  #leave(): void {
    this.#isGone = true
    this.#abort?.abort()
    for (const callback of this.#onGone.splice(0)) callback()
  }

  get attempts(): number {
    return this.#attempts
  }

  /** A new id for each send, so that a cancel of one does not touch another. */
  nextRequestId(): string {
    this.#attempts += 1
    return `${this.origin.requestId}.${String(this.#attempts)}`
  }

  /** The caller's fields with the framing of the body and the router's own fields. */
  outgoingHeaders(own: readonly string[]): string[] {
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
    return [...this.headers, ...framing, ...own]
  }
}
