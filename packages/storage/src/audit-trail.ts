/**
 * The audit trail: one table row for each configuration change, refused change and refused credential. Row
 * keys begin with the time, so a reverse scan lists the newest entries first. While the platform is down,
 * entries wait in a bounded queue; the number of entries dropped because the queue was full is recorded as an
 * entry of its own.
 */
import { randomUUID } from 'node:crypto'
import { Result } from 'true-myth'
import { SilentLogger, SystemClock, type Cancel, type Clock, type Logger } from '@pimentotally/core'
import type { PlatformResult } from './result.js'
import type { Row, TableService, Transaction } from './table.js'
import { transactResolved } from './transact-resolved.js'

export interface AuditEntry {
  readonly who: string
  /** What was attempted, for example `apply` or `domain.out`. */
  readonly action: string
  /** What the action concerned, for example the name of a domain or of a file. */
  readonly subject: string
  /** Version of the configuration before the action; 0 for an entry that names no version. */
  readonly versionBefore: number
  readonly versionAfter: number
  readonly outcome: string
  readonly details: string
}

export interface RecordedAuditEntry extends AuditEntry {
  /** Wall clock of the host that made the entry, in ISO 8601. */
  readonly time: string
  /** Row key; passed to `list` as `before`, it lists the older entries. */
  readonly key: string
}

export interface AuditTrailOptions {
  readonly table: TableService
  /** Distinguishes the keys of hosts that write in the same millisecond. */
  readonly hostId: string
  readonly clock?: Clock
  readonly logger?: Logger
  /** Entries that may wait for the platform; further ones are dropped and counted. */
  readonly queueLimit?: number
  readonly retryIntervalMs?: number
  readonly callTimeoutMs?: number
}

/** The row of an entry. Whoever writes it adds the condition that the key does not exist yet. */
export interface AuditRow {
  readonly key: string
  readonly value: string
}

const rowKeyPrefix = 'audit/'
/** In characters. Bounds the size of a row; longer details are cut off. */
const maxDetailsLength = 1000

export class AuditTrail {
  readonly #table: TableService
  readonly #hostId: string
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #queueLimit: number
  readonly #retryIntervalMs: number
  readonly #callTimeoutMs: number
  readonly #queue: AuditRow[] = []
  #counter = 0
  #dropped = 0
  #flushing: Promise<void> | undefined
  #cancelRetry: Cancel | undefined
  #closed = false

  constructor({
    table,
    hostId,
    clock = new SystemClock(),
    logger = new SilentLogger(),
    queueLimit = 1000,
    retryIntervalMs = 1000,
    callTimeoutMs = 1000,
  }: AuditTrailOptions) {
    this.#table = table
    this.#hostId = hostId
    this.#clock = clock
    this.#logger = logger
    this.#queueLimit = queueLimit
    this.#retryIntervalMs = retryIntervalMs
    this.#callTimeoutMs = callTimeoutMs
  }

  /** Number of entries that are not yet written to the platform. */
  get queued(): number {
    return this.#queue.length
  }

  /**
   * Builds the row of an entry without writing it, so that the transaction that makes the change can also
   * write the entry. `id` must not have been used for an earlier entry.
   */
  toRow(entry: AuditEntry, id?: string): AuditRow {
    const atMs = this.#clock.wallMs()
    this.#counter += 1
    const suffix = id ?? `${String(this.#counter).padStart(8, '0')}-${this.#hostId}`
    const value: Omit<RecordedAuditEntry, 'key'> = {
      ...entry,
      details: entry.details.slice(0, maxDetailsLength),
      time: new Date(atMs).toISOString(),
    }
    return {
      key: `${rowKeyPrefix}${String(Math.floor(atMs)).padStart(15, '0')}/${suffix}`,
      value: JSON.stringify(value),
    }
  }

