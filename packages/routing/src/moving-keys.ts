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
