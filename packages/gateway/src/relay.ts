/**
 * Lets one host read the store for all: the leader follows the store and the others follow the leader. A host whose
 * leader does not answer, or whose leader has lost the store, follows the store itself. Reads that decisions depend on,
 * and all writes, go to the store in any case.
 */
import { Result } from 'true-myth'
import type { Clock, Logger } from '@pimentotally/core'
import { HttpCaller } from '@pimentotally/http'
import {
  RowStore,
  type RowTransaction,
  type StoreCallOptions,
  type StoreResult,
  type TableChanges,
  type TableSnapshot,
} from '@pimentotally/storage'
import type { ChangeLog } from './change-log.js'
import type { PeerAnswer } from './peer-server.js'
import type { Replica } from './replica.js'

export const relayPath = '/changes'
/** Longest wait of a follower for a change; a silent connection is noticed after it. */
const relayWaitMs = 1000
/** Beyond the wait, for a busy leader. */
const relayTimeoutMs = 400
/** After a failed call the store is followed directly for this time. */
const relayPauseMs = 1500

/** What the leader needs to serve one table. */
export interface RelayedTable {
  readonly log: ChangeLog
  readonly replica: Replica
  /** A copy that was not confirmed for this long is not passed on. */
  readonly maxAgeMs: number
}

/** Answers a follower's call; the caller decides whether this host leads. */
export const answerRelay = async (
  { log, replica, maxAgeMs }: RelayedTable,
  query: URLSearchParams,
  clock: Clock,
): Promise<PeerAnswer> => {
  const after = Number(query.get('after'))
  if (!Number.isSafeInteger(after)) return { status: 400 }
  const isCurrent = (): boolean => !replica.isFailing && (replica.ageMs() ?? Infinity) <= maxAgeMs
  if (!isCurrent()) return { status: 503 }
  // No longer than the copy stays current, if the store does not answer this host any more.
  const currentForMs = maxAgeMs - (replica.ageMs() ?? 0) + 1
  const waitMs = Math.min(relayWaitMs, currentForMs, Number(query.get('waitMs')) || 0)
  if (log.since(after)?.length === 0 && waitMs > 0) {
    await new Promise<void>((resolve) => {
      const stopWaiting = log.onChange(() => {
        cancel()
        resolve()
      })
      const cancel = clock.schedule(waitMs, () => {
        stopWaiting()
        resolve()
      })
    })
  }
  if (!isCurrent()) return { status: 503 }
  const changes = log.since(after)
  if (changes === undefined) return { status: 410 }
  const rows = changes.map((row) =>
    'deleted' in row ? row : { ...row, value: row.value.toString('base64') },
  )
  return { status: 200, body: JSON.stringify({ rows, version: Math.max(after, log.version) }) }
}

export interface RelayedStoreOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly logger: Logger
  /** Where the leader answers other hosts; undefined when there is none, or when it is this host. */
  readonly leaderAddress: () => string | undefined
  /** Pause between two direct reads of a table that changes all the time. */
  readonly pollIntervalMs: Readonly<Record<string, number>>
}

interface RelayedRows {
  readonly rows: readonly { readonly key: string; readonly version: number; readonly value?: string }[]
  readonly version: number
}

const decode = (text: string): TableChanges | undefined => {
  try {
    const { rows, version } = JSON.parse(text) as RelayedRows
    return {
      version,
      rows: rows.map(({ key, version: rowVersion, value }) =>
        value === undefined
          ? { key, version: rowVersion, deleted: true }
          : { key, version: rowVersion, value: Buffer.from(value, 'base64') },
      ),
    }
  } catch {
    return undefined
  }
}

export class RelayedStore extends RowStore {
  readonly #options: RelayedStoreOptions
  readonly #caller = new HttpCaller({ connections: 4 })
  readonly #pausedUntilMs = new Map<string, number>()
  readonly #directAtMs = new Map<string, number>()
  readonly #relayed = new Set<string>()

  constructor(options: RelayedStoreOptions) {
    super()
    this.#options = options
  }

  override snapshot(table: string, options?: StoreCallOptions): Promise<StoreResult<TableSnapshot>> {
    return this.#options.store.snapshot(table, options)
  }

  override commit(transaction: RowTransaction, options?: StoreCallOptions): Promise<StoreResult<number>> {
    return this.#options.store.commit(transaction, options)
  }

  override async changes(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const relayed = await this.#followLeader(table, after)
    return relayed ?? this.#followStore(table, after, waitMs)
  }

  close(): void {
    this.#caller.close()
  }

  async #followLeader(table: string, after: number): Promise<StoreResult<TableChanges> | undefined> {
    const { clock, leaderAddress } = this.#options
    const address = leaderAddress()
    if (address === undefined || clock.monotonicMs() < (this.#pausedUntilMs.get(table) ?? 0)) return undefined
    const query = new URLSearchParams({ table, after: String(after), waitMs: String(relayWaitMs) })
    const answer = await this.#caller.call({
      step: 'relay.changes',
      address,
      method: 'GET',
      path: `${relayPath}?${query.toString()}`,
      timeoutMs: relayWaitMs + relayTimeoutMs,
    })
    if (answer.isOk && answer.value.status === 410) {
      return Result.err({
        code: 'history_lost',
        step: 'relay.changes',
        message: 'the leader does not know them',
      })
    }
    const changes =
      answer.isOk && answer.value.status === 200 ? decode(answer.value.body.toString('utf8')) : undefined
    if (changes !== undefined) {
      if (!this.#relayed.has(table)) this.#options.logger.info('relay.used', { table, leader: address })
      this.#relayed.add(table)
      return Result.ok(changes)
    }
    this.#relayed.delete(table)
    this.#pausedUntilMs.set(table, clock.monotonicMs() + relayPauseMs)
    const cause = answer.isErr ? answer.error.message : `status ${String(answer.value.status)}`
    this.#options.logger.info('relay.lost', { table, leader: address, cause })
    return undefined
  }

  async #followStore(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const { store, clock, pollIntervalMs } = this.#options
    const intervalMs = pollIntervalMs[table] ?? 0
    const dueMs = (this.#directAtMs.get(table) ?? -Infinity) + intervalMs - clock.monotonicMs()
    if (dueMs > 0) await clock.sleep(dueMs)
    this.#directAtMs.set(table, clock.monotonicMs())
    return store.changes(table, after, intervalMs > 0 ? 0 : waitMs)
  }
}
