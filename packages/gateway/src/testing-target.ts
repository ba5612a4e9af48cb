/** A target in virtual time, as the promises describe it: what it holds, and which orders it takes. */
import { GrantOutcome, type GrantCall, type KeyRange, type ReleaseCall } from '@pimentotally/assignment'

/** A target's clock may run this much slow. */
export const slowClock = 1.02

interface Hold extends KeyRange {
  readonly fence: number
  readonly untilMs: number
}

/** A target as the promises describe it: holds by range, fences, grants that may be applied late. */
export class FakeTarget {
  readonly address: string
  id: string
  born: number
  sequence = 1
  isUp = true
  isSilent = false
  /** Share of orders that get no response and are carried out seconds later. */
  lateShare = 0
  /** While one runs, a release waits. */
  workMs = 80
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

  release({ from, to, fence }: ReleaseCall): void {
    this.highestFence.push({ range: { from, to }, fence })
    this.holds = subtract(this.holds, { from, to })
  }

  restart(id: string, born: number): void {
    this.id = id
    this.born = born
    this.sequence = 1
    this.holds = []
    this.highestFence = []
    this.isUp = true
    this.isSilent = false
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
