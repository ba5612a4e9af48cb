/**
 * Places requests without a key where hosts compete for targets: keeps each in its failure domain unless the
 * domain has more than it can serve, and divides a domain's requests over its targets by the shared picture of
 * their load. Without a picture, shares are by slots and speed, and requests leave only for a long wait.
 */
import type { Clock, Random } from '@pimentotally/core'
import {
  DomainOverflow,
  RequestKind,
  capacityOf,
  chooseByShare,
  interpretLoads,
  overflowShares,
  toleratedHomeWaitMs,
  type DomainLoad,
  type PicturedLoad,
  type Route,
  type RouteMatch,
  type SharedCandidate,
} from '@pimentotally/routing'
import type { Directory, KnownTarget } from './directory.js'
import type { ServicePicture } from './load-picture.js'
import type { TargetObservations } from './target-observations.js'

/** What a host knows of all hosts' requests to a service. */
export interface KnownPicture extends ServicePicture {
  /** Since the load was observed. */
  readonly ageMs: number
}

export interface UnkeyedPlacementOptions {
  readonly clock: Clock
  readonly random: Random
  readonly directory: Directory
  readonly targets: TargetObservations
  /** The failure domain of this host. */
  readonly domain: string
  /** The picture of the service's load; undefined when there is no recent one. */
  readonly picture: (service: string) => KnownPicture | undefined
  /** Mean work time of the route's requests. */
  readonly routeWorkMs: (route: Route) => number
}

export interface UnkeyedCandidate {
  readonly target: KnownTarget
  /** Expected time until a slot is free. */
  readonly waitMs: number
  readonly failureLevel: number
}

/** Requests whose bodies or responses are large, by their kind. */
const isLarge = ({ kind }: Route): boolean => kind === RequestKind.download || kind === RequestKind.upload

const sum = (values: Iterable<number>): number => [...values].reduce((total, value) => total + value, 0)

export class UnkeyedPlacement {
  readonly #options: UnkeyedPlacementOptions
  readonly #overflows = new Map<string, DomainOverflow>()
  /** Requests that were placed at home and in other domains. */
  readonly placed = { home: 0, overflow: 0, waiting: 0, noTarget: 0 }

  constructor(options: UnkeyedPlacementOptions) {
    this.#options = options
  }

  /** Number of requests to expect at a target of which this host has no recent report. */
  expectedOccupancy(service: string): (target: KnownTarget) => number {
    const { targets } = this.#options
    const picture = this.#options.picture(service)
    const mean = targets.averageOccupancy(service)
    return ({ id }) => picture?.occupancy[id] ?? mean
  }

  /** Chooses among the targets that can take the request; `isFirst` for one that was not sent before. */
  choose<T extends UnkeyedCandidate>(
    { service, route }: RouteMatch,
    candidates: readonly T[],
    isFirst: boolean,
  ): T | undefined {
    const { domain } = this.#options
    const picture = this.#options.picture(service.name)
    const home = candidates.filter(({ target }) => target.domain === domain)
    const away = candidates.filter(({ target }) => target.domain !== domain)
    const other = isFirst ? this.#overflowDomain(service.name, route, picture) : undefined
    const planned = other === undefined ? [] : away.filter(({ target }) => target.domain === other)
    if (planned.length > 0) {
      this.placed.overflow += 1
      return this.#chooseWithin(service.name, route, planned, picture)
    }
    const atHome = this.#chooseWithin(service.name, route, home, picture)
    if (atHome === undefined) {
      this.placed.noTarget += 1
      return this.#chooseWithin(service.name, route, away, picture)
    }
    const toleratedMs = toleratedHomeWaitMs(route.objectiveMs, isLarge(route))
    if (atHome.waitMs > toleratedMs) {
      const elsewhere = this.#chooseWithin(service.name, route, away, picture)
      if (elsewhere !== undefined && elsewhere.waitMs + toleratedMs < atHome.waitMs) {
        this.placed.waiting += 1
        return elsewhere
      }
    }
    this.placed.home += 1
    return atHome
  }

