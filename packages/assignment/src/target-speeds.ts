/** How long work takes on each target, relative to the mean of its service, as all hosts observe it. */

/** Weight of one observation; the mean of some ten responses tells a slow target from a fast one. */
const learningRate = 0.05
/** Bounds for a factor, so that a few extreme responses do not empty a target. */
const slowest = 4
const fastest = 0.4

export class TargetSpeeds {
  readonly #factors = new Map<string, number>()

  /** `sum` is the sum of `count` observed factors. */
  add(target: string, sum: number, count: number): void {
    if (!(count > 0) || !Number.isFinite(sum)) return
    const known = this.#factors.get(target) ?? 1
    const weight = 1 - (1 - learningRate) ** count
    this.#factors.set(target, known + (sum / count - known) * weight)
  }

  /** 1 is usual, 2 takes twice as long. */
  factor(target: string): number {
    return Math.min(slowest, Math.max(fastest, this.#factors.get(target) ?? 1))
  }
}
