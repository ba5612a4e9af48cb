/** The data of slot accounting: acquire calls, issued permits, and the hosts that hold them. */
import type { AttemptKind, PermitRefusal, PermitRequest, Permit } from '@pimentotally/core'
import type { Result } from 'true-myth'
import type { WaitQueue } from './queue.js'
import type { PermitSink } from './session.js'
import type { TargetState } from './target.js'

/** An acquire call, until it gets a permit or a refusal. */
export interface Call {
  readonly callId: number
  readonly session: Session
  readonly request: PermitRequest
  readonly receivedAtMs: number
  readonly deadlineAtMs: number
  /** True for a suspect: it runs only while nothing else runs on its target. */
  mustRunAlone: boolean
  /** The queue that the call waits in; undefined while it does not wait. */
  queue: WaitQueue | undefined
  /** The target that is kept free for this suspect: it takes nothing else until the suspect has run there. */
  claim: TargetState | undefined
  /** True once the call has got its permit or refusal, was cancelled or was dropped. */
  done: boolean
  /**
   * Resolves a call of this process; undefined for a call of a stream, whose result goes to the session's
   * sink.
   */
  settle: ((result: Result<Permit, PermitRefusal>) => void) | undefined
}

/** An issued permit, until its host releases it, no longer lists it at a reconnect, or is gone. */
export interface IssuedPermit {
  readonly permitId: string
  readonly host: HostState
  readonly target: TargetState
  readonly service: string
  readonly shard: number | undefined
  readonly identity: string
  /** Undefined for a permit that was learned from the list of its host, usually one of an earlier term. */
  readonly attempt: AttemptKind | undefined
  readonly issuedAtMs: number
  /** The first byte cannot be written after this time. */
  readonly sendUntilMs: number
  readonly deadlineAtMs: number
  /**
   * The target's generation when the permit was issued; results of earlier generations do not warm up the
   * target.
   */
  readonly generation: number
  /** True when the request is a suspect that runs with nothing else on its target. */
  readonly alone: boolean
  /** True once its target has crashed and the request became a suspect for that crash. */
  hasTargetCrashed: boolean
}

/** The permits that are counted for one host, and its session. */
export class HostState {
  readonly hostId: string
  readonly permits = new Map<string, IssuedPermit>()
  readonly #counts = new Map<TargetState, number>()
  session: Session | undefined
  /** The highest session number seen; a session with a lower one is an old stream that arrives late. */
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

/** A session of a host, with its waiting calls. */
export interface Session {
  readonly host: HostState
  readonly sink: PermitSink | undefined
  readonly calls: Map<number, Call>
  open: boolean
}
