/**
 * A host's part of one tenant's quota: a token bucket that is filled by the rate which the lender lent, and by
 * tokens that come with the lender's answers. The part ends with its lease. Load pattern: a tenant's callers reach
 * some hosts only, each with a few requests a second that come at random.
 */
import { HeldLease, elapsedMs, type ClockReading } from './election.js'
import {
  noPart,
  passingMs,
  quotaLeaseMs,
  type QuotaAsk,
  type QuotaGrant,
  type QuotaPart,
  type QuotaPlan,
} from './quota-plan.js'

/** Demand is a mean over about this time. */
const demandMeanMs = 1500
/** Sums of rounded parts of a token count as a whole one. */
const wholeToken = 1 - 1e-6
/** A part is renewed after this time at the latest, so that it lasts for most of a lease when the leader is lost. */
const renewalMs = 1500
/** A part that was not used for this long is given back. */
const idleMs = 2500

export class QuotaShare {
  readonly #tenant: string
  #plan: QuotaPlan
  #part: QuotaPart = noPart
  #lease: HeldLease | undefined
  #tokens = 0
  /** Tokens for waiting requests that do not fit into the bucket. */
  #passing = 0
  #refilledAtMs: number
  /** Tokens in the bucket when the ask on its way was sent, and those that came in since from elsewhere. */
  #tokensSinceAsk = 0
  #demand = 0
  #demandAtMs: number
  #lastArrivalMs = Number.NEGATIVE_INFINITY

  constructor(tenant: string, plan: QuotaPlan, nowMs: number) {
    this.#tenant = tenant
    this.#plan = plan
    this.#refilledAtMs = nowMs
    this.#demandAtMs = nowMs
  }

  get part(): QuotaPart {
    return this.#part
  }

  /** Takes the plan of another configuration. A lower one limits what is held at once. */
  setPlan(plan: QuotaPlan, now: ClockReading): void {
    this.#refill(now)
    const previous = this.#plan
    this.#plan = plan
    this.#setPart(limited(this.#part, previous, plan))
  }

  /** Counts a request of the tenant, whether it is let in or not. */
  recordArrival(nowMs: number): void {
    this.#demand = this.#demandAt(nowMs) + 1000 / demandMeanMs
    this.#demandAtMs = nowMs
    this.#lastArrivalMs = nowMs
  }

  hasToken(now: ClockReading): boolean {
    this.#refill(now)
    return Math.max(this.#tokens, this.#passing) >= wholeToken
  }

  /** Takes a token for one request; false when there is none. */
  tryTake(now: ClockReading): boolean {
    this.#refill(now)
    if (this.#tokens >= wholeToken) {
      this.#tokens = Math.max(0, this.#tokens - 1)
      return true
    }
    if (this.#passing < wholeToken) return false
    this.#passing -= 1
    return true
  }

  /** Ends the use of tokens that do not fit into the bucket; called in the same turn as `accept`. */
  dropPassing(): void {
    this.#passing = 0
  }

  /** Takes back the token of a request that has certainly not run. */
  giveBack(now: ClockReading): void {
    this.#refill(now)
    this.#add(1)
  }

  /** Time until the bucket has `tokens` by its rate alone; infinite when it will not. */
  waitMs(now: ClockReading, tokens = 1): number {
    this.#refill(now)
    if (this.#tokens >= tokens) return 0
    if (this.#part.rate <= 0) return Number.POSITIVE_INFINITY
    return ((tokens - this.#tokens) * 1000) / this.#part.rate
  }

  /** Whether the part has to be renewed soon, as it is in use. */
  isRenewalDue(now: ClockReading): boolean {
    if (this.#lease === undefined || this.isIdle(now.monotonicMs)) return false
    return this.#lease.remainingMs(now) < quotaLeaseMs - renewalMs
  }

  /** Whether the tenant sent nothing for so long that the host need not hold a part. */
  isIdle(nowMs: number): boolean {
    return nowMs - this.#lastArrivalMs >= idleMs
  }

  /** What to ask the lender. The caller sends it at once, and no other ask before this one has ended. */
  ask(now: ClockReading, waiting: number): QuotaAsk {
    this.#refill(now)
    this.#tokens = Math.floor(this.#tokens * 100) / 100
    const returned = this.isIdle(now.monotonicMs) ? this.#tokens : 0
    if (this.isIdle(now.monotonicMs)) this.#setPart(noPart)
    this.#tokensSinceAsk = this.#tokens
    return {
      tenant: this.#tenant,
      held: this.#part,
      tokens: this.#tokens,
      returned,
      demand: this.isIdle(now.monotonicMs) ? 0 : this.#demandAt(now.monotonicMs),
      waiting,
    }
  }

  /** Takes the answer to the last ask; `sentAt` was read before that was sent. */
  accept({ part, tokens, plan }: QuotaGrant, sentAt: ClockReading, now: ClockReading): void {
    this.#refill(now)
    this.#lease = new HeldLease({ leaseMs: quotaLeaseMs, marginMs: 0 }, sentAt)
    this.#setPart(limited(part, plan, this.#plan))
    // Tokens that came in while the answer was on its way count against the capacity, also when they are used.
    const room = Math.max(0, this.#part.capacity - this.#tokensSinceAsk)
    const granted = tokens * Math.min(1, this.#plan.rate / plan.rate)
    const stored = Math.min(granted, room)
    this.#add(stored)
    this.#passing = elapsedMs(sentAt, now) <= passingMs ? granted - stored : 0
    // A lease that ended while the answer was on its way ends the part.
    this.#refill(now)
  }

  #setPart(part: QuotaPart): void {
    this.#part = part
    this.#tokens = Math.min(this.#tokens, part.capacity)
  }

  #refill(now: ClockReading): void {
    const elapsedMs = Math.max(0, now.monotonicMs - this.#refilledAtMs)
    this.#refilledAtMs = now.monotonicMs
    if (this.#lease !== undefined && this.#lease.remainingMs(now) <= 0) {
      this.#lease = undefined
      this.#setPart(noPart)
    }
    this.#add((this.#part.rate * elapsedMs) / 1000)
  }

  #add(tokens: number): void {
    const before = this.#tokens
    this.#tokens = Math.min(this.#part.capacity, before + tokens)
    this.#tokensSinceAsk += this.#tokens - before
  }

  #demandAt(nowMs: number): number {
    return this.#demand * Math.exp(-Math.max(0, nowMs - this.#demandAtMs) / demandMeanMs)
  }
}

/** A part of the plan `of`, limited to what it is of a lower plan. */
const limited = (
  part: QuotaPart,
  of: Pick<QuotaPlan, 'rate' | 'tokens'>,
  plan: Pick<QuotaPlan, 'rate' | 'tokens'>,
): QuotaPart => ({
  rate: part.rate * Math.min(1, plan.rate / of.rate),
  capacity: part.capacity * Math.min(1, plan.tokens / of.tokens),
})
