/**
 * Chooses the target of a request from what this host believes, or says why it is refused and when to come back. A
 * request with a key has one possible target, its owner; others go to the best of those that can take them.
 */
import type { Clock, Random } from '@pimentotally/core'
import {
  TargetState,
  admit,
  chooseTarget,
  moveRetryAfterMs,
  predictedMs,
  type PlacementCandidate,
  type Prediction,
  type Route,
  type RouteMatch,
} from '@pimentotally/routing'
import type { Directory, KnownTarget } from './directory.js'
import type { TargetObservations } from './target-observations.js'

/** Where nothing better is known. */
export const defaultRetryAfterMs = 250
/** The leader learns of an overload, divides the keys and has them moved within about this time. */
const overloadRetryAfterMs = 1200
/** Keys stay hot for some seconds; callers come back after a third of the time that they have left at the latest. */
const longestRetryAfterMs = 4000
/** The keys of a leaving owner move within this time. */
const leavingRetryAfterMs = 500
/** The cost of the way to another failure domain, as a delay. */
const distanceMs = 4
/** The same for large answers. */
const downloadDistanceMs = 25
/** A draining owner still gets requests for its keys this long, while they move. */
const drainingOwnerMs = 300
/**
 * The same for an owner in a domain that is taken out. With the time until the change is known and the wait in its queue
 * it stays within the five seconds that an evacuation may take. Load pattern: a third of all keys move at once.
 */
const evacuatedOwnerMs = 2500

export const RefusalReason = { keyMoving: 'key_moving' } as const

export interface Refusal {
  readonly reason: string
  readonly retryAfterMs: number
  /** What the decision was based on, for the log. */
  readonly inputs?: Readonly<Record<string, unknown>>
}

export interface ChosenTarget {
  readonly target: KnownTarget
  readonly predicted: Prediction
}

export type Selection = ChosenTarget | { readonly refusal: Refusal }

/** What the choice depends on beside the targets. */
export interface SelectionRequest {
  readonly match: RouteMatch
  readonly key: number | undefined
  /** Targets that this request was sent to. */
  readonly tried: ReadonlySet<string>
  /** Those of them that did not hold the key any more. */
  readonly notHolding: ReadonlySet<string>
  /** Those of them that this request is not sent to again, though they own its key. */
  readonly noRetry: ReadonlySet<string>
  readonly elapsedMs: number
  readonly leftMs: number
}

export interface TargetSelectorOptions {
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  readonly targets: TargetObservations
  readonly domain: string
  readonly admittedShare: (target: string) => number
  /** Mean work time of the route's requests. */
  readonly routeWorkMs: (route: Route) => number
}

/** When all callers of an overloaded owner could have been served, at the rate that it can take. */
const shareRetryAfterMs = (share: number): number =>
  Math.min(longestRetryAfterMs, overloadRetryAfterMs / Math.max(share, 0.01))

const refuse = (
  reason: string,
  retryAfterMs: number,
  inputs?: Readonly<Record<string, unknown>>,
): { readonly refusal: Refusal } => ({ refusal: { reason, retryAfterMs, inputs } })

export class TargetSelector {
  readonly #options: TargetSelectorOptions

  constructor(options: TargetSelectorOptions) {
    this.#options = options
  }

  select(request: SelectionRequest): Selection {
    const { match, key } = request
    return match.service.isSharded && key !== undefined
      ? this.#selectOwner(request, key)
      : this.#selectAny(request)
  }

