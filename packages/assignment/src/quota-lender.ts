/**
 * Lends the quota of one tenant to the hosts that ask for it; runs at the leader. Hosts get parts of the rate by
 * their demand, and tokens from a bucket that is filled by the rate which is not lent. What a host was lent counts
 * until its next ask tells what it holds, or until its lease has ended. Load pattern: the demand of a tenant moves
 * between hosts, a tenant demands several times its quota, and hosts start, freeze and end.
 */
import { latestLapseAtMs } from './holds.js'
import {
  noPart,
  quotaLeaseMs,
  type QuotaAsk,
  type QuotaGrant,
  type QuotaPart,
  type QuotaPlan,
} from './quota-plan.js'

/** A host with less demand, in requests a second, gets tokens only: a rate would mostly fill a full bucket. */
const minRateDemand = 0.1
/** Below the mean of random arrivals, as a rate that fills a full bucket is lost; tokens make up for the rest. */
const rateDemandShare = 0.9
/** A bucket holds what arrives in this time on average, and some requests more. */
const capacityMs = 1500
const extraCapacity = 2
/** Share of all tokens that is lent by demand; hosts that come new get theirs from the rest of the lendable ones. */
const demandTokenShare = 0.7

/** Sums of rounded numbers that lack less than this count as whole ones. */
const roundingTokens = 1e-6

/** What was lent to a process of a host. */
interface Loan {
  /** The most that the host can hold until its next ask is heard. */
  readonly part: QuotaPart
  readonly demand: number
  /** By this time the host has certainly lost the part. */
  readonly lapsesAtMs: number
}

export interface QuotaLenderOptions {
  /** When the bucket began to fill; while nobody was lent anything since. */
  readonly sinceMs: number
  /** Whether no part of an earlier leader is unknown. */
  readonly isSettled?: boolean
  /** Whether no token of the quota can have been used lately. */
  readonly isFull?: boolean
}

export class QuotaLender {
  #plan: QuotaPlan
  readonly #loans = new Map<string, Loan>()
  /** Sum of the loans; undefined after a change. */
  #lent: QuotaPart | undefined
  #bucket = 0
  #refilledAtMs: number
  #isSettled: boolean
  /** Parts that hosts held of an earlier leader when they first asked this one. */
  #inherited = noPart
  readonly #heard = new Set<string>()

  constructor(plan: QuotaPlan, { sinceMs, isSettled = false, isFull = false }: QuotaLenderOptions) {
    this.#plan = plan
    this.#refilledAtMs = sinceMs
    this.#isSettled = isSettled
    if (isFull) this.#bucket = plan.tokens
  }

  /** Takes the plan of another configuration. */
  setPlan(plan: QuotaPlan, nowMs: number): void {
    this.#refill(nowMs)
    this.#plan = plan
    this.#limitBucket()
  }

  /** Every part of earlier leaders has been reported or has lapsed. */
  settle(nowMs: number): void {
    if (this.#isSettled) return
    this.#refill(nowMs)
    this.#isSettled = true
    this.#heard.clear()
  }

  /** What hosts hold at most, in total. */
  lent(): QuotaPart {
    this.#lent ??= sumOf(this.#loans.values())
    return this.#lent
  }

  /** Requests a second that arrive at all hosts. */
  demand(): number {
    return [...this.#loans.values()].reduce((sum, loan) => sum + loan.demand, 0)
  }

  /** Answers a host's ask. Asks of one process are handled in the order in which they were sent. */
  answer(processId: string, ask: QuotaAsk, nowMs: number): QuotaGrant {
    this.#refill(nowMs)
    this.#dropLapsed(nowMs)
    this.#inherit(processId, ask.held)
    this.#loans.delete(processId)
    this.#lent = undefined
    this.#bucket += ask.returned
    this.#limitBucket()
    const part = this.#partFor(ask)
    const tokens = this.#tokensFor(ask, part)
    this.#bucket -= tokens
    if (ask.held.capacity > 0 || ask.held.rate > 0 || part.capacity > 0) {
      this.#loans.set(processId, {
        part: {
          rate: Math.max(ask.held.rate, part.rate),
          capacity: Math.max(ask.held.capacity, part.capacity),
        },
        demand: ask.demand,
        lapsesAtMs: latestLapseAtMs(nowMs, quotaLeaseMs),
      })
    }
    this.#lent = undefined
    this.#limitBucket()
    const { rate, tokens: planTokens } = this.#plan
    const demandShare = ask.demand > 0 ? ask.demand / Math.max(ask.demand, this.demand()) : 0
    return { tenant: ask.tenant, part, tokens, demandShare, plan: { rate, tokens: planTokens } }
  }

