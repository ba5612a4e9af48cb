/** A target in virtual time, as the promises describe it: what it holds, and which orders it takes. */
import { GrantOutcome, type GrantCall, type KeyRange, type ReleaseCall } from '@pimentotally/assignment'

/** A target's clock may run this much slow. */
export const slowClock = 1.02

interface Hold extends KeyRange {
  readonly fence: number
  readonly untilMs: number
}

interface Work extends KeyRange {
  readonly endsAtMs: number
  /** When the hold would have run out. */
  readonly untilMs: number
}

/** A target as the promises describe it: holds by range, fences, grants that may be applied late. */
export class FakeTarget {
  readonly address: string
  id: string
  service = 'notes'
  state: 'ready' | 'draining' = 'ready'
  born: number
  sequence = 1
  isUp = true
  isSilent = false
  /** Orders are carried out, but their responses are lost. */
  isMute = false
  /** Share of orders that get no response and are carried out seconds later. */
  lateShare = 0
  /** Longest time that a grant's answer takes. */
  answerMs = 0
  /** The process ends after the next release, and a new one starts under the same id. */
  restartsAfterRelease = false
  /** While one runs, a release waits. */
  workMs = 80
  /** Work that was running on keys when they were released. */
  work: Work[] = []
  holds: Hold[] = []
  highestFence: { readonly range: KeyRange; readonly fence: number }[] = []

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

  seenFence(range: KeyRange): number {
    return this.highestFence
      .filter((seen) => seen.range.from <= range.to && range.from <= seen.range.to)
      .reduce((highest, { fence }) => Math.max(highest, fence), 0)
  }

  apply({ from, to, fence, holdMs }: GrantCall, arrivedAtMs: number): GrantOutcome {
    if (fence < this.seenFence({ from, to })) return GrantOutcome.fenced
    this.highestFence.push({ range: { from, to }, fence })
    this.holds = [
      ...subtract(this.holds, { from, to }),
      { from, to, fence, untilMs: arrivedAtMs + holdMs * slowClock },
    ]
    return GrantOutcome.granted
  }

  /**
   * Returns how long work on the keys still runs; `workMs` is that of work on keys that are held until now.
   */
  release({ from, to, fence }: ReleaseCall, nowMs: number, workMs: number): number {
    const held = this.holds.filter((hold) => hold.untilMs > nowMs && hold.from <= to && from <= hold.to)
    const untilMs = Math.max(0, ...held.map((hold) => hold.untilMs))
    this.work = this.work.filter(({ endsAtMs }) => endsAtMs > nowMs)
    if (held.length > 0) this.work.push({ from, to, endsAtMs: nowMs + workMs, untilMs })
    this.highestFence.push({ range: { from, to }, fence })
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
    this.highestFence = []
    this.isUp = true
    this.isSilent = false
    this.isMute = false
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
