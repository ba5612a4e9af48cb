/**
 * The target's side of the grant protocol. A target runs a keyed request only if `check` returns `ok` at the
 * moment the request starts, after it was read in full.
 */
import { Fence, ShardSet, Term, type Clock } from '@pimentotally/core'
import { ElapsedTime } from './elapsed.js'
import type { GrantRequest, GrantResponse, GrantSet, KeyGrant, ShardGrant } from './grant.js'

export const GrantRefusal = {
  leaseLapsed: 'lease_lapsed',
  termStale: 'term_stale',
  fenceStale: 'fence_stale',
  notOwner: 'not_owner',
} as const
export type GrantRefusal = (typeof GrantRefusal)[keyof typeof GrantRefusal]

export interface GrantCheck {
  readonly service: string
  readonly shard: number
  /** 16 hex digits. */
  readonly keyHash: string
  readonly fence: Fence
  readonly term: Term
}

export interface GrantHolderOptions {
  readonly clock: Clock
  /** New at every start of the process. */
  readonly instanceId: string
  readonly inFlight?: () => number
}

const emptySet: GrantSet = { grants: [], overrides: [], excluded: [] }
const shardKey = (service: string, shard: number): string => `${service}/${String(shard)}`
const overrideKey = (service: string, keyHash: string): string => `${service}/${keyHash}`

export class GrantHolder {
  readonly instanceId: string
  readonly #elapsed: ElapsedTime
  readonly #inFlight: () => number
  #highestTerm: Term = Term.none
  #previousTerm: Term = Term.none
  #leaseUntilMs: number | undefined
  #setVersion = 0
  #set: GrantSet = emptySet
  #shards = new Map<string, Fence>()
  #overrides = new Map<string, Fence>()
  #excluded = new Set<string>()
  /**
   * `ElapsedTime.waiterMs` at the last renewal of the present term, and at the last one of any earlier term.
   */
  #renewedAtMs: number | undefined
  #earlierRenewedAtMs: number | undefined

  constructor({ clock, instanceId, inFlight = () => 0 }: GrantHolderOptions) {
    this.#elapsed = new ElapsedTime(clock)
    this.instanceId = instanceId
    this.#inFlight = inFlight
  }

  get highestTerm(): Term {
    return this.#highestTerm
  }

  handle(request: GrantRequest): GrantResponse {
    const accepted = Term.isValid(request.term) && request.term >= this.#highestTerm
    if (accepted) this.#accept(request)
    const clockMs = this.#elapsed.holderMs()
    const uptimeMs = this.#elapsed.waiterMs()
    return {
      accepted,
      highestTerm: this.#highestTerm,
      previousTerm: this.#previousTerm,
      instanceId: this.instanceId,
      uptimeMs,
      clockMs,
      setVersion: this.#setVersion,
      inFlight: this.#inFlight(),
      ...(this.#leaseUntilMs === undefined ? {} : { leaseRemainingMs: this.#leaseUntilMs - clockMs }),
      ...(this.#earlierRenewedAtMs === undefined
        ? {}
        : { earlierRenewalAgoMs: uptimeMs - this.#earlierRenewedAtMs }),
      ...(accepted && request.claim === true ? { held: this.#set } : {}),
    }
  }

  /** Must be called at the moment a request starts. A refused request has not run. */
  check({ service, shard, keyHash, fence, term }: GrantCheck): 'ok' | GrantRefusal {
    if (!this.hasLease()) return GrantRefusal.leaseLapsed
    if (term < this.#highestTerm) return GrantRefusal.termStale
    const held = this.heldFence(service, shard, keyHash)
    if (held === undefined || fence > held) return GrantRefusal.notOwner
    return fence === held ? 'ok' : GrantRefusal.fenceStale
  }

  hasLease(): boolean {
    return this.#leaseUntilMs !== undefined && this.#elapsed.holderMs() < this.#leaseUntilMs
  }

  /** The fence under which this target holds a key, regardless of the lease. */
  heldFence(service: string, shard: number, keyHash: string): Fence | undefined {
    const key = overrideKey(service, keyHash)
    return (
      this.#overrides.get(key) ??
      (this.#excluded.has(key) ? undefined : this.#shards.get(shardKey(service, shard)))
    )
  }

  #accept(request: GrantRequest): void {
    if (request.term > this.#highestTerm) {
      this.#previousTerm = this.#highestTerm
      this.#highestTerm = request.term
      this.#setVersion = 0
      if (this.#renewedAtMs !== undefined) this.#earlierRenewedAtMs = this.#renewedAtMs
      this.#renewedAtMs = undefined
    }
    if (request.claim === true) return
    this.#renewedAtMs = this.#elapsed.waiterMs()
    if (request.instanceId !== undefined && request.instanceId !== this.instanceId) return
    // A delayed message that arrives after a newer set must not restore shards that were released since.
    if (request.setVersion < this.#setVersion) return
    if (request.grants !== undefined && request.setVersion > this.#setVersion) {
      this.#replaceSet(request.setVersion, request)
    }
    // If the target does not have the set that the request names, a lease would extend grants that this
    // coordinator did not confirm.
    if (request.setVersion !== this.#setVersion || request.instanceId === undefined) return
    if (request.validUntilMs !== null) {
      this.#leaseUntilMs = Math.max(this.#leaseUntilMs ?? 0, request.validUntilMs)
    }
  }

  #replaceSet(version: number, { grants = [], overrides = [], excluded = [] }: Partial<GrantSet>): void {
    this.#setVersion = version
    this.#set = { grants, overrides, excluded }
    this.#shards = new Map(grants.flatMap((grant) => shardFences(grant)))
    this.#overrides = new Map(overrides.map((grant) => keyFence(grant)))
    this.#excluded = new Set(excluded.map(({ service, keyHash }) => overrideKey(service, keyHash)))
  }
}

const shardFences = ({ service, shardCount, shards, fence }: ShardGrant): [string, Fence][] =>
  [...ShardSet.fromBase64(shardCount, shards)].map((shard) => [shardKey(service, shard), fence])

const keyFence = ({ service, keyHash, fence }: KeyGrant): [string, Fence] => [
  overrideKey(service, keyHash),
  fence,
]
