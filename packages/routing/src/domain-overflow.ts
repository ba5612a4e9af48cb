/**
 * Decides which part of the requests without a key leaves the failure domain of the host that got them. Bytes
 * between domains are dear, so requests stay where they arrive as long as the targets there have room, and only
 * the excess goes to the domains that have room left, in proportion to it. All hosts compute this from the same
 * picture. Load pattern: the demand in each domain rises and falls by half, each domain at another time.
 */
import type { Random } from '@pimentotally/core'

/** Demand and capacity of a service in one failure domain. */
export interface DomainLoad {
  readonly domain: string
  /** Requests a second that the hosts of the domain send, to whichever domain. */
  readonly requestsPerSecond: number
  /** Requests a second that the targets of the domain can serve. */
  readonly capacityPerSecond: number
}

/**
 * Share of a domain's capacity that is used before requests leave it. The rest is a reserve: demand may have
 * risen since the picture was taken, and requests queue at some of the targets before all of them are busy.
 */
const usableShare = 0.8

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

/**
 * The share of the requests that arrive at hosts of the domain `home` which goes to each other domain; empty
 * when all of them stay. When all domains together need more than `usableShare`, all are filled equally.
 */
export const overflowShares = (loads: readonly DomainLoad[], home: string): ReadonlyMap<string, number> => {
  const capacity = sum(loads.map(({ capacityPerSecond }) => capacityPerSecond))
  const own = loads.find(({ domain }) => domain === home)
  if (capacity <= 0 || own === undefined || own.requestsPerSecond <= 0) return new Map()
  const fill = Math.max(usableShare, sum(loads.map(({ requestsPerSecond }) => requestsPerSecond)) / capacity)
  const excess = own.requestsPerSecond - own.capacityPerSecond * fill
  if (excess <= 0) return new Map()
  const rooms = loads
    .filter(({ domain }) => domain !== home)
    .map((load) => ({
      domain: load.domain,
      room: Math.max(0, load.capacityPerSecond * fill - load.requestsPerSecond),
    }))
    .filter(({ room }) => room > 0)
  const totalRoom = sum(rooms.map(({ room }) => room))
  const share = Math.min(excess, totalRoom) / own.requestsPerSecond
  return new Map(rooms.map(({ domain, room }) => [domain, (share * room) / totalRoom]))
}

/** From this credit on, a request with a small body or response leaves. */
const smallCredit = 1
/** The same for a large one, so that small ones are the first to leave. */
const largeCredit = 2
/** Bound on the credit, so that a burst does not leave at once after a time in which nothing could. */
const maxCredit = 3

/**
 * Selects the requests of one service that leave. Each request adds the share of each other domain to a credit,
 * and one leaves for each whole credit, so that the shares are kept without a draw for each request.
 */
export class DomainOverflow {
  readonly #credits = new Map<string, number>()
  readonly #random: Random

  constructor(random: Random) {
    this.#random = random
  }

  /** The domain that the next request goes to; undefined when it stays. */
  next(shares: ReadonlyMap<string, number>, isLarge: boolean): string | undefined {
    for (const domain of this.#credits.keys()) if (!shares.has(domain)) this.#credits.delete(domain)
    let best: { readonly domain: string; readonly credit: number } | undefined
    for (const [domain, share] of shares) {
      // Hosts begin with different credits, so that they do not all send a request away at the same time.
      const credit = Math.min(maxCredit, (this.#credits.get(domain) ?? this.#random.float()) + share)
      this.#credits.set(domain, credit)
      if (best === undefined || credit > best.credit) best = { domain, credit }
    }
    if (best === undefined || best.credit < (isLarge ? largeCredit : smallCredit)) return undefined
    this.#credits.set(best.domain, best.credit - 1)
    return best.domain
  }
}

/** Longest wait at home, as a share of the latency objective, before a request leaves without an excess. */
const smallWaitShare = 0.05
const largeWaitShare = 0.2
/** The same in milliseconds for a route without an objective. */
const defaultWaitMs = { small: 50, large: 200 } as const

/**
 * How much longer a request may wait for a slot at home than in another domain. A caller hardly notices it, and
 * the wait shows that the picture lags behind the demand.
 */
export const toleratedHomeWaitMs = (objectiveMs: number, isLarge: boolean): number => {
  if (objectiveMs <= 0) return isLarge ? defaultWaitMs.large : defaultWaitMs.small
  return objectiveMs * (isLarge ? largeWaitShare : smallWaitShare)
}
