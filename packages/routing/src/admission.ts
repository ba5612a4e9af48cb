/**
 * Decides whether a request is sent or refused at once. A request that would miss its objective by far holds a slot
 * that others could use in time, so it is refused while the caller can still come back. Less urgent requests are
 * refused earlier than urgent ones of the same service. Load pattern: a burst above the capacity of a service.
 */

export interface AdmissionInput {
  /** Time until a response, if the request is sent now. */
  readonly predictedMs: number
  /** Since the request arrived. */
  readonly elapsedMs: number
  /** 0 for none. */
  readonly objectiveMs: number
  /** Until the caller's deadline or the route's timeout, whichever comes first. */
  readonly leftMs: number
  /** 0 for the most urgent requests of the service, 1 for the next, and so on. */
  readonly rank: number
}

export type Admission =
  | { readonly admitted: true }
  | {
      readonly admitted: false
      readonly reason: 'overloaded' | 'deadline'
      /** When room is expected. */
      readonly retryAfterMs: number
    }

/** Predicted time, as a multiple of the objective, up to which the most urgent requests are sent. */
const urgentLimit = 1.4
/** The same for each less urgent rank. */
const rankStep = 0.3
const lowestLimit = 0.8
/** Share of the time left that a prediction may use, as predictions are means. */
const usableShare = 0.9
/** A caller that comes back sooner would find the same queue. */
const minRetryAfterMs = 50

export const admit = ({ predictedMs, elapsedMs, objectiveMs, leftMs, rank }: AdmissionInput): Admission => {
  if (predictedMs > leftMs * usableShare) {
    return {
      admitted: false,
      reason: 'deadline',
      retryAfterMs: Math.max(minRetryAfterMs, predictedMs - leftMs * usableShare),
    }
  }
  if (objectiveMs <= 0) return { admitted: true }
  const limitMs = objectiveMs * Math.max(lowestLimit, urgentLimit - rank * rankStep)
  const excessMs = elapsedMs + predictedMs - limitMs
  if (excessMs <= 0) return { admitted: true }
  return { admitted: false, reason: 'overloaded', retryAfterMs: Math.max(minRetryAfterMs, excessMs) }
}

/** Spreads callers that were refused together: up to half as long again. */
export const spreadRetryAfterMs = (retryAfterMs: number, fraction: number): number =>
  Math.ceil(retryAfterMs * (1 + fraction / 2))
