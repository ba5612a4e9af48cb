/**
 * Writes whose lost responses are resolved. A transaction that left its outcome open is looked up by its write id.
 * It is sent again, unchanged, only when a condition covers a row that it puts: the first copy that commits breaks
 * this condition for every other copy, so at most one takes effect even if the first is still on its way.
 */
import { randomUUID } from 'node:crypto'
import { Result } from 'true-myth'
import type { Clock } from '@pimentotally/core'
import type { PlatformError, PlatformResult } from './result.js'
import type { Committed, Row, TableService, Transaction } from './table.js'

export interface ResolveOptions {
  readonly clock: Clock
  /** For the write and its resolution together. */
  readonly timeoutMs?: number
  /** For one call. */
  readonly callTimeoutMs?: number
  /** Between two attempts to read back; doubles up to ten times this value. */
  readonly retryDelayMs?: number
  /** Puts `write/{writeId}` in the same transaction, so that rows overwritten later leave no doubt. */
  readonly marker?: boolean
}

export const markerKey = (writeId: string): string => `write/${writeId}`

const withMarker = (transaction: Transaction, clock: Clock): Transaction => ({
  ...transaction,
  conditions: [{ key: markerKey(transaction.writeId), version: 0 }, ...transaction.conditions],
  puts: [
    ...transaction.puts,
    { key: markerKey(transaction.writeId), value: JSON.stringify({ atMs: clock.wallMs() }) },
  ],
})

type Evidence =
  | { readonly kind: 'committed'; readonly versions: Readonly<Record<string, number>> }
  /** A row that the transaction puts still has the version it requires. */
  | { readonly kind: 'absent' }
  /** All rows changed under other write ids: overwritten later, or never written. */
  | { readonly kind: 'overwritten' }
  | { readonly kind: 'unreadable'; readonly error: PlatformError }

/** Rows that the transaction both requires at a version and puts. */
const guardedKeys = ({ conditions, puts }: Transaction): ReadonlyMap<string, number> =>
  new Map(
    conditions
      .filter(({ key }) => puts.some((put) => put.key === key))
      .map(({ key, version }) => [key, version]),
  )

const readBack = async (
  table: TableService,
  transaction: Transaction,
  timeoutMs: number,
): Promise<Evidence> => {
  const results = await Promise.all(
    transaction.puts.map(async ({ key }) => [key, await table.read(key, { timeoutMs })] as const),
  )
  const rows = new Map<string, Row | undefined>()
  for (const [key, result] of results) {
    if (result.isErr) return { kind: 'unreadable', error: result.error }
    rows.set(key, result.value)
  }
  const own = [...rows.values()].filter((row) => row?.writeId === transaction.writeId)
  if (own.length > 0) {
    const versions = own.flatMap((row) => (row === undefined ? [] : [[row.key, row.version] as const]))
    return { kind: 'committed', versions: Object.fromEntries(versions) }
  }
  const untouched = [...guardedKeys(transaction)].some(
    ([key, version]) => (rows.get(key)?.version ?? 0) === version,
  )
  return { kind: untouched ? 'absent' : 'overwritten' }
}

/**
 * Like `transact`, with a lost response resolved. `unavailable` still means that nothing was written. `unknown` is
 * returned when the rows could not be read back within `timeoutMs`, or when they were all overwritten and no marker
 * was put. After a resolution, `versions` lacks the rows that were overwritten meanwhile.
 */
export const transactResolved = async (
  table: TableService,
  transaction: Transaction,
  { clock, timeoutMs = 5000, callTimeoutMs = 1000, retryDelayMs = 50, marker = false }: ResolveOptions,
): Promise<PlatformResult<Committed>> => {
  const sent = marker ? withMarker(transaction, clock) : transaction
  const deadlineMs = clock.monotonicMs() + timeoutMs
  const callMs = (): number => Math.max(1, Math.min(callTimeoutMs, deadlineMs - clock.monotonicMs()))
  const unknown = (message: string): PlatformResult<Committed> =>
    Result.err({ code: 'unknown', step: 'table.transactResolved', message })

  let result = await table.transact(sent, { timeoutMs: callMs() })
  if (result.isOk || result.error.code !== 'unknown') return result

  const guarded = guardedKeys(sent).size > 0
  for (let delayMs = retryDelayMs; ; delayMs = Math.min(2 * delayMs, 10 * retryDelayMs)) {
    const evidence = await readBack(table, sent, callMs())
    if (evidence.kind === 'committed') return Result.ok({ versions: evidence.versions })
    if (evidence.kind === 'overwritten') {
      return unknown('every row was changed by another write, or no condition guards one')
    }
    if (evidence.kind === 'absent') {
      if (result.isErr && result.error.code === 'conflict') return result
      if (!guarded) return unknown('no condition guards a row of the transaction')
      if (clock.monotonicMs() >= deadlineMs) return unknown('not resolved in time')
      const again = await table.transact(sent, { timeoutMs: callMs() })
      if (again.isOk) return again
      // An earlier copy may have committed, so a conflict is judged by reading back once more.
      if (again.error.code !== 'unavailable') result = again
      if (again.error.code === 'conflict') continue
    }
    if (clock.monotonicMs() + delayMs >= deadlineMs) return unknown('not resolved in time')
    await clock.sleep(delayMs)
  }
}

/** Deletes markers older than `olderThanMs`, which must exceed the time that any writer takes to resolve. */
export const sweepMarkers = async (
  table: TableService,
  { clock, olderThanMs, limit = 500 }: { clock: Clock; olderThanMs: number; limit?: number },
): Promise<PlatformResult<number>> => {
  const rows = await table.scan('write/', { limit })
  if (rows.isErr) return Result.err(rows.error)
  const oldest = clock.wallMs() - olderThanMs
  const old = rows.value.filter(({ value }) => (JSON.parse(value) as { atMs: number }).atMs < oldest)
  if (old.length === 0) return Result.ok(0)
  const deletes = old.map(({ key }) => key)
  const deleted = await table.transact({ writeId: randomUUID(), conditions: [], puts: [], deletes })
  return deleted.map(() => old.length)
}
