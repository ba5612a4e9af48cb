/** The permit pool: counts the slots of a cell's targets at its coordinator and issues permits for them. */
import {
  type Cancel,
  type CellAuthority,
  type Clock,
  type Configuration,
  domainOfCell,
  type InvariantReporter,
  type Logger,
  PermitLedger,
  type Random,
  type TargetReport,
  type TargetSpec,
  type Term,
} from '@pimentotally/core'
import { Admission, noCoordinatorRefusal } from './admission.js'
import { LocalPermitSource } from './local-permit-source.js'
import { PermitCounters } from './counters.js'
import { CrashMonitor } from './crash-monitor.js'
import { CellHosts } from './cell-hosts.js'
import { OutstandingPermitWaiters } from './outstanding-permit-waiters.js'
import type { CrashRecord, HostSession, PermitSink, SessionOptions } from './session.js'
import { PermitReturns } from './permit-returns.js'
import type { Session } from './state.js'
import type { LoadReport, TargetInspection } from './target.js'
import { CellTargets } from './cell-targets.js'
import { WaitingCalls } from './waiting-calls.js'

export interface PermitPoolOptions {
  readonly cellId: string
  readonly clock: Clock
  readonly random: Random
  readonly authority: CellAuthority
  readonly configuration: () => Configuration
  /** Ids of the hosts of the failure domain that are known at the moment. */
  readonly hosts: () => readonly string[]
  readonly invariants: InvariantReporter
  readonly logger: Logger
  /** Which targets belong to the cell; by default those of its failure domain. */
  readonly isInCell?: (target: TargetSpec) => boolean
  /** The longest time that an earlier term and its permits can stay valid after a new term has begun. */
  readonly leaseMs?: number
  /** A request may run for this long after its deadline, until its cancellation has taken effect. */
  readonly cancelGraceMs?: number
  readonly sweepIntervalMs?: number
  /** For this time keyed requests still go to an owner that is draining, while its shards are moved. */
  readonly keyedDrainMs?: number
}

/** Cumulative counts, and the current numbers of outstanding permits and of waiting requests. */
export type PoolCounters = Omit<PermitCounters, 'lent' | 'refused'> & {
  readonly inFlight: number
  readonly waiting: number
}

export class PermitPool extends PermitLedger {
  readonly cellId: string
  readonly #options: Required<PermitPoolOptions>
  readonly #clock: Clock
  readonly #targets: CellTargets
  readonly #hosts: CellHosts
  readonly #crashes: CrashMonitor
  readonly #admission: Admission
  readonly #waiting: WaitingCalls
  readonly #permitReturns: PermitReturns
  readonly #permitWaiters: OutstandingPermitWaiters
  readonly #counters = new PermitCounters()
  #sweptAtMs: number
  #cancelSweep: Cancel

