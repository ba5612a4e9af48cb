/**
 * Many hosts in virtual time that send requests to targets, one of which names a limit. Uses the hosts'
 * selection of targets and what they observe; connections and callers are simulated.
 */
import { Random, SilentLogger } from '@pimentotally/core'
import { RateCheck, VirtualTime, type VirtualClock } from '@pimentotally/core/testing'
import { blockCount, encodeBlock, initialAssignment } from '@pimentotally/assignment'
import { answerHeaders, configurationRow, targetRow } from '@pimentotally/platform/testing'
import { Directory } from './directory.js'
import { encodeHost, routerStateKeys } from './router-state-rows.js'
import { TargetObservations } from './target-observations.js'
import { TargetSelector, type Selection } from './target-selector.js'

/** Time from sending a request to its response. */
const workMs = 40
const deadlineMs = 2000
const reportIntervalMs = 350
/** A host counts what it was told by others as current for this long. */
const guidanceLifetimeMs = 1800

export interface LimitWorldOptions {
  readonly seed: number
  readonly hosts: number
  /** Targets of the service; the first one names the limit. */
  readonly targets?: number
  /** Whether the first target owns all keys; otherwise every target can take every request. */
  readonly isSharded?: boolean
  readonly requestsPerSecond?: number
  /** Share of the rows of other hosts that each host lacks. */
  readonly missingHostShare?: number
  /** Whether hosts report limits to the first one, which tells them what it knows. */
  readonly reports?: boolean
}

export interface WorldHost {
  readonly name: string
  readonly clock: VirtualClock
  readonly directory: Directory
  readonly targets: TargetObservations
  readonly selector: TargetSelector
  /** When the host last exchanged reports with the first one, on its clock. */
  guidedAtMs: number
}

export class LimitWorld {
  readonly time = new VirtualTime()
  readonly check = new RateCheck()
  readonly hosts: WorldHost[] = []
  /** Requests that the first target got, and those that all targets got. */
  readonly received = { limited: 0, all: 0 }
  /** Reasons of refusals, each with their number. */
  readonly refusals = new Map<string, number>()
  /** Retry-After of the refusals. */
  readonly retryAfterMs: number[] = []
  /** As the first target writes it in its responses; undefined for none. */
  limitText: string | undefined
  /** Whether the first target responds. */
  isResponding = true
  /** Whether reports between hosts are lost. */
  losesReports = false
  readonly #options: Required<LimitWorldOptions>
  readonly #random: Random
  /** Start of the first target's process. */
  #startedAtEpochMs = 1000
  #rowVersion = 10

  constructor(options: LimitWorldOptions) {
    this.#options = {
      targets: 3,
      isSharded: true,
      requestsPerSecond: 30,
      missingHostShare: 0,
      reports: false,
      ...options,
    }
    this.#random = new Random(options.seed)
    for (let index = 0; index < options.hosts; index += 1) this.hosts.push(this.#startHost(index))
  }

  /** The first target names the limit from now on, or none. */
  limit(requestsPerSecond: number | undefined): void {
    this.limitText = requestsPerSecond === undefined ? undefined : String(requestsPerSecond)
    this.check.limit(this.time.nowMs(), requestsPerSecond)
  }

