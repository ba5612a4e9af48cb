/**
 * Carries one request from its caller to a target and the answer back: it chooses targets, repeats what may be
 * repeated, and gives every request exactly one answer. A refusal that says the request did not run is sent only when
 * no byte of it reached a target, or every target that got it said so.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock, Logger, Random } from '@pimentotally/core'
import { endToEnd } from '@pimentotally/http'
import { platformHeaders, readColdRemainingMs, readLoad, retryAfterField } from '@pimentotally/platform'
import {
  RetryBudget,
  WorkTimes,
  admit,
  chooseTarget,
  hedgeDelayMs,
  isIdempotent,
  spreadRetryAfterMs,
  type PlacementCandidate,
  type Prediction,
  type RetryBudgetOptions,
  type RouteMatch,
} from '@pimentotally/routing'
import type { Directory, KnownTarget } from './directory.js'
import type { GatewayMetrics } from './metrics.js'
import { TargetExchange, type ExchangeResult } from './target-exchange.js'
import type { TargetTable } from './target-table.js'

/** Zones are at most some milliseconds apart; a lost first packet is sent again only after a second. */
const connectTimeoutMs = 400
/** Work time of a route before its first response, as a share of its objective. */
const initialWorkShare = 0.3
/** Without an objective. */
const defaultWorkMs = 100
/** A request waits for a moving key no longer than this share of its objective; then it is refused. */
const moveWaitShare = 0.12
/** Most moves end within this time. */
const maxMoveWaitMs = 150
/** Where nothing better is known. */
const defaultRetryAfterMs = 250
/** Keys are balanced anew about this often, so that an overloaded owner may have room. */
const overloadRetryAfterMs = 500
/** The answer has to reach the caller before its deadline. */
const answerMarginMs = 15
/** Longest idle time of a connection that carries a request which must not be repeated. */
const unsafeIdleMs = 1500
/** The cost of a byte between failure domains, as a delay. */
const distanceMs = 4
/** The same for large answers. */
const downloadDistanceMs = 25
/** A draining owner still gets requests for its keys this long, while they move. */
const drainingOwnerMs = 300
/** Targets that one request without a key is sent to, beyond refusals. */
const maxSends = 3

export interface DispatcherOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly random: Random
  readonly directory: Directory
  readonly targets: TargetTable
  readonly metrics: GatewayMetrics
  readonly domain: string
  readonly retryBudget: RetryBudgetOptions
  readonly countKey: (service: string, key: number) => void
  readonly observeSpeed: (target: string, factor: number) => void
  /** Which part of the requests for a target's keys may be sent to it. */
  readonly admittedShare: (target: string) => number
}

export interface Inbound {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly requestId: string
  readonly match: RouteMatch
  readonly body: Buffer | undefined
  readonly key: number | undefined
  readonly arrivedAtMs: number
  /** From arrival; undefined for none. */
  readonly callerDeadlineMs: number | undefined
}

export class Dispatcher {
  readonly options: DispatcherOptions
  readonly workTimes = new WorkTimes()
  readonly #budgets = new Map<string, RetryBudget>()

  constructor(options: DispatcherOptions) {
    this.options = options
  }

  budget(service: string): RetryBudget {
    let budget = this.#budgets.get(service)
    if (budget === undefined) {
      budget = new RetryBudget(this.options.retryBudget)
      this.#budgets.set(service, budget)
    }
    return budget
  }

  /** Mean work time of the service's first route, for estimates of its load. */
  workMs(service: string): number {
    const route = this.options.directory.routes?.configuration.routes.find(({ split }) =>
      split.some((part) => part.service === service),
    )
    return route === undefined ? defaultWorkMs : this.workTimes.expectedMs(route.name, defaultWorkMs)
  }

  dispatch(inbound: Inbound): void {
    void new RequestRun(this, inbound).start()
  }
}

interface Attempt {
  readonly target: KnownTarget
  readonly exchange: TargetExchange
  readonly sentAtMs: number
  readonly predicted: Prediction
}

