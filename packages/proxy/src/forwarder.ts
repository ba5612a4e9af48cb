/** Forwards a request to a peer host that can serve it, at most two hops and never in a circle. */
import type { IncomingMessage } from 'node:http'
import { AttemptKind, Outcome, PermitRefusalCode, type Clock, type Peer } from '@pimentotally/core'
import type { InboundRequest, Failure, Origin } from './inbound-request.js'
import { Exchange, type ExchangeResult, type ExchangeSpec } from './exchange.js'
import { GeneratedResponse, routerHeaders } from './generated-response.js'
import type { ProxyMetrics } from './metrics.js'
import type { ProxyLimits } from './proxy-limits.js'
import type { ConnectionPool } from './connection-pool.js'

export const maxHops = 2

/** Fields between hosts; `pimentotally-*` fields of callers never get this far. */
export const forwardHeaders = {
  secret: 'pimentotally-peer-secret',
  hops: 'pimentotally-hops',
  visited: 'pimentotally-visited',
  attempt: 'pimentotally-attempt',
} as const

/** The peer's own refusal should arrive before the deadline passes here. */
const deadlineMarginMs = 10

/** Refusals that another host may not give. */
const hostSpecificRefusals = new Set<string>([
  PermitRefusalCode.noCoordinator,
  PermitRefusalCode.ownerUnreachable,
  'overloaded',
  'permit_expired',
  'target_refused',
  'target_unreachable',
])

export interface ForwarderOptions {
  readonly pool: ConnectionPool
  readonly limits: ProxyLimits
  readonly clock: Clock
  readonly metrics: ProxyMetrics
  readonly hostId: () => string
  readonly peerSecret: string
}

export type ForwardResult =
  | { readonly kind: 'answer'; readonly exchange: Exchange; readonly response: IncomingMessage }
  | { readonly kind: 'noPeer' }
  | Failure

const readText = async (response: IncomingMessage, limit: number): Promise<string> => {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > limit) throw new RangeError('the refusal of a peer is too large')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
}

const unreachable = GeneratedResponse.notRun(
  503,
  PermitRefusalCode.ownerUnreachable,
  'no peer host can be reached',
  {
    retryAfterMs: 500,
  },
)

export class Forwarder {
  readonly #options: ForwarderOptions

  constructor(options: ForwarderOptions) {
    this.#options = options
  }

