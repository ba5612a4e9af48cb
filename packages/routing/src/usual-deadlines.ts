/**
 * Recognises callers that return after a refusal. A caller counts its deadline from its first attempt, so a later
 * attempt names less time than a first one. The usual deadline of a route is the most frequent one; where
 * deadlines are too varied for that, nothing is recognised. Load pattern: at 1.5 times the room of a service, up to half of
 * the arrivals are returns, and most of them have already missed the objective.
 */

/** Ratio of the deadlines at the two ends of a class. */
const classRatio = 1.04
/** A class is the usual one while it has at least this share of the requests. */
const minUsualShare = 0.25
/** Fewer requests tell nothing. */
const minRequests = 12
/** Past this weight all counts are halved, so that the usual deadline follows changes of callers. */
const maxWeight = 1000
/** A deadline below this share of the usual one is that of a return; transfer times explain what is above. */
const returnShare = 0.95

export class UsualDeadlines {
  readonly #byRoute = new Map<string, Map<number, number>>()

  record(route: string, deadlineMs: number): void {
    if (!(deadlineMs > 0)) return
    const counts = this.#byRoute.get(route) ?? new Map<number, number>()
    this.#byRoute.set(route, counts)
    const index = Math.round(Math.log(deadlineMs) / Math.log(classRatio))
    counts.set(index, (counts.get(index) ?? 0) + 1)
    if (total(counts) <= maxWeight) return
    for (const [other, count] of counts) {
      if (count < 2) counts.delete(other)
      else counts.set(other, count / 2)
    }
  }

  /** Time since the caller's first attempt; 0 for a first attempt and where it cannot be told. */
  ageMs(route: string, deadlineMs: number | undefined): number {
    const usualMs = this.#usualMs(route)
    if (deadlineMs === undefined || usualMs === undefined || deadlineMs >= usualMs * returnShare) return 0
    return usualMs - deadlineMs
  }

  #usualMs(route: string): number | undefined {
    const counts = this.#byRoute.get(route)
    if (counts === undefined) return undefined
    const weight = total(counts)
    if (weight < minRequests) return undefined
    const [usual, count] = [...counts].reduce((best, other) => (other[1] > best[1] ? other : best))
    return count >= weight * minUsualShare ? classRatio ** usual : undefined
  }
}

const total = (counts: ReadonlyMap<number, number>): number =>
  [...counts.values()].reduce((sum, count) => sum + count, 0)
