/**
 * Chooses a target for a request without a key: the one with the shortest predicted time among a few random
 * candidates. Comparing only a few keeps hosts that have the same load reports from all choosing the same
 * target at once. Load pattern: targets of different and changing speed, close to their capacity.
 */
import type { Random } from '@pimentotally/core'

export interface PlacementCandidate<T> {
  readonly target: T
  /** Predicted time from sending the request to its response. */
  readonly predictedMs: number
  /** Added to the predicted time of a target that is far away, so that near ones are preferred. */
  readonly distancePenaltyMs: number
  /** Number of recent failures, each counting less with time. */
  readonly failureLevel: number
}

/**
 * Number of candidates that are compared: enough to avoid slow targets, few enough that hosts choose
 * differently.
 */
const sampleSize = 4
/** Each recent failure raises the cost of a target by this many times its predicted time. */
const failurePenalty = 1.5

const cost = ({ predictedMs, distancePenaltyMs, failureLevel }: PlacementCandidate<unknown>): number =>
  (predictedMs + distancePenaltyMs) * (1 + failurePenalty * failureLevel)

export const chooseTarget = <T>(
  candidates: readonly PlacementCandidate<T>[],
  random: Random,
): PlacementCandidate<T> | undefined => {
  let best: PlacementCandidate<T> | undefined
  const offset = random.integer(Math.max(1, candidates.length))
  // Samples without replacement by a partial shuffle of indexes.
  const indexes = candidates.map((_, index) => (index + offset) % candidates.length)
  for (let taken = 0; taken < Math.min(sampleSize, indexes.length); taken += 1) {
    const other = taken + random.integer(indexes.length - taken)
    const index = indexes[other] ?? 0
    indexes[other] = indexes[taken] ?? 0
    const candidate = candidates[index]
    if (candidate !== undefined && (best === undefined || cost(candidate) < cost(best))) best = candidate
  }
  return best
}
