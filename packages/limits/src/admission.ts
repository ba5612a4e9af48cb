/** Decides whether an acquire call gets a permit for a slot of a target, waits, or is refused. */
import {
  AttemptKind,
  type CellAuthority,
  type Clock,
  type Fence,
  type InvariantReporter,
  type Permit,
  type PermitRefusal,
  PermitRefusalCode,
  type PermitRequest,
  type Random,
  type Term,
} from '@pimentotally/core'
import { Result } from 'true-myth'
import { cancelledRefusal } from './local-permit-source.js'
import type { PermitCounters } from './counters.js'
import type { CrashMonitor } from './crash-monitor.js'
import type { CellHosts } from './cell-hosts.js'
import type { ServiceState } from './service.js'
import type { Call, IssuedPermit, Session } from './state.js'
import type { TargetState } from './target.js'
import type { CellTargets } from './cell-targets.js'

export interface AdmissionOptions {
  readonly cellId: string
  readonly clock: Clock
  readonly random: Random
  readonly authority: CellAuthority
  readonly invariants: InvariantReporter
  readonly targets: CellTargets
  readonly hosts: CellHosts
  readonly crashes: CrashMonitor
  readonly counters: PermitCounters
  readonly keyedDrainMs: number
  /** Queues a call that no target can take at this moment, or refuses it. */
  readonly wait: (call: Call, service: ServiceState, reason: WaitReason, nowMs: number) => void
}

/**
 * Why no target can take a call at this moment. It waits for a free slot, for a free slot of the owner of its
 * key, or until its shard has an owner; with `never`, no target of the cell can take it and it is refused.
 */
export const WaitReason = { forSlot: 'slot', forOwner: 'owner', forMove: 'move', never: 'never' } as const
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason]

export const noCoordinatorRefusal: PermitRefusal = {
  code: PermitRefusalCode.noCoordinator,
  message: 'this host does not hold the term of the cell',
}

export const refusal = (code: PermitRefusalCode, message: string, retryAfterMs?: number): PermitRefusal => ({
  code,
  message,
  retryAfterMs,
})

export class Admission {
  readonly #options: AdmissionOptions
  #term: Term | undefined
  #permitIdPrefix = ''
  #permitCount = 0
  /** The fence of the owner that the latest call of `ownerOf` found. */
  #fence: Fence | undefined

  constructor(options: AdmissionOptions) {
    this.#options = options
  }

  get term(): Term | undefined {
    return this.#term
  }

  /** True while permits can be issued: the term was started and the cell's authority still holds it. */
  get active(): boolean {
    return this.#term !== undefined && this.#options.authority.term() === this.#term
  }

  startTerm(term: Term): void {
    this.#term = term
    // Terms are unique, so a permit id that starts with one is unique over all coordinators.
    this.#permitIdPrefix = term
      .split('.')
      .map((part) => parseInt(part, 16).toString(36))
      .join('-')
    this.#permitCount = 0
  }

  endTerm(): void {
    this.#term = undefined
  }

  acquire(session: Session, callId: number, request: PermitRequest, settle: Call['settle']): Call {
    const receivedAtMs = this.#options.clock.monotonicMs()
    const call: Call = {
      callId,
      session,
      request,
      receivedAtMs,
      deadlineAtMs: receivedAtMs + request.deadlineMs,
      mustRunAlone: false,
      queue: undefined,
      claim: undefined,
      done: false,
      settle,
    }
    this.#options.targets.refresh()
    const service = this.#options.targets.service(request.service)
    if (!this.active) this.refuse(call, noCoordinatorRefusal)
    else if (service === undefined) {
      this.refuse(call, refusal(PermitRefusalCode.noTarget, `service ${request.service} is not declared`))
    } else this.#admit(call, service, receivedAtMs)
    return call
  }

  cancel(call: Call): void {
    if (!call.done) this.refuse(call, cancelledRefusal)
  }

