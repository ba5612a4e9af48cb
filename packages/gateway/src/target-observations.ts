/**
 * What this host itself observes of each target: its load, failed connections, lost responses, and the
 * requests sent while it is cold. Also holds this host's connections to each target.
 */
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
import { TargetLimits } from './target-limits.js'

/**
 * Idle connections to targets are closed after this time. Targets close them after ten seconds or more;
 * closing first avoids that a request is written while the target closes the connection.
 */
const idleTimeoutMs = 8000
/** Pause after a failed connection, before the target is tried again; doubled with each further failure. */
const firstPauseMs = 200
/** Longest such pause, so that a target that is back is found within this time. */
const maxPauseMs = 1600
/** A target that answers none of its pending requests for this long is treated as silent. */
const silentAfterMs = 700
/** The same as a multiple of a request's predicted time; the longer of the two counts. */
const silentFactor = 4
/** Share of the connections that a target accepts which all hosts together may use. */
const usableConnectionShare = 0.85
/** Least connections of a host to a target: one for requests, and one for a request that takes long. */
const minConnections = 2
/** Weight of a new report in a service's average occupancy. */
const averageWeight = 0.1
/** Weight of a new report in a service's average slowdown, which changes only with the deployment. */
const slowdownWeight = 0.02
/**
 * After this time without a report the average occupancy has fallen to 1/e, so that a service whose requests
 * were refused is tried again.
 */
const averageTimeConstantMs = 2500
/** After this many resets in a row, without a response in between, a target is treated as full. */
const resetsUntilFull = 2
/**
 * How long a target that resets connections counts as full; its queue falls by some requests in that time.
 */
const fullMs = 400
/**
 * Share of the time in which a full target works its queue off, after which a host that it rejected sends to it
 * again at the latest, so that it does not run idle.
 */
const queueUsedShare = 0.75
/**
 * After unsolicited bytes or a response to another request, connections to the target are not reused for this
 * time, for requests that must not be repeated.
 */
const reuseUnsafeMs = 8000

export interface TargetObservationsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly hostName: string
  /** Takes the number of requests that run or wait at a target, from each of its reports. */
  readonly observeOccupancy?: (target: string, occupancy: number) => void
  /** Notified of targets that answer, and of those that cannot be connected to. */
  readonly reachability?: Reachability
  /** Mean number of requests at a target of the service, over all hosts; undefined while it is not known. */
  readonly meanOccupancy?: (service: string) => number | undefined
  /** Takes each case of bytes from a target of the service that no request was waiting for. */
  readonly discarded?: (service: string, reason: string) => void
  /** Whether what other hosts hear of targets reaches this one. */
  readonly hearsOtherHosts?: () => boolean
}

/** What this host observes of one target; instants are on the monotonic clock. */
export class ObservedTarget {
  readonly load = new TargetLoad()
  readonly cold = new ColdRequestLimiter()
  agent: KeepAliveAgent | undefined
  /** The address that the agent connects to. */
  agentAddress = ''
  /** The limit on connections with which the agent was created. */
  agentConnections = 0
  pausedUntilMs = 0
  /** Failed connections since the target last answered. */
  connectFailures = 0
  reuseUnsafeUntilMs = 0
  /**
   * Since when the target owes a response: when a request was sent while no other was pending, or when the
   * last response arrived while others were still pending. Undefined while no request is pending.
   */
  unansweredSinceMs: number | undefined
  /** From responses, or assumed after failed connections; the target's registry entry has its own time. */
  coldUntilMs = 0
  resetsInRow = 0
  fullUntilMs = 0
  /** Until this time, the slots that become free at the target, which rejected a request, are for other hosts. */
  rejectedUntilMs = 0

  /** Whether requests are pending and the target has not responded to any for long. */
  isSilent(nowMs: number, predictedMs: number): boolean {
    if (this.load.inFlight === 0 || this.unansweredSinceMs === undefined) return false
    return nowMs - this.unansweredSinceMs > Math.max(silentAfterMs, silentFactor * predictedMs)
  }
}

