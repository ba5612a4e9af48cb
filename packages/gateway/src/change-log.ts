/** The latest changes of one table, kept in memory so that other hosts can follow them without asking the store. */
import type { StoredRow, TableChanges } from '@pimentotally/storage'
import type { ReplicaChange } from './replica.js'

type Change = TableChanges['rows'][number]

/** Some seconds of changes of the largest deployment. */
const maxChanges = 4000

export interface ChangeLogOptions {
  /** Whether a row differs from its predecessor in anything that other hosts need. */
  readonly isRelevant?: (row: StoredRow, previous: StoredRow | undefined) => boolean
  /** Whether other hosts need a relevant change at once; otherwise they get it with the next confirmation. */
  readonly isUrgent?: (row: StoredRow, previous: StoredRow | undefined) => boolean
}

export class ChangeLog {
  readonly #isRelevant: NonNullable<ChangeLogOptions['isRelevant']>
  readonly #isUrgent: NonNullable<ChangeLogOptions['isUrgent']>
  readonly #latest = new Map<string, StoredRow>()
  readonly #waiters = new Set<() => void>()
  readonly #confirmationWaiters = new Set<() => void>()
  #changes: Change[] = []
  /** Changes up to this version are not known. */
  #floor: number | undefined
  #version = 0
  #urgentVersion = 0

  constructor({ isRelevant = () => true, isUrgent = () => true }: ChangeLogOptions = {}) {
    this.#isRelevant = isRelevant
    this.#isUrgent = isUrgent
  }

  get version(): number {
    return this.#version
  }

  record({ changed, removed, version }: ReplicaChange): void {
    this.#floor ??= version
    this.#version = version
    const relevant: Change[] = []
    let isUrgent = removed.length > 0
    for (const row of changed) {
      const previous = this.#latest.get(row.key)
      this.#latest.set(row.key, row)
      if (!this.#isRelevant(row, previous)) continue
      relevant.push(row)
      isUrgent ||= this.#isUrgent(row, previous)
    }
    for (const key of removed) {
      this.#latest.delete(key)
      relevant.push({ key, version, deleted: true })
    }
    if (isUrgent) this.#urgentVersion = version
    // A table that was read whole comes in the order of its keys.
    relevant.sort((a, b) => a.version - b.version)
    this.#changes.push(...relevant)
    if (this.#changes.length > maxChanges) {
      const dropped = this.#changes.splice(0, this.#changes.length - maxChanges)
      this.#floor = Math.max(this.#floor, ...dropped.map((change) => change.version))
    }
    for (const waiter of [...(isUrgent ? this.#waiters : this.#confirmationWaiters)]) waiter()
  }

  /** Whether a host with that version lacks a change that it needs at once. */
  hasUrgentSince(after: number): boolean {
    return this.#floor === undefined || after < this.#floor || this.#urgentVersion > after
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

  /** Calls back when the copy is confirmed next without an urgent change; returns how to stop waiting. */
  onConfirmed(callback: () => void): () => void {
    this.#confirmationWaiters.add(callback)
    return () => this.#confirmationWaiters.delete(callback)
  }

  /** Calls back at the next urgent change; returns how to stop waiting. */
  onUrgentChange(callback: () => void): () => void {
    const waiter = (): void => {
      this.#waiters.delete(waiter)
      callback()
    }
    this.#waiters.add(waiter)
    return () => this.#waiters.delete(waiter)
  }
}
