/**
 * Decides how long a request waits for a key that moves, and when a refused caller may come back. A move ends when the
 * work under way on the key has ended, so it lasts some times the work of a request. Load pattern: hot neighbours are
 * divided among many targets, and each piece waits for its release.
 */

/** A move that takes longer leaves enough time to come back later. */
const waitShare = 0.35
/** A caller that comes back sooner would find the key moving still. */
const minRetryAfterMs = 250

/** `leftMs` is until the caller's deadline or the route's timeout, whichever comes first. */
export const moveWaitMs = (leftMs: number): number => Math.max(0, leftMs) * waitShare

/** The rest of a move, when a request has waited for it in vain: about the mean work of a request. */
export const moveRetryAfterMs = (workMs: number): number => Math.max(minRetryAfterMs, workMs)
