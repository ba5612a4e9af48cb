/**
 * Stores the identities of blocked requests on the platform, so that they outlive the coordinator that
 * blocked them.
 */
import { randomUUID } from 'node:crypto'
import type { Clock, Logger } from '@pimentotally/core'
import type { CrashRecord } from '@pimentotally/limits'
import type { TableService } from '@pimentotally/storage'

const prefix = 'blocked/'
const rowKey = (identity: string): string => `${prefix}${encodeURIComponent(identity)}`

interface BlockedRow extends CrashRecord {
  /** On the wall clock. */
  readonly sinceMs: number
}

export interface BlockedRequestStoreOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly logger: Logger
  readonly retryIntervalMs?: number
  readonly attempts?: number
}

export class BlockedRequestStore {
  readonly #table: TableService
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #retryIntervalMs: number
  readonly #attempts: number
  readonly #sinceMs = new Map<string, number>()

  constructor({ table, clock, logger, retryIntervalMs = 2000, attempts = 300 }: BlockedRequestStoreOptions) {
    this.#table = table
    this.#clock = clock
    this.#logger = logger
    this.#retryIntervalMs = retryIntervalMs
    this.#attempts = attempts
  }

  /** When the request was blocked, on the wall clock; now if this host does not know it. */
  sinceMs(identity: string): number {
    return this.#sinceMs.get(identity) ?? this.#clock.wallMs()
  }

  /** Stores an entry; repeats the write while it fails, unless `remove` was called meanwhile. */
  async add(entry: CrashRecord, signal: AbortSignal): Promise<void> {
    const row: BlockedRow = { ...entry, sinceMs: this.#clock.wallMs() }
    this.#sinceMs.set(entry.identity, row.sinceMs)
    for (let attempt = 0; attempt < this.#attempts && !signal.aborted; attempt += 1) {
      const stored = await this.#table.transact({
        writeId: randomUUID(),
        conditions: [],
        puts: [{ key: rowKey(entry.identity), value: JSON.stringify(row) }],
      })
      if (stored.isOk) return
      if (!this.#sinceMs.has(entry.identity)) return
      await this.#clock.sleep(this.#retryIntervalMs, signal)
    }
    this.#logger.error('blocked request not stored', { step: 'blocked.store', identity: entry.identity })
  }

  /** Resolves to true when a stored entry was deleted. */
  async remove(identity: string): Promise<boolean> {
    this.#sinceMs.delete(identity)
    const key = rowKey(identity)
    const found = await this.#table.read(key)
    if (found.isErr || found.value === undefined) return false
    const { version } = found.value
    const deleted = await this.#table.transact({
      writeId: randomUUID(),
      conditions: [{ key, version }],
      puts: [],
      deletes: [key],
    })
    return deleted.isOk
  }

  /** The stored entries, or undefined when they cannot be read from the platform. */
  async load(): Promise<readonly CrashRecord[] | undefined> {
    const rows = await this.#table.scan(prefix, { limit: 1000 })
    if (rows.isErr) return undefined
    return rows.value.map(({ value }) => {
      const { sinceMs, ...entry } = JSON.parse(value) as BlockedRow
      this.#sinceMs.set(entry.identity, sinceMs)
      return entry
    })
  }
}
