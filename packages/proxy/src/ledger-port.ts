/** What the request path needs from the ledger of idempotency keys. */

export interface LedgerRequest {
  readonly service: string
  readonly key: string
  /** SHA-256 in hex over method, path and up to 64 KiB of body. */
  readonly requestHash: string
}

/** The attempt that won the insert of a key's row. */
export interface LedgerAttempt {
  readonly service: string
  readonly key: string
  readonly attemptId: string
}

export interface LedgerResponse {
  readonly status: number
  /** Name and value in turn, without hop-by-hop and router headers. */
  readonly headers: readonly string[]
  /** Absent when the answer was too large to keep. */
  readonly body?: Uint8Array
}

export type LedgerBeginResult =
  | { readonly kind: 'started'; readonly attemptId: string }
  | ({ readonly kind: 'done' } & LedgerResponse)
  /** Another attempt runs now. */
  | { readonly kind: 'inProgress' }
  /** Another attempt may have run, and its answer is lost. */
  | { readonly kind: 'unknownOutcome' }
  /** The key was used for a request with other content. */
  | { readonly kind: 'keyReused' }
  /** The platform cannot be consulted; nothing was started. */
  | { readonly kind: 'unavailable' }

/** One row for each idempotency key; exactly one attempt wins it. None of the methods rejects. */
export abstract class RequestLedgerPort {
  abstract begin(request: LedgerRequest): Promise<LedgerBeginResult>

  /** Keeps the complete answer. */
  abstract finish(attempt: LedgerAttempt, answer: LedgerResponse): Promise<void>

  /** Says that the attempt certainly did not run, so that a resend may take the row over. */
  abstract markNotRun(attempt: LedgerAttempt): Promise<void>
}
