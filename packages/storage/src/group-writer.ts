/** Batches conditional writes of single rows into transactions; a conflict of one row fails no other. */
import { randomUUID } from 'node:crypto'
import { Result } from 'true-myth'
import type { Cancel, Clock } from '@pimentotally/core'
import type { PlatformResult } from './result.js'
import type { TableService } from './table.js'
import { transactResolved } from './transact-resolved.js'

export interface RowWrite {
  readonly key: string
  /** The version that the row must have; 0 requires that it is absent. */
  readonly version: number
  readonly value: string
}

export interface GroupWriterOptions {
  readonly table: TableService
  readonly clock: Clock
  /** How long the first row of a group waits for further rows before the group is written. */
  readonly windowMs?: number
  /** A group of this many rows is written without waiting for more. */
  readonly maxRows?: number
  /** Timeout for writing a group and, after a lost response, finding out its outcome, together. */
  readonly timeoutMs?: number
  /** Timeout of one call to the platform. */
  readonly callTimeoutMs?: number
}

interface Pending extends RowWrite {
  readonly settle: (result: PlatformResult<number>) => void
}

export class GroupWriter {
  readonly #table: TableService
  readonly #clock: Clock
  readonly #windowMs: number
  readonly #maxRows: number
  readonly #timeoutMs: number
  readonly #callTimeoutMs: number
  #group = new Map<string, Pending>()
  /** Writes of rows that are already in the group; they wait, as a transaction puts each row once. */
  #later: Pending[] = []
  #cancelWindow: Cancel | undefined

  constructor({
    table,
    clock,
    windowMs = 5,
    maxRows = 64,
    timeoutMs = 2000,
    callTimeoutMs = 500,
  }: GroupWriterOptions) {
    this.#table = table
    this.#clock = clock
    this.#windowMs = windowMs
    this.#maxRows = maxRows
    this.#timeoutMs = timeoutMs
    this.#callTimeoutMs = callTimeoutMs
  }

  /**
   * Resolves to the new version of the row. `unavailable` means that the row was not written. `unknown` means
   * that the response was lost: the row may have been written, or it was written and has been overwritten
   * since.
   */
  write(row: RowWrite): Promise<PlatformResult<number>> {
    return new Promise((settle) => {
      this.#add({ ...row, settle })
    })
  }

  #add(row: Pending): void {
    if (this.#group.has(row.key)) {
      this.#later.push(row)
      return
    }
    this.#group.set(row.key, row)
    if (this.#group.size >= this.#maxRows) this.#flush()
    else
      this.#cancelWindow ??= this.#clock.schedule(this.#windowMs, () => {
        this.#flush()
      })
  }

  #flush(): void {
    this.#cancelWindow?.()
    this.#cancelWindow = undefined
    const rows = [...this.#group.values()]
    this.#group = new Map()
    const later = this.#later
    this.#later = []
    for (const row of later) this.#add(row)
    void this.#send(rows, 0)
  }

  async #send(rows: readonly Pending[], conflicts: number): Promise<void> {
    if (rows.length === 0) return
    const result = await transactResolved(
      this.#table,
      {
        writeId: randomUUID(),
        conditions: rows.map(({ key, version }) => ({ key, version })),
        puts: rows.map(({ key, value }) => ({ key, value })),
      },
      { clock: this.#clock, timeoutMs: this.#timeoutMs, callTimeoutMs: this.#callTimeoutMs },
    )
    if (result.isOk) {
      for (const { key, settle } of rows) {
        const version = result.value.versions[key]
        settle(
          version === undefined
            ? Result.err({
                code: 'unknown',
                step: 'groupWriter.write',
                message: `row ${key} was overwritten, so its version is not known`,
              })
            : Result.ok(version),
        )
      }
      return
    }
    const { error } = result
    const refused = error.code === 'conflict' ? rows.filter(({ key }) => key === error.key) : rows
    for (const { settle } of refused.length > 0 ? refused : rows) settle(Result.err(error))
    if (refused.length === 0 || refused.length === rows.length) return
    const rest = rows.filter((row) => !refused.includes(row))
    // Each transaction reveals only one conflicting row. From the second conflict on the remaining rows are
    // split into two halves, sent in parallel, so that many conflicts cost few sequential round trips.
    const middle = conflicts === 0 ? rest.length : Math.ceil(rest.length / 2)
    await Promise.all([
      this.#send(rest.slice(0, middle), conflicts + 1),
      this.#send(rest.slice(middle), conflicts + 1),
    ])
  }
}
