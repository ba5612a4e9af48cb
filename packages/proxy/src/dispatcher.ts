/** Sends a request to a target of one cell: acquires permits, retries and hedges. */
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
  /** Nothing was sent, as the permit source refused a permit. */
  | { readonly kind: 'noPermit'; readonly refusal: PermitRefusal }
  | Failure

interface SettledAttempt {
  readonly attempt: Attempt
  readonly result: AttemptResult
}

const unknownOutcomes: Partial<Record<AttemptResult['kind'], GeneratedResponse>> = {
  lost: GeneratedResponse.unknown(
    'connection_lost',
    'the connection to the target was lost after the request was sent',
  ),
  timedOut: GeneratedResponse.unknown('deadline_exceeded', 'the target did not respond in time'),
  crossed: GeneratedResponse.unknown('crossed_answer', 'the target sent the response of another request'),
  unframed: GeneratedResponse.unknown(
    'unframed_answer',
    'the response has no framing, so its end could not be checked',
  ),
  malformed: GeneratedResponse.unknown('malformed_answer', 'the response has a status that does not exist'),
  bodyFailed: GeneratedResponse.unknown(
    'body_failed',
    'the request body was too large, made no progress or was broken off',
  ),
}

const certainlyNotRun = ({ kind }: AttemptResult): boolean => kind === 'refused' || kind === 'notSent'

