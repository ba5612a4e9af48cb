/**
 * Grants of the leader to the targets of one service: it renews them, knows how long each may last, and which targets
 * do not answer. A grant without an answer may have arrived, and its keys are not free before it lapses; a silent target
 * therefore gets no more grants until it has answered something else.
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

/** Outlasts the loss of the leader: its lease, the takeover and the first renewals. */
export const grantHoldMs = 4700
/** Several renewals fit into a hold. */
const renewEveryMs = 900
/** Below the interval of renewals. */
export const grantTimeoutMs = 800
/** A probe may wait for a slot of a busy target. */
const probeTimeoutMs = 500
/** With less of the lease left, grants are extended, as the store may stay away. */
const extendBelowMs = 800
/** A grant must reach its socket before the lease ends. */
const minRemainingMs = 50

export interface TargetGrantsOptions {
  readonly service: string
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly targetControl: TargetControl
  readonly tenure: Tenure
  /** Longest hold that targets accept. */
  readonly maxHoldMs: number
  /** Time for which this host may still send grants. */
  readonly remainingMs: () => number
  /** Called before each grant of the longest hold. */
  readonly beforeLongGrant: () => void
}

export class TargetGrants {
  readonly #options: TargetGrantsOptions
  readonly #holds = new Map<string, TargetHolds>()
  readonly #silent = new Set<string>()
  /** Targets with a renewal or a probe under way. */
  readonly #busy = new Set<string>()
  readonly #renewedAtMs = new Map<string, number>()
  /** No grant of a predecessor lasts longer. */
  readonly #inheritedLapseMs: number
  #extended = false
  #closed = false

  constructor(options: TargetGrantsOptions) {
    this.#options = options
    const { tenure, maxHoldMs } = options
    // A predecessor that lost the store may have extended its grants at the end of its lease.
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

  /** When the target certainly holds nothing, if it gets no more grants. */
  lapsesAtMs(id: string): number {
    return this.#holdsOf(id).lapsesAtMs
  }

  /** Who answers at the target's address; undefined when nobody does. */
  probe(target: TargetAddress): Promise<ProbeAnswer | undefined> {
    const { targetControl, directory, service } = this.#options
    const path = directory.routes?.configuration.services.get(service)?.healthPath ?? '/'
    return targetControl.probe(target, path, probeTimeoutMs)
  }

  /** Renews what is due; `stillOwns` is asked again before each grant. */
  renew(
    owned: ReadonlyMap<KnownTarget, readonly AssignedRange[]>,
    stillOwns: (range: AssignedRange) => boolean,
  ): void {
    const { clock, remainingMs } = this.#options
    const nowMs = clock.monotonicMs()
    const extend = remainingMs() < extendBelowMs
    const extendNow = extend && !this.#extended
    this.#extended = extend
    for (const [target, ranges] of owned) {
      if (this.#busy.has(target.id)) continue
      const dueAtMs = (this.#renewedAtMs.get(target.id) ?? -renewEveryMs) + renewEveryMs
      if (!extendNow && nowMs < dueAtMs) continue
      this.#renewedAtMs.set(target.id, nowMs)
      this.#busy.add(target.id)
      const work = this.#silent.has(target.id)
        ? this.#probeSilent(target)
        : this.#renewTarget(target, ranges, stillOwns)
      void work.finally(() => this.#busy.delete(target.id))
    }
  }

  /** Resolves true when the target holds the range. */
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
    const sent = holds.beginGrant()
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
      if (result.error.code === 'not_sent') sent.refused()
      else sent.ended(nowMs, holdMs)
      if (!this.#silent.has(target.id)) {
        this.#silent.add(target.id)
        const lapsesInMs = holds.lapsesAtMs - nowMs
        logger.warn('target.silent', { target: target.id, service, ...result.error, lapsesInMs })
      }
      return false
    }
    const outcome = result.value
    if (outcome !== GrantOutcome.granted) {
      sent.refused()
      logger.warn('keys.grant_refused', { service, target: target.id, from, to, fence, outcome })
      return false
    }
    sent.ended(nowMs, holdMs)
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
      // A target with many ranges may still be granted some of them long after the lease was renewed.
      const extend = remainingMs() < extendBelowMs
      if (extend) beforeLongGrant()
      if (!(await this.grant(target, range, { holdMs: extend ? maxHoldMs : grantHoldMs }))) return
    }
  }

  #holdsOf(id: string): TargetHolds {
    let holds = this.#holds.get(id)
    if (holds === undefined) {
      holds = new TargetHolds(this.#inheritedLapseMs)
      this.#holds.set(id, holds)
    }
    return holds
  }
}
