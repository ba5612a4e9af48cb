/**
 * The picture of the load of targets without keys that all hosts share: the leader computes it from the reports
 * of the hosts, and it reaches them with the guidance. Kept in memory only, as it is out of date within seconds.
 * Load pattern: a hundred hosts choose among a hundred targets at the same moment, each from its own few reports.
 */
import type { Clock } from '@pimentotally/core'
import { RequestRate, type MeanOccupancy } from '@pimentotally/routing'
import type { Directory } from './directory.js'

/** Requests without a key by service and by the failure domain of the host that sent them. */
export type DemandCounts = Readonly<Record<string, Readonly<Record<string, number>>>>

export interface ServicePicture {
  /** Requests a second without a key, by the failure domain of the hosts that send them. */
  readonly demand: Readonly<Record<string, number>>
  /** Mean number of requests that run or wait, by target; without targets that nobody heard from lately. */
  readonly occupancy: Readonly<Record<string, number>>
}

/** As it is passed on; a receiver adds the age to its own clock. */
export interface LoadPicture {
  readonly ageMs: number
  readonly services: Readonly<Record<string, ServicePicture>>
}

/** A target without a report for this time is left out, so that one that hangs does not seem idle. */
const reportLifetimeMs = 2500
/** Bounds on a picture from another host; far above the largest deployment. */
const maxServices = 1000
const maxEntries = 20_000
/** A service without requests for this long is left out of the picture. */
const minRequestsPerSecond = 0.05

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value)

const areAmounts = (value: unknown): boolean => {
  if (!isObject(value)) return false
  const amounts = Object.values(value)
  return (
    amounts.length <= maxEntries &&
    amounts.every((amount) => typeof amount === 'number' && Number.isFinite(amount) && amount >= 0)
  )
}

const isServicePicture = (value: unknown): boolean =>
  isObject(value) && areAmounts(value.demand) && areAmounts(value.occupancy)

/** Absent in reports and guidance of earlier versions, and where the deployment does not ask for even load. */
export const areDemandCounts = (value: unknown): value is DemandCounts | undefined =>
  value === undefined || (isObject(value) && Object.values(value).every(areAmounts))

export const isLoadPicture = (value: unknown): value is LoadPicture | undefined => {
  if (value === undefined) return true
  if (!isObject(value) || !isObject(value.services)) return false
  const { ageMs, services } = value
  const pictures = Object.values(services)
  return (
    typeof ageMs === 'number' &&
    Number.isFinite(ageMs) &&
    ageMs >= 0 &&
    pictures.length <= maxServices &&
    pictures.every(isServicePicture)
  )
}

/** Counts the requests that hosts of a domain send to targets of a service without a key. */
export class DemandCounter {
  readonly #counts = new Map<string, Map<string, number>>()

  add(service: string, domain: string, requests = 1): void {
    const counts = this.#counts.get(service) ?? new Map<string, number>()
    this.#counts.set(service, counts)
    counts.set(domain, (counts.get(domain) ?? 0) + requests)
  }

  addAll(demand: DemandCounts | undefined): void {
    for (const [service, counts] of Object.entries(demand ?? {}))
      for (const [domain, requests] of Object.entries(counts)) this.add(service, domain, requests)
  }

  /** Returns the counts, and starts anew; undefined when nothing was counted. */
  take(): DemandCounts | undefined {
    if (this.#counts.size === 0) return undefined
    const counts = [...this.#counts].map(([service, byDomain]) => [service, Object.fromEntries(byDomain)])
    this.#counts.clear()
    return Object.fromEntries(counts) as DemandCounts
  }
}

export interface PictureBuilderOptions {
  readonly clock: Clock
  readonly directory: Directory
  /** Mean occupancy of each target, from all reports. */
  readonly targetMeans: ReadonlyMap<string, MeanOccupancy>
}

/** Computes the picture, while this host leads. */
export class PictureBuilder {
  readonly #options: PictureBuilderOptions
  readonly #rates = new Map<string, Map<string, RequestRate>>()

  constructor(options: PictureBuilderOptions) {
    this.#options = options
  }

  addDemand(demand: DemandCounts | undefined): void {
    const { clock, directory } = this.#options
    const nowMs = clock.monotonicMs()
    for (const [service, counts] of Object.entries(demand ?? {})) {
      if (directory.targets(service).length === 0) continue
      const rates = this.#rates.get(service) ?? new Map<string, RequestRate>()
      this.#rates.set(service, rates)
      for (const [domain, requests] of Object.entries(counts)) {
        const rate = rates.get(domain) ?? new RequestRate()
        rates.set(domain, rate)
        rate.add(nowMs, requests)
      }
    }
  }

  /** `ageMs` is the mean time between an observation of a host and now. */
  build(ageMs: number): LoadPicture {
    const nowMs = this.#options.clock.monotonicMs()
    const services: Record<string, ServicePicture> = {}
    for (const [service, rates] of this.#rates) {
      const demand: Record<string, number> = {}
      for (const [domain, rate] of rates) {
        const requestsPerSecond = rate.perSecond(nowMs)
        if (requestsPerSecond < minRequestsPerSecond) rates.delete(domain)
        else demand[domain] = Math.round(requestsPerSecond * 10) / 10
      }
      if (rates.size === 0) this.#rates.delete(service)
      else services[service] = { demand, occupancy: this.#occupancies(service, nowMs) }
    }
    return { ageMs, services }
  }

  #occupancies(service: string, nowMs: number): Record<string, number> {
    const { directory, targetMeans } = this.#options
    const occupancies: Record<string, number> = {}
    for (const { id } of directory.targets(service)) {
      const mean = targetMeans.get(id)
      if (mean === undefined || mean.ageMs(nowMs) > reportLifetimeMs) continue
      occupancies[id] = Math.round(mean.at(nowMs) * 10) / 10
    }
    return occupancies
  }
}
