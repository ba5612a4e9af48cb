/**
 * The durable state of cells on the platform: cell records, first homes and assignment rows. Each write is
 * conditional on the row versions that were read. When the response to a write is lost, the row is read to
 * see whether it carries the id of this write. A write whose effect stays unknown is reported as `unknown`,
 * and is never repeated under another write id unless the row was read again.
 */
import { randomUUID } from 'node:crypto'
import { CellRecord, type Clock } from '@pimentotally/core'
import type {
  CallOptions,
  PlatformError,
  PlatformResult,
  Row,
  TableService,
  Transaction,
} from '@pimentotally/storage'
import { Result } from 'true-myth'
import { Assignment, type StoredAssignment } from './assignment.js'

export interface Versioned<T> {
  readonly value: T
  /** 0 for an absent row. */
  readonly version: number
}

/** The first homes of a service's shards: a Base64 shard bitmap by cell id. */
export interface HomesRow {
  readonly shardCount: number
  readonly cells: Readonly<Record<string, string>>
}

export interface RecordWrite {
  readonly cellId: string
  readonly record: CellRecord
  /** The row version that was read; 0 creates the row. */
  readonly version: number
}

export interface CellStoreOptions {
  readonly table: TableService
  readonly clock: Clock
  /** Time limit of one operation, including the read that resolves a lost response. */
  readonly timeoutMs?: number
  readonly newWriteId?: () => string
}

const homesKey = (service: string): string => `homes/${service}`

export class CellStore {
  readonly #table: TableService
  readonly #clock: Clock
  readonly #timeoutMs: number
  readonly #newWriteId: () => string

  constructor({ table, clock, timeoutMs = 250, newWriteId = randomUUID }: CellStoreOptions) {
    this.#table = table
    this.#clock = clock
    this.#timeoutMs = timeoutMs
    this.#newWriteId = newWriteId
  }

  /** Undefined when the cell has no record. */
  readRecord(cellId: string): Promise<PlatformResult<Versioned<CellRecord> | undefined>> {
    return this.#readJson(CellRecord.rowKey(cellId), (text) => JSON.parse(text) as CellRecord)
  }

  /**
   * Writes one or several records in one transaction: all or none. Resolves to the new row versions by row
   * key.
   */
  writeRecords(writes: readonly RecordWrite[]): Promise<PlatformResult<Readonly<Record<string, number>>>> {
    return this.#write(
      writes.map(({ cellId, record, version }) => ({
        key: CellRecord.rowKey(cellId),
        value: JSON.stringify(record),
        version,
      })),
    )
  }

  readHomes(service: string): Promise<PlatformResult<Versioned<HomesRow> | undefined>> {
    return this.#readJson(homesKey(service), (text) => JSON.parse(text) as HomesRow)
  }

  /** Creates the row; a conflict means that another host has created it. */
  createHomes(service: string, homes: HomesRow): Promise<PlatformResult<Readonly<Record<string, number>>>> {
    return this.#write([{ key: homesKey(service), value: JSON.stringify(homes), version: 0 }])
  }

  readAssignment(cellId: string): Promise<PlatformResult<Versioned<StoredAssignment> | undefined>> {
    return this.#readJson(Assignment.rowKey(cellId), (text) => Assignment.parse(text))
  }

  /** Resolves to the new version. */
  async writeAssignment(
    cellId: string,
    { term, assignment }: StoredAssignment,
    shardCount: (service: string) => number,
    version: number,
  ): Promise<PlatformResult<number>> {
    const key = Assignment.rowKey(cellId)
    const result = await this.#write([{ key, value: assignment.stringify(term, shardCount), version }])
    return result.map((versions) => versions[key] ?? version + 1)
  }

  async #readJson<T>(
    key: string,
    parse: (text: string) => T,
  ): Promise<PlatformResult<Versioned<T> | undefined>> {
    const result = await this.#read(key, this.#timeoutMs)
    if (result.isErr) return Result.err(result.error)
    const row = result.value
    if (row === undefined) return Result.ok(undefined)
    try {
      return Result.ok({ value: parse(row.value), version: row.version })
    } catch (cause) {
      return Result.err({ code: 'unavailable', step: 'table.read', message: `row ${key}: ${String(cause)}` })
    }
  }

  async #write(
    rows: readonly { readonly key: string; readonly value: string; readonly version: number }[],
  ): Promise<PlatformResult<Readonly<Record<string, number>>>> {
    const startedMs = this.#clock.monotonicMs()
    const transaction: Transaction = {
      writeId: this.#newWriteId(),
      conditions: rows.map(({ key, version }) => ({ key, version })),
      puts: rows.map(({ key, value }) => ({ key, value })),
    }
    // A third of the time limit is kept for the read that resolves a lost response.
    const writeTimeoutMs = Math.ceil((this.#timeoutMs * 2) / 3)
    const written = await this.#withTimeout(
      (options) => this.#table.transact(transaction, options),
      writeTimeoutMs,
      'table.transact',
    )
    if (written.isOk) return Result.ok(written.value.versions)
    const [first] = rows
    if (written.error.code !== 'unknown' || first === undefined) return Result.err(written.error)
    const remainingMs = this.#timeoutMs - (this.#clock.monotonicMs() - startedMs)
    const row = await this.#read(first.key, remainingMs)
    if (row.isErr) return Result.err(written.error)
    if (row.value?.writeId === transaction.writeId) {
      return Result.ok(Object.fromEntries(rows.map(({ key, version }) => [key, version + 1])))
    }
    const actualVersion = row.value?.version ?? 0
    if (actualVersion === first.version) return Result.err(written.error)
    return Result.err({
      code: 'conflict',
      step: 'table.transact',
      message: 'another write of the row came first',
      key: first.key,
      actualVersion,
    })
  }

  #read(key: string, timeoutMs: number): Promise<PlatformResult<Row | undefined>> {
    return this.#withTimeout((options) => this.#table.read(key, options), timeoutMs, 'table.read')
  }

  /** Limits a call by this host's own clock, even if the table client does not keep to its `timeoutMs`. */
  async #withTimeout<T>(
    call: (options: CallOptions) => Promise<PlatformResult<T>>,
    timeoutMs: number,
    step: string,
  ): Promise<PlatformResult<T>> {
    const message = `no response within ${String(timeoutMs)} ms`
    if (timeoutMs <= 0) return Result.err({ code: 'unknown', step, message })
    const timer = new AbortController()
    try {
      return await Promise.race([
        call({ timeoutMs }),
        this.#clock
          .sleep(timeoutMs, timer.signal)
          .then(() => Result.err<T, PlatformError>({ code: 'unknown', step, message })),
      ])
    } finally {
      timer.abort()
    }
  }
}

/**
 * False for a version conflict; true for every other error: the platform was not reached or did not respond.
 */
export const isOutage = (error: PlatformError): boolean => error.code !== 'conflict'
