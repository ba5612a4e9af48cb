/**
 * Chooses the target of a request from what this host knows of the deployment, which may be out of date, or
 * tells why the request is refused and when the caller may come back. A request with a key has one possible
 * target, the owner of the key; any other goes to the best of the targets that can take it.
 */
import type { AssignedRange } from '@pimentotally/assignment'
import type { Clock, Random } from '@pimentotally/core'
import {
  MoveTimes,
  PacedShare,
  TargetState,
  admit,
  admitContended,
  freshReportMs,
  isLate,
  chooseTarget,
  moveRetryAfterMs,
  predictedMs,
  priorityOf,
  type PlacementCandidate,
  type Prediction,
  type Route,
  type RouteMatch,
  type Tenant,
} from '@pimentotally/routing'
import type { Directory, KnownTarget } from './directory.js'
import type { TargetObservations } from './target-observations.js'
import { UnkeyedPlacement, type KnownPicture } from './unkeyed-placement.js'

/** Retry-After of a refusal for which no better time is known. */
export const defaultRetryAfterMs = 250
/**
 * Retry-After of requests to an overloaded owner: the leader learns of an overload, divides the owner's keys
 * and has them moved within about this time.
 */
const overloadRetryAfterMs = 1200
/**
 * Longest Retry-After of requests to an overloaded owner. Keys stay hot for some seconds, and callers come
 * back at the latest after a third of the time that they have left.
 */
const maxRetryAfterMs = 4000
/** Retry-After of requests to an owner that is leaving: its keys move within this time. */
const leavingRetryAfterMs = 500
/** Added to the predicted time of a target in another failure domain, for the cost of the way there. */
const crossDomainPenaltyMs = 4
/** The same for downloads, whose responses are large. */
const crossDomainDownloadPenaltyMs = 25
/** A draining owner still gets requests for its keys for this long, while the keys move to other targets. */
const drainingOwnerUsableMs = 300
/**
 * The same for an owner in a domain that is being evacuated. Together with the time until this host learns of
 * the evacuation and the wait in the owner's queue, it stays within the five seconds that an evacuation may
 * take. Load pattern: a third of all keys move at once.
 */
const evacuatedOwnerUsableMs = 2500

/** The only reason that other code checks: a request waits for the end of a move before it is refused. */
export const RefusalReason = { keyMoving: 'key_moving' } as const

export interface Refusal {
  readonly reason: string
  readonly retryAfterMs: number
  /** What the decision is based on, for the log. */
  readonly inputs?: Readonly<Record<string, unknown>>
  /** Present when the request may wait on this host for room. */
  readonly room?: ExpectedRoom
  /** How long this host has known of the move of the key. */
  readonly lastedMs?: number
}

/** Where and when a request that finds no room may find some. */
export interface ExpectedRoom {
  /** The owner that has no room; undefined when no target of the service has any. */
  readonly owner: string | undefined
  readonly inMs: number
  /** Whether the prediction says that the request would be late by then, so that only news could change that. */
  readonly isUncertain?: boolean
}

/** The chosen target, and how long the request is expected to take there. */
export interface ChosenTarget {
  readonly target: KnownTarget
  readonly predicted: Prediction
}

export type Selection = ChosenTarget | { readonly refusal: Refusal }

/** What the choice depends on besides the state of the targets. */
export interface SelectionRequest {
  readonly match: RouteMatch
  readonly key: number | undefined
  /** The tenant that the request belongs to; undefined for an anonymous route and without tenants. */
  readonly tenant?: Tenant | undefined
  /** Targets that the request was sent to. */
  readonly tried: ReadonlySet<string>
  /** Those of them that answered that they do not hold the key any more. */
  readonly notHolding: ReadonlySet<string>
  /** Those of them that the request is not sent to again, even if they own its key. */
  readonly noRetry: ReadonlySet<string>
  /** Targets that run another request which may crash them; avoided if possible. */
  readonly occupied?: ReadonlySet<string>
  /** Whether the request must not be sent to any of those. */
  readonly runsAlone?: boolean
  /** Until this instant, the owner is not asked again: it did not run the request. */
  readonly ownerRestsUntilMs?: number
  /** Time between the caller's first attempt and the arrival of this one, as far as it is known. */
  readonly callerAgeMs?: number
  /** Whether no target was chosen for the request before. */
  readonly isFirstChoice?: boolean
  /** Since the request arrived. */
  readonly elapsedMs: number
  /** Until the deadline of the request. */
  readonly leftMs: number
}

