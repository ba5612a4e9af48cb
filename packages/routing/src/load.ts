/**
 * Estimates the load of one target from what this host knows: its own requests in flight, the target's load
 * reports, and response times. Reports arrive with responses and are soon out of date, because other hosts
 * send to the same target too, so their weight falls exponentially with their age. Load pattern: targets that
 * slow down for moments because of other processes on their machines.
 */

/** Load of a target as it reports it itself. */
export interface LoadReport {
  /** Requests that occupy a slot. */
  readonly running: number
  /** Requests that wait for a slot. */
  readonly waiting: number
  readonly slots: number
  /** Present work time relative to the target's usual one; 1 is usual, 2 takes twice as long. */
  readonly slowdown: number
}

/** Time constant after which the weight of a reported number of running and waiting requests is 1/e. */
const occupancyTimeConstantMs = 600
/**
 * Time constant after which the weight of a reported slowdown is 1/e; slowdowns last some hundred
 * milliseconds.
 */
const slowdownTimeConstantMs = 400
/** Weight of a new observation in the moving averages of work times and speeds. */
const learningRate = 0.1
/** How much longer a slowdown lasts, on average, after it was reported. */
const slowdownRestMs = 300
/** Bounds for the speed of a target that is learned from responses, as a factor on the work time. */
const slowestFactor = 20
const fastestFactor = 0.25
/** Weight of a new report in the moving average of a target's occupancy. */
const averageUpdateRate = 0.2
/** Time constant with which that average decays while no report comes; queues last some seconds. */
const averageDecayMs = 2500
/**
 * Time constant after which the weight of a failure is 1/e. Failures count against a target, because one that
 * fails fast would otherwise seem fast and attract requests.
 */
const failureTimeConstantMs = 1500

/** Weight of an observation that is `ageMs` old: 1 at first, and 1/e after `timeConstantMs`. */
export const decay = (ageMs: number, timeConstantMs: number): number =>
  Math.exp(-Math.max(0, ageMs) / timeConstantMs)

/**
 * Time that work takes when it starts during a slowdown; it would take `usualMs` at the usual speed, at which
 * it goes on once the slowdown is expected to have ended.
 */
const slowedDownMs = (usualMs: number, slowdown: number): number => {
  if (slowdown <= 1 || usualMs * slowdown <= slowdownRestMs) return usualMs * slowdown
  return slowdownRestMs + usualMs - slowdownRestMs / slowdown
}

/** Expected work time of each route, as a moving average over the responses of all targets. */
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

/** Load, speed and recent failures of one target, as far as this host knows them. */
export class TargetLoad {
  /** Requests that this host has sent and that have not ended. */
  inFlight = 0
  #report: LoadReport | undefined
  #reportedAtMs = 0
  #sentSinceReport = 0
  #averageOccupancy = 0
  /** Work time on this target relative to the mean of all targets; 2 takes twice as long. */
  #speedFactor = 1
  /** The failure level right after the last failure or success. */
  #failures = 0
  #failuresUpdatedAtMs = 0

  /** Called when a request was sent to the target. */
  started(): void {
    this.inFlight += 1
    this.#sentSinceReport += 1
  }

  /** Called when a request that was sent has ended, with or without a response. */
  ended(): void {
    this.inFlight -= 1
  }

  /** Called when a response has brought a load report. */
  reported(nowMs: number, report: LoadReport): void {
    const occupancy = report.running + report.waiting
    const average = this.#report === undefined ? occupancy : this.averageOccupancy(nowMs)
    this.#averageOccupancy = average + (occupancy - average) * averageUpdateRate
    this.#report = report
    this.#reportedAtMs = nowMs
    this.#sentSinceReport = 0
  }

  /** Age of the last report; `Infinity` before the first. */
  reportAgeMs(nowMs: number): number {
    return this.#report === undefined ? Infinity : nowMs - this.#reportedAtMs
  }

  /** Called when a request or a connection to the target has failed. */
  failed(nowMs: number): void {
    this.#failures = this.failureLevel(nowMs) + 1
    this.#failuresUpdatedAtMs = nowMs
  }

  /** Called when the target has answered a request without failure; halves the failure level. */
  succeeded(nowMs: number): void {
    this.#failures = this.failureLevel(nowMs) * 0.5
    this.#failuresUpdatedAtMs = nowMs
  }

  /** Number of recent failures, each counting less with time. */
  failureLevel(nowMs: number): number {
    return this.#failures * decay(nowMs - this.#failuresUpdatedAtMs, failureTimeConstantMs)
  }

  /**
   * Updates the target's speed from the time that a response took. Returns the request's work time without
   * waiting and without momentary slowdown.
   */
  recordResponse(nowMs: number, { tookMs, predicted, expectedMs }: ResponseTime): number {
    // Removes what is not the target's own speed: waiting, and a slowdown when the request was sent or when
    // it ended.
    const waitFactor = predictedMs(predicted) / Math.max(1, predicted.workMs)
    const slowdown = Math.max(predicted.slowdown, this.currentSlowdown(nowMs))
    const workMs = tookMs / waitFactor / slowdown
    const ratio = Math.min(slowestFactor, Math.max(fastestFactor, workMs / Math.max(1, expectedMs)))
    this.#speedFactor += (ratio - this.#speedFactor) * learningRate
    return workMs
  }

