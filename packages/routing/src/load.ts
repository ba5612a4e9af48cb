/**
 * What this host knows of one target's load: its own requests in flight, the target's reports and how long requests
 * took. Reports come with responses and soon lose their meaning, as other hosts send to the same target; their weight
 * falls with their age. Load pattern: targets that slow down for moments because of neighbours on their machines.
 */

/** A target's own report of its load. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How much longer than usual work takes just now; 1 is usual. */
  readonly slowdown: number
}

/** After this time a report of running and waiting requests counts for 1/e. */
const occupancyMemoryMs = 600
/** After this time a report of a slowdown counts for 1/e; slowdowns last some hundred milliseconds. */
const slowdownMemoryMs = 400
/** Weight of a new observation in a moving average. */
const learningRate = 0.1
/** Bounds for the learned speed of a target, as a factor on the work time. */
const slowestFactor = 20
const fastestFactor = 0.25
/** Failures that end fast must not attract requests; after this time a failure counts for 1/e. */
const failureMemoryMs = 1500

const decay = (ageMs: number, memoryMs: number): number => Math.exp(-Math.max(0, ageMs) / memoryMs)

/** Expected work time of each route, learned from the responses of all targets. */
export class WorkTimes {
  readonly #meanMs = new Map<string, number>()

  /** `initialMs` is used until the first response. */
  expectedMs(route: string, initialMs: number): number {
    return this.#meanMs.get(route) ?? initialMs
  }

  record(route: string, workMs: number, initialMs: number): void {
    const known = this.expectedMs(route, initialMs)
    this.#meanMs.set(route, known + (workMs - known) * learningRate)
  }
}

export class TargetLoad {
  inFlight = 0
  #report: LoadReport | undefined
  #reportedAtMs = 0
  #sentSinceReport = 0
  #speedFactor = 1
  #failures = 0
  #failedAtMs = 0

  /** A request was sent. */
  started(): void {
    this.inFlight += 1
    this.#sentSinceReport += 1
  }

  ended(): void {
    this.inFlight -= 1
  }

  reported(nowMs: number, report: LoadReport): void {
    this.#report = report
    this.#reportedAtMs = nowMs
    this.#sentSinceReport = 0
  }

  failed(nowMs: number): void {
    this.#failures = this.failureLevel(nowMs) + 1
    this.#failedAtMs = nowMs
  }

  succeeded(nowMs: number): void {
    this.#failures = this.failureLevel(nowMs) * 0.5
    this.#failedAtMs = nowMs
  }

  /** Recent failures, each counting less with time. */
  failureLevel(nowMs: number): number {
    return this.#failures * decay(nowMs - this.#failedAtMs, failureMemoryMs)
  }

  /** Learns the target's speed from a response: `observedMs` against `expectedMs` without waiting. */
  observed(observedMs: number, expectedMs: number): void {
    const ratio = Math.min(slowestFactor, Math.max(fastestFactor, observedMs / Math.max(1, expectedMs)))
    this.#speedFactor += (ratio - this.#speedFactor) * learningRate
  }

  /** Requests that run or wait at the target, by the last report and what was sent since. */
  occupancy(nowMs: number, usual: number): number {
    if (this.#report === undefined) return Math.max(this.inFlight, usual)
    const weight = decay(nowMs - this.#reportedAtMs, occupancyMemoryMs)
    const reported = this.#report.running + this.#report.waiting + this.#sentSinceReport
    return Math.max(this.inFlight, weight * reported + (1 - weight) * usual)
  }

  /** Factor on the work time just now. */
  slowdown(nowMs: number): number {
    const reported = this.#report?.slowdown ?? 1
    return this.#speedFactor * (1 + (reported - 1) * decay(nowMs - this.#reportedAtMs, slowdownMemoryMs))
  }

  /** Factor on the work time that stays, as learned from responses. */
  get speedFactor(): number {
    return this.#speedFactor
  }

  get reportedSlowdown(): number {
    return this.#report?.slowdown ?? 1
  }

  /** Time until a response, if one more request is sent now. */
  predictedMs(nowMs: number, { workMs, slots, usualOccupancy }: PredictionInput): number {
    const ahead = this.occupancy(nowMs, usualOccupancy) + 1 - slots
    return workMs * this.slowdown(nowMs) * (1 + Math.max(0, ahead) / slots)
  }
}

export interface PredictionInput {
  readonly workMs: number
  readonly slots: number
  /** Occupancy to assume where reports are old. */
  readonly usualOccupancy: number
}
