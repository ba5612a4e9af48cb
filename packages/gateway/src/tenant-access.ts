/**
 * Decides which tenant a caller's request belongs to, or why it is refused. Nothing is remembered of a connection, so
 * that a withdrawn key is refused with the next request on it.
 */
import type { IncomingMessage } from 'node:http'
import { readApiKey } from '@pimentotally/platform'
import type { Route, RouteTable, Tenant } from '@pimentotally/routing'

/** Why a request gets status 401. A withdrawn key is an unknown one. */
export const AccessRefusal = {
  keyAbsent: 'key_absent',
  keyMalformed: 'key_malformed',
  keyUnknown: 'key_unknown',
} as const
export type AccessRefusal = (typeof AccessRefusal)[keyof typeof AccessRefusal]

export interface Access {
  /** The routes, and with them the configuration, by which this was decided. */
  readonly routes: RouteTable
  /** Whether that configuration has tenants. */
  readonly hasTenants: boolean
  /** Undefined for an anonymous route, without tenants, and for a refused request. */
  readonly tenant?: Tenant
  readonly refusal?: AccessRefusal
}

export const decideAccess = (routes: RouteTable, route: Route, request: IncomingMessage): Access => {
  const { tenants } = routes.configuration
  if (tenants === undefined) return { routes, hasTenants: false }
  if (route.isAnonymous) return { routes, hasTenants: true }
  const field = readApiKey(request.rawHeaders)
  if (field.code !== 'given') {
    const refusal = field.code === 'absent' ? AccessRefusal.keyAbsent : AccessRefusal.keyMalformed
    return { routes, hasTenants: true, refusal }
  }
  const tenant = tenants.holderOf(field.apiKey)
  return tenant === undefined
    ? { routes, hasTenants: true, refusal: AccessRefusal.keyUnknown }
    : { routes, hasTenants: true, tenant }
}

/**
 * Decides again by the configuration that is in force once the body has arrived, as a body may take longer than the
 * withdrawal of a key. A request whose route is gone since keeps the one that it was matched with.
 */
export const decideAccessAgain = (
  decided: Access,
  routes: RouteTable,
  route: Route,
  request: IncomingMessage,
): Access =>
  routes === decided.routes
    ? decided
    : decideAccess(
        routes,
        routes.configuration.tenants === undefined
          ? route
          : (routes.route(request.headers.host ?? '', request.url ?? '/') ?? route),
        request,
      )
