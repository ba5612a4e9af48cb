/**
 * Carries one request from its caller to a target and the answer back: it repeats what may be repeated, and gives the
 * request exactly one answer. A refusal that says the request did not run is sent only when no byte of it reached a
 * target, or every target that got it said so.
 */
import { endToEndHeaders } from '@pimentotally/http'
import { replacedTargetHeaders, isMisdirected, targetHeaders } from '@pimentotally/platform'
import {
  hedgeDelayMs,
  isIdempotent,
  moveWaitMs,
  predictedMs,
  spreadRetryAfterMs,
  type Prediction,
} from '@pimentotally/routing'
import {
  forwardResponse,
  isNotRunStatus,
  sendGeneratedResponse,
  type GeneratedResponse,
} from './caller-response.js'
import type { KnownTarget } from './directory.js'
import type { Dispatcher, DispatcherOptions, InboundRequest } from './dispatcher.js'
import { NotSentReason, TargetExchange, type ExchangeResult, type TargetResponse } from './target-exchange.js'
import {
  RefusalReason,
  defaultRetryAfterMs,
  type ChosenTarget,
  type Refusal,
  type Selection,
} from './target-selector.js'

/** Failure domains are at most some milliseconds apart; a lost first packet is sent again only after a second. */
const connectTimeoutMs = 400
/** The answer has to reach the caller before its deadline. */
const answerMarginMs = 15
/** For callers and routes that set no limit. */
const longestRequestMs = 60_000
/** An answer that arrives after its caller's deadline is still passed on for this time. */
const streamMarginMs = 1000
/** The same from its beginning, for callers that set no deadline. */
const longestStreamMs = 600_000
/** Sends of one request, whatever its route allows. */
const maxSends = 3
/** With less than this share of the work time left, another send would hardly end in time. */
const minWorkShareLeft = 0.5
/**
 * A target that has all the connections it accepts resets a new one at once. A request that must not be repeated is
 * written when the reset would have arrived, two ways between failure domains later. Load pattern: two hundred hosts share
 * the connections of a target.
 */
const unsafeSettleMs = 4
/** Longest idle time of a connection that carries a request which must not be repeated. */
const unsafeIdleMs = 1500

interface Attempt {
  readonly target: KnownTarget
  readonly exchange: TargetExchange
  readonly sentAtMs: number
  readonly predicted: Prediction
}

type SendKind = 'first' | 'retry' | 'hedge'

const isMoving = (selection: Selection): boolean =>
  'refusal' in selection && selection.refusal.reason === RefusalReason.keyMoving

const causeOf = (result: ExchangeResult): string => {
  switch (result.kind) {
    case 'response':
      return `status_${String(result.status)}`
    case 'lost':
      return result.reason
    case 'not_sent':
      return result.kind
  }
}

export class ProxiedRequest {
  readonly #dispatcher: Dispatcher
  readonly #inbound: InboundRequest
  readonly #idempotent: boolean
  readonly #endsAtMs: number
  readonly #attempts = new Set<Attempt>()
  readonly #tried = new Set<string>()
  /** Targets that did not hold the request's key any more. */
  readonly #disowned = new Set<string>()
  /** Targets that this request is not sent to again, though they own its key. */
  readonly #barred = new Set<string>()
  /** Targets that may have run the request. */
  readonly #ranOn = new Set<string>()
  #sends = 0
  #finished = false
  /** An answer of a target that is passed on when nothing better comes. */
  #spare: TargetResponse | undefined
  readonly #cleanups: (() => void)[] = []

  constructor(dispatcher: Dispatcher, inbound: InboundRequest) {
    this.#dispatcher = dispatcher
    this.#inbound = inbound
    const { route } = inbound.match
    this.#idempotent = isIdempotent(route.kind)
    const routeLimitMs = route.timeoutMs > 0 ? route.timeoutMs : longestRequestMs
    this.#endsAtMs =
      inbound.arrivedAtMs + Math.min(routeLimitMs, inbound.callerDeadlineMs ?? longestRequestMs)
  }

