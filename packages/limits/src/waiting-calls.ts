/**
 * The calls that wait: for a slot, for a slot of the owner of their key, for their shard to get an owner, or,
 * as suspects, for an idle target.
 */
import { type Clock, PermitRefusalCode } from '@pimentotally/core'
import { type Admission, refusal, WaitReason } from './admission.js'
import type { PermitCounters } from './counters.js'
import type { CrashMonitor } from './crash-monitor.js'
import type { CellHosts } from './cell-hosts.js'
import type { ServiceState } from './service.js'
import type { Call } from './state.js'
import type { TargetState } from './target.js'
import type { CellTargets } from './cell-targets.js'

/**
 * A suspect is refused after waiting this long for its claimed target to become idle, so that others get its
 * slots.
 */
const claimTimeoutMs = 1000

/** Share of a service's targets that may be kept free for suspects at once; one target always may be. */
const maxClaimedShare = 0.25

export interface WaitingCallsOptions {
  readonly clock: Clock
  readonly admission: Admission
  readonly targets: CellTargets
  readonly hosts: CellHosts
  readonly crashes: CrashMonitor
  readonly counters: PermitCounters
}

export class WaitingCalls {
  readonly #options: WaitingCallsOptions

  constructor(options: WaitingCallsOptions) {
    this.#options = options
  }

  get size(): number {
    let size = 0
    for (const service of this.#options.targets.services()) {
      for (const queue of service.queues()) size += queue.size
    }
    return size
  }

  /** Queues a call, or refuses it when it cannot be served in time. */
  add(call: Call, service: ServiceState, reason: WaitReason, nowMs: number): void {
    const { admission, counters } = this.#options
    if (reason === WaitReason.never) {
      const text = `no target of ${service.spec.name} in this cell can take the request`
      admission.refuse(call, refusal(PermitRefusalCode.noTarget, text, 1000))
      return
    }
    const owner = reason === WaitReason.forOwner ? admission.ownerOf(call, nowMs) : undefined
    const queue =
      reason === WaitReason.forSlot
        ? service.waiting
        : owner === undefined
          ? service.waitingForMove
          : service.ownerQueue(owner.spec.name)
    const slots =
      owner === undefined
        ? service.targets.reduce((sum, target) => sum + (target.lost ? 0 : service.spec.slots), 0)
        : service.spec.slots
    const permitRefusal = service.waitRefusal(call, queue, Math.max(slots, service.spec.slots), nowMs)
    if (permitRefusal !== undefined) {
      const code = reason === WaitReason.forMove ? PermitRefusalCode.shardMoving : permitRefusal.code
      admission.refuse(call, { ...permitRefusal, code })
      return
    }
    queue.add(call)
    call.session.calls.set(call.callId, call)
    counters.queued += 1
    if (call.mustRunAlone) this.#claim(call, service, nowMs)
  }

  /**
   * Offers free slots of a target to the calls that wait for them, a suspect that claims the target first.
   */
  serve(target: TargetState): void {
    const { admission, targets, hosts, clock } = this.#options
    const service = targets.service(target.service.name)
    if (service === undefined || !admission.active) return
    const nowMs = clock.monotonicMs()
    const { claim } = target
    if (claim !== undefined) {
      this.#offer(claim, service, target, nowMs)
      if (target.claim !== undefined) return
    }
    const keyed = service.spec.keyed !== undefined
    if (!keyed && (target.draining || service.avoids(target))) return
    const queue = keyed ? service.waitingForOwner.get(target.spec.name) : service.waiting
    if (queue === undefined) return
    for (const call of queue) {
      if (target.inFlight.size + hosts.reservedAt(target) >= target.allowedSlots(nowMs)) return
      this.#offer(call, service, target, nowMs)
    }
  }

