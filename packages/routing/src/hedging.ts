/**
 * Decides when an idempotent request is hedged: sent to a second target because the first is slow to respond.
 * Load pattern: a few targets stop responding, or are slow for moments, while the others have free slots.
 */

export interface HedgeInput {
  /** Predicted time from the first send to its response. */
  readonly predictedMs: number
  /** Latency objective of the route; 0 for none. */
  readonly objectiveMs: number
  /** Time until the caller's deadline or the route's timeout, whichever comes first. */
  readonly leftMs: number
  /** Share of the service's retry budget that is left, between 0 and 1. */
  readonly remainingBudgetShare: number
}

/** A response that has taken this many times the predicted time is not likely to come soon. */
const lateFactor = 2
/** With a smaller share of the budget left, the rest is kept for retries of failed requests. */
const minBudgetShare = 0.4
/** A hedge that is sent after this share of the objective has passed could not meet it. */
const latestShare = 0.75

/** Delay between the first send and the hedge; undefined when the request is not to be hedged. */
export const hedgeDelayMs = ({
  predictedMs,
  objectiveMs,
  leftMs,
  remainingBudgetShare,
}: HedgeInput): number | undefined => {
  if (remainingBudgetShare < minBudgetShare) return undefined
  const objective = objectiveMs > 0 ? objectiveMs : leftMs
  const delayMs = Math.min(predictedMs * lateFactor, objective * latestShare)
  return delayMs >= leftMs ? undefined : delayMs
}
