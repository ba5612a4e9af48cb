/** Stall limits that do not blame the other side for a pause of this process. */
import type { Cancel, Clock } from '@pimentotally/core'

/**
 * Calls back after `limitMs` unless it is cancelled. Timers run before sockets after a pause of this process, so what
 * arrived during it is delivered first.
 */
export const scheduleStallTimeout = (clock: Clock, limitMs: number, stalled: () => void): Cancel => {
  let cancel = clock.schedule(limitMs, () => {
    cancel = clock.schedule(1, stalled)
  })
  return () => {
    cancel()
  }
}
