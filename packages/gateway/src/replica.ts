/**
 * A local copy of one table of the store. It reads the whole table once and then follows the feed of its
 * changes. When the changes since its version are no longer known, it reads the whole table again, so that
 * rows that were removed meanwhile are noticed. After the store came back from an older copy, rows that the
 * copy lacks are kept for a time, as their writers write them again.
 */
import type { Clock, Logger } from '@pimentotally/core'
import {
  eraOf,
  presentRows,
  type RowStore,
  type StoredRow,
  type StoreError,
  type TableSnapshot,
} from '@pimentotally/storage'

export interface ReplicaOptions {
  readonly store: RowStore
  readonly table: string
  readonly clock: Clock
  readonly logger: Logger
  /** How long a call may wait for a change. */
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
  onRefreshed(change: ReplicaChange): void
}

/** Time-out of a read of the whole table; a thousand routes take some time on the link of a small host. */
const wholeTableTimeoutMs = 1600
/**
 * What the operator and the targets wrote is written again within this time after the store came back from
 * an older copy.
 */
export const rewriteMs = 2500
/** Pause after the first failed call; it doubles with each further failure. */
const firstRetryPauseMs = 150
/**
 * Longest pause between two calls; well within the times in which targets that
 * leave and a new configuration must be noticed.
 */
const maxRetryPauseMs = 800

export class Replica {
  readonly #options: ReplicaOptions
  readonly #rows = new Map<string, StoredRow>()
  /** The version from which the feed is followed; undefined when the whole table has to be read. */
  #version: number | undefined
  /**
   * Every change up to this version is known; unlike `#version`, it is kept when
   * the table has to be read again.
   */
  #knownVersion = 0
  /** Rows that an older copy of the store lacks, with the time until which they are kept. */
  readonly #keptUntilMs = new Map<string, number>()
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
      const startedMs = clock.monotonicMs()
      if (await this.#refresh()) continue
      // The time that a failed call took counts as part of the pause, so that a
      // link that is back is noticed soon.
      const tookMs = clock.monotonicMs() - startedMs
      await clock.sleep(Math.max(firstRetryPauseMs, this.#retryPauseMs() - tookMs))
    }
  }

  stop(): void {
    this.#stopped = true
  }

  #retryPauseMs(): number {
    return Math.min(maxRetryPauseMs, firstRetryPauseMs * 2 ** Math.min(5, this.#failures - 1))
  }

  async #refresh(): Promise<boolean> {
    return this.#version === undefined ? this.#readWhole() : this.#follow(this.#version)
  }

  async #readWhole(): Promise<boolean> {
    const { store, table } = this.#options
    const read = await store.snapshot(table, { timeoutMs: wholeTableTimeoutMs })
    if (read.isErr) return this.#failed(read.error)
    return this.#replace(read.value)
  }

  /** Refuses a table that is older than what this host knows, because it would bring back removed rows. */
  #replace({ rows, version, ageMs }: TableSnapshot): boolean {
    if (version < this.#knownVersion) {
      const message = `read version ${String(version)}, older than known version ${String(this.#knownVersion)}`
      return this.#failed({ code: 'unavailable', step: 'replica.replace', message })
    }
    const current = new Map(rows.map((row) => [row.key, row]))
    const changed = rows.filter((row) => (this.#rows.get(row.key)?.version ?? 0) < row.version)
    const absent = [...this.#rows.values()]
      .filter((row) => !current.has(row.key) && row.version <= version)
      .map(({ key }) => key)
    if (this.#confirmedAtMs !== undefined && eraOf(version) > eraOf(this.#knownVersion)) {
      this.#keepAbsent(absent, version)
    }
    const removed = [...absent.filter((key) => !this.#keptUntilMs.has(key)), ...this.#expired(current)]
    this.#apply(changed, removed)
    this.#advance(version)
    this.#succeeded(ageMs)
    this.#options.listener.onRefreshed({ changed, removed, version })
    return true
  }

  #keepAbsent(absent: readonly string[], version: number): void {
    const { clock, logger, table } = this.#options
    for (const key of absent) this.#keptUntilMs.set(key, clock.monotonicMs() + rewriteMs)
    logger.warn('replica.store_restored', {
      table,
      era: eraOf(version),
      previousEra: eraOf(this.#knownVersion),
      kept: absent.length,
    })
  }

  /** Rows that were kept, and were not written again in time; `present` holds the keys of rows just read. */
  #expired(present: { has: (key: string) => boolean }): string[] {
    const nowMs = this.#options.clock.monotonicMs()
    return [...this.#keptUntilMs]
      .filter(([key, untilMs]) => untilMs <= nowMs && !present.has(key))
      .map(([key]) => key)
  }

  #advance(version: number): void {
    this.#version = version
    this.#knownVersion = Math.max(this.#knownVersion, version)
  }

  async #follow(after: number): Promise<boolean> {
    const { store, table, waitMs, listener } = this.#options
    const read = await store.changes(table, after, waitMs)
    if (read.isErr) {
      if (read.error.code === 'history_lost') {
        this.#version = undefined
        this.#options.logger.warn('replica.history_lost', { table, version: after })
        return this.#readWhole()
      }
      return this.#failed(read.error)
    }
    if (read.value.isWhole === true) {
      return this.#replace({ ...read.value, rows: presentRows(read.value.rows) })
    }
    if (eraOf(read.value.version) > eraOf(after)) {
      this.#version = undefined
      return this.#readWhole()
    }
    const changed: StoredRow[] = []
    const removed: string[] = []
    for (const row of read.value.rows) {
      const known = this.#rows.get(row.key)
      if (known !== undefined && known.version >= row.version) continue
      if ('deleted' in row) removed.push(row.key)
      else changed.push(row)
    }
    removed.push(...this.#expired(new Set([...removed, ...changed.map(({ key }) => key)])))
    this.#apply(changed, removed)
    this.#advance(Math.max(after, read.value.version))
    this.#succeeded(read.value.ageMs)
    listener.onRefreshed({ changed, removed, version: this.#knownVersion })
    return true
  }

  #apply(changed: readonly StoredRow[], removed: readonly string[]): void {
    for (const row of changed) {
      this.#rows.set(row.key, row)
      this.#keptUntilMs.delete(row.key)
    }
    for (const key of removed) {
      this.#rows.delete(key)
      this.#keptUntilMs.delete(key)
    }
  }

  /** `ageMs` is the age of a copy that another host passed on. */
  #succeeded(ageMs = 0): void {
    const { logger, table, clock } = this.#options
    if (this.#failures > 0) {
      logger.info('replica.regained', { table, failures: this.#failures, awayMs: this.ageMs() })
    }
    this.#failures = 0
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? -Infinity, clock.monotonicMs() - ageMs)
  }

  #failed(error: StoreError): boolean {
    const { logger, table } = this.#options
    this.#failures += 1
    if (this.#failures === 1) logger.warn('replica.lost', { table, ...error, ageMs: this.ageMs() })
    return false
  }
}
