/**
 * The tenants of a configuration, and the API keys by which their requests are known. Only digests of the keys are
 * kept, so that a lookup takes no longer for a key that begins like a valid one, and no key can reach a log.
 */
import { createHash } from 'node:crypto'
import type { Route } from './configuration.js'

export interface Tenant {
  readonly name: string
  /** Goes before the priority of the route; undefined when the tenant has none of its own. */
  readonly priority: number | undefined
  /** Requests a second that the tenant may send through all hosts together; 0 for no limit. */
  readonly requestsPerSecond: number
  /** Requests that the tenant may send at once, in addition to those of its rate. */
  readonly burst: number
}

/** A tenant and its API keys. */
export interface TenantKeys extends Tenant {
  readonly apiKeys: readonly string[]
}

/** The priority of a request; `tenant` is undefined for an anonymous route and where there are no tenants. */
export const priorityOf = (route: Route, tenant: Tenant | undefined): number =>
  tenant?.priority ?? route.priority

const digestOf = (apiKey: string): string => createHash('sha256').update(apiKey).digest('base64')

export class TenantTable {
  readonly #byKey = new Map<string, Tenant>()
  readonly #byName = new Map<string, Tenant>()

  constructor(tenants: readonly TenantKeys[]) {
    for (const { apiKeys, ...tenant } of tenants) {
      this.#byName.set(tenant.name, tenant)
      for (const apiKey of apiKeys) this.#byKey.set(digestOf(apiKey), tenant)
    }
  }

  get tenants(): readonly Tenant[] {
    return [...this.#byName.values()]
  }

  /** The tenant with this name; undefined when the configuration has none. */
  named(name: string): Tenant | undefined {
    return this.#byName.get(name)
  }

  /** The tenant that holds the key; undefined for an unknown key. */
  holderOf(apiKey: string): Tenant | undefined {
    return this.#byKey.get(digestOf(apiKey))
  }
}
