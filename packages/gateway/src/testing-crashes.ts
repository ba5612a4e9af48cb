/**
 * Many hosts in virtual time that send requests to targets, some of which crash each target that runs them. Uses
 * the hosts' selection of targets and their record of crashes; connections, callers and reports are simulated.
 */
import { Random, SilentLogger } from '@pimentotally/core'
import { VirtualTime, type VirtualClock } from '@pimentotally/core/testing'
import { configurationRow, targetRow } from '@pimentotally/platform/testing'
import { CrashVerdict } from '@pimentotally/routing'
import { CrashingRequests, ProcessState } from './crashing-requests.js'
import { Directory } from './directory.js'
import { routerStateKeys } from './router-state-rows.js'
import { TargetObservations } from './target-observations.js'
import { TargetSelector, defaultRetryAfterMs } from './target-selector.js'

/** The users' bounds: from this time after the third crash, at most so many more arrivals of a request. */
const contactMs = 3000
const allowedLateArrivals = 3
const reportIntervalMs = 350
const deadlineMs = 2000
const maxSendsPerAttempt = 2
/** A request whose key moves waits for the new owner, but no longer. */
const keyWaitMs = 330

export interface CrashWorldOptions {
  readonly seed: number
  readonly hosts: number
  readonly targets: number
  /** Number of requests that crash each target which runs them. */
  readonly crashing: number
  readonly requestsPerSecond?: number
  /**
   * If above 0, only the owner of its key can run a crashing request, and the key has another owner this long after
   * a crash of its owner.
   */
  readonly keyMoveMs?: number
}

interface WorldTarget {
  readonly id: string
  readonly address: string
  isUp: boolean
  startedAtEpochMs: number
  /** Called when the process ends, one for each run. */
  readonly runs: Set<() => void>
}

interface WorldHost {
  readonly clock: VirtualClock
  readonly directory: Directory
  readonly targets: TargetObservations
  readonly selector: TargetSelector
  readonly crashes: CrashingRequests
  /** Until this time the host was not in touch for long enough, so that its requests are not counted. */
  excusedUntilMs: number
}

export class CrashWorld {
  readonly time = new VirtualTime()
  readonly hosts: WorldHost[] = []
  readonly targets: WorldTarget[] = []
  /** Whether reports between hosts are lost. */
  losesReports = false
  /**
   * Other requests: those refused as if they crashed targets although they had run to their end and all hosts had
   * time to hear of it; those served; those refused for a short time; the longest time from a refusal to a later one
   * with no run to the end in between.
   */
  readonly innocent = { blocked: 0, served: 0, refused: 0, longestRefusalMs: 0 }
  readonly #options: Required<CrashWorldOptions>
  readonly #random: Random
  /** When each crashing request arrived at a target, and when a run of it was lost, also beside another one. */
  readonly #arrivals = new Map<string, number[]>()
  readonly #lostRuns = new Map<string, number[]>()
  /** When each other request that has not run to its end since was first refused. */
  readonly #refusedSinceMs = new Map<string, number>()
  /** The owner of the key of each crashing request, and since when it is the owner. */
  readonly #owners = new Map<string, { readonly target: WorldTarget; readonly sinceMs: number }>()
  #rowVersion = 10
  #requests = 0

  constructor(options: CrashWorldOptions) {
    this.#options = { requestsPerSecond: 60, keyMoveMs: 0, ...options }
    this.#random = new Random(options.seed)
    for (let index = 0; index < options.targets; index += 1) {
      const [id, address] = [`t${String(index)}`, `10.0.0.${String(index + 1)}:80`]
      this.targets.push({ id, address, isUp: true, startedAtEpochMs: 1000, runs: new Set() })
    }
    for (let index = 0; index < options.hosts; index += 1) this.hosts.push(this.#startHost(index))
  }

  /** Arrivals beyond what is allowed, of each crashing request. */
  get violations(): number[] {
    return [...this.#arrivals].map(([name, arrivals]) => {
      const thirdLossMs = this.#lostRuns.get(name)?.[2] ?? Number.POSITIVE_INFINITY
      const late = arrivals.filter((atMs) => atMs > thirdLossMs + contactMs).length
      return Math.max(0, late - allowedLateArrivals)
    })
  }

