/**
 * Takes requests from the listener and keeps what they share on this host: the retry budget of each service and the work
 * times of the routes. Each request is carried by a run of its own.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock, Logger, Random } from '@pimentotally/core'
import {
  RetryBudget,
  WorkTimes,
  type RetryBudgetOptions,
  type Route,
  type RouteMatch,
} from '@pimentotally/routing'
import type { Directory } from './directory.js'
import type { GatewayMetrics } from './metrics.js'
import { RequestRun } from './request-run.js'
import { TargetSelector } from './target-selector.js'
import type { TargetTable } from './target-table.js'

/** Work time of a route before its first response, as a share of its objective. */
const initialWorkShare = 0.3
/** Without an objective. */
const defaultWorkMs = 100

export interface DispatcherOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly random: Random
  readonly directory: Directory
  readonly targets: TargetTable
  readonly metrics: GatewayMetrics
  readonly domain: string
  readonly retryBudget: RetryBudgetOptions
  readonly countKey: (service: string, key: number) => void
  readonly observeSpeed: (target: string, factor: number) => void
  /** Which part of the requests for a target's keys may be sent to it. */
  readonly admittedShare: (target: string) => number
}

export interface Inbound {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly requestId: string
  readonly match: RouteMatch
  readonly body: Buffer | undefined
  readonly key: number | undefined
  readonly arrivedAtMs: number
  /** From arrival; undefined for none. */
  readonly callerDeadlineMs: number | undefined
}

export class Dispatcher {
  readonly options: DispatcherOptions
  readonly selector: TargetSelector
  readonly #workTimes = new WorkTimes()
  readonly #budgets = new Map<string, RetryBudget>()

  constructor(options: DispatcherOptions) {
    this.options = options
    this.selector = new TargetSelector({ ...options, routeWorkMs: (route) => this.routeWorkMs(route) })
  }

  budget(service: string): RetryBudget {
    let budget = this.#budgets.get(service)
    if (budget === undefined) {
      budget = new RetryBudget(this.options.retryBudget)
      this.#budgets.set(service, budget)
    }
    return budget
  }

  /** Mean work time of the route's requests. */
  routeWorkMs(route: Route): number {
    return this.#workTimes.expectedMs(route.name, initialWorkMs(route))
  }

  recordWork(route: Route, workMs: number): void {
    this.#workTimes.record(route.name, workMs, initialWorkMs(route))
  }

  /** Mean work time of the service's first route, for estimates of its load. */
  serviceWorkMs(service: string): number {
    const route = this.options.directory.routes?.configuration.routes.find(({ split }) =>
      split.some((part) => part.service === service),
    )
    return route === undefined ? defaultWorkMs : this.routeWorkMs(route)
  }

  dispatch(inbound: Inbound): void {
    void new RequestRun(this, inbound).start()
  }
}

const initialWorkMs = ({ objectiveMs }: Route): number =>
  objectiveMs > 0 ? objectiveMs * initialWorkShare : defaultWorkMs
