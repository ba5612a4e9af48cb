/** One target at its coordinator: its slots over all hosts, slow start, latency and penalties. */
import type { ServiceSpec, TargetReport, TargetSpec } from '@pimentotally/core'
import type { Call, HostState, IssuedPermit } from './state.js'

export const slowStartStep = 8

/** A target seen first with a longer uptime than this has served before this coordinator's tenure. */
const minWarmUptimeMs = 30_000

/** A lost connection may mean a restart; one slot is used until the next target report, or for this time without one. */
const restartCheckMs = 1000

/** An answer that arrives sooner than this after a lost connection may have been sent before it. */
const maxReportDelayMs = 300

/** Refusals and failures weigh on the choice of a target for about this time. */
const penaltyHalfLifeMs = 1000

const maxLoadReportAgeMs = 2000

/** Reports of load may lag or mislead, so they correct own observations by no more than this. */
const maxLoadCorrection = 0.25

/** Load-shedding answers in a row, without a success between, after which a target counts as cold. */
const coldAfterRefusals = 3

/** Targets are slow for a second or two at a time, and one that is avoided for longer is missing from a small cell. */
const driftAfterMs = 1000

/** Share of the difference to the average of the service that is made up in a second. */
const driftSharePerSecond = 1

/** What a target said of its own load. */
export interface LoadReport {
  readonly inFlight: number
  readonly queued: number
  readonly reportAgeMs: number
}

export interface TargetInspection {
  readonly target: string
  readonly service: string
  readonly inFlight: number
  readonly reserved: number
  readonly slots: number
  readonly allowedSlots: number
  readonly latencyMs: number
  readonly cold: boolean
  readonly lost: boolean
  readonly draining: boolean
  readonly straggler: boolean
  readonly instanceId: string | undefined
}

export class TargetState {
  spec: TargetSpec
  service: ServiceSpec
  /** Gets no new unkeyed work: draining, its domain is out, or no longer declared. */
  draining = false
  drainingSinceMs = 0
  lost = false
  straggler = false
  overdue = false
  instanceId: string | undefined
  generation = 0
  /** In the order in which they were lent. */
  readonly inFlight = new Set<IssuedPermit>()
  /** The suspect that runs alone now. */
  exclusive: IssuedPermit | undefined
  /** The suspect that waits for this target to become idle. */
  claim: Call | undefined
  claimedAtMs = 0
  /** Ended by a lost connection; whether the target crashed is not known yet. */
  lostConnections: { readonly permit: IssuedPermit; readonly atMs: number }[] = []
  /** Undefined when warm. */
  #allowed: number | undefined = 1
  #successes = 0
  #doubtSinceMs = -Infinity
  #latencyMs = 0
  #slowLatencyMs = 0
  #lastSampleMs = 0
  #penalty = 0
  #penaltyAtMs = 0
  #shed = 0
  #earlierAtMost = Infinity
  #report: (LoadReport & { readonly atMs: number }) | undefined

  constructor(spec: TargetSpec, service: ServiceSpec) {
    this.spec = spec
    this.service = service
  }

  get cold(): boolean {
    return this.#allowed !== undefined
  }

  get latencyMs(): number {
    return this.#latencyMs
  }

