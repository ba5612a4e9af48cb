/** The request path of one host, from the parsed head of a request to the end of its response. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  AttemptKind,
  Configuration,
  Outcome,
  PermitRefusalCode,
  Random,
  domainOfCell,
  type Clock,
  type InvariantReporter,
  type Logger,
  type Permit,
  type PeerDirectory,
  type PermitSource,
} from '@pimentotally/core'
import { AtMostOnce } from './at-most-once.js'
import { InboundRequest, type Failure, type Origin } from './inbound-request.js'
import { Dispatcher, type DispatchResult } from './dispatcher.js'
import { checkFraming } from './framing.js'
import { Forwarder, type ForwardResult } from './forwarder.js'
import { GeneratedResponse, routerHeaders } from './generated-response.js'
import { endToEndHeaders } from '@pimentotally/http'
import type { RequestTrace } from './http-listener.js'
import type { LedgerAttempt, RequestLedgerPort } from './ledger-port.js'
import { NoMetrics, RequestOutcome, type ProxyMetrics } from './metrics.js'
import { ProxyLimits } from './proxy-limits.js'
import {
  relayResponse,
  relayCompleteResponse,
  type RelayOptions,
  type RelayResult,
} from './relay-response.js'
import { RequestBody, callerGone } from './request-body.js'
import { Routing } from './routing.js'
import { ConnectionPool } from './connection-pool.js'

export interface RequestHandlerOptions {
  readonly directory: PeerDirectory
  /** Returns the source of permits of a cell. */
  readonly permits: (cellId: string) => PermitSource
  /**
   * Called just before the first byte is written: whether the permit may still be used. It may not, for
   * example, when its term is no longer valid.
   */
  readonly isUsable: (permit: Permit) => boolean
  readonly ledger: RequestLedgerPort
  readonly clock: Clock
  readonly invariants: InvariantReporter
  readonly logger: Logger
  /** Sent with requests that are forwarded to peer hosts. */
  readonly peerSecret: string
  readonly metrics?: ProxyMetrics
  readonly limits?: Partial<ProxyLimits>
  readonly random?: Random
}

/** How a request ended, for the metrics. */
interface RequestEnd {
  readonly outcome: RequestOutcome
  readonly status?: number
  readonly code?: string
}

/** Refusals of a request without a key after which another domain may still serve it. */
const forwardableRefusals = new Set<PermitRefusalCode>([
  PermitRefusalCode.noCoordinator,
  PermitRefusalCode.noTarget,
  PermitRefusalCode.ownerUnreachable,
  PermitRefusalCode.queueFull,
])

const relayOutcome: Readonly<Record<RelayResult['end'], RequestOutcome>> = {
  complete: RequestOutcome.answered,
  truncated: RequestOutcome.truncated,
  targetStalled: RequestOutcome.truncated,
  callerStalled: RequestOutcome.callerGone,
  callerGone: RequestOutcome.callerGone,
}

const callerGoneFailure: Failure = { kind: 'callerGone' }

export class RequestHandler {
  readonly limits: ProxyLimits
  readonly clock: Clock
  readonly directory: PeerDirectory
  readonly #options: RequestHandlerOptions
  readonly #metrics: ProxyMetrics
  readonly #routing: Routing
  readonly #pool: ConnectionPool
  readonly #dispatcher: Dispatcher
  readonly #forwarder: Forwarder
  readonly #atMostOnce: AtMostOnce
  readonly #unsubscribe: () => void
  #requests = 0
  #inFlight = 0

