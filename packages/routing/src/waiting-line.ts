/**
 * A bounded line of requests that wait at a host for room at one target or service. Decides which request is next,
 * which are refused early, and whether the line stands: whether even the shortest wait is long, so that the line no
 * longer absorbs a burst but only makes every response late. Load pattern: bursts shorter than an objective, and
 * demand of 1.5 times the room for longer.
 */
import type { KindShares } from './kind-shares.js'
import { moveWaitMs } from './moving-keys.js'

/**
 * A caller hardly notices a wait of this share of the objective. A line stands when the shortest wait of an interval
 * is above it. A request that is late in any case, or by the prediction, is held no longer.
 */
const unnoticedShare = 1 / 8
/** Length of that interval as a share of the objective; a burst of less than the objective drains within it. */
const intervalShare = 1
/** A wait that is expected to last is a mean; a request is held only if it may wait this many times as long. */
const expectedWaitFactor = 2
/** Weight of a new interval between two starts in their mean. */
const intervalWeight = 0.2

export interface WaitingEntry {
  /** Rank of the route's priority within its service: 0 for the most urgent requests. */
  readonly rank: number
  /** Size of the body that the host holds meanwhile. */
  readonly bytes: number
  /** Whether the caller was refused before. */
  readonly isReturn: boolean
  /** When the request entered the line. */
  readonly enteredAtMs: number
  /** Latest start with which the objective can be met; `Infinity` for a route without one. */
  readonly latestTimelyMs: number
  /** When the request is refused if it has not been started. */
  readonly giveUpAtMs: number
  readonly objectiveMs: number
}

export interface PatienceInput {
  /** The route's latency objective, counted from the caller's first attempt; 0 for none. */
  readonly objectiveMs: number
  /** Time since the caller's first attempt. */
  readonly elapsedMs: number
  /** Expected time that the request occupies a slot of the target. */
  readonly workMs: number
  /** Time until the caller's deadline. */
  readonly leftMs: number
  /** Whether the request would be late by the prediction, so that only news could change that. */
  readonly isUncertain: boolean
}

export interface Patience {
  /** Time during which a start still meets the objective; `Infinity` for a route without one. */
  readonly timelyMs: number
  /** Time for which the request may be held. */
  readonly holdMs: number
}

/** How long a request may wait for room, from now. */
export const patienceOf = ({
  objectiveMs,
  elapsedMs,
  workMs,
  leftMs,
  isUncertain,
}: PatienceInput): Patience => {
  if (objectiveMs <= 0) return { timelyMs: Number.POSITIVE_INFINITY, holdMs: moveWaitMs(leftMs) }
  const timelyMs = objectiveMs - elapsedMs - workMs
  const unnoticedMs = objectiveMs * unnoticedShare
  const holdMs = timelyMs <= 0 ? unnoticedMs : isUncertain ? Math.min(timelyMs, unnoticedMs) : timelyMs
  return { timelyMs, holdMs: Math.min(holdMs, leftMs) }
}

/** Why a request is not held, or not any longer. */
export const LineRefusal = {
  /** The bound on entries or bytes of the host is reached. */
  full: 'full',
  /** No room is expected while the request may wait. */
  tooLate: 'too_late',
  /** The line stands, and the request cannot meet its objective. */
  standing: 'standing',
  /** A more urgent request took its place. */
  displaced: 'displaced',
} as const
export type LineRefusal = (typeof LineRefusal)[keyof typeof LineRefusal]

export interface LineBoundsOptions {
  readonly maxEntries: number
  readonly maxBytes: number
}

/** What all lines of a host hold together. */
export class LineBounds {
  readonly #options: LineBoundsOptions
  entries = 0
  bytes = 0

  constructor(options: LineBoundsOptions) {
    this.#options = options
  }

  hasRoom(bytes: number): boolean {
    return this.entries < this.#options.maxEntries && this.bytes + bytes <= this.#options.maxBytes
  }

  add({ bytes }: WaitingEntry, sign: 1 | -1): void {
    this.entries += sign
    this.bytes += sign * bytes
  }
}

export interface WaitingLineOptions {
  /** Shared by all lines of a service. */
  readonly shares: KindShares
  /** Shared by all lines of a host. */
  readonly bounds: LineBounds
  /** Assumed as the interval between two starts until it was measured. */
  readonly initialIntervalMs: number
}

export interface Offer<T> {
  /** Undefined when the request was taken. */
  readonly refusal: LineRefusal | undefined
  /** Lost its place to the new request. */
  readonly displaced?: T
}

export interface Expired<T> {
  readonly entry: T
  readonly reason: LineRefusal
}

export class WaitingLine<T extends WaitingEntry> {
  readonly #options: WaitingLineOptions
  readonly #entries = new Set<T>()
  #intervalMs: number
  /** The last start, if the line has not been empty since. */
  #lastStartMs: number | undefined
  #standing = false
  #intervalEndsMs = -Infinity
  #shortestWaitMs = Infinity

