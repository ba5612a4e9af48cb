/**
 * Upper bound for how long a target may hold keys. The hold time of a grant starts when the grant arrives at
 * the target, which is at the latest when its response arrived or its connection was reset. A release frees
 * its keys at once, because its fence is higher than those of all earlier grants; the bound is needed for
 * targets that cannot be reached.
 */

/** Factor by which a hold may last longer because the target's clock runs slow. */
const clockDriftFactor = 1.02
/** Allows for timers that fire late and for the time between a check and the write to a socket. */
const marginMs = 150

/**
 * The time at which a grant whose call ended at `endedAtMs`, with or without a response, has certainly
 * lapsed.
 */
export const latestLapseAtMs = (endedAtMs: number, holdMs: number): number =>
  endedAtMs + holdMs * clockDriftFactor + marginMs

/**
 * A grant whose call has not ended. When the call ends, exactly one of the functions must be called, once.
 */
export interface PendingGrant {
  /** The grant took effect, or may have, at `endedAtMs` at the latest. */
  readonly ended: (endedAtMs: number, holdMs: number) => void
  /** The grant certainly did not take effect. */
  readonly refused: () => void
}

/** Bounds how long one target may hold keys because of the grants that were sent to it. */
export class TargetHolds {
  #lapsesAtMs: number
  #pendingGrants = 0

  /** `lapsesAtMs` is when grants that earlier leaders may have sent have certainly lapsed. */
  constructor(lapsesAtMs: number) {
    this.#lapsesAtMs = lapsesAtMs
  }

  /** Must be called before a grant is sent. The grant may arrive at any moment until its call has ended. */
  beginGrant(): PendingGrant {
    this.#pendingGrants += 1
    return {
      ended: (endedAtMs, holdMs) => {
        this.#pendingGrants -= 1
        this.#lapsesAtMs = Math.max(this.#lapsesAtMs, latestLapseAtMs(endedAtMs, holdMs))
      },
      refused: () => {
        this.#pendingGrants -= 1
      },
    }
  }

  /**
   * When the target certainly holds no keys, if no more grants are sent; Infinity while a call has not ended.
   */
  get lapsesAtMs(): number {
    return this.#pendingGrants > 0 ? Infinity : this.#lapsesAtMs
  }
}
