/**
 * Exact count of the events in a sliding window: an event counts until `windowMs` have passed since it was
 * added.
 */
export class SlidingWindowCounter {
  readonly #windowMs: number
  readonly #timesMs: number[] = []
  /** Index of the oldest event in the window; those before it have expired. */
  #first = 0

  constructor(windowMs: number) {
    this.#windowMs = windowMs
  }

  add(nowMs: number): void {
    this.#timesMs.push(nowMs)
  }

  count(nowMs: number): number {
    while (
      this.#first < this.#timesMs.length &&
      (this.#timesMs[this.#first] ?? 0) <= nowMs - this.#windowMs
    ) {
      this.#first += 1
    }
    // Removes expired events only when they are many, and more than those that count, to move few elements.
    if (this.#first > 1024 && this.#first * 2 > this.#timesMs.length) {
      this.#timesMs.splice(0, this.#first)
      this.#first = 0
    }
    return this.#timesMs.length - this.#first
  }

  /** Time until the oldest event leaves the window; 0 when the window is empty. */
  untilNextExpiryMs(nowMs: number): number {
    if (this.count(nowMs) === 0) return 0
    return Math.max(0, (this.#timesMs[this.#first] ?? nowMs) + this.#windowMs - nowMs)
  }
}
