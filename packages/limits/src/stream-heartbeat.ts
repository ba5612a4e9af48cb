/** Sends heartbeats on a permit stream and detects that nothing is received from the peer any more. */
import type { Cancel, Clock } from '@pimentotally/core'

/** Time between two heartbeats that one end of a stream sends. */
export const heartbeatIntervalMs = 200

/** A peer is silent when nothing was received for this long: three heartbeats in a row are missing. */
export const silenceTimeoutMs = 600

export interface StreamHeartbeatOptions {
  readonly clock: Clock
  readonly sendHeartbeat: () => void
  readonly onSilent: () => void
}

export class StreamHeartbeat {
  readonly #options: StreamHeartbeatOptions
  #lastMessageAtMs: number
  #dueAtMs = 0
  #cancel: Cancel

  constructor(options: StreamHeartbeatOptions) {
    this.#options = options
    this.#lastMessageAtMs = options.clock.monotonicMs()
    this.#cancel = this.#scheduleNext()
  }

  recordMessage(): void {
    this.#lastMessageAtMs = this.#options.clock.monotonicMs()
  }

  stop(): void {
    this.#cancel()
  }

  #scheduleNext(): Cancel {
    this.#dueAtMs = this.#options.clock.monotonicMs() + heartbeatIntervalMs
    return this.#options.clock.schedule(heartbeatIntervalMs, () => {
      const nowMs = this.#options.clock.monotonicMs()
      // If the timer ran late, this process was paused and may have unread messages: the time starts anew.
      if (nowMs - this.#dueAtMs > heartbeatIntervalMs) this.#lastMessageAtMs = nowMs
      if (nowMs - this.#lastMessageAtMs >= silenceTimeoutMs) {
        this.#options.onSilent()
        return
      }
      this.#cancel = this.#scheduleNext()
      this.#options.sendHeartbeat()
    })
  }
}
