/**
 * Grants of earlier terms that targets may still hold during a tenure. Their leases lapse within the duration
 * of a lease after the instant at which a majority has accepted the claim. Until then an item may be granted
 * only if it is cleared: its only possible holder is proven, or it came from another cell, which had released
 * it.
 */
import { Instant, type Clock, type InvariantReporter } from '@pimentotally/core'
import { AssignmentItem, type Assignment } from './assignment.js'
import type { GrantResponse } from './grant.js'
import type { TargetSession } from './session.js'

/** A target's response to the claim, kept until a majority has accepted the claim. */
interface ClaimResponse {
  readonly session: TargetSession
  /** Lower bound, on this host's monotonic clock, of the time until which the target may run its items. */
  readonly lapsesAtMs: number
}

export interface EarlierGrantsOptions {
  readonly clock: Clock
  readonly lapseMs: number
  readonly invariants: InvariantReporter
  readonly assignment: Assignment
  readonly nextFence: () => string
}

export class EarlierGrants {
  readonly #options: EarlierGrantsOptions
  readonly #claimResponses: ClaimResponse[] = []
  /** Cleared items by id; the value is the proven holder, if there is one. */
  readonly #cleared = new Map<string, string | undefined>()
  /**
   * Keys that are known only because a target reported them as excluded from its shards; their owner may be
   * a target that has not responded.
   */
  readonly unknownKeys = new Map<string, AssignmentItem & { readonly fence: string }>()
  #majorityAt: Instant | undefined
  #earlierTermRenewedAtMs = Infinity
  haveAllLapsed = false

  constructor(options: EarlierGrantsOptions) {
    this.#options = options
  }

  /** When a majority had accepted the claim; undefined before. */
  get majorityAt(): Instant | undefined {
    return this.#majorityAt
  }

  /**
   * Time until leases of earlier terms have certainly lapsed; infinite before a majority and after the lapse.
   */
  remainingMs(): number {
    if (this.haveAllLapsed || this.#majorityAt === undefined) return Infinity
    return this.#options.lapseMs - Instant.waiterElapsedMs(this.#majorityAt, this.#options.clock)
  }

  isCleared(id: string): boolean {
    return this.haveAllLapsed || this.#cleared.has(id)
  }

  /** True when the target was found to be the only possible holder at the takeover. */
  isProvenHolder(id: string, target: string): boolean {
    return this.#cleared.get(id) === target
  }

  /** Marks as cleared a shard that another cell released before this cell became its home. */
  markCleared(id: string): void {
    this.#cleared.set(id, undefined)
  }

  /**
   * True when the override of a key of the shard is known only from an exclusion, so that the last fence of
   * this key may be above that of the shard.
   */
  hasUnknownKey(service: string, shard: number): boolean {
    return [...this.unknownKeys.values()].some((key) => key.service === service && key.shard === shard)
  }

  forgetUnknownKeys(service: string, shard: number): void {
    for (const [id, key] of this.unknownKeys) {
      if (key.service === service && key.shard === shard) this.unknownKeys.delete(id)
    }
  }

  recordClaimResponse(
    session: TargetSession,
    sentAt: Instant,
    { leaseRemainingMs, held }: GrantResponse,
  ): void {
    if (held === undefined) return
    if (leaseRemainingMs !== undefined) {
      this.#claimResponses.push({ session, lapsesAtMs: sentAt.monotonicMs + leaseRemainingMs })
    }
    for (const key of held.excluded) this.unknownKeys.set(AssignmentItem.id(key), key)
    if (this.#majorityAt !== undefined) this.#keepProvenItems()
  }

  /**
   * Called when a majority has accepted the claim. `earlierTermRenewedAtMs` is when a voter of this majority
   * may last have renewed an earlier term.
   */
  recordMajority(earlierTermRenewedAtMs: number): void {
    this.#majorityAt = Instant.now(this.#options.clock)
    this.#earlierTermRenewedAtMs = earlierTermRenewedAtMs
    this.#keepProvenItems()
  }

  /**
   * Keeps items with targets whose lease lapses after the last renewal of an earlier term. To move these
   * items, an earlier coordinator would have needed a majority to renew its term after that lapse.
   */
  #keepProvenItems(): void {
    const { invariants, assignment, nextFence } = this.#options
    for (const { session, lapsesAtMs } of this.#claimResponses.splice(0)) {
      if (lapsesAtMs <= this.#earlierTermRenewedAtMs) continue
      for (const [id, item] of session.sets[0]?.items ?? []) {
        const holder = this.#cleared.get(id)
        const isSole = holder === undefined || holder === session.name
        if (!invariants.check(isSole, 'sole_holder', () => ({ id, holder, target: session.name }))) continue
        this.#cleared.set(id, session.name)
        this.unknownKeys.delete(id)
        const known = assignment.get(id)
        if (known === undefined || known.fence <= item.fence) assignment.set(item)
        // The assignment has a move that was not carried out; the holder keeps the item under a higher fence.
        else assignment.set({ ...item, fence: nextFence() })
      }
    }
    // Drops the overrides whose fence is not above that of their shard any more.
    assignment.merge([])
  }
}