  constructor(options: RequestHandlerOptions) {
    const { directory, clock, metrics = new NoMetrics(), random = new Random() } = options
    this.#options = options
    this.limits = { ...ProxyLimits.default, ...options.limits }
    this.clock = clock
    this.directory = directory
    this.#metrics = metrics
    const { limits } = this
    this.#routing = new Routing({ directory, clock, random, homeRefreshMs: limits.homeRefreshMs })
    this.#pool = new ConnectionPool({ limits, clock, metrics })
    this.#dispatcher = new Dispatcher({ ...options, pool: this.#pool, limits, metrics })
    const hostId = (): string => directory.self().hostId
    this.#forwarder = new Forwarder({ ...options, pool: this.#pool, limits, metrics, hostId })
    this.#atMostOnce = new AtMostOnce(options.ledger, clock, limits.ledgerWaitMs)
    this.#unsubscribe = directory.onConfiguration(() => {
      const peers = directory.peers().map(({ forwardAddress }) => forwardAddress)
      this.#pool.dropRemovedAddresses(new Set([...this.#routing.targetAddresses(), ...peers]))
    })
  }

  get inFlight(): number {
    return this.#inFlight
  }

  /** Handles a request of a caller. Never throws; the response is always ended or destroyed. */
  handleCaller(request: IncomingMessage, response: ServerResponse, trace: RequestTrace): void {
    this.#requests += 1
    const requestId = `${this.directory.self().hostId}-${this.#requests.toString(36)}`
    this.handle(request, response, trace, {
      forwarded: false,
      hops: 0,
      visited: [],
      requestId,
      attempt: AttemptKind.first,
    })
  }

  handle(request: IncomingMessage, response: ServerResponse, trace: RequestTrace, origin: Origin): void {
    request.on('error', () => undefined)
    response.on('error', () => undefined)
    trace.requestId = origin.requestId
    this.#inFlight += 1
    void this.#run(request, response, trace, origin).then(({ outcome, status, code }) => {
      this.#inFlight -= 1
      const latencyMs = this.clock.monotonicMs() - trace.startedAtMs
      const { service } = trace
      this.#metrics.requestEnded({ service, outcome, code, status, latencyMs, isForwarded: origin.forwarded })
    })
  }

  /** Resolves when all writes to the ledger have ended. */
  ledgerWritesSettled(): Promise<void> {
    return this.#atMostOnce.writesSettled()
  }

  /** Closes the connections to targets and peers. */
  close(): void {
    this.#unsubscribe()
    this.#pool.close()
  }

  async #run(
    request: IncomingMessage,
    response: ServerResponse,
    trace: RequestTrace,
    origin: Origin,
  ): Promise<RequestEnd> {
    let inbound: InboundRequest | undefined
    try {
      const opened = await this.#readRequest(request, response, trace, origin)
      if (!(opened instanceof InboundRequest)) return this.#fail(response, origin, opened)
      inbound = opened
      return await this.#route(inbound)
    } catch (error) {
      this.#options.logger.error('request_failed', {
        step: 'request.handle',
        requestId: origin.requestId,
        error,
      })
      const unsent = inbound === undefined || inbound.attempts === 0
      // Node throws such an error for a path or header field that it cannot write, before it sends anything. At
      // a later attempt, an earlier one may have been sent.
      const invalid = error instanceof TypeError && 'code' in error && inbound?.attempts === 1
      return this.#fail(response, origin, {
        kind: 'generated',
        answer: invalid
          ? GeneratedResponse.notRun(
              400,
              'bad_request',
              'the path or a header field of the request cannot be sent to a target',
            )
          : unsent
            ? GeneratedResponse.notRun(
                503,
                'internal_error',
                'the router failed before it sent the request to a target',
              )
            : GeneratedResponse.unknown(
                'internal_error',
                'the router failed after it may have sent the request',
              ),
      })
    }
  }

  /** Checks the request and reads its body, or the start of a large one; nothing is sent to a target yet. */
  async #readRequest(
    request: IncomingMessage,
    response: ServerResponse,
    trace: RequestTrace,
    origin: Origin,
  ): Promise<InboundRequest | Failure> {
    const refuse = (answer: GeneratedResponse): Failure => ({ kind: 'generated', answer })
    const refused = checkFraming(request)
    if (refused !== undefined) return refuse(refused)
    const { clock, limits } = this
    const method = request.method ?? 'GET'
    const path = request.url ?? '/'
    const service = this.#routing.serviceOfPath(path)
    if (service === undefined) {
      return refuse(
        GeneratedResponse.notRun(404, 'service_not_found', 'no service has this path', { close: true }),
      )
    }
    trace.service = service.name
    if (this.#inFlight > limits.maxInFlight) {
      return refuse(
        GeneratedResponse.notRun(503, 'overloaded', 'this host has too many requests in progress', {
          close: true,
        }),
      )
    }
    const key = this.#routing.key(service, request)
    if (key !== undefined && 'code' in key) return refuse({ ...key, close: true })
    const maxBytes = service.maxRequestBodyBytes
    // Absent and oversized bodies are recognised by the header fields alone, without reading.
    const body =
      RequestBody.withoutReading(request, maxBytes) ??
      (await RequestBody.read(request, {
        bufferedBytes: limits.bufferedBodyBytes,
        maxBytes,
        stallTimeoutMs: service.callerStallTimeoutMs,
        clock,
      }))
    if (body === callerGone) return callerGoneFailure
    if ('code' in body) return refuse(body)
    return new InboundRequest({
      request,
      response,
      origin,
      service,
      key,
      idempotent: Configuration.isIdempotent(service, method, path),
      body,
      trace,
      clock,
    })
  }

  async #route(inbound: InboundRequest): Promise<RequestEnd> {
    const { service, key, origin } = inbound
    const own = this.directory.self().domain
    if (key === undefined) {
      if (!this.#routing.hasLocalTargets(service.name))
        return this.#forward(inbound, this.#routing.otherDomains(service.name))
      return this.#serveLocally(inbound, this.#routing.localCell(), () =>
        this.#routing.otherDomains(service.name),
      )
    }
    const cell = this.#routing.homeCell(service.name, key.shard)
    if (cell === undefined) {
      const answer = GeneratedResponse.notRun(
        503,
        PermitRefusalCode.shardMoving,
        'the home cell of the key is not known',
        {
          retryAfterMs: 200,
        },
      )
      return this.#fail(inbound.response, origin, { kind: 'generated', answer }, inbound)
    }
    const domain = domainOfCell(cell)
    return domain === own ? this.#serveLocally(inbound, cell, () => [own]) : this.#forward(inbound, [domain])
  }

  /**
   * Sends the request to a target of this host's domain. When no permit can be had, a caller's request may be
   * forwarded to a peer of the domains that `fallbackDomains` returns.
   */
  async #serveLocally(
    inbound: InboundRequest,
    cell: string,
    fallbackDomains: () => readonly string[],
  ): Promise<RequestEnd> {
    let ledgerAttempt: LedgerAttempt | undefined
    if (!inbound.idempotent) {
      const admission = await this.#atMostOnce.admit(inbound)
      if (admission.kind === 'generated')
        return this.#fail(inbound.response, inbound.origin, admission, inbound)
      if (admission.kind === 'replay') return this.#replay(inbound, admission.answer)
      ledgerAttempt = admission.attempt
    }
    const result = await this.#dispatcher.run(inbound, this.#options.permits(cell))
    if (result.kind === 'answer') return this.#sendResponse(inbound, result, ledgerAttempt)
    if (ledgerAttempt !== undefined && !inbound.mayHaveRun) await this.#atMostOnce.notRun(ledgerAttempt)
    if (result.kind !== 'noPermit') return this.#fail(inbound.response, inbound.origin, result, inbound)
    const { refusal } = result
    // Only the owner of a key may serve it, so a request with a key is forwarded only when this host cannot
    // reach the coordinator of the cell: another host of the domain may reach it.
    const mayForward =
      !inbound.origin.forwarded &&
      (inbound.key === undefined
        ? forwardableRefusals.has(refusal.code)
        : refusal.code === PermitRefusalCode.noCoordinator)
    const answer = GeneratedResponse.ofPermitRefusal(refusal)
    if (mayForward) return this.#forward(inbound, fallbackDomains(), answer)
    return this.#fail(inbound.response, inbound.origin, { kind: 'generated', answer }, inbound)
  }

  async #forward(
    inbound: InboundRequest,
    domains: readonly string[],
    refusal?: GeneratedResponse,
  ): Promise<RequestEnd> {
    const peers = this.#routing.peers(domains, inbound.origin.visited)
    const result = await this.#forwarder.run(inbound, peers)
    if (result.kind === 'answer') return this.#sendResponse(inbound, result, undefined)
    const failure: Failure =
      result.kind === 'noPeer'
        ? {
            kind: 'generated',
            answer:
              refusal ??
              GeneratedResponse.notRun(
                503,
                PermitRefusalCode.ownerUnreachable,
                'no host of a domain that serves the request is known',
                {
                  retryAfterMs: 500,
                },
              ),
          }
        : result
    return this.#fail(inbound.response, inbound.origin, failure, inbound)
  }

  /**
   * Sends the response of a target or of a peer host to the caller, and stores it under the ledger row, if
   * any.
   */
  async #sendResponse(
    inbound: InboundRequest,
    source: Extract<DispatchResult | ForwardResult, { kind: 'answer' }>,
    ledgerAttempt: LedgerAttempt | undefined,
  ): Promise<RequestEnd> {
    const { response, service, origin } = inbound
    const answer = source.response
    const status = answer.statusCode ?? 502
    const headers = endToEndHeaders(answer, { dropContentLength: false })
    // An early response leaves part of the request unread, so the connection cannot carry another request.
    if (!inbound.request.complete) response.shouldKeepAlive = false
    if (!response.destroyed) {
      headers.push(routerHeaders.requestId, origin.requestId)
      response.writeHead(status, answer.statusMessage ?? '', headers)
    }
    const { storedResponseBytes } = this.limits
    const options: RelayOptions = {
      clock: this.clock,
      stallTimeoutMs: service.stallTimeoutMs,
      callerStallTimeoutMs: service.callerStallTimeoutMs,
      captureBytes: ledgerAttempt === undefined ? 0 : storedResponseBytes,
    }
    const { end, captured } =
      relayCompleteResponse(answer, response, options) ?? (await relayResponse(answer, response, options))
    // The response of a target comes with its attempt, that of a peer host with its exchange.
    if ('attempt' in source) {
      if (end === 'complete') source.attempt.completed(status)
      else source.attempt.abandon(end === 'callerGone' || end === 'callerStalled' ? 'cancelled' : end)
    } else if (end === 'targetStalled') source.exchange.destroySilentConnection()
    else if (end !== 'complete') source.exchange.cancel()
    // When the caller is gone or stalled, the request still counts as run: its ledger row is finished without a
    // stored body. After a response that the target did not complete, the row is not finished.
    const ran = end === 'complete' || end === 'callerGone' || end === 'callerStalled'
    if (ledgerAttempt !== undefined && ran) {
      this.#atMostOnce.finish(ledgerAttempt, { status, headers, body: captured })
    }
    return { outcome: relayOutcome[end], status }
  }

  #replay(
    inbound: InboundRequest,
    { status, headers, body }: { status: number; headers: readonly string[]; body: Uint8Array },
  ): RequestEnd {
    const { response, origin } = inbound
    response.writeHead(status, [...headers, routerHeaders.requestId, origin.requestId])
    response.end(body)
    return { outcome: RequestOutcome.replayed, status }
  }

  #fail(response: ServerResponse, origin: Origin, failure: Failure, inbound?: InboundRequest): RequestEnd {
    if (failure.kind === 'callerGone' || response.destroyed) {
      response.destroy()
      return { outcome: RequestOutcome.callerGone }
    }
    if (response.headersSent) {
      response.destroy()
      return { outcome: RequestOutcome.truncated }
    }
    let { answer } = failure
    const truthful = this.#options.invariants.check(
      answer.outcome !== Outcome.notRun || inbound?.mayHaveRun !== true,
      'not-run-is-true',
      () => ({ step: 'request.refuse', requestId: origin.requestId, code: answer.code }),
    )
    if (!truthful) answer = GeneratedResponse.unknown(answer.code, answer.message)
    if (inbound !== undefined && !inbound.request.complete) answer = { ...answer, close: true }
    GeneratedResponse.write(response, answer, origin.requestId)
    const outcome = answer.outcome === Outcome.notRun ? RequestOutcome.notRun : RequestOutcome.unknown
    return { outcome, status: answer.status, code: answer.code }
  }
}
