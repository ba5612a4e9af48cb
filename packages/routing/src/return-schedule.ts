/**
 * Gives each refused caller a place in a schedule, as the time to return after. Places are spread over the time in which
 * room is expected: one for each request that the line starts. Load pattern: callers that are refused together come
 * back together, find no room, and are refused again.
 */

/** Callers honour a Retry-After of up to this share of the time that they have left. */
const honouredShare = 1 / 3
/**
 * A caller returns within its objective only if this much of it is left: a connection and the way to another host take some
 * milliseconds, and places need a span to be spread over.
 */
const minTimelyMs = 100
/**
 * A caller that can't be in time any more returns no sooner than after this part of the time that it would honour: it has few
 * attempts, and an overload that made it late lasts for a while.
 */
const lateShare = 0.5
/** The rest after this part of that time always remains to spread returns over, also where room comes later. */
const latestFromShare = 0.75
/** The most urgent callers get places at this part of the spacing. */
const urgentSpacing = 0.5
/** A caller that returns sooner finds the same state; a connection takes some milliseconds. */
const minReturnMs = 50

export interface ReturnInput {
  readonly nowMs: number
  /** Time until there is expected to be room for one more request. */
  readonly roomInMs: number
  /** Mean interval between two requests of this host for which there is room. */
  readonly intervalMs: number
  /** Time during which a start still meets the caller's objective; 0 or less once it is missed. */
  readonly timelyMs: number
  /** Time until the caller's deadline. */
  readonly leftMs: number
  readonly rank: number
  /** A random number between 0 and 1. */
  readonly fraction: number
}

export class ReturnSchedule {
  #lastPlaceMs = -Infinity

  /** Time after which the caller may return. */
  place({ nowMs, roomInMs, intervalMs, timelyMs, leftMs, rank, fraction }: ReturnInput): number {
    const earliestMs = Math.max(minReturnMs, roomInMs)
    const honouredMs = Math.max(minReturnMs, leftMs * honouredShare)
    const isTimely = timelyMs >= minTimelyMs && earliestMs < timelyMs
    const latestMs = isTimely ? Math.min(timelyMs, honouredMs) : honouredMs
    const lateFromMs = Math.min(Math.max(earliestMs, latestMs * lateShare), latestMs * latestFromShare)
    const fromMs = isTimely ? earliestMs : lateFromMs
    const spacingMs = intervalMs * (rank === 0 ? urgentSpacing : 1)
    const placeInMs = Math.max(this.#lastPlaceMs + spacingMs - nowMs, fromMs)
    // Once all places that callers would keep are taken, they share the whole span.
    const beginMs = placeInMs <= latestMs ? placeInMs : fromMs
    const widthMs = placeInMs <= latestMs ? Math.min(spacingMs, latestMs - beginMs) : latestMs - fromMs
    const inMs = beginMs + fraction * widthMs
    this.#lastPlaceMs = Math.max(this.#lastPlaceMs, nowMs + inMs)
    return inMs
  }
}