export interface TargetSelectorOptions {
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  readonly targets: TargetObservations
  /** The failure domain of this host. */
  readonly domain: string
  /** Share of the requests for a target's keys that may be sent to it; 1 for all. */
  readonly admittedShare: (target: string) => number
  /** Mean work time of the route's requests. */
  readonly routeWorkMs: (route: Route) => number
  /** Whether the tenant's requests go before all others of the service. */
  readonly isBehind?: (service: string, tenant: Tenant) => boolean
  /** The shared picture of the service's load; undefined when there is no recent one. */
  readonly picture?: (service: string) => KnownPicture | undefined
}

/**
 * Retry-After for an overloaded owner that may be sent `share` of the requests for its keys: the time in
 * which it could serve all its callers at the rate that it can take, longer for a smaller share.
 */
const shareRetryAfterMs = (share: number): number =>
  Math.min(maxRetryAfterMs, overloadRetryAfterMs / Math.max(share, 0.01))

const refuse = (
  reason: string,
  retryAfterMs: number,
  inputs?: Readonly<Record<string, unknown>>,
  room?: ExpectedRoom,
): { readonly refusal: Refusal } => ({
  refusal: { reason, retryAfterMs, inputs, ...(room === undefined ? {} : { room }) },
})

export class TargetSelector {
  readonly #options: TargetSelectorOptions
  /** Places requests without a key where hosts compete for targets. */
  readonly placement: UnkeyedPlacement
  /** The credit of each owner for which the leader's guidance names a share. */
  readonly #paced = new Map<string, PacedShare>()
  readonly #moves = new MoveTimes()

  constructor(options: TargetSelectorOptions) {
    this.#options = options
    this.placement = new UnkeyedPlacement({ picture: () => undefined, ...options })
  }

  select(request: SelectionRequest): Selection {
    const { match, key } = request
    return match.service.isSharded && key !== undefined
      ? this.#selectOwner(request, key)
      : this.#selectAny(request)
  }

  /** Records that a request was sent. */
  recordSent(target: string): void {
    this.#paced.get(target)?.sent()
  }

  /** Records that the target has stated that it did not run a request. */
  recordNotRun(target: string): void {
    this.#paced.get(target)?.notRun()
  }

