/**
 * Transactions whose outcome is found out after a lost response. The rows of the transaction are read back
 * and compared by write id. The transaction is sent again, unchanged, only when one of its conditions covers
 * a row that it also puts: the copy that commits first makes this condition fail for all others, so at most
 * one copy takes effect, even if an earlier copy still arrives later.
 */
import { randomUUID } from 'node:crypto'
import { Result } from 'true-myth'
import type { Clock } from '@pimentotally/core'
import type { PlatformError, PlatformResult } from './result.js'
import type { Committed, Row, TableService, Transaction } from './table.js'

export interface ResolveOptions {
  readonly clock: Clock
  /** Timeout for the write and for finding out its outcome, together. */
  readonly timeoutMs?: number
  /** Timeout of one call to the platform. */
  readonly callTimeoutMs?: number
  /** First delay between two attempts to read the rows back; it doubles up to ten times this value. */
  readonly retryDelayMs?: number
  /**
   * Adds a commit marker, the row `write/{writeId}`, to the transaction. It shows that the transaction
   * committed even when all its other rows were overwritten afterwards.
   */
  readonly putCommitMarker?: boolean
}

/** Row key of the commit marker of a write. */
export const commitMarkerKey = (writeId: string): string => `write/${writeId}`

const withCommitMarker = (transaction: Transaction, clock: Clock): Transaction => ({
  ...transaction,
  conditions: [{ key: commitMarkerKey(transaction.writeId), version: 0 }, ...transaction.conditions],
  puts: [
    ...transaction.puts,
    { key: commitMarkerKey(transaction.writeId), value: JSON.stringify({ atMs: clock.wallMs() }) },
  ],
})

/** What reading the rows of a transaction back says about its outcome. */
type Evidence =
  /** At least one row has the write id of the transaction; `versions` has those rows. */
  | { readonly kind: 'committed'; readonly versions: Readonly<Record<string, number>> }
  /** Not committed so far: a row that the transaction puts still has the version that it requires. */
  | { readonly kind: 'absent' }
  /**
   * No row has the write id. Of the rows that the transaction both requires and puts, none still has the
   * required version, or the transaction has no such rows. Either all rows were overwritten after it
   * committed, or it never committed.
   */
  | { readonly kind: 'overwritten' }
  | { readonly kind: 'unreadable'; readonly error: PlatformError }

/** The rows that the transaction puts and also requires at a certain version, with that version. */
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
 * Like `transact`, but finds out the outcome after a lost response. `unavailable` still means that nothing
 * was written. `unknown` is returned when the rows could not be read back within `timeoutMs`, when no
 * condition makes it safe to send the transaction again, or when all rows were overwritten and there was no
 * commit marker. After a lost response, `versions` lacks the rows that were overwritten meanwhile.
 */
export const transactResolved = async (
  table: TableService,
  transaction: Transaction,
  {
    clock,
    timeoutMs = 5000,
    callTimeoutMs = 1000,
    retryDelayMs = 50,
    putCommitMarker = false,
  }: ResolveOptions,
): Promise<PlatformResult<Committed>> => {
  const sent = putCommitMarker ? withCommitMarker(transaction, clock) : transaction
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
      return unknown('all rows were changed by other writes, or no condition covers a row of the transaction')
    }
    if (evidence.kind === 'absent') {
      if (result.isErr && result.error.code === 'conflict') return result
      // Only a safeguard: without a condition that covers a row, the evidence is never `absent`.
      if (!guarded) return unknown('no condition covers a row of the transaction, so it is not sent again')
      if (clock.monotonicMs() >= deadlineMs) return unknown('outcome not found out within the timeout')
      const again = await table.transact(sent, { timeoutMs: callMs() })
      if (again.isOk) return again
      // A conflict may be caused by an earlier copy that committed, so the rows are read back once more.
      // An `unavailable` copy wrote nothing and says nothing about earlier copies, so their result is kept.
      if (again.error.code !== 'unavailable') result = again
      if (again.error.code === 'conflict') continue
    }
    if (clock.monotonicMs() + delayMs >= deadlineMs)
      return unknown('outcome not found out within the timeout')
    await clock.sleep(delayMs)
  }
}

/**
 * Deletes commit markers older than `olderThanMs`, by the wall clocks of the writers and of this host. This
 * time must be longer than any writer may take to find out the outcome of its write. One call looks at no
 * more than `limit` markers. Resolves to the number of deleted markers.
 */
export const sweepCommitMarkers = async (
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
