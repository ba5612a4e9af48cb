/**
 * The record of a tenure's cell: reads, and conditional writes, alone or together with another cell's record.
 */
import { CellRecord } from '@pimentotally/core'
import { isOutage, type RecordWrite } from './cell-store.js'
import type { CoordinatorSettings } from './options.js'
import type { AssignmentRow } from './assignment-row.js'
import type { Tenure } from './tenure.js'

export class CellRecordRow {
  readonly #settings: CoordinatorSettings
  readonly #tenure: Tenure
  readonly #assignmentRow: AssignmentRow
  #version: number | undefined

  constructor(settings: CoordinatorSettings, tenure: Tenure, assignmentRow: AssignmentRow) {
    this.#settings = settings
    this.#tenure = tenure
    this.#assignmentRow = assignmentRow
  }

  /**
   * Takes over a record from the directory or the platform if it is not older. `version` is its row version,
   * given only if the record was read from the platform.
   */
  useNewerRecord(record: CellRecord, version?: number): void {
    if (record.epoch < this.#tenure.record.epoch) return
    if (version !== undefined || record.epoch > this.#tenure.record.epoch) this.#version = version
    this.#tenure.changeRecord(record)
  }

  /** Reads the cell's record; false when the platform is unavailable or the tenure has ended. */
  async read(): Promise<boolean> {
    const { store, cellId } = this.#settings
    const result = await store.readRecord(cellId)
    this.#assignmentRow.recordReachability(result.isErr)
    if (result.isErr || !this.#tenure.mayContinue()) return false
    if (result.value !== undefined) this.useNewerRecord(result.value.value, result.value.version)
    return true
  }

  /** Reads another cell's record with its version; undefined when it is absent or cannot be read. */
  async readOther(cellId: string): Promise<{ record: CellRecord; version: number } | undefined> {
    const result = await this.#settings.store.readRecord(cellId)
    this.#assignmentRow.recordReachability(result.isErr)
    if (result.isErr || result.value === undefined) return undefined
    return { record: result.value.value, version: result.value.version }
  }

  /**
   * Writes the cell's record as changed by `change`, and other cells' records in the same transaction. The
   * write starts a new term, which is valid once a majority has accepted it.
   */
  async write(
    change: (record: CellRecord) => CellRecord | undefined,
    others: readonly RecordWrite[] = [],
  ): Promise<boolean> {
    const { store, cellId, directory } = this.#settings
    if (this.#version === undefined && !(await this.read())) return false
    if (!this.#tenure.mayContinue() || this.#version === undefined) return false
    const record = change(this.#tenure.record)
    if (record === undefined) return false
    const result = await store.writeRecords([{ cellId, record, version: this.#version }, ...others])
    if (result.isErr) {
      this.#version = undefined
      this.#assignmentRow.recordReachability(isOutage(result.error))
      return false
    }
    this.#assignmentRow.recordReachability(false)
    this.#version = result.value[CellRecord.rowKey(cellId)]
    if (this.#tenure.ended) return false
    for (const other of others) directory.offerCell({ cellId: other.cellId, record: other.record })
    this.#tenure.changeRecord(record)
    return true
  }
}
