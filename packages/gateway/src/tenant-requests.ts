/**
 * Counts the requests of tenants for the metrics. A configuration may have thousands of tenants, so the busiest ones are
 * shown one by one and the others as a sum. These change from minute to minute, which counters could not show.
 */
import type { Clock } from '@pimentotally/core'
import type { LabelledSample } from './metrics.js'

const periodMs = 60_000
/** Tenants that are shown one by one. */
const shownTenants = 20
/** Tenants that are counted one by one; requests of further ones are counted among the others. */
const maxTenants = 5000
/** No tenant's name: names do not begin with a blank. */
const others = ' others'

type Outcomes = Map<string, number>

export class TenantRequests {
  readonly #clock: Clock
  #startedAtMs: number
  #current = new Map<string, Outcomes>()
  #previous = new Map<string, Outcomes>()

  constructor(clock: Clock) {
    this.#clock = clock
    this.#startedAtMs = clock.monotonicMs()
  }

  record(tenant: string, outcome: string): void {
    this.#endPeriods()
    const isCounted = this.#current.has(tenant) || this.#current.size < maxTenants
    increase(this.#current, isCounted ? tenant : others, outcome, 1)
  }

  /** Requests by tenant and outcome within the last full minute. */
  samples(): LabelledSample[] {
    this.#endPeriods()
    const ordered = [...this.#previous].sort(([, a], [, b]) => total(b) - total(a))
    const shown = new Map<string, Outcomes>()
    let left = shownTenants
    for (const [tenant, outcomes] of ordered) {
      const isShown = tenant !== others && left > 0
      if (isShown) left -= 1
      for (const [outcome, count] of outcomes) increase(shown, isShown ? tenant : others, outcome, count)
    }
    return [...shown].flatMap(([tenant, outcomes]) =>
      [...outcomes].map(([outcome, value]) => ({ labels: { tenant, outcome }, value })),
    )
  }

  #endPeriods(): void {
    const ended = Math.floor((this.#clock.monotonicMs() - this.#startedAtMs) / periodMs)
    if (ended === 0) return
    this.#previous = ended === 1 ? this.#current : new Map()
    this.#current = new Map()
    this.#startedAtMs += ended * periodMs
  }
}

const total = (outcomes: Outcomes): number => [...outcomes.values()].reduce((sum, count) => sum + count, 0)

const increase = (counts: Map<string, Outcomes>, tenant: string, outcome: string, by: number): void => {
  const outcomes = counts.get(tenant) ?? new Map<string, number>()
  counts.set(tenant, outcomes)
  outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + by)
}
