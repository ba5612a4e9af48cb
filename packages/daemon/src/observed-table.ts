/** A table service that counts its calls for the metrics and remembers whether the platform responds. */
import type { Clock } from '@pimentotally/core'
import {
  TableService,
  type CallOptions,
  type Committed,
  type PlatformResult,
  type Row,
  type ScanOptions,
  type Transaction,
} from '@pimentotally/storage'
import type { Metrics } from './metrics.js'

/** How long after a failed call the platform counts as unreachable, unless a later call gets a response. */
const failureWindowMs = 5000

export class ObservedTable extends TableService {
  readonly #table: TableService
  readonly #clock: Clock
  readonly #metrics: Metrics
  #failedAtMs = -Infinity
  #respondedAtMs = -Infinity

  constructor(table: TableService, { clock, metrics }: { clock: Clock; metrics: Metrics }) {
    super()
    this.#table = table
    this.#clock = clock
    this.#metrics = metrics
  }

  /** False when the last call got no response and ended less than `failureWindowMs` ago. */
  get isReachable(): boolean {
    return (
      this.#respondedAtMs > this.#failedAtMs || this.#clock.monotonicMs() - this.#failedAtMs > failureWindowMs
    )
  }

  override read(key: string, options?: CallOptions): Promise<PlatformResult<Row | undefined>> {
    return this.#observe('read', this.#table.read(key, options))
  }

  override scan(
    prefix: string,
    options?: ScanOptions & CallOptions,
  ): Promise<PlatformResult<readonly Row[]>> {
    return this.#observe('scan', this.#table.scan(prefix, options))
  }

  override transact(transaction: Transaction, options?: CallOptions): Promise<PlatformResult<Committed>> {
    return this.#observe('transact', this.#table.transact(transaction, options))
  }

  async #observe<T>(operation: string, call: Promise<PlatformResult<T>>): Promise<PlatformResult<T>> {
    const result = await call
    const gotResponse = result.isOk || result.error.code === 'conflict'
    if (gotResponse) this.#respondedAtMs = this.#clock.monotonicMs()
    else this.#failedAtMs = this.#clock.monotonicMs()
    this.#metrics.tableCalls.inc({ operation, result: result.isOk ? 'ok' : result.error.code })
    return result
  }
}