  /** For a request with a key to a service that is divided by key. */
  #selectOwner(request: SelectionRequest, key: number): Selection {
    const { directory, targets, clock, random, admittedShare } = this.#options
    const { service } = request.match
    const range = directory.range(service.name, key)
    if (range === undefined) return refuse('key_without_owner', defaultRetryAfterMs)
    const inputs = { target: range.owner, formerOwner: range.formerOwner, fence: range.fence }
    if (range.formerOwner !== undefined) {
      const lastedMs = this.#moves.lastedMs(
        clock.monotonicMs(),
        `${service.name}/${String(range.fence)}/${range.owner}`,
      )
      const refusal = refuse(
        RefusalReason.keyMoving,
        moveRetryAfterMs(this.#options.routeWorkMs(request.match.route)),
        { ...inputs, lastedMs },
      )
      return { refusal: { ...refusal.refusal, lastedMs } }
    }
    const target = directory.target(range.owner)
    const nowMs = clock.monotonicMs()
    const isUsable =
      target !== undefined &&
      directory.evacuatedForMs(target.domain) < evacuatedOwnerUsableMs &&
      (target.state === TargetState.ready || nowMs - target.stateSinceMs < drainingOwnerUsableMs)
    if (!isUsable)
      return refuse('owner_leaves', leavingRetryAfterMs, inputs, this.#leavingRoom(service.name, range))
    // The owner does not hold the key any more, and this host does not know yet where the key moves.
    if (request.notHolding.has(target.id))
      return refuse(
        RefusalReason.keyMoving,
        moveRetryAfterMs(this.#options.routeWorkMs(request.match.route)),
        inputs,
      )
    if (request.noRetry.has(target.id)) return refuse('owner_failed', overloadRetryAfterMs, inputs)
    if (request.runsAlone === true && request.occupied?.has(target.id) === true)
      return refuse('suspect_runs', defaultRetryAfterMs, inputs)
    const { pausedUntilMs, fullUntilMs, connectFailures } = targets.of(target.id)
    if (fullUntilMs > nowMs)
      return refuse('owner_full', overloadRetryAfterMs, inputs, this.#roomAt(target, fullUntilMs - nowMs))
    const { ownerRestsUntilMs = 0 } = request
    if (ownerRestsUntilMs > nowMs)
      return refuse(
        'owner_rests',
        overloadRetryAfterMs,
        inputs,
        this.#roomAt(target, ownerRestsUntilMs - nowMs),
      )
    if (pausedUntilMs > nowMs) {
      const retryAfterMs = Math.max(defaultRetryAfterMs, pausedUntilMs - nowMs)
      // A target that could not be connected to again after a pause is lost rather than busy.
      const inMs = connectFailures > 1 ? maxRetryAfterMs : pausedUntilMs - nowMs
      return refuse(
        'owner_unreachable',
        retryAfterMs,
        { ...inputs, connectFailures },
        this.#roomAt(target, inMs),
      )
    }
    const share = admittedShare(target.id)
    if (directory.isContended) {
      const paced = this.#pacedShare(target.id, share, request.isFirstChoice === true)
      const creditInMs = paced?.creditInMs(this.#isLate(request)) ?? 0
      const hasNews = targets.of(target.id).load.reportAgeMs(nowMs) <= freshReportMs
      if (creditInMs > 0 && !hasNews) {
        const room = this.#roomAt(target, creditInMs)
        return refuse('owner_share', shareRetryAfterMs(share), { ...inputs, share }, room)
      }
    } else if (share < 1 && random.float() >= share) {
      return refuse('owner_share', shareRetryAfterMs(share), { ...inputs, share })
    }
    const rank = this.rank(request)
    if (targets.limits.waitMs(target, rank) > 0)
      return this.#refuseLimited('owner_limited', target, rank, inputs)
    const coldWaitMs = targets.coldWaitMs(target, service)
    if (coldWaitMs > 0) return refuse('owner_cold', coldWaitMs, inputs)
    // As the owner's last report gets older, the prediction relies more on an expected occupancy. That is the
    // owner's own average here, as no other target can take the key.
    const choice = {
      target,
      predicted: this.#predict(request, target, targets.of(target.id).load.averageOccupancy(nowMs)),
    }
    return this.#admit(request, choice, true)
  }

  #isLate({ match, callerAgeMs = 0, elapsedMs }: SelectionRequest): boolean {
    const { objectiveMs } = match.route
    return isLate({
      ageMs: callerAgeMs,
      elapsedMs,
      objectiveMs,
      workMs: this.#options.routeWorkMs(match.route),
    })
  }

  /** The credit that the owner's share leaves; undefined while all requests may be sent to it. */
  #pacedShare(target: string, share: number, isArrival: boolean): PacedShare | undefined {
    if (share >= 1) {
      this.#paced.delete(target)
      return undefined
    }
    let paced = this.#paced.get(target)
    if (paced === undefined) {
      const { directory } = this.#options
      for (const id of this.#paced.keys()) if (directory.target(id) === undefined) this.#paced.delete(id)
      paced = new PacedShare(this.#options.random.float())
      this.#paced.set(target, paced)
    }
    if (isArrival) paced.arrived(this.#options.clock.monotonicMs(), share)
    return paced
  }

  /** The keys of an owner that leaves move soon, unless it has been leaving for long. */
  #leavingRoom(service: string, { owner, fence }: AssignedRange): ExpectedRoom | undefined {
    const { clock, directory } = this.#options
    if (!directory.isContended) return undefined
    const lastedMs = this.#moves.lastedMs(clock.monotonicMs(), `${service}/${String(fence)}/${owner}/leaves`)
    return { owner, inMs: lastedMs < leavingRetryAfterMs ? leavingRetryAfterMs / 2 : maxRetryAfterMs }
  }

  /** Lets requests wait where the deployment asks for it. */
  #roomAt({ id }: KnownTarget, inMs: number): ExpectedRoom | undefined {
    return this.#options.directory.isContended ? { owner: id, inMs } : undefined
  }

  /** For a request that any target of the service can take. */
  #selectAny(request: SelectionRequest): Selection {
    const { directory, targets, random, domain, clock } = this.#options
    const { service, route } = request.match
    const nowMs = clock.monotonicMs()
    const penaltyMs = route.kind === 'download' ? crossDomainDownloadPenaltyMs : crossDomainPenaltyMs
    // As a target's last report gets older, the prediction relies more on the average of the service, so that
    // a target that was passed over for its load is tried again.
    const meanOccupancy = targets.averageOccupancy(service.name)
    const expectedOccupancy = directory.isContended
      ? this.placement.expectedOccupancy(service.name)
      : () => meanOccupancy
    const candidates: PlacementCandidate<ChosenTarget>[] = []
    const rank = this.rank(request)
    let coldWaitMs = Number.POSITIVE_INFINITY
    /** Until a target that is full has room for a request of this host. */
    let fullWaitMs = Number.POSITIVE_INFINITY
    /** Of the targets that name a limit and get no request now, the one that may get one first. */
    let limited: { readonly target: KnownTarget; readonly waitMs: number } | undefined
    for (const target of directory.targets(service.name)) {
      if (!directory.isUsable(target) || request.tried.has(target.id)) continue
      const observed = targets.of(target.id)
      if (observed.pausedUntilMs > nowMs || !targets.hasFreeConnection(target, service)) continue
      const waitMs = targets.coldWaitMs(target, service)
      if (waitMs > 0) {
        coldWaitMs = Math.min(coldWaitMs, waitMs)
        continue
      }
      const fullUntilMs = directory.isContended
        ? Math.max(observed.rejectedUntilMs, observed.fullUntilMs)
        : observed.rejectedUntilMs
      if (fullUntilMs > nowMs) {
        fullWaitMs = Math.min(fullWaitMs, fullUntilMs - nowMs)
        continue
      }
      const limitWaitMs = targets.limits.waitMs(target, rank)
      if (limitWaitMs > 0) {
        if (limited === undefined || limitWaitMs < limited.waitMs) limited = { target, waitMs: limitWaitMs }
        continue
      }
      const predicted = this.#predict(request, target, expectedOccupancy(target))
      if (observed.isSilent(nowMs, predictedMs(predicted))) continue
      candidates.push({
        target: { target, predicted },
        predictedMs: predictedMs(predicted),
        distancePenaltyMs: target.domain === domain ? 0 : penaltyMs,
        failureLevel: observed.load.failureLevel(nowMs),
      })
    }
    const { occupied, runsAlone = false } = request
    const unoccupied =
      occupied === undefined ? candidates : candidates.filter(({ target }) => !occupied.has(target.target.id))
    if (runsAlone && unoccupied.length === 0 && candidates.length > 0)
      return refuse('suspect_runs', defaultRetryAfterMs)
    const eligible = unoccupied.length > 0 ? unoccupied : candidates
    const chosen = directory.isContended
      ? this.#place(request, eligible)
      : chooseTarget(eligible, random)?.target
    if (chosen !== undefined) return this.#admit(request, chosen, false)
    if (limited !== undefined) return this.#refuseLimited('targets_limited', limited.target, rank)
    if (Number.isFinite(fullWaitMs)) return refuse('targets_full', fullWaitMs)
    return Number.isFinite(coldWaitMs)
      ? refuse('targets_cold', coldWaitMs)
      : refuse('no_target', defaultRetryAfterMs)
  }

  #place(
    { match, tried }: SelectionRequest,
    candidates: readonly PlacementCandidate<ChosenTarget>[],
  ): ChosenTarget | undefined {
    const unkeyed = candidates.map(({ target: choice, failureLevel }) => ({
      choice,
      target: choice.target,
      waitMs: choice.predicted.waitMs,
      failureLevel,
    }))
    return this.placement.choose(match, unkeyed, tried.size === 0)?.choice
  }