export class TargetObservations {
  readonly #options: TargetObservationsOptions
  readonly #observed = new Map<string, ObservedTarget>()
  readonly #averageByService = new Map<string, { readonly occupancy: number; readonly atMs: number }>()
  readonly #slowdownByService = new Map<string, number>()
  /** The limits on requests that targets name. */
  readonly limits: TargetLimits

  constructor(options: TargetObservationsOptions) {
    this.#options = options
    this.limits = new TargetLimits(options)
  }

  /** What is known of the target; starts anew for one that was not seen before. */
  of(id: string): ObservedTarget {
    let observed = this.#observed.get(id)
    if (observed === undefined) {
      observed = new ObservedTarget()
      this.#observed.set(id, observed)
    }
    return observed
  }

  /** Mean occupancy of the service's targets: over all hosts if known, or else from reports to this host. */
  averageOccupancy(service: string): number {
    return this.#options.meanOccupancy?.(service) ?? this.#observedOccupancy(service)
  }

  /** Mean of the slowdowns that the service's targets report; 1 is the usual speed. */
  averageSlowdown(service: string): number {
    return this.#slowdownByService.get(service) ?? 1
  }

  #observedOccupancy(service: string): number {
    const average = this.#averageByService.get(service)
    if (average === undefined) return 0
    return average.occupancy * decay(this.#options.clock.monotonicMs() - average.atMs, averageTimeConstantMs)
  }

  /** Whether one of the connections that this host may have to the target is free for another request. */
  hasFreeConnection(target: KnownTarget, service: Service): boolean {
    return this.of(target.id).load.inFlight < this.#connectionLimit(service)
  }

