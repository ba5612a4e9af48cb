/**
 * Bounds how long a target may hold keys. A grant counts from its arrival at the target, which is at the latest when its
 * response came or its connection was reset. A release frees its keys at once, as it carries a fence above all earlier
 * grants; the bound is for targets that cannot be reached.
 */

/** A target's clock may run this much slow. */
const clockRate = 1.02
/** Covers timers that fire late and the time between a check and the write to a socket. */
const marginMs = 150

/** When a grant that was answered or given up at `endedAtMs` has certainly lapsed. */
export const latestLapseAtMs = (endedAtMs: number, holdMs: number): number =>
  endedAtMs + holdMs * clockRate + marginMs

/** One of its functions is called once, when the call has ended. */
export interface PendingGrant {
  /** The grant took effect until `endedAtMs`, or may have. */
  readonly ended: (endedAtMs: number, holdMs: number) => void
  /** The grant certainly did not take effect. */
  readonly refused: () => void
}

/** The grants that were sent to one target. */
export class TargetHolds {
  #lapsesAtMs: number
  #underWay = 0

  /** `lapsesAtMs` bounds grants that an earlier renewer may have sent. */
  constructor(lapsesAtMs: number) {
    this.#lapsesAtMs = lapsesAtMs
  }

  /** Called before a grant is sent; it may arrive at any moment until its call has ended. */
  beginGrant(): PendingGrant {
    this.#underWay += 1
    return {
      ended: (endedAtMs, holdMs) => {
        this.#underWay -= 1
        this.#lapsesAtMs = Math.max(this.#lapsesAtMs, latestLapseAtMs(endedAtMs, holdMs))
      },
      refused: () => {
        this.#underWay -= 1
      },
    }
  }

  /** When the target certainly holds nothing, if no more grants are sent; unknown while one is under way. */
  get lapsesAtMs(): number {
    return this.#underWay > 0 ? Infinity : this.#lapsesAtMs
  }
}
