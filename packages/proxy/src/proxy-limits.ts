/** Limits of the request path that do not belong to one service. */

export interface ProxyLimits {
  /**
   * Request bodies up to this size are kept in memory for the identity hash and for a retry; larger ones are
   * streamed.
   */
  readonly bufferedBodyBytes: number
  /** Bodies of responses to non-idempotent requests are stored for a replay up to this size. */
  readonly storedResponseBytes: number
  readonly maxHeaderBytes: number
  readonly maxCallerConnections: number
  /** Requests of callers and peers in progress at once; further ones are refused. */
  readonly maxInFlight: number
  /** Sends of one request, including the first. */
  readonly maxAttempts: number
  /** Time to open a connection. TCP repeats a lost SYN after 1 s, so waiting much longer gains nothing. */
  readonly connectTimeoutMs: number
  /**
   * Idle connections to targets and peers. Servers usually close them after 5 s; the router must do so first.
   */
  readonly idleTimeoutMs: number
  /** Time for one call that cancels a request at its target. */
  readonly cancelTimeoutMs: number
  /**
   * A permit whose cancel is not confirmed is kept at least this long after the deadline, or after the cancel
   * if that is later.
   */
  readonly cancelGraceMs: number
  /** Connections to one peer host for forwarded requests. */
  readonly peerConnections: number
  /** The head of a caller's request must be complete within this time. */
  readonly headTimeoutMs: number
  readonly callerIdleTimeoutMs: number
  /** How long `markNotRun` may delay the response that tells a caller that its request did not run. */
  readonly ledgerWaitMs: number
  /** Least time between two comparisons of the cell records with the cached home cells of the shards. */
  readonly homeRefreshMs: number
}

export const ProxyLimits = {
  default: {
    bufferedBodyBytes: 65_536,
    storedResponseBytes: 4096,
    maxHeaderBytes: 16_384,
    maxCallerConnections: 20_000,
    maxInFlight: 4096,
    maxAttempts: 3,
    connectTimeoutMs: 500,
    idleTimeoutMs: 4000,
    cancelTimeoutMs: 250,
    cancelGraceMs: 250,
    peerConnections: 256,
    headTimeoutMs: 10_000,
    callerIdleTimeoutMs: 65_000,
    ledgerWaitMs: 500,
    homeRefreshMs: 20,
  } as ProxyLimits,
}
