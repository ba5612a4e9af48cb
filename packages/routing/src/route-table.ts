/**
 * Finds the route of a request: among the routes of its hostname, the one with the longest matching prefix.
 * Each route divides its requests among services by smooth weighted round robin, which keeps to the weights
 * over short runs of requests too.
 */
import type { Configuration, Route, Service, WeightedService } from './configuration.js'

interface RouteState {
  readonly route: Route
  /** State of the weighted round robin, one number for each part of the route's split. */
  readonly credits: number[]
}

export interface RouteMatch {
  readonly route: Route
  readonly service: Service
}

export class RouteTable {
  readonly configuration: Configuration
  readonly #routesByHostname = new Map<string, RouteState[]>()

  constructor(configuration: Configuration) {
    this.configuration = configuration
    for (const route of configuration.routes) {
      const routes = this.#routesByHostname.get(route.hostname) ?? []
      routes.push({ route, credits: route.split.map(() => 0) })
      this.#routesByHostname.set(route.hostname, routes)
    }
    for (const routes of this.#routesByHostname.values()) {
      routes.sort((a, b) => b.route.prefix.length - a.route.prefix.length)
    }
  }

  /** The route and service for a request; `host` is its Host field and may contain a port, `path` a query. */
  match(host: string, path: string): RouteMatch | undefined {
    const found = this.#find(host, path)
    if (found === undefined) return undefined
    const service = this.configuration.services.get(nextService(found.route.split, found.credits))
    return service === undefined ? undefined : { route: found.route, service }
  }

  /** The route for a request, without a choice of its service. */
  route(host: string, path: string): Route | undefined {
    return this.#find(host, path)?.route
  }

  #find(host: string, path: string): RouteState | undefined {
    const hostname = host.replace(/:\d+$/, '').toLowerCase()
    const query = path.indexOf('?')
    const pathOnly = query < 0 ? path : path.slice(0, query)
    return this.#routesByHostname.get(hostname)?.find(({ route }) => pathOnly.startsWith(route.prefix))
  }
}

/**
 * Returns the name of the next service by smooth weighted round robin. `credits` has one number for each part
 * of the split, is initially all zeros, and is changed by each call.
 */
export const nextService = (split: readonly WeightedService[], credits: number[]): string => {
  let best = 0
  let total = 0
  split.forEach(({ weight }, index) => {
    total += weight
    credits[index] = (credits[index] ?? 0) + weight
    if ((credits[index] ?? 0) > (credits[best] ?? 0)) best = index
  })
  credits[best] = (credits[best] ?? 0) - total
  return split[best]?.service ?? ''
}
