/** Types of a stand-in target's interfaces: the checker of grants, the adjustable behaviour, and the record. */
import type { Clock } from '@pimentotally/core'

/** What a request carries of its service, key and owner. */
export interface GrantCheck {
  readonly service: string
  readonly shard?: number
  readonly keyHash?: string
  readonly fence?: string
  readonly term?: string
}

/** Holds the grants of a target and checks requests against them. */
export interface GrantChecker {
  /** Handles the parsed body of `POST /grants` and returns the body of the response. */
  handle(body: unknown, inFlight: number): unknown
  /** Whether a request may start. Called when the request has been read, at the moment it would start. */
  check(request: GrantCheck): { readonly ok: true } | { readonly ok: false; readonly reason: string }
}

/** Accepts every grant and every request; for targets that do not verify grants. */
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

/**
 * Behaviour that the admin listener can change at run time. `stallBody`, `truncateBody`, `crossAnswer` and
 * `unsolicitedBytes` are the shares of requests, between 0 and 1, that get the fault.
 */
export interface TargetBehaviour {
  slots: number
  /** Distribution of the service time. `uniform` is between 0 and twice its mean. */
  serviceTime: ServiceTime
  /** How many requests a cold target can run at once; further ones fail with status 500. */
  coldSlots: number
  /** Factor by which service times are longer while the target is cold. */
  coldFactor: number
  /** Factor by which service times are longer; a target with a factor above 1 is a straggler. */
  stragglerFactor: number
  /** Load reports give the number of requests in flight this long ago, multiplied by `loadFactor`. */
  loadLagMs: number
  loadFactor: number
  /** While true, every request is refused with the reason `draining`. */
  draining: boolean
  /** Sends half of the body and keeps the connection open. */
  stallBody: number
  /** Sends half of the body and closes the connection. */
  truncateBody: number
  /** Puts the request id of the previous response into the response. */
  crossAnswer: number
  /** Writes a second response to the connection 1 ms after the first. */
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
  /** How often each request ran, by idempotency key, else by `x-request-identity`, else under an empty key. */
  runs: Record<string, number>
  /** The most requests that were present at the same time, including those that were refused. */
  mostAtOnce: number
  /** The most requests that ran at the same time. */
  mostRunning: number
  /** The most connections that were open at the same time. */
  mostConnections: number
  refusals: Record<string, number>
  cancelled: number
  /** The fences under which each key was served. The key is the header `x-key`, else the second path segment. */
  fences: Record<string, SeenFence[]>
}
