/** In-memory table service, for tests and as the state of the stand-in platform. */
import { Result } from 'true-myth'
import { SystemClock, type Clock } from '@pimentotally/core'
import {
  NoFaults,
  performWithFault,
  type FaultSource,
  type MemoryServiceOptions,
  type PlatformCall,
} from './fault.js'
import type { PlatformResult } from './result.js'
import {
  TableService,
  type CallOptions,
  type Committed,
  type Row,
  type ScanOptions,
  type Transaction,
} from './table.js'

export class MemoryTable extends TableService {
  readonly #clock: Clock
  readonly #faults: FaultSource
  readonly #timeoutMs: number
  readonly #rows = new Map<string, Row>()
  /** Sorted keys, so that scans need no sorting. */
  readonly #keys: string[] = []
  /** One counter for all rows, so that a row that is deleted and inserted again gets a higher version. */
  #lastVersion = 0

  constructor({
    clock = new SystemClock(),
    faults = new NoFaults(),
    timeoutMs = 1000,
  }: MemoryServiceOptions = {}) {
    super()
    this.#clock = clock
    this.#faults = faults
    this.#timeoutMs = timeoutMs
  }

  override read(key: string, options: CallOptions = {}): Promise<PlatformResult<Row | undefined>> {
    return this.#call({ step: 'table.read', kind: 'read', keys: [key] }, options, () =>
      Result.ok(this.#rows.get(key)),
    )
  }

  override scan(
    prefix: string,
    options: ScanOptions & CallOptions = {},
  ): Promise<PlatformResult<readonly Row[]>> {
    return this.#call({ step: 'table.scan', kind: 'read', keys: [prefix] }, options, () =>
      Result.ok(this.#scan(prefix, options)),
    )
  }

  override transact(transaction: Transaction, options: CallOptions = {}): Promise<PlatformResult<Committed>> {
    const keys = [...transaction.puts.map(({ key }) => key), ...(transaction.deletes ?? [])]
    return this.#call({ step: 'table.transact', kind: 'write', keys }, options, () =>
      this.#transact(transaction),
    )
  }

  #call<T>(
    call: PlatformCall,
    { timeoutMs = this.#timeoutMs }: CallOptions,
    perform: () => PlatformResult<T>,
  ): Promise<PlatformResult<T>> {
    return performWithFault({ clock: this.#clock, faults: this.#faults, timeoutMs, call, perform })
  }

  /** Index of the first key that is not less than `key`. */
  #indexOf(key: string): number {
    let [low, high] = [0, this.#keys.length]
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.#keys[middle] ?? '') < key) low = middle + 1
      else high = middle
    }
    return low
  }

  #scan(prefix: string, { after, limit = Infinity, reverse = false }: ScanOptions): Row[] {
    const rows: Row[] = []
    const take = (key: string | undefined): boolean => {
      const row = key?.startsWith(prefix) === true ? this.#rows.get(key) : undefined
      if (row === undefined || rows.length >= limit) return false
      rows.push(row)
      return true
    }
    if (reverse) {
      const beyond = after !== undefined && after < `${prefix}\uffff` ? after : `${prefix}\uffff`
      for (let index = this.#indexOf(beyond) - 1; take(this.#keys[index]); index -= 1);
    } else {
      const from = after !== undefined && after >= prefix ? `${after}\0` : prefix
      for (let index = this.#indexOf(from); take(this.#keys[index]); index += 1);
    }
    return rows
  }

  #transact({ writeId, conditions, puts, deletes = [] }: Transaction): PlatformResult<Committed> {
    for (const { key, version } of conditions) {
      const actualVersion = this.#rows.get(key)?.version ?? 0
      if (actualVersion !== version) {
        return Result.err({
          code: 'conflict',
          step: 'table.transact',
          message: `row ${key} has version ${String(actualVersion)}, not ${String(version)}`,
          key,
          actualVersion,
        })
      }
    }
    const versions: Record<string, number> = {}
    for (const { key, value } of puts) {
      const version = (this.#lastVersion += 1)
      if (!this.#rows.has(key)) this.#keys.splice(this.#indexOf(key), 0, key)
      this.#rows.set(key, { key, value, version, writeId })
      versions[key] = version
    }
    for (const key of deletes) {
      if (this.#rows.delete(key)) this.#keys.splice(this.#indexOf(key), 1)
    }
    return Result.ok({ versions })
  }
}
