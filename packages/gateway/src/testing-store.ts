/**
 * The store of the ownership tests, in virtual time, and how each host reaches it: slowly, not at all,
 * without answers, with writes that take effect seconds later, or with a copy of the tables that is behind.
 */
import { Result } from 'true-myth'
import type { Random } from '@pimentotally/core'
import type { VirtualClock, VirtualTime } from '@pimentotally/core/testing'
import {
  MemoryRowStore,
  RowStore,
  type RowTransaction,
  type StoreCallOptions,
  type StoreError,
  type StoreResult,
  type TableChanges,
  type TableSnapshot,
} from '@pimentotally/storage'

export const networkMs = 2

/** The store of all hosts, with the time that calls take. */
export class WorldStore extends MemoryRowStore {
  readonly #time: VirtualTime
  isDown = false
  /** Calls get no response, and end with their timeout. */
  isSilent = false
  /** Writes take effect, but get no response. */
  losesAnswers = false
  /** Time that each call takes beyond the network's; a write takes effect in the middle of it. */
  workMs = 0
  /**
   * Up to this much is added to each call at random; a call then takes effect at a random moment of its time.
   */
  jitterMs = 0

  constructor(time: VirtualTime) {
    super()
    this.#time = time
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.#time.schedule(delayMs, resolve))
  }
}

export interface StoreViewOptions {
  /** The host's; while it is paused, answers wait. */
  readonly clock?: VirtualClock
  /** Called with each transaction that the host sends. */
  readonly sent?: (transaction: RowTransaction) => void
}

/** How one host reaches the store. */
export class StoreView extends RowStore {
  readonly #store: WorldStore
  readonly #random: Random
  readonly #options: StoreViewOptions
  isRefused = false
  /** Share of writes whose response is lost, or that are performed late. */
  lossShare = 0
  /** Share of writes that get no response and are performed seconds later, if their condition still holds. */
  lateShare = 0
  /** How far what the feed delivers is behind. */
  feedLagMs = 0
  /** Rows that are missing in what this host reads, by table. */
  readonly #hidden = new Map<string, Set<string>>()
  /** Hidden rows whose removal the feed has not delivered yet. */
  readonly #unseen = new Map<string, Set<string>>()

  constructor(store: WorldStore, random: Random, options: StoreViewOptions = {}) {
    super()
    this.#store = store
    this.#random = random
    this.#options = options
  }

  hide(table: string, key: string): void {
    this.#hidden.set(table, (this.#hidden.get(table) ?? new Set()).add(key))
    this.#unseen.set(table, (this.#unseen.get(table) ?? new Set()).add(key))
    // A version of its own, so that the removal is newer than the row.
    this.#store.remove(table, '')
  }

  /** The row is delivered again with its next change. */
  reveal(table: string, key: string): void {
    this.#hidden.get(table)?.delete(key)
    this.#unseen.get(table)?.delete(key)
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
      return Result.err(away('snapshot'))
    }
    await this.#store.sleep(networkMs + effectMs)
    if (this.#store.isSilent) await this.#store.sleep(timeoutMs)
    if (this.#isAway()) return Result.err(away('snapshot'))
    const hidden = this.#hidden.get(table)
    const rows = this.#store.rows(table).filter(({ key }) => hidden?.has(key) !== true)
    const { version } = this.#store
    await this.#store.sleep(workMs - effectMs + networkMs)
    return Result.ok({ rows, version })
  }

  async #changes(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    let waitedMs = 0
    for (;;) {
      await this.#store.sleep(2 * networkMs + (waitedMs === 0 ? this.#drawWork().workMs : 0))
      if (this.#store.isSilent) await this.#store.sleep(waitMs + 800)
      if (this.#isAway()) return Result.err(away('changes'))
      const rows = this.#visibleChanges(table, after)
      if (rows === undefined)
        return Result.err({ code: 'history_lost', step: 'changes', message: 'forgotten' })
      const { version } = this.#store
      if (rows.length > 0 || waitedMs >= waitMs) {
        if (this.feedLagMs > 0) await this.#store.sleep(this.feedLagMs)
        return Result.ok({ rows, version })
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
    const unseen = [...(this.#unseen.get(table) ?? [])]
    this.#unseen.delete(table)
    return [
      ...rows.filter(({ key }) => !hidden.has(key)),
      ...unseen.map((key) => ({ key, version, deleted: true as const })),
    ]
  }

  async #commit(
    transaction: RowTransaction,
    { timeoutMs = 600 }: StoreCallOptions = {},
  ): Promise<StoreResult<number>> {
    await this.#store.sleep(networkMs)
    if (this.#store.isSilent) return this.#noResponse(timeoutMs)
    if (this.#isAway()) return Result.err(away('commit'))
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
    await this.#store.sleep(workMs - effectMs + networkMs)
    return version === undefined
      ? Result.err({ code: 'conflict', step: 'commit', message: 'another version' })
      : Result.ok(version)
  }

  #commitAfter(delayMs: number, transaction: RowTransaction): void {
    void this.#store.sleep(delayMs).then(() => this.#store.commit(transaction))
  }

  async #noResponse(timeoutMs: number): Promise<StoreResult<number>> {
    await this.#store.sleep(timeoutMs)
    return Result.err({ code: 'unknown', step: 'commit', message: 'no response' })
  }

  #drawWork(): { readonly workMs: number; readonly effectMs: number } {
    const { workMs, jitterMs } = this.#store
    if (jitterMs === 0) return { workMs, effectMs: workMs / 2 }
    const drawnMs = workMs + this.#random.integer(jitterMs)
    return { workMs: drawnMs, effectMs: this.#random.integer(drawnMs + 1) }
  }

  /** A paused process takes its answers when it goes on. */
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

  #isAway(): boolean {
    return this.#store.isDown || this.#store.isSilent || this.isRefused
  }
}

const away = (step: string): StoreError => ({ code: 'unavailable', step, message: 'status 503' })
