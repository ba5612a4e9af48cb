/**
 * Request rate of each key, from the reports of all hosts. Each request is counted in two sums that decay
 * exponentially: the one with a short time constant is used for hot keys, whose rate changes within a second,
 * and the one with a long time constant for all others, which have too few requests to tell a rate over a
 * short time.
 */
import { keyCount } from './range-map.js'

/** Time constant after which the weight of a request is 1/e, for hot keys. */
const shortTimeConstantMs = 1200
/** The same for all other keys; long enough that each range has some requests. */
export const longTimeConstantMs = 5000
/** Requests a second from which a key counts as hot; about ten requests within the short time constant. */
const hotRatePerSecond = 8

export class KeyLoad {
  readonly #short = new Float64Array(keyCount)
  readonly #long = new Float64Array(keyCount)
  /** At index `key`, the sum of the rates of all lower keys; computed again when needed after a change. */
  readonly #sums = new Float64Array(keyCount + 1)
  #isStale = true
  #decayedAtMs = 0

  /** Counts requests for a key; a number that is not a key is ignored. */
  add(key: number, requests: number): void {
    if (!Number.isInteger(key) || key < 0 || key >= keyCount) return
    this.#short[key] = (this.#short[key] ?? 0) + requests
    this.#long[key] = (this.#long[key] ?? 0) + requests
    this.#isStale = true
  }

  /** Lets all counts decay up to `nowMs`. */
  decay(nowMs: number): void {
    const ageMs = nowMs - this.#decayedAtMs
    this.#decayedAtMs = nowMs
    const shortFactor = Math.exp(-ageMs / shortTimeConstantMs)
    const longFactor = Math.exp(-ageMs / longTimeConstantMs)
    for (let key = 0; key < keyCount; key += 1) {
      const count = this.#long[key] ?? 0
      if (count === 0) continue
      // A count that has almost decayed becomes 0, so that keys without requests are skipped.
      this.#long[key] = count < 0.01 ? 0 : count * longFactor
      this.#short[key] = (this.#short[key] ?? 0) * shortFactor
    }
    this.#isStale = true
  }

  /** Requests a second for one key. */
  rate(key: number): number {
    const short = ((this.#short[key] ?? 0) * 1000) / shortTimeConstantMs
    const long = ((this.#long[key] ?? 0) * 1000) / longTimeConstantMs
    return short >= hotRatePerSecond || long >= hotRatePerSecond ? short : long
  }

  /** Requests a second for a range of keys, both ends inclusive. */
  sum(from: number, to: number): number {
    this.#refresh()
    return (this.#sums[to + 1] ?? 0) - (this.#sums[from] ?? 0)
  }

  /** The key with the most requests within the short time constant. */
  hottestKey(): { readonly key: number; readonly rate: number } {
    let key = 0
    for (let other = 1; other < keyCount; other += 1) {
      if ((this.#short[other] ?? 0) > (this.#short[key] ?? 0)) key = other
    }
    return { key, rate: this.rate(key) }
  }

  /**
   * The highest key up to `to` for which the load of the range that starts at `from` is at most `load`;
   * `from` itself when its load alone is higher.
   */
  lastKeyWithin(from: number, to: number, load: number): number {
    this.#refresh()
    const limit = (this.#sums[from] ?? 0) + load
    let low = from
    let high = to
    while (low < high) {
      const middle = (low + high + 1) >>> 1
      if ((this.#sums[middle + 1] ?? 0) <= limit) low = middle
      else high = middle - 1
    }
    return low
  }

  #refresh(): void {
    if (!this.#isStale) return
    for (let key = 0; key < keyCount; key += 1) {
      this.#sums[key + 1] = (this.#sums[key] ?? 0) + (this.#long[key] === 0 ? 0 : this.rate(key))
    }
    this.#isStale = false
  }
}