  /**
   * Replaces the speed factor by the one that all hosts together observed, which already includes the
   * observations of this host.
   */
  setSpeedFactor(factor: number): void {
    this.#speedFactor = Math.min(slowestFactor, Math.max(fastestFactor, factor))
  }

  /**
   * Estimated number of requests that run or wait at the target; the older the last report, the more weight
   * `expected` has. Never below this host's own requests in flight.
   */
  occupancy(nowMs: number, expected: number): number {
    if (this.#report === undefined) return Math.max(this.inFlight, expected)
    const weight = decay(nowMs - this.#reportedAtMs, occupancyTimeConstantMs)
    const reported = this.#report.running + this.#report.waiting + this.#sentSinceReport
    return Math.max(this.inFlight, weight * reported + (1 - weight) * expected)
  }

  /**
   * Moving average of the occupancy that this target reports. It decays while no report comes, so that
   * requests are sent again to an owner for which they were refused.
   */
  averageOccupancy(nowMs: number): number {
    return this.#averageOccupancy * decay(nowMs - this.#reportedAtMs, averageDecayMs)
  }

  /** Work time on this target relative to the mean of all targets; 2 takes twice as long. */
  get speedFactor(): number {
    return this.#speedFactor
  }

  /**
   * By how much a request is delayed at the target, by its queue and its present slowdown, as far as recent
   * reports to this host tell.
   */
  knownDelayMs(nowMs: number, { workMs, slots }: Omit<PredictionInput, 'expectedOccupancy'>): number {
    const { waitMs, slowdown } = this.predict(nowMs, { workMs, slots, expectedOccupancy: 0 })
    return waitMs + Math.max(0, slowdown - 1) * workMs
  }

  /** Whether nothing waited at the target when it last reported. */
  get hadNoQueue(): boolean {
    return this.#report?.waiting === 0
  }

  /** Requests that waited at the target when it last reported. */
  get reportedQueue(): number {
    return this.#report?.waiting ?? 0
  }

  /** Whether requests waited at the target when it last reported, and that report is recent. */
  hasReportedQueue(nowMs: number): boolean {
    return (this.#report?.waiting ?? 0) > 0 && nowMs - this.#reportedAtMs < occupancyTimeConstantMs
  }

  /**
   * Present factor on the work time, apart from the target's own speed; approaches 1 as the last report gets
   * older.
   */
  currentSlowdown(nowMs: number): number {
    const reported = this.#report?.slowdown ?? 1
    return 1 + (reported - 1) * decay(nowMs - this.#reportedAtMs, slowdownTimeConstantMs)
  }

  /** The values that predictions are based on, for the log. */
  describe(nowMs: number): Readonly<Record<string, unknown>> {
    const { running, waiting } = this.#report ?? {}
    const reportAgeMs = this.#report === undefined ? undefined : nowMs - this.#reportedAtMs
    return { inFlight: this.inFlight, running, waiting, reportAgeMs, speedFactor: this.#speedFactor }
  }

  /** Predicts the waiting and work time of one more request, if it is sent now. */
  predict(nowMs: number, { workMs, slots, expectedOccupancy }: PredictionInput): Prediction {
    const ahead = Math.max(0, this.occupancy(nowMs, expectedOccupancy) + 1 - slots)
    const slowdown = this.currentSlowdown(nowMs)
    const usualMs = workMs * this.#speedFactor
    const waitMs = slowedDownMs((usualMs * ahead) / slots, slowdown)
    const totalMs = slowedDownMs((usualMs * ahead) / slots + usualMs, slowdown)
    return { workMs: totalMs - waitMs, waitMs, slowdown }
  }
}

/**
 * Mean occupancy over the reports of many targets. Each report counts less with time, so that the mean is up
 * to date.
 */
export class MeanOccupancy {
  #sum = 0
  #count = 0
  #atMs = 0

  /** `sum` is the sum of `count` reported occupancies, that is of numbers of running and waiting requests. */
  add(nowMs: number, sum: number, count: number): void {
    if (!(count > 0) || !Number.isFinite(sum)) return
    const weight = decay(nowMs - this.#atMs, occupancyTimeConstantMs)
    this.#sum = this.#sum * weight + sum
    this.#count = this.#count * weight + count
    this.#atMs = nowMs
  }

  /** Time since the last report. */
  ageMs(nowMs: number): number {
    return nowMs - this.#atMs
  }

  /** The mean; it decays to 0 while no reports come. */
  at(nowMs: number): number {
    if (this.#count === 0) return 0
    return (this.#sum / this.#count) * Math.min(1, this.#count * decay(nowMs - this.#atMs, averageDecayMs))
  }
}

export interface Prediction {
  /** Time that the request occupies a slot. */
  readonly workMs: number
  /** Time until a slot is free. */
  readonly waitMs: number
  /** The momentary slowdown that the prediction assumes. */
  readonly slowdown: number
}

/** Predicted time from sending the request to its response. */
export const predictedMs = ({ workMs, waitMs }: Prediction): number => workMs + waitMs

export interface ResponseTime {
  /** Time from sending the request to its response. */
  readonly tookMs: number
  /** The prediction that was made when the request was sent. */
  readonly predicted: Prediction
  /** Mean work time of the route's requests, over all targets. */
  readonly expectedMs: number
}

export interface PredictionInput {
  /** Mean work time of the route's requests, over all targets. */
  readonly workMs: number
  /** Slots of the target. */
  readonly slots: number
  /** Number of running and waiting requests to assume where the target has no recent report. */
  readonly expectedOccupancy: number
}
