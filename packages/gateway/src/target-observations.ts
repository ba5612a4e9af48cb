/** What this host itself observes of each target: load, connections, failures to connect, and sends while cold. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Clock, Logger } from '@pimentotally/core'
import { IdleCloseReason, KeepAliveAgent } from '@pimentotally/http'
import { readColdRemainingMs, readLoad } from '@pimentotally/platform'
import {
  ColdRequestLimiter,
  TargetLoad,
  hostColdRate,
  decay,
  type LoadReport,
  type Service,
} from '@pimentotally/routing'
import type { Directory, KnownTarget } from './directory.js'
import type { Reachability } from './reachability.js'
import type { LostReason } from './target-exchange.js'

/** Targets close idle connections after ten seconds or more; shorter avoids the race. */
const idleTimeoutMs = 8000
/** After a failed connection a target is tried again after this time, doubled for each failure. */
const firstPauseMs = 200
/** A target that is back is found within this time. */
const maxPauseMs = 1600
/** A target that does not answer any request for this long is treated as silent. */
const silentAfterMs = 700
/** The same as a multiple of the predicted time. */
const silentFactor = 4
/** Share of a target's connections that all hosts together use. */
const connectionShare = 0.85
/** One for requests and one for a request that takes long. */
const minConnections = 2
/** Weight of a new report in a service's usual occupancy. */
const usualRate = 0.1
/** After this time without a report the usual occupancy counts for 1/e, so that a refused service is tried again. */
const usualMemoryMs = 2500
/** Resets in a row, without a response in between, from which on a target is taken for full. */
const resetsOfFullTarget = 2
/** A full target is left alone for this time; its queue falls by some requests meanwhile. */
const fullPauseMs = 400
/** After bytes that nobody asked for, connections to the target are not reused for requests that run once. */
const distrustMs = 8000

export interface TargetTableOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly hostName: string
  /** Takes each report of a target's queue. */
  readonly observeOccupancy?: (target: string, occupancy: number) => void
  /** Is told which targets answer, and which cannot be connected to. */
  readonly reachability?: Reachability
  /** Mean number of requests at a target of the service, over all hosts; undefined while it is not known. */
  readonly meanOccupancy?: (service: string) => number | undefined
}

export class ObservedTarget {
  readonly load = new TargetLoad()
  readonly cold = new ColdRequestLimiter()
  agent: KeepAliveAgent | undefined
  agentAddress = ''
  agentConnections = 0
  pausedUntilMs = 0
  connectFailures = 0
  reuseUnsafeUntilMs = 0
  /** When the oldest request without a response since the last response was sent. */
  unansweredSinceMs: number | undefined
  coldUntilMs = 0
  resetsInRow = 0
  fullUntilMs = 0

  /** Whether requests are out and nothing has come back for long. */
  isSilent(nowMs: number, predictedMs: number): boolean {
    if (this.load.inFlight === 0 || this.unansweredSinceMs === undefined) return false
    return nowMs - this.unansweredSinceMs > Math.max(silentAfterMs, silentFactor * predictedMs)
  }
}

export class TargetObservations {
  readonly #options: TargetTableOptions
  readonly #observed = new Map<string, ObservedTarget>()
  readonly #usual = new Map<string, { readonly occupancy: number; readonly atMs: number }>()

  constructor(options: TargetTableOptions) {
    this.#options = options
  }

  of(id: string): ObservedTarget {
    let observed = this.#observed.get(id)
    if (observed === undefined) {
      observed = new ObservedTarget()
      this.#observed.set(id, observed)
    }
    return observed
  }

  /** Mean occupancy of the service's targets: that of all hosts, or else from reports to this one. */
  averageOccupancy(service: string): number {
    return this.#options.meanOccupancy?.(service) ?? this.#ownOccupancy(service)
  }

  #ownOccupancy(service: string): number {
    const usual = this.#usual.get(service)
    if (usual === undefined) return 0
    return usual.occupancy * decay(this.#options.clock.monotonicMs() - usual.atMs, usualMemoryMs)
  }

  /** Whether this host's share of the target's connections leaves one for another request. */
  hasFreeConnection(target: KnownTarget, service: Service): boolean {
    return this.of(target.id).load.inFlight < this.#connectionLimit(service)
  }

  agent(target: KnownTarget, service: Service): KeepAliveAgent {
    const observed = this.of(target.id)
    const connections = this.#connectionLimit(service)
    if (
      observed.agent === undefined ||
      observed.agentAddress !== target.address ||
      observed.agentConnections !== connections
    ) {
      observed.agent?.dropIdle()
      observed.agentAddress = target.address
      observed.agentConnections = connections
      observed.agent = new KeepAliveAgent({
        connections,
        idleTimeoutMs,
        onIdleClosed: (event) => {
          if (event !== IdleCloseReason.unsolicitedBytes) return
          observed.reuseUnsafeUntilMs = this.#options.clock.monotonicMs() + distrustMs
          this.#options.logger.info('connection.closed', { target: target.id, reason: event })
        },
      })
    }
    return observed.agent
  }

