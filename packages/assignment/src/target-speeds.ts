/** How long work takes on each target, relative to the mean of its service, as all hosts observe it. */

/** Weight of one observation once many are known; the mean of some tens tells a slow target from a fast one. */
const learningRate = 0.025
/** The usual speed counts as so many observations, so that the first ones already tell something. */
const priorObservations = 10
/** Work times have a long tail; one observation counts for at most this many times what is known. */
const maxRise = 2
/** Bounds for a factor, so that a few extreme responses do not empty a target. */
const slowest = 4
const fastest = 0.4

/** A smaller difference changes no choice of a target. */
const notable = 0.05

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

  /** Takes what another leader knew; its own later observations go on from there. */
  setFactors(factors: Readonly<Record<string, number>>): void {
    for (const [target, factor] of Object.entries(factors)) {
      this.#factors.set(target, factor)
      this.#observations.set(target, 1 / learningRate)
    }
  }

  /** All that differ from the usual, with two digits. */
  factors(): Record<string, number> {
    const factors: Record<string, number> = {}
    for (const target of this.#factors.keys()) {
      const factor = Math.round(this.factor(target) * 100) / 100
      if (Math.abs(factor - 1) >= notable) factors[target] = factor
    }
    return factors
  }

  /** 1 is usual, 2 takes twice as long. */
  factor(target: string): number {
    return Math.min(slowest, Math.max(fastest, this.#factors.get(target) ?? 1))
  }
}

/**
 * The factor of a target with a lasting queue: it cannot do more than it is asked for, however fast its answers seem, as
 * those that take too long are never seen. Load pattern: a slow target owns more busy keys than it can serve.
 */
export const saturatedFactor = (
  factor: number,
  { requestsPerSecond, workMs, slots }: { requestsPerSecond: number; workMs: number; slots: number },
): number =>
  requestsPerSecond <= 0
    ? factor
    : Math.min(slowest, Math.max(factor, (slots * 1000) / (workMs * requestsPerSecond)))

/** With room, work is shared as if fast targets were faster still; near the limit every target is needed. */
const spareExponent = 2
/** In proportion to their speed. */
const fullExponent = 1
/** Utilization up to which there is room, and from which there is none. */
const spareUtilization = 0.5
/** From here on no target can be spared. */
const fullUtilization = 0.85

/**
 * The exponent of a target's speed in its share of the work, by the service's utilization. Load pattern: a third of the
 * targets takes more than twice as long, and half of all slots are free.
 */
export const speedExponent = (utilization: number): number => {
  const filled = (utilization - spareUtilization) / (fullUtilization - spareUtilization)
  return spareExponent + (fullExponent - spareExponent) * Math.min(1, Math.max(0, filled))
}
