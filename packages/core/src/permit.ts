/**
 * Permits: permission of a cell's coordinator to send one request to one target over one of its slots. The abstract
 * classes are the seams between the request path, the slot accounting and the ownership of shards.
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
  readonly excludedTargets: readonly string[]
  /** Time left until the caller's deadline. */
  readonly deadlineMs: number
  /** Identity by which a crashing request is recognised. */
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
  /** The first byte must be written within this time, counted from before the permit was asked for. */
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
  /** The target refused before it started. */
  refused: 'refused',
  failed: 'failed',
  timedOut: 'timed-out',
  cancelled: 'cancelled',
  connectionLost: 'connection-lost',
  /** The permit was not used. */
  unused: 'unused',
} as const
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome]

export interface PermitReport {
  readonly outcome: AttemptOutcome
  /** From the first byte written to the head of the answer. */
  readonly latencyMs: number
}

/** Where the request path gets permits, from the local coordinator or over a peer stream. */
export abstract class PermitSource {
  /** Resolves to a refusal, never rejects; an aborted signal resolves to `cancelled` and returns any permit. */
  abstract acquire(request: PermitRequest, signal: AbortSignal): Promise<Result<Permit, PermitRefusal>>

  /** Must be called exactly once for each permit, after the request has certainly ended at the target. */
  abstract release(permit: Permit, report: PermitReport): void
}

export interface ShardOwner {
  readonly target: string
  readonly fence: Fence
}

/** What slot accounting asks of the coordinator's tenure. */
export abstract class CellAuthority {
  abstract readonly cellId: string

  /** The term, while it is valid at this moment. */
  abstract term(): Term | undefined

  /** Remaining validity of the term in ms, 0 when none is held. */
  abstract validForMs(): number

  /** The owner of a key, or undefined while its shard has none or is moving. */
  abstract owner(service: string, shard: number, keyHash: string): ShardOwner | undefined
}

/** What a target said in a grant or probe answer. */
export interface TargetReport {
  readonly instanceId: string
  readonly uptimeMs: number
  /**
   * Requests that ran when a verifying target answered under the present term. It refuses requests of earlier terms from
   * then on, so no more of those can be running later.
   */
  readonly inFlight?: number
}

/** What the coordinator asks of slot accounting. */
export abstract class PermitLedger {
  /** Starts lending under a new term; `earlierHosts` may hold permits of an earlier term. */
  abstract startTerm(term: Term, earlierHosts: readonly string[]): void

  /** Stops lending and refuses all queued requests. */
  abstract endTerm(): void

  abstract targetAnswered(target: string, report: TargetReport): void

  abstract targetLost(target: string): void

  /** Resolves when no permit lent for these shards is outstanding and none can still be used. */
  abstract whenNoPermitOutstanding(
    service: string,
    shards: readonly number[],
    signal: AbortSignal,
  ): Promise<void>

  /** Requests per shard since the last call, for balancing. */
  abstract takeShardLoad(service: string): ReadonlyMap<number, number>

  /** The most requested key hashes with their counts since the last call. */
  abstract takeHotKeys(
    service: string,
    limit: number,
  ): readonly { keyHash: string; shard: number; count: number }[]
}