  /** Tries the peers in turn while the request certainly did not run. */
  async run(call: InboundRequest, peers: readonly Peer[]): Promise<ForwardResult> {
    if (call.origin.hops >= maxHops) {
      const answer = GeneratedResponse.notRun(421, 'too_many_hops', 'the request was forwarded too often')
      return { kind: 'generated', answer }
    }
    let last: GeneratedResponse | undefined
    let attempt = call.origin.attempt
    for (const peer of peers.slice(0, this.#options.limits.maxAttempts)) {
      if (call.isCallerGone) return { kind: 'callerGone' }
      if (call.remainingMs <= deadlineMarginMs) break
      const result = await this.#send(call, peer, attempt)
      if (result.kind !== 'retry') return result
      last = result.answer
      if (result.sent) {
        // Only the first host repeats a request, and a body that was streamed away cannot be repeated.
        if (call.origin.forwarded || call.body.kind === 'stream' || !hostSpecificRefusals.has(last.code))
          break
        attempt = AttemptKind.retry
      }
    }
    return last === undefined ? { kind: 'noPeer' } : { kind: 'generated', answer: last }
  }

  async #send(
    call: InboundRequest,
    peer: Peer,
    attempt: AttemptKind,
  ): Promise<ForwardResult | { kind: 'retry'; answer: GeneratedResponse; sent: boolean }> {
    const { pool, limits, clock, metrics, hostId, peerSecret } = this.#options
    const { service } = call
    const requestId = call.nextRequestId()
    const spec: ExchangeSpec = {
      endpoint: pool.forPeer(peer.forwardAddress),
      freshConnection: false,
      method: call.method,
      path: call.path,
      headers: call.outgoingHeaders([
        routerHeaders.requestId,
        requestId,
        routerHeaders.deadlineMs,
        String(Math.floor(call.remainingMs - deadlineMarginMs)),
        forwardHeaders.secret,
        peerSecret,
        forwardHeaders.hops,
        String(call.origin.hops + 1),
        forwardHeaders.visited,
        [...call.origin.visited, hostId()].join(','),
        forwardHeaders.attempt,
        attempt,
      ]),
      body: call.body,
      requestId,
      timeoutMs: Math.max(0, call.remainingMs),
      connectTimeoutMs: limits.connectTimeoutMs,
      stallTimeoutMs: service.stallTimeoutMs,
      callerStallTimeoutMs: service.callerStallTimeoutMs,
      maxBodyBytes: service.maxRequestBodyBytes,
      clock,
    }
    let exchange!: Exchange
    const settled = new Promise<ExchangeResult>((resolve) => {
      exchange = new Exchange(spec, {
        maySend: () => !call.isCallerGone && call.remainingMs > 0,
        connectionClosed: (event) => {
          metrics.connectionClosed(peer.forwardAddress, event)
        },
        onResult: resolve,
      })
    })
    const forget = call.onCallerGone(() => {
      exchange.cancel()
    })
    const result = await settled
    forget()
    if (result.kind === 'notSent') {
      return call.isCallerGone ? { kind: 'callerGone' } : { kind: 'retry', answer: unreachable, sent: false }
    }
    if (result.kind !== 'head') {
      call.mayHaveRun = true
      if (call.isCallerGone) return { kind: 'callerGone' }
      return {
        kind: 'generated',
        answer: GeneratedResponse.unknown(
          'forward_failed',
          `no whole answer came from the peer host (${result.kind})`,
        ),
      }
    }
    const { response } = result
    if (response.headers[routerHeaders.outcome] === undefined) return { kind: 'answer', exchange, response }
    return this.#refusal(call, exchange, response)
  }

  async #refusal(
    call: InboundRequest,
    exchange: Exchange,
    response: IncomingMessage,
  ): Promise<Failure | { kind: 'retry'; answer: GeneratedResponse; sent: boolean }> {
    let answer: GeneratedResponse | undefined
    try {
      answer = GeneratedResponse.parse(response.statusCode ?? 0, await readText(response, 16_384))
    } catch {
      exchange.cancel()
    }
    if (answer?.outcome === Outcome.notRun && response.headers[routerHeaders.outcome] === Outcome.notRun) {
      return { kind: 'retry', answer, sent: true }
    }
    call.mayHaveRun = true
    return {
      kind: 'generated',
      answer:
        answer?.outcome === Outcome.unknown
          ? answer
          : GeneratedResponse.unknown('forward_failed', 'the answer of the peer host was not whole'),
    }
  }
}

/** How a forwarded request came here, or the reason to refuse it. Its secret was checked before. */
export const readOrigin = ({ headers }: IncomingMessage, hostId: string): Origin | GeneratedResponse => {
  const text = (name: string): string => String(headers[name] ?? '')
  const hops = Number(text(forwardHeaders.hops))
  const deadlineMs = Number(text(routerHeaders.deadlineMs))
  const visited = text(forwardHeaders.visited).split(',')
  const attempt = Object.values(AttemptKind).find((kind) => kind === text(forwardHeaders.attempt))
  const requestId = text(routerHeaders.requestId)
  if (
    attempt === undefined ||
    requestId === '' ||
    !Number.isInteger(hops) ||
    hops < 1 ||
    !(deadlineMs >= 0)
  ) {
    return GeneratedResponse.notRun(400, 'bad_forward', 'the forwarded request lacks its fields')
  }
  if (hops > maxHops)
    return GeneratedResponse.notRun(421, 'too_many_hops', 'the request was forwarded too often')
  if (visited.includes(hostId)) {
    return GeneratedResponse.notRun(421, 'forwarding_loop', 'the request was forwarded in a circle')
  }
  return { forwarded: true, hops, visited, requestId, deadlineMs, attempt }
}
