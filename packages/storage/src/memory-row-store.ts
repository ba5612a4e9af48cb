/** In-memory tables with a change feed: the state behind the stand-ins for the row store. */
import type { RowTransaction, StoredRow, TableChanges } from './row-store.js'

type Change = TableChanges['rows'][number]

/** The rows and the history of a store at one moment. */
export interface MemoryRowStoreCopy {
  readonly tables: ReadonlyMap<string, ReadonlyMap<string, StoredRow>>
  readonly changes: ReadonlyMap<string, readonly Change[]>
  readonly version: number
}

export class MemoryRowStore {
  readonly #tables = new Map<string, Map<string, StoredRow>>()
  readonly #changes = new Map<string, Change[]>()
  readonly #waiters = new Set<() => void>()
  #version = 0
  /** Changes up to and including this version are no longer available. */
  #discardedUpToVersion = 0

  get version(): number {
    return this.#version
  }

  /** All rows of a table in ascending order of their keys. */
  rows(table: string): StoredRow[] {
    return [...(this.#tables.get(table)?.values() ?? [])].sort((a, b) => (a.key < b.key ? -1 : 1))
  }

  row(table: string, key: string): StoredRow | undefined {
    return this.#tables.get(table)?.get(key)
  }

  /** The changes of a table after the given version, or undefined when they are no longer available. */
  changes(table: string, after: number): Change[] | undefined {
    if (after < this.#discardedUpToVersion) return undefined
    return (this.#changes.get(table) ?? []).filter(({ version }) => version > after)
  }

  write(table: string, key: string, value: Buffer): number {
    return this.#apply([{ table, key, value }], [])
  }

  remove(table: string, key: string): void {
    this.#apply([], [{ table, key }])
  }

  /** Returns the new version, or undefined when a condition does not hold and nothing was written. */
  commit({ conditions, writes, deletes = [] }: RowTransaction): number | undefined {
    const holds = conditions.every(
      ({ table, key, version }) => (this.row(table, key)?.version ?? 0) === version,
    )
    return holds ? this.#apply(writes, deletes) : undefined
  }

  copy(): MemoryRowStoreCopy {
    return {
      tables: new Map([...this.#tables].map(([table, rows]) => [table, new Map(rows)])),
      changes: new Map([...this.#changes].map(([table, changes]) => [table, [...changes]])),
      version: this.#version,
    }
  }

  /** Goes back to a copy; its versions go on from there, so that some are given out again. */
  restore({ tables, changes, version }: MemoryRowStoreCopy): void {
    this.#tables.clear()
    for (const [table, rows] of tables) this.#tables.set(table, new Map(rows))
    this.#changes.clear()
    for (const [table, rows] of changes) this.#changes.set(table, [...rows])
    this.#version = version
  }

  discardHistory(): void {
    this.#discardedUpToVersion = this.#version
    this.#changes.clear()
  }

  /** Calls back once, at the next change of any table; returns a function that cancels this. */
  onNextChange(callback: () => void): () => void {
    this.#waiters.add(callback)
    return () => this.#waiters.delete(callback)
  }

  #apply(writes: RowTransaction['writes'], deletes: NonNullable<RowTransaction['deletes']>): number {
    this.#version += 1
    const version = this.#version
    for (const { table, key, value } of writes) {
      const rows = this.#tables.get(table) ?? new Map<string, StoredRow>()
      rows.set(key, { key, value, version })
      this.#tables.set(table, rows)
      this.#recordChange(table, { key, value, version })
    }
    for (const { table, key } of deletes) {
      if (this.#tables.get(table)?.delete(key) === true)
        this.#recordChange(table, { key, version, deleted: true })
    }
    for (const waiter of [...this.#waiters]) {
      this.#waiters.delete(waiter)
      waiter()
    }
    return version
  }

  #recordChange(table: string, change: Change): void {
    const changes = this.#changes.get(table) ?? []
    changes.push(change)
    this.#changes.set(table, changes)
  }
}
