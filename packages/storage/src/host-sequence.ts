/** Host sequence numbers: reserved on the platform at each start and never used twice. */
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
   * Reserves the next number, from 1. A reservation whose response was lost is given up and the next number taken:
   * a gap does no harm, a number used twice would. `unavailable` when none was reserved in time.
   */
  reserve: async (
    table: TableService,
    { clock = new SystemClock(), timeoutMs = 2000, callTimeoutMs = 500 }: ReserveOptions = {},
  ): Promise<PlatformResult<number>> => {
    const deadlineMs = clock.monotonicMs() + timeoutMs
    let message = 'no attempt made'
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
