/** The platform's transactional table service: rows with versions, conditional writes of several rows at once. */
import type { PlatformResult } from './result.js'

export interface Row {
  readonly key: string
  /** JSON text. */
  readonly value: string
  /** Rises with every write of the row; 0 stands for an absent row. */
  readonly version: number
  /** The write that produced this version. */
  readonly writeId: string
}

export interface Transaction {
  /** New for each logical write; by it a lost answer is resolved. */
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
  /** Rows whose key is greater than this one. */
  readonly after?: string
  readonly limit?: number
  /** Descending key order, from the greatest; `after` is then an upper bound. */
  readonly reverse?: boolean
}

export interface CallOptions {
  readonly timeoutMs?: number
}

export abstract class TableService {
  abstract read(key: string, options?: CallOptions): Promise<PlatformResult<Row | undefined>>

  abstract scan(prefix: string, options?: ScanOptions & CallOptions): Promise<PlatformResult<readonly Row[]>>

  /** All or nothing. An `unknown` error may be resolved with `transactResolved`. */
  abstract transact(transaction: Transaction, options?: CallOptions): Promise<PlatformResult<Committed>>
}
