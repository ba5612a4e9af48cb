/**
 * The store of the ownership tests, in virtual time, and each host's access to it. Faults make calls slow,
 * refuse them, lose their responses, delay the effect of writes by seconds, let a host read old tables, or
 * bring the store back from an older copy.
 */
import { Result } from 'true-myth'
import type { Random } from '@pimentotally/core'
import type { VirtualClock, VirtualTime } from '@pimentotally/core/testing'
import {
  MemoryRowStore,
  RowStore,
  eraOf,
  packPosition,
  versionOf,
  type MemoryRowStoreCopy,
  type RowTransaction,
  type StoreCallOptions,
  type StoreError,
  type StoreResult,
  type TableChanges,
  type TableSnapshot,
} from '@pimentotally/storage'

/** Time that a message takes in one direction. */
export const networkMs = 2

/** The store that all hosts share, with faults that affect all of them. */
export class SimulatedStore extends MemoryRowStore {
  readonly #time: VirtualTime
  /** Calls are answered with status 503. */
  isDown = false
  /** Calls get no response and time out. */
  isSilent = false
  /** Writes take effect, but get no response. */
  losesAnswers = false
  /** Time that each call takes besides the network; a write takes effect in the middle of it. */
  workMs = 0
  /** Bound of a random time that is added to each call; each call then takes effect at a random moment. */
  jitterMs = 0
  /** Whether a transaction fails with a conflict, whatever its conditions. */
  rejects: (transaction: RowTransaction) => boolean = () => false
  /** Rises each time the store comes back from an older copy. */
  era = 0

  constructor(time: VirtualTime) {
    super()
    this.#time = time
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.#time.schedule(delayMs, resolve))
  }

  override commit(transaction: RowTransaction): number | undefined {
    return this.rejects(transaction) ? undefined : super.commit(transaction)
  }

  override restore(copy: MemoryRowStoreCopy): void {
    super.restore(copy)
    this.era += 1
  }

  /** The position of a version in the present era. */
  position(version: number): number {
    return packPosition(this.era, version) ?? 0
  }
}

export interface SimulatedStoreClientOptions {
  /** The host's clock; while it is paused, responses are delivered only after it has resumed. */
  readonly clock?: VirtualClock
  /** Called with each transaction that the host sends. */
  readonly sent?: (transaction: RowTransaction) => void
}

/** How one host reaches the store. */
export class SimulatedStoreClient extends RowStore {
  readonly #store: SimulatedStore
  readonly #random: Random
  readonly #options: SimulatedStoreClientOptions
  /** This host's calls are answered with status 503. */
  isRefused = false
  /** Share of writes that get no response; half of them take effect at once, the others up to 6 s later. */
  lossShare = 0
  /** Share of writes that get no response and take effect seconds later, if their condition still holds. */
  lateShare = 0
  /** Delay of the changes that the feed delivers to this host. */
  feedLagMs = 0
  /** Keys of rows that are left out of what this host reads, by table. */
  readonly #hidden = new Map<string, Set<string>>()
  /** Keys of hidden rows whose removal the feed has not delivered yet, by table. */
  readonly #undeliveredRemovals = new Map<string, Set<string>>()
  /** The highest era that a response has named. */
  #era = 0

  constructor(store: SimulatedStore, random: Random, options: SimulatedStoreClientOptions = {}) {
    super()
    this.#store = store
    this.#random = random
    this.#options = options
  }

  /** From now on this host reads the table without the row, as if it had been removed. */
  hide(table: string, key: string): void {
    this.#hidden.set(table, (this.#hidden.get(table) ?? new Set()).add(key))
    this.#undeliveredRemovals.set(table, (this.#undeliveredRemovals.get(table) ?? new Set()).add(key))
    // Raises the version of the store, so that the removal is newer than the row.
    this.#store.remove(table, '')
  }

  /** Ends `hide`; the feed delivers the row again with its next change. */
  reveal(table: string, key: string): void {
    this.#hidden.get(table)?.delete(key)
    this.#undeliveredRemovals.get(table)?.delete(key)
  }

  override snapshot(table: string, options?: StoreCallOptions): Promise<StoreResult<TableSnapshot>> {
    return this.#deliver(this.#snapshot(table, options))
  }

  override changes(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    return this.#deliver(this.#changes(table, after, waitMs))
  }

  override commit(transaction: RowTransaction, options?: StoreCallOptions): Promise<StoreResult<number>> {
    this.#options.sent?.(transaction)
    return this.#deliver(this.#commit(transaction, options))
  }

