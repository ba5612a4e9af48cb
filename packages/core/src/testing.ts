/** Virtual time for tests: one timeline, shared by a clock for each host that can be paused separately. */
import { createClock, type Clock as FakeTimeline } from '@sinonjs/fake-timers'
import { Clock, type Cancel } from './clock.js'

export { RateCheck } from './rate-check.js'

/** The timeline of a test. All its clocks advance together. */
export class VirtualTime {
  readonly #timeline: FakeTimeline = createClock(1_700_000_000_000)

  nowMs(): number {
    return this.#timeline.now - 1_700_000_000_000
  }

  /** Advances by `durationMs`, running due timers and the callbacks of promises that they settle. */
  async advance(durationMs: number): Promise<void> {
    await this.#timeline.tickAsync(durationMs)
  }

  schedule(delayMs: number, callback: () => void): Cancel {
    const timer = this.#timeline.setTimeout(callback, Math.max(0, delayMs))
    return () => {
      this.#timeline.clearTimeout(timer)
    }
  }

  /** Creates a clock for one host. */
  clock(): VirtualClock {
    return new VirtualClock(this)
  }
}

/**
 * The clock of one host. While it is paused, due callbacks are deferred but time goes on, as for a process
 * that is stopped by a signal.
 */
export class VirtualClock extends Clock {
  readonly #time: VirtualTime
  #paused = false
  /** Offset of the wall clock; tests change it to make the wall clock jump. */
  wallOffsetMs = 0
  /** Callbacks that became due during the pause. */
  #deferred: (() => void)[] = []

  constructor(time: VirtualTime) {
    super()
    this.#time = time
  }

  get paused(): boolean {
    return this.#paused
  }

  override monotonicMs(): number {
    return this.#time.nowMs()
  }

  override wallMs(): number {
    return 1_700_000_000_000 + this.#time.nowMs() + this.wallOffsetMs
  }

  override schedule(delayMs: number, callback: () => void): Cancel {
    let cancelled = false
    const cancel = this.#time.schedule(delayMs, () => {
      this.run(() => {
        if (!cancelled) callback()
      })
    })
    return () => {
      cancelled = true
      cancel()
    }
  }

  /** Runs `work` now, or after the pause; also used for messages that arrive at the host. */
  run(work: () => void): void {
    if (this.#paused) this.#deferred.push(work)
    else work()
  }

  pause(): void {
    this.#paused = true
  }

  resume(): void {
    this.#paused = false
    const deferred = this.#deferred
    this.#deferred = []
    for (const work of deferred) work()
  }
}
