/**
 * Decides how long a request waits while its key moves to another owner, and when a caller that was refused
 * may retry. A move ends when the requests that the former owner is running on the key have ended, so it
 * lasts several times the work time of one request. Load pattern: neighbouring hot keys are divided among
 * many targets, and each range that moves waits for its release.
 */

/**
 * Share of the time left that a request waits. When the move takes longer, the caller has enough time left to
 * retry after its end.
 */
const waitShare = 0.35
/** A caller that retries sooner would find the key still moving. */
const minRetryAfterMs = 250

/**
 * How long to wait; `leftMs` is the time until the caller's deadline or the route's timeout, whichever comes
 * first.
 */
export const moveWaitMs = (leftMs: number): number => Math.max(0, leftMs) * waitShare

/**
 * Retry delay after a request has waited in vain: a move then still lasts for about the mean work time of a
 * request.
 */
export const moveRetryAfterMs = (workMs: number): number => Math.max(minRetryAfterMs, workMs)

/** A move or departure under way, as this host has seen it. */
export interface LastingInput {
  /** How long this host has known of it. */
  readonly lastedMs: number
  /** The route's latency objective; 0 for none. */
  readonly objectiveMs: number
  readonly leftMs: number
}

/**
 * How long a request waits for the end of a move where hosts hold lines. A move that has outlasted the objective has a former
 * owner that does not answer, and ends when its hold lapses, after seconds: those who wait only learn late that they are
 * refused. Load pattern: a domain with the owner of a hot key is cut off.
 */
export const lastingMoveWaitMs = ({ lastedMs, objectiveMs, leftMs }: LastingInput): number =>
  objectiveMs <= 0 ? moveWaitMs(leftMs) : Math.max(0, Math.min(moveWaitMs(leftMs), objectiveMs - lastedMs))

/** When moves began, as far as this host has seen them; bounded, with the oldest forgotten first. */
export class MoveTimes {
  readonly #sinceMs = new Map<string, number>()
  readonly #maxMoves: number

  constructor({ maxMoves = 2000 }: { readonly maxMoves?: number } = {}) {
    this.#maxMoves = maxMoves
  }

  /** Time since the move was first seen; `move` names it uniquely. */
  lastedMs(nowMs: number, move: string): number {
    const sinceMs = this.#sinceMs.get(move)
    if (sinceMs !== undefined) return nowMs - sinceMs
    if (this.#sinceMs.size >= this.#maxMoves) {
      const [oldest] = this.#sinceMs.keys()
      if (oldest !== undefined) this.#sinceMs.delete(oldest)
    }
    this.#sinceMs.set(move, nowMs)
    return 0
  }
}
