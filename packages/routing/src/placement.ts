/**
 * Chooses a target of a service without keys: the shortest predicted time among a few random candidates. Comparing
 * only a few keeps hosts with the same reports from choosing the same target all at once. Load pattern: targets of
 * different and changing speed near their limits.
 */
import type { Random } from '@pimentotally/core'

export interface PlacementCandidate<T> {
  readonly target: T
  readonly predictedMs: number
  /** Added for the cost of the way to the target. */
  readonly distanceMs: number
  readonly failureLevel: number
}

/** Enough to avoid slow targets, few enough to spread the hosts. */
const sampleSize = 4
/** Each recent failure makes a target look this much slower. */
const failurePenalty = 1.5

const cost = ({ predictedMs, distanceMs, failureLevel }: PlacementCandidate<unknown>): number =>
  (predictedMs + distanceMs) * (1 + failurePenalty * failureLevel)

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