  get #options(): DispatcherOptions {
    return this.#dispatcher.options
  }

  async start(): Promise<void> {
    const { clock, countKey } = this.#options
    const { match, key, request } = this.#inbound
    // Of several requests on one connection, only the first in turn learns from its response that the caller has left.
    const { socket } = request
    const left = (): void => {
      this.#callerLeft()
    }
    socket.setMaxListeners(0).once('close', left)
    this.#cleanups.push(() => socket.off('close', left))
    if (socket.destroyed) {
      this.#callerLeft()
      return
    }
    this.#dispatcher.retryBudgetOf(match.service.name).recordRequest(this.#nowMs())
    if (match.service.isSharded && key !== undefined) countKey(match.service.name, key)
    const timeOut = (): void => {
      this.#timeOut()
    }
    this.#cleanups.push(clock.schedule(Math.max(1, this.#leftMs() - answerMarginMs), timeOut))
    await this.#send('first')
  }

  #nowMs(): number {
    return this.#options.clock.monotonicMs()
  }

  #leftMs(): number {
    return this.#endsAtMs - this.#nowMs()
  }

  #elapsedMs(): number {
    return this.#nowMs() - this.#inbound.arrivedAtMs
  }

  async #send(kind: SendKind): Promise<void> {
    if (this.#finished) return
    const selection = await this.#selectSettled()
    if (selection === undefined) return
    const refusal = 'refusal' in selection ? selection.refusal : this.#refuseRepeat(kind, selection.target)
    if (refusal === undefined) {
      this.#launch(selection as ChosenTarget)
      if (kind === 'first') this.#scheduleHedge((selection as ChosenTarget).predicted)
      return
    }
    if (kind !== 'hedge') this.#endWithout(refusal)
  }

  /** Waits a little for a key that moves; undefined when the request ended meanwhile. */
  async #selectSettled(): Promise<Selection | undefined> {
    const { directory } = this.#options
    let selection = this.#select()
    if (!isMoving(selection)) return selection
    const untilMs = this.#nowMs() + moveWaitMs(this.#leftMs())
    while (isMoving(selection) && this.#nowMs() < untilMs) {
      await directory.waitForAssignmentChange(Math.max(1, untilMs - this.#nowMs()))
      if (this.#finished) return undefined
      selection = this.#select()
    }
    return selection
  }

  #select(): Selection {
    const { match, key } = this.#inbound
    return this.#dispatcher.selector.select({
      match,
      key,
      tried: this.#tried,
      notHolding: this.#disowned,
      noRetry: this.#barred,
      elapsedMs: this.#elapsedMs(),
      leftMs: this.#leftMs(),
    })
  }

  #refuseRepeat(kind: SendKind, { id }: KnownTarget): Refusal | undefined {
    if (kind === 'first') return undefined
    // A key may have moved since; its next owner is one more target.
    const { maxTargets } = this.#inbound.match.route
    if (!this.#ranOn.has(id) && this.#ranOn.size >= maxTargets) {
      return { reason: 'targets_used', retryAfterMs: defaultRetryAfterMs }
    }
    const budget = this.#dispatcher.retryBudgetOf(this.#inbound.match.service.name)
    if (budget.trySpend(this.#nowMs(), this.#options.directory.hostCount)) return undefined
    return { reason: 'retry_budget', retryAfterMs: defaultRetryAfterMs }
  }

  #launch({ target, predicted }: ChosenTarget): void {
    const { targets } = this.#options
    const { request, requestId, match, body } = this.#inbound
    const agent = targets.agent(target, match.service)
    // A request that cannot be repeated is not risked on a connection that the target may have closed or spoiled.
    if (!this.#idempotent) agent.dropIdleLongerThan(targets.isReuseUnsafe(target.id) ? 0 : unsafeIdleMs)
    const sentAtMs = this.#nowMs()
    const exchange = new TargetExchange({
      agent,
      address: target.address,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: this.#headers(target.id),
      body,
      requestId,
      connectTimeoutMs: Math.min(connectTimeoutMs, Math.max(1, this.#leftMs())),
      delayAfterConnectMs: this.#idempotent ? 0 : unsafeSettleMs,
      mayStart: () => !this.#finished,
      settled: (result) => {
        this.#attempts.delete(attempt)
        this.#observe(attempt, result)
        this.#settled(attempt, result)
      },
    })
    const attempt: Attempt = { target, exchange, sentAtMs, predicted }
    this.#attempts.add(attempt)
    this.#tried.add(target.id)
    this.#sends += 1
    targets.started(target.id)
  }

  #headers(targetId: string): string[] {
    const { request, body } = this.#inbound
    const headers = endToEndHeaders(request, { dropContentLength: true, alsoDrop: replacedTargetHeaders })
    headers.push(...targetHeaders(targetId, this.#leftMs()))
    if (body !== undefined) headers.push('Content-Length', String(body.length))
    return headers
  }

  /** Records what the result tells about the target. */
  #observe({ target, sentAtMs, predicted }: Attempt, result: ExchangeResult): void {
    const { targets, metrics, observeSpeed } = this.#options
    const { route, service } = this.#inbound.match
    const tookMs = this.#nowMs() - sentAtMs
    metrics.attemptEnded(service.name, result.kind === 'response' ? result.kind : causeOf(result), tookMs)
    targets.ended(target.id)
    if (result.kind === 'not_sent') {
      if (result.reason === NotSentReason.connect) targets.connectFailed(target, result.message)
    } else if (result.kind === 'lost') {
      targets.lost(target.id, result.reason)
    } else {
      const failed = result.notExecuted || result.status >= 500
      targets.responded(target, service, result.incoming.headers, failed)
      if (failed) return
      const expectedMs = this.#dispatcher.routeWorkMs(route)
      const { load } = targets.of(target.id)
      const workMs = load.recordResponse(this.#nowMs(), { tookMs, predicted, expectedMs })
      // Targets slow down when they are nearly full, which says nothing of their speed.
      if (load.hadNoQueue) observeSpeed(target.id, workMs / expectedMs)
      this.#dispatcher.recordWorkTime(route, workMs)
    }
  }

  #settled({ target }: Attempt, result: ExchangeResult): void {
    if (this.#finished) {
      if (result.kind === 'response' && !result.complete) result.incoming.destroy()
      return
    }
    const ran = result.kind === 'lost' || (result.kind === 'response' && !result.notExecuted)
    if (ran) this.#ranOn.add(target.id)
    if (result.kind === 'response' && ran) {
      if (result.status < 500 || !this.#idempotent) {
        this.#answer(target.id, result)
        return
      }
      this.#spare = result
    }
    if (result.kind === 'response' && isMisdirected(result.status)) this.#disowned.add(target.id)
    if (result.kind === 'not_sent' || this.#options.targets.isFull(target.id)) this.#barred.add(target.id)
    const cause = causeOf(result)
    this.#options.logger.info('attempt.failed', {
      requestId: this.#inbound.requestId,
      service: this.#inbound.match.service.name,
      target: target.id,
      cause,
      notExecuted: !ran,
      elapsedMs: this.#elapsedMs(),
      leftMs: this.#leftMs(),
    })
    if (this.#mayRepeat()) void this.#send('retry')
    else this.#endWithout({ reason: cause, retryAfterMs: defaultRetryAfterMs })
  }

  #mayRepeat(): boolean {
    if (this.#ranOn.size > 0 && !this.#idempotent) return false
    const { route } = this.#inbound.match
    const workMs = this.#dispatcher.routeWorkMs(route)
    // An owner may get its request again, as no other target could run it.
    const hasTarget = this.#isKeyed || this.#tried.size < route.maxTargets
    return hasTarget && this.#sends < maxSends && this.#leftMs() > workMs * minWorkShareLeft
  }

  get #isKeyed(): boolean {
    return this.#inbound.match.service.isSharded && this.#inbound.key !== undefined
  }

  #scheduleHedge(predicted: Prediction): void {
    const { route, service } = this.#inbound.match
    if (!this.#idempotent || service.isSharded || route.maxTargets < 2) return
    const { clock, directory } = this.#options
    const delayMs = hedgeDelayMs({
      predictedMs: predictedMs(predicted),
      objectiveMs: route.objectiveMs,
      leftMs: this.#leftMs(),
      remainingBudgetShare: this.#dispatcher
        .retryBudgetOf(service.name)
        .remainingShare(this.#nowMs(), directory.hostCount),
    })
    if (delayMs === undefined) return
    const hedge = (): void => {
      if (this.#attempts.size === 1 && this.#tried.size === 1 && this.#mayRepeat()) void this.#send('hedge')
    }
    this.#cleanups.push(clock.schedule(delayMs, hedge))
  }

  #answer(targetId: string, result: TargetResponse): void {
    const { status, incoming, complete } = result
    if (isNotRunStatus(status) && !this.#idempotent) {
      // The target does not say that the request has not run, so the caller must not be told so.
      if (!complete) incoming.destroy()
      this.#generate({ status: 502, code: 'target_failed' })
      return
    }
    this.#finish('answered', { status, target: targetId })
    this.#cancelAttempts()
    this.#passOn(targetId, result)
  }

  #passOn(targetId: string | undefined, result: TargetResponse): void {
    const { clock, logger } = this.#options
    const { requestId, callerDeadlineMs, arrivedAtMs, response } = this.#inbound
    const elapsedMs = this.#nowMs() - arrivedAtMs
    const longestMs =
      callerDeadlineMs === undefined
        ? longestStreamMs
        : Math.max(0, callerDeadlineMs - elapsedMs) + streamMarginMs
    const cut = (reason: string): void => {
      logger.warn('answer.cut', { requestId, target: targetId, reason, longestMs })
    }
    forwardResponse(response, result, { clock, longestMs, cut })
  }

  /** Ends a request for which no target is left, once nothing is under way any more. */
  #endWithout({ reason, retryAfterMs, inputs }: Refusal): void {
    if (this.#attempts.size > 0) return
    if (this.#spare?.complete === true) {
      this.#finish('answered', { status: this.#spare.status })
      this.#passOn(undefined, this.#spare)
      return
    }
    this.#spare?.incoming.destroy()
    if (this.#ranOn.size > 0) this.#generate({ status: 502, code: reason }, inputs)
    else this.#generate({ status: 503, code: reason, retryAfterMs }, inputs)
  }

  #timeOut(): void {
    if (this.#finished) return
    const sent = this.#ranOn.size > 0 || [...this.#attempts].some(({ exchange }) => exchange.sent)
    this.#cancelAttempts()
    const inputs = { tried: [...this.#tried], leftMs: this.#leftMs() }
    if (sent) this.#generate({ status: 504, code: 'timeout' }, inputs)
    else this.#generate({ status: 503, code: 'timeout', retryAfterMs: defaultRetryAfterMs }, inputs)
  }

  #generate(
    { status, code, retryAfterMs }: Omit<GeneratedResponse, 'requestId'>,
    inputs: Readonly<Record<string, unknown>> = {},
  ): void {
    const { requestId, response } = this.#inbound
    const spreadMs =
      retryAfterMs === undefined ? undefined : spreadRetryAfterMs(retryAfterMs, this.#options.random.float())
    const outcome = isNotRunStatus(status) ? 'refused' : 'failed'
    this.#finish(outcome, { status, code, retryAfterMs: spreadMs, ...inputs })
    sendGeneratedResponse(response, { status, code, requestId, retryAfterMs: spreadMs })
  }

  #finish(outcome: string, fields: Readonly<Record<string, unknown>>): void {
    this.#finished = true
    for (const cleanup of this.#cleanups.splice(0)) cleanup()
    const { metrics, logger, directory } = this.#options
    const { match, requestId, key } = this.#inbound
    metrics.requestEnded(match.service.name, outcome, this.#elapsedMs())
    const line = {
      requestId,
      route: match.route.name,
      service: match.service.name,
      key,
      sends: this.#sends,
      elapsedMs: this.#elapsedMs(),
      configurationVersion: directory.routes?.configuration.version,
      ...fields,
    }
    if (outcome === 'answered') logger.debug('request.answered', line)
    else logger.info(`request.${outcome}`, line)
  }

  #cancelAttempts(): void {
    for (const { exchange, target } of this.#attempts) {
      exchange.cancel()
      this.#options.targets.ended(target.id)
    }
    this.#attempts.clear()
  }

  #callerLeft(): void {
    if (this.#finished) return
    this.#cancelAttempts()
    this.#finish('caller_left', {})
  }
}