  get crashCount(): number {
    return [...this.#lostRuns.values()].flat().length
  }

  /** Callers send requests to random hosts: one in ten is a crashing one, and a third is always the same one. */
  async run(durationMs: number): Promise<void> {
    const { requestsPerSecond, crashing } = this.#options
    const endMs = this.time.nowMs() + durationMs
    while (this.time.nowMs() < endMs) {
      await this.time.advance(1 + this.#random.integer(2000 / requestsPerSecond))
      const host = this.#random.pick(this.hosts)
      if (host === undefined || host.clock.paused) continue
      this.#requests += 1
      const draw = this.#random.float()
      if (draw < 0.1) this.#send(host, `crashing-${String(this.#random.integer(crashing))}`, deadlineMs)
      else this.#send(host, draw < 0.4 ? 'busy' : `rare-${String(this.#requests)}`, deadlineMs)
    }
  }

  /** Ends the processes of the targets at the same moment; each starts again some seconds later. */
  loseTargets(count: number): void {
    for (const target of this.#random.shuffle(this.targets).slice(0, count)) this.#end(target)
  }

  /** The host's process starts again and has forgotten everything. */
  restartHost(): void {
    const index = this.#random.integer(this.hosts.length)
    this.hosts[index] = this.#startHost(index)
    this.#excuse(this.hosts[index])
  }

  resumeHosts(): void {
    for (const host of this.hosts) {
      if (!host.clock.paused) continue
      this.#excuse(host)
      host.clock.resume()
    }
  }

  #excuse(host: WorldHost | undefined): void {
    if (host !== undefined) host.excusedUntilMs = this.time.nowMs() + contactMs
  }

  /** A caller's attempt, which the host may repeat once; the caller itself comes again with a new one. */
  #send(host: WorldHost, name: string, leftMs: number, tried: ReadonlySet<string> = new Set()): void {
    const { crashes, selector, targets, directory } = host
    const owner = this.#ownerOf(name)
    if (owner !== undefined && owner.sinceMs > this.time.nowMs()) {
      const waitMs = owner.sinceMs - this.time.nowMs()
      if (waitMs > keyWaitMs) return
      host.clock.schedule(waitMs, () => {
        this.#send(host, name, leftMs, tried)
      })
      return
    }
    const refusal = crashes.refuse([name], defaultRetryAfterMs)
    if (refusal !== undefined) {
      if (!name.startsWith('crashing')) this.#noteRefusal(name, refusal.reason)
      return
    }
    const match = directory.routes?.match('shop.example', '/notes/1')
    if (match === undefined) throw new Error('the world has no route')
    const verdict = crashes.verdict([name])
    const isSuspect = verdict !== CrashVerdict.unsuspected
    const selection = selector.select({
      match,
      key: undefined,
      tried,
      notHolding: new Set(),
      noRetry: new Set(),
      elapsedMs: 0,
      leftMs,
      occupied: isSuspect ? crashes.occupiedTargets([name]) : undefined,
      runsAlone: isSuspect && verdict !== CrashVerdict.suspected,
    })
    if ('refusal' in selection) return
    const target = owner?.target ?? this.targets.find(({ id }) => id === selection.target.id)
    const known = target === undefined ? undefined : directory.target(target.id)
    if (target === undefined || known === undefined) return
    if (!target.isUp) {
      targets.connectFailed(known, 'refused')
      if (tried.size === 0) this.#send(host, name, leftMs, new Set([target.id]))
      return
    }
    const sentAtMs = host.clock.monotonicMs()
    const runEnded = crashes.runStarted([name], target.id)
    targets.started(target.id)
    if (name.startsWith('crashing') && this.time.nowMs() > host.excusedUntilMs)
      this.#note(this.#arrivals, name)
    const end = (): void => {
      cancel()
      target.runs.delete(lose)
      runEnded()
      targets.ended(target.id)
    }
    const lose = (): void => {
      end()
      if (name.startsWith('crashing')) this.#note(this.#lostRuns, name)
      void crashes.runLost({ names: [name], requestId: name, target: known, sentAtMs })
      if (tried.size + 1 < maxSendsPerAttempt && crashes.mayRepeat([name])) {
        this.#send(host, name, leftMs, new Set([...tried, target.id]))
      }
    }
    const complete = (): void => {
      if (name.startsWith('crashing')) {
        this.#end(target)
        return
      }
      end()
      crashes.runCompleted([name])
      this.innocent.served += 1
      this.#refusedSinceMs.delete(name)
    }
    target.runs.add(lose)
    const cancel = this.time.clock().schedule(40 + this.#random.integer(80), complete)
  }

  /** Undefined for a request that any target can run. */
  #ownerOf(name: string): { readonly target: WorldTarget; readonly sinceMs: number } | undefined {
    const { keyMoveMs } = this.#options
    if (keyMoveMs === 0 || !name.startsWith('crashing')) return undefined
    const owner = this.#owners.get(name)
    if (owner?.target.isUp === true) return owner
    if (owner !== undefined && owner.sinceMs > this.time.nowMs()) return owner
    const target = this.#random.pick(this.targets.filter(({ isUp }) => isUp)) ?? this.targets[0]
    if (target === undefined) return undefined
    const next = { target, sinceMs: this.time.nowMs() + (owner === undefined ? 0 : keyMoveMs) }
    this.#owners.set(name, next)
    return next
  }

  #noteRefusal(name: string, reason: string): void {
    this.innocent.refused += 1
    if (reason === 'request_crashes_targets') this.innocent.blocked += 1
    const sinceMs = this.#refusedSinceMs.get(name) ?? this.time.nowMs()
    this.#refusedSinceMs.set(name, sinceMs)
    this.innocent.longestRefusalMs = Math.max(this.innocent.longestRefusalMs, this.time.nowMs() - sinceMs)
  }

