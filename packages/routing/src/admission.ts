/**
 * Decides whether a request is sent or refused at once. While a target is behind, a request that would miss its
 * objective only makes those after it miss theirs, so it is refused while the caller can still come back. A target with
 * a free slot is used even when it is slow, as nobody waits for it. Less urgent requests are refused at shorter queues
 * than urgent ones of the same service. Load pattern: a burst above the capacity of a service, or of one hot key.
 */

export interface AdmissionInput {
  /** Expected time in a slot. */
  readonly workMs: number
  /** Expected time until a slot is free. */
  readonly waitMs: number
  /** Since the request arrived. */
  readonly elapsedMs: number
  /** 0 for none. */
  readonly objectiveMs: number
  /** Until the caller's deadline or the route's timeout, whichever comes first. */
  readonly leftMs: number
  /** 0 for the most urgent requests of the service, 1 for the next, and so on. */
  readonly rank: number
  /** No other target can take the request; the leader keeps lasting overload from it. */
  readonly isOwner: boolean
}

export type Admission =
  | { readonly admitted: true }
  | {
      readonly admitted: false
      readonly reason: 'overloaded' | 'deadline'
      /** When room is expected. */
      readonly retryAfterMs: number
    }

/** Predicted time, as a share of the objective, up to which the most urgent requests wait for a slot. */
const urgentShare = 0.95
/**
 * Where only one target can take a request, it may wait longer by this share of the time between objective and end: a
 * queue there is short-lived, as the leader lends shares where it would last, and late is better than never.
 */
const ownerSlackShare = 0.4
/** The same falls by this for each less urgent rank. */
const rankStep = 0.15
/** Least urgent requests still wait this long. */
const lowestShare = 0.5
/** Share of the time left that a prediction may use, as predictions are means. */
const usableShare = 0.9
/** Work times vary; with less than this share of the expected time left, hardly any request ends in time. */
const hopelessShare = 0.4
/** A caller that comes back sooner would find the same queue. */
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
    return leftMs < workMs * hopelessShare ? refuse('deadline', workMs - leftMs) : { admitted: true }
  }
  const latestMs = leftMs * usableShare
  if (predictedMs > latestMs) return refuse('deadline', Math.min(waitMs, predictedMs - latestMs))
  if (objectiveMs <= 0) return { admitted: true }
  const slackMs = isOwner ? ownerSlackShare * Math.max(0, elapsedMs + leftMs - objectiveMs) : 0
  const limitMs = objectiveMs * Math.max(lowestShare, urgentShare - rank * rankStep) + slackMs
  const excessMs = elapsedMs + predictedMs - limitMs
  return excessMs <= 0 ? { admitted: true } : refuse('overloaded', Math.min(waitMs, excessMs))
}

/** Spreads callers that were refused together: up to half as long again. */
export const spreadRetryAfterMs = (retryAfterMs: number, fraction: number): number =>
  Math.ceil(retryAfterMs * (1 + fraction / 2))
