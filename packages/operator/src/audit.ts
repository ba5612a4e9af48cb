/** The audit trail: one immutable row for each change, refused change and refused credential. */
import { randomUUID } from 'node:crypto'
import type { Clock, Logger } from '@pimentotally/core'
import type {
  AuditEntry,
  AuditTrail,
  PlatformResult,
  RecordedAuditEntry,
  Transaction,
} from '@pimentotally/storage'

export const AuditOutcome = {
  accepted: 'accepted',
  refused: 'refused',
  conflict: 'conflict',
} as const
export type AuditOutcome = (typeof AuditOutcome)[keyof typeof AuditOutcome]

export interface AuditRecord extends AuditEntry {
  readonly outcome: AuditOutcome
}

export interface OperatorAuditOptions {
  readonly trail: AuditTrail
  readonly clock: Clock
  readonly logger: Logger
  /** Refused credentials within this time are counted in one row, so that they cannot flood the platform. */
  readonly rejectionIntervalMs?: number
}

export class OperatorAudit {
  readonly #trail: AuditTrail
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #rejectionIntervalMs: number
  #rejectedAtMs = -Infinity
  #suppressed = 0

  constructor({ trail, clock, logger, rejectionIntervalMs = 1000 }: OperatorAuditOptions) {
    this.#trail = trail
    this.#clock = clock
    this.#logger = logger
    this.#rejectionIntervalMs = rejectionIntervalMs
  }

  /** The row of a change, to be written in the transaction that makes the change. */
  row(writeId: string, record: AuditRecord): Transaction['puts'][number] {
    return this.#trail.toRow(record, writeId)
  }

  /** Writes a row on its own; while the platform is down it waits in the trail's queue. */
  async record(writeId: string, record: AuditRecord): Promise<void> {
    await this.#trail.append(record, writeId)
  }

  /** Records a call whose credential was not accepted; the credential itself is not recorded. */
  async recordRejectedCredential(method: string): Promise<void> {
    const nowMs = this.#clock.monotonicMs()
    if (nowMs - this.#rejectedAtMs < this.#rejectionIntervalMs) {
      this.#suppressed += 1
      return
    }
    const suppressed = this.#suppressed
    this.#rejectedAtMs = nowMs
    this.#suppressed = 0
    const more = suppressed === 0 ? '' : `; ${String(suppressed)} more since the previous entry`
    this.#logger.warn('operator credential not accepted', {
      step: 'operator.authenticate',
      method,
      suppressed,
    })
    await this.record(randomUUID(), {
      who: 'unknown',
      action: 'authenticate',
      subject: method,
      versionBefore: 0,
      versionAfter: 0,
      outcome: AuditOutcome.refused,
      details: `credential not accepted${more}`,
    })
  }

  /** Newest first. */
  list(limit: number): Promise<PlatformResult<readonly RecordedAuditEntry[]>> {
    return this.#trail.list({ limit })
  }
}
