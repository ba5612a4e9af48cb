/**
 * A target in virtual time, with the behaviour that the protocol between hosts and targets requires: which
 * keys it holds and until when, and which grants it accepts.
 */
import { GrantOutcome, type GrantCall, type KeyRange, type ReleaseCall } from '@pimentotally/assignment'

/** A target's clock may run this much slow, so that a hold lasts longer than it was granted for. */
export const slowClockFactor = 1.02

interface Hold extends KeyRange {
  readonly fence: number
  readonly untilMs: number
}

/** Requests on a range that were running when its keys were released. */
interface Work extends KeyRange {
  readonly endsAtMs: number
  /** When the hold would have lapsed, had the keys not been released. */
  readonly untilMs: number
}

export class SimulatedTarget {
  readonly address: string
  id: string
  service = 'notes'
  state: 'ready' | 'draining' = 'ready'
  /** Start of the process, in milliseconds since the epoch. */
  born: number
  /** Number of the latest heartbeat. */
  sequence = 1
  isUp = true
  /** Calls do not reach the target and time out, and it writes no heartbeats. */
  isSilent = false
  /** Calls are carried out, but their responses are lost. */
  losesAnswers = false
  /** Share of grants and releases that get no response and are carried out seconds later. */
  lateShare = 0
  /** The response to a grant takes a random time below this. */
  maxAnswerMs = 0
  /** The process ends after the next release, and a new one starts under the same id. */
  restartsAfterRelease = false
  /**
   * Requests that run when their keys are released take a random time below this; the release waits for them.
   */
  workMs = 80
  /** Requests that were running on keys when these were released. */
  work: Work[] = []
  holds: Hold[] = []
  /**
   * Fences of all grants and releases that were accepted; a grant below the highest one of its keys is
   * rejected.
   */
  seenFences: { readonly range: KeyRange; readonly fence: number }[] = []

  constructor(id: string, index: number) {
    this.id = id
    this.address = `10.0.0.${String(index + 1)}:8000`
    this.born = 1000
  }

  holdsKey(key: number, nowMs: number): boolean {
    return (
      this.isUp && this.holds.some(({ from, to, untilMs }) => from <= key && key <= to && untilMs > nowMs)
    )
  }

  highestSeenFence(range: KeyRange): number {
    return this.seenFences
      .filter((seen) => seen.range.from <= range.to && range.from <= seen.range.to)
      .reduce((highest, { fence }) => Math.max(highest, fence), 0)
  }

  apply({ from, to, fence, holdMs }: GrantCall, arrivedAtMs: number): GrantOutcome {
    if (fence < this.highestSeenFence({ from, to })) return GrantOutcome.fenced
    this.seenFences.push({ range: { from, to }, fence })
    this.holds = [
      ...subtract(this.holds, { from, to }),
      { from, to, fence, untilMs: arrivedAtMs + holdMs * slowClockFactor },
    ]
    return GrantOutcome.granted
  }

  /**
   * Returns how long requests on the keys still run. Those on keys that are held until now run for `workMs`;
   * others may still run since an earlier release.
   */
  release({ from, to, fence }: ReleaseCall, nowMs: number, workMs: number): number {
    const held = this.holds.filter((hold) => hold.untilMs > nowMs && hold.from <= to && from <= hold.to)
    const untilMs = Math.max(0, ...held.map((hold) => hold.untilMs))
    this.work = this.work.filter(({ endsAtMs }) => endsAtMs > nowMs)
    if (held.length > 0) this.work.push({ from, to, endsAtMs: nowMs + workMs, untilMs })
    this.seenFences.push({ range: { from, to }, fence })
    this.holds = subtract(this.holds, { from, to })
    const running = this.work.filter((work) => work.from <= to && from <= work.to)
    return Math.max(0, ...running.map(({ endsAtMs }) => endsAtMs - nowMs))
  }

  restart(id: string, born: number): void {
    this.id = id
    this.born = born
    this.service = 'notes'
    this.state = 'ready'
    this.sequence = 1
    this.work = []
    this.holds = []
    this.seenFences = []
    this.isUp = true
    this.isSilent = false
    this.losesAnswers = false
  }
}

const subtract = (holds: readonly Hold[], range: KeyRange): Hold[] =>
  holds.flatMap((hold) => {
    if (hold.to < range.from || hold.from > range.to) return [hold]
    const parts: Hold[] = []
    if (hold.from < range.from) parts.push({ ...hold, to: range.from - 1 })
    if (hold.to > range.to) parts.push({ ...hold, from: range.to + 1 })
    return parts
  })
