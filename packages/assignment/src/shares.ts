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
  /** Requests that wait at the target beyond what it may keep; absent where queues do not matter. */
  readonly excessWaiting?: number
}

/**
 * Share of a target's capacity that admitted requests may use. The rest is a reserve, as other processes on
 * the target's machine slow it down now and then.
 */
const usableCapacityShare = 0.85

/**
 * Time in which a queue beyond what a target may keep is drained: about that in which shares take effect, by a report, a
 * round of balancing, and the guidance back. While it stands, nearly all responses are late.
 */
const drainMs = 1000
/** A target that is drained still gets this share of its capacity, so that its queue and speed remain known. */
const minDrainedShare = 0.1

/**
 * A target without such an excess is not limited while its share would be at least this: demand is estimated from the past
 * second, and a burst that its queue has taken already looks like overload.
 */
const mildShare = 0.75

/** Requests a second that may be sent to the target. */
const admittedPerSecond = ({ capacityPerSecond, excessWaiting = 0 }: TargetDemand): number =>
  Math.max(
    capacityPerSecond * minDrainedShare,
    capacityPerSecond * usableCapacityShare - (excessWaiting * 1000) / drainMs,
  )

/** The share of the requests that may be sent, by target; only for targets where it is below 1. */
export const admittedShares = (demands: readonly TargetDemand[]): Map<string, number> => {
  const shares = new Map<string, number>()
  for (const demand of demands) {
    const share = admittedPerSecond(demand) / Math.max(demand.requestsPerSecond, 1e-9)
    const isMild = demand.excessWaiting === 0 && share >= mildShare
    if (share < 1 && !isMild) shares.set(demand.id, share)
  }
  return shares
}
