/**
 * The latest changes of one table, kept in memory so that other hosts can follow them without asking the
 * store.
 */
import { eraOf, type StoredRow, type TableChanges } from '@pimentotally/storage'
import type { ReplicaChange } from './replica.js'

type Change = TableChanges['rows'][number]

/** Changes that are kept; some seconds of changes of the largest deployment. */
const maxChanges = 4000

export interface ChangeLogOptions {
  /** Whether a row differs from its previous version in anything that other hosts need. */
  readonly isRelevant?: (row: StoredRow, previous: StoredRow | undefined) => boolean
  /**
   * Whether other hosts need a relevant change at once; otherwise they get it when
   * the copy is confirmed next.
   */
  readonly isUrgent?: (row: StoredRow, previous: StoredRow | undefined) => boolean
}

export class ChangeLog {
  readonly #isRelevant: NonNullable<ChangeLogOptions['isRelevant']>
  readonly #isUrgent: NonNullable<ChangeLogOptions['isUrgent']>
  readonly #latest = new Map<string, StoredRow>()
  readonly #urgentChangeWaiters = new Set<() => void>()
  readonly #confirmationWaiters = new Set<() => void>()
  #changes: Change[] = []
  /** Only changes after this version are known for certain; undefined before the first read. */
  #knownAfter: number | undefined
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
    this.#knownAfter ??= version
    if (eraOf(version) > eraOf(this.#version)) {
      // The changes from an earlier era to this one are not known one by one.
      this.#knownAfter = version
      this.#changes = []
      this.#urgentVersion = version
    }
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
    // The rows of a table that was read whole come in the order of their keys.
    relevant.sort((a, b) => a.version - b.version)
    this.#changes.push(...relevant)
    if (this.#changes.length > maxChanges) {
      const dropped = this.#changes.splice(0, this.#changes.length - maxChanges)
      this.#knownAfter = Math.max(this.#knownAfter, ...dropped.map((change) => change.version))
    }
    for (const waiter of [...(isUrgent ? this.#urgentChangeWaiters : this.#confirmationWaiters)]) waiter()
  }

  /**
   * Whether a host that has the table up to version `after` lacks, or may lack, a change that it needs at
   * once.
   */
  hasUrgentSince(after: number): boolean {
    return this.#knownAfter === undefined || after < this.#knownAfter || this.#urgentVersion > after
  }

  /**
   * The last change of each row after version `after`; undefined when some of them may not be kept any more.
   */
  since(after: number): readonly Change[] | undefined {
    if (this.#knownAfter === undefined || after < this.#knownAfter) return undefined
    const newest = new Map<string, Change>()
    for (let index = this.#changes.length - 1; index >= 0; index -= 1) {
      const change = this.#changes[index]
      if (change === undefined || change.version <= after) break
      if (!newest.has(change.key)) newest.set(change.key, change)
    }
    return [...newest.values()].reverse()
  }

  /** The rows of the whole table. */
  rows(): readonly StoredRow[] {
    return [...this.#latest.values()]
  }

  /**
   * Calls back whenever the copy is confirmed without an urgent change; returns a function that ends this.
   */
  onConfirmed(callback: () => void): () => void {
    this.#confirmationWaiters.add(callback)
    return () => this.#confirmationWaiters.delete(callback)
  }

  /** Calls back once, at the next urgent change; returns a function that ends the wait. */
  onUrgentChange(callback: () => void): () => void {
    const waiter = (): void => {
      this.#urgentChangeWaiters.delete(waiter)
      callback()
    }
    this.#urgentChangeWaiters.add(waiter)
    return () => this.#urgentChangeWaiters.delete(waiter)
  }
}
