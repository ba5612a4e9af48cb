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
export const lapseMs = (endedAtMs: number, holdMs: number): number =>
  endedAtMs + holdMs * clockRate + marginMs

/** The grants that were sent to one target. */
export class TargetHolds {
  #lapsesAtMs: number

  /** `lapsesAtMs` bounds grants that an earlier renewer may have sent. */
  constructor(lapsesAtMs: number) {
    this.#lapsesAtMs = lapsesAtMs
  }

  /** Called when the call has ended, with or without a response. */
  granted(endedAtMs: number, holdMs: number): void {
    this.#lapsesAtMs = Math.max(this.#lapsesAtMs, lapseMs(endedAtMs, holdMs))
  }

  /** When the target certainly holds nothing, if no more grants are sent. */
  get lapsesAtMs(): number {
    return this.#lapsesAtMs
  }
}
