/** The records of slot accounting: waiting calls, permits that were lent, and the hosts that hold them. */
import type { AttemptKind, PermitRefusal, PermitRequest, Permit } from '@pimentotally/core'
import type { Result } from 'true-myth'
import type { WaitQueue } from './queue.js'
import type { PermitSink } from './session.js'
import type { TargetState } from './target.js'

/** An acquire call until it is answered. */
export interface Call {
  readonly callId: number
  readonly session: Session
  readonly request: PermitRequest
  readonly receivedAtMs: number
  readonly deadlineAtMs: number
  /** Suspects run alone on a target. */
  mustRunAlone: boolean
  /** Present while the call waits. */
  queue: WaitQueue | undefined
  /** The target that takes nothing else until this suspect ran there, and since when. */
  claim: TargetState | undefined
  /** Set by a cancel, or once answered. */
  done: boolean
  /** Answers a local caller; absent for calls of a stream, which are answered through the sink. */
  settle: ((answer: Result<Permit, PermitRefusal>) => void) | undefined
}

/** A permit until it is returned, found ended at a reconnect, or reclaimed. */
export interface IssuedPermit {
  readonly permitId: string
  readonly host: HostState
  readonly target: TargetState
  readonly service: string
  readonly shard: number | undefined
  readonly identity: string
  /** Undefined for a permit of an earlier term. */
  readonly attempt: AttemptKind | undefined
  readonly issuedAtMs: number
  /** The first byte cannot be written after this time. */
  readonly sendUntilMs: number
  readonly deadlineAtMs: number
  /** The target's start count when the permit was lent; successes of earlier starts do not warm it up. */
  readonly generation: number
  readonly alone: boolean
  /** Its target crashed meanwhile, and the request was put under suspicion for it. */
  hasTargetCrashed: boolean
}

/** What one host holds. */
export class HostState {
  readonly hostId: string
  readonly permits = new Map<string, IssuedPermit>()
  readonly #counts = new Map<TargetState, number>()
  session: Session | undefined
  /** The highest session number seen; a lower one is an old stream that arrives late. */
  lastSession = -1

  constructor(hostId: string) {
    this.hostId = hostId
  }

  heldPermitCount(target: TargetState): number {
    return this.#counts.get(target) ?? 0
  }

  add(permit: IssuedPermit): void {
    this.permits.set(permit.permitId, permit)
    this.#counts.set(permit.target, this.heldPermitCount(permit.target) + 1)
  }

  remove(permit: IssuedPermit): void {
    this.permits.delete(permit.permitId)
    const rest = this.heldPermitCount(permit.target) - 1
    if (rest > 0) this.#counts.set(permit.target, rest)
    else this.#counts.delete(permit.target)
  }
}

/** A host's session with its waiting calls. */
export interface Session {
  readonly host: HostState
  readonly sink: PermitSink | undefined
  readonly calls: Map<number, Call>
  open: boolean
}
