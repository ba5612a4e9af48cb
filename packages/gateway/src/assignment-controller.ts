/** Assigns the keys of all sharded services to targets, for as long as this host leads. */
import { KeyLoad, type TargetControl, type TargetSpeeds } from '@pimentotally/assignment'
import type { Clock, Logger } from '@pimentotally/core'
import { storeTables } from '@pimentotally/platform'
import type { RowStore } from '@pimentotally/storage'
import type { Directory, KnownTarget } from './directory.js'
import { ServiceAssignmentController } from './service-assignment-controller.js'
import type { Leadership, Tenure } from './leadership.js'

/** Interval of the control loop; well below the interval at which grants are renewed. */
const tickIntervalMs = 200
/**
 * The leader gives its lease up when more than this share of a service's targets does not answer, as another
 * host may reach more of them.
 */
const maxSilentShare = 0.5
/**
 * The lease is given up only after `maxSilentShare` was exceeded for this time: targets that restart together
 * do not answer any other host either.
 */
const releaseAfterSilenceMs = 1500

export interface AssignmentControllerOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly store: RowStore
  readonly directory: Directory
  readonly leadership: Leadership
  readonly targetControl: TargetControl
  /** How fast targets work, as all hosts observed it. */
  readonly speeds: TargetSpeeds
  /** The longest hold time that targets accept in a grant. */
  readonly maxHoldMs: number
  /** Mean time that a target works on a request to the service. */
  readonly workMs: (service: string) => number
  /** Mean number of requests that run or wait at a target. */
  readonly occupancy: (target: string) => number
  /** Requests a second that the target accepts, if it names a limit that lasts; undefined otherwise. */
  readonly requestLimit: (target: KnownTarget) => number | undefined
  /** Mean factor by which targets of the service work slower than usual for moments. */
  readonly averageSlowdown?: (service: string) => number
  /** Called when a decision was stored, so that other hosts learn of it. */
  readonly stored: () => void
}

export class AssignmentController {
  readonly #options: AssignmentControllerOptions
  readonly #keyLoads = new Map<string, KeyLoad>()
  /**
   * By service. They are kept for the whole term, also while a renewal of the lease is late: only they know
   * which grants were sent, and so from when on an owner that cannot be reached holds no keys.
   */
  readonly #controllers = new Map<string, ServiceAssignmentController>()
  #term: number | undefined
  /** Since when the share of silent targets of some service has been above `maxSilentShare`. */
  #silentSinceMs: number | undefined
  #stopped = false

  constructor(options: AssignmentControllerOptions) {
    this.#options = options
  }

  /** The load of a service, in which its requests are counted by key; undefined when it is not sharded. */
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
      await this.#options.clock.sleep(tickIntervalMs)
      const { tenure, term } = this.#options.leadership
      if (term !== this.#term) this.#closeControllers()
      if (tenure === undefined) continue
      if (tenure.term === this.#term || (await this.#begin(tenure))) this.#tick(tenure)
    }
  }

  /**
   * By target, for the targets of all services: which share of the requests for the target's keys may be sent
   * to it. Has no entry where all of them may, and none at all while this host does not lead.
   */
  shares(): Record<string, number> {
    if (this.#options.leadership.tenure === undefined) return {}
    return Object.fromEntries([...this.#controllers.values()].flatMap((controller) => [...controller.shares]))
  }

  /** No grant is sent after this call. */
  stop(): void {
    this.#stopped = true
    this.#closeControllers()
  }

  #tick(tenure: Tenure): void {
    for (const [service] of this.#options.directory.routes?.configuration.services ?? []) {
      const keyLoad = this.keyLoad(service)
      if (keyLoad !== undefined) this.#controllerOf(service, keyLoad, tenure).tick()
    }
    this.#checkReachability()
  }

  /**
   * Reads the stored assignments before the first decision of a term, as the change feed may not have
   * delivered the latest ones yet. Resolves to false when the term cannot begin now.
   */
  async #begin(tenure: Tenure): Promise<boolean> {
    const { store, directory, logger, leadership } = this.#options
    const read = await store.snapshot(storeTables.routerState)
    if (read.isErr) {
      logger.warn('keys.read_failed', { term: tenure.term, ...read.error })
      return false
    }
    for (const row of read.value.rows) directory.applyRouterStateRow(row)
    if (leadership.term !== tenure.term) return false
    this.#term = tenure.term
    logger.info('keys.begun', { ...tenure, version: read.value.version })
    return !this.#stopped
  }

  #controllerOf(service: string, keyLoad: KeyLoad, tenure: Tenure): ServiceAssignmentController {
    const { workMs, averageSlowdown, leadership, ...options } = this.#options
    let controller = this.#controllers.get(service)
    if (controller === undefined) {
      controller = new ServiceAssignmentController({
        ...options,
        service,
        keyLoad,
        tenure,
        workMs: () => workMs(service),
        averageSlowdown: () => averageSlowdown?.(service) ?? 1,
        remainingMs: () => leadership.remainingMs(tenure.term),
        unstoredRemainingMs: () => leadership.unstoredRemainingMs(tenure.term),
        mayDecide: () => leadership.isOfPresentEra,
        mayLackRows: () => leadership.mayLackRows,
        // Recorded because the next leader has to wait until the grants of the longest hold time have lapsed.
        beforeLongGrant: () => {
          leadership.recordLongGrants()
        },
      })
      this.#controllers.set(service, controller)
    }
    return controller
  }

  #closeControllers(): void {
    for (const controller of this.#controllers.values()) controller.close()
    this.#controllers.clear()
    this.#term = undefined
  }

  /** Requests the release of the lease when this host reaches too few targets of a service for too long. */
  #checkReachability(): void {
    const { clock, leadership } = this.#options
    const silent = Math.max(0, ...[...this.#controllers.values()].map(({ silentShare }) => silentShare))
    const nowMs = clock.monotonicMs()
    if (silent <= maxSilentShare) this.#silentSinceMs = undefined
    else this.#silentSinceMs ??= nowMs
    if (this.#silentSinceMs === undefined || nowMs - this.#silentSinceMs <= releaseAfterSilenceMs) return
    this.#silentSinceMs = undefined
    leadership.requestRelease('targets_silent')
  }
}