  async #snapshot(
    table: string,
    { timeoutMs = 800 }: StoreCallOptions = {},
  ): Promise<StoreResult<TableSnapshot>> {
    const { workMs, effectMs } = this.#drawWork()
    if (workMs >= timeoutMs) {
      await this.#store.sleep(timeoutMs)
      return Result.err(unavailable('snapshot'))
    }
    await this.#store.sleep(networkMs + effectMs)
    if (this.#store.isSilent) await this.#store.sleep(timeoutMs)
    if (this.#isUnavailable()) return Result.err(unavailable('snapshot'))
    const hidden = this.#hidden.get(table)
    const rows = this.#store
      .rows(table)
      .filter(({ key }) => hidden?.has(key) !== true)
      .map((row) => this.#withPosition(row))
    const version = this.#store.position(this.#store.version)
    await this.#store.sleep(workMs - effectMs + networkMs)
    if (!this.#observeEra(version)) return Result.err(unavailable('snapshot'))
    return Result.ok({ rows, version })
  }

  async #changes(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    let waitedMs = 0
    for (;;) {
      await this.#store.sleep(2 * networkMs + (waitedMs === 0 ? this.#drawWork().workMs : 0))
      if (this.#store.isSilent) await this.#store.sleep(waitMs + 800)
      if (this.#isUnavailable()) return Result.err(unavailable('changes'))
      const isOfPresentEra = eraOf(after) === this.#store.era
      const rows = isOfPresentEra ? this.#visibleChanges(table, versionOf(after)) : undefined
      if (rows === undefined)
        return Result.err({ code: 'history_lost', step: 'changes', message: 'forgotten' })
      const version = this.#store.position(this.#store.version)
      const found = rows.map((row) => this.#withPosition(row))
      if (rows.length > 0 || waitedMs >= waitMs) {
        if (this.feedLagMs > 0) await this.#store.sleep(this.feedLagMs)
        if (!this.#observeEra(version)) return Result.err(unavailable('changes'))
        return Result.ok({ rows: found, version })
      }
      const stepMs = Math.max(1, Math.min(50, waitMs - waitedMs))
      await this.#store.sleep(stepMs)
      waitedMs += stepMs
    }
  }

  #visibleChanges(table: string, after: number): TableChanges['rows'] | undefined {
    const rows = this.#store.changes(table, after)
    const hidden = this.#hidden.get(table)
    if (rows === undefined || hidden === undefined) return rows
    const { version } = this.#store
    const removals = [...(this.#undeliveredRemovals.get(table) ?? [])]
    this.#undeliveredRemovals.delete(table)
    return [
      ...rows.filter(({ key }) => !hidden.has(key)),
      ...removals.map((key) => ({ key, version, deleted: true as const })),
    ]
  }

  async #commit(
    { conditions, ...rest }: RowTransaction,
    { timeoutMs = 600 }: StoreCallOptions = {},
  ): Promise<StoreResult<number>> {
    const era = Math.min(...conditions.map(({ version }) => eraOf(version)))
    if (era < this.#era)
      return Result.err({ code: 'conflict', step: 'commit', message: 'condition of an earlier era' })
    const transaction = {
      ...rest,
      conditions: conditions.map(({ version, ...row }) => ({ ...row, version: versionOf(version) })),
    }
    await this.#store.sleep(networkMs)
    if (this.#store.isSilent) return this.#noResponse(timeoutMs)
    if (this.#isUnavailable()) return Result.err(unavailable('commit'))
    if (this.#random.float() < this.lossShare) {
      if (this.#random.float() < 0.5) this.#commitAfter(this.#random.integer(6000), transaction)
      else this.#store.commit(transaction)
      return this.#noResponse(timeoutMs)
    }
    if (this.lateShare > 0 && this.#random.float() < this.lateShare) {
      this.#commitAfter(1000 + this.#random.integer(8000), transaction)
      return this.#noResponse(timeoutMs)
    }
    const { workMs, effectMs } = this.#drawWork()
    if (this.#store.losesAnswers || workMs + 2 * networkMs > timeoutMs) {
      this.#commitAfter(effectMs, transaction)
      return this.#noResponse(timeoutMs)
    }
    await this.#store.sleep(effectMs)
    const version = this.#store.commit(transaction)
    const position = this.#store.position(version ?? 0)
    await this.#store.sleep(workMs - effectMs + networkMs)
    const isLatest = this.#observeEra(position)
    if (version === undefined)
      return Result.err({ code: 'conflict', step: 'commit', message: 'the row has another version' })
    return isLatest && (conditions.length === 0 || era === eraOf(position))
      ? Result.ok(position)
      : Result.err({ code: 'unknown', step: 'commit', message: 'the era changed' })
  }

  #withPosition<T extends { readonly version: number }>(row: T): T {
    return { ...row, version: this.#store.position(row.version) }
  }

  /** Records the era of a response; false for a response of an era that has ended. */
  #observeEra(position: number): boolean {
    this.#era = Math.max(this.#era, eraOf(position))
    return eraOf(position) === this.#era
  }

  #commitAfter(delayMs: number, transaction: RowTransaction): void {
    void this.#store.sleep(delayMs).then(() => this.#store.commit(transaction))
  }

  async #noResponse(timeoutMs: number): Promise<StoreResult<number>> {
    await this.#store.sleep(timeoutMs)
    return Result.err({ code: 'unknown', step: 'commit', message: 'no response' })
  }

  /** Draws how long a call takes, and after which part of that it takes effect. */
  #drawWork(): { readonly workMs: number; readonly effectMs: number } {
    const { workMs, jitterMs } = this.#store
    if (jitterMs === 0) return { workMs, effectMs: workMs / 2 }
    const drawnMs = workMs + this.#random.integer(jitterMs)
    return { workMs: drawnMs, effectMs: this.#random.integer(drawnMs + 1) }
  }

  /** A paused process receives a response only after it has resumed. */
  async #deliver<T>(answer: Promise<T>): Promise<T> {
    const { clock } = this.#options
    const result = await answer
    if (clock?.paused !== true) return result
    return new Promise((resolve) => {
      clock.run(() => {
        resolve(result)
      })
    })
  }

  #isUnavailable(): boolean {
    return this.#store.isDown || this.#store.isSilent || this.isRefused
  }
}

const unavailable = (step: string): StoreError => ({ code: 'unavailable', step, message: 'status 503' })
