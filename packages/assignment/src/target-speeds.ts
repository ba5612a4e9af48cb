/**
 * Work time of each target, as a factor relative to the mean of its service, from the observations of all
 * hosts.
 */

/**
 * Weight of one observation once there are many; a mean of a few dozen tells a slow target from a fast one.
 */
const learningRate = 0.025
/**
 * A factor of 1 counts as this many initial observations, so that the first real ones already have some
 * effect.
 */
const priorObservations = 10
/** Work times have a long tail, so an observation is limited to this many times the present factor. */
const maxRise = 2
/** Bounds for a factor, so that a few extreme responses do not take all keys away from a target. */
const slowestFactor = 4
const fastestFactor = 0.4

/**
 * A factor that differs less than this from 1 does not affect the choice of a target, and is not published.
 */
const minDifference = 0.05

export class TargetSpeeds {
  readonly #factors = new Map<string, number>()
  readonly #observations = new Map<string, number>()

  /** `sum` is the sum of `count` observed factors. */
  add(target: string, sum: number, count: number): void {
    if (!(count > 0) || !Number.isFinite(sum)) return
    const known = this.#factors.get(target) ?? 1
    const before = this.#observations.get(target) ?? priorObservations
    const mean = Math.min(sum / count, known * maxRise)
    const weight = Math.max(1 - (1 - learningRate) ** count, count / (before + count))
    this.#factors.set(target, known + (mean - known) * weight)
    this.#observations.set(target, before + count)
  }

  /**
   * Replaces factors by those of another leader. Each counts as 1 / `learningRate` observations, to which
   * later ones are added.
   */
  setFactors(factors: Readonly<Record<string, number>>): void {
    for (const [target, factor] of Object.entries(factors)) {
      this.#factors.set(target, factor)
      this.#observations.set(target, 1 / learningRate)
    }
  }

  /** All factors that differ notably from 1, rounded to two decimals, by target. */
  factors(): Record<string, number> {
    const factors: Record<string, number> = {}
    for (const target of this.#factors.keys()) {
      const factor = Math.round(this.factor(target) * 100) / 100
      if (Math.abs(factor - 1) >= minDifference) factors[target] = factor
    }
    return factors
  }

  /** Factor on the work time of a target: 1 is usual, 2 takes twice as long. */
  factor(target: string): number {
    return Math.min(slowestFactor, Math.max(fastestFactor, this.#factors.get(target) ?? 1))
  }
}

/**
 * The factor of a target with a lasting queue. Its slots are all in use, so its capacity is not above the
 * present rate of requests, however fast its responses seem: those that take too long are never observed.
 * Load pattern: a slow target owns more busy keys than it can serve.
 */
export const saturatedFactor = (
  factor: number,
  { requestsPerSecond, workMs, slots }: { requestsPerSecond: number; workMs: number; slots: number },
): number =>
  requestsPerSecond <= 0
    ? factor
    : Math.min(slowestFactor, Math.max(factor, (slots * 1000) / (workMs * requestsPerSecond)))

/** With free capacity, fast targets get more than in proportion to their speed. */
const spareExponent = 2
/** Near the limit every target is needed, so each gets work in proportion to its speed. */
const fullExponent = 1
/** Utilization up to which `spareExponent` applies. */
const spareUtilization = 0.5
/** Utilization from which `fullExponent` applies; between the two the exponent falls linearly. */
const fullUtilization = 0.85

/**
 * In the share of the work that a target gets, its speed is raised to this exponent, which depends on the
 * utilization of the service. Load pattern: a third of the targets takes more than twice as long as the
 * others, and half of all slots are free.
 */
export const speedExponent = (utilization: number): number => {
  const filled = (utilization - spareUtilization) / (fullUtilization - spareUtilization)
  return spareExponent + (fullExponent - spareExponent) * Math.min(1, Math.max(0, filled))
}
