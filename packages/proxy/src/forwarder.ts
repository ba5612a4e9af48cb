/**
 * Forwards a request to a peer host that can serve it: over at most two hops, and never to a host that it has
 * passed.
 */
import type { IncomingMessage } from 'node:http'
import { AttemptKind, Outcome, PermitRefusalCode, type Clock, type Peer } from '@pimentotally/core'
import type { InboundRequest, Failure, Origin } from './inbound-request.js'
import { Exchange, type ExchangeResult, type ExchangeSpec } from './exchange.js'
import { GeneratedResponse, routerHeaders } from './generated-response.js'
import type { ProxyMetrics } from './metrics.js'
import type { ProxyLimits } from './proxy-limits.js'
import type { ConnectionPool } from './connection-pool.js'

/**
 * How often a request may be forwarded, for example among hosts that disagree about the home cell of a key.
 */
export const maxHops = 2

/** Header fields between hosts; `pimentotally-*` fields that a caller sends are removed before. */
export const forwardHeaders = {
  secret: 'pimentotally-peer-secret',
  hops: 'pimentotally-hops',
  visited: 'pimentotally-visited',
  attempt: 'pimentotally-attempt',
} as const

/**
 * Deducted from the remaining time that is sent to the peer, so that its refusal arrives before the deadline
 * passes here.
 */
const deadlineMarginMs = 10

/** Refusals of one host after which another host may still serve the request. */
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
    if (size > limit) throw new RangeError('the refusal of a peer host is too large')
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

  /** Tries the peers one after another while the request has certainly not run. */
  async run(inbound: InboundRequest, peers: readonly Peer[]): Promise<ForwardResult> {
    if (inbound.origin.hops >= maxHops) {
      const answer = GeneratedResponse.notRun(
        421,
        'too_many_hops',
        'the request was forwarded over too many hosts',
      )
      return { kind: 'generated', answer }
    }
    let last: GeneratedResponse | undefined
    let attempt = inbound.origin.attempt
    for (const peer of peers.slice(0, this.#options.limits.maxAttempts)) {
      if (inbound.isCallerGone) return { kind: 'callerGone' }
      if (inbound.remainingMs <= deadlineMarginMs) break
      const result = await this.#send(inbound, peer, attempt)
      if (result.kind !== 'retry') return result
      last = result.answer
      if (result.sent) {
        // Only the host that the caller sent the request to repeats it; a streamed body cannot be sent again.
        if (
          inbound.origin.forwarded ||
          inbound.body.kind === 'stream' ||
          !hostSpecificRefusals.has(last.code)
        )
          break
        attempt = AttemptKind.retry
      }
    }
    return last === undefined ? { kind: 'noPeer' } : { kind: 'generated', answer: last }
  }

  async #send(
    inbound: InboundRequest,
    peer: Peer,
    attempt: AttemptKind,
  ): Promise<ForwardResult | { kind: 'retry'; answer: GeneratedResponse; sent: boolean }> {
    const { pool, limits, clock, metrics, hostId, peerSecret } = this.#options
    const { service } = inbound
    const requestId = inbound.nextRequestId()
    const spec: ExchangeSpec = {
      endpoint: pool.forPeer(peer.forwardAddress),
      freshConnection: false,
      method: inbound.method,
      path: inbound.path,
      headers: inbound.outgoingHeaders([
        routerHeaders.requestId,
        requestId,
        routerHeaders.deadlineMs,
        String(Math.floor(inbound.remainingMs - deadlineMarginMs)),
        forwardHeaders.secret,
        peerSecret,
        forwardHeaders.hops,
        String(inbound.origin.hops + 1),
        forwardHeaders.visited,
        [...inbound.origin.visited, hostId()].join(','),
        forwardHeaders.attempt,
        attempt,
      ]),
      body: inbound.body,
      requestId,
      timeoutMs: Math.max(0, inbound.remainingMs),
      connectTimeoutMs: limits.connectTimeoutMs,
      stallTimeoutMs: service.stallTimeoutMs,
      callerStallTimeoutMs: service.callerStallTimeoutMs,
      maxBodyBytes: service.maxRequestBodyBytes,
      clock,
    }
    let exchange!: Exchange
    const settled = new Promise<ExchangeResult>((resolve) => {
      exchange = new Exchange(spec, {
        maySend: () => !inbound.isCallerGone && inbound.remainingMs > 0,
        connectionClosed: (event) => {
          metrics.connectionClosed(peer.forwardAddress, event)
        },
        onResult: resolve,
      })
    })
    const unsubscribe = inbound.onCallerGone(() => {
      exchange.cancel()
    })
    const result = await settled
    unsubscribe()
    if (result.kind === 'notSent') {
      return inbound.isCallerGone
        ? { kind: 'callerGone' }
        : { kind: 'retry', answer: unreachable, sent: false }
    }
    if (result.kind !== 'head') {
      inbound.mayHaveRun = true
      if (inbound.isCallerGone) return { kind: 'callerGone' }
      return {
        kind: 'generated',
        answer: GeneratedResponse.unknown(
          'forward_failed',
          `no complete response came from the peer host (${result.kind})`,
        ),
      }
    }
    const { response } = result
    if (response.headers[routerHeaders.outcome] === undefined) return { kind: 'answer', exchange, response }
    return this.#refusal(inbound, exchange, response)
  }

  async #refusal(
    inbound: InboundRequest,
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
    inbound.mayHaveRun = true
    return {
      kind: 'generated',
      answer:
        answer?.outcome === Outcome.unknown
          ? answer
          : GeneratedResponse.unknown('forward_failed', 'the response of the peer host was not complete'),
    }
  }
}

/** Reads how a forwarded request reached this host, or why it is refused. Its secret was checked before. */
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
    return GeneratedResponse.notRun(
      400,
      'bad_forward',
      'header fields of the forwarded request are missing or invalid',
    )
  }
  if (hops > maxHops)
    return GeneratedResponse.notRun(421, 'too_many_hops', 'the request was forwarded over too many hosts')
  if (visited.includes(hostId)) {
    return GeneratedResponse.notRun(
      421,
      'forwarding_loop',
      'the request was forwarded to a host that it had already passed',
    )
  }
  return { forwarded: true, hops, visited, requestId, deadlineMs, attempt }
}