const failureResponse = (result: AttemptResult): GeneratedResponse => {
  if (result.kind === 'refused') {
    return GeneratedResponse.notRun(503, 'target_refused', 'the target refused the request before it started')
  }
  if (result.kind !== 'notSent')
    return unknownOutcomes[result.kind] ?? GeneratedResponse.unknown('cancelled', 'cancelled')
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

  /** Resolves to the head of a response, or to a failure that says only what is certain about the request. */
  async run(inbound: InboundRequest, source: PermitSource): Promise<DispatchResult> {
    const excluded: string[] = []
    let kind = inbound.origin.attempt
    let last: GeneratedResponse | undefined
    let needsFreshConnection = false
    for (;;) {
      if (inbound.isCallerGone && this.#mayCancel(inbound)) return { kind: 'callerGone' }
      if (inbound.remainingMs <= 0) return this.#endWithFailure(inbound, last)
      const requestedAt = Instant.now(this.#context.clock)
      const granted = await source.acquire(
        this.#permitRequest(inbound, kind, excluded),
        inbound.callerGoneSignal,
      )
      if (granted.isErr) {
        if (granted.error.code === PermitRefusalCode.cancelled) return { kind: 'callerGone' }
        if (last !== undefined) return this.#endWithFailure(inbound, last)
        return { kind: 'noPermit', refusal: granted.error }
      }
      const attempt = this.#startAttempt(
        inbound,
        source,
        granted.value,
        requestedAt,
        kind,
        needsFreshConnection,
      )
      const { attempt: settled, result } = await this.#awaitAttempt(inbound, source, attempt, kind, excluded)
      if (result.kind === 'head') return { kind: 'answer', attempt: settled, response: result.response }
      if (!certainlyNotRun(result)) inbound.mayHaveRun = true
      last =
        inbound.mayHaveRun && certainlyNotRun(result) && last !== undefined ? last : failureResponse(result)
      if (!this.#mayRepeat(inbound, result)) return this.#endWithFailure(inbound, last)
      const unused = result.kind === 'notSent' && result.reason === 'notUsable'
      // The target may have closed a reused connection while it was idle; that does not show a fault of the
      // target.
      const targetIsFine = unused || (result.kind === 'lost' && result.reused)
      if (inbound.key === undefined && !targetIsFine) excluded.push(settled.permit.target)
      needsFreshConnection = true
      if (!unused) kind = AttemptKind.retry
    }
  }

  #endWithFailure(inbound: InboundRequest, last: GeneratedResponse | undefined): Failure {
    if (inbound.isCallerGone) return { kind: 'callerGone' }
    const answer =
      last ??
      GeneratedResponse.notRun(503, 'deadline_exceeded', 'the time ran out before the request was sent')
    return { kind: 'generated', answer }
  }

  /**
   * A non-idempotent request that may have run is not cancelled when its caller is gone: its response is
   * stored.
   */
  #mayCancel(inbound: InboundRequest): boolean {
    return inbound.idempotent || !inbound.mayHaveRun
  }

  #mayRepeat(inbound: InboundRequest, result: AttemptResult): boolean {
    // A forwarded request is repeated only by the host that its caller sent it to.
    if (inbound.origin.forwarded || inbound.isCallerGone) return false
    if (inbound.attempts >= this.#context.limits.maxAttempts || inbound.remainingMs <= 0) return false
    if (result.kind === 'notSent') return result.reason === 'connect' || result.reason === 'notUsable'
    if (inbound.body.kind === 'stream') return false
    return inbound.idempotent || (inbound.hasLedgerRow && !inbound.mayHaveRun && result.kind === 'refused')
  }

  #permitRequest(
    inbound: InboundRequest,
    attempt: AttemptKind,
    excludedTargets: readonly string[],
  ): Parameters<PermitSource['acquire']>[0] {
    return {
      requestId: inbound.origin.requestId,
      service: inbound.service.name,
      shard: inbound.key?.shard,
      keyHash: inbound.key?.keyHash,
      excludedTargets: [...excludedTargets],
      deadlineMs: inbound.remainingMs,
      identity: inbound.identity,
      attempt,
      idempotent: inbound.idempotent,
    }
  }

  #startAttempt(
    inbound: InboundRequest,
    source: PermitSource,
    permit: Permit,
    requestedAt: Instant,
    kind: AttemptKind,
    needsFreshConnection: boolean,
  ): Attempt {
    const { service, key } = inbound
    const requestId = inbound.nextRequestId()
    const routerFields = [
      routerHeaders.requestId,
      requestId,
      routerHeaders.service,
      service.name,
      routerHeaders.term,
      permit.term,
      routerHeaders.deadlineMs,
      String(Math.max(1, Math.floor(inbound.remainingMs))),
    ]
    if (permit.fence !== undefined) routerFields.push(routerHeaders.fence, permit.fence)
    if (key !== undefined)
      routerFields.push(routerHeaders.shard, String(key.shard), routerHeaders.keyHash, key.keyHash)
    return new Attempt(this.#context, {
      permit,
      source,
      requestedAt,
      kind,
      service: service.name,
      deadlineAtMs: inbound.deadlineAtMs,
      exchange: {
        clock: this.#context.clock,
        timeoutMs: Math.max(0, inbound.remainingMs),
        connectTimeoutMs: this.#context.limits.connectTimeoutMs,
        endpoint: this.#context.pool.forTarget(permit.address, service.connections),
        freshConnection: needsFreshConnection,
        method: inbound.method,
        path: inbound.path,
        headers: inbound.outgoingHeaders(routerFields),
        body: inbound.body,
        requestId,
        stallTimeoutMs: service.stallTimeoutMs,
        callerStallTimeoutMs: service.callerStallTimeoutMs,
        maxBodyBytes: service.maxRequestBodyBytes,
      },
    })
  }

  /**
   * The result of the attempt, or of its hedge if that responded first; the other of the two is cancelled.
   */
  async #awaitAttempt(
    inbound: InboundRequest,
    source: PermitSource,
    first: Attempt,
    kind: AttemptKind,
    excluded: readonly string[],
  ): Promise<SettledAttempt> {
    const { hedgeAfterMs } = first.permit
    const hedged =
      hedgeAfterMs !== undefined &&
      kind === AttemptKind.first &&
      inbound.idempotent &&
      inbound.body.kind === 'none'
    const unsubscribe = inbound.onCallerGone(() => {
      if (inbound.idempotent || !first.sent) first.cancel()
    })
    const settled = hedged
      ? await this.#raceWithHedge(inbound, source, first, hedgeAfterMs, excluded)
      : { attempt: first, result: await first.result }
    unsubscribe()
    return settled
  }

  #raceWithHedge(
    inbound: InboundRequest,
    source: PermitSource,
    first: Attempt,
    hedgeAfterMs: number,
    excluded: readonly string[],
  ): Promise<SettledAttempt> {
    const { clock } = this.#context
    return new Promise((resolve) => {
      const stopAcquiring = new AbortController()
      const running = new Set<Attempt>()
      let isAcquiring = false
      /** The result when no attempt gets a response; one that may have run is preferred. */
      let fallbackResult: SettledAttempt | undefined
      let done = false
      const finish = (settled: SettledAttempt): void => {
        done = true
        stopTimer()
        stopAcquiring.abort()
        unsubscribe()
        running.delete(settled.attempt)
        for (const loser of running) {
          inbound.mayHaveRun ||= loser.sent
          loser.cancel()
        }
        resolve(settled)
      }
      const track = (attempt: Attempt): void => {
        running.add(attempt)
        void attempt.result.then((result) => {
          running.delete(attempt)
          if (done) {
            // Both responded in the same turn of the event loop.
            if (result.kind === 'head') attempt.abandon('cancelled')
            return
          }
          if (!certainlyNotRun(result) && result.kind !== 'head') inbound.mayHaveRun = true
          if (result.kind === 'head') finish({ attempt, result })
          else {
            if (fallbackResult === undefined || certainlyNotRun(fallbackResult.result))
              fallbackResult = { attempt, result }
            if (running.size === 0 && !isAcquiring) finish(fallbackResult)
          }
        })
      }
      const hedge = async (): Promise<void> => {
        // Only the owner of a key may serve it, so a keyed request is hedged at the same target over another
        // connection.
        const avoid = inbound.key === undefined ? [...excluded, first.permit.target] : excluded
        const requestedAt = Instant.now(clock)
        isAcquiring = true
        const granted = await source.acquire(
          this.#permitRequest(inbound, AttemptKind.hedge, avoid),
          stopAcquiring.signal,
        )
        isAcquiring = false
        if (granted.isOk) {
          if (!done && !inbound.isCallerGone) {
            const sameTarget = granted.value.target === first.permit.target
            track(
              this.#startAttempt(inbound, source, granted.value, requestedAt, AttemptKind.hedge, sameTarget),
            )
          } else source.release(granted.value, { outcome: 'unused', latencyMs: 0 })
        } else if (running.size === 0 && fallbackResult !== undefined) finish(fallbackResult)
      }
      const stopTimer = clock.schedule(hedgeAfterMs, () => {
        if (running.size > 0) void hedge()
      })
      const unsubscribe = inbound.onCallerGone(() => {
        stopAcquiring.abort()
        for (const attempt of running) attempt.cancel()
      })
      track(first)
    })
  }
}
