/** Sends a request to a target of one cell: permits, retries within their budget, and hedges. */
import {
  AttemptKind,
  Instant,
  PermitRefusalCode,
  type Permit,
  type PermitRefusal,
  type PermitSource,
} from '@pimentotally/core'
import type { IncomingMessage } from 'node:http'
import { Attempt, type AttemptContext, type AttemptResult } from './attempt.js'
import type { InboundRequest, Failure } from './inbound-request.js'
import { GeneratedResponse, routerHeaders } from './generated-response.js'

export type DispatchResult =
  | { readonly kind: 'answer'; readonly attempt: Attempt; readonly response: IncomingMessage }
  /** Nothing was sent, and the permit source said why. */
  | { readonly kind: 'noPermit'; readonly refusal: PermitRefusal }
  | Failure

interface SettledAttempt {
  readonly attempt: Attempt
  readonly result: AttemptResult
}

const unknown: Partial<Record<AttemptResult['kind'], GeneratedResponse>> = {
  lost: GeneratedResponse.unknown(
    'connection_lost',
    'the connection to the target was lost after the request was sent',
  ),
  timedOut: GeneratedResponse.unknown('deadline_exceeded', 'the target did not answer in time'),
  crossed: GeneratedResponse.unknown('crossed_answer', 'the target answered another request'),
  unframed: GeneratedResponse.unknown('unframed_answer', 'the end of the answer could not be checked'),
  bodyFailed: GeneratedResponse.unknown('body_failed', 'the request body was too large or made no progress'),
}

const certainlyNotRun = ({ kind }: AttemptResult): boolean => kind === 'refused' || kind === 'notSent'

const failureResponse = (result: AttemptResult): GeneratedResponse => {
  if (result.kind === 'refused') {
    return GeneratedResponse.notRun(503, 'target_refused', 'the target refused the request before it started')
  }
  if (result.kind !== 'notSent')
    return unknown[result.kind] ?? GeneratedResponse.unknown('cancelled', 'cancelled')
  switch (result.reason) {
    case 'connect':
      return GeneratedResponse.notRun(
        503,
        'target_unreachable',
        'no connection to the target could be opened',
      )
    case 'notUsable':
      return GeneratedResponse.notRun(503, 'permit_expired', 'the permit could not be used in time')
    case 'deadline':
    case 'cancelled':
      return GeneratedResponse.notRun(
        503,
        'deadline_exceeded',
        'the time ran out before the request was sent',
      )
  }
}

export class Dispatcher {
  readonly #context: AttemptContext

  constructor(context: AttemptContext) {
    this.#context = context
  }

