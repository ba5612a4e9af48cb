/**
 * Decides when an idempotent request is sent to a second target because the first is slow. Load pattern: a few
 * targets stop answering, or turn slow for moments, while the rest has room.
 */

export interface HedgeInput {
  readonly predictedMs: number
  readonly objectiveMs: number
  readonly leftMs: number
  /** Share of the service's retry budget that is left. */
  readonly budgetReserve: number
}

/** A response that takes this many times the predicted time is not likely to come soon. */
const lateFactor = 2
/** Below this reserve, the budget is kept for requests that failed. */
const minReserve = 0.4
/** A hedge later than this share of the objective could not meet it. */
const latestShare = 0.75

/** Delay from the first send, or undefined for no hedge. */
export const hedgeDelayMs = ({
  predictedMs,
  objectiveMs,
  leftMs,
  budgetReserve,
}: HedgeInput): number | undefined => {
  if (budgetReserve < minReserve) return undefined
  const objective = objectiveMs > 0 ? objectiveMs : leftMs
  const delayMs = Math.min(predictedMs * lateFactor, objective * latestShare)
  return delayMs >= leftMs ? undefined : delayMs
}