interface Refusal {
  readonly reason: string
  readonly retryAfterMs: number
  /** What the decision was based on, for the log. */
  readonly inputs?: Readonly<Record<string, unknown>>
}

/** From sending to the answer. */
const totalMs = ({ workMs, waitMs }: Prediction): number => workMs + waitMs

type Selection =
  { readonly target: KnownTarget; readonly predicted: Prediction } | { readonly refusal: Refusal }

/** The state of one request. */
class RequestRun {
  readonly #dispatcher: Dispatcher
  readonly #inbound: Inbound
  readonly #idempotent: boolean
  readonly #endsAtMs: number
  readonly #attempts = new Set<Attempt>()
  readonly #tried = new Set<string>()
  #sends = 0
  /** A target may have run the request. */
  #mayHaveRun = false
  #finished = false
  #relaying = false
  #lastFailure = ''
  /** An answer of a target that is passed on when nothing better comes. */
  #spare: (ExchangeResult & { readonly kind: 'response' }) | undefined
  #cancelTimers: (() => void)[] = []

  constructor(dispatcher: Dispatcher, inbound: Inbound) {
    this.#dispatcher = dispatcher
    this.#inbound = inbound
    const { route } = inbound.match
    this.#idempotent = isIdempotent(route.kind)
    const limits = [inbound.callerDeadlineMs, route.timeoutMs > 0 ? route.timeoutMs : undefined].filter(
      (limit) => limit !== undefined,
    )
    this.#endsAtMs = inbound.arrivedAtMs + Math.min(60_000, ...limits)
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
    this.#cancelTimers.push(() => socket.off('close', left))
    if (socket.destroyed) {
      this.#callerLeft()
      return
    }
    this.#dispatcher.budget(match.service.name).recordRequest(clock.monotonicMs())
    if (match.service.isSharded && key !== undefined) countKey(match.service.name, key)
    this.#cancelTimers.push(
      clock.schedule(Math.max(1, this.#leftMs() - answerMarginMs), () => {
        this.#timeOut()
      }),
    )
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

