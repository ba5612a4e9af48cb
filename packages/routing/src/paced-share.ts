/**
 * Turns the leader's share for an overloaded owner into sends of this host. Each arrival adds the share to the
 * owner's credit, and each send takes one, so that the sends of all hosts add up to the share of all arrivals. The
 * initial credit is random: a host that gets one request in seconds sends it as often as the share says. Load pattern: one hot
 * key gets several times as many requests as its owner can serve, through many hosts.
 */

/** Credit that an idle owner keeps at most; a larger one would let a burst through. */
const maxCredit = 2
/**
 * Credit that a request needs: less while it can meet its objective, so that late ones get what those leave. Their mean is 1,
 * so that the rate stays that of the share.
 */
const timelyNeed = 0.75
const lateNeed = 1.25
/** Weight of a new interval between two arrivals in their mean. */
const intervalWeight = 0.2

/**
 * A host whose last report of the owner is no older than this goes by the report. The leader's share is older, and says
 * nothing of a burst that the owner's queue can take.
 */
export const freshReportMs = 250

/**
 * Requests that were sent without credit, by a fresh report or as repeats, count up to this number, so that the owner is
 * not left alone for seconds after them.
 */
const maxDebt = 1

export class PacedShare {
  #credit: number
  #share = 1
  #arrivedAtMs: number | undefined
  #arrivalIntervalMs: number | undefined

  /** `fraction` is a random number between 0 and 1. */
  constructor(fraction: number) {
    this.#credit = fraction
  }

  /** Called once for each request that arrives for the owner's keys. */
  arrived(nowMs: number, share: number): void {
    this.#credit = Math.min(maxCredit, this.#credit + share)
    this.#share = share
    if (this.#arrivedAtMs !== undefined) {
      const intervalMs = nowMs - this.#arrivedAtMs
      const known = this.#arrivalIntervalMs ?? intervalMs
      this.#arrivalIntervalMs = known + (intervalMs - known) * intervalWeight
    }
    this.#arrivedAtMs = nowMs
  }

  /**
   * Expected time until there is credit for one more request: 0 when there is; `Infinity` while the rate of arrivals is
   * not known.
   */
  creditInMs(isLate: boolean): number {
    const missing = (isLate ? lateNeed : timelyNeed) - this.#credit
    if (missing <= 0) return 0
    return (this.#arrivalIntervalMs ?? Infinity) * (missing / Math.max(this.#share, 0.01))
  }

  /** Called when a request was sent to the owner. */
  sent(): void {
    this.#credit = Math.max(-maxDebt, this.#credit - 1)
  }

  /** Called when the owner has stated that it did not run a request, which thus took nothing of its capacity. */
  notRun(): void {
    this.#credit = Math.min(maxCredit, this.#credit + 1)
  }
}