  /**
   * Writes an entry in a transaction that contains only audit rows. Resolves to `queued` when the entry could
   * not be written yet and will be retried; never rejects.
   */
  async append(entry: AuditEntry, id?: string): Promise<'written' | 'queued' | 'dropped'> {
    const row = this.toRow(entry, id)
    if (this.#queue.length >= this.#queueLimit) {
      this.#dropped += 1
      this.#logger.warn('audit queue is full; entry dropped', {
        step: 'audit.append',
        action: entry.action,
        who: entry.who,
      })
      return 'dropped'
    }
    this.#queue.push(row)
    // A scheduled retry means that the last write failed, so the caller does not wait for the next failure.
    if (this.#cancelRetry !== undefined) return 'queued'
    await this.flush()
    return this.#queue.includes(row) ? 'queued' : 'written'
  }

  /** Writes the queued entries in order and stops at the first failure. */
  async flush(): Promise<void> {
    // A flush in progress may end without having tried the newest entry, so another one follows it.
    while (this.#flushing !== undefined) await this.#flushing
    if (this.#queue.length === 0 && this.#dropped === 0) return
    this.#flushing = this.#drain().finally(() => (this.#flushing = undefined))
    await this.#flushing
  }

  /** Lists the newest entries first; `before` is the key of the last entry on the previous page. */
  async list({ limit = 100, before }: { limit?: number; before?: string } = {}): Promise<
    PlatformResult<readonly RecordedAuditEntry[]>
  > {
    const rows = await this.#table.scan(rowKeyPrefix, {
      limit,
      reverse: true,
      timeoutMs: this.#callTimeoutMs,
      ...(before === undefined ? {} : { after: before }),
    })
    return rows.isErr ? Result.err(rows.error) : Result.ok(rows.value.flatMap(parseRow))
  }

  /** Stops retrying. Entries that are still queued are lost; their number is logged. */
  close(): void {
    this.#closed = true
    this.#cancelRetry?.()
    if (this.#queue.length > 0) {
      this.#logger.warn('audit entries not written before shutdown were lost', {
        step: 'audit.close',
        entries: this.#queue.length,
      })
    }
  }

  async #drain(): Promise<void> {
    while (this.#queue.length > 0 || this.#dropped > 0) {
      const batch = this.#queue.slice(0, 32)
      // A batch of fewer than 32 rows contains all that are queued. The row that records the number of
      // dropped entries is added only to such a batch.
      const dropped = batch.length < 32 ? this.#dropped : 0
      const puts =
        dropped === 0
          ? batch
          : [
              ...batch,
              this.toRow({
                who: this.#hostId,
                action: 'audit.dropped',
                subject: this.#hostId,
                versionBefore: 0,
                versionAfter: 0,
                outcome: 'recorded',
                details: `${String(dropped)} entries dropped`,
              }),
            ]
      const transaction: Transaction = {
        writeId: randomUUID(),
        conditions: puts.map(({ key }) => ({ key, version: 0 })),
        puts,
      }
      const written = await transactResolved(this.#table, transaction, {
        clock: this.#clock,
        timeoutMs: 2 * this.#callTimeoutMs,
        callTimeoutMs: this.#callTimeoutMs,
      })
      // Every row requires that its key is absent, so a conflict means that an earlier attempt has already
      // written one of them. Writing each row in its own transaction keeps that row from failing the others.
      if (written.isErr && written.error.code === 'conflict') {
        if (!(await this.#writeSingly(batch))) break
        this.#queue.splice(0, batch.length)
        continue
      }
      if (written.isErr) break
      this.#queue.splice(0, batch.length)
      this.#dropped -= dropped
    }
    this.#cancelRetry?.()
    this.#cancelRetry = undefined
    if ((this.#queue.length > 0 || this.#dropped > 0) && !this.#closed) {
      this.#cancelRetry = this.#clock.schedule(this.#retryIntervalMs, () => void this.flush())
    }
  }

  /**
   * Writes each row in a transaction of its own; a row that exists already counts as written. False when a
   * write failed for another reason; the rows after it were not tried.
   */
  async #writeSingly(batch: readonly AuditRow[]): Promise<boolean> {
    for (const row of batch) {
      const written = await this.#table.transact(
        { writeId: randomUUID(), conditions: [{ key: row.key, version: 0 }], puts: [row] },
        { timeoutMs: this.#callTimeoutMs },
      )
      if (written.isErr && written.error.code !== 'conflict') return false
    }
    return true
  }
}

/** The entry that the row stores, as a list of one; an empty list when the row is not valid JSON. */
const parseRow = ({ key, value }: Row): RecordedAuditEntry[] => {
  try {
    return [{ ...(JSON.parse(value) as Omit<RecordedAuditEntry, 'key'>), key }]
  } catch {
    return []
  }
}
