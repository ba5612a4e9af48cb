/**
 * Sends the leader's grants to the targets of one service, renews them, and knows how long each may last and
 * which targets are silent, that is, did not answer. A grant that was not answered may have arrived, and then
 * its keys are not free before it lapses; the grants of a silent target are therefore not renewed until it
 * has answered a probe or accepted another grant.
 */
import type { Clock, Logger } from '@pimentotally/core'
import {
  GrantOutcome,
  TargetHolds,
  latestLapseAtMs,
  type AssignedRange,
  type ProbeAnswer,
  type TargetAddress,
  type TargetControl,
} from '@pimentotally/assignment'
import type { Directory, KnownTarget } from './directory.js'
import type { Tenure } from './leadership.js'

/**
 * Normal hold time of a grant. Outlasts the loss of the leader: the end of its
 * lease, the takeover and the first renewals by the next leader.
 */
export const grantHoldMs = 4700
/** Interval at which a target's grants are renewed; several renewals fit into a hold time. */
const renewalIntervalMs = 900
/** Time-out of a grant call; below the interval of renewals. */
export const grantTimeoutMs = 800
/** Time-out of a probe, which may wait for a slot of a busy target. */
const probeTimeoutMs = 500
/**
 * With less than this left of the lease, grants are sent with the longest hold time, as the store may stay
 * unavailable.
 */
const longGrantsBelowMs = 800
/**
 * With less than this left of the lease, no grant is sent: it must be written to its socket before the lease
 * ends.
 */
export const minRemainingMs = 50

export interface TargetGrantsOptions {
  readonly service: string
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly targetControl: TargetControl
  readonly tenure: Tenure
  /** The longest hold time that targets accept in a grant. */
  readonly maxHoldMs: number
  /** Time for which this host may still send grants. */
  readonly remainingMs: () => number
  /** Called before each grant of the longest hold time. */
  readonly beforeLongGrant: () => void
}

export class TargetGrants {
  readonly #options: TargetGrantsOptions
  readonly #holdsByTarget = new Map<string, TargetHolds>()
  /** Targets whose last grant was not answered, and that have answered no probe since. */
  readonly #silent = new Set<string>()
  /** Targets with a renewal or a probe in progress. */
  readonly #busy = new Set<string>()
  /** By target: when its grants were last renewed, or when it was last probed while silent. */
  readonly #renewedAtMs = new Map<string, number>()
  /** By this time, all grants of earlier leaders have certainly lapsed. */
  readonly #inheritedLapseMs: number
  /** Whether the last renewal round sent grants of the longest hold time. */
  #usedLongHold = false
  #closed = false

  constructor(options: TargetGrantsOptions) {
    this.#options = options
    const { tenure, maxHoldMs } = options
    // A leader that lost the store may have sent grants of the longest hold time at the end of its lease.
    const holdMs = { none: 0, released: grantHoldMs, lapsed: maxHoldMs }[tenure.predecessor]
    this.#inheritedLapseMs = holdMs === 0 ? 0 : latestLapseAtMs(tenure.startedAtMs + grantTimeoutMs, holdMs)
  }

  /** No grant is sent after this call. */
  close(): void {
    this.#closed = true
  }

  /** Whether the lease lasts long enough for a grant to be sent now. */
  get mayGrant(): boolean {
    return !this.#closed && this.#options.remainingMs() > minRemainingMs
  }

