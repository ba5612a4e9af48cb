/**
 * Requests by key, as all hosts report them. Two memories: a short one for keys that turn hot or cold within a second,
 * and a long one for all others, whose few requests say little over a short time.
 */
import { keyCount } from './range-map.js'

/** After this time a request counts for 1/e. */
const shortMemoryMs = 1200
/** Long enough for some requests of every range. */
export const longTimeConstantMs = 5000
/** Requests a second from which on a key is told by its short memory; some ten requests in that memory. */
const hotRatePerSecond = 8

export class KeyLoad {
  readonly #short = new Float64Array(keyCount)
  readonly #long = new Float64Array(keyCount)
  /** Running sums of the rates, rebuilt when the counts change. */
  readonly #sums = new Float64Array(keyCount + 1)
  #stale = true
  #decayedAtMs = 0

  add(key: number, requests: number): void {
    if (!Number.isInteger(key) || key < 0 || key >= keyCount) return
    this.#short[key] = (this.#short[key] ?? 0) + requests
    this.#long[key] = (this.#long[key] ?? 0) + requests
    this.#stale = true
  }

  /** Ages all counts up to now. */
  decay(nowMs: number): void {
    const ageMs = nowMs - this.#decayedAtMs
    this.#decayedAtMs = nowMs
    const shortFactor = Math.exp(-ageMs / shortMemoryMs)
    const longFactor = Math.exp(-ageMs / longTimeConstantMs)
    for (let key = 0; key < keyCount; key += 1) {
      const count = this.#long[key] ?? 0
      if (count === 0) continue
      this.#long[key] = count < 0.01 ? 0 : count * longFactor
      this.#short[key] = (this.#short[key] ?? 0) * shortFactor
    }
    this.#stale = true
  }

  /** Requests a second for one key. */
  rate(key: number): number {
    const short = ((this.#short[key] ?? 0) * 1000) / shortMemoryMs
    const long = ((this.#long[key] ?? 0) * 1000) / longTimeConstantMs
    return short >= hotRatePerSecond || long >= hotRatePerSecond ? short : long
  }

  /** Requests a second over a range, both ends inclusive. */
  sum(from: number, to: number): number {
    this.#refresh()
    return (this.#sums[to + 1] ?? 0) - (this.#sums[from] ?? 0)
  }

  hottestKey(): { readonly key: number; readonly rate: number } {
    let key = 0
    for (let other = 1; other < keyCount; other += 1) {
      if ((this.#short[other] ?? 0) > (this.#short[key] ?? 0)) key = other
    }
    return { key, rate: this.rate(key) }
  }

  /** The last key up to which the load from `from` on stays within `load`, at most `to`. */
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
    if (!this.#stale) return
    for (let key = 0; key < keyCount; key += 1) {
      this.#sums[key + 1] = (this.#sums[key] ?? 0) + (this.#long[key] === 0 ? 0 : this.rate(key))
    }
    this.#stale = false
  }
}