  /** Refuses a call that is not finished. A refused call has certainly reached no target. */
  refuse(call: Call, permitRefusal: PermitRefusal): void {
    if (call.done) return
    this.#finish(call)
    this.#options.counters.refused(permitRefusal.code)
    if (call.settle !== undefined) call.settle(Result.err(permitRefusal))
    else call.session.sink?.refused(call.callId, permitRefusal)
  }

  /** Drops a call without a response, when the session of its host has ended. */
  forget(call: Call): void {
    this.#finish(call)
  }

  /** Finds a target that can take the call now, or returns what the call has to wait for. */
  place(call: Call, service: ServiceState, nowMs: number): TargetState | WaitReason {
    const { request } = call
    if (request.shard === undefined) {
      const { hosts, random } = this.#options
      const { isHostCapActive } = hosts
      const target = service.chooseTarget(call, nowMs, random, (candidate) =>
        candidate.admits(call, call.session.host, nowMs, isHostCapActive, hosts.reservedAt(candidate)),
      )
      if (target !== undefined) return target
      return service.hasTargetFor(request) ? WaitReason.forSlot : WaitReason.never
    }
    const owner = this.ownerOf(call, nowMs)
    if (owner === undefined) return WaitReason.forMove
    if (request.excludedTargets.includes(owner.spec.name)) return WaitReason.never
    return this.admits(owner, call, nowMs) ? owner : WaitReason.forOwner
  }

  admits(target: TargetState, call: Call, nowMs: number): boolean {
    const { hosts } = this.#options
    return target.admits(call, call.session.host, nowMs, hosts.isHostCapActive, hosts.reservedAt(target))
  }

  /** The owner of the call's key; undefined without one, or once it has been draining for `keyedDrainMs`. */
  ownerOf({ request }: Call, nowMs: number): TargetState | undefined {
    const { authority, targets, keyedDrainMs } = this.#options
    if (request.shard === undefined) return undefined
    const owner = authority.owner(request.service, request.shard, request.keyHash ?? '')
    const target = owner === undefined ? undefined : targets.get(owner.target)
    if (target === undefined) return undefined
    if (target.draining && nowMs - target.drainingSinceMs >= keyedDrainMs) return undefined
    this.#fence = owner?.fence
    return target
  }

  /** Issues a permit for a slot of `target` or refuses the call. Always true: the call is then finished. */
  issuePermit(call: Call, service: ServiceState, target: TargetState, nowMs: number): boolean {
    const { authority, invariants, hosts, counters, crashes } = this.#options
    const { request, session } = call
    if (nowMs >= call.deadlineAtMs) return this.#refused(call, this.deadlineRefusal(service))
    if (crashes.suspectTracker.isBlocked(request.identity)) return this.#refused(call, this.#blocked())
    const validForMs = this.active ? authority.validForMs() : 0
    const term = this.#term
    if (term === undefined || validForMs <= 0) return this.#refused(call, noCoordinatorRefusal)
    const reserved = hosts.reservedAt(target)
    const fits = invariants.check(
      target.inFlight.size + reserved < target.allowedSlots(nowMs) &&
        target.exclusive === undefined &&
        (!call.mustRunAlone || target.inFlight.size + reserved === 0),
      'permits.slots',
      () => ({ target: target.spec.name, inFlight: target.inFlight.size, reserved }),
    )
    if (!fits) return this.#refused(call, refusal(PermitRefusalCode.queueFull, 'no free slot', 100))
    if (!service.budget.spend(request.attempt)) return this.#refused(call, this.#overBudget(request.attempt))
    this.#finish(call)
    if (request.attempt === AttemptKind.first) service.budget.recordFirstAttempt(service.spec)
    counters.lent(request.attempt)
    this.#permitCount += 1
    // The host counts from before it sent the acquire, so the time that the call waited here is added.
    const sendWithinMs = Math.floor(
      Math.min(validForMs, call.deadlineAtMs - nowMs) + nowMs - call.receivedAtMs,
    )
    const permit: Permit = {
      permitId: `${this.#permitIdPrefix}-${this.#permitCount.toString(36)}`,
      cellId: this.#options.cellId,
      term,
      target: target.spec.name,
      address: target.spec.address,
      fence: request.shard === undefined ? undefined : this.#fence,
      sendWithinMs,
      hedgeAfterMs: service.hedgeAfterMs(request),
    }
    this.#record(call, target, permit, nowMs)
    if (request.shard !== undefined) {
      service.shardLoad.set(request.shard, (service.shardLoad.get(request.shard) ?? 0) + 1)
      if (request.keyHash !== undefined) service.hotKeys.add(request.keyHash, request.shard)
    }
    if (call.settle !== undefined) call.settle(Result.ok(permit))
    else session.sink?.lent(call.callId, permit)
    return true
  }

