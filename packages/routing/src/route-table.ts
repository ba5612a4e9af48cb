/**
 * Finds the route of a request: among the routes of its host name, the one with the longest prefix. Each route divides
 * its requests among services by smooth weighted round robin, which keeps the shares even over short spans too.
 */
import type { Configuration, Route, Service, WeightedService } from './configuration.js'

interface Divided {
  readonly route: Route
  readonly credits: number[]
}

export interface RouteMatch {
  readonly route: Route
  readonly service: Service
}

export class RouteTable {
  readonly configuration: Configuration
  readonly #byHost = new Map<string, Divided[]>()

  constructor(configuration: Configuration) {
    this.configuration = configuration
    for (const route of configuration.routes) {
      const routes = this.#byHost.get(route.hostname) ?? []
      routes.push({ route, credits: route.split.map(() => 0) })
      this.#byHost.set(route.hostname, routes)
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.route.prefix.length - a.route.prefix.length)
    }
  }

  /** `host` may carry a port; `path` may carry a query. */
  match(host: string, path: string): RouteMatch | undefined {
    const hostname = host.replace(/:\d+$/, '').toLowerCase()
    const query = path.indexOf('?')
    const plain = query < 0 ? path : path.slice(0, query)
    const divided = this.#byHost.get(hostname)?.find(({ route }) => plain.startsWith(route.prefix))
    if (divided === undefined) return undefined
    const service = this.configuration.services.get(nextService(divided.route.split, divided.credits))
    return service === undefined ? undefined : { route: divided.route, service }
  }
}

/** Smooth weighted round robin; `credits` is its state. */
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
