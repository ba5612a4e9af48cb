/** The latest changes of one table, kept in memory so that other hosts can follow them without asking the store. */
import type { StoredRow, TableChanges } from '@pimentotally/storage'
import type { ReplicaChange } from './replica.js'

type Change = TableChanges['rows'][number]

/** Some seconds of changes of the largest deployment. */
const maxChanges = 4000

export interface ChangeLogOptions {
  /** Whether a row differs from its predecessor in anything that other hosts need. */
  readonly isRelevant?: (row: StoredRow, previous: StoredRow | undefined) => boolean
}

export class ChangeLog {
  readonly #isRelevant: NonNullable<ChangeLogOptions['isRelevant']>
  readonly #latest = new Map<string, StoredRow>()
  readonly #waiters = new Set<() => void>()
  readonly #confirmationWaiters = new Set<() => void>()
  #changes: Change[] = []
  /** Changes up to this version are not known. */
  #floor: number | undefined
  #version = 0

  constructor({ isRelevant = () => true }: ChangeLogOptions = {}) {
    this.#isRelevant = isRelevant
  }

  get version(): number {
    return this.#version
  }

  record({ changed, removed, version }: ReplicaChange): void {
    this.#floor ??= version
    this.#version = version
    const relevant: Change[] = changed.filter((row) => this.#isRelevant(row, this.#latest.get(row.key)))
    for (const row of changed) this.#latest.set(row.key, row)
    for (const key of removed) {
      this.#latest.delete(key)
      relevant.push({ key, version, deleted: true })
    }
    // A table that was read whole comes in the order of its keys.
    relevant.sort((a, b) => a.version - b.version)
    if (relevant.length === 0) {
      for (const waiter of [...this.#confirmationWaiters]) waiter()
      return
    }
    this.#changes.push(...relevant)
    if (this.#changes.length > maxChanges) {
      const dropped = this.#changes.splice(0, this.#changes.length - maxChanges)
      this.#floor = Math.max(this.#floor, ...dropped.map((change) => change.version))
    }
    for (const waiter of [...this.#waiters]) waiter()
  }

  /** The last change of each row; undefined when changes since that version may have been forgotten. */
  since(after: number): readonly Change[] | undefined {
    if (this.#floor === undefined || after < this.#floor) return undefined
    const newest = new Map<string, Change>()
    for (let index = this.#changes.length - 1; index >= 0; index -= 1) {
      const change = this.#changes[index]
      if (change === undefined || change.version <= after) break
      if (!newest.has(change.key)) newest.set(change.key, change)
    }
    return [...newest.values()].reverse()
  }

  /** The whole table. */
  rows(): readonly StoredRow[] {
    return [...this.#latest.values()]
  }

  /** Calls back whenever the copy was confirmed without a relevant change; returns how to stop waiting. */
  onConfirmed(callback: () => void): () => void {
    this.#confirmationWaiters.add(callback)
    return () => this.#confirmationWaiters.delete(callback)
  }

  /** Calls back at the next relevant change; returns how to stop waiting. */
  onChange(callback: () => void): () => void {
    const waiter = (): void => {
      this.#waiters.delete(waiter)
      callback()
    }
    this.#waiters.add(waiter)
    return () => this.#waiters.delete(waiter)
  }
}
