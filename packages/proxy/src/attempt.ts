/**
 * One use of a permit: an exchange with the target, and the release of the permit when the request has ended
 * there.
 */
import {
  AttemptOutcome,
  Instant,
  type AttemptKind,
  type Clock,
  type InvariantReporter,
  type Permit,
  type PermitSource,
} from '@pimentotally/core'
import { Exchange, type ExchangeListener, type ExchangeResult, type ExchangeSpec } from './exchange.js'
import { routerHeaders } from './generated-response.js'
import type { ConnectionEvent, ProxyMetrics } from './metrics.js'
import type { ProxyLimits } from './proxy-limits.js'
import type { ConnectionPool } from './connection-pool.js'

export interface AttemptContext {
  readonly pool: ConnectionPool
  readonly limits: ProxyLimits
  readonly clock: Clock
  readonly metrics: ProxyMetrics
  readonly invariants: InvariantReporter
  /** Asked just before the first byte is written; see `RequestHandlerOptions`. */
  readonly isUsable: (permit: Permit) => boolean
}

export interface AttemptOptions {
  readonly permit: Permit
  readonly source: PermitSource
  /** Taken before the permit was requested. */
  readonly requestedAt: Instant
  readonly kind: AttemptKind
  readonly service: string
  /** On the monotonic clock. */
  readonly deadlineAtMs: number
  readonly exchange: ExchangeSpec
}

/** `refused`: the target said that it refused the request before starting it. */
export type AttemptResult = ExchangeResult | { readonly kind: 'refused' }

export class Attempt implements ExchangeListener {
  readonly result: Promise<AttemptResult>
  readonly permit: Permit
  readonly #context: AttemptContext
  readonly #options: AttemptOptions
  readonly #exchange: Exchange
  #resolve!: (result: AttemptResult) => void
  #latencyMs = 0
  #released = false

  constructor(context: AttemptContext, options: AttemptOptions) {
    this.#context = context
    this.#options = options
    this.permit = options.permit
    this.result = new Promise((resolve) => {
      this.#resolve = resolve
    })
    try {
      this.#exchange = new Exchange(options.exchange, this)
    } catch (error) {
      this.#release(AttemptOutcome.unused)
      throw error
    }
  }

  get requestId(): string {
    return this.#options.exchange.requestId
  }

  get sent(): boolean {
    return this.#exchange.sent
  }

  /**
   * Ends the attempt; its permit is released when the target confirms the end, or some time past the
   * deadline.
   */
  cancel(): void {
    this.#exchange.cancel()
  }

  /** To be called after a result with the head of a response, when the body of that response has ended. */
  completed(status: number): void {
    this.#release(status >= 500 ? AttemptOutcome.failed : AttemptOutcome.ok)
  }

  /** To be called after a result with the head of a response, when the rest of it is given up. */
  abandon(reason: 'truncated' | 'targetStalled' | 'cancelled'): void {
    if (reason === 'targetStalled') this.#exchange.destroySilentConnection()
    else this.#exchange.cancel()
    void this.#releaseWhenEnded(
      reason === 'truncated'
        ? AttemptOutcome.connectionLost
        : reason === 'targetStalled'
          ? AttemptOutcome.timedOut
          : AttemptOutcome.cancelled,
    )
  }

  maySend(): boolean {
    const { clock, isUsable } = this.#context
    const { permit, requestedAt, deadlineAtMs } = this.#options
    return (
      Instant.holderElapsedMs(requestedAt, clock) < permit.sendWithinMs &&
      clock.monotonicMs() < deadlineAtMs &&
      isUsable(permit)
    )
  }

  connectionClosed(event: ConnectionEvent): void {
    this.#context.metrics.connectionClosed(this.permit.address, event)
  }

  onResult(result: ExchangeResult): void {
    this.#resolve(this.#conclude(result))
  }

  #conclude(result: ExchangeResult): AttemptResult {
    this.#latencyMs = this.#exchange.elapsedMs
    const { clock } = this.#context
    const unused = result.kind === 'notSent' && result.reason === 'notUsable'
    if (unused && clock.monotonicMs() >= this.#options.deadlineAtMs) {
      this.#release(AttemptOutcome.unused)
      return { kind: 'notSent', reason: 'deadline' }
    }
    switch (result.kind) {
      case 'head': {
        const { headers } = result.response
        if (headers[routerHeaders.targetRefused] !== 'true') return result
        result.response.on('error', () => undefined).resume()
        this.#release(AttemptOutcome.refused)
        return { kind: 'refused' }
      }
      case 'notSent':
        this.#release(result.reason === 'connect' ? AttemptOutcome.connectionLost : AttemptOutcome.unused)
        break
      case 'lost':
        void this.#releaseWhenEnded(AttemptOutcome.connectionLost)
        break
      case 'timedOut':
        void this.#releaseWhenEnded(AttemptOutcome.timedOut)
        break
      case 'crossed':
      case 'unframed':
      case 'malformed':
        void this.#releaseWhenEnded(AttemptOutcome.failed)
        break
      case 'cancelled':
      case 'bodyFailed':
        void this.#releaseWhenEnded(AttemptOutcome.cancelled)
        break
    }
    return result
  }

  /**
   * Repeats the cancel until the target confirms that the request has ended, then releases the permit.
   * Without a confirmation the permit is kept for at least `cancelGraceMs` past the deadline, or past this
   * call if that is later.
   */
  async #releaseWhenEnded(outcome: AttemptOutcome): Promise<void> {
    const { pool, clock, limits } = this.#context
    const giveUpAtMs = Math.max(this.#options.deadlineAtMs, clock.monotonicMs()) + limits.cancelGraceMs
    for (let pauseMs = 20; ; pauseMs = Math.min(pauseMs * 2, 500)) {
      if (await pool.cancel(this.permit.address, this.requestId)) break
      const leftMs = giveUpAtMs - clock.monotonicMs()
      if (leftMs <= 0) break
      await clock.sleep(Math.min(pauseMs, leftMs))
    }
    this.#release(outcome)
  }

  #release(outcome: AttemptOutcome): void {
    const { invariants, metrics } = this.#context
    const { permit, source, service, kind } = this.#options
    const first = invariants.check(!this.#released, 'permit-released-once', () => ({
      step: 'permit.release',
      peer: permit.target,
      permitId: permit.permitId,
    }))
    if (!first) return
    this.#released = true
    const latencyMs = this.#latencyMs
    source.release(permit, { outcome, latencyMs })
    metrics.attemptEnded({ service, target: permit.target, kind, outcome, latencyMs })
  }
}