  /** Slots that may be in use now, over all hosts. */
  allowedSlots(nowMs: number): number {
    if (this.lost) return 0
    const allowed = Math.min(this.service.slots, this.#allowed ?? Infinity)
    return nowMs - this.#doubtSinceMs < restartCheckMs ? Math.min(1, allowed) : allowed
  }

  /** True from a lost connection until the target was seen again. */
  get mayHaveRestarted(): boolean {
    return this.#doubtSinceMs !== -Infinity
  }

  /** The most that one of several hosts may hold. */
  get hostCap(): number {
    const { slots } = this.service
    return Math.max(1, slots - Math.max(1, Math.floor(slots / 3)))
  }

  /** True when a request of `host` fits; `reserved` slots may be in use by hosts that have not answered. */
  admits(call: Call, host: HostState, nowMs: number, capped: boolean, reserved: number): boolean {
    const used = this.inFlight.size + reserved
    if (used >= this.allowedSlots(nowMs) || this.exclusive !== undefined) return false
    if (this.claim !== undefined && this.claim !== call) return false
    // A lone run on a target that may be down would prove nothing and be held back for the verdict.
    if (call.mustRunAlone && (used > 0 || this.mayHaveRestarted)) return false
    return !capped || host.heldPermitCount(this) < this.hostCap
  }

  /** Lower is better: expected time to an answer, corrected by penalties and recent load reports. */
  score(nowMs: number, fallbackMs: number): number {
    const latency = Math.max(this.#latencyMs === 0 ? fallbackMs : this.#latencyMs, this.oldestAgeMs(nowMs))
    const own = this.inFlight.size + 1
    return own * latency * (1 + 10 * this.#penaltyAt(nowMs)) * this.#correction(nowMs, own)
  }

  oldestAgeMs(nowMs: number): number {
    for (const permit of this.inFlight) return nowMs - permit.issuedAtMs
    return 0
  }

  /** A new term began: what hosts of earlier terms run here is not known yet. */
  resetEarlierRequests(): void {
    this.#earlierAtMost = Infinity
  }

  /** The most requests of earlier terms that can still run here. */
  get maxEarlierRequests(): number {
    return this.#earlierAtMost
  }

  /** An answer came from this instance; true when it is a new instance in place of a known one. */
  recordReport({ instanceId, uptimeMs, inFlight }: TargetReport, nowMs: number): boolean {
    if (inFlight !== undefined) this.#earlierAtMost = Math.min(this.#earlierAtMost, inFlight)
    const known = this.instanceId
    const wasLost = this.lost
    this.lost = false
    if (known === instanceId) {
      if (nowMs - this.#doubtSinceMs >= maxReportDelayMs) this.#doubtSinceMs = -Infinity
      if (wasLost) this.turnCold()
      return false
    }
    this.instanceId = instanceId
    this.#doubtSinceMs = -Infinity
    if (known === undefined && uptimeMs >= minWarmUptimeMs) this.#allowed = undefined
    else this.turnCold()
    return known !== undefined
  }

  /** Starts the slow start anew. */
  turnCold(): void {
    this.generation += 1
    this.#allowed = 1
    this.#successes = 0
    this.#shed = 0
    this.#latencyMs = 0
    this.#slowLatencyMs = 0
  }

  recordSuccess(permit: IssuedPermit, latencyMs: number, nowMs: number): void {
    this.#shed = 0
    if (permit.generation !== this.generation) return
    this.#sample(latencyMs, nowMs)
    if (this.#allowed === undefined) return
    this.#successes += 1
    if (this.#successes % slowStartStep !== 0) return
    this.#allowed += 1
    if (this.#allowed >= this.service.slots) this.#allowed = undefined
  }

  /** The target refused before starting; true when it counts as turned cold for it. */
  recordRefusal(permit: IssuedPermit, nowMs: number): boolean {
    this.addPenalty(nowMs)
    if (permit.generation !== this.generation) return false
    this.#shed += 1
    const slow = this.#slowLatencyMs > 0 && this.#latencyMs > 4 * this.#slowLatencyMs
    if (!slow && this.#shed < coldAfterRefusals) return false
    this.turnCold()
    return true
  }

  /** A request took at least this long and got no answer. */
  recordTimeout(permit: IssuedPermit, latencyMs: number, nowMs: number): void {
    this.addPenalty(nowMs)
    if (permit.generation === this.generation) this.#sample(Math.max(latencyMs, this.#latencyMs), nowMs)
  }

  /** A request was given up after this time without an answer. */
  recordMinimumLatency(permit: IssuedPermit, latencyMs: number, nowMs: number): void {
    if (permit.generation !== this.generation || latencyMs <= this.#latencyMs) return
    this.#sample(latencyMs, nowMs)
    // The time is a lower bound, so the average of it and earlier answers would be too low.
    this.#latencyMs = latencyMs
  }

  recordConnectionLost(permit: IssuedPermit, nowMs: number): void {
    this.addPenalty(nowMs)
    if (permit.generation === this.generation) this.#doubtSinceMs = nowMs
  }

  /** Lowers the rank of a target that refuses or fails, so that fast failures do not attract work. */
  addPenalty(nowMs: number): void {
    this.#penalty = this.#penaltyAt(nowMs) + 0.25 * (1 - this.#penaltyAt(nowMs))
    this.#penaltyAtMs = nowMs
  }

  reportLoad(report: LoadReport, nowMs: number): void {
    this.#report = { ...report, atMs: nowMs }
  }

  /** Without samples the average drifts to the service's, so that a former straggler is tried again. */
  driftTowardsMean(nowMs: number, meanMs: number, elapsedMs: number): void {
    if (nowMs - this.#lastSampleMs < driftAfterMs || this.#latencyMs === 0) return
    this.#latencyMs += (meanMs - this.#latencyMs) * Math.min(1, driftSharePerSecond * (elapsedMs / 1000))
  }

  inspect(nowMs: number, reserved: number): TargetInspection {
    return {
      target: this.spec.name,
      service: this.service.name,
      inFlight: this.inFlight.size,
      reserved,
      slots: this.service.slots,
      allowedSlots: this.allowedSlots(nowMs),
      latencyMs: this.#latencyMs,
      cold: this.cold,
      lost: this.lost,
      draining: this.draining,
      straggler: this.straggler,
      instanceId: this.instanceId,
    }
  }

  #sample(latencyMs: number, nowMs: number): void {
    this.#lastSampleMs = nowMs
    if (this.#latencyMs === 0) {
      this.#latencyMs = latencyMs
      this.#slowLatencyMs = latencyMs
      return
    }
    this.#latencyMs += (latencyMs - this.#latencyMs) / 4
    this.#slowLatencyMs += (latencyMs - this.#slowLatencyMs) / 64
  }

  #penaltyAt(nowMs: number): number {
    if (this.#penalty === 0) return 0
    return this.#penalty * 0.5 ** ((nowMs - this.#penaltyAtMs) / penaltyHalfLifeMs)
  }

  #correction(nowMs: number, own: number): number {
    if (this.#report === undefined) return 1
    const { inFlight, queued, reportAgeMs, atMs } = this.#report
    if (nowMs - atMs + reportAgeMs >= maxLoadReportAgeMs) return 1
    return Math.min(1 + maxLoadCorrection, Math.max(1 - maxLoadCorrection, (inFlight + queued + 1) / own))
  }
}
