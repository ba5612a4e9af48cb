/**
 * Limits repeats per service, so that all hosts together stay below a share of the service's requests. Each host
 * spends a fixed share without asking the others, so the sum holds in a partition too. Load pattern: answers are lost
 * or targets fail while every host would retry at once.
 */
import { SlidingCount } from './sliding-count.js'

export interface RetryBudgetOptions {
  /** Repeats allowed for each request. */
  readonly ratio: number
  readonly windowMs: number
  /** Repeats allowed in a window beyond the ratio, for all hosts together. */
  readonly slack: number
}

/** Keeps a distance from the limit, as hosts' windows are not aligned. */
const usedShare = 0.8

export class RetryBudget {
  readonly #options: RetryBudgetOptions
  readonly #requests: SlidingCount
  readonly #repeats: SlidingCount

  constructor(options: RetryBudgetOptions) {
    this.#options = options
    this.#requests = new SlidingCount(options.windowMs)
    this.#repeats = new SlidingCount(options.windowMs)
  }

  recordRequest(nowMs: number): void {
    this.#requests.add(nowMs)
  }

  /** Takes one repeat from the budget, or returns false; `hosts` is the number of hosts that share the slack. */
  trySpend(nowMs: number, hosts: number): boolean {
    if (this.#repeats.count(nowMs) + 1 > this.#allowed(nowMs, hosts)) return false
    this.#repeats.add(nowMs)
    return true
  }

  /** Share of the budget that is left, between 0 and 1. */
  reserve(nowMs: number, hosts: number): number {
    const allowed = this.#allowed(nowMs, hosts)
    return allowed <= 0 ? 0 : Math.max(0, 1 - this.#repeats.count(nowMs) / allowed)
  }

  #allowed(nowMs: number, hosts: number): number {
    const { ratio, slack } = this.#options
    return usedShare * (ratio * this.#requests.count(nowMs) + slack / Math.max(1, hosts))
  }
}
