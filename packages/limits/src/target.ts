/** One target at its coordinator: the slots that all hosts use, slow start, latency and penalties. */
import type { ServiceSpec, TargetReport, TargetSpec } from '@pimentotally/core'
import type { Call, HostState, IssuedPermit } from './state.js'

/** A cold target gets one more slot after each of this many successes. */
export const slowStartStep = 8

/**
 * A target first seen with at least this uptime is taken to be warm, as it served requests before this
 * tenure.
 */
const minWarmUptimeMs = 30_000

/**
 * A lost connection may mean that the target restarted. Only one slot is used until its next report, or for
 * this time when there is none.
 */
const restartCheckMs = 1000

/** A report that arrives sooner than this after a lost connection may have been sent before the loss. */
const maxReportDelayMs = 300

/** Half-life of the penalty for refusals and failures, which makes a target less likely to be chosen. */
const penaltyHalfLifeMs = 1000

/** A load report of this age or older is ignored. */
const maxLoadReportAgeMs = 2000

/** A load report may be out of date or wrong, so it changes the score by at most this share. */
const maxLoadCorrection = 0.25

/** After this many refusals without a success between them, a target counts as cold. */
const coldAfterRefusals = 3

/**
 * Without samples for this long, the average latency of a target begins to return to that of its service.
 * Targets are usually slow for only a second or two, and in a small cell each target that is avoided for
 * longer is missed.
 */
const driftAfterMs = 1000

/** Share of the difference to the service's average latency that is removed per second. */
const driftSharePerSecond = 1

