/**
 * Elapsed time of one process: the sum of the intervals between readings, each measured on the monotonic and
 * the wall clock. A step of the wall clock affects only the interval in which it happens: a step back cannot
 * stop the count of a lease holder, and a step forward cannot advance the count of a process that waits for a
 * lapse.
 */
import { Instant, type Clock } from '@pimentotally/core'

export class ElapsedTime {
  readonly #clock: Clock
  #last: Instant
  #holderMs = 0
  #waiterMs = 0

  constructor(clock: Clock) {
    this.#clock = clock
    this.#last = Instant.now(clock)
  }

  /** Milliseconds since construction as a lease holder counts them: never less than have really elapsed. */
  holderMs(): number {
    this.#read()
    return this.#holderMs
  }

  /** Milliseconds since construction as a waiter counts them: never more than have really elapsed. */
  waiterMs(): number {
    this.#read()
    return this.#waiterMs
  }

  #read(): void {
    this.#holderMs += Math.max(0, Instant.holderElapsedMs(this.#last, this.#clock))
    this.#waiterMs += Math.max(0, Instant.waiterElapsedMs(this.#last, this.#clock))
    this.#last = Instant.now(this.#clock)
  }
}
