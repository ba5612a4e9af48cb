/** Host sequence numbers: a host reserves one on the platform at each start; none is given out twice. */
import { randomUUID } from 'node:crypto'
import { Result } from 'true-myth'
import { SystemClock, type Clock } from '@pimentotally/core'
import type { PlatformResult } from './result.js'
import type { TableService } from './table.js'

export interface ReserveOptions {
  readonly clock?: Clock
  readonly timeoutMs?: number
  readonly callTimeoutMs?: number
}

const rowKey = 'sequence/host'

export const HostSequence = {
  rowKey,

  /**
   * Reserves the next number; the first is 1. When the response to a reservation is lost, that number is
   * abandoned and the next one reserved: a gap does no harm, while a number used twice would. Fails with
   * `unavailable` when no number was reserved within `timeoutMs`.
   */
  reserve: async (
    table: TableService,
    { clock = new SystemClock(), timeoutMs = 2000, callTimeoutMs = 500 }: ReserveOptions = {},
  ): Promise<PlatformResult<number>> => {
    const deadlineMs = clock.monotonicMs() + timeoutMs
    let message = 'no attempt was made within the timeout'
    while (clock.monotonicMs() < deadlineMs) {
      const read = await table.read(rowKey, { timeoutMs: callTimeoutMs })
      if (read.isOk) {
        const row = read.value
        const last = row === undefined ? 0 : (JSON.parse(row.value) as { last: number }).last
        const written = await table.transact(
          {
            writeId: randomUUID(),
            conditions: [{ key: rowKey, version: row?.version ?? 0 }],
            puts: [{ key: rowKey, value: JSON.stringify({ last: last + 1 }) }],
          },
          { timeoutMs: callTimeoutMs },
        )
        if (written.isOk) return Result.ok(last + 1)
        message = written.error.message
        if (written.error.code === 'conflict') continue
      } else {
        message = read.error.message
      }
      await clock.sleep(Math.min(100, timeoutMs / 10))
    }
    return Result.err({ code: 'unavailable', step: 'hostSequence.reserve', message })
  },
}
