/**
 * A local copy of one table of the store. It reads the table once and then follows its feed; when the history is lost
 * or the store was away, it reads the table anew, so that rows that vanished meanwhile are noticed.
 */
import type { Clock, Logger } from '@pimentotally/core'
import type { RowStore, StoredRow, StoreError } from '@pimentotally/storage'

export interface ReplicaOptions {
  readonly store: RowStore
  readonly table: string
  readonly clock: Clock
  readonly logger: Logger
  /** How long the store may hold a call without a change. */
  readonly waitMs: number
  readonly listener: ReplicaListener
}

export interface ReplicaChange {
  readonly changed: readonly StoredRow[]
  readonly removed: readonly string[]
  /** The version up to which the copy is current. */
  readonly version: number
}

export interface ReplicaListener {
  /** Called after each successful read, with or without changes. */
  confirmed(change: ReplicaChange): void
}

/** Between two calls while the store does not answer. */
const firstRetryMs = 150
/** Within the bounds on leaving targets and configuration. */
const maxRetryMs = 800

export class Replica {
  readonly #options: ReplicaOptions
  readonly #rows = new Map<string, StoredRow>()
  #version: number | undefined
  #confirmedAtMs: number | undefined
  #failures = 0
  #stopped = false

  constructor(options: ReplicaOptions) {
    this.#options = options
  }

  get rows(): ReadonlyMap<string, StoredRow> {
    return this.#rows
  }

  /** Time since the copy was last known to be current; undefined before the first read. */
  ageMs(): number | undefined {
    return this.#confirmedAtMs === undefined
      ? undefined
      : this.#options.clock.monotonicMs() - this.#confirmedAtMs
  }

  get isFailing(): boolean {
    return this.#failures > 0
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.#options
    while (!this.#stopped) {
      if (!(await this.#refresh())) await clock.sleep(this.#retryMs())
    }
  }

  stop(): void {
    this.#stopped = true
  }

  #retryMs(): number {
    return Math.min(maxRetryMs, firstRetryMs * 2 ** Math.min(5, this.#failures - 1))
  }

  async #refresh(): Promise<boolean> {
    return this.#version === undefined ? this.#readAll() : this.#follow(this.#version)
  }

  async #readAll(): Promise<boolean> {
    const { store, table, listener } = this.#options
    const read = await store.snapshot(table)
    if (read.isErr) return this.#failed(read.error)
    const current = new Map(read.value.rows.map((row) => [row.key, row]))
    const changed = read.value.rows.filter(
      ({ key, version }) => (this.#rows.get(key)?.version ?? 0) < version,
    )
    const removed = [...this.#rows.values()]
      .filter(({ key, version }) => !current.has(key) && version <= read.value.version)
      .map(({ key }) => key)
    this.#apply(changed, removed)
    this.#version = read.value.version
    this.#succeeded()
    listener.confirmed({ changed, removed, version: this.#version })
    return true
  }

  async #follow(after: number): Promise<boolean> {
    const { store, table, waitMs, listener } = this.#options
    const read = await store.changes(table, after, waitMs)
    if (read.isErr) {
      if (read.error.code === 'history_lost') {
        this.#version = undefined
        this.#options.logger.warn('replica.history_lost', { table, version: after })
        return this.#readAll()
      }
      return this.#failed(read.error)
    }
    const changed: StoredRow[] = []
    const removed: string[] = []
    for (const row of read.value.rows) {
      const known = this.#rows.get(row.key)
      if (known !== undefined && known.version >= row.version) continue
      if ('deleted' in row) removed.push(row.key)
      else changed.push(row)
    }
    this.#apply(changed, removed)
    this.#version = Math.max(after, read.value.version)
    this.#succeeded()
    listener.confirmed({ changed, removed, version: this.#version })
    return true
  }

  #apply(changed: readonly StoredRow[], removed: readonly string[]): void {
    for (const row of changed) this.#rows.set(row.key, row)
    for (const key of removed) this.#rows.delete(key)
  }

  #succeeded(): void {
    const { logger, table, clock } = this.#options
    if (this.#failures > 0) {
      logger.info('replica.regained', { table, failures: this.#failures, awayMs: this.ageMs() })
    }
    this.#failures = 0
    this.#confirmedAtMs = clock.monotonicMs()
  }

  #failed(error: StoreError): boolean {
    const { logger, table } = this.#options
    this.#failures += 1
    if (this.#failures === 1) logger.warn('replica.lost', { table, ...error, ageMs: this.ageMs() })
    // Changes may have been missed for longer than the store keeps its history.
    if (this.#failures > 3) this.#version = undefined
    return false
  }
}
