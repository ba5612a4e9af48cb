/**
 * A store of tables whose changes can be followed: versioned rows, conditional transactions, and a feed of what has
 * changed since a version. Every version comes from one counter that rises with each transaction.
 */
import type { Result } from 'true-myth'

export interface StoredRow {
  readonly key: string
  readonly value: Buffer
  readonly version: number
}

export interface TableSnapshot {
  readonly rows: readonly StoredRow[]
  /** The version as of which the rows were read. */
  readonly version: number
  /** How long ago the store confirmed them, for a copy that another host passed on. */
  readonly ageMs?: number
}

export interface TableChanges {
  /** In the order of their versions; a deleted row has no value. */
  readonly rows: readonly (
    StoredRow | { readonly key: string; readonly version: number; readonly deleted: true }
  )[]
  readonly version: number
  /** The rows are the whole table, because the changes are not known. */
  readonly isWhole?: boolean
  /** How long ago the store confirmed them, for a copy that another host passed on. */
  readonly ageMs?: number
}

/** The rows that were not deleted. */
export const presentRows = (rows: TableChanges['rows']): StoredRow[] =>
  rows.flatMap((row) => ('deleted' in row ? [] : [row]))

export interface RowCondition {
  readonly table: string
  readonly key: string
  /** 0 requires that the row is absent. */
  readonly version: number
}

export interface RowPut {
  readonly table: string
  readonly key: string
  readonly value: Buffer
}

export interface RowTransaction {
  readonly conditions: readonly RowCondition[]
  readonly writes: readonly RowPut[]
  readonly deletes?: readonly { readonly table: string; readonly key: string }[]
}

export type StoreError =
  /** Not reached, or it refused before it did anything. */
  | { readonly code: 'unavailable'; readonly step: string; readonly message: string }
  /** Sent, and no response came: a write may have taken effect, or may still do. */
  | { readonly code: 'unknown'; readonly step: string; readonly message: string }
  /** A condition did not hold; nothing was written. */
  | { readonly code: 'conflict'; readonly step: string; readonly message: string }
  /** The changes since that version are no longer known; the table has to be read anew. */
  | { readonly code: 'history_lost'; readonly step: string; readonly message: string }

export type StoreResult<T> = Result<T, StoreError>

export interface StoreCallOptions {
  readonly timeoutMs?: number
}

export abstract class RowStore {
  abstract snapshot(table: string, options?: StoreCallOptions): Promise<StoreResult<TableSnapshot>>

  /** Returns at the first change after that version, or without rows after `waitMs`. */
  abstract changes(
    table: string,
    after: number,
    waitMs: number,
    options?: StoreCallOptions,
  ): Promise<StoreResult<TableChanges>>

  /** All or nothing; resolves to the version of the written rows. */
  abstract commit(transaction: RowTransaction, options?: StoreCallOptions): Promise<StoreResult<number>>
}
