/** Interface between the request path and the ledger of idempotency keys. */

export interface LedgerRequest {
  readonly service: string
  readonly key: string
  /** SHA-256 in hex over method, path and up to 64 KiB of body. */
  readonly requestHash: string
}

/** The attempt that inserted the row of an idempotency key, or took it over, and so may run. */
export interface LedgerAttempt {
  readonly service: string
  readonly key: string
  readonly attemptId: string
}

export interface LedgerResponse {
  readonly status: number
  /** Alternating names and values, without hop-by-hop and router header fields. */
  readonly headers: readonly string[]
  /** Absent when the body was too large to store. */
  readonly body?: Uint8Array
}

export type LedgerBeginResult =
  | { readonly kind: 'started'; readonly attemptId: string }
  | ({ readonly kind: 'done' } & LedgerResponse)
  /** Another attempt is running now. */
  | { readonly kind: 'inProgress' }
  /** Another attempt may have run, and its response is lost. */
  | { readonly kind: 'unknownOutcome' }
  /** The key was used for a request with different content. */
  | { readonly kind: 'keyReused' }
  /** The platform cannot be consulted; no attempt was started. */
  | { readonly kind: 'unavailable' }

/** One row for each idempotency key, which exactly one attempt obtains. None of the methods rejects. */
export abstract class RequestLedgerPort {
  abstract begin(request: LedgerRequest): Promise<LedgerBeginResult>

  /** Stores the complete response. */
  abstract finish(attempt: LedgerAttempt, response: LedgerResponse): Promise<void>

  /** Records that the attempt certainly did not run, so that a resend may take the row over. */
  abstract markNotRun(attempt: LedgerAttempt): Promise<void>
}
