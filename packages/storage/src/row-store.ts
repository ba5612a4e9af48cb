/**
 * A store of tables with versioned rows, conditional transactions and a feed of the changes since a given
 * version. All versions come from one counter that rises with each transaction, and are positions (see
 * `store-position.ts`): they go on rising when the store comes back from an older copy.
 */
import type { Result } from 'true-myth'

export interface StoredRow {
  readonly key: string
  readonly value: Buffer
  readonly version: number
}

export interface TableSnapshot {
  readonly rows: readonly StoredRow[]
  /** The version of the store at which the rows were read. */
  readonly version: number
  /** Present when the rows are a copy passed on by another host: how long ago the store confirmed them. */
  readonly ageMs?: number
}

export interface TableChanges {
  /** Changed rows in ascending order of their versions; a deleted row has no value. */
  readonly rows: readonly (
    StoredRow | { readonly key: string; readonly version: number; readonly deleted: true }
  )[]
  /** The version of the store that the changes lead up to; the next call passes it as `after`. */
  readonly version: number
  /** True when `rows` is the whole table, as the changes since the requested version are not known. */
  readonly isWhole?: boolean
  /** Present when the rows are a copy passed on by another host: how long ago the store confirmed them. */
  readonly ageMs?: number
}

/** The rows of a change feed that were not deleted. */
export const presentRows = (rows: TableChanges['rows']): StoredRow[] =>
  rows.flatMap((row) => ('deleted' in row ? [] : [row]))

export interface RowCondition {
  readonly table: string
  readonly key: string
  /** `absentIn` of the present era requires that the row is absent. */
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
  /** The store was not reached, or it refused the call before it did anything. */
  | { readonly code: 'unavailable'; readonly step: string; readonly message: string }
  /** The call was sent and no response came: a write may have taken effect, or may still do so. */
  | { readonly code: 'unknown'; readonly step: string; readonly message: string }
  /** A condition did not hold, or is from an earlier era of the store; nothing was written. */
  | { readonly code: 'conflict'; readonly step: string; readonly message: string }
  /** The changes since the requested version are no longer known; the table must be read again as a whole. */
  | { readonly code: 'history_lost'; readonly step: string; readonly message: string }

export type StoreResult<T> = Result<T, StoreError>

export interface StoreCallOptions {
  readonly timeoutMs?: number
}

export abstract class RowStore {
  abstract snapshot(table: string, options?: StoreCallOptions): Promise<StoreResult<TableSnapshot>>

  /** Long poll: returns at the first change after the version `after`, or without rows after `waitMs`. */
  abstract changes(
    table: string,
    after: number,
    waitMs: number,
    options?: StoreCallOptions,
  ): Promise<StoreResult<TableChanges>>

  /** Applies the whole transaction or nothing; resolves to the version of the written rows. */
  abstract commit(transaction: RowTransaction, options?: StoreCallOptions): Promise<StoreResult<number>>
}