  started(id: string): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(id)
    observed.load.started()
    observed.cold.record(nowMs)
    observed.unansweredSinceMs ??= nowMs
  }

  /** The request has a result or was cancelled. */
  ended(id: string): void {
    const observed = this.of(id)
    observed.load.ended()
    if (observed.load.inFlight === 0) observed.unansweredSinceMs = undefined
  }

  /** The connection ended without a whole answer to the request. */
  lost(id: string, reason: LostReason): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(id)
    observed.load.failed(nowMs)
    if (reason === 'crossed') observed.reuseUnsafeUntilMs = nowMs + distrustMs
    if (reason !== 'reset') return
    observed.resetsInRow += 1
    if (observed.resetsInRow >= resetsOfFullTarget) observed.fullUntilMs = nowMs + fullPauseMs
  }

  /**
   * Whether the target has no room for another request: some targets reset connections when they are full, and others
   * report it. Load pattern: neighbouring keys turn hot together, and each host learns of the queue only by itself.
   */
  isFull(id: string): boolean {
    const { fullUntilMs, load } = this.of(id)
    const nowMs = this.#options.clock.monotonicMs()
    return nowMs < fullUntilMs || load.hasReportedQueue(nowMs)
  }

  /** Whether bytes that nobody asked for have come from the target of late. */
  isReuseUnsafe(id: string): boolean {
    return this.of(id).reuseUnsafeUntilMs > this.#options.clock.monotonicMs()
  }

  connectFailed(target: KnownTarget, message: string): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(target.id)
    const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** Math.min(6, observed.connectFailures))
    observed.connectFailures += 1
    observed.pausedUntilMs = nowMs + pauseMs
    observed.load.failed(nowMs)
    this.#options.reachability?.recordConnectFailure(target)
    this.#options.logger.warn('target.connect_failed', {
      target: target.id,
      address: target.address,
      message,
      failures: observed.connectFailures,
      pauseMs,
    })
  }

  /** Reads what a response says of its target; `failed` when the target did not run the request well. */
  responded(target: KnownTarget, service: Service, headers: IncomingHttpHeaders, failed: boolean): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(target.id)
    this.#options.reachability?.recordAnswer(target.domain)
    // A target that answers after failed connections may have started anew, and counts as cold until it reports.
    if (observed.connectFailures > 0) observed.coldUntilMs = nowMs + service.coldStartMs
    observed.connectFailures = 0
    observed.resetsInRow = 0
    observed.pausedUntilMs = 0
    observed.unansweredSinceMs = observed.load.inFlight > 0 ? nowMs : undefined
    const coldMs = readColdRemainingMs(headers)
    if (coldMs !== undefined) observed.coldUntilMs = Math.max(observed.coldUntilMs, nowMs + coldMs)
    const report = readLoad(headers)
    if (report !== undefined) this.#reported(target, report, nowMs)
    if (failed) observed.load.failed(nowMs)
    else observed.load.succeeded(nowMs)
  }

  /** Time until this host may send the target another request; 0 for a target that is not cold. */
  coldWaitMs(target: KnownTarget, service: Service): number {
    const { clock, directory, hostName } = this.#options
    const nowMs = clock.monotonicMs()
    const observed = this.of(target.id)
    if (Math.max(target.coldUntilMs, observed.coldUntilMs) <= nowMs) return 0
    const share = hostColdRate({
      requestsPerSecond: service.coldRequestsPerSecond,
      targetId: target.id,
      hostName,
      hostNames: directory.hostNames,
    })
    return observed.cold.waitMs(nowMs, share)
  }

  #connectionLimit({ maxConnections }: Service): number {
    return Math.max(
      minConnections,
      Math.floor((maxConnections * connectionShare) / this.#options.directory.hostCount),
    )
  }

  #reported(target: KnownTarget, report: LoadReport, nowMs: number): void {
    this.of(target.id).load.reported(nowMs, report)
    const occupancy = report.running + report.waiting
    this.#options.observeOccupancy?.(target.id, occupancy)
    const known = this.#usual.has(target.service) ? this.#ownOccupancy(target.service) : occupancy
    const mean = known + (occupancy - known) * usualRate
    this.#usual.set(target.service, { occupancy: mean, atMs: nowMs })
  }

  /** Factors on the work time, by target. */
  adoptSpeeds(factors: Readonly<Record<string, number>>): void {
    for (const [id, factor] of Object.entries(factors)) {
      if (this.#options.directory.target(id) !== undefined) this.of(id).load.setSpeedFactor(factor)
    }
  }

  /** Forgets targets that are gone; answers that still arrive from them are passed on to their end. */
  dropRemovedTargets(): void {
    for (const [id, observed] of this.#observed) {
      if (this.#options.directory.target(id) !== undefined || observed.load.inFlight > 0) continue
      observed.agent?.dropIdle()
      this.#observed.delete(id)
    }
  }
}
