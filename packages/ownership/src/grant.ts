/** Messages of the targets' grant protocol, `POST /grants`, and the client for one target. */
import type { Fence, Term } from '@pimentotally/core'

/** Shards of one service that share a fence. */
export interface ShardGrant {
  readonly service: string
  readonly shardCount: number
  /** Base64 bitmap. */
  readonly shards: string
  readonly fence: Fence
}

/** One key that is assigned separately from its shard. */
export interface KeyGrant {
  readonly service: string
  readonly shard: number
  /** 16 hex digits. */
  readonly keyHash: string
  readonly fence: Fence
}

/** Everything a target may run keyed requests for. */
export interface GrantSet {
  readonly grants: readonly ShardGrant[]
  readonly overrides: readonly KeyGrant[]
  /** Keys of granted shards that other targets own; `fence` is that of the override. */
  readonly excluded: readonly KeyGrant[]
}

export interface GrantRequest extends Partial<GrantSet> {
  readonly term: Term
  readonly cellId: string
  /** End of the lease on the target's own clock; null does not extend the lease. */
  readonly validUntilMs: number | null
  /**
   * The process of the target on whose clock `validUntilMs` is. A delayed renewal must not give a lease to a
   * restarted target, whose clock starts again.
   */
  readonly instanceId?: string
  /** Rises within a term with each change of the set. */
  readonly setVersion: number
  /** True for a claim, which asks for the grants that the target holds and grants nothing. */
  readonly claim?: boolean
}

export interface GrantResponse {
  readonly accepted: boolean
  readonly highestTerm: Term
  /**
   * The highest term that was accepted before the present one. It shows a coordinator whether another tenure
   * came between two of its own terms.
   */
  readonly previousTerm: Term
  readonly instanceId: string
  readonly uptimeMs: number
  readonly clockMs: number
  /** The version of the set in force under the present term; 0 when none was received under it. */
  readonly setVersion: number
  readonly inFlight: number
  /** Negative when the lease has lapsed; absent when there never was one. */
  readonly leaseRemainingMs?: number
  /**
   * Time since a renewal of an earlier term was accepted last; absent when there was none since the start.
   */
  readonly earlierRenewalAgoMs?: number
  /** Present in responses to a claim; includes grants whose lease has lapsed. */
  readonly held?: GrantSet
}

export interface ProbeResponse {
  /** Absent when the target does not report one. */
  readonly instanceId?: string
  readonly uptimeMs?: number
}

/** Calls to one target; there is at most one in flight. */
export abstract class TargetGrantClient {
  /** Resolves to undefined when no valid response came in time; the request may still arrive later. */
  abstract send(request: GrantRequest): Promise<GrantResponse | undefined>

  /** Checks that a target that does not verify grants is alive; undefined when no response came in time. */
  abstract probe(): Promise<ProbeResponse | undefined>

  /** Releases connections. */
  close(): void {
    return
  }
}
