/** Decides which requests are suspected of crashing a target, and notifies the hosts and the listeners. */
import type { Logger } from '@pimentotally/core'
import type { PermitCounters } from './counters.js'
import type { CrashRecord, PermitSink } from './session.js'
import type { IssuedPermit } from './state.js'
import { SuspectListener, SuspectTracker, crashDetectionTimeoutMs } from './suspect-tracker.js'
import type { TargetState } from './target.js'

/**
 * A response of a target may have been sent up to this long before it arrives, so it doesn't show that the
 * target has survived a connection that was lost within this time.
 */
const maxResponseDelayMs = 1000

export interface CrashMonitorOptions {
  readonly sinks: () => Iterable<PermitSink>
  readonly counters: PermitCounters
  readonly logger: Logger
}

export class CrashMonitor extends SuspectListener {
  readonly suspectTracker = new SuspectTracker(this)
  readonly #options: CrashMonitorOptions
  readonly #blockedListeners = new Set<(entry: CrashRecord) => void>()
  readonly #unblockedListeners = new Set<(identity: string) => void>()

  constructor(options: CrashMonitorOptions) {
    super()
    this.#options = options
  }

  /**
   * The target crashed and its new instance started at `startedAtMs` (Infinity without a new instance).
   * Requests whose permits were issued earlier are suspects.
   */
  recordTargetCrash(target: TargetState, startedAtMs: number, nowMs: number): void {
    this.#options.counters.targetsCrashed += 1
    for (const permit of target.inFlight) {
      if (permit.hasTargetCrashed || permit.issuedAtMs >= startedAtMs) continue
      permit.hasTargetCrashed = true
      // For a request that runs alone, the report on how it ended decides whether it was the cause.
      this.#suspect(permit, target, false, nowMs)
    }
    const lost = target.lostConnections
    target.lostConnections = []
    for (const { permit } of lost) this.#suspect(permit, target, permit.alone, nowMs)
  }

  /**
   * The same instance responded: connections that were lost more than `maxResponseDelayMs` earlier had
   * another cause than a crash.
   */
  recordSameInstance(target: TargetState, nowMs: number): void {
    this.#discardLossesBefore(target, nowMs - maxResponseDelayMs)
  }

  recordConnectionLost(permit: IssuedPermit, nowMs: number): void {
    const { identity, service, alone, target } = permit
    if (permit.hasTargetCrashed) {
      this.recordEndWithoutResponse(permit, nowMs)
      return
    }
    target.lostConnections.push({ permit, atMs: nowMs })
    this.suspectTracker.recordConnectionLost(identity, service, alone, nowMs)
  }

  /** A request ended without a response. If it ran alone when its target crashed, it is the cause. */
  recordEndWithoutResponse(permit: IssuedPermit, nowMs: number): void {
    if (permit.alone && permit.hasTargetCrashed) this.#suspect(permit, permit.target, true, nowMs)
  }

  setBlocked(entries: readonly CrashRecord[]): void {
    const added = this.suspectTracker.setBlocked(entries)
    if (added.length > 0) for (const sink of this.#options.sinks()) sink.blocked(added)
  }

  sweep(targets: Iterable<TargetState>, nowMs: number): void {
    for (const target of targets) {
      if (target.lostConnections.length > 0)
        this.#discardLossesBefore(target, nowMs - crashDetectionTimeoutMs)
    }
    this.suspectTracker.expire(nowMs)
  }

  onBlocked(listener: (entry: CrashRecord) => void): () => void {
    this.#blockedListeners.add(listener)
    return () => this.#blockedListeners.delete(listener)
  }

  onUnblocked(listener: (identity: string) => void): () => void {
    this.#unblockedListeners.add(listener)
    return () => this.#unblockedListeners.delete(listener)
  }

  override suspected(entry: CrashRecord): void {
    this.#options.counters.suspects += 1
    for (const sink of this.#options.sinks()) sink.suspected([entry])
  }

  override cleared(identity: string): void {
    for (const sink of this.#options.sinks()) sink.cleared([identity])
  }

  override blocked(entry: CrashRecord): void {
    this.#options.counters.blocked += 1
    this.#options.logger.warn('permits.request.blocked', { step: 'permits.block', ...entry })
    for (const listener of this.#blockedListeners) listener(entry)
    for (const sink of this.#options.sinks()) sink.blocked([entry])
  }

  override unblocked(identity: string): void {
    for (const listener of this.#unblockedListeners) listener(identity)
    for (const sink of this.#options.sinks()) sink.unblocked([identity])
  }

  #suspect(permit: IssuedPermit, target: TargetState, alone: boolean, nowMs: number): void {
    if (alone && !this.suspectTracker.isBlocked(permit.identity))
      this.#options.counters.conclusiveCrashes += 1
    const { identity, service } = permit
    const { crashLimit } = target.service
    this.suspectTracker.recordCrash({ identity, service, target: target.spec.name, alone, crashLimit }, nowMs)
  }

  #discardLossesBefore(target: TargetState, beforeMs: number): void {
    if (target.lostConnections.length === 0) return
    const old = target.lostConnections.filter(({ atMs }) => atMs < beforeMs)
    if (old.length === 0) return
    target.lostConnections = target.lostConnections.filter(({ atMs }) => atMs >= beforeMs)
    for (const { permit } of old) this.suspectTracker.recordNoCrash(permit.identity, permit.alone)
  }
}