  #inherit(processId: string, held: QuotaPart): void {
    if (this.#isSettled || this.#heard.has(processId)) return
    this.#heard.add(processId)
    this.#inherited = {
      rate: this.#inherited.rate + held.rate,
      capacity: this.#inherited.capacity + held.capacity,
    }
  }

  /** What all hosts together may hold. Before all is known, no more than was inherited. */
  #lendable(): QuotaPart {
    const { lendable } = this.#plan
    if (this.#isSettled) return lendable
    return {
      rate: Math.min(lendable.rate, this.#inherited.rate),
      capacity: Math.min(lendable.capacity, this.#inherited.capacity),
    }
  }

  #partFor({ demand }: QuotaAsk): QuotaPart {
    if (demand <= 0) return noPart
    const lendable = this.#lendable()
    const others = this.lent()
    let total = demand
    for (const loan of this.#loans.values()) total += loan.demand
    const freeRate = Math.max(0, lendable.rate - others.rate)
    const freeCapacity = Math.floor(Math.max(0, lendable.capacity - others.capacity))
    const byDemand = Math.min(
      (demand * capacityMs) / 1000 + extraCapacity,
      (this.#plan.tokens * demandTokenShare * demand) / Math.max(total, demand),
    )
    const capacity = Math.min(freeCapacity, Math.floor(Math.max(1, byDemand)))
    const rateTarget =
      demand < minRateDemand ? 0 : Math.min(demand * rateDemandShare, (lendable.rate * demand) / total)
    // Whole hundredths make messages shorter.
    const rate = Math.floor(Math.min(rateTarget, freeRate) * 100) / 100
    return { rate: capacity > 0 ? rate : 0, capacity }
  }

  /**
   * Tokens for waiting requests, also beyond the part's capacity; then up to half of the bucket for those that will
   * arrive, or more where the part takes the room that they have in the bucket. The host gets whole tokens.
   */
  #tokensFor({ held, tokens, waiting }: QuotaAsk, { capacity }: QuotaPart): number {
    const room = Math.max(0, capacity - tokens)
    const forWaiting = Math.min(this.#bucket, Math.max(0, waiting - tokens))
    const left = this.#bucket - forWaiting
    const keepable = this.#bucketRoom(Math.max(held.capacity, capacity))
    const ahead = Math.max(0, Math.min(room - forWaiting, Math.max(left / 2, left - keepable)))
    return Math.max(0, Math.floor(tokens + forWaiting + ahead + roundingTokens) - tokens)
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs)
    this.#refilledAtMs = nowMs
    const lentRate = this.#isSettled ? this.lent().rate : this.#plan.lendable.rate
    this.#bucket += (Math.max(0, this.#plan.rate - lentRate) * elapsedMs) / 1000
    this.#limitBucket()
  }

  #limitBucket(): void {
    this.#bucket = Math.min(this.#bucket, this.#bucketRoom())
  }

  /** Most tokens in the bucket when parts with this capacity are lent besides. */
  #bucketRoom(capacity = 0): number {
    const lentTokens = this.#isSettled ? this.lent().capacity + capacity : this.#plan.lendable.capacity
    return Math.max(0, this.#plan.tokens - lentTokens)
  }

  #dropLapsed(nowMs: number): void {
    for (const [processId, { lapsesAtMs }] of this.#loans) {
      if (lapsesAtMs > nowMs) continue
      this.#loans.delete(processId)
      this.#lent = undefined
    }
  }
}

const sumOf = (loans: Iterable<Loan>): QuotaPart => {
  let [rate, capacity] = [0, 0]
  for (const { part } of loans) {
    rate += part.rate
    capacity += part.capacity
  }
  return { rate, capacity }
}