  #selectOwner(request: SelectionRequest, key: number): Selection {
    const { directory, targets, clock, random, admittedShare } = this.#options
    const { service } = request.match
    const range = directory.range(service.name, key)
    if (range === undefined) return refuse('key_without_owner', defaultRetryAfterMs)
    const inputs = { target: range.owner, formerOwner: range.formerOwner, fence: range.fence }
    if (range.formerOwner !== undefined)
      return refuse(
        RefusalReason.keyMoving,
        moveRetryAfterMs(this.#options.routeWorkMs(request.match.route)),
        inputs,
      )
    const target = directory.target(range.owner)
    const nowMs = clock.monotonicMs()
    const usable =
      target !== undefined &&
      directory.evacuatedForMs(target.domain) < evacuatedOwnerMs &&
      (target.state === TargetState.ready || nowMs - target.stateSinceMs < drainingOwnerMs)
    if (!usable) return refuse('owner_leaves', leavingRetryAfterMs, inputs)
    // Its keys are on their way, and this host has not learned yet where to.
    if (request.notHolding.has(target.id))
      return refuse(
        RefusalReason.keyMoving,
        moveRetryAfterMs(this.#options.routeWorkMs(request.match.route)),
        inputs,
      )
    if (request.noRetry.has(target.id)) return refuse('owner_failed', overloadRetryAfterMs, inputs)
    const { pausedUntilMs, fullUntilMs, connectFailures } = targets.of(target.id)
    if (fullUntilMs > nowMs) return refuse('owner_full', overloadRetryAfterMs, inputs)
    if (pausedUntilMs > nowMs) {
      const retryAfterMs = Math.max(defaultRetryAfterMs, pausedUntilMs - nowMs)
      return refuse('owner_unreachable', retryAfterMs, { ...inputs, connectFailures })
    }
    const share = admittedShare(target.id)
    if (share < 1 && random.float() >= share) {
      return refuse('owner_share', shareRetryAfterMs(share), { ...inputs, share })
    }
    const coldWaitMs = targets.coldWaitMs(target, service)
    if (coldWaitMs > 0) return refuse('owner_cold', coldWaitMs, inputs)
    // Only the owner can take the key, so its own mean counts.
    const choice = {
      target,
      predicted: this.#predict(request, target, targets.of(target.id).load.averageOccupancy(nowMs)),
    }
    return this.#admit(request, choice, true)
  }

  #selectAny(request: SelectionRequest): Selection {
    const { directory, targets, random, domain, clock } = this.#options
    const { service, route } = request.match
    const nowMs = clock.monotonicMs()
    const awayMs = route.kind === 'download' ? downloadDistanceMs : distanceMs
    // A target with old reports is worth another try, so the mean of the service counts.
    const expectedOccupancy = targets.averageOccupancy(service.name)
    const candidates: PlacementCandidate<ChosenTarget>[] = []
    let coldWaitMs = Number.POSITIVE_INFINITY
    for (const target of directory.targets(service.name)) {
      if (!directory.isUsable(target) || request.tried.has(target.id)) continue
      const observed = targets.of(target.id)
      if (observed.pausedUntilMs > nowMs || !targets.hasFreeConnection(target, service)) continue
      const waitMs = targets.coldWaitMs(target, service)
      if (waitMs > 0) {
        coldWaitMs = Math.min(coldWaitMs, waitMs)
        continue
      }
      const predicted = this.#predict(request, target, expectedOccupancy)
      if (observed.isSilent(nowMs, predictedMs(predicted))) continue
      candidates.push({
        target: { target, predicted },
        predictedMs: predictedMs(predicted),
        distancePenaltyMs: target.domain === domain ? 0 : awayMs,
        failureLevel: observed.load.failureLevel(nowMs),
      })
    }
    const chosen = chooseTarget(candidates, random)
    if (chosen !== undefined) return this.#admit(request, chosen.target, false)
    return Number.isFinite(coldWaitMs)
      ? refuse('targets_cold', coldWaitMs)
      : refuse('no_target', defaultRetryAfterMs)
  }

  #predict({ match }: SelectionRequest, target: KnownTarget, expectedOccupancy: number): Prediction {
    const { targets, clock, routeWorkMs } = this.#options
    return targets.of(target.id).load.predict(clock.monotonicMs(), {
      workMs: routeWorkMs(match.route),
      slots: target.slots,
      expectedOccupancy,
    })
  }

  #admit(request: SelectionRequest, choice: ChosenTarget, isOwner: boolean): Selection {
    const { directory, targets, clock } = this.#options
    const { route, service } = request.match
    const { target, predicted } = choice
    const admission = admit({
      ...predicted,
      elapsedMs: request.elapsedMs,
      objectiveMs: route.objectiveMs,
      leftMs: request.leftMs,
      rank: directory.rank(service.name, route.priority),
      isOwner,
    })
    if (admission.admitted) return choice
    const load = targets.of(target.id).load.describe(clock.monotonicMs())
    return refuse(admission.reason, admission.retryAfterMs, { target: target.id, ...predicted, ...load })
  }
}
