/** Rate of requests that are counted now and then, as a sum in which older requests count less. */
import { decay } from './load.js'

/**
 * Time constant after which the weight of a request is 1/e: several reports of hosts, and short against waves of
 * demand of some ten seconds.
 */
const timeConstantMs = 1200

export class RequestRate {
  #sum = 0
  #atMs = 0
  #sinceMs: number | undefined

  add(nowMs: number, requests: number): void {
    this.#sum = this.#sum * decay(nowMs - this.#atMs, timeConstantMs) + requests
    this.#atMs = nowMs
    this.#sinceMs ??= nowMs
  }

  /** Requests a second; soon after the first count, the sum holds only a part of what it will hold. */
  perSecond(nowMs: number): number {
    if (this.#sinceMs === undefined) return 0
    const held = Math.max(0.25, 1 - decay(nowMs - this.#sinceMs, timeConstantMs))
    return (this.#sum * decay(nowMs - this.#atMs, timeConstantMs) * 1000) / timeConstantMs / held
  }
}