/** The load that a target reported of itself. */
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
  /**
   * True when the target gets no new unkeyed requests: it drains, its domain is out, or it is no longer
   * declared.
   */
  draining = false
  drainingSinceMs = 0
  /** True when the target has not responded for so long that its lease has lapsed. */
  lost = false
  /** Overdue or slow on average, as of the latest sweep. */
  straggler = false
  /** True when its oldest request took far longer than the service's p95 at the latest sweep. */
  overdue = false
  instanceId: string | undefined
  /** Rises whenever slow start restarts. */
  generation = 0
  /** Outstanding permits, in the order in which they were issued or learned from their hosts. */
  readonly inFlight = new Set<IssuedPermit>()
  /** The permit of the suspect that runs alone at the moment. */
  exclusive: IssuedPermit | undefined
  /** The call of a suspect that waits for this target to become idle; no other call is admitted meanwhile. */
  claim: Call | undefined
  claimedAtMs = 0
  /** Permits whose connection was lost, as long as it is not known whether the target crashed. */
  lostConnections: { readonly permit: IssuedPermit; readonly atMs: number }[] = []
  /** Slots that slow start allows; undefined when the target is warm. */
  #slowStartSlots: number | undefined = 1
  #successes = 0
  #connectionLostAtMs = -Infinity
  /** Moving average in which a new sample weighs 1/4; 0 before the first sample. */
  #latencyMs = 0
  /** Moving average in which a new sample weighs 1/64. */
  #longAverageLatencyMs = 0
  #lastSampleMs = 0
  #penalty = 0
  #penaltyAtMs = 0
  #refusals = 0
  #maxEarlierRequests = Infinity
  #report: (LoadReport & { readonly atMs: number }) | undefined

  constructor(spec: TargetSpec, service: ServiceSpec) {
    this.spec = spec
    this.service = service
  }

  get cold(): boolean {
    return this.#slowStartSlots !== undefined
  }

  get latencyMs(): number {
    return this.#latencyMs
  }

  /** The number of slots that all hosts together may use at the moment. */
  allowedSlots(nowMs: number): number {
    if (this.lost) return 0
    const allowed = Math.min(this.service.slots, this.#slowStartSlots ?? Infinity)
    return nowMs - this.#connectionLostAtMs < restartCheckMs ? Math.min(1, allowed) : allowed
  }

  /** True from a lost connection until a report shows whether the target has restarted. */
  get mayHaveRestarted(): boolean {
    return this.#connectionLostAtMs !== -Infinity
  }

  /** The most permits that one host may hold when there are several. */
  get hostCap(): number {
    const { slots } = this.service
    return Math.max(1, slots - Math.max(1, Math.floor(slots / 3)))
  }

  /**
   * True when the target can take a request of `host` now. `reserved` slots may be in use by hosts that have
   * not listed their permits.
   */
  admits(call: Call, host: HostState, nowMs: number, isHostCapActive: boolean, reserved: number): boolean {
    const used = this.inFlight.size + reserved
    if (used >= this.allowedSlots(nowMs) || this.exclusive !== undefined) return false
    if (this.claim !== undefined && this.claim !== call) return false
    // If the target is down, a run alone would prove nothing, and the suspect would wait until the loss is
    // explained.
    if (call.mustRunAlone && (used > 0 || this.mayHaveRestarted)) return false
    return !isHostCapActive || host.heldPermitCount(this) < this.hostCap
  }

  /**
   * Expected time to a response, corrected by penalties and a recent load report. The lowest score is chosen.
   */
  score(nowMs: number, fallbackMs: number): number {
    const latency = Math.max(this.#latencyMs === 0 ? fallbackMs : this.#latencyMs, this.oldestAgeMs(nowMs))
    const own = this.inFlight.size + 1
    return own * latency * (1 + 10 * this.#penaltyAt(nowMs)) * this.#correction(nowMs, own)
  }

  oldestAgeMs(nowMs: number): number {
    for (const permit of this.inFlight) return nowMs - permit.issuedAtMs
    return 0
  }

  /** To be called when a term begins: it isn't known how many requests of earlier terms still run here. */
  resetEarlierRequests(): void {
    this.#maxEarlierRequests = Infinity
  }

  /** The most requests of earlier terms that can still run on this target; Infinity while not known. */
  get maxEarlierRequests(): number {
    return this.#maxEarlierRequests
  }

  /** The target responded; true when the response came from another instance than the one known before. */
  recordReport({ instanceId, uptimeMs, inFlight }: TargetReport, nowMs: number): boolean {
    if (inFlight !== undefined) this.#maxEarlierRequests = Math.min(this.#maxEarlierRequests, inFlight)
    const known = this.instanceId
    const wasLost = this.lost
    this.lost = false
    if (known === instanceId) {
      if (nowMs - this.#connectionLostAtMs >= maxReportDelayMs) this.#connectionLostAtMs = -Infinity
      if (wasLost) this.turnCold()
      return false
    }
    this.instanceId = instanceId
    this.#connectionLostAtMs = -Infinity
    if (known === undefined && uptimeMs >= minWarmUptimeMs) this.#slowStartSlots = undefined
    else this.turnCold()
    return known !== undefined
  }

  /** Restarts slow start and discards the latency samples. */
  turnCold(): void {
    this.generation += 1
    this.#slowStartSlots = 1
    this.#successes = 0
    this.#refusals = 0
    this.#latencyMs = 0
    this.#longAverageLatencyMs = 0
  }

  recordSuccess(permit: IssuedPermit, latencyMs: number, nowMs: number): void {
    this.#refusals = 0
    if (permit.generation !== this.generation) return
    this.#sample(latencyMs, nowMs)
    if (this.#slowStartSlots === undefined) return
    this.#successes += 1
    if (this.#successes % slowStartStep !== 0) return
    this.#slowStartSlots += 1
    if (this.#slowStartSlots >= this.service.slots) this.#slowStartSlots = undefined
  }

  /** The target refused a request before starting it; true when it counts as cold from now on. */
  recordRefusal(permit: IssuedPermit, nowMs: number): boolean {
    this.addPenalty(nowMs)
    if (permit.generation !== this.generation) return false
    this.#refusals += 1
    const slow = this.#longAverageLatencyMs > 0 && this.#latencyMs > 4 * this.#longAverageLatencyMs
    if (!slow && this.#refusals < coldAfterRefusals) return false
    this.turnCold()
    return true
  }

  /** A request timed out after this time without a response. */
  recordTimeout(permit: IssuedPermit, latencyMs: number, nowMs: number): void {
    this.addPenalty(nowMs)
    if (permit.generation === this.generation) this.#sample(Math.max(latencyMs, this.#latencyMs), nowMs)
  }

  /** A request was cancelled after this time without a response. */
  recordMinimumLatency(permit: IssuedPermit, latencyMs: number, nowMs: number): void {
    if (permit.generation !== this.generation || latencyMs <= this.#latencyMs) return
    this.#sample(latencyMs, nowMs)
    // The time is only a lower bound, so averaging it with earlier samples would give too low a latency.
    this.#latencyMs = latencyMs
  }

  recordConnectionLost(permit: IssuedPermit, nowMs: number): void {
    this.addPenalty(nowMs)
    if (permit.generation === this.generation) this.#connectionLostAtMs = nowMs
  }

  /**
   * Raises the score of a target that refused or failed, so that fast failures do not attract more requests.
   */
  addPenalty(nowMs: number): void {
    this.#penalty = this.#penaltyAt(nowMs) + 0.25 * (1 - this.#penaltyAt(nowMs))
    this.#penaltyAtMs = nowMs
  }

  reportLoad(report: LoadReport, nowMs: number): void {
    this.#report = { ...report, atMs: nowMs }
  }

  /**
   * Without samples the average moves towards that of the service, so that a former straggler is tried again.
   */
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
      this.#longAverageLatencyMs = latencyMs
      return
    }
    this.#latencyMs += (latencyMs - this.#latencyMs) / 4
    this.#longAverageLatencyMs += (latencyMs - this.#longAverageLatencyMs) / 64
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
