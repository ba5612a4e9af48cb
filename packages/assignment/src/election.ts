/**
 * Lease arithmetic for the leader, the one host that assigns keys. The leader counts its lease from a moment
 * before it sent the renewal; a candidate counts from when it first saw the renewed record. Clocks of
 * different hosts are never compared. The leader takes the longest of the times that its clocks show, because
 * a clock may stand still while the host is suspended.
 */

/** The row of the store that says which host leads. */
export interface LeaderRecord {
  readonly leader: string
  /** Address at which the leader takes load reports from the other hosts. */
  readonly peerAddress: string
  /** Increases with each change of leader. */
  readonly term: number
  /** Differs between any two writes of one process. */
  readonly renewal: number
  /** Whether the leader has given up its lease; it then sends no more grants. */
  readonly released: boolean
  /** Whether grants of this leader or an earlier one may still last for the longest hold time. */
  readonly hasLongGrants: boolean
  /** Era of the store in which the record was written; an older copy of the store has records of earlier eras. */
  readonly era: number
}

export interface LeaseTimes {
  readonly leaseMs: number
  /** Time between the end of a lease as its holder counts it and the takeover by another host. */
  readonly marginMs: number
}

/** Readings of the clocks that a lease is measured with, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number
  readonly wallMs: number
}

/**
 * The longest time that any of the clocks shows between two readings; a clock that was set back counts as 0.
 */
export const elapsedMs = (from: ClockReading, to: ClockReading): number =>
  Math.max(0, to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs)

/** The leader's own view of its lease. */
export class HeldLease {
  readonly #times: LeaseTimes
  #renewedAt: ClockReading

  /** `sentAt` was read before the call that took the lease was sent. */
  constructor(times: LeaseTimes, sentAt: ClockReading) {
    this.#times = times
    this.#renewedAt = sentAt
  }

  /** `sentAt` was read before the call that renewed the lease was sent. */
  recordRenewal(sentAt: ClockReading): void {
    this.#renewedAt = sentAt
  }

  remainingMs(now: ClockReading): number {
    return this.#times.leaseMs - elapsedMs(this.#renewedAt, now)
  }
}

/** A candidate's view of another host's lease. */
export class ObservedLease {
  readonly #times: LeaseTimes
  #record: LeaderRecord | undefined
  #seenAtMs: number

  constructor(times: LeaseTimes, startedAtMs: number) {
    this.#times = times
    this.#seenAtMs = startedAtMs
  }

  get record(): LeaderRecord | undefined {
    return this.#record
  }

  /**
   * Any change of the record proves that its writer ran after the previous change, so the lease counts anew
   * from now.
   */
  observe(record: LeaderRecord, nowMs: number): void {
    const known = this.#record
    if (
      known?.leader === record.leader &&
      known.term === record.term &&
      known.renewal === record.renewal &&
      known.released === record.released &&
      known.era === record.era
    )
      return
    this.#record = record
    this.#seenAtMs = nowMs
  }

  /** Time until the lease may be taken over; 0 when it may be taken over now. */
  waitMs(nowMs: number): number {
    if (this.#record === undefined || this.#record.released) return 0
    return Math.max(0, this.#seenAtMs + this.#times.leaseMs + this.#times.marginMs - nowMs)
  }
}
