/**
 * Lease arithmetic for the one host that assigns keys. The leader counts its lease from before it sent the renewal; a
 * candidate counts from when it first saw the value. No clocks of two hosts are compared. The leader's time is the
 * greatest of several clocks' spans, because a clock may stand still while the host is suspended.
 */

export interface LeaderRecord {
  readonly leader: string
  /** Where the leader takes reports from its peers. */
  readonly peerAddress: string
  /** Rises with each change of leader. */
  readonly term: number
  /** Differs in each write of one process. */
  readonly renewal: number
  /** The leader has given its lease up and sends no more grants. */
  readonly released: boolean
  /** Grants of this leader or one before it may still last for the longest hold. */
  readonly hasLongGrants: boolean
}

export interface LeaseTimes {
  readonly leaseMs: number
  /** Distance between the end of a lease at its holder and its takeover by another host. */
  readonly marginMs: number
}

/** Readings of the clocks that a lease is measured with, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number
  readonly wallMs: number
}

/** The longest span that any clock shows; a clock that was set back shows none. */
export const elapsedMs = (from: ClockReading, to: ClockReading): number =>
  Math.max(0, to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs)

/** The leader's own view of its lease. */
export class HeldLease {
  readonly #times: LeaseTimes
  #renewedAt: ClockReading

  /** `sentAt` is when the call that took the lease was sent. */
  constructor(times: LeaseTimes, sentAt: ClockReading) {
    this.#times = times
    this.#renewedAt = sentAt
  }

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

  /** Any change of the record proves that its writer lived. */
  observe(record: LeaderRecord, nowMs: number): void {
    const known = this.#record
    if (
      known?.leader === record.leader &&
      known.term === record.term &&
      known.renewal === record.renewal &&
      known.released === record.released
    )
      return
    this.#record = record
    this.#seenAtMs = nowMs
  }

  /** Time until the lease may be taken over; 0 when it may be taken now. */
  waitMs(nowMs: number): number {
    if (this.#record === undefined || this.#record.released) return 0
    return Math.max(0, this.#seenAtMs + this.#times.leaseMs + this.#times.marginMs - nowMs)
  }
}
