/**
 * Keeps the tenants of a service from being served far less often than others while the service has too little room.
 * Load pattern: requests of urgent tenants keep the queues so long that those of a less urgent one are always refused.
 * A tenant whose share of served requests falls below half of the share of all goes before the others until it has
 * caught up. Each host judges by the requests that it served and refused itself.
 */

/** Time over which requests count; callers that are refused come back within it. */
const windowMs = 5000
/** Requests expire together with the others of the same part of the window. */
const bucketMs = 500
/**
 * A tenant is behind below this share of the share of all. A tenant is starved at a quarter; the margin is for what
 * other hosts serve, and for the requests that are waiting when it begins to go first.
 */
const behindShare = 0.5
/** A tenant with fewer requests in the window is not judged, as its share would change with each of them. */
const minRequests = 8
/** Tenants that are judged at a time; further ones are served by their priority alone. */
const maxTenants = 2000

interface Counts {
  served: number
  refused: number
}

interface Bucket {
  readonly startMs: number
  readonly byTenant: Map<string, Counts>
}

const servedShare = ({ served, refused }: Counts): number => served / Math.max(1, served + refused)

export class TenantFairness {
  readonly #buckets: Bucket[] = []
  /** Sums over all buckets. */
  readonly #byTenant = new Map<string, Counts>()
  readonly #all: Counts = { served: 0, refused: 0 }

  /** Counts a request that was served, or refused because there was no room for it. */
  record(tenant: string, wasServed: boolean, nowMs: number): void {
    this.#expire(nowMs)
    if (!this.#byTenant.has(tenant) && this.#byTenant.size >= maxTenants) return
    let bucket = this.#buckets.at(-1)
    if (bucket === undefined || bucket.startMs + bucketMs <= nowMs) {
      bucket = { startMs: nowMs, byTenant: new Map() }
      this.#buckets.push(bucket)
    }
    const change = { served: wasServed ? 1 : 0, refused: wasServed ? 0 : 1 }
    for (const counts of [countsOf(bucket.byTenant, tenant), countsOf(this.#byTenant, tenant), this.#all])
      add(counts, change, 1)
  }

  /** Whether requests of the tenant go before those of all others now. */
  isBehind(tenant: string, nowMs: number): boolean {
    this.#expire(nowMs)
    if (this.#all.refused === 0) return false
    const counts = this.#byTenant.get(tenant)
    if (counts === undefined || counts.served + counts.refused < minRequests) return false
    return servedShare(counts) < behindShare * servedShare(this.#all)
  }

  /** The tenants that are behind, for the operator. */
  behind(nowMs: number): string[] {
    return [...this.#byTenant.keys()].filter((tenant) => this.isBehind(tenant, nowMs))
  }

  #expire(nowMs: number): void {
    let oldest = this.#buckets[0]
    while (oldest !== undefined && oldest.startMs + windowMs <= nowMs) {
      for (const [tenant, expired] of oldest.byTenant) {
        const counts = countsOf(this.#byTenant, tenant)
        for (const sum of [counts, this.#all]) add(sum, expired, -1)
        if (counts.served + counts.refused === 0) this.#byTenant.delete(tenant)
      }
      this.#buckets.shift()
      oldest = this.#buckets[0]
    }
  }
}

const countsOf = (byTenant: Map<string, Counts>, tenant: string): Counts => {
  const counts = byTenant.get(tenant) ?? { served: 0, refused: 0 }
  byTenant.set(tenant, counts)
  return counts
}

const add = (counts: Counts, { served, refused }: Counts, sign: 1 | -1): void => {
  counts.served += sign * served
  counts.refused += sign * refused
}