  /** Callers send requests to random hosts. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.time.nowMs() + durationMs
    while (this.time.nowMs() < endMs) {
      await this.time.advance(1 + this.#random.integer(2000 / this.#options.requestsPerSecond))
      const host = this.#random.pick(this.hosts)
      if (host !== undefined && !host.clock.paused) this.request(host)
    }
  }

  /** A caller's request arrives at the host. */
  request(host: WorldHost, priority = 1): Selection {
    const { directory, selector, targets } = host
    const match = directory.routes?.match('shop.example', '/notes/1')
    if (match === undefined) throw new Error('the world has no route')
    const selection = selector.select({
      match: { ...match, route: { ...match.route, priority } },
      key: this.#options.isSharded ? this.#random.integer(65_536) : undefined,
      tried: new Set(),
      notHolding: new Set(),
      noRetry: new Set(),
      elapsedMs: 0,
      leftMs: deadlineMs,
    })
    if ('refusal' in selection) {
      const { reason, retryAfterMs } = selection.refusal
      this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1)
      this.retryAfterMs.push(retryAfterMs)
      return selection
    }
    const { target } = selection
    const sentAtMs = this.time.nowMs()
    targets.started(target.id)
    this.received.all += 1
    if (target.id === 't0') {
      this.received.limited += 1
      this.check.arrived(sentAtMs, host.name)
    }
    if (target.id === 't0' && !this.isResponding) {
      host.clock.schedule(deadlineMs, () => {
        targets.ended(target.id)
      })
      return selection
    }
    const requestLimit = target.id === 't0' ? this.limitText : undefined
    host.clock.schedule(workMs, () => {
      targets.ended(target.id)
      targets.limits.observe(target, { headers: answerHeaders('r', { requestLimit }), sentAtMs })
      if (requestLimit !== undefined) this.check.told(this.time.nowMs(), host.name)
    })
    return selection
  }

  /** The host's process starts again and has forgotten everything. */
  restart(host: WorldHost): void {
    const index = this.hosts.indexOf(host)
    this.check.excuse(host.name)
    this.hosts[index] = this.#startHost(index)
  }

  /** The first target's process starts again under the same id. */
  restartTarget(): void {
    this.#startedAtEpochMs += 1000
    for (const { directory } of this.hosts) this.#register(directory)
  }

  /** The first target's entry is missing from the target registry, or is back. */
  setRegistered(isRegistered: boolean): void {
    this.#rowVersion += 1
    for (const { directory, targets } of this.hosts) {
      if (isRegistered) this.#register(directory)
      else directory.applyTargetRegistry({ changed: [], removed: ['t0'], version: this.#rowVersion })
      targets.dropRemovedTargets()
    }
  }

  #startHost(index: number): WorldHost {
    const clock = this.time.clock()
    const logger = new SilentLogger()
    const { hosts, isSharded, missingHostShare } = this.#options
    const name = `h${String(index)}`
    const directory = new Directory({ clock, logger })
    directory.applyOperatorTable({ changed: [configurationRow({ isSharded })], removed: [], version: 1 })
    this.#register(directory)
    this.#assign(directory)
    for (let other = 0; other < hosts; other += 1) {
      if (other !== index && this.#random.float() < missingHostShare) continue
      const record = { peerAddress: `10.1.0.${String(other)}:7000`, domain: 'a', capacity: 1 }
      directory.applyRouterStateRow({
        key: routerStateKeys.host(`h${String(other)}`),
        version: 1,
        value: encodeHost(record),
      })
    }
    const targets: TargetObservations = new TargetObservations({
      clock,
      logger,
      directory,
      hostName: name,
      hearsOtherHosts: (): boolean => clock.monotonicMs() - host.guidedAtMs < guidanceLifetimeMs,
    })
    const selector = new TargetSelector({
      clock,
      random: this.#random,
      directory,
      targets,
      domain: 'a',
      admittedShare: () => 1,
      routeWorkMs: () => workMs,
    })
    const host: WorldHost = {
      name,
      clock,
      directory,
      targets,
      selector,
      guidedAtMs: Number.NEGATIVE_INFINITY,
    }
    if (this.#options.reports) this.#scheduleReport(host)
    return host
  }

  #scheduleReport(host: WorldHost): void {
    host.clock.schedule(reportIntervalMs, () => {
      const leader = this.hosts[0]
      if (leader !== undefined && !leader.clock.paused && !this.losesReports) {
        leader.targets.limits.merge(host.targets.limits.statements())
        host.targets.limits.merge(leader.targets.limits.statements())
        host.guidedAtMs = host.clock.monotonicMs()
      }
      this.#scheduleReport(host)
    })
  }

  #register(directory: Directory): void {
    this.#rowVersion += 1
    const changed = Array.from({ length: this.#options.targets }, (_, index) =>
      targetRow({
        id: `t${String(index)}`,
        address: `10.0.0.${String(index + 1)}:80`,
        startedAtEpochMs: index === 0 ? this.#startedAtEpochMs : 1000,
      }),
    )
    directory.applyTargetRegistry({ changed, removed: [], version: this.#rowVersion })
  }

  #assign(directory: Directory): void {
    const { ranges } = initialAssignment('notes', [{ id: 't0', startedAtEpochMs: 1000, weight: 1 }])
    const assignment = { service: 'notes', lastFence: 1, addresses: {}, ranges }
    for (let block = 0; block < blockCount; block += 1) {
      directory.applyRouterStateRow({
        key: routerStateKeys.assignment('notes', block),
        version: 1,
        value: Buffer.from(encodeBlock(assignment, block)),
      })
    }
  }
}
