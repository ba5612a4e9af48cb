/** Timeouts for a lack of progress, which do not blame the other side for a pause of this process. */
import type { Cancel, Clock } from '@pimentotally/core'

/**
 * Calls `stalled` after `limitMs` unless it is cancelled. After a pause of this process, Node runs overdue
 * timers before it reads sockets; the second timer lets it first deliver what arrived during the pause.
 */
export const scheduleStallTimeout = (clock: Clock, limitMs: number, stalled: () => void): Cancel => {
  let cancel = clock.schedule(limitMs, () => {
    cancel = clock.schedule(1, stalled)
  })
  return () => {
    cancel()
  }
}