  constructor(options: WaitingLineOptions) {
    this.#options = options
    this.#intervalMs = options.initialIntervalMs
  }

  get size(): number {
    return this.#entries.size
  }

  has(entry: T): boolean {
    return this.#entries.has(entry)
  }

  get isStanding(): boolean {
    return this.#standing
  }

  /** Mean interval between two starts while requests wait. */
  get intervalMs(): number {
    return this.#intervalMs
  }

  /** Takes the request, unless it would wait in vain; `roomInMs` is the time until there is room for one. */
  offer(nowMs: number, entry: T, roomInMs: number): Offer<T> {
    const ahead = this.#inOrder(nowMs, [...this.#entries, entry]).indexOf(entry)
    const expectedMs = roomInMs + ahead * this.#intervalMs
    const expectedStartMs = nowMs + expectedMs
    if (expectedMs * expectedWaitFactor > entry.giveUpAtMs - nowMs) return { refusal: LineRefusal.tooLate }
    if (this.#standing && expectedStartMs > entry.latestTimelyMs) return { refusal: LineRefusal.standing }
    let displaced: T | undefined
    if (!this.#options.bounds.hasRoom(entry.bytes)) {
      displaced = this.#inOrder(nowMs, [...this.#entries]).at(-1)
      const isEnough =
        displaced !== undefined && displaced.bytes >= entry.bytes && displaced.rank > entry.rank
      if (displaced === undefined || !isEnough) return { refusal: LineRefusal.full }
      this.remove(displaced)
    }
    if (this.#entries.size === 0) this.#beginInterval(nowMs, entry.objectiveMs)
    this.#entries.add(entry)
    this.#options.bounds.add(entry, 1)
    return displaced === undefined ? { refusal: undefined } : { refusal: undefined, displaced }
  }

  /** The requests in the order in which they are to be started. */
  inOrder(nowMs: number): T[] {
    return this.#inOrder(nowMs, [...this.#entries])
  }

  /** Called when a request of the line was started. */
  started(nowMs: number, entry: T): void {
    this.#options.shares.started(nowMs, entry.rank)
    this.#shortestWaitMs = Math.min(this.#shortestWaitMs, nowMs - entry.enteredAtMs)
    const sinceLastMs = nowMs - (this.#lastStartMs ?? entry.enteredAtMs)
    this.#intervalMs += (sinceLastMs - this.#intervalMs) * intervalWeight
    this.#lastStartMs = nowMs
    this.#updateStanding(nowMs)
    this.remove(entry)
  }

  remove(entry: T): void {
    if (!this.#entries.delete(entry)) return
    this.#options.bounds.add(entry, -1)
    if (this.#entries.size > 0) return
    this.#lastStartMs = undefined
    this.#standing = false
  }

  /** Removes the requests that are to be refused now, and returns them. */
  expire(nowMs: number): readonly Expired<T>[] {
    this.#updateStanding(nowMs)
    const expired: Expired<T>[] = []
    for (const entry of this.#entries) {
      if (nowMs >= entry.giveUpAtMs) expired.push({ entry, reason: LineRefusal.tooLate })
      else if (this.#standing && nowMs > entry.latestTimelyMs)
        expired.push({ entry, reason: LineRefusal.standing })
    }
    for (const { entry } of expired) this.remove(entry)
    return expired
  }

  #beginInterval(nowMs: number, objectiveMs: number): void {
    this.#intervalEndsMs = nowMs + objectiveMs * intervalShare
    this.#shortestWaitMs = Infinity
  }

  #updateStanding(nowMs: number): void {
    const [oldest] = this.#entries
    if (oldest === undefined || oldest.objectiveMs <= 0 || nowMs < this.#intervalEndsMs) return
    // Without any start, the wait is at least that of the request which has waited longest.
    const shortestMs = Number.isFinite(this.#shortestWaitMs)
      ? this.#shortestWaitMs
      : nowMs - oldest.enteredAtMs
    this.#standing = shortestMs > oldest.objectiveMs * unnoticedShare
    this.#beginInterval(nowMs, oldest.objectiveMs)
  }

  #inOrder(nowMs: number, entries: T[]): T[] {
    const firstRank = this.#options.shares.next(nowMs, [...new Set(entries.map(({ rank }) => rank))])
    const orderOf = (entry: T): readonly number[] => [
      entry.rank === firstRank ? -1 : entry.rank,
      nowMs <= entry.latestTimelyMs ? 0 : 1,
      entry.isReturn ? 0 : 1,
      entry.enteredAtMs,
    ]
    const keyed = entries.map((entry) => ({ entry, order: orderOf(entry) }))
    keyed.sort((a, b) => {
      const index = a.order.findIndex((value, position) => value !== b.order[position])
      return index < 0 ? 0 : (a.order[index] ?? 0) - (b.order[index] ?? 0)
    })
    return keyed.map(({ entry }) => entry)
  }
}