  /** Share of the service's targets that do not answer. */
  get silentShare(): number {
    const targets = this.#options.directory.targets(this.#options.service)
    return targets.length === 0 ? 0 : targets.filter(({ id }) => this.#silent.has(id)).length / targets.length
  }

  isSilent(id: string): boolean {
    return this.#silent.has(id)
  }

  /**
   * When the target certainly holds nothing, if it gets no more grants; `Infinity` while a grant is pending.
   */
  lapsesAtMs(id: string): number {
    return this.#holdsOf(id).lapsesAtMs
  }

  /** Who answers at the target's address; undefined when nobody does. */
  probe(target: TargetAddress): Promise<ProbeAnswer | undefined> {
    const { targetControl, directory, service } = this.#options
    const path = directory.routes?.configuration.services.get(service)?.healthPath ?? '/'
    return targetControl.probe(target, path, probeTimeoutMs)
  }

  /** Renews the grants that are due; `stillOwns` is called again just before each grant. */
  renew(
    owned: ReadonlyMap<KnownTarget, readonly AssignedRange[]>,
    stillOwns: (range: AssignedRange) => boolean,
  ): void {
    const { clock, remainingMs } = this.#options
    const nowMs = clock.monotonicMs()
    const usesLongHold = remainingMs() < longGrantsBelowMs
    const startsLongHold = usesLongHold && !this.#usedLongHold
    this.#usedLongHold = usesLongHold
    for (const [target, ranges] of owned) {
      if (this.#busy.has(target.id)) continue
      const dueAtMs = (this.#renewedAtMs.get(target.id) ?? -renewalIntervalMs) + renewalIntervalMs
      if (!startsLongHold && nowMs < dueAtMs) continue
      this.#renewedAtMs.set(target.id, nowMs)
      this.#busy.add(target.id)
      const work = this.#silent.has(target.id)
        ? this.#probeSilent(target)
        : this.#renewTarget(target, ranges, stillOwns)
      void work.finally(() => this.#busy.delete(target.id))
    }
  }

  /** Resolves to true when the target has accepted the grant. */
  async grant(
    target: KnownTarget,
    { from, to, fence }: AssignedRange,
    {
      holdMs = grantHoldMs,
      handover,
    }: { readonly holdMs?: number; readonly handover?: string | undefined } = {},
  ): Promise<boolean> {
    const { targetControl, clock, logger, service } = this.#options
    const holds = this.#holdsOf(target.id)
    const pendingGrant = holds.beginGrant()
    const result = await targetControl.grant(target, {
      from,
      to,
      fence,
      holdMs,
      handover,
      timeoutMs: grantTimeoutMs,
    })
    const nowMs = clock.monotonicMs()
    if (result.isErr) {
      if (result.error.code === 'not_sent') pendingGrant.refused()
      else pendingGrant.ended(nowMs, holdMs)
      if (!this.#silent.has(target.id)) {
        this.#silent.add(target.id)
        const lapsesInMs = holds.lapsesAtMs - nowMs
        logger.warn('target.silent', { target: target.id, service, ...result.error, lapsesInMs })
      }
      return false
    }
    const outcome = result.value
    if (outcome !== GrantOutcome.granted) {
      pendingGrant.refused()
      logger.warn('keys.grant_refused', { service, target: target.id, from, to, fence, outcome })
      return false
    }
    pendingGrant.ended(nowMs, holdMs)
    this.#silent.delete(target.id)
    return true
  }

  async #probeSilent(target: KnownTarget): Promise<void> {
    if ((await this.probe(target)) === undefined) return
    this.#silent.delete(target.id)
    this.#renewedAtMs.delete(target.id)
    this.#options.logger.info('target.answers', { target: target.id, service: this.#options.service })
  }

  async #renewTarget(
    target: KnownTarget,
    ranges: readonly AssignedRange[],
    stillOwns: (range: AssignedRange) => boolean,
  ): Promise<void> {
    const { remainingMs, maxHoldMs, beforeLongGrant } = this.#options
    for (const range of ranges) {
      if (!this.mayGrant || !stillOwns(range)) continue
      // Checked for each range: with many ranges, the last grants are sent long after the first ones.
      const usesLongHold = remainingMs() < longGrantsBelowMs
      if (usesLongHold) beforeLongGrant()
      if (!(await this.grant(target, range, { holdMs: usesLongHold ? maxHoldMs : grantHoldMs }))) return
    }
  }

  #holdsOf(id: string): TargetHolds {
    let holds = this.#holdsByTarget.get(id)
    if (holds === undefined) {
      holds = new TargetHolds(this.#inheritedLapseMs)
      this.#holdsByTarget.set(id, holds)
    }
    return holds
  }
}
