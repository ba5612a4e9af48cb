/**
 * Clocks. Timers and readings of time go through a Clock, so that tests can run in virtual time and can pause
 * each of their hosts separately.
 */

/** Cancels a scheduled callback; calling it twice is harmless. */
export type Cancel = () => void

/** A source of time for one host. All values are in milliseconds. */
export abstract class Clock {
  /** Advances steadily and never jumps; may stand still while a virtual machine is suspended. */
  abstract monotonicMs(): number

  /** Wall clock: time since the Unix epoch; may jump in either direction when the clock is set. */
  abstract wallMs(): number

  /** Runs `callback` once after `delayMs`, unless it is cancelled before. */
  abstract schedule(delayMs: number, callback: () => void): Cancel

  /** Resolves after `delayMs`, or at once when `signal` aborts; it never rejects. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve()
        return
      }
      const finish = (): void => {
        cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const cancel = this.schedule(delayMs, finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}

/** The clocks of the operating system. */
export class SystemClock extends Clock {
  override monotonicMs(): number {
    return performance.now()
  }

  override wallMs(): number {
    return Date.now()
  }

  override schedule(delayMs: number, callback: () => void): Cancel {
    const timer = setTimeout(callback, delayMs)
    return () => {
      clearTimeout(timer)
    }
  }
}
