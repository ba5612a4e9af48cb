/** Runs a request that is not idempotent under its row in the ledger, so that it runs at most once. */
import { IdempotencyKeyRule, type Clock } from '@pimentotally/core'
import type { InboundRequest } from './inbound-request.js'
import { GeneratedResponse } from './generated-response.js'
import { countHeader } from '@pimentotally/http'
import type {
  LedgerResponse,
  LedgerAttempt,
  LedgerBeginResult,
  LedgerRequest,
  RequestLedgerPort,
} from './ledger-port.js'
import { RequestBody } from './request-body.js'

export type Admission =
  /** `attempt` is absent when the service allows requests without a key. */
  | { readonly kind: 'run'; readonly attempt?: LedgerAttempt }
  | { readonly kind: 'replay'; readonly answer: LedgerResponse & { readonly body: Uint8Array } }
  | { readonly kind: 'generated'; readonly answer: GeneratedResponse }

const maxKeyLength = 256

const generated = (answer: GeneratedResponse): Admission => ({ kind: 'generated', answer })

export class AtMostOnce {
  readonly #ledger: RequestLedgerPort
  readonly #clock: Clock
  readonly #waitMs: number
  readonly #writes = new Set<Promise<void>>()

  constructor(ledger: RequestLedgerPort, clock: Clock, waitMs: number) {
    this.#ledger = ledger
    this.#clock = clock
    this.#waitMs = waitMs
  }

  /** Must be asked before a permit is used. */
  async admit(call: InboundRequest): Promise<Admission> {
    const { service, idempotencyKey: key } = call
    if (key === undefined) {
      return service.idempotencyKey === IdempotencyKeyRule.optional
        ? { kind: 'run' }
        : generated(
            GeneratedResponse.notRun(
              400,
              'idempotency_key_required',
              'this request needs an idempotency-key header',
            ),
          )
    }
    if (key.length > maxKeyLength || countHeader(call.request.rawHeaders, 'idempotency-key') > 1) {
      return generated(
        GeneratedResponse.notRun(
          400,
          'idempotency_key_invalid',
          'the idempotency-key header is repeated or too long',
        ),
      )
    }
    const requestHash = RequestBody.hash(call.method, call.path, call.body)
    const begun = await this.#begin(call, { service: service.name, key, requestHash })
    switch (begun.kind) {
      case 'started':
        call.hasLedgerRow = true
        return { kind: 'run', attempt: { service: service.name, key, attemptId: begun.attemptId } }
      case 'done': {
        const { status, headers, body } = begun
        if (body !== undefined) return { kind: 'replay', answer: { status, headers, body } }
        return generated(
          GeneratedResponse.notRun(
            409,
            'already_completed',
            'the request completed earlier; its answer was not kept',
          ),
        )
      }
      case 'inProgress':
        return generated(
          GeneratedResponse.notRun(409, 'request_in_progress', 'another send with this key runs now', {
            retryAfterMs: 1000,
          }),
        )
      case 'unknownOutcome':
        return generated(
          GeneratedResponse.unknown('outcome_unknown', 'an earlier send with this key may have run'),
        )
      case 'keyReused':
        return generated(
          GeneratedResponse.notRun(409, 'idempotency_key_reused', 'the key was used for a different request'),
        )
      case 'unavailable':
        return generated(
          GeneratedResponse.notRun(
            503,
            'idempotency_store_unavailable',
            'idempotency keys cannot be checked now',
            {
              retryAfterMs: 1000,
            },
          ),
        )
    }
  }

  /** A begin that outlasts the deadline counts as unavailable; should it still win the row, the row is given back. */
  async #begin(call: InboundRequest, request: LedgerRequest): Promise<LedgerBeginResult> {
    const stop = new AbortController()
    const begin = this.#ledger.begin(request)
    const late = this.#clock.sleep(Math.max(0, call.remainingMs), stop.signal)
    const begun = await Promise.race([begin, late])
    stop.abort()
    if (begun !== undefined) return begun
    const { service, key } = request
    const undo = begin.then((won) =>
      won.kind === 'started'
        ? this.#ledger.markNotRun({ service, key, attemptId: won.attemptId })
        : undefined,
    )
    void this.#track(undo)
    return { kind: 'unavailable' }
  }

  /** Keeps the complete answer; the caller does not wait for it. */
  finish(attempt: LedgerAttempt, answer: LedgerResponse): void {
    void this.#track(this.#ledger.finish(attempt, answer))
  }

  /** Waits a limited time, so that an immediate resend finds the row free. */
  async notRun(attempt: LedgerAttempt): Promise<void> {
    const stop = new AbortController()
    const write = this.#track(this.#ledger.markNotRun(attempt))
    await Promise.race([write, this.#clock.sleep(this.#waitMs, stop.signal)])
    stop.abort()
  }

  /** Resolves when every write to the ledger has ended. */
  async writesSettled(): Promise<void> {
    while (this.#writes.size > 0) await Promise.all(this.#writes)
  }

  #track(write: Promise<void>): Promise<void> {
    const done = (): void => {
      this.#writes.delete(tracked)
    }
    const tracked = write.then(done, done)
    this.#writes.add(tracked)
    return tracked
  }
}