  async #send(kind: 'first' | 'retry' | 'hedge'): Promise<void> {
    if (this.#finished) return
    let selection = this.#select()
    if ('refusal' in selection && selection.refusal.reason === 'key_moving') {
      const { objectiveMs } = this.#inbound.match.route
      const waitMs = Math.min(maxMoveWaitMs, (objectiveMs || 1000) * moveWaitShare - this.#elapsedMs())
      if (waitMs > 0) {
        const waitUntilMs = this.#nowMs() + waitMs
        while (
          'refusal' in selection &&
          selection.refusal.reason === 'key_moving' &&
          this.#nowMs() < waitUntilMs
        ) {
          await this.#options.directory.assignmentChanged(Math.max(1, waitUntilMs - this.#nowMs()))
          if (this.#finished) return
          selection = this.#select()
        }
      }
    }
    if ('refusal' in selection) {
      if (kind === 'hedge' || this.#attempts.size > 0) return
      this.#endWithout(selection.refusal)
      return
    }
    if (kind !== 'first' && !this.#spendRepeat()) {
      if (kind === 'hedge' || this.#attempts.size > 0) return
      this.#endWithout({ reason: 'retry_budget', retryAfterMs: defaultRetryAfterMs })
      return
    }
    this.#launch(selection.target, selection.predicted)
    if (kind === 'first') this.#scheduleHedge(totalMs(selection.predicted))
  }

  #spendRepeat(): boolean {
    const { directory } = this.#options
    const { service } = this.#inbound.match
    return this.#dispatcher.budget(service.name).trySpend(this.#nowMs(), directory.hostNames.length)
  }

  #select(): Selection {
    const { match, key } = this.#inbound
    return match.service.isSharded && key !== undefined ? this.#selectOwner(key) : this.#selectAny()
  }

  #selectOwner(key: number): Selection {
    const { directory, targets } = this.#options
    const { service } = this.#inbound.match
    const range = directory.range(service.name, key)
    if (range === undefined)
      return { refusal: { reason: 'key_without_owner', retryAfterMs: defaultRetryAfterMs } }
    const inputs = { target: range.owner, formerOwner: range.formerOwner, fence: range.fence }
    if (range.formerOwner !== undefined) {
      return { refusal: { reason: 'key_moving', retryAfterMs: defaultRetryAfterMs, inputs } }
    }
    const target = directory.target(range.owner)
    const nowMs = this.#nowMs()
    const usable =
      target !== undefined &&
      !directory.isEvacuated(target.domain) &&
      (directory.isUsable(target) || nowMs - target.stateSinceMs < drainingOwnerMs)
    if (!usable) return { refusal: { reason: 'owner_leaves', retryAfterMs: defaultRetryAfterMs * 2, inputs } }
    if (this.#tried.has(target.id))
      return { refusal: { reason: 'owner_failed', retryAfterMs: defaultRetryAfterMs, inputs } }
    const observed = targets.of(target.id)
    if (observed.pausedUntilMs > nowMs) {
      return {
        refusal: {
          reason: 'owner_unreachable',
          retryAfterMs: Math.max(defaultRetryAfterMs, observed.pausedUntilMs - nowMs),
          inputs: { ...inputs, connectFailures: observed.connectFailures },
        },
      }
    }
    const share = this.#options.admittedShare(target.id)
    if (share < 1 && this.#options.random.float() >= share) {
      return {
        refusal: { reason: 'owner_share', retryAfterMs: overloadRetryAfterMs, inputs: { ...inputs, share } },
      }
    }
    const coldWaitMs = this.#coldWaitMs(target)
    if (coldWaitMs > 0) return { refusal: { reason: 'owner_cold', retryAfterMs: coldWaitMs, inputs } }
    return this.#admitTo(target, this.#predict(target), true)
  }

  #selectAny(): Selection {
    const { directory, targets, random, domain } = this.#options
    const { service, route } = this.#inbound.match
    const nowMs = this.#nowMs()
    const awayMs = route.kind === 'download' ? downloadDistanceMs : distanceMs
    const candidates: PlacementCandidate<{ target: KnownTarget; predicted: Prediction }>[] = []
    let coldWaitMs = Number.POSITIVE_INFINITY
    for (const target of directory.targets(service.name)) {
      if (!directory.isUsable(target) || this.#tried.has(target.id)) continue
      const observed = targets.of(target.id)
      if (observed.pausedUntilMs > nowMs) continue
      const waitMs = this.#coldWaitMs(target)
      if (waitMs > 0) {
        coldWaitMs = Math.min(coldWaitMs, waitMs)
        continue
      }
      const predicted = this.#predict(target)
      const predictedMs = totalMs(predicted)
      if (observed.isSilent(nowMs, predictedMs)) continue
      candidates.push({
        target: { target, predicted },
        predictedMs,
        distanceMs: target.domain === domain ? 0 : awayMs,
        failureLevel: observed.load.failureLevel(nowMs),
      })
    }
    const chosen = chooseTarget(candidates, random)
    if (chosen === undefined) {
      return Number.isFinite(coldWaitMs)
        ? { refusal: { reason: 'targets_cold', retryAfterMs: coldWaitMs } }
        : { refusal: { reason: 'no_target', retryAfterMs: defaultRetryAfterMs } }
    }
    return this.#admitTo(chosen.target.target, chosen.target.predicted, false)
  }

  #coldWaitMs(target: KnownTarget): number {
    const { targets } = this.#options
    const share = targets.coldShare(target, this.#inbound.match.service)
    return share === undefined ? 0 : targets.of(target.id).cold.waitMs(this.#nowMs(), share)
  }

  #initialWorkMs(): number {
    const { objectiveMs } = this.#inbound.match.route
    return objectiveMs > 0 ? objectiveMs * initialWorkShare : defaultWorkMs
  }

  #workMs(): number {
    return this.#dispatcher.workTimes.expectedMs(this.#inbound.match.route.name, this.#initialWorkMs())
  }

  #predict(target: KnownTarget): Prediction {
    const { targets } = this.#options
    const { load } = targets.of(target.id)
    // Only the owner can take a key, so its own mean counts; elsewhere a target with old reports is worth another try.
    const isOwner = this.#inbound.match.service.isSharded && this.#inbound.key !== undefined
    return load.predict(this.#nowMs(), {
      workMs: this.#workMs(),
      slots: target.slots,
      expectedOccupancy: isOwner ? load.usualOccupancy : targets.usualOccupancy(target.service),
    })
  }

  #admitTo(target: KnownTarget, predicted: Prediction, isOwner: boolean): Selection {
    const { route, service } = this.#inbound.match
    const admission = admit({
      ...predicted,
      elapsedMs: this.#elapsedMs(),
      objectiveMs: route.objectiveMs,
      leftMs: this.#leftMs(),
      rank: this.#options.directory.rank(service.name, route.priority),
      isOwner,
    })
    return admission.admitted
      ? { target, predicted }
      : {
          refusal: {
            reason: admission.reason,
            retryAfterMs: admission.retryAfterMs,
            inputs: {
              target: target.id,
              ...predicted,
              ...this.#options.targets.of(target.id).load.describe(this.#nowMs()),
            },
          },
        }
  }

  #launch(target: KnownTarget, predicted: Prediction): void {
    const { targets, clock } = this.#options
    const { request, requestId, match, body } = this.#inbound
    const observed = targets.of(target.id)
    const agent = targets.agent(target, match.service)
    if (!this.#idempotent) {
      // A request that cannot be repeated is not risked on a connection that the target may have closed or spoiled.
      if (observed.distrustedUntilMs > this.#nowMs()) agent.dropIdle()
      else agent.dropIdleLongerThan(unsafeIdleMs)
    }
    const sentAtMs = clock.monotonicMs()
    const exchange = new TargetExchange({
      agent,
      address: target.address,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: this.#headers(target),
      body,
      requestId,
      connectTimeoutMs: Math.min(connectTimeoutMs, Math.max(1, this.#leftMs())),
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
    observed.load.started()
    observed.cold.record(sentAtMs)
    observed.waitingSinceMs ??= sentAtMs
  }

  #headers(target: KnownTarget): string[] {
    const { request, body } = this.#inbound
    const headers = endToEnd(request, { dropContentLength: true, without: ownHeaders })
    headers.push('X-Deadline-Ms', String(Math.max(1, Math.floor(this.#leftMs()))))
    headers.push('X-Target-Instance', target.id)
    if (body !== undefined) headers.push('Content-Length', String(body.length))
    return headers
  }

  /** What the result tells about the target. */
  #observe({ target, sentAtMs, predicted }: Attempt, result: ExchangeResult): void {
    const { targets, metrics } = this.#options
    const { match } = this.#inbound
    const nowMs = this.#nowMs()
    const observed = targets.of(target.id)
    observed.load.ended()
    metrics.attemptEnded(
      match.service.name,
      result.kind === 'lost' ? result.reason : result.kind,
      nowMs - sentAtMs,
    )
    if (result.kind === 'not_sent') {
      if (result.message !== 'no longer wanted') targets.connectFailed(target, result.message)
      return
    }
    if (result.kind === 'lost') {
      observed.load.failed(nowMs)
      if (result.reason === 'crossed') observed.distrustedUntilMs = nowMs + 8000
      if (observed.load.inFlight === 0) observed.waitingSinceMs = undefined
      return
    }
    targets.responded(target, match.service.coldStartMs)
    const coldMs = readColdRemainingMs(result.incoming.headers)
    if (coldMs !== undefined) observed.coldUntilMs = Math.max(observed.coldUntilMs, nowMs + coldMs)
    const report = readLoad(result.incoming.headers)
    if (report !== undefined) targets.reported(target, report)
    if (result.notExecuted || result.status >= 500) {
      observed.load.failed(nowMs)
      return
    }
    observed.load.succeeded(nowMs)
    const tookMs = nowMs - sentAtMs
    const workMs = this.#workMs()
    // Takes out what is not the target's own speed: waiting, and a slowdown at the beginning or the end.
    const waitFactor = totalMs(predicted) / Math.max(1, predicted.workMs)
    const slowdown = Math.max(predicted.slowdown, observed.load.momentarySlowdown(nowMs))
    const usualMs = tookMs / waitFactor / slowdown
    observed.load.observed(usualMs, workMs)
    // Targets slow down when they are nearly full, which says nothing of their speed.
    if (observed.load.hadRoom) this.#options.observeSpeed(target.id, usualMs / workMs)
    this.#dispatcher.workTimes.record(match.route.name, usualMs, this.#initialWorkMs())
  }

  #settled(attempt: Attempt, result: ExchangeResult): void {
    if (this.#finished) {
      if (result.kind === 'response' && !result.complete) result.incoming.destroy()
      return
    }
    if (result.kind === 'response' && !result.notExecuted && (result.status < 500 || !this.#idempotent)) {
      this.#mayHaveRun = true
      this.#answer(attempt, result)
      return
    }
    const cause =
      result.kind === 'response'
        ? `status_${String(result.status)}`
        : result.kind === 'lost'
          ? result.reason
          : 'not_sent'
    this.#lastFailure = cause
    this.#options.logger.info('attempt.failed', {
      requestId: this.#inbound.requestId,
      service: this.#inbound.match.service.name,
      target: attempt.target.id,
      cause,
      notExecuted: result.kind === 'not_sent' || (result.kind === 'response' && result.notExecuted),
      elapsedMs: this.#elapsedMs(),
      leftMs: this.#leftMs(),
    })
    if (result.kind === 'lost' || (result.kind === 'response' && !result.notExecuted)) {
      this.#mayHaveRun = true
      if (result.kind === 'response') this.#spare = result
    }
    if (this.#mayRepeat()) {
      void this.#send('retry')
      return
    }
    if (this.#attempts.size === 0)
      this.#endWithout({ reason: this.#lastFailure, retryAfterMs: defaultRetryAfterMs })
  }

  #mayRepeat(): boolean {
    if (this.#mayHaveRun && !this.#idempotent) return false
    const { maxTargets } = this.#inbound.match.route
    return this.#tried.size < Math.min(maxTargets, maxSends) && this.#leftMs() > this.#workMs() * 0.5
  }

  #scheduleHedge(predictedMs: number): void {
    const { route, service } = this.#inbound.match
    if (!this.#idempotent || service.isSharded || route.maxTargets < 2) return
    const { clock, directory } = this.#options
    const delayMs = hedgeDelayMs({
      predictedMs,
      objectiveMs: route.objectiveMs,
      leftMs: this.#leftMs(),
      budgetReserve: this.#dispatcher.budget(service.name).reserve(this.#nowMs(), directory.hostNames.length),
    })
    if (delayMs === undefined) return
    this.#cancelTimers.push(
      clock.schedule(delayMs, () => {
        if (this.#attempts.size === 1 && this.#sends === 1 && this.#mayRepeat()) void this.#send('hedge')
      }),
    )
  }

  /** Passes a target's answer on; a large one while it arrives. */
  #answer(attempt: Attempt, result: ExchangeResult & { readonly kind: 'response' }): void {
    const { status, incoming, body, complete } = result
    const promise = status === 503 || status === 429 || status === 408 || status === 421
    if (promise && !result.notExecuted && !this.#idempotent) {
      // The target does not say that the request has not run, so the caller must not be told so.
      if (!complete) incoming.destroy()
      this.#generate(502, 'target_failed', undefined)
      return
    }
    const { response } = this.#inbound
    const headers = endToEnd(incoming, { dropContentLength: complete })
    this.#finish('answered', { status, target: attempt.target.id })
    this.#cancelAttempts()
    if (complete) {
      const whole = body.length === 1 ? (body[0] ?? Buffer.alloc(0)) : Buffer.concat(body)
      if (status !== 204 && status !== 304) headers.push('Content-Length', String(whole.length))
      response.writeHead(status, headers)
      response.end(whole)
      return
    }
    this.#relaying = true
    response.writeHead(status, headers)
    for (const chunk of body) response.write(chunk)
    incoming.on('data', (chunk: Buffer) => {
      if (!response.write(chunk)) incoming.pause()
    })
    response.on('drain', () => incoming.resume())
    incoming.once('end', () => {
      this.#relaying = false
      if (incoming.complete) response.end()
      else response.destroy()
    })
    const broken = (): void => {
      if (!this.#relaying) return
      this.#options.logger.warn('answer.cut', {
        requestId: this.#inbound.requestId,
        target: attempt.target.id,
      })
      response.destroy()
    }
    incoming.once('aborted', broken).once('close', broken)
    response.once('close', () => incoming.destroy())
    incoming.resume()
  }

  /** Ends a request for which no target is left. */
  #endWithout(refusal: Refusal): void {
    if (this.#attempts.size > 0) return
    if (this.#spare !== undefined) {
      const { status, incoming, body, complete } = this.#spare
      if (complete) {
        const headers = endToEnd(incoming, { dropContentLength: true })
        const whole = Buffer.concat(body)
        headers.push('Content-Length', String(whole.length))
        this.#finish('answered', { status })
        this.#inbound.response.writeHead(status, headers).end(whole)
        return
      }
      incoming.destroy()
    }
    if (this.#mayHaveRun) this.#generate(502, refusal.reason, undefined, refusal.inputs)
    else this.#generate(503, refusal.reason, refusal.retryAfterMs, refusal.inputs)
  }

  #timeOut(): void {
    if (this.#finished) return
    const sent = this.#mayHaveRun || [...this.#attempts].some(({ exchange }) => exchange.sent)
    this.#cancelAttempts()
    const inputs = { tried: [...this.#tried], leftMs: this.#leftMs() }
    if (sent) this.#generate(504, 'timeout', undefined, inputs)
    else this.#generate(503, 'timeout', defaultRetryAfterMs, inputs)
  }

  #generate(
    status: number,
    code: string,
    retryAfterMs: number | undefined,
    inputs: Readonly<Record<string, unknown>> = {},
  ): void {
    const { response } = this.#inbound
    const spreadMs =
      retryAfterMs === undefined ? undefined : spreadRetryAfterMs(retryAfterMs, this.#options.random.float())
    this.#finish(status === 503 ? 'refused' : 'failed', {
      status,
      code,
      retryAfterMs: spreadMs,
      ...inputs,
    })
    if (response.destroyed) return
    response.writeHead(status, {
      'content-type': 'application/json',
      [platformHeaders.requestId]: this.#inbound.requestId,
      ...(spreadMs === undefined ? {} : { 'retry-after': retryAfterField(spreadMs) }),
    })
    response.end(JSON.stringify({ code, outcome: status === 503 ? 'not-run' : 'unknown' }))
  }

  #finish(outcome: string, fields: Readonly<Record<string, unknown>>): void {
    this.#finished = true
    for (const cancel of this.#cancelTimers.splice(0)) cancel()
    const { metrics, logger } = this.#options
    const { match, requestId, key } = this.#inbound
    metrics.requestEnded(match.service.name, outcome, this.#elapsedMs())
    const line = {
      requestId,
      route: match.route.name,
      service: match.service.name,
      key,
      sends: this.#sends,
      elapsedMs: this.#elapsedMs(),
      configurationVersion: this.#options.directory.routes?.configuration.version,
      ...fields,
    }
    if (outcome === 'answered') logger.debug('request.answered', line)
    else logger.info(`request.${outcome}`, line)
  }

  #cancelAttempts(): void {
    for (const { exchange, target } of this.#attempts) {
      exchange.cancel()
      const observed = this.#options.targets.of(target.id)
      observed.load.ended()
      if (observed.load.inFlight === 0) observed.waitingSinceMs = undefined
    }
    this.#attempts.clear()
  }

  #callerLeft(): void {
    if (this.#finished) return
    this.#cancelAttempts()
    this.#finish('caller_left', {})
  }
}

/** Set by this router on the way to targets, or meant for it alone. */
const ownHeaders: ReadonlySet<string> = new Set([platformHeaders.deadline, platformHeaders.targetId])
