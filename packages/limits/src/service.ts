/** One service at a coordinator: its targets in the cell, queues and budgets, and the choice of a target. */
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

/** With more targets than this, two random ones are compared instead of all of them. */
const fullChoiceLimit = 16

/** The most requests that may wait in a queue, for each slot that serves it. */
const maxWaitingPerSlot = 4

/**
 * A target is a straggler while its oldest request is older than this many times the service's p95 latency.
 */
const stragglerFactor = 3

/** A target is also a straggler while its average latency is above this many times that of the service. */
const slowAverageFactor = 3

/**
 * When a larger share of the targets has overdue requests, the service as a whole is slow and hedges would
 * only add load. A single such target never stops hedges while there are others, although it is more than
 * this share of a cell of two or three targets.
 */
const maxSlowShareForHedges = 0.25

/**
 * Hedge delay, as a multiple of the p95 latency, when the hedge budget is low. At most 2.4 in 100 requests
 * take this long if service times are distributed exponentially or more evenly.
 */
const lowBudgetHedgeFactor = 1.25

/** Stragglers are avoided, even if requests have to wait for other targets, up to this share of targets. */
const maxAvoidedShare = 0.5

/** Latency assumed for a service before its first sample. */
const defaultLatencyMs = 5

export class ServiceState {
  spec: ServiceSpec
  /** The targets of the service in this cell, including draining ones. */
  targets: TargetState[] = []
  readonly budget = new ServiceBudget()
  readonly latency: MovingLatency
  readonly waiting = new WaitQueue()
  /** Calls that wait for a slot of the owner of their key, by the owner's target name. */
  readonly waitingForOwner = new Map<string, WaitQueue>()
  /** Calls that wait until their shard has an owner. */
  readonly waitingForMove = new WaitQueue()
  shardLoad = new Map<number, number>()
  readonly hotKeys = new HeavyHitters()
  #stragglers = 0
  /** The number of stragglers with an overdue request at the moment; the others are only slow on average. */
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

  /** Determines which targets are stragglers; called by the pool's sweep. */
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
   * Adds a sample to the latency of the service. Samples of a straggler are left out unless too many targets
   * are stragglers: its share of the requests can exceed 5%, and a p95 that includes them would delay both
   * hedges and the detection of the next straggler.
   */
  recordLatency(target: TargetState, latencyMs: number): void {
    const { p95Ms } = this.latency
    const slow = this.#isSlowOnAverage(target) || (p95Ms !== undefined && latencyMs > stragglerFactor * p95Ms)
    if (!slow || this.#slowShare > maxAvoidedShare) this.latency.record(latencyMs)
  }

  /**
   * Records a request that was cancelled after this time, mostly because its hedge got a response first.
   * Without these samples hedging would cut off the distribution of latencies at the hedge delay, and each
   * hedge would lower the p95.
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

  /**
   * True when the target has an overdue request and is not chosen even if no other target has a free slot.
   */
  avoids(target: TargetState): boolean {
    return target.overdue && this.#slowShare <= maxAvoidedShare
  }

  /**
   * True when a hedge could help. A keyed request is never hedged: its key has one owner, so there is no
   * second target.
   */
  mayHedge({ idempotent, shard }: PermitRequest): boolean {
    const limit = Math.max(1, maxSlowShareForHedges * this.targets.length)
    const hedgingHelps = this.#overdue <= limit && this.#overdue < this.targets.length
    return idempotent && shard === undefined && this.targets.length > 1 && hedgingHelps
  }

  /** The delay after which the request may be hedged; undefined when it may not be. */
  hedgeAfterMs(request: PermitRequest): number | undefined {
    if (request.attempt !== AttemptKind.first || !this.mayHedge(request)) return undefined
    if (!this.budget.allows(AttemptKind.hedge)) return undefined
    const { p95Ms } = this.latency
    // 5 in 100 requests take longer than the p95. Hedging all of them would exceed the budget, and none would
    // be left for the requests at a straggler.
    return p95Ms === undefined || this.budget.hasHedgeReserve ? p95Ms : lowBudgetHedgeFactor * p95Ms
  }

  /** The target with the lowest score, for an unkeyed request, among those that `admits` accepts. */
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
    // With a random start, targets of equal score are chosen equally often.
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

  /** True when at least one target could take the request once it has a free slot. */
  hasTargetFor({ excludedTargets }: PermitRequest): boolean {
    return this.targets.some(
      (target) => !target.draining && !target.lost && !excludedTargets.includes(target.spec.name),
    )
  }

  /**
   * The refusal of a call that may not wait in `queue`; undefined when it may. `slots` slots serve the queue.
   */
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
