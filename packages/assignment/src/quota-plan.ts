/**
 * How the quota of a tenant is divided over all hosts. It is one token bucket whose tokens lie in several places:
 * in the lender's bucket at the leader and in a small bucket at each host that serves the tenant. Tokens flow in at
 * the tenant's rate, of which each host may be lent a part. So in any window, at most the tokens that the places
 * together can hold and those that flow in meanwhile are used, whatever host sends and whether it is heard or not.
 */

/**
 * In each window, the requests of a tenant that run stay below its quota for the window, times one plus the overage,
 * plus the slack; a window is also allowed the tenant's burst.
 */
export interface QuotaBounds {
  readonly windowMs: number
  /** Share of the quota by which it may be exceeded. */
  readonly overage: number
  /** Requests in a window beyond that. */
  readonly slack: number
}

/** What a tenant may send through all hosts together. */
export interface Quota {
  readonly requestsPerSecond: number
  /** Requests at once, in addition to those of the rate. */
  readonly burst: number
}

/** A host's part of a tenant's quota. */
export interface QuotaPart {
  /** Tokens a second that flow into the host's bucket. */
  readonly rate: number
  /** Most tokens in the host's bucket. */
  readonly capacity: number
}

export const noPart: QuotaPart = { rate: 0, capacity: 0 }

/** What of a tenant's quota may be where. */
export interface QuotaPlan {
  /** Tokens a second that flow in at all places together; may be higher than the quota's rate. */
  readonly rate: number
  /** Most tokens at all places together. */
  readonly tokens: number
  /** Most that the parts of all hosts may add up to. A new leader can use the rest before it knows the parts. */
  readonly lendable: QuotaPart
}

/** Clocks of hosts that run fast by this share still keep the bound. */
const clockErrorShare = 0.01
/**
 * Tokens for waiting requests that do not fit into a host's bucket are used only if they arrive within this time of
 * the ask. So they count as used at the lender, in a window that begins earlier by this time.
 */
export const passingMs = 150
/**
 * A token is given back only if its request was refused within this time. Tokens that are out for longer would be used
 * in a later window than the one they came in with, on top of what flows in then.
 */
export const returnMs = 40
/** A tenant may send this many times its rate, and so have as much out for `returnMs`. */
const hotFactor = 5
/** Tokens that are kept back for rounding. */
const spareTokens = 1
/**
 * Tokens that a plan has at least, so that each of the hosts which a tenant's connections touch can hold one, and their
 * least share of what a window allows. What the bounds allow beyond that flows in as a higher rate than the quota's, as
 * a tenant that asks for more than its quota all the time is owed what the bounds allow.
 */
const minTokens = 24
const tokenShare = 0.18
const lendableRateShare = 0.62
const lendableTokenShare = 0.75

/** The largest plan with which `rate * window + tokens` stays within the bounds. */
export const quotaPlan = ({ requestsPerSecond, burst }: Quota, bounds: QuotaBounds): QuotaPlan => {
  const allowed = ((requestsPerSecond * bounds.windowMs) / 1000 + burst) * (1 + bounds.overage) + bounds.slack
  const inflowSeconds = (bounds.windowMs * (1 + clockErrorShare) + passingMs + hotFactor * returnMs) / 1000
  const usable = allowed - spareTokens
  const rate = Math.max(
    requestsPerSecond,
    (usable - Math.max(minTokens, usable * tokenShare)) / inflowSeconds,
  )
  const tokens = Math.max(1, usable - rate * inflowSeconds)
  return {
    rate,
    tokens,
    lendable: { rate: rate * lendableRateShare, capacity: tokens * lendableTokenShare },
  }
}

/**
 * Time for which a host may use its part without hearing from the lender. Long enough for an outage of the store of
 * 4.5 s, during which nobody leads, and the election after it.
 */
export const quotaLeaseMs = 7000

/** What a host tells the lender of one tenant. */
export interface QuotaAsk {
  readonly tenant: string
  /** The part that the host holds now. It has one ask on its way at most, so no later part can reach it. */
  readonly held: QuotaPart
  /** Tokens in its bucket, in whole hundredths. */
  readonly tokens: number
  /** Tokens that it gives back; they are no longer in its bucket. */
  readonly returned: number
  /** Requests a second that arrived lately. */
  readonly demand: number
  /** Requests that wait for a token. */
  readonly waiting: number
}

/**
 * The lender's answer: the part that replaces the one before, and tokens. Those that do not fit into the host's bucket
 * are for the requests that wait.
 */
export interface QuotaGrant {
  readonly tenant: string
  readonly part: QuotaPart
  readonly tokens: number
  /** The host's share of the demand on all hosts. */
  readonly demandShare: number
  /** The plan of which it is a part; the host's configuration may be another one. */
  readonly plan: { readonly rate: number; readonly tokens: number }
}
