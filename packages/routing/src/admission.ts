/**
 * Admission control: decides whether a request is sent to the chosen target or refused at once. While
 * requests queue at the target, one that would miss its latency objective only makes those behind it miss
 * theirs, so it is refused early, while the caller still has time to retry. A target with a free slot is used
 * even when it is slow, because the request delays no other. Less urgent requests are refused at shorter
 * queues than urgent ones of the same service. Load pattern: a burst above the capacity of a service, or of
 * one hot key.
 */

export interface AdmissionInput {
  /** Expected time that the request occupies a slot of the target. */
  readonly workMs: number
  /** Expected time until a slot is free. */
  readonly waitMs: number
  /** Time since the request arrived at this host. */
  readonly elapsedMs: number
  /** The route's latency objective, counted from the arrival of the request; 0 for none. */
  readonly objectiveMs: number
  /** Time until the caller's deadline or the route's timeout, whichever comes first. */
  readonly leftMs: number
  /** Rank of the route's priority within its service: 0 for the most urgent requests, 1 for the next. */
  readonly rank: number
  /**
   * The target owns the request's key, so no other target can run it. The leader keeps lasting overload away
   * from it.
   */
  readonly isOwner: boolean
}

export type Admission =
  | { readonly admitted: true }
  | {
      readonly admitted: false
      readonly reason: 'overloaded' | 'deadline'
      /** Time until the target is expected to have room for the request. */
      readonly retryAfterMs: number
    }

/**
 * Limit for the time from arrival to the predicted response of the most urgent requests, as a share of the
 * objective.
 */
const urgentShare = 0.95
/**
 * A request that only the owner of its key can run may exceed that limit by this share of the time between
 * the objective and the deadline. A queue at an owner is short-lived, because the leader lowers the share of
 * requests that hosts may send to it where an overload would last, and a late response is better for the
 * caller than none.
 */
const ownerSlackShare = 0.4
/** `urgentShare` is reduced by this for each less urgent rank. */
const rankStep = 0.15
/** Lower bound of that share, so that even the least urgent requests may wait for a slot. */
const lowestShare = 0.5
/** Share of the time left that a prediction may use. Predictions are means, so many responses take longer. */
const usableShare = 0.9
/**
 * A free slot is used unless the time left is below this share of the expected work time. Work times vary,
 * but hardly any request ends within such a short time.
 */
const minLeftShare = 0.4
/** A caller that retries sooner would meet the same queue. */
const minRetryAfterMs = 50

const refuse = (reason: 'overloaded' | 'deadline', retryAfterMs: number): Admission => ({
  admitted: false,
  reason,
  retryAfterMs: Math.max(minRetryAfterMs, retryAfterMs),
})

export const admit = ({
  workMs,
  waitMs,
  elapsedMs,
  objectiveMs,
  leftMs,
  rank,
  isOwner,
}: AdmissionInput): Admission => {
  const predictedMs = workMs + waitMs
  if (waitMs <= 0) {
    return leftMs < workMs * minLeftShare ? refuse('deadline', workMs - leftMs) : { admitted: true }
  }
  const usableMs = leftMs * usableShare
  if (predictedMs > usableMs) return refuse('deadline', Math.min(waitMs, predictedMs - usableMs))
  if (objectiveMs <= 0) return { admitted: true }
  const slackMs = isOwner ? ownerSlackShare * Math.max(0, elapsedMs + leftMs - objectiveMs) : 0
  const limitMs = objectiveMs * Math.max(lowestShare, urgentShare - rank * rankStep) + slackMs
  const excessMs = elapsedMs + predictedMs - limitMs
  return excessMs <= 0 ? { admitted: true } : refuse('overloaded', Math.min(waitMs, excessMs))
}

/**
 * Lengthens the time to a retry by up to a half, so that callers that were refused together do not retry
 * together. `fraction` is a random number between 0 and 1.
 */
export const spreadRetryAfterMs = (retryAfterMs: number, fraction: number): number =>
  Math.ceil(retryAfterMs * (1 + fraction / 2))
