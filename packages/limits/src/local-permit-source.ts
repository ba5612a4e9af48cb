/**
 * The permit source for requests of the coordinator's own process. It calls the pool directly, without a
 * stream.
 */
import {
  type Permit,
  type PermitRefusal,
  PermitRefusalCode,
  type PermitReport,
  type PermitRequest,
  PermitSource,
} from '@pimentotally/core'
import { Result } from 'true-myth'
import type { HeldPermit } from './session.js'
import type { Call, IssuedPermit } from './state.js'

export const heldPermit = (permit: IssuedPermit, nowMs: number): HeldPermit => ({
  permitId: permit.permitId,
  target: permit.target.spec.name,
  service: permit.service,
  shard: permit.shard,
  deadlineMs: Math.max(0, permit.deadlineAtMs - nowMs),
  identity: permit.identity,
})

export const cancelledRefusal: PermitRefusal = {
  code: PermitRefusalCode.cancelled,
  message: 'the caller cancelled the request before it got a permit',
}

export interface LocalPermitSourceOptions {
  readonly permits: ReadonlyMap<string, IssuedPermit>
  readonly nowMs: () => number
  readonly isTermHeld: (permit: Permit) => boolean
  readonly acquire: (request: PermitRequest, settle: NonNullable<Call['settle']>) => Call
  readonly cancel: (call: Call) => void
  readonly release: (permitId: string, report: PermitReport) => void
}

export class LocalPermitSource extends PermitSource {
  readonly #options: LocalPermitSourceOptions

  constructor(options: LocalPermitSourceOptions) {
    super()
    this.#options = options
  }

  override acquire(request: PermitRequest, signal: AbortSignal): Promise<Result<Permit, PermitRefusal>> {
    if (signal.aborted) return Promise.resolve(Result.err(cancelledRefusal))
    let settled: Result<Permit, PermitRefusal> | undefined
    let resolve: ((result: Result<Permit, PermitRefusal>) => void) | undefined
    const call = this.#options.acquire(request, (result) => {
      if (resolve === undefined) settled = result
      else resolve(result)
    })
    if (settled !== undefined) return Promise.resolve(settled)
    return new Promise((settle) => {
      const abort = (): void => {
        this.#options.cancel(call)
      }
      resolve = (result) => {
        signal.removeEventListener('abort', abort)
        settle(result)
      }
      signal.addEventListener('abort', abort, { once: true })
    })
  }

  override release(permit: Permit, report: PermitReport): void {
    this.#options.release(permit.permitId, report)
  }

  /**
   * To be checked just before the first byte is written: false once the permit has expired or its term has
   * ended.
   */
  isUsable(permit: Permit): boolean {
    const lent = this.#options.permits.get(permit.permitId)
    return lent !== undefined && this.#options.nowMs() < lent.sendUntilMs && this.#options.isTermHeld(permit)
  }

  heldPermits(): HeldPermit[] {
    const nowMs = this.#options.nowMs()
    return [...this.#options.permits.values()].map((permit) => heldPermit(permit, nowMs))
  }
}