  constructor(options: PermitPoolOptions) {
    super()
    const domain = domainOfCell(options.cellId)
    this.#options = {
      isInCell: (target) => target.domain === domain,
      leaseMs: 900,
      cancelGraceMs: 250,
      sweepIntervalMs: 25,
      keyedDrainMs: 3000,
      ...options,
    }
    const { cellId, clock, configuration, logger } = this.#options
    this.cellId = cellId
    this.#clock = clock
    const counters = this.#counters
    const targets = new CellTargets({ clock, configuration, isInCell: this.#options.isInCell })
    const hosts = new CellHosts({ ...this.#options, knownHosts: this.#options.hosts })
    const crashes = new CrashMonitor({ sinks: () => this.#sinks(), counters, logger })
    const admission = new Admission({
      ...this.#options,
      targets,
      hosts,
      crashes,
      counters,
      wait: (call, service, reason, nowMs) => {
        waiting.add(call, service, reason, nowMs)
      },
    })
    const waiting = new WaitingCalls({ clock, admission, targets, hosts, crashes, counters })
    this.#permitReturns = new PermitReturns({
      ...this.#options,
      targets,
      hosts,
      crashes,
      counters,
      onEnded: (permit) => {
        this.#permitWaiters.returned(permit)
        waiting.serve(permit.target)
      },
    })
    this.#permitWaiters = new OutstandingPermitWaiters((service, shards) =>
      this.#permitReturns.hasNoOutstandingPermit(service, shards),
    )
    this.#targets = targets
    this.#hosts = hosts
    this.#crashes = crashes
    this.#admission = admission
    this.#waiting = waiting
    targets.refresh()
    hosts.refresh()
    this.#sweptAtMs = clock.monotonicMs()
    this.#cancelSweep = this.#sweepLater()
  }

  /** True while permits can be issued. */
  get active(): boolean {
    return this.#admission.active
  }

  /** The term that was started last; undefined once it has been ended. */
  get term(): Term | undefined {
    return this.#admission.term
  }

  /**
   * A permit source for this process. It stays usable across terms, and refuses calls while no term is held.
   */
  attach(hostId: string): LocalPermitSource {
    const host = this.#hosts.get(hostId)
    const session: Session = { host, sink: undefined, calls: new Map(), open: true }
    host.session = session
    this.#hosts.markHeldPermitsKnown(host)
    this.#hosts.refresh()
    let calls = 0
    return new LocalPermitSource({
      permits: host.permits,
      nowMs: () => this.#clock.monotonicMs(),
      isTermHeld: ({ term }) => this.active && this.term === term,
      acquire: (request, settle) => this.#admission.acquire(session, (calls += 1), request, settle),
      cancel: (call) => {
        this.#admission.cancel(call)
      },
      release: (permitId, report) => {
        this.#permitReturns.release(host, permitId, report)
      },
    })
  }

  /**
   * Opens a session of a host. Its earlier session ends, and permits that the host does not list count as
   * ended. The session is refused when its host has opened a later one, or when it is meant for another term,
   * as the host could then still get permits of an earlier term.
   */
  connect({ hostId, term, session: number, held, suspects = [], sink }: SessionOptions): HostSession {
    const host = this.#hosts.get(hostId)
    const open = number > host.lastSession && this.active && term === this.term
    const session: Session = { host, sink, calls: new Map(), open }
    if (session.open) {
      host.lastSession = number
      if (host.session !== undefined) this.#endSession(host.session)
      host.session = session
      this.#hosts.refresh()
      const { suspectTracker } = this.#crashes
      suspectTracker.adopt(suspects, this.#clock.monotonicMs())
      this.#permitReturns.reconcile(host, held)
      if (suspectTracker.blocked.length > 0) sink.blocked(suspectTracker.blocked)
      if (suspectTracker.suspects.length > 0) sink.suspected(suspectTracker.suspects)
      this.#permitWaiters.check()
      this.#waiting.serveAll()
    } else {
      sink.closed()
    }
    return {
      get open(): boolean {
        return session.open
      },
      acquire: (callId, request) => {
        if (session.open) this.#admission.acquire(session, callId, request, undefined)
      },
      cancel: (callId) => {
        const call = session.calls.get(callId)
        if (session.open && call !== undefined) this.#admission.cancel(call)
      },
      release: (permitId, report) => {
        if (session.open) this.#permitReturns.release(host, permitId, report)
      },
      end: () => {
        this.#endSession(session)
      },
    }
  }

  override startTerm(term: Term, earlierHosts: readonly string[]): void {
    this.endTerm()
    this.#admission.startTerm(term)
    this.#targets.refresh()
    this.#hosts.refresh()
    this.#hosts.expectHeldPermits(earlierHosts)
    for (const target of this.#targets.all()) target.resetEarlierRequests()
    this.#options.logger.info('permits.term.started', { step: 'permits.start', cellId: this.cellId, term })
  }

  override endTerm(): void {
    const { term } = this
    if (term === undefined) return
    this.#admission.endTerm()
    for (const host of this.#hosts.all()) {
      const { session } = host
      if (session === undefined) continue
      for (const call of [...session.calls.values()]) this.#admission.refuse(call, noCoordinatorRefusal)
      if (session.sink !== undefined) this.#endSession(session)
    }
    this.#options.logger.info('permits.term.ended', { step: 'permits.end', cellId: this.cellId, term })
  }

  override targetAnswered(name: string, report: TargetReport): void {
    const target = this.#targets.get(name)
    if (target === undefined) return
    const nowMs = this.#clock.monotonicMs()
    const restarted = target.recordReport(report, nowMs)
    if (restarted) this.#crashes.recordTargetCrash(target, nowMs - report.uptimeMs, nowMs)
    else this.#crashes.recordSameInstance(target, nowMs)
    this.#waiting.serve(target)
  }

  override targetLost(name: string): void {
    const target = this.#targets.get(name)
    if (target === undefined || target.lost) return
    const nowMs = this.#clock.monotonicMs()
    target.lost = true
    this.#counters.targetsLost += 1
    this.#crashes.recordTargetCrash(target, Infinity, nowMs)
  }

  /**
   * Takes a load report of a target. It may be out of date, so it changes the target's score by at most a
   * quarter.
   */
  reportLoad(name: string, report: LoadReport): void {
    this.#targets.get(name)?.reportLoad(report, this.#clock.monotonicMs())
  }

  /** Rejects with RouterError `cancelled` when the signal aborts. */
  override whenNoPermitOutstanding(
    service: string,
    shards: readonly number[],
    signal: AbortSignal,
  ): Promise<void> {
    return this.#permitWaiters.wait(service, shards, signal)
  }

  override takeShardLoad(service: string): ReadonlyMap<number, number> {
    return this.#targets.service(service)?.takeShardLoad() ?? new Map<number, number>()
  }

  override takeHotKeys(
    service: string,
    limit: number,
  ): readonly { keyHash: string; shard: number; count: number }[] {
    return this.#targets.service(service)?.takeHotKeys(limit) ?? []
  }

  /**
   * To be called when owners have changed: places the waiting keyed requests at once, not only at the next
   * sweep.
   */
  ownersChanged(): void {
    this.#waiting.sweep(this.#clock.monotonicMs())
  }

  /**
   * Calls `listener` when an identity is blocked by this pool; returns a function that removes the listener.
   */
  onBlocked(listener: (entry: CrashRecord) => void): () => void {
    return this.#crashes.onBlocked(listener)
  }

  onUnblocked(listener: (identity: string) => void): () => void {
    return this.#crashes.onUnblocked(listener)
  }

  /** Adds identities that are blocked already, for example by an earlier coordinator. */
  setBlocked(entries: readonly CrashRecord[]): void {
    this.#crashes.setBlocked(entries)
  }

  /** Releases an identity for an operator; false when it was not blocked. */
  unblock(identity: string): boolean {
    return this.#crashes.suspectTracker.unblock(identity)
  }

  blocked(): readonly CrashRecord[] {
    return this.#crashes.suspectTracker.blocked
  }

  suspects(): readonly CrashRecord[] {
    return this.#crashes.suspectTracker.suspects
  }

  inspect(): TargetInspection[] {
    const nowMs = this.#clock.monotonicMs()
    return this.#targets.all().map((target) => target.inspect(nowMs, this.#hosts.reservedAt(target)))
  }

  counters(): PoolCounters {
    let inFlight = 0
    for (const host of this.#hosts.all()) inFlight += host.permits.size
    return {
      ...this.#counters,
      refusals: { ...this.#counters.refusals },
      inFlight,
      waiting: this.#waiting.size,
    }
  }

  /** Ends the term and stops the sweep. */
  close(): void {
    this.endTerm()
    this.#cancelSweep()
  }

  *#sinks(): Generator<PermitSink> {
    for (const { session } of this.#hosts.all()) if (session?.sink !== undefined) yield session.sink
  }

  /**
   * Ends a session. Its permits stay counted until the host reconnects without listing them, or until the
   * host is gone and their deadlines have passed.
   */
  #endSession(session: Session): void {
    if (!session.open) return
    session.open = false
    if (session.host.session === session) session.host.session = undefined
    for (const call of [...session.calls.values()]) this.#admission.forget(call)
    session.sink?.closed()
  }

  #sweepLater(): Cancel {
    return this.#clock.schedule(this.#options.sweepIntervalMs, () => {
      this.#cancelSweep = this.#sweepLater()
      this.#sweep()
    })
  }

  /** Handles everything that is due by time. One sweep replaces a timer for each request. */
  #sweep(): void {
    const nowMs = this.#clock.monotonicMs()
    this.#targets.refresh()
    this.#hosts.refresh()
    for (const service of this.#targets.services()) service.refresh(nowMs, nowMs - this.#sweptAtMs)
    this.#sweptAtMs = nowMs
    this.#permitReturns.sweep(nowMs)
    this.#crashes.sweep(this.#targets.all(), nowMs)
    this.#waiting.sweep(nowMs)
    this.#permitWaiters.check()
  }
}
