/** Heartbeats on a stream, and notice of a peer that went silent on it. */
import type { Cancel, Clock } from '@pimentotally/core'

export const heartbeatIntervalMs = 200

/** Three heartbeats in a row are missing. */
export const silenceTimeoutMs = 600

export interface StreamHeartbeatOptions {
  readonly clock: Clock
  readonly sendHeartbeat: () => void
  readonly onSilent: () => void
}

export class StreamHeartbeat {
  readonly #options: StreamHeartbeatOptions
  #heardAtMs: number
  #dueAtMs = 0
  #cancel: Cancel

  constructor(options: StreamHeartbeatOptions) {
    this.#options = options
    this.#heardAtMs = options.clock.monotonicMs()
    this.#cancel = this.#later()
  }

  recordMessage(): void {
    this.#heardAtMs = this.#options.clock.monotonicMs()
  }

  stop(): void {
    this.#cancel()
  }

  #later(): Cancel {
    this.#dueAtMs = this.#options.clock.monotonicMs() + heartbeatIntervalMs
    return this.#options.clock.schedule(heartbeatIntervalMs, () => {
      const nowMs = this.#options.clock.monotonicMs()
      // After a pause of this process the peer's messages may be waiting unread, so its silence starts anew.
      if (nowMs - this.#dueAtMs > heartbeatIntervalMs) this.#heardAtMs = nowMs
      if (nowMs - this.#heardAtMs >= silenceTimeoutMs) {
        this.#options.onSilent()
        return
      }
      this.#cancel = this.#later()
      this.#options.sendHeartbeat()
    })
  }
}
