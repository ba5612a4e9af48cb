/**
 * The tenants of a soak test: which API key each request has, the withdrawal of a key during the run, and what targets
 * and callers may see of it. Only a third of the seeds have tenants.
 */
import { Random } from '@pimentotally/core'
import type { ReceivedTenant, TenantDocument } from '@pimentotally/platform/testing'

/** A key that is withdrawn during the run. */
const withdrawnKey = 'k-north-1'
const unknownKey = 'k-unknown'
const before: readonly TenantDocument[] = [
  { name: 'north', apiKeys: [withdrawnKey, 'k-north-2'] },
  { name: 'south', apiKeys: ['k-south-1'], priority: 0 },
]
const after = before.map((tenant) => ({
  ...tenant,
  apiKeys: tenant.apiKeys.filter((apiKey) => apiKey !== withdrawnKey),
}))
/** Of the keys that callers send, most are valid at first; undefined for a request without a key. */
const sentKeys = [withdrawnKey, withdrawnKey, 'k-north-2', 'k-south-1', 'k-south-1', unknownKey, undefined]
/** By the settings of the daemons, a new configuration is in force within this time at hosts in touch. */
const configurationMs = 2000

/** An answer to a request, as far as access goes. */
export interface AccessAnswer {
  readonly requestId: string
  readonly status: number
}

export class SoakTenants {
  readonly #random: Random
  readonly #areConfigured: boolean
  readonly #sent = new Map<string, { readonly apiKey: string | undefined; readonly isAfterwards: boolean }>()
  #isWithdrawn = false
  #isWithdrawalInForce = false

  constructor(seed: number) {
    // Random numbers of its own, so that the tenants do not alter the order of faults.
    this.#random = new Random(seed)
    this.#areConfigured = seed % 3 === 0
  }

  /** Of the first configuration. */
  get tenants(): readonly TenantDocument[] | undefined {
    return this.#areConfigured ? before : undefined
  }

  /** The key for the request. */
  nextKey(requestId: string): string | undefined {
    if (!this.#areConfigured) return undefined
    const apiKey = this.#random.pick(sentKeys)
    this.#sent.set(requestId, { apiKey, isAfterwards: this.#isWithdrawalInForce })
    return apiKey
  }

  /** The operator withdraws a key, once. */
  withdraw(replaceTenants: (tenants: readonly TenantDocument[]) => void): void {
    if (this.#areConfigured && !this.#isWithdrawn) replaceTenants(after)
    this.#isWithdrawn = true
  }

  /** Called when all hosts are in touch; resolves after requests without the withdrawn key were sent for some time. */
  async awaitWithdrawal(sleep: (ms: number) => Promise<void>): Promise<void> {
    if (!this.#areConfigured) return
    await sleep(configurationMs)
    this.#isWithdrawalInForce = true
    await sleep(configurationMs / 4)
  }

  /** Why what targets received, callers got or processes wrote breaks a rule; one text each. */
  check(
    received: readonly ReceivedTenant[],
    answers: readonly AccessAnswer[],
    outputLines: readonly string[],
  ): string[] {
    if (!this.#areConfigured) return []
    const found = received.flatMap(({ requestId, tenant, authorization }) => {
      const expected = this.#tenantOf(requestId)
      return [
        ...(authorization === undefined ? [] : [`${requestId}: a target got the field of the key`]),
        ...(expected === undefined ? [`${requestId} reached a target without a valid key`] : []),
        ...(tenant === expected ? [] : [`${requestId}: a target got the tenant ${tenant ?? 'of none'}`]),
      ]
    })
    for (const { requestId, status } of answers) {
      if (status === 401 && this.#isAlwaysValid(requestId))
        found.push(`${requestId} got 401 with a valid key`)
    }
    const line = outputLines.find((each) => /k-(north|south|unknown)/.test(each))
    if (line !== undefined) found.push(`an API key was logged: ${line}`)
    return found
  }

  #tenantOf(requestId: string): string | undefined {
    const { apiKey, isAfterwards = false } = this.#sent.get(requestId) ?? {}
    const valid = isAfterwards ? after : before
    return valid.find(({ apiKeys }) => apiKey !== undefined && apiKeys.includes(apiKey))?.name
  }

  #isAlwaysValid(requestId: string): boolean {
    const apiKey = this.#sent.get(requestId)?.apiKey
    return after.some(({ apiKeys }) => apiKey !== undefined && apiKeys.includes(apiKey))
  }
}
