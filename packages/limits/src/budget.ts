/** Token budgets for extra load: first attempts earn the tokens that retries and hedges spend. */
import { AttemptKind, type ServiceSpec } from '@pimentotally/core'

/**
 * Hedges and retries together, as a share of first attempts, whatever the service allows for each of the two.
 */
const maxExtraLoadShare = 0.05

/**
 * A bucket holds at most this many tokens, so that a long time without extra load does not allow a burst of
 * it.
 */
const maxTokens = 20

/**
 * Requests are hedged at the earliest delay only while this many tokens are left for those at a straggler.
 */
const hedgeReserveTokens = 15

class TokenBucket {
  #tokens = 0

  get tokens(): number {
    return this.#tokens
  }

  get available(): boolean {
    // Rounding lets a sum of shares such as 0.02 end slightly below a whole token.
    return this.#tokens >= 1 - 1e-9
  }

  add(tokens: number): void {
    this.#tokens = Math.min(maxTokens, this.#tokens + tokens)
  }

  take(): void {
    this.#tokens -= 1
  }
}

/**
 * Numbers of a service's attempts that got a permit, since the pool was created; refunded ones are left out.
 */
export interface BudgetCounts {
  readonly first: number
  readonly retry: number
  readonly hedge: number
}

/**
 * The budget of one service. The buckets start empty, so the shares hold at every moment and not only on
 * average.
 */
export class ServiceBudget {
  readonly #buckets = { retry: new TokenBucket(), hedge: new TokenBucket() }
  readonly #extraLoad = new TokenBucket()
  readonly #counts = { first: 0, retry: 0, hedge: 0 }

  get counts(): BudgetCounts {
    return this.#counts
  }

  /** Adds the tokens that a first attempt earns; called when it got a permit. */
  recordFirstAttempt(spec: ServiceSpec): void {
    this.#counts.first += 1
    this.#buckets.retry.add(spec.retryBudget)
    this.#buckets.hedge.add(spec.hedgeBudget)
    this.#extraLoad.add(maxExtraLoadShare)
  }

  /** True while there are enough tokens for hedges to cover the reserve for requests at a straggler. */
  get hasHedgeReserve(): boolean {
    return this.#buckets.hedge.tokens >= hedgeReserveTokens
  }

  allows(kind: AttemptKind): boolean {
    return kind === AttemptKind.first || (this.#buckets[kind].available && this.#extraLoad.available)
  }

  /** Takes a token; false when there is none. First attempts need none. */
  spend(kind: AttemptKind): boolean {
    if (kind === AttemptKind.first) return true
    if (!this.allows(kind)) return false
    this.#buckets[kind].take()
    this.#extraLoad.take()
    this.#counts[kind] += 1
    return true
  }

  /** Returns the token of an attempt whose permit was not used. */
  refund(kind: AttemptKind): void {
    if (kind === AttemptKind.first) return
    this.#buckets[kind].add(1)
    this.#extraLoad.add(1)
    this.#counts[kind] -= 1
  }
}
