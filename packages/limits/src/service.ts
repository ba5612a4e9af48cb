/** One service at a coordinator: its targets in the cell, queues, budgets, and the choice of a target. */
import {
  AttemptKind,
  type PermitRequest,
  type PermitRefusal,
  PermitRefusalCode,
  type Random,
  type ServiceSpec,
} from '@pimentotally/core'
import { ServiceBudget } from './budget.js'
import { HeavyHitters } from './heavy-hitters.js'
import { MovingLatency } from './latency.js'
import { WaitQueue } from './queue.js'
import type { Call } from './state.js'
import type { TargetState } from './target.js'

/** Above this many candidates, two random ones are compared instead of all. */
const fullChoiceLimit = 16

/** Waiting requests for each slot. */
const maxWaitingPerSlot = 4

/** A target whose oldest request is older than this many times the service's p95 is a straggler. */
const stragglerFactor = 3

/** So is one whose average is this many times that of the service. */
const slowAverageFactor = 3

/**
 * With more stragglers than this the service as a whole is slow, and hedges would only add load. One straggler never
 * counts as that while others are left: it is more than a quarter of a cell of two or three targets.
 */
const maxSlowShareForHedges = 0.25

/** Times the p95; at most 2.4 in 100 requests take as long while service times are exponential or more even. */
const lowBudgetHedgeFactor = 1.25

/** Up to this share of stragglers a request rather waits for another target's slot. */
const maxAvoidedShare = 0.5

/** Assumed before the first sample. */
const defaultLatencyMs = 5

export class ServiceState {
  spec: ServiceSpec
  /** Those of the cell, draining ones included. */
  targets: TargetState[] = []
  readonly budget = new ServiceBudget()
  readonly latency: MovingLatency
  readonly waiting = new WaitQueue()
  /** Waiting for a slot of their owner, by target name. */
  readonly waitingForOwner = new Map<string, WaitQueue>()
  /** Waiting until their shard has an owner. */
  readonly waitingForMove = new WaitQueue()
  shardLoad = new Map<number, number>()
  readonly hotKeys = new HeavyHitters()
  #stragglers = 0
  /** Stragglers with a request that is overdue now; the others were slow lately. */
  #overdue = 0

  constructor(spec: ServiceSpec, nowMs: number) {
    this.spec = spec
    this.latency = new MovingLatency(nowMs)
  }

  *queues(): Generator<WaitQueue> {
    yield this.waiting
    yield* this.waitingForOwner.values()
    yield this.waitingForMove
  }

  ownerQueue(target: string): WaitQueue {
    let queue = this.waitingForOwner.get(target)
    if (queue === undefined) {
      queue = new WaitQueue()
      this.waitingForOwner.set(target, queue)
    }
    return queue
  }

  takeShardLoad(): ReadonlyMap<number, number> {
    const load = this.shardLoad
    this.shardLoad = new Map()
    return load
  }

  takeHotKeys(limit: number): { keyHash: string; shard: number; count: number }[] {
    const top = this.hotKeys.top(limit)
    this.hotKeys.clear()
    return top.map(({ key, shard, count }) => ({ keyHash: key, shard, count }))
  }

  /** Finds stragglers anew; called from the pool's sweep. */
  refresh(nowMs: number, elapsedMs: number): void {
    this.latency.refresh(nowMs)
    const { p95Ms } = this.latency
    this.#stragglers = 0
    this.#overdue = 0
    for (const target of this.targets) {
      target.driftTowardsMean(nowMs, this.latency.meanMs, elapsedMs)
      const overdue = p95Ms !== undefined && target.oldestAgeMs(nowMs) > stragglerFactor * p95Ms
      target.overdue = overdue
      target.straggler = overdue || this.#isSlowOnAverage(target)
      if (overdue) this.#overdue += 1
      if (target.straggler) this.#stragglers += 1
    }
  }

  /**
   * Adds a sample to the latency of the service. Samples of a straggler are left out: its share of the requests can
   * exceed 5%, and a p95 taken from them would put off both hedges and the next straggler's detection.
   */
  recordLatency(target: TargetState, latencyMs: number): void {
    const { p95Ms } = this.latency
    const slow = this.#isSlowOnAverage(target) || (p95Ms !== undefined && latencyMs > stragglerFactor * p95Ms)
    if (!slow || this.#slowShare > maxAvoidedShare) this.latency.record(latencyMs)
  }

  /**
   * A request was given up after this time, mostly because its hedge answered first. Without these samples hedging
   * would cut off the distribution at the delay, and the p95 would sink with every hedge.
   */
  recordAbandoned(target: TargetState, latencyMs: number): void {
    const { p95Ms } = this.latency
    if (p95Ms !== undefined && latencyMs > p95Ms) this.recordLatency(target, latencyMs)
  }

  get #slowShare(): number {
    return this.targets.length === 0 ? 0 : this.#stragglers / this.targets.length
  }

