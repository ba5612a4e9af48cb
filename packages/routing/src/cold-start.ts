/**
 * Limits the rate at which all hosts together send requests to a cold target, without messages between the
 * hosts. Each host gets an equal whole number of requests a second; rendezvous hashing picks the hosts that
 * get one more from the remainder, which are the only ones that may send when there are more hosts than
 * requests a second. Load pattern: the targets of a failure domain come back cold together while requests
 * wait for them.
 */
import { hostRank, type HostRankOptions } from './rendezvous.js'
import { SlidingWindowCounter } from './sliding-window-counter.js'

/** The limit of a cold target is given in requests a second. */
const windowMs = 1000

export interface HostColdRateOptions extends HostRankOptions {
  /** Requests a second that the target tolerates from all hosts together. */
  readonly requestsPerSecond: number
}

/** This host's part of the target's rate, in requests a second; 0 when it must not send to the target. */
export const hostColdRate = ({ requestsPerSecond, ...hosts }: HostColdRateOptions): number => {
  const { rank, count } = hostRank(hosts)
  const whole = Math.floor(requestsPerSecond)
  const each = Math.floor(whole / count)
  const rest = whole - each * count
  return each + (rank < rest ? 1 : 0)
}

/**
 * Counts the requests that this host sent to one target in the last second, and compares them with a limit.
 */
export class ColdRequestLimiter {
  readonly #sent = new SlidingWindowCounter(windowMs)

  /** Called when a request was sent. */
  record(nowMs: number): void {
    this.#sent.add(nowMs)
  }

  /** Whether one more request now stays within `rate` requests a second. */
  allows(nowMs: number, rate: number): boolean {
    return this.#sent.count(nowMs) < rate
  }

  /**
   * Shortest time until one more request may be allowed; 0 when it is allowed now. The length of the window
   * when nothing was sent in it and the rate does not allow even one request.
   */
  waitMs(nowMs: number, rate: number): number {
    return this.allows(nowMs, rate) ? 0 : this.#sent.untilNextExpiryMs(nowMs) || windowMs
  }
}
