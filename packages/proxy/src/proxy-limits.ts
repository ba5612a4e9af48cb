/** Limits of the request path that do not belong to one service. */

export interface ProxyLimits {
  /** Bodies up to this size are held for the identity hash and for a retry. */
  readonly bufferedBodyBytes: number
  /** Answers of non-idempotent requests up to this size are kept for a replay. */
  readonly storedResponseBytes: number
  readonly maxHeaderBytes: number
  readonly maxCallerConnections: number
  /** Requests of callers and peers in work at once; more are refused. */
  readonly maxInFlight: number
  /** Sends of one request, the first included. */
  readonly maxAttempts: number
  /** A lost SYN is repeated after 1 s, so waiting much longer for a connection gains nothing. */
  readonly connectTimeoutMs: number
  /** Shorter than the usual 5 s of servers, so that the router closes an idle connection first. */
  readonly idleTimeoutMs: number
  /** One try to cancel a request at its target. */
  readonly cancelTimeoutMs: number
  /** A permit is kept at least this long after an unconfirmed cancel. */
  readonly cancelGraceMs: number
  /** Connections to one peer for forwarded requests. */
  readonly peerConnections: number
  /** The head of a caller's request must be complete within this time. */
  readonly headTimeoutMs: number
  readonly callerIdleTimeoutMs: number
  /** The wait for `markNotRun` before a caller is told that its request did not run. */
  readonly ledgerWaitMs: number
  /** Cell records are compared with the cached homes at most this often. */
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