  #isSlowOnAverage({ latencyMs }: TargetState): boolean {
    const { meanMs, p95Ms } = this.latency
    return p95Ms !== undefined && latencyMs > Math.max(slowAverageFactor * meanMs, p95Ms)
  }

  /** True when a straggler is passed over even if others have no free slot. */
  avoids(target: TargetState): boolean {
    return target.overdue && this.#slowShare <= maxAvoidedShare
  }

  /** A key has one owner, so a keyed request has no second target. */
  mayHedge({ idempotent, shard }: PermitRequest): boolean {
    const limit = Math.max(1, maxSlowShareForHedges * this.targets.length)
    const hedgingHelps = this.#overdue <= limit && this.#overdue < this.targets.length
    return idempotent && shard === undefined && this.targets.length > 1 && hedgingHelps
  }

  /** The delay after which the request may be hedged. */
  hedgeAfterMs(request: PermitRequest): number | undefined {
    if (request.attempt !== AttemptKind.first || !this.mayHedge(request)) return undefined
    if (!this.budget.allows(AttemptKind.hedge)) return undefined
    const { p95Ms } = this.latency
    // 5 in 100 requests outlast the p95, more than the budget pays for, and a straggler would find it spent.
    return p95Ms === undefined || this.budget.hasHedgeReserve ? p95Ms : lowBudgetHedgeFactor * p95Ms
  }

  /** The best target for an unkeyed request among those that `admits` accepts. */
  chooseTarget(
    call: Call,
    nowMs: number,
    random: Random,
    admits: (target: TargetState) => boolean,
  ): TargetState | undefined {
    const { excludedTargets } = call.request
    const fallbackMs = this.latency.meanMs === 0 ? defaultLatencyMs : this.latency.meanMs
    const fits = (target: TargetState): boolean =>
      !target.draining &&
      !this.avoids(target) &&
      (excludedTargets.length === 0 || !excludedTargets.includes(target.spec.name)) &&
      admits(target)
    const { targets } = this
    if (targets.length > fullChoiceLimit) {
      const one = targets[random.integer(targets.length)]
      const other = targets[random.integer(targets.length)]
      const oneFits = one !== undefined && fits(one)
      const otherFits = other !== undefined && fits(other)
      if (oneFits && otherFits) {
        return other.score(nowMs, fallbackMs) < one.score(nowMs, fallbackMs) ? other : one
      }
      if (oneFits) return one
      if (otherFits) return other
    }
    let best: TargetState | undefined
    let bestScore = Infinity
    // Starting at a random place breaks ties evenly.
    const offset = targets.length === 0 ? 0 : random.integer(targets.length)
    for (let index = 0; index < targets.length; index += 1) {
      const target = targets[(index + offset) % targets.length]
      if (target === undefined || !fits(target)) continue
      const score = target.score(nowMs, fallbackMs)
      if (score < bestScore) {
        best = target
        bestScore = score
      }
    }
    return best
  }

  /** True when some target could take the request once it has a free slot. */
  hasTargetFor({ excludedTargets }: PermitRequest): boolean {
    return this.targets.some(
      (target) => !target.draining && !target.lost && !excludedTargets.includes(target.spec.name),
    )
  }

  /** Why the call may not wait in `queue`, or undefined when it may. `slots` serve the queue. */
  waitRefusal(call: Call, queue: WaitQueue, slots: number, nowMs: number): PermitRefusal | undefined {
    const { meanMs } = this.latency
    const waitMs = Math.ceil(((queue.size + 1) * meanMs) / Math.max(1, slots))
    if (queue.size >= maxWaitingPerSlot * slots) {
      return {
        code: PermitRefusalCode.queueFull,
        message: `${String(queue.size)} requests wait for ${String(slots)} slots of ${this.spec.name}`,
        retryAfterMs: Math.max(10, waitMs),
      }
    }
    if (waitMs + meanMs <= call.deadlineAtMs - nowMs) return undefined
    return {
      code: PermitRefusalCode.deadlineTooShort,
      message: `a slot of ${this.spec.name} is expected in ${String(waitMs)} ms, too late for the deadline`,
      retryAfterMs: Math.max(10, waitMs),
    }
  }
}