  /** This host's connections to the target; a new agent when the address or the limit has changed. */
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
        onIdleClosed: (event, { serial, exchanges }) => {
          if (event !== IdleCloseReason.unsolicitedBytes) return
          observed.reuseUnsafeUntilMs = this.#options.clock.monotonicMs() + reuseUnsafeMs
          this.#options.discarded?.(service.name, event)
          const connection = { connection: serial, exchanges }
          this.#options.logger.info('connection.closed', { target: target.id, reason: event, ...connection })
        },
      })
    }
    return observed.agent
  }

  /** Records that a request was sent. */
  started(id: string): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(id)
    observed.load.started()
    this.limits.recordSent(id)
    observed.cold.record(nowMs)
    observed.unansweredSinceMs ??= nowMs
  }

  /** Records that a request has a result or was cancelled. */
  ended(id: string): void {
    const observed = this.of(id)
    observed.load.ended()
    if (observed.load.inFlight === 0) observed.unansweredSinceMs = undefined
  }

  /** Records that a request was sent and no complete response came back. */
  lost(id: string, reason: LostReason): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(id)
    observed.load.failed(nowMs)
    if (reason === 'crossed') observed.reuseUnsafeUntilMs = nowMs + reuseUnsafeMs
    if (reason !== 'reset') return
    observed.resetsInRow += 1
    if (observed.resetsInRow >= resetsUntilFull) observed.fullUntilMs = nowMs + fullMs
  }

  /** Records that the target reset a connection before a request was written on it: it has as many as it accepts. */
  connectionRefused(id: string): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(id)
    observed.fullUntilMs = nowMs + fullMs
    observed.load.failed(nowMs)
  }

  /**
   * Records that the target, whose queue is full, did not run a request. Where hosts compete for targets, this one
   * sends to it again when the other hosts of its domain have had their part of the slots that become free. Load
   * pattern: a burst above the capacity of a service, whose targets reject most of what many hosts send.
   */
  rejected({ id, slots }: KnownTarget, workMs: number): void {
    const { clock, directory, hostName } = this.#options
    if (!directory.isContended) return
    const nowMs = clock.monotonicMs()
    const observed = this.of(id)
    const { load } = observed
    if (!load.hasReportedQueue(nowMs)) return
    const freedEveryMs = (workMs * load.speedFactor) / slots
    const domain = directory.hosts.get(hostName)?.domain
    const hosts = [...directory.hosts.values()].filter((host) => host.domain === domain).length
    const pauseMs = Math.min(Math.max(1, hosts), queueUsedShare * load.reportedQueue) * freedEveryMs
    observed.rejectedUntilMs = nowMs + pauseMs
  }

  /**
   * Whether the target has no room for another request: some targets reset connections when they are full,
   * and others report their queue. The load pattern that this is for: neighbouring keys
   * turn hot together, and each host learns of the queue only from its own requests.
   */
  isFull(id: string): boolean {
    const { fullUntilMs, load } = this.of(id)
    const nowMs = this.#options.clock.monotonicMs()
    return nowMs < fullUntilMs || load.hasReportedQueue(nowMs)
  }

  /** Whether unsolicited bytes or a response to another request have come from the target recently. */
  isReuseUnsafe(id: string): boolean {
    return this.of(id).reuseUnsafeUntilMs > this.#options.clock.monotonicMs()
  }

  /** Records a failed connection, and pauses the target. */
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

  /**
   * Records a response and what its header reports of the target; `failed` when the target did not run the
   * request, or responded with a server error.
   */
  responded(target: KnownTarget, service: Service, headers: IncomingHttpHeaders, failed: boolean): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(target.id)
    this.#options.reachability?.recordAnswer(target.domain)
    // A target that answers after failed connections may have restarted: it counts as cold for as long as a
    // cold start takes.
    if (observed.connectFailures > 0) observed.coldUntilMs = nowMs + service.coldStartMs
    observed.connectFailures = 0
    observed.resetsInRow = 0
    observed.pausedUntilMs = 0
    observed.unansweredSinceMs = observed.load.inFlight > 0 ? nowMs : undefined
    const coldMs = readColdRemainingMs(headers)
    if (coldMs !== undefined) observed.coldUntilMs = Math.max(observed.coldUntilMs, nowMs + coldMs)
    const report = readLoad(headers)
    if (report !== undefined) this.#recordReport(target, report, nowMs)
    if (failed) observed.load.failed(nowMs)
    else observed.load.succeeded(nowMs)
  }

  /** Time until this host may send the target another request; 0 for a target that is not cold. */
  coldWaitMs(target: KnownTarget, service: Service): number {
    const { clock, directory, hostName } = this.#options
    const nowMs = clock.monotonicMs()
    const observed = this.of(target.id)
    if (Math.max(target.coldUntilMs, observed.coldUntilMs) <= nowMs) return 0
    const rate = hostColdRate({
      requestsPerSecond: service.coldRequestsPerSecond,
      targetId: target.id,
      hostName,
      hostNames: directory.hostNames,
    })
    return observed.cold.waitMs(nowMs, rate)
  }

  /** Connections that this host may have to each target of the service. */
  #connectionLimit({ maxConnections }: Service): number {
    return Math.max(
      minConnections,
      Math.floor((maxConnections * usableConnectionShare) / this.#options.directory.hostCount),
    )
  }

  #recordReport(target: KnownTarget, report: LoadReport, nowMs: number): void {
    this.of(target.id).load.reported(nowMs, report)
    const occupancy = report.running + report.waiting
    this.#options.observeOccupancy?.(target.id, occupancy)
    const known = this.#averageByService.has(target.service)
      ? this.#observedOccupancy(target.service)
      : occupancy
    const mean = known + (occupancy - known) * averageWeight
    this.#averageByService.set(target.service, { occupancy: mean, atMs: nowMs })
    const slowdown = this.averageSlowdown(target.service)
    this.#slowdownByService.set(target.service, slowdown + (report.slowdown - slowdown) * slowdownWeight)
  }

  /** Takes the factors on the work time that all hosts observed, by target; 2 is twice as long. */
  adoptSpeeds(factors: Readonly<Record<string, number>>): void {
    for (const [id, factor] of Object.entries(factors)) {
      if (this.#options.directory.target(id) !== undefined) this.of(id).load.setSpeedFactor(factor)
    }
  }

  /**
   * Drops targets that are not in the target registry any more and have no pending request. Responses that
   * are still arriving from them are forwarded to their end.
   */
  dropRemovedTargets(): void {
    for (const [id, observed] of this.#observed) {
      if (this.#options.directory.target(id) !== undefined || observed.load.inFlight > 0) continue
      observed.agent?.dropIdle()
      this.#observed.delete(id)
    }
    this.limits.dropRemovedTargets()
  }
}
