/**
 * Admits a non-idempotent request by a row in the ledger, so that it runs at most once for each idempotency
 * key.
 */
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
  /** `attempt` is absent for a request without an idempotency key, where its service allows that. */
  | { readonly kind: 'run'; readonly attempt?: LedgerAttempt }
  | { readonly kind: 'replay'; readonly answer: LedgerResponse & { readonly body: Uint8Array } }
  | { readonly kind: 'generated'; readonly answer: GeneratedResponse }

/** In characters; a request with a longer idempotency key is refused. */
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

  /** Decides whether the request may run. Must be called before a permit is used for it. */
  async admit(inbound: InboundRequest): Promise<Admission> {
    const { service, idempotencyKey: key } = inbound
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
    if (key.length > maxKeyLength || countHeader(inbound.request.rawHeaders, 'idempotency-key') > 1) {
      return generated(
        GeneratedResponse.notRun(
          400,
          'idempotency_key_invalid',
          'the idempotency-key header is repeated or too long',
        ),
      )
    }
    const requestHash = RequestBody.hash(inbound.method, inbound.path, inbound.body)
    const outcome = await this.#begin(inbound, { service: service.name, key, requestHash })
    switch (outcome.kind) {
      case 'started':
        inbound.hasLedgerRow = true
        return { kind: 'run', attempt: { service: service.name, key, attemptId: outcome.attemptId } }
      case 'done': {
        const { status, headers, body } = outcome
        if (body !== undefined) return { kind: 'replay', answer: { status, headers, body } }
        return generated(
          GeneratedResponse.notRun(
            409,
            'already_completed',
            'the request completed earlier; its response was not stored',
          ),
        )
      }
      case 'inProgress':
        return generated(
          GeneratedResponse.notRun(409, 'request_in_progress', 'another send with this key is running now', {
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

  /**
   * When the deadline passes first, the ledger counts as unavailable. If `begin` still obtains the row later,
   * the attempt is marked as not run, so that a resend may take the row over.
   */
  async #begin(inbound: InboundRequest, request: LedgerRequest): Promise<LedgerBeginResult> {
    const stop = new AbortController()
    const begin = this.#ledger.begin(request)
    const pastDeadline = this.#clock.sleep(Math.max(0, inbound.remainingMs), stop.signal)
    const outcome = await Promise.race([begin, pastDeadline])
    stop.abort()
    if (outcome !== undefined) return outcome
    const { service, key } = request
    const undo = begin.then((obtained) =>
      obtained.kind === 'started'
        ? this.#ledger.markNotRun({ service, key, attemptId: obtained.attemptId })
        : undefined,
    )
    void this.#track(undo)
    return { kind: 'unavailable' }
  }

  /** Stores the complete response; the caller does not wait for that. */
  finish(attempt: LedgerAttempt, response: LedgerResponse): void {
    void this.#track(this.#ledger.finish(attempt, response))
  }

  /**
   * Marks the attempt as not run. Waits at most `waitMs` for this write, so that an immediate resend can take
   * the row over.
   */
  async notRun(attempt: LedgerAttempt): Promise<void> {
    const stop = new AbortController()
    const write = this.#track(this.#ledger.markNotRun(attempt))
    await Promise.race([write, this.#clock.sleep(this.#waitMs, stop.signal)])
    stop.abort()
  }

  /** Resolves when all writes to the ledger have ended. */
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