  #note(times: Map<string, number[]>, name: string): void {
    times.set(name, [...(times.get(name) ?? []), this.time.nowMs()])
  }

  #end(target: WorldTarget): void {
    if (!target.isUp) return
    target.isUp = false
    for (const lose of [...target.runs]) lose()
    this.time.clock().schedule(1500 + this.#random.integer(2500), () => {
      target.isUp = true
      target.startedAtEpochMs += 1000
      for (const { directory } of this.hosts) this.#register(directory)
    })
  }

  #startHost(index: number): WorldHost {
    const clock = this.time.clock()
    const logger = new SilentLogger()
    const hostName = `h${String(index)}`
    const directory = new Directory({ clock, logger, heartbeatMs: 300 })
    directory.applyOperatorTable({ changed: [configurationRow()], removed: [], version: 1 })
    this.#register(directory)
    for (let other = 0; other < this.#options.hosts; other += 1) {
      directory.applyRouterStateRow({
        key: routerStateKeys.host(`h${String(other)}`),
        version: other + 1,
        value: Buffer.from('{}'),
      })
    }
    const targets = new TargetObservations({ clock, logger, directory, hostName })
    const selector = new TargetSelector({
      clock,
      random: this.#random,
      directory,
      targets,
      domain: 'a',
      admittedShare: () => 1,
      routeWorkMs: () => 80,
    })
    const probe = (address: string): Promise<ProcessState> => {
      const isUp = this.targets.some((target) => target.address === address && target.isUp)
      return Promise.resolve(isUp ? ProcessState.running : ProcessState.ended)
    }
    const crashes = new CrashingRequests({ clock, logger, directory, hostName, probe })
    const host = { clock, directory, targets, selector, crashes, excusedUntilMs: 0 }
    this.#scheduleReport(host)
    return host
  }

  #scheduleReport(host: WorldHost): void {
    host.clock.schedule(reportIntervalMs, () => {
      const leader = this.hosts[0]
      if (leader !== undefined && !leader.clock.paused && !this.losesReports) {
        leader.crashes.merge(host.crashes.statements())
        host.crashes.merge(leader.crashes.statements())
      }
      this.#scheduleReport(host)
    })
  }

  #register(directory: Directory): void {
    this.#rowVersion += 1
    const changed = this.targets.map(({ id, address, startedAtEpochMs }) =>
      targetRow({ id, address, startedAtEpochMs }),
    )
    directory.applyTargetRegistry({ changed, removed: [], version: this.#rowVersion })
  }
}
