/** The declared deployment (services, targets, failure domains) and the configuration made from it. */

export const IdempotencyKeyRule = { required: 'required', optional: 'optional' } as const
export type IdempotencyKeyRule = (typeof IdempotencyKeyRule)[keyof typeof IdempotencyKeyRule]

/** Where a keyed service finds the key of a request. */
export type KeySource =
  | { readonly kind: 'header'; readonly name: string }
  /** 0 is the first path segment after the service's prefix. */
  | { readonly kind: 'pathSegment'; readonly index: number }

/** Says for some paths of a service whether a method is idempotent, in place of `idempotentMethods`. */
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
  /** True when the targets verify grants: they themselves refuse requests that an earlier term allowed. */
  readonly verifiesGrants: boolean
  /** Most requests that one target may run at the same time, from all hosts together. */
  readonly slots: number
  /** Most connections that one target may have, from all hosts together. */
  readonly connections: number
  readonly idempotentMethods: readonly string[]
  readonly routes: readonly RouteSpec[]
  /** Whether a request that is not idempotent must have an idempotency key, or may have one. */
  readonly idempotencyKey: IdempotencyKeyRule
  /** Bounds the time until the head of the response; the stall timeouts bound streamed bodies. */
  readonly requestTimeoutMs: number
  /** A target that sends or takes nothing of a streamed body for this long counts as stalled. */
  readonly stallTimeoutMs: number
  /** A caller that sends or takes nothing of a body for this long counts as stalled. */
  readonly callerStallTimeoutMs: number
  readonly maxRequestBodyBytes: number
  /** Fraction of requests that may be retried, 0 to 0.05. */
  readonly retryBudget: number
  /** Fraction of requests that may be hedged (sent a second time before the first response), 0 to 0.05. */
  readonly hedgeBudget: number
  /**
   * A request identity is blocked after this many crashes of targets on which it ran alone, which are
   * conclusive evidence that it caused them.
   */
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

/**
 * `out`: the targets of the domain are drained, and its cells hand their shards over to cells of other
 * domains. `lost`: an operator has confirmed that the domain is lost, so cells of other domains take its
 * shards over themselves.
 */
export const DomainState = { in: 'in', out: 'out', lost: 'lost' } as const
export type DomainState = (typeof DomainState)[keyof typeof DomainState]

/** Changes made by operators. They stay in force when a new declarative file is applied. */
export interface OperatorOverrides {
  /** States of the domains that are not `in`. */
  readonly domains: Readonly<Record<string, DomainState>>
  readonly drainingTargets: readonly string[]
}

/** An accepted configuration. Each newer one has a higher version. */
export interface Configuration {
  readonly version: number
  /** SHA-256 of the stored document, in hex. */
  readonly hash: string
  readonly deployment: Deployment
  readonly operations: OperatorOverrides
}

export const Configuration = {
  /** The configuration in force before a deployment is applied for the first time. */
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

  /** Whether the request counts as idempotent: the first matching route decides, else the method. */
  isIdempotent: (service: ServiceSpec, method: string, path: string): boolean =>
    service.routes.find((route) => route.method === method && path.startsWith(route.pathPrefix))
      ?.idempotent ?? service.idempotentMethods.includes(method),
}
