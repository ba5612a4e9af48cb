/**
 * Bounds how long targets may hold keys. A grant counts from its arrival at the target, which is at the earliest when
 * it was sent and at the latest when its response came or its connection was reset. A grant without a response may be
 * applied later, even after a release; until it would have lapsed its keys count as held.
 */
import type { KeyRange } from './range-map.js'

/** A target's clock may run this much slow. */
const clockRate = 1.02
/** Covers timers that fire late and the time between a check and the write to a socket. */
const marginMs = 150

interface OpenGrant extends KeyRange {
  readonly lapsesAtMs: number
}

const overlaps = (a: KeyRange, b: KeyRange): boolean => a.from <= b.to && b.from <= a.to

/** The grants that one renewer sent to one target. */
export class TargetHolds {
  /** No grant of the target lasts beyond this time. */
  #lapsesAtMs: number
  #unanswered: OpenGrant[] = []

  /** `lapsesAtMs` bounds grants that an earlier renewer may have sent. */
  constructor(lapsesAtMs: number) {
    this.#lapsesAtMs = lapsesAtMs
  }

  /** Called when the call has ended, with or without a response. */
  granted(range: KeyRange, endedAtMs: number, holdMs: number, answered: boolean): void {
    const lapsesAtMs = endedAtMs + holdMs * clockRate + marginMs
    this.#lapsesAtMs = Math.max(this.#lapsesAtMs, lapsesAtMs)
    this.#unanswered = this.#unanswered.filter((grant) => grant.lapsesAtMs > endedAtMs)
    if (!answered) this.#unanswered.push({ from: range.from, to: range.to, lapsesAtMs })
  }

  /** When the target certainly holds nothing, if no more grants are sent. */
  get lapsesAtMs(): number {
    return this.#lapsesAtMs
  }

  /** When no unanswered grant can be applied late any more. */
  settledAtMs(nowMs: number): number {
    return this.#unanswered.reduce((latest, { lapsesAtMs }) => Math.max(latest, lapsesAtMs), nowMs)
  }

  /** When a range that the target has released is certainly free. */
  freeAfterReleaseMs(range: KeyRange, releasedAtMs: number): number {
    return this.#unanswered
      .filter((grant) => overlaps(grant, range))
      .reduce((latest, { lapsesAtMs }) => Math.max(latest, lapsesAtMs), releasedAtMs)
  }
}