  /** Resolves to the head of an answer, or to what is certain about the request without one. */
  async run(call: InboundRequest, source: PermitSource): Promise<DispatchResult> {
    const excluded: string[] = []
    let kind = call.origin.attempt
    let last: GeneratedResponse | undefined
    let fresh = false
    for (;;) {
      if (call.isCallerGone && this.#mayCancel(call)) return { kind: 'callerGone' }
      if (call.remainingMs <= 0) return this.#giveUp(call, last)
      const askedAt = Instant.now(this.#context.clock)
      const granted = await source.acquire(this.#permitRequest(call, kind, excluded), call.callerGoneSignal)
      if (granted.isErr) {
        if (granted.error.code === PermitRefusalCode.cancelled) return { kind: 'callerGone' }
        if (last !== undefined) return this.#giveUp(call, last)
        return { kind: 'noPermit', refusal: granted.error }
      }
      const attempt = this.#attempt(call, source, granted.value, askedAt, kind, fresh)
      const { attempt: settled, result } = await this.#settle(call, source, attempt, kind, excluded)
      if (result.kind === 'head') return { kind: 'answer', attempt: settled, response: result.response }
      if (!certainlyNotRun(result)) call.mayHaveRun = true
      last = call.mayHaveRun && certainlyNotRun(result) && last !== undefined ? last : failureResponse(result)
      if (!this.#mayRepeat(call, result)) return this.#giveUp(call, last)
      const unused = result.kind === 'notSent' && result.reason === 'notUsable'
      // A connection that was reused may have been closed while idle, which says nothing about its target.
      const targetIsFine = unused || (result.kind === 'lost' && result.reused)
      if (call.key === undefined && !targetIsFine) excluded.push(settled.permit.target)
      fresh = true
      if (!unused) kind = AttemptKind.retry
    }
  }

  #giveUp(call: InboundRequest, last: GeneratedResponse | undefined): Failure {
    if (call.isCallerGone) return { kind: 'callerGone' }
    const answer =
      last ??
      GeneratedResponse.notRun(503, 'deadline_exceeded', 'the time ran out before the request was sent')
    return { kind: 'generated', answer }
  }

  /** A request that may change something is not cancelled for a caller that has gone: its answer is recorded. */
  #mayCancel(call: InboundRequest): boolean {
    return call.idempotent || !call.mayHaveRun
  }

  #mayRepeat(call: InboundRequest, result: AttemptResult): boolean {
    // Another host's request is repeated only by that host.
    if (call.origin.forwarded || call.isCallerGone) return false
    if (call.attempts >= this.#context.limits.maxAttempts || call.remainingMs <= 0) return false
    if (result.kind === 'notSent') return result.reason === 'connect' || result.reason === 'notUsable'
    if (call.body.kind === 'stream') return false
    return call.idempotent || (call.hasLedgerRow && !call.mayHaveRun && result.kind === 'refused')
  }

  #permitRequest(
    call: InboundRequest,
    attempt: AttemptKind,
    excludedTargets: readonly string[],
  ): Parameters<PermitSource['acquire']>[0] {
    return {
      requestId: call.origin.requestId,
      service: call.service.name,
      shard: call.key?.shard,
      keyHash: call.key?.keyHash,
      excludedTargets: [...excludedTargets],
      deadlineMs: call.remainingMs,
      identity: call.identity,
      attempt,
      idempotent: call.idempotent,
    }
  }

  #attempt(
    call: InboundRequest,
    source: PermitSource,
    permit: Permit,
    askedAt: Instant,
    kind: AttemptKind,
    fresh: boolean,
  ): Attempt {
    const { service, key } = call
    const requestId = call.nextRequestId()
    const own = [
      routerHeaders.requestId,
      requestId,
      routerHeaders.service,
      service.name,
      routerHeaders.term,
      permit.term,
      routerHeaders.deadlineMs,
      String(Math.max(1, Math.floor(call.remainingMs))),
    ]
    if (permit.fence !== undefined) own.push(routerHeaders.fence, permit.fence)
    if (key !== undefined)
      own.push(routerHeaders.shard, String(key.shard), routerHeaders.keyHash, key.keyHash)
    return new Attempt(this.#context, {
      permit,
      source,
      requestedAt: askedAt,
      kind,
      service: service.name,
      deadlineAtMs: call.deadlineAtMs,
      exchange: {
        clock: this.#context.clock,
        timeoutMs: Math.max(0, call.remainingMs),
        connectTimeoutMs: this.#context.limits.connectTimeoutMs,
        endpoint: this.#context.pool.forTarget(permit.address, service.connections),
        freshConnection: fresh,
        method: call.method,
        path: call.path,
        headers: call.outgoingHeaders(own),
        body: call.body,
        requestId,
        stallTimeoutMs: service.stallTimeoutMs,
        callerStallTimeoutMs: service.callerStallTimeoutMs,
        maxBodyBytes: service.maxRequestBodyBytes,
      },
    })
  }

  /** The attempt's result, or that of a hedge which answered first; the loser is cancelled. */
  async #settle(
    call: InboundRequest,
    source: PermitSource,
    first: Attempt,
    kind: AttemptKind,
    excluded: readonly string[],
  ): Promise<SettledAttempt> {
    const { hedgeAfterMs } = first.permit
    const hedged =
      hedgeAfterMs !== undefined && kind === AttemptKind.first && call.idempotent && call.body.kind === 'none'
    const forget = call.onCallerGone(() => {
      if (call.idempotent || !first.sent) first.cancel()
    })
    const settled = hedged
      ? await this.#race(call, source, first, hedgeAfterMs, excluded)
      : { attempt: first, result: await first.result }
    forget()
    return settled
  }

  #race(
    call: InboundRequest,
    source: PermitSource,
    first: Attempt,
    hedgeAfterMs: number,
    excluded: readonly string[],
  ): Promise<SettledAttempt> {
    const { clock } = this.#context
    return new Promise((resolve) => {
      const stop = new AbortController()
      const running = new Set<Attempt>()
      let asking = false
      let worst: SettledAttempt | undefined
      let done = false
      const finish = (settled: SettledAttempt): void => {
        done = true
        stopTimer()
        stop.abort()
        forget()
        running.delete(settled.attempt)
        for (const loser of running) {
          call.mayHaveRun ||= loser.sent
          loser.cancel()
        }
        resolve(settled)
      }
      const watch = (attempt: Attempt): void => {
        running.add(attempt)
        void attempt.result.then((result) => {
          running.delete(attempt)
          if (done) {
            // Both answered in one turn of the event loop.
            if (result.kind === 'head') attempt.abandon('cancelled')
            return
          }
          if (!certainlyNotRun(result) && result.kind !== 'head') call.mayHaveRun = true
          if (result.kind === 'head') finish({ attempt, result })
          else {
            if (worst === undefined || certainlyNotRun(worst.result)) worst = { attempt, result }
            if (running.size === 0 && !asking) finish(worst)
          }
        })
      }
      const hedge = async (): Promise<void> => {
        // The owner of a key is the only target that may answer, over another connection.
        const avoid = call.key === undefined ? [...excluded, first.permit.target] : excluded
        const askedAt = Instant.now(clock)
        asking = true
        const granted = await source.acquire(this.#permitRequest(call, AttemptKind.hedge, avoid), stop.signal)
        asking = false
        if (granted.isOk) {
          if (!done && !call.isCallerGone) {
            const sameTarget = granted.value.target === first.permit.target
            watch(this.#attempt(call, source, granted.value, askedAt, AttemptKind.hedge, sameTarget))
          } else source.release(granted.value, { outcome: 'unused', latencyMs: 0 })
        } else if (running.size === 0 && worst !== undefined) finish(worst)
      }
      const stopTimer = clock.schedule(hedgeAfterMs, () => {
        if (running.size > 0) void hedge()
      })
      const forget = call.onCallerGone(() => {
        stop.abort()
        for (const attempt of running) attempt.cancel()
      })
      watch(first)
    })
  }
}