  serveAll(): void {
    for (const target of this.#options.targets.all()) this.serve(target)
  }

  /** Refuses calls whose deadline has passed, requeues those whose owner changed, and offers free slots. */
  sweep(nowMs: number): void {
    const { targets, admission } = this.#options
    for (const service of targets.services()) {
      for (const queue of service.queues()) {
        for (const call of queue) {
          if (nowMs >= call.deadlineAtMs) this.#expire(call, service)
          else if (call.request.shard !== undefined) this.#requeueAtOwner(call, service, nowMs)
          if (call.mustRunAlone && !call.done) this.#sweepSuspect(call, service, nowMs)
        }
      }
    }
    if (admission.active) this.serveAll()
  }

  #offer(call: Call, service: ServiceState, target: TargetState, nowMs: number): void {
    const { admission, crashes } = this.#options
    const { request } = call
    if (request.shard !== undefined && admission.ownerOf(call, nowMs) !== target) return
    if (request.shard === undefined && request.excludedTargets.includes(target.spec.name)) return
    if (!call.mustRunAlone && crashes.suspectTracker.isSuspect(request.identity)) {
      call.mustRunAlone = true
      this.#claim(call, service, nowMs)
    }
    if (call.mustRunAlone && !crashes.suspectTracker.mayRun(request.identity, nowMs)) return
    if (admission.admits(target, call, nowMs)) admission.issuePermit(call, service, target, nowMs)
  }

  #expire(call: Call, service: ServiceState): void {
    const { admission } = this.#options
    const permitRefusal = admission.deadlineRefusal(service)
    const moving = call.queue === service.waitingForMove
    admission.refuse(call, moving ? { ...permitRefusal, code: PermitRefusalCode.shardMoving } : permitRefusal)
  }

  /** Moves a waiting keyed call to the queue of its current owner, or to that of calls without an owner. */
  #requeueAtOwner(call: Call, service: ServiceState, nowMs: number): void {
    const owner = this.#options.admission.ownerOf(call, nowMs)
    const queue = owner === undefined ? service.waitingForMove : service.ownerQueue(owner.spec.name)
    if (call.queue === queue) return
    this.#unclaim(call)
    call.queue?.remove(call)
    queue.add(call)
  }

  #sweepSuspect(call: Call, service: ServiceState, nowMs: number): void {
    const { claim } = call
    if (claim === undefined) {
      this.#claim(call, service, nowMs)
    } else if (claim.lost || claim.draining || claim.mayHaveRestarted) {
      this.#unclaim(call)
    } else if (nowMs - claim.claimedAtMs > claimTimeoutMs) {
      const text = `no target of ${service.spec.name} became idle for a request that must run alone`
      this.#options.admission.refuse(call, refusal(PermitRefusalCode.queueFull, text, claimTimeoutMs))
    }
  }

  /**
   * Claims a target for a suspect and keeps it free: the owner of its key, or else the one with the fewest in
   * flight.
   */
  #claim(call: Call, service: ServiceState, nowMs: number): void {
    const { admission, crashes } = this.#options
    if (call.claim !== undefined || !crashes.suspectTracker.mayRun(call.request.identity, nowMs)) return
    let target: TargetState | undefined
    if (call.request.shard !== undefined) {
      target = admission.ownerOf(call, nowMs)
    } else {
      const claimed = service.targets.filter(({ claim }) => claim !== undefined).length
      if (claimed >= Math.max(1, service.targets.length * maxClaimedShare)) return
      for (const candidate of service.targets) {
        if (candidate.lost || candidate.draining || candidate.mayHaveRestarted) continue
        if (candidate.claim !== undefined) continue
        if (call.request.excludedTargets.includes(candidate.spec.name)) continue
        if (target === undefined || candidate.inFlight.size < target.inFlight.size) target = candidate
      }
    }
    if (target === undefined || target.claim !== undefined || target.mayHaveRestarted) return
    target.claim = call
    target.claimedAtMs = nowMs
    call.claim = target
  }

  #unclaim(call: Call): void {
    if (call.claim === undefined) return
    call.claim.claim = undefined
    call.claim = undefined
  }
}
