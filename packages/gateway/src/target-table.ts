/** What this host itself observes of each target: load, connections, failures to connect, and sends while cold. */
import type { Clock, Logger, Random } from '@pimentotally/core'
import { IdleClose, TargetAgent } from '@pimentotally/http'
import { ColdSends, TargetLoad, coldShare, type LoadReport, type Service } from '@pimentotally/routing'
import type { Directory, KnownTarget } from './directory.js'

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
/** Weight of a new report in a service's usual occupancy. */
const usualRate = 0.1
/** After bytes that nobody asked for, connections to the target are not reused for requests that run once. */
const distrustMs = 8000

export interface TargetTableOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly random: Random
  readonly directory: Directory
  readonly hostName: string
}

export class ObservedTarget {
  readonly load = new TargetLoad()
  readonly cold = new ColdSends()
  agent: TargetAgent | undefined
  agentAddress = ''
  agentConnections = 0
  pausedUntilMs = 0
  connectFailures = 0
  distrustedUntilMs = 0
  lastResponseAtMs = 0
  /** When the oldest request without a response since the last response was sent. */
  waitingSinceMs: number | undefined
  coldUntilMs = 0

  /** Whether requests are out and nothing has come back for long. */
  isSilent(nowMs: number, predictedMs: number): boolean {
    if (this.load.inFlight === 0 || this.waitingSinceMs === undefined) return false
    return nowMs - this.waitingSinceMs > Math.max(silentAfterMs, silentFactor * predictedMs)
  }
}

export class TargetTable {
  readonly #options: TargetTableOptions
  readonly #observed = new Map<string, ObservedTarget>()
  readonly #usual = new Map<string, number>()
  connectionsOpened = 0

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

  /** Mean occupancy of the service's targets, from recent reports. */
  usualOccupancy(service: string): number {
    return this.#usual.get(service) ?? 0
  }

  agent(target: KnownTarget, service: Service): TargetAgent {
    const observed = this.of(target.id)
    const hosts = Math.max(1, this.#options.directory.hostNames.length)
    const connections = Math.max(2, Math.floor((service.maxConnections * connectionShare) / hosts))
    if (
      observed.agent === undefined ||
      observed.agentAddress !== target.address ||
      observed.agentConnections !== connections
    ) {
      observed.agent?.dropIdle()
      observed.agentAddress = target.address
      observed.agentConnections = connections
      observed.agent = new TargetAgent({
        connections,
        idleTimeoutMs,
        onClosed: (event) => {
          if (event !== IdleClose.unsolicitedBytes) return
          observed.distrustedUntilMs = this.#options.clock.monotonicMs() + distrustMs
          this.#options.logger.info('connection.closed', { target: target.id, reason: event })
        },
      })
    }
    return observed.agent
  }

  reported(target: KnownTarget, report: LoadReport): void {
    this.of(target.id).load.reported(this.#options.clock.monotonicMs(), report)
    const known = this.#usual.get(target.service) ?? report.running + report.waiting
    this.#usual.set(target.service, known + (report.running + report.waiting - known) * usualRate)
  }

  connectFailed(target: KnownTarget, message: string): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(target.id)
    const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** Math.min(6, observed.connectFailures))
    observed.connectFailures += 1
    observed.pausedUntilMs = nowMs + pauseMs
    observed.load.failed(nowMs)
    this.#options.logger.warn('target.connect_failed', {
      target: target.id,
      address: target.address,
      message,
      failures: observed.connectFailures,
      pauseMs,
    })
  }

  /** A target that answers after failed connections may have started anew, and is treated as cold until it reports. */
  responded(target: KnownTarget, coldStartMs: number): void {
    const nowMs = this.#options.clock.monotonicMs()
    const observed = this.of(target.id)
    if (observed.connectFailures > 0) observed.coldUntilMs = nowMs + coldStartMs
    observed.connectFailures = 0
    observed.pausedUntilMs = 0
    observed.lastResponseAtMs = nowMs
    observed.waitingSinceMs = observed.load.inFlight > 0 ? nowMs : undefined
  }

  /** Requests a second that this host may send to the target; undefined when it is not cold. */
  coldShare(target: KnownTarget, service: Service): number | undefined {
    const { clock, directory, hostName } = this.#options
    const coldUntilMs = Math.max(target.coldUntilMs, this.of(target.id).coldUntilMs)
    if (coldUntilMs <= clock.monotonicMs()) return undefined
    const hostNames = directory.hostNames.includes(hostName)
      ? directory.hostNames
      : [...directory.hostNames, hostName]
    return coldShare({
      requestsPerSecond: service.coldRequestsPerSecond,
      targetId: target.id,
      hostName,
      hostNames,
    })
  }

  /** Forgets targets that are gone. */
  retain(): void {
    for (const [id, observed] of this.#observed) {
      if (this.#options.directory.target(id) !== undefined || observed.load.inFlight > 0) continue
      observed.agent?.destroy()
      this.#observed.delete(id)
    }
  }
}
