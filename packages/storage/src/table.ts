/** The platform's transactional table service: versioned rows and conditional writes of several rows. */
import type { PlatformResult } from './result.js'

export interface Row {
  readonly key: string
  /** JSON text. */
  readonly value: string
  /** Rises with every write of the row; in conditions, 0 stands for an absent row. */
  readonly version: number
  /** Id of the write that produced this version. */
  readonly writeId: string
}

export interface Transaction {
  /** Unique to each logical write; after a lost response, the rows are searched for it. */
  readonly writeId: string
  /** All must hold; version 0 requires that the row is absent. */
  readonly conditions: readonly { readonly key: string; readonly version: number }[]
  readonly puts: readonly { readonly key: string; readonly value: string }[]
  readonly deletes?: readonly string[]
}

export interface Committed {
  /** New version of each put row. */
  readonly versions: Readonly<Record<string, number>>
}

export interface ScanOptions {
  /** Returns only rows whose key is greater than this one. */
  readonly after?: string
  readonly limit?: number
  /** Returns rows in descending key order; only rows whose key is less than `after` are then returned. */
  readonly reverse?: boolean
}

export interface CallOptions {
  readonly timeoutMs?: number
}

export abstract class TableService {
  abstract read(key: string, options?: CallOptions): Promise<PlatformResult<Row | undefined>>

  abstract scan(prefix: string, options?: ScanOptions & CallOptions): Promise<PlatformResult<readonly Row[]>>

  /** Applies all or nothing. `transactResolved` also finds out the outcome after a lost response. */
  abstract transact(transaction: Transaction, options?: CallOptions): Promise<PlatformResult<Committed>>
}
