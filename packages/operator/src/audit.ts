/**
 * Writes the audit trail: an immutable row for each accepted and each refused change, and rows for refused
 * credentials, of which one row may count several.
 */
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
  /**
   * At most one row for refused credentials is written in this time, and the next row counts the others, so
   * that refused callers cannot flood the platform with writes.
   */
  readonly rejectionIntervalMs?: number
}

export class OperatorAudit {
  readonly #trail: AuditTrail
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #rejectionIntervalMs: number
  /** Monotonic time of the last row for a refused credential. */
  #lastRejectionRowAtMs = -Infinity
  /** Refused credentials since that row, which the next row counts. */
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

  /**
   * Writes a row in a transaction of its own; while the platform is unavailable, the row stays in the trail's
   * queue.
   */
  async record(writeId: string, record: AuditRecord): Promise<void> {
    await this.#trail.append(record, writeId)
  }

  /** Records a call whose credential was not accepted; the credential itself is not recorded. */
  async recordRejectedCredential(method: string): Promise<void> {
    const nowMs = this.#clock.monotonicMs()
    if (nowMs - this.#lastRejectionRowAtMs < this.#rejectionIntervalMs) {
      this.#suppressed += 1
      return
    }
    const suppressed = this.#suppressed
    this.#lastRejectionRowAtMs = nowMs
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

  /** At most `limit` rows, newest first. */
  list(limit: number): Promise<PlatformResult<readonly RecordedAuditEntry[]>> {
    return this.#trail.list({ limit })
  }
}