  #overflowDomain(service: string, route: Route, picture: KnownPicture | undefined): string | undefined {
    if (picture === undefined) return undefined
    let overflow = this.#overflows.get(service)
    if (overflow === undefined) {
      overflow = new DomainOverflow(this.#options.random)
      this.#overflows.set(service, overflow)
    }
    const shares = overflowShares(this.#domainLoads(service, route, picture), this.#options.domain)
    return overflow.next(shares, isLarge(route))
  }

  /** Demand and capacity of each domain; cold targets and those that get no new work do not count. */
  #domainLoads(service: string, route: Route, picture: KnownPicture): DomainLoad[] {
    const { clock, directory, targets } = this.#options
    const nowMs = clock.monotonicMs()
    const workMs = this.#meanWorkMs(service, route)
    const capacities = new Map(Object.keys(picture.demand).map((domain) => [domain, 0]))
    for (const target of directory.targets(service)) {
      if (!directory.isUsable(target) || target.coldUntilMs > nowMs) continue
      const { speedFactor } = targets.of(target.id).load
      const capacity = (capacityOf({ slots: target.slots, speedFactor }) * 1000) / workMs
      capacities.set(target.domain, (capacities.get(target.domain) ?? 0) + capacity)
    }
    return [...capacities].map(([domain, capacityPerSecond]) => ({
      domain,
      requestsPerSecond: picture.demand[domain] ?? 0,
      capacityPerSecond,
    }))
  }

  /** Mean time in a slot, with the slowdowns that targets report. */
  #meanWorkMs(service: string, route: Route): number {
    const { targets, routeWorkMs } = this.#options
    return Math.max(1, routeWorkMs(route) * targets.averageSlowdown(service))
  }

  #chooseWithin<T extends UnkeyedCandidate>(
    service: string,
    route: Route,
    candidates: readonly T[],
    picture: KnownPicture | undefined,
  ): T | undefined {
    const { clock, random, targets, routeWorkMs } = this.#options
    const nowMs = clock.monotonicMs()
    const shares = this.#shares(service, route, candidates, picture)
    const shared = candidates.map((candidate, index): SharedCandidate<T> => {
      const { target, failureLevel } = candidate
      const { load } = targets.of(target.id)
      const knownDelayMs = load.knownDelayMs(nowMs, { workMs: routeWorkMs(route), slots: target.slots })
      return { target: candidate, share: shares[index] ?? 0, knownDelayMs, failureLevel }
    })
    return chooseByShare(shared, random)?.target
  }

  #shares(
    service: string,
    route: Route,
    candidates: readonly UnkeyedCandidate[],
    picture: KnownPicture | undefined,
  ): number[] {
    const { targets } = this.#options
    const capacities = candidates.map(({ target: { id, slots } }) => ({
      id,
      slots,
      speedFactor: targets.of(id).load.speedFactor,
    }))
    if (picture === undefined) return capacities.map((capacity) => capacityOf(capacity))
    // A target that nobody heard from lately counts as loaded as the others.
    const known = capacities.filter(({ id }) => picture.occupancy[id] !== undefined)
    const occupied = sum(known.map(({ id }) => picture.occupancy[id] ?? 0))
    const meanFill = occupied / Math.max(1, sum(known.map((capacity) => capacityOf(capacity))))
    const loads = capacities.map((capacity): PicturedLoad => {
      const occupancy = picture.occupancy[capacity.id] ?? meanFill * capacityOf(capacity)
      return { ...capacity, occupancy }
    })
    // The targets of a domain get their part of all requests, by their part of the capacity.
    const part = candidates.length / Math.max(1, this.#options.directory.targets(service).length)
    return interpretLoads(loads, {
      requestsPerSecond: sum(Object.values(picture.demand)) * part,
      workMs: this.#meanWorkMs(service, route),
      ageMs: picture.ageMs,
    })
  }
}
