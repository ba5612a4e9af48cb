/**
 * Limits repeated sends (retries and hedges) per service, so that those of all hosts together stay below a
 * share of the service's requests. Each host has a fixed part of the budget and does not ask the others, so
 * the limit on the sum holds during a network partition too. Load pattern: responses are lost or targets
 * fail, and every host would retry at once.
 */
import { SlidingWindowCounter } from './sliding-window-counter.js'

export interface RetryBudgetOptions {
  /** Repeated sends allowed per request. */
  readonly ratio: number
  /** Length of the sliding window over which requests and repeated sends are counted. */
  readonly windowMs: number
  /** Repeated sends allowed in a window in addition to the ratio, for all hosts together. */
  readonly slack: number
}

/** Share of the budget that is used; the rest is a margin, as the windows of the hosts are not aligned. */
const usedShare = 0.8

export class RetryBudget {
  readonly #options: RetryBudgetOptions
  readonly #requests: SlidingWindowCounter
  readonly #repeatedSends: SlidingWindowCounter

  constructor(options: RetryBudgetOptions) {
    this.#options = options
    this.#requests = new SlidingWindowCounter(options.windowMs)
    this.#repeatedSends = new SlidingWindowCounter(options.windowMs)
  }

  recordRequest(nowMs: number): void {
    this.#requests.add(nowMs)
  }

  /**
   * Takes one repeated send from the budget, or returns false; `hosts` is the number of hosts that share the
   * slack.
   */
  trySpend(nowMs: number, hosts: number): boolean {
    if (this.#repeatedSends.count(nowMs) + 1 > this.#allowed(nowMs, hosts)) return false
    this.#repeatedSends.add(nowMs)
    return true
  }

  /** Share of the budget that is left, between 0 and 1. */
  remainingShare(nowMs: number, hosts: number): number {
    const allowed = this.#allowed(nowMs, hosts)
    return allowed <= 0 ? 0 : Math.max(0, 1 - this.#repeatedSends.count(nowMs) / allowed)
  }

  #allowed(nowMs: number, hosts: number): number {
    const { ratio, slack } = this.#options
    return usedShare * (ratio * this.#requests.count(nowMs) + slack / Math.max(1, hosts))
  }
}
