/** Budgets for extra load: hedges and retries in proportion to first attempts, never in advance of them. */
import { AttemptKind, type ServiceSpec } from '@pimentotally/core'

/** Hedges and retries together, whatever the service allows for each. */
const maxExtraLoadShare = 0.05

/** Tokens beyond this are dropped, so that a quiet hour does not pay for a burst of extra load. */
const maxTokens = 20

/** Hedges at the earliest moment leave this many tokens for the requests that a straggler holds up. */
const hedgeReserveTokens = 15

class TokenBucket {
  #tokens = 0

  get tokens(): number {
    return this.#tokens
  }

  get available(): boolean {
    // Sums of shares such as 0.02 fall short of a whole token by rounding.
    return this.#tokens >= 1 - 1e-9
  }

  add(tokens: number): void {
    this.#tokens = Math.min(maxTokens, this.#tokens + tokens)
  }

  take(): void {
    this.#tokens -= 1
  }
}

/** Counts of one service since the pool was made. */
export interface BudgetCounts {
  readonly first: number
  readonly retry: number
  readonly hedge: number
}

/** The buckets start empty, so the shares hold at every moment and not only on average. */
export class ServiceBudget {
  readonly #buckets = { retry: new TokenBucket(), hedge: new TokenBucket() }
  readonly #together = new TokenBucket()
  readonly #counts = { first: 0, retry: 0, hedge: 0 }

  get counts(): BudgetCounts {
    return this.#counts
  }

  /** A first attempt got a permit. */
  recordFirstAttempt(spec: ServiceSpec): void {
    this.#counts.first += 1
    this.#buckets.retry.add(spec.retryBudget)
    this.#buckets.hedge.add(spec.hedgeBudget)
    this.#together.add(maxExtraLoadShare)
  }

  /** True while there are more tokens for hedges than are kept for stragglers. */
  get hasHedgeReserve(): boolean {
    return this.#buckets.hedge.tokens >= hedgeReserveTokens
  }

  allows(kind: AttemptKind): boolean {
    return kind === AttemptKind.first || (this.#buckets[kind].available && this.#together.available)
  }

  /** Takes a token; false when there is none. First attempts need none. */
  spend(kind: AttemptKind): boolean {
    if (kind === AttemptKind.first) return true
    if (!this.allows(kind)) return false
    this.#buckets[kind].take()
    this.#together.take()
    this.#counts[kind] += 1
    return true
  }

  /** Returns the token of an attempt that reached no target. */
  refund(kind: AttemptKind): void {
    if (kind === AttemptKind.first) return
    this.#buckets[kind].add(1)
    this.#together.add(1)
    this.#counts[kind] -= 1
  }
}
