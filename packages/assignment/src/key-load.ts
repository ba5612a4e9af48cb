/** Requests by key, as all hosts report them, with older requests counting less. */
import { keyCount } from './range-map.js'

/** After this time a request counts for 1/e; hot keys change within seconds. */
const memoryMs = 1500

export class KeyLoad {
  readonly #counts = new Float64Array(keyCount)
  /** Running sums, rebuilt when the counts change. */
  readonly #sums = new Float64Array(keyCount + 1)
  #stale = true
  #decayedAtMs = 0

  add(key: number, requests: number): void {
    if (!Number.isInteger(key) || key < 0 || key >= keyCount) return
    this.#counts[key] = (this.#counts[key] ?? 0) + requests
    this.#stale = true
  }

  /** Ages all counts up to now. */
  decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.#decayedAtMs) / memoryMs)
    this.#decayedAtMs = nowMs
    for (let key = 0; key < keyCount; key += 1) {
      const count = this.#counts[key] ?? 0
      if (count > 0) this.#counts[key] = count < 0.01 ? 0 : count * factor
    }
    this.#stale = true
  }

  /** Sum over a range, both ends inclusive. */
  sum(from: number, to: number): number {
    this.#refresh()
    return (this.#sums[to + 1] ?? 0) - (this.#sums[from] ?? 0)
  }

  hottest(): { readonly key: number; readonly load: number } {
    let key = 0
    for (let other = 1; other < keyCount; other += 1) {
      if ((this.#counts[other] ?? 0) > (this.#counts[key] ?? 0)) key = other
    }
    return { key, load: this.#counts[key] ?? 0 }
  }

  /** Requests a second over all keys. */
  ratePerSecond(): number {
    return (this.sum(0, keyCount - 1) * 1000) / memoryMs
  }

  /** The last key up to which the load from `from` on stays within `load`, at most `to`. */
  lastWithin(from: number, to: number, load: number): number {
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
      this.#sums[key + 1] = (this.#sums[key] ?? 0) + (this.#counts[key] ?? 0)
    }
    this.#stale = false
  }
}