  /** The refusal of a call whose deadline passed while it waited. */
  deadlineRefusal(service: ServiceState): PermitRefusal {
    return refusal(
      PermitRefusalCode.deadlineTooShort,
      `the deadline passed while waiting for a slot of ${service.spec.name}`,
      Math.max(10, Math.ceil(service.latency.meanMs)),
    )
  }

  #admit(call: Call, service: ServiceState, nowMs: number): void {
    const { request } = call
    const { suspectTracker } = this.#options.crashes
    if (suspectTracker.isBlocked(request.identity)) {
      this.refuse(call, this.#blocked())
      return
    }
    if (request.deadlineMs <= 0) {
      this.refuse(call, this.deadlineRefusal(service))
      return
    }
    call.mustRunAlone = suspectTracker.isSuspect(request.identity)
    const hedge = request.attempt === AttemptKind.hedge
    if (hedge && (!service.mayHedge(request) || call.mustRunAlone)) {
      this.refuse(call, refusal(PermitRefusalCode.budgetExhausted, 'a hedge would not help now'))
      return
    }
    if (!service.budget.allows(request.attempt)) {
      this.refuse(call, this.#overBudget(request.attempt))
      return
    }
    const mayRun = !call.mustRunAlone || suspectTracker.mayRun(request.identity, nowMs)
    const place = mayRun ? this.place(call, service, nowMs) : this.#waitReasonOf(call, nowMs)
    if (typeof place !== 'string') {
      this.issuePermit(call, service, place, nowMs)
    } else if (hedge) {
      this.refuse(call, refusal(PermitRefusalCode.queueFull, 'no slot is free for a hedge'))
    } else {
      this.#options.wait(call, service, place, nowMs)
    }
  }

  #waitReasonOf(call: Call, nowMs: number): WaitReason {
    if (call.request.shard === undefined) return WaitReason.forSlot
    return this.ownerOf(call, nowMs) === undefined ? WaitReason.forMove : WaitReason.forOwner
  }

  #record(call: Call, target: TargetState, { permitId, sendWithinMs }: Permit, nowMs: number): void {
    const { request, session, mustRunAlone: alone } = call
    const permit: IssuedPermit = {
      permitId,
      host: session.host,
      target,
      service: request.service,
      shard: request.shard,
      identity: request.identity,
      attempt: request.attempt,
      issuedAtMs: nowMs,
      sendUntilMs: call.receivedAtMs + sendWithinMs,
      deadlineAtMs: call.deadlineAtMs,
      generation: target.generation,
      alone,
      hasTargetCrashed: false,
    }
    session.host.add(permit)
    target.inFlight.add(permit)
    if (!alone) return
    target.exclusive = permit
    this.#options.crashes.suspectTracker.recordLoneRunStart(request.identity)
  }

  #finish(call: Call): void {
    call.done = true
    if (call.claim !== undefined) {
      call.claim.claim = undefined
      call.claim = undefined
    }
    if (call.queue === undefined) return
    call.queue.remove(call)
    call.session.calls.delete(call.callId)
  }

  #refused(call: Call, permitRefusal: PermitRefusal): true {
    this.refuse(call, permitRefusal)
    return true
  }

  #blocked(): PermitRefusal {
    return refusal(PermitRefusalCode.requestBlocked, 'the request crashed its targets and is blocked')
  }

  #overBudget(attempt: AttemptKind): PermitRefusal {
    return refusal(PermitRefusalCode.budgetExhausted, `the ${attempt} budget of the service is used up`)
  }
}
