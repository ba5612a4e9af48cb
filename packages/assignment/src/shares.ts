/**
 * Decides which share of the requests for an overloaded target's keys may be sent to it. Each host sees only
 * some of the requests, and learns of a full queue only from late responses. So the leader, who knows the
 * requests of all hosts by key, computes the share, and all hosts apply it. Load pattern: one key gets
 * several times as many requests as its owner can serve, through many hosts.
 */

export interface TargetDemand {
  readonly id: string
  /** Requests a second for the target's keys, of all hosts together. */
  readonly requestsPerSecond: number
  /** Requests a second that the target can serve at its usual speed. */
  readonly capacityPerSecond: number
}

/**
 * Share of a target's capacity that admitted requests may use. The rest is a reserve, as other processes on
 * the target's machine slow it down now and then.
 */
const usableCapacityShare = 0.85

/** The share of the requests that may be sent, by target; only for targets where it is below 1. */
export const admittedShares = (demands: readonly TargetDemand[]): Map<string, number> => {
  const shares = new Map<string, number>()
  for (const { id, requestsPerSecond, capacityPerSecond } of demands) {
    const share = (capacityPerSecond * usableCapacityShare) / Math.max(requestsPerSecond, 1e-9)
    if (share < 1) shares.set(id, share)
  }
  return shares
}
