/**
 * Starts the proxying of each request that the caller server has read, and holds what all requests on this
 * host share: the retry budget of each service and the mean work time of each route.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock, Logger, Random } from '@pimentotally/core'
import {
  RetryBudget,
  TenantFairness,
  UsualDeadlines,
  WorkTimes,
  type RetryBudgetOptions,
  type Route,
  type RouteMatch,
  type Tenant,
} from '@pimentotally/routing'
import type { CrashingRequests } from './crashing-requests.js'
import type { Directory } from './directory.js'
import type { GatewayMetrics } from './metrics.js'
import { ProxiedRequest } from './proxied-request.js'
import type { TenantQuotas } from './quotas.js'
import { RequestLines } from './request-lines.js'
import { TargetSelector } from './target-selector.js'
import type { TargetObservations } from './target-observations.js'
import { TenantRequests } from './tenant-requests.js'
import type { KnownPicture } from './unkeyed-placement.js'

/** Work time that is assumed for a route before its first response, as a share of its objective. */
const initialWorkShare = 0.3
/** Work time that is assumed for a route without an objective before its first response. */
const defaultWorkMs = 100

export interface DispatcherOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly random: Random
  readonly directory: Directory
  readonly targets: TargetObservations
  readonly crashingRequests: CrashingRequests
  readonly metrics: GatewayMetrics
  /** The failure domain of this host. */
  readonly domain: string
  readonly retryBudget: RetryBudgetOptions
  /** Counts a request for a key of the service. */
  readonly countKey: (service: string, key: number) => void
  /** Takes the work time of a request on the target, divided by the mean of its route: 2 is twice as slow. */
  readonly observeSpeed: (target: string, factor: number) => void
  /** Time since the store confirmed this host's copy of the target registry, for the log. */
  readonly registryAgeMs?: () => number | undefined
  /** Share of the requests for a target's keys that may be sent to it; 1 for all. */
  readonly admittedShare: (target: string) => number
  /** Undefined where no quotas are in force. */
  readonly quotas?: Pick<TenantQuotas, 'admit' | 'giveBack'>
  /** The shared picture of the service's load; undefined when there is no recent one. */
  readonly picture?: (service: string) => KnownPicture | undefined
  /** Counts a request without a key that is sent to a target of the service for the first time. */
  readonly countUnkeyed?: (service: string) => void
}

/** A request that has been read completely. */
export interface InboundRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly requestId: string
  readonly match: RouteMatch
  readonly body: Buffer | undefined
  /** Undefined for an anonymous route, and where the configuration has no tenants. */
  readonly tenant?: Tenant | undefined
  /** Whether a configuration that let the request in has tenants, so that targets must not see its API key. */
  readonly hasTenants?: boolean
  /** Undefined when the request names no key, or no valid one. */
  readonly key: number | undefined
  /** On the monotonic clock. */
  readonly arrivedAtMs: number
  /** How long the caller waits, counted from the arrival; undefined when it set no deadline. */
  readonly callerDeadlineMs: number | undefined
}

export class Dispatcher {
  readonly options: DispatcherOptions
  readonly selector: TargetSelector
  /** The requests that wait for room. */
  readonly lines: RequestLines
  readonly #usualDeadlines = new UsualDeadlines()
  readonly #workTimes = new WorkTimes()
  readonly #budgets = new Map<string, RetryBudget>()
  readonly tenantRequests: TenantRequests
  /** By service; empty where the configuration has no tenants. */
  readonly #fairness = new Map<string, TenantFairness>()

  constructor(options: DispatcherOptions) {
    this.options = options
    this.tenantRequests = new TenantRequests(options.clock)
    this.selector = new TargetSelector({
      ...options,
      routeWorkMs: (route) => this.routeWorkMs(route),
      isBehind: (service, tenant) =>
        this.#fairness.get(service)?.isBehind(tenant.name, options.clock.monotonicMs()) === true,
    })
    this.lines = new RequestLines(options)
  }

  /** Number of tenants that go before others at some service because they were refused more often. */
  get tenantsBehind(): number {
    const nowMs = this.options.clock.monotonicMs()
    return new Set([...this.#fairness.values()].flatMap((fairness) => fairness.behind(nowMs))).size
  }

  /** Records the end of a tenant's request; `isSuspect` says that it may have crashed targets. */
  recordTenant(
    service: string,
    { name }: Tenant,
    { outcome, isSuspect = false }: { readonly outcome: string; readonly isSuspect?: boolean },
  ): void {
    this.tenantRequests.record(name, outcome)
    // A request that failed, whose caller has left or that is kept from targets says nothing of the room for it.
    if (isSuspect || (outcome !== 'answered' && outcome !== 'refused')) return
    const fairness = this.#fairness.get(service) ?? new TenantFairness()
    this.#fairness.set(service, fairness)
    fairness.record(name, outcome === 'answered', this.options.clock.monotonicMs())
  }

  retryBudgetOf(service: string): RetryBudget {
    let budget = this.#budgets.get(service)
    if (budget === undefined) {
      budget = new RetryBudget(this.options.retryBudget)
      this.#budgets.set(service, budget)
    }
    return budget
  }

  /** Mean work time of the route's requests: time in a slot of a target, without waiting for it. */
  routeWorkMs(route: Route): number {
    return this.#workTimes.expectedMs(route.name, initialWorkMs(route))
  }

  recordWorkTime(route: Route, workMs: number): void {
    this.#workTimes.record(route.name, workMs, initialWorkMs(route))
  }

  /** Time since the first attempt of the request's caller, as far as its deadline tells. */
  callerAgeMs({ match, callerDeadlineMs }: InboundRequest): number {
    if (callerDeadlineMs === undefined) return 0
    this.#usualDeadlines.record(match.route.name, callerDeadlineMs)
    return this.#usualDeadlines.ageMs(match.route.name, callerDeadlineMs)
  }

  /** Mean work time of the first route that leads to the service, for estimates of the service's load. */
  serviceWorkMs(service: string): number {
    const route = this.options.directory.routes?.configuration.routes.find(({ split }) =>
      split.some((part) => part.service === service),
    )
    return route === undefined ? defaultWorkMs : this.routeWorkMs(route)
  }

  dispatch(inbound: InboundRequest): void {
    void new ProxiedRequest(this, inbound).start()
  }
}

const initialWorkMs = ({ objectiveMs }: Route): number =>
  objectiveMs > 0 ? objectiveMs * initialWorkShare : defaultWorkMs
