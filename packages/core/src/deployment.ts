/** The declared deployment: services, targets and failure domains, as every host holds it. */

export const IdempotencyKeyRule = { required: 'required', optional: 'optional' } as const
export type IdempotencyKeyRule = (typeof IdempotencyKeyRule)[keyof typeof IdempotencyKeyRule]

/** Where a keyed service finds the key of a request. */
export type KeySource =
  | { readonly kind: 'header'; readonly name: string }
  /** 0 is the first path segment after the service's prefix. */
  | { readonly kind: 'pathSegment'; readonly index: number }

/** Overrides the idempotency that follows from the method. */
export interface RouteSpec {
  readonly method: string
  readonly pathPrefix: string
  readonly idempotent: boolean
}

export interface ServiceSpec {
  readonly name: string
  /** Requests whose path starts with this prefix belong to the service. */
  readonly pathPrefix: string
  /** Present when the service is divided by key. */
  readonly keyed?: { readonly shardCount: number; readonly source: KeySource }
  readonly verifiesGrants: boolean
  /** Requests a target may run at once, over all hosts. */
  readonly slots: number
  /** Connections a target may have, over all hosts. */
  readonly connections: number
  readonly idempotentMethods: readonly string[]
  readonly routes: readonly RouteSpec[]
  readonly idempotencyKey: IdempotencyKeyRule
  /** Until the head of the answer; for streamed bodies the stall limits apply after it. */
  readonly requestTimeoutMs: number
  readonly stallTimeoutMs: number
  readonly callerStallTimeoutMs: number
  readonly maxRequestBodyBytes: number
  /** Share of requests that may be retried, 0 to 0.05. */
  readonly retryBudget: number
  /** Share of requests that may be hedged, 0 to 0.05. */
  readonly hedgeBudget: number
  /** Conclusive crashes after which a request identity is blocked. */
  readonly crashLimit: number
}

export interface TargetSpec {
  readonly name: string
  readonly service: string
  readonly domain: string
  /** IP address and port, for example `127.0.0.1:9001`. */
  readonly address: string
}

export interface DomainSpec {
  readonly name: string
  readonly region: string
}

export interface Deployment {
  readonly name: string
  readonly services: readonly ServiceSpec[]
  readonly targets: readonly TargetSpec[]
  readonly domains: readonly DomainSpec[]
}

export const DomainState = { in: 'in', out: 'out', lost: 'lost' } as const
export type DomainState = (typeof DomainState)[keyof typeof DomainState]

/** Operators' changes that outlive an apply of the declarative file. */
export interface OperatorOverrides {
  /** Domains that are not `in`. */
  readonly domains: Readonly<Record<string, DomainState>>
  readonly drainingTargets: readonly string[]
}

/** One accepted configuration. Versions only rise. */
export interface Configuration {
  readonly version: number
  /** SHA-256 of the stored document, in hex. */
  readonly hash: string
  readonly deployment: Deployment
  readonly operations: OperatorOverrides
}

export const Configuration = {
  /** Before the first apply. */
  empty: {
    version: 0,
    hash: '',
    deployment: { name: '', services: [], targets: [], domains: [] },
    operations: { domains: {}, drainingTargets: [] },
  } as Configuration,

  domainState: (configuration: Configuration, domain: string): DomainState =>
    configuration.operations.domains[domain] ?? DomainState.in,

  isDraining: (configuration: Configuration, target: string): boolean =>
    configuration.operations.drainingTargets.includes(target),

  /** True when the service treats the request as idempotent. */
  isIdempotent: (service: ServiceSpec, method: string, path: string): boolean =>
    service.routes.find((route) => route.method === method && path.startsWith(route.pathPrefix))
      ?.idempotent ?? service.idempotentMethods.includes(method),
}
