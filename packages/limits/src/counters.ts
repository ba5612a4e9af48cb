/** Cumulative counts of a permit pool since its creation, for metrics. */
import { AttemptKind, type PermitRefusalCode } from '@pimentotally/core'

export class PermitCounters {
  permits = 0
  retries = 0
  hedges = 0
  queued = 0
  /** Permits that ended without a report: their host no longer lists them, or is gone. */
  reclaimed = 0
  /**
   * Permits that were not counted here, usually of an earlier term, and that their hosts listed when they
   * connected.
   */
  adopted = 0
  /** Reports for permits that are not counted for the host that sent them. */
  unknownReleases = 0
  suspects = 0
  conclusiveCrashes = 0
  blocked = 0
  targetsCrashed = 0
  targetsLost = 0
  targetsTurnedCold = 0
  readonly refusals: Partial<Record<PermitRefusalCode, number>> = {}

  refused(code: PermitRefusalCode): void {
    this.refusals[code] = (this.refusals[code] ?? 0) + 1
  }

  lent(attempt: AttemptKind): void {
    this.permits += 1
    if (attempt === AttemptKind.retry) this.retries += 1
    else if (attempt === AttemptKind.hedge) this.hedges += 1
  }
}
