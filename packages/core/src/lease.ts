/**
 * Lease arithmetic that never compares the clocks of two hosts. The holder of a lease counts from before it
 * sent the request for it and takes the larger advance of its monotonic and its wall clock, so that the lease
 * lapses even while its machine is suspended. A host that waits for the lapse counts from when it first saw
 * the lease and takes the smaller advance, so that it never acts before the lease has lapsed.
 */
import type { Clock } from './clock.js'

/** A point in time on the monotonic and the wall clock of one host. */
export interface Instant {
  readonly monotonicMs: number
  readonly wallMs: number
}

export const Instant = {
  now: (clock: Clock): Instant => ({ monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() }),

  /** Elapsed time in ms as the holder of a lease must count it: the larger advance of the two clocks. */
  holderElapsedMs: (since: Instant, clock: Clock): number =>
    Math.max(clock.monotonicMs() - since.monotonicMs, clock.wallMs() - since.wallMs),

  /**
   * Elapsed time in ms as a host that waits for another host's lease to lapse must count it: the smaller
   * advance of the two clocks.
   */
  waiterElapsedMs: (since: Instant, clock: Clock): number =>
    Math.min(clock.monotonicMs() - since.monotonicMs, clock.wallMs() - since.wallMs),
}

/** A lease as its holder keeps it. `since` is an instant before the request for the lease was sent. */
export interface HeldLease {
  readonly since: Instant
  readonly durationMs: number
}

export const HeldLease = {
  /** Milliseconds until the lease lapses; 0 when it has lapsed. */
  remainingMs: (lease: HeldLease, clock: Clock): number =>
    Math.max(0, lease.durationMs - Instant.holderElapsedMs(lease.since, clock)),
}
