/**
 * Which part of the requests for a target's keys may be sent to it. Each host sees only some of the requests and learns
 * of a full queue when answers come back late, so the leader, who knows all requests by key, lends each host the same
 * share. Load pattern: one key gets several times what its owner can serve, through many hosts.
 */

export interface TargetDemand {
  readonly id: string
  /** Requests a second for the target's keys, over all hosts. */
  readonly requestsPerSecond: number
  /** Requests a second that the target can serve at its usual speed. */
  readonly capacityPerSecond: number
}

/** Targets share their machines with others and are slower now and then. */
const usableCapacity = 0.85

/** Shares below 1, by target. */
export const admittedShares = (demands: readonly TargetDemand[]): Map<string, number> => {
  const shares = new Map<string, number>()
  for (const { id, requestsPerSecond, capacityPerSecond } of demands) {
    const share = (capacityPerSecond * usableCapacity) / Math.max(requestsPerSecond, 1e-9)
    if (share < 1) shares.set(id, share)
  }
  return shares
}
