/**
 * The configuration in force: the routes of each hostname, the services behind them, and limits for callers.
 */

import type { TenantTable } from './tenants.js'

export const RequestKind = {
  safe: 'safe',
  unsafe: 'unsafe',
  /** Idempotent, with a large response. */
  download: 'download',
  /** Runs at most once, with a large body. */
  upload: 'upload',
} as const
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind]

/**
 * Whether a request may run more than once, so that it may be hedged, or retried when it may have run
 * already.
 */
export const isIdempotent = (kind: RequestKind): boolean =>
  kind === RequestKind.safe || kind === RequestKind.download

export interface WeightedService {
  readonly service: string
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly hostname: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Longest time that a caller is kept waiting; 0 for no limit. */
  readonly timeoutMs: number
  /** Latency objective: a response within this time has its full value to the caller; 0 for none. */
  readonly objectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Whether its requests need no API key where the configuration has tenants. */
  readonly isAnonymous: boolean
  /** Largest number of distinct targets that one request may be sent to. */
  readonly maxTargets: number
  /** The services among which the route's requests are divided; at least one. */
  readonly split: readonly WeightedService[]
}

export interface Service {
  readonly name: string
  /** Path at which a target is probed. */
  readonly healthPath: string
  /** Connections that a target accepts from all hosts together. */
  readonly maxConnections: number
  /**
   * How long a target that may have turned cold counts as cold, unless it reports whether it is; a report in
   * a response can only lengthen this time.
   */
  readonly coldStartMs: number
  /** Requests a second that a cold target tolerates from all hosts together. */
  readonly coldRequestsPerSecond: number
  /** Whether its requests carry a key and each key is owned exclusively by one target. */
  readonly isSharded: boolean
  /** The field `warmup` of the configuration; the router does not use it. */
  readonly warmupMs: number
}

export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  /** Time within which the header of a request must arrive. */
  readonly headerTimeoutMs: number
  /** Idle connections of callers are closed after this time. */
  readonly idleTimeoutMs: number
}

export interface Configuration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  readonly limits: CallerLimits
  /** Undefined when the configuration has no tenants; requests then need no API key. */
  readonly tenants: TenantTable | undefined
}
