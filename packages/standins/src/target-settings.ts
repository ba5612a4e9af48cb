/** What a stand-in target can be told and asked: grants, switches and its record. */
import type { Clock } from '@pimentotally/core'

export interface GrantCheck {
  readonly service: string
  readonly shard?: number
  readonly keyHash?: string
  readonly fence?: string
  readonly term?: string
}

/** What the target asks of the holder of its grants. */
export interface GrantChecker {
  /** Answers the parsed body of `POST /grants`. */
  handle(body: unknown, inFlight: number): unknown
  /** Asked at the moment a request starts, after it was read. */
  check(request: GrantCheck): { readonly ok: true } | { readonly ok: false; readonly reason: string }
}

/** For targets that do not verify grants. */
export class AcceptingGrantChecker implements GrantChecker {
  readonly #clock: Clock
  readonly #instanceId: string
  #highestTerm = ''

  constructor(clock: Clock, instanceId: string) {
    this.#clock = clock
    this.#instanceId = instanceId
  }

  handle(body: unknown, inFlight: number): unknown {
    const { term = '', setVersion = 0 } = (body ?? {}) as { term?: string; setVersion?: number }
    if (term > this.#highestTerm) this.#highestTerm = term
    const uptimeMs = this.#clock.monotonicMs()
    const { highestTerm } = { highestTerm: this.#highestTerm }
    const instanceId = this.#instanceId
    return {
      accepted: true,
      highestTerm,
      instanceId,
      uptimeMs,
      clockMs: uptimeMs,
      setVersion,
      inFlight,
      held: [],
    }
  }

  check(): { readonly ok: true } {
    return { ok: true }
  }
}

export type ServiceTime =
  | { readonly kind: 'fixed'; readonly ms: number }
  | { readonly kind: 'uniform'; readonly ms: number }
  | { readonly kind: 'exponential'; readonly ms: number }

/** Switched at run time; faults are shares of requests between 0 and 1. */
export interface TargetBehaviour {
  slots: number
  /** `uniform` lies between 0 and twice its mean. */
  serviceTime: ServiceTime
  /** Requests a cold target can run at once; beyond them it fails with status 500. */
  coldSlots: number
  /** Service times are this many times longer while cold. */
  coldFactor: number
  /** Above 1 the target is a straggler. */
  stragglerFactor: number
  /** Load reports show the state of this long ago, multiplied by `loadFactor`. */
  loadLagMs: number
  loadFactor: number
  draining: boolean
  stallBody: number
  truncateBody: number
  crossAnswer: number
  unsolicitedBytes: number
}

/** A fence under which a key was served; `firstMs` and `lastMs` are wall-clock times. */
export interface SeenFence {
  readonly fence: string
  readonly firstMs: number
  lastMs: number
}

export interface TargetRecord {
  readonly instanceId: string
  /** Runs by idempotency key, else by `x-request-identity`. */
  runs: Record<string, number>
  /** Requests in work at once, with those that were refused. */
  mostAtOnce: number
  mostRunning: number
  mostConnections: number
  refusals: Record<string, number>
  cancelled: number
  /** By key: the header `x-key`, else the second path segment. */
  fences: Record<string, SeenFence[]>
}
