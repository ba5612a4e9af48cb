/**
 * The platform row that stores the assignment of a tenure. Each write is conditional on the row version that
 * was last seen, and reading a row that was written under a higher term ends the tenure. A late write of a
 * superseded coordinator therefore cannot roll the row back.
 */
import type { Fence } from '@pimentotally/core'
import { AssignmentItem, type Assignment, type AssignmentEntry } from './assignment.js'
import { isOutage } from './cell-store.js'
import type { CoordinatorSettings } from './options.js'
import type { Tenure } from './tenure.js'

/**
 * `stored`: the row was read or written. `superseded`: the tenure has ended. `outage`: the platform was not
 * reached, or did not respond (a write may then have taken effect), or three tries of a write in a row were
 * refused because of a version conflict.
 */
export type StoreOutcome = 'stored' | 'outage' | 'superseded'

export class AssignmentRow {
  readonly #settings: CoordinatorSettings
  readonly #tenure: Tenure
  #version: number | undefined
  #retryAtMs = -Infinity
  #isStored = false

  constructor(settings: CoordinatorSettings, tenure: Tenure) {
    this.#settings = settings
    this.#tenure = tenure
  }

  /** False for `platformRetryMs` after a failed call, during which the platform is not called. */
  get isPlatformUsable(): boolean {
    return this.#settings.clock.monotonicMs() >= this.#retryAtMs
  }

  /** True when the platform holds the assignment in force. */
  get isStored(): boolean {
    return this.#isStored
  }

  markUnstored(): void {
    this.#isStored = false
  }

  /** Records after each platform call whether the platform was unavailable. */
  recordReachability(isUnavailable: boolean): void {
    const { clock, platformRetryMs } = this.#settings
    this.#retryAtMs = isUnavailable ? clock.monotonicMs() + platformRetryMs : -Infinity
  }

  /**
   * Reads the row and merges it into the tenure's assignment; ends the tenure when the row has a higher term.
   */
  async read(): Promise<StoreOutcome> {
    const { store, cellId } = this.#settings
    const result = await store.readAssignment(cellId)
    this.recordReachability(result.isErr)
    if (result.isErr) return 'outage'
    if (result.value !== undefined && result.value.value.term > this.#tenure.term) {
      this.#tenure.end('the stored assignment has a higher term')
      return 'superseded'
    }
    this.#version = result.value?.version ?? 0
    if (result.value !== undefined) mergeKnownEntries(this.#tenure, result.value.value.assignment.values())
    return 'stored'
  }

  /** Writes the assignment with `moves` applied; the tenure's own assignment is left as it is. */
  async write(moves: readonly AssignmentEntry[]): Promise<StoreOutcome> {
    const { store, cellId } = this.#settings
    for (let attempt = 0; attempt < 3; attempt += 1) {
      if (this.#version === undefined) {
        const read = await this.read()
        if (read !== 'stored') return read
      }
      if (!this.#tenure.mayContinue()) return 'superseded'
      const assignment = withMoves(this.#tenure.assignment, moves)
      // Shards that are leaving this cell, or whose home is another cell, are left out of the row.
      for (const entry of [...assignment.values()]) {
        if (!this.#tenure.isGrantable(entry.service, entry.shard)) assignment.delete(entry)
      }
      const { term } = this.#tenure
      const result = await store.writeAssignment(
        cellId,
        { term, assignment },
        (service) => this.#tenure.shardCount(service),
        this.#version ?? 0,
      )
      if (result.isOk) {
        this.#version = result.value
        this.recordReachability(false)
        this.#isStored = true
        return 'stored'
      }
      this.#version = undefined
      this.recordReachability(isOutage(result.error))
      if (isOutage(result.error)) return 'outage'
    }
    return 'outage'
  }
}

/** A copy of the assignment with the moves applied, without the overrides that they end. */
export const withMoves = (assignment: Assignment, moves: readonly AssignmentEntry[]): Assignment => {
  const next = assignment.clone()
  for (const move of moves) next.set(move)
  next.merge([])
  return next
}

/**
 * Merges entries into the tenure's assignment by highest fence. If an entry moves an item to another target
 * while the present owner verifies grants and is alive, the item stays with it under a new fence: a move that
 * an earlier coordinator stored but did not carry out is not carried out afterwards.
 */
export const mergeKnownEntries = (tenure: Tenure, entries: Iterable<AssignmentEntry>): void => {
  const { assignment, sessions } = tenure
  const taken: AssignmentEntry[] = []
  for (const entry of entries) {
    const present = assignment.get(AssignmentItem.id(entry))
    if (present !== undefined && entry.fence <= present.fence) continue
    const owner = present === undefined ? undefined : sessions.get(present.target)
    // For an owner that does not verify grants, nothing shows whether the move was carried out: the entry
    // wins.
    const isKept =
      present !== undefined && present.target !== entry.target && owner?.verifies === true && owner.alive
    const fence: Fence = isKept ? tenure.nextFence() : entry.fence
    taken.push(isKept ? { ...present, fence } : entry)
  }
  assignment.merge(taken)
}
