/**
 * Permits: with a permit, the coordinator of a cell allows a host to send one request to one target, using
 * one of the target's slots. The abstract classes are the interfaces between three parts of the router: the
 * request path, slot accounting (package limits) and shard ownership (package ownership).
 */
import type { Result } from 'true-myth'
import type { Fence, Term } from './term.js'

export const AttemptKind = { first: 'first', retry: 'retry', hedge: 'hedge' } as const
export type AttemptKind = (typeof AttemptKind)[keyof typeof AttemptKind]

export interface PermitRequest {
  readonly requestId: string
  readonly service: string
  /** Present for a keyed service. */
  readonly shard?: number
  /** 16 hex digits; present for a keyed service. */
  readonly keyHash?: string
  /** Targets that must not be chosen for this attempt. */
  readonly excludedTargets: readonly string[]
  /** Time left until the caller's deadline. */
  readonly deadlineMs: number
  /** The same for every send of a request; a request that crashes targets is recognised by it. */
  readonly identity: string
  readonly attempt: AttemptKind
  readonly idempotent: boolean
}

export interface Permit {
  readonly permitId: string
  readonly cellId: string
  readonly term: Term
  readonly target: string
  /** IP address and port. */
  readonly address: string
  /** Present for a keyed service. */
  readonly fence?: Fence
  /** Time to write the first byte of the request, counted from before the permit was requested. */
  readonly sendWithinMs: number
  /** Delay after which an idempotent request may be hedged; absent when hedging is not wanted now. */
  readonly hedgeAfterMs?: number
}

export const PermitRefusalCode = {
  noCoordinator: 'no_coordinator',
  ownerUnreachable: 'owner_unreachable',
  shardMoving: 'shard_moving',
  queueFull: 'queue_full',
  deadlineTooShort: 'deadline_too_short',
  noTarget: 'no_target',
  requestBlocked: 'request_blocked',
  budgetExhausted: 'budget_exhausted',
  cancelled: 'cancelled',
} as const
export type PermitRefusalCode = (typeof PermitRefusalCode)[keyof typeof PermitRefusalCode]

/** A refusal always means that the request did not run. */
export interface PermitRefusal {
  readonly code: PermitRefusalCode
  readonly message: string
  readonly retryAfterMs?: number
}

export const AttemptOutcome = {
  ok: 'ok',
  /** The target refused the request before starting it. */
  refused: 'refused',
  failed: 'failed',
  timedOut: 'timed-out',
  cancelled: 'cancelled',
  connectionLost: 'connection-lost',
  /** The permit was not used. */
  unused: 'unused',
} as const
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome]

/** How an attempt ended, reported when its permit is released. */
export interface PermitReport {
  readonly outcome: AttemptOutcome
  /** From the first byte of the request written to the head of the response. */
  readonly latencyMs: number
}

/** Source of permits for the request path: the local coordinator, or one reached over a peer stream. */
export abstract class PermitSource {
  /**
   * Requests a permit. Never rejects: a refusal is a result. When the signal is aborted it resolves to
   * `cancelled`, and a permit issued meanwhile is given back to the coordinator.
   */
  abstract acquire(request: PermitRequest, signal: AbortSignal): Promise<Result<Permit, PermitRefusal>>

  /** Must be called exactly once for each permit, after the request has certainly ended at the target. */
  abstract release(permit: Permit, report: PermitReport): void
}

export interface ShardOwner {
  readonly target: string
  readonly fence: Fence
}

/** The authority of a coordinator over its cell, for slot accounting: its term and the shard owners. */
export abstract class CellAuthority {
  abstract readonly cellId: string

  /** The term of the coordinator, or undefined when it holds no valid term at this moment. */
  abstract term(): Term | undefined

  /** Remaining validity of the term in ms; 0 when no term is held. */
  abstract validForMs(): number

  /** The owner of a key, or undefined while its shard has none or is moving. */
  abstract owner(service: string, shard: number, keyHash: string): ShardOwner | undefined
}

/** What a target reports of itself in its response to a grant or a probe. */
export interface TargetReport {
  readonly instanceId: string
  readonly uptimeMs: number
  /**
   * The number of requests that were running when a target that verifies grants responded in the present
   * term. From then on it refuses requests of earlier terms, so at most this many of those can still be
   * running later.
   */
  readonly inFlight?: number
}

/** Slot accounting as the coordinator uses it. */
export abstract class PermitLedger {
  /** Starts issuing permits in a new term; `earlierHosts` may hold permits of an earlier term. */
  abstract startTerm(term: Term, earlierHosts: readonly string[]): void

  /** Stops issuing permits and refuses all queued requests. */
  abstract endTerm(): void

  /** To be called after each response of a target to a grant or a probe. */
  abstract targetAnswered(target: string, report: TargetReport): void

  /** To be called when a target has not responded for so long that its lease has lapsed. */
  abstract targetLost(target: string): void

  /** Resolves when no permit issued for these shards is outstanding and none can still be used. */
  abstract whenNoPermitOutstanding(
    service: string,
    shards: readonly number[],
    signal: AbortSignal,
  ): Promise<void>

  /** The number of requests for each shard since the previous call, used to balance shards. */
  abstract takeShardLoad(service: string): ReadonlyMap<number, number>

  /** The most requested key hashes, with the number of requests since the previous call; at most `limit`. */
  abstract takeHotKeys(
    service: string,
    limit: number,
  ): readonly { keyHash: string; shard: number; count: number }[]
}
