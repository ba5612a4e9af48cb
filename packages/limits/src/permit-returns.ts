/**
 * Ends permits: by the report of a host, by its list after a reconnect, or by deadline once the host is gone.
 */
import { AttemptOutcome, type Clock, type PermitReport } from '@pimentotally/core'
import type { PermitCounters } from './counters.js'
import type { CrashMonitor } from './crash-monitor.js'
import type { CellHosts } from './cell-hosts.js'
import type { HeldPermit } from './session.js'
import type { HostState, IssuedPermit } from './state.js'
import type { CellTargets } from './cell-targets.js'

export interface PermitReturnsOptions {
  readonly clock: Clock
  readonly targets: CellTargets
  readonly hosts: CellHosts
  readonly crashes: CrashMonitor
  readonly counters: PermitCounters
  readonly leaseMs: number
  readonly cancelGraceMs: number
  /** Called when a permit that was counted has ended, so that its slot may be free. */
  readonly onEnded: (permit: IssuedPermit) => void
}

export class PermitReturns {
  readonly #options: PermitReturnsOptions

  constructor(options: PermitReturnsOptions) {
    this.#options = options
  }

  /** Takes back a permit that a host has released, and records the outcome of its attempt. */
  release(host: HostState, permitId: string, { outcome, latencyMs }: PermitReport): void {
    const { targets, counters, crashes, clock } = this.#options
    const permit = host.permits.get(permitId)
    if (permit === undefined) {
      counters.unknownReleases += 1
      return
    }
    const nowMs = clock.monotonicMs()
    const { target } = permit
    const service = targets.service(permit.service)
    this.#remove(permit)
    switch (outcome) {
      case AttemptOutcome.ok:
        target.recordSuccess(permit, latencyMs, nowMs)
        service?.recordLatency(target, latencyMs)
        if (permit.alone) crashes.suspectTracker.clear(permit.identity)
        break
      case AttemptOutcome.refused:
        if (target.recordRefusal(permit, nowMs)) counters.targetsTurnedCold += 1
        break
      case AttemptOutcome.failed:
        target.addPenalty(nowMs)
        crashes.recordEndWithoutResponse(permit, nowMs)
        break
      case AttemptOutcome.timedOut:
        target.recordTimeout(permit, latencyMs, nowMs)
        crashes.recordEndWithoutResponse(permit, nowMs)
        break
      case AttemptOutcome.cancelled:
        target.recordMinimumLatency(permit, latencyMs, nowMs)
        service?.recordAbandoned(target, latencyMs)
        break
      case AttemptOutcome.connectionLost:
        target.recordConnectionLost(permit, nowMs)
        crashes.recordConnectionLost(permit, nowMs)
        break
      case AttemptOutcome.unused:
        if (permit.attempt !== undefined) service?.budget.refund(permit.attempt)
        break
    }
    this.#options.onEnded(permit)
  }

  /**
   * A host has listed all permits that it holds. Others that are counted for it have ended; listed ones that
   * are not counted are counted from now on.
   */
  reconcile(host: HostState, held: readonly HeldPermit[]): void {
    const listed = new Set(held.map(({ permitId }) => permitId))
    const ended = [...host.permits.values()].filter(({ permitId }) => !listed.has(permitId))
    // All that the host holds is counted before a slot is freed, as a freed slot is given to a waiting call
    // at once.
    for (const entry of held) if (!host.permits.has(entry.permitId)) this.#adopt(host, entry)
    this.#options.hosts.markHeldPermitsKnown(host)
    for (const permit of ended) this.#reclaim(permit)
  }

  /** Ends the permits of hosts that are gone, once their requests can no longer run. */
  sweep(nowMs: number): void {
    const { hosts, cancelGraceMs } = this.#options
    for (const host of hosts.all()) {
      if (host.permits.size === 0 || !hosts.isGone(host)) continue
      for (const permit of [...host.permits.values()]) {
        if (nowMs > permit.deadlineAtMs + cancelGraceMs) this.#reclaim(permit)
      }
    }
  }

  /**
   * True when no permit for the shards can still be used, and no request that was sent with one can still
   * run.
   */
  hasNoOutstandingPermit(serviceName: string, shards: ReadonlySet<number>): boolean {
    const { hosts, targets, clock, cancelGraceMs } = this.#options
    const service = targets.service(serviceName)
    if (service !== undefined && hosts.mayHoldUnlistedPermits(service.spec)) return false
    const nowMs = clock.monotonicMs()
    for (const host of hosts.all()) {
      for (const permit of host.permits.values()) {
        if (permit.service !== serviceName || permit.shard === undefined) continue
        if (!shards.has(permit.shard)) continue
        if (nowMs <= permit.sendUntilMs || nowMs <= permit.deadlineAtMs + cancelGraceMs) return false
      }
    }
    return true
  }

  #adopt(
    host: HostState,
    { permitId, target: name, service, shard, deadlineMs, identity }: HeldPermit,
  ): void {
    const { targets, counters, crashes, clock, leaseMs } = this.#options
    const target = targets.get(name)
    // No permits are issued for a target that is no longer declared, so its slots need not be counted.
    if (target === undefined) return
    const nowMs = clock.monotonicMs()
    const permit: IssuedPermit = {
      permitId,
      host,
      target,
      service,
      shard,
      identity,
      attempt: undefined,
      issuedAtMs: nowMs,
      sendUntilMs: nowMs + leaseMs,
      deadlineAtMs: nowMs + deadlineMs,
      generation: target.generation,
      alone: false,
      hasTargetCrashed: false,
    }
    // No other request is admitted beside a suspect. But it is not known whether it has run alone so far, so
    // a crash would not prove that it is the cause.
    const idle = target.inFlight.size === 0
    if (idle && crashes.suspectTracker.isSuspect(identity)) target.exclusive = permit
    host.add(permit)
    target.inFlight.add(permit)
    counters.adopted += 1
  }

  #reclaim(permit: IssuedPermit): void {
    this.#options.counters.reclaimed += 1
    this.#remove(permit)
    this.#options.onEnded(permit)
  }

  #remove(permit: IssuedPermit): void {
    const { target } = permit
    permit.host.remove(permit)
    target.inFlight.delete(permit)
    if (target.exclusive === permit) target.exclusive = undefined
    if (permit.alone) this.#options.crashes.suspectTracker.recordLoneRunEnd(permit.identity)
  }
}
