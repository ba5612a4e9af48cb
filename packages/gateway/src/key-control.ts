/** The leader's work on all services that are divided by key, for as long as this host leads. */
import { KeyLoad, type TargetControl, type TargetSpeeds } from '@pimentotally/assignment'
import type { Clock, Logger } from '@pimentotally/core'
import { storeTables } from '@pimentotally/platform'
import type { RowStore } from '@pimentotally/storage'
import type { Directory } from './directory.js'
import { KeyKeeper } from './key-keeper.js'
import type { Leadership, Tenure } from './leadership.js'

/** Well below the interval of renewals. */
const tickMs = 200
/** A leader that reaches fewer targets leaves the lead to another host. */
const maxSilentShare = 0.5
/** Targets may restart together; another host would find them silent as well. */
const silentForMs = 1500

export interface KeyControlOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly store: RowStore
  readonly directory: Directory
  readonly leadership: Leadership
  readonly calls: TargetControl
  /** What all hosts observed of the targets. */
  readonly speeds: TargetSpeeds
  /** Longest hold that targets accept. */
  readonly maxHoldMs: number
  /** Mean work time of a request to a service. */
  readonly workMs: (service: string) => number
  /** Mean number of requests that run or wait at a target. */
  readonly occupancy: (target: string) => number
  /** Called when a decision is stored, so that other hosts learn of it. */
  readonly stored: () => void
}

export class KeyControl {
  readonly #options: KeyControlOptions
  readonly #keyLoads = new Map<string, KeyLoad>()
  /**
   * They last for the whole term, also while a renewal of the lease is late: what they have granted bounds when owners
   * that cannot be asked hold nothing, and is known to nobody else.
   */
  readonly #keepers = new Map<string, KeyKeeper>()
  #term: number | undefined
  #silentSinceMs: number | undefined
  #stopped = false

  constructor(options: KeyControlOptions) {
    this.#options = options
  }

  /** Where requests by key are counted; undefined for a service that is not divided by key. */
  keyLoad(service: string): KeyLoad | undefined {
    const { routes } = this.#options.directory
    if (routes?.configuration.services.get(service)?.isSharded !== true) return undefined
    let load = this.#keyLoads.get(service)
    if (load === undefined) {
      load = new KeyLoad()
      this.#keyLoads.set(service, load)
    }
    return load
  }

  async run(): Promise<void> {
    while (!this.#stopped) {
      await this.#options.clock.sleep(tickMs)
      const { tenure, term } = this.#options.leadership
      if (term !== this.#term) this.#closeKeepers()
      if (tenure === undefined) continue
      if (tenure.term === this.#term || (await this.#begin(tenure))) this.#tick(tenure)
    }
  }

  /** Shares below 1 of all services; empty while this host does not lead. */
  shares(): Record<string, number> {
    if (this.#options.leadership.tenure === undefined) return {}
    return Object.fromEntries([...this.#keepers.values()].flatMap((keeper) => [...keeper.shares]))
  }

  /** No grant is sent after this call. */
  stop(): void {
    this.#stopped = true
    this.#closeKeepers()
  }

  #tick(tenure: Tenure): void {
    for (const [service] of this.#options.directory.routes?.configuration.services ?? []) {
      const keyLoad = this.keyLoad(service)
      if (keyLoad !== undefined) this.#keeper(service, keyLoad, tenure).tick()
    }
    this.#checkReach()
  }

  /** Decisions build on what is stored now, not on what the feed has delivered so far. */
  async #begin(tenure: Tenure): Promise<boolean> {
    const { store, directory, logger, leadership } = this.#options
    const read = await store.snapshot(storeTables.own)
    if (read.isErr) {
      logger.warn('keys.read_failed', { term: tenure.term, ...read.error })
      return false
    }
    for (const row of read.value.rows) directory.applyOwnRow(row)
    if (leadership.term !== tenure.term) return false
    this.#term = tenure.term
    logger.info('keys.begun', { ...tenure, version: read.value.version })
    return !this.#stopped
  }

  #keeper(service: string, keyLoad: KeyLoad, tenure: Tenure): KeyKeeper {
    const { workMs, leadership, ...options } = this.#options
    let keeper = this.#keepers.get(service)
    if (keeper === undefined) {
      keeper = new KeyKeeper({
        ...options,
        service,
        keyLoad,
        tenure,
        workMs: () => workMs(service),
        remainingMs: () => leadership.remainingMs(tenure.term),
        extending: () => {
          leadership.noteLongGrants()
        },
      })
      this.#keepers.set(service, keeper)
    }
    return keeper
  }

  #closeKeepers(): void {
    for (const keeper of this.#keepers.values()) keeper.close()
    this.#keepers.clear()
    this.#term = undefined
  }

  #checkReach(): void {
    const { clock, leadership } = this.#options
    const silent = Math.max(0, ...[...this.#keepers.values()].map(({ silentShare }) => silentShare))
    const nowMs = clock.monotonicMs()
    if (silent <= maxSilentShare) this.#silentSinceMs = undefined
    else this.#silentSinceMs ??= nowMs
    if (this.#silentSinceMs === undefined || nowMs - this.#silentSinceMs <= silentForMs) return
    this.#silentSinceMs = undefined
    leadership.requestRelease('targets_silent')
  }
}
