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
/** How long a slowdown that was reported just now goes on, on average. */
const slowdownRestMs = 300
/** Bounds for the learned speed of a target, as a factor on the work time. */
const slowestFactor = 20
const fastestFactor = 0.25
/** Weight of a new report in a target's usual occupancy. */
const usualRate = 0.2
/** After this time without a report the usual occupancy counts for 1/e; queues last some seconds. */
const usualMemoryMs = 2500
/** Failures that end fast must not attract requests; after this time a failure counts for 1/e. */
const failureMemoryMs = 1500

/** Weight of what was learned `ageMs` ago: 1 at first, and 1/e after `memoryMs`. */
export const decay = (ageMs: number, memoryMs: number): number => Math.exp(-Math.max(0, ageMs) / memoryMs)

/** Time for work that takes `usualMs` at the usual speed, when it starts in a slowdown that will end. */
const stretched = (usualMs: number, slowdown: number): number => {
  if (slowdown <= 1 || usualMs * slowdown <= slowdownRestMs) return usualMs * slowdown
  return slowdownRestMs + usualMs - slowdownRestMs / slowdown
}

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
  #usual = 0
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
    const occupancy = report.running + report.waiting
    const usual = this.#report === undefined ? occupancy : this.usualOccupancy(nowMs)
    this.#usual = usual + (occupancy - usual) * usualRate
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

  /** Learns the target's speed from a response, and returns the work time at the usual speed of a target. */
  learn(nowMs: number, { tookMs, predicted, expectedMs }: ResponseTime): number {
    // Takes out what is not the target's own speed: waiting, and a slowdown at the beginning or the end.
    const waitFactor = predictedMs(predicted) / Math.max(1, predicted.workMs)
    const slowdown = Math.max(predicted.slowdown, this.momentarySlowdown(nowMs))
    const workMs = tookMs / waitFactor / slowdown
    const ratio = Math.min(slowestFactor, Math.max(fastestFactor, workMs / Math.max(1, expectedMs)))
    this.#speedFactor += (ratio - this.#speedFactor) * learningRate
    return workMs
  }

  /** Takes the factor on the work time that all hosts observed, to which this host's own observations belong. */
  adoptSpeed(factor: number): void {
    this.#speedFactor = Math.min(slowestFactor, Math.max(fastestFactor, factor))
  }

  /** Requests that run or wait at the target; an old report gives way to `expected`. */
  occupancy(nowMs: number, expected: number): number {
    if (this.#report === undefined) return Math.max(this.inFlight, expected)
    const weight = decay(nowMs - this.#reportedAtMs, occupancyMemoryMs)
    const reported = this.#report.running + this.#report.waiting + this.#sentSinceReport
    return Math.max(this.inFlight, weight * reported + (1 - weight) * expected)
  }

  /** Mean of this target's own reports; it falls while none comes, so that an owner that was refused is tried again. */
  usualOccupancy(nowMs: number): number {
    return this.#usual * decay(nowMs - this.#reportedAtMs, usualMemoryMs)
  }

  /** Whether nothing waited at the target when it last reported. */
  get hadRoom(): boolean {
    return this.#report?.waiting === 0
  }

  /** Whether requests waited at the target when it last reported, a moment ago. */
  hasReportedQueue(nowMs: number): boolean {
    return (this.#report?.waiting ?? 0) > 0 && nowMs - this.#reportedAtMs < occupancyMemoryMs
  }

  /** Factor on the work time just now, beside the target's own speed. */
  momentarySlowdown(nowMs: number): number {
    const reported = this.#report?.slowdown ?? 1
    return 1 + (reported - 1) * decay(nowMs - this.#reportedAtMs, slowdownMemoryMs)
  }

  /** What the predictions rest on, for the log. */
  describe(nowMs: number): Readonly<Record<string, unknown>> {
    const { running, waiting } = this.#report ?? {}
    const reportAgeMs = this.#report === undefined ? undefined : nowMs - this.#reportedAtMs
    return { inFlight: this.inFlight, running, waiting, reportAgeMs, speedFactor: this.#speedFactor }
  }

  /** What to expect of one more request, if it is sent now. */
  predict(nowMs: number, { workMs, slots, expectedOccupancy }: PredictionInput): Prediction {
    const ahead = Math.max(0, this.occupancy(nowMs, expectedOccupancy) + 1 - slots)
    const slowdown = this.momentarySlowdown(nowMs)
    const usualMs = workMs * this.#speedFactor
    const waitMs = stretched((usualMs * ahead) / slots, slowdown)
    const totalMs = stretched((usualMs * ahead) / slots + usualMs, slowdown)
    return { workMs: totalMs - waitMs, waitMs, slowdown }
  }
}

/** The mean of many targets' reports; each report counts less with time, so that a mean over all hosts is of this moment. */
export class MeanOccupancy {
  #sum = 0
  #count = 0
  #atMs = 0

  /** `sum` is the sum of `count` reported numbers of requests. */
  add(nowMs: number, sum: number, count: number): void {
    if (!(count > 0) || !Number.isFinite(sum)) return
    const weight = decay(nowMs - this.#atMs, occupancyMemoryMs)
    this.#sum = this.#sum * weight + sum
    this.#count = this.#count * weight + count
    this.#atMs = nowMs
  }

  /** Falls to 0 when no reports come. */
  at(nowMs: number): number {
    if (this.#count === 0) return 0
    return (this.#sum / this.#count) * Math.min(1, this.#count * decay(nowMs - this.#atMs, usualMemoryMs))
  }
}

export interface Prediction {
  /** Time in a slot. */
  readonly workMs: number
  /** Time until a slot is free. */
  readonly waitMs: number
  /** The momentary slowdown that the prediction assumes. */
  readonly slowdown: number
}

/** From sending to the answer. */
export const predictedMs = ({ workMs, waitMs }: Prediction): number => workMs + waitMs

export interface ResponseTime {
  readonly tookMs: number
  /** What was expected when the request was sent. */
  readonly predicted: Prediction
  /** Mean work time of such requests. */
  readonly expectedMs: number
}

export interface PredictionInput {
  readonly workMs: number
  readonly slots: number
  /** Assumed where reports are old. */
  readonly expectedOccupancy: number
}
