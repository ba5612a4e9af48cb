/**
 * Admission to a target's queue where hosts hold lines of their own. A request that can meet its objective is
 * admitted while the predicted response is within it. One that cannot, such as a late return, gets a free
 * slot or a short queue only, so that it does not make others late. Load pattern: at 1.5 times the room of a service, late
 * returns fill the queues, and first visits wait behind them until they are late too.
 */
import { admit, type Admission, type AdmissionInput } from './admission.js'

/**
 * Longest queue that a request which is late in any case may join, as a share of what the objective leaves beside the work:
 * of the queue that those in time may join. A longer one would displace them.
 */
const lateQueueShare = 1 / 4

/**
 * Share of the objective that predictions may use. Predictions are means: of the requests that are let in at the limit,
 * nearly half would be late, and displace others that are not.
 */
const predictableShare = 0.9

export interface ContendedAdmissionInput extends Omit<AdmissionInput, 'isOwner'> {
  /** Time between the caller's first attempt and the arrival of this one; 0 for a first visit. */
  readonly ageMs: number
}

/** Whether the request cannot meet its objective even in a free slot. */
export const isLate = ({
  ageMs,
  elapsedMs,
  workMs,
  objectiveMs,
}: Pick<ContendedAdmissionInput, 'ageMs' | 'elapsedMs' | 'workMs' | 'objectiveMs'>): boolean =>
  objectiveMs > 0 && ageMs + elapsedMs + workMs > objectiveMs

export const admitContended = ({ ageMs, ...input }: ContendedAdmissionInput): Admission => {
  const { waitMs, objectiveMs, elapsedMs } = input
  const asArrived = admit({
    ...input,
    objectiveMs: objectiveMs * predictableShare,
    elapsedMs: elapsedMs + ageMs,
    isOwner: false,
  })
  if (asArrived.admitted || asArrived.reason === 'deadline' || !isLate({ ageMs, ...input })) return asArrived
  const excessMs = waitMs - Math.max(0, objectiveMs - input.workMs) * lateQueueShare
  if (excessMs <= 0) return { admitted: true }
  return { admitted: false, reason: 'overloaded', retryAfterMs: excessMs }
}