  /** Refuses a request because a target's limit leaves no room for it. */
  #refuseLimited(reason: string, target: KnownTarget, rank: number, known: object = {}): Selection {
    const { retryAfterMs, inputs } = this.#options.targets.limits.refuse(target, rank, maxRetryAfterMs)
    const wait = retryAfterMs ?? overloadRetryAfterMs
    return refuse(reason, wait, { ...known, target: target.id, ...inputs })
  }

  /** Rank of the request among those of its service; 0 for the most urgent. */
  rank({ match: { route, service }, tenant }: Pick<SelectionRequest, 'match' | 'tenant'>): number {
    const { directory, isBehind } = this.#options
    if (tenant !== undefined && isBehind?.(service.name, tenant) === true) return 0
    return directory.rank(service.name, priorityOf(route, tenant))
  }

  #predict({ match }: SelectionRequest, target: KnownTarget, expectedOccupancy: number): Prediction {
    const { targets, clock, routeWorkMs } = this.#options
    return targets.of(target.id).load.predict(clock.monotonicMs(), {
      workMs: routeWorkMs(match.route),
      slots: target.slots,
      expectedOccupancy,
    })
  }

  /** Refuses the request when, by the prediction, it would be served too late at the chosen target. */
  #admit(request: SelectionRequest, choice: ChosenTarget, isOwner: boolean): Selection {
    const { directory, targets, clock } = this.#options
    const { route } = request.match
    const { target, predicted } = choice
    const input = {
      ...predicted,
      elapsedMs: request.elapsedMs,
      objectiveMs: route.objectiveMs,
      leftMs: request.leftMs,
      rank: this.rank(request),
    }
    const admission = directory.isContended
      ? admitContended({ ...input, ageMs: request.callerAgeMs ?? 0 })
      : admit({ ...input, isOwner })
    if (admission.admitted) return choice
    const load = targets.of(target.id).load.describe(clock.monotonicMs())
    const mayWait = directory.isContended && admission.reason === 'overloaded'
    const owner = isOwner ? target.id : undefined
    return refuse(
      admission.reason,
      admission.retryAfterMs,
      { target: target.id, ...predicted, ...load },
      mayWait ? { owner, inMs: admission.retryAfterMs, isUncertain: true } : undefined,
    )
  }
}
