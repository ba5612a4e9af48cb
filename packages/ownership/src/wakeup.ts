/**
 * A wait that another task can end early. A call of `wake` while no task waits ends the next wait at once.
 */
import type { Cancel, Clock } from '@pimentotally/core'

export class Wakeup {
  readonly #clock: Clock
  #woken = false
  #finish: (() => void) | undefined

  constructor(clock: Clock) {
    this.#clock = clock
  }

  wake(): void {
    this.#woken = true
    this.#finish?.()
  }

  /** Resolves after `delayMs`, on `wake` or when `signal` aborts; only one task may wait. */
  async wait(delayMs: number, signal: AbortSignal): Promise<void> {
    if (!this.#woken && !signal.aborted && delayMs > 0) {
      await new Promise<void>((resolve) => {
        let cancel: Cancel | undefined = undefined
        const finish = (): void => {
          cancel?.()
          signal.removeEventListener('abort', finish)
          this.#finish = undefined
          resolve()
        }
        this.#finish = finish
        signal.addEventListener('abort', finish, { once: true })
        cancel = this.#clock.schedule(delayMs, finish)
      })
    }
    this.#woken = false
  }
}
