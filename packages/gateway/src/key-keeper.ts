/**
 * The leader's work for one service that is divided by key: it decides which ranges move, stores each decision before
 * it acts on it, renews the owners' grants and carries moves out. A range is granted to its new owner only when the
 * former owner has released it, or cannot hold it any more.
 */
import type { Clock, Logger } from '@pimentotally/core'
import {
  GrantOutcome,
  TargetHolds,
  admittedShares,
  balanceRanges,
  completeMoves,
  encodeAssignment,
  evacuateRanges,
  findRange,
  imbalanceTolerance,
  initialAssignment,
  lapseMs,
  mergeRanges,
  placeHotKey,
  reassign,
  speedExponent,
  withAddresses,
  type AssignedRange,
  type Assignment,
  type BalanceTarget,
  type KeyLoad,
  type Reassignment,
  type TargetAddress,
  type TargetControl,
  type TargetDemand,
  type TargetSpeeds,
} from '@pimentotally/assignment'
import { storeTables } from '@pimentotally/platform'
import type { RowStore } from '@pimentotally/storage'
import type { Directory, KnownTarget } from './directory.js'
import type { Tenure } from './leadership.js'
import { ownKeys } from './own-rows.js'

/** Outlasts the loss of the leader: its lease, the takeover and the first renewals. */
export const grantHoldMs = 5500
/** Several renewals fit into a hold. */
const renewEveryMs = 1000
/** Below the interval of renewals. */
const grantTimeoutMs = 900
/** A release is answered when the work on its keys has ended. */
const releaseTimeoutMs = 1600
/** Between two attempts to grant a moved range. */
const regrantPauseMs = 200
/** A probe may wait for a slot of a busy target. */
const probeTimeoutMs = 500
/** Two heartbeats and a read of the register. */
const reentryMs = 2500
/** Reports come twice a second, and a move has to show in them. */
const balanceEveryMs = 700
/** Targets register within this time of the first one. */
const gatheringMs = 1500
/** Requests for moving keys wait, so only a part of the keys moves at a time. */
const maxMovesAtOnce = 24
/** A cold target takes few requests, so it is given few keys. */
const coldWeight = 0.4
/** With less of the lease left, grants are extended, as the store may stay away. */
const extendBelowMs = 1100
/** A new owner that does not answer for this long is treated like any other silent owner. */
const abandonMoveMs = 2500

export interface KeyKeeperOptions {
  readonly service: string
  readonly clock: Clock
  readonly logger: Logger
  readonly store: RowStore
  readonly directory: Directory
  readonly calls: TargetControl
  readonly keyLoad: KeyLoad
  readonly speeds: TargetSpeeds
  /** Mean work time of a request to the service. */
  readonly workMs: () => number
  readonly tenure: Tenure
  /** Longest hold that targets accept. */
  readonly maxHoldMs: number
  /** Time for which this host may still send grants. */
  readonly remainingMs: () => number
}

/** Share of the targets' capacity that is used; what a target cannot serve does not count. */
const utilizationOf = (demands: readonly TargetDemand[]): number => {
  const capacity = demands.reduce((sum, { capacityPerSecond }) => sum + capacityPerSecond, 0)
  const used = demands.reduce(
    (sum, demand) => sum + Math.min(demand.requestsPerSecond, demand.capacityPerSecond),
    0,
  )
  return capacity === 0 ? 1 : used / capacity
}

/** An owner that left the register while its grants may last. */
interface VanishedOwner {
  wasSilent: boolean
  /** Undefined while it does not answer. */
  answersSinceMs: number | undefined
}

interface Move {
  readonly range: AssignedRange
  done: boolean
}

export class KeyKeeper {
  readonly #options: KeyKeeperOptions
  readonly #holds = new Map<string, TargetHolds>()
  readonly #addresses = new Map<
    string,
    { readonly address: string; readonly startedAtEpochMs: number | undefined }
  >()
  readonly #silentSinceMs = new Map<string, number>()
  readonly #renewing = new Set<string>()
  readonly #vanished = new Map<string, VanishedOwner>()
  readonly #renewedAtMs = new Map<string, number>()
  readonly #moves = new Map<number, Move>()
  /** No grant of a predecessor lasts longer. */
  readonly #inheritedLapseMs: number
  #assignment: Assignment | undefined
  #shares: ReadonlyMap<string, number> = new Map()
  #version = 0
  #committing = false
  #deciding = false
  #balancedAtMs = 0
  #firstSeenMs: number | undefined
  #extended = false
  #closed = false

  constructor(options: KeyKeeperOptions) {
    this.#options = options
    const { tenure, maxHoldMs } = options
    // A predecessor that lost the store may have extended its grants at the end of its lease.
    const hold = { none: 0, released: grantHoldMs, lapsed: maxHoldMs }[tenure.predecessor]
    this.#inheritedLapseMs = hold === 0 ? 0 : lapseMs(tenure.startedAtMs + grantTimeoutMs, hold)
  }

  /** Which part of the requests for a target's keys may be sent to it; all of them where nothing is said. */
  get shares(): ReadonlyMap<string, number> {
    return this.#shares
  }

  /** Share of the service's targets that do not answer. */
  get silentShare(): number {
    const targets = this.#options.directory.targets(this.#options.service)
    return targets.length === 0
      ? 0
      : [...this.#silentSinceMs.keys()].filter((id) => this.#target(id) !== undefined).length / targets.length
  }

  close(): void {
    this.#closed = true
  }

  /** Called several times a second. */
  async tick(): Promise<void> {
    if (this.#closed || this.#options.remainingMs() <= 0) return
    this.#load()
    if (this.#assignment === undefined) {
      await this.#initialise()
      return
    }
    for (const target of this.#options.directory.targets(this.#options.service)) {
      this.#addresses.set(target.id, { address: target.address, startedAtEpochMs: target.startedAtEpochMs })
    }
    this.#startMoves()
    this.#renew()
    // Not awaited: a store that does not answer must not keep the renewals waiting.
    if (!this.#deciding) void this.#decideOnce()
  }

  #load(): void {
    const known = this.#options.directory.assignment(this.#options.service)
    if (known === undefined || known.version <= this.#version || this.#committing) return
    this.#assignment = known.assignment
    this.#version = known.version
  }

  async #initialise(): Promise<void> {
    const { directory, service, clock } = this.#options
    const targets = directory.targets(service).filter((target) => directory.isUsable(target))
    const nowMs = clock.monotonicMs()
    if (targets.length === 0) return
    this.#firstSeenMs ??= nowMs
    if (nowMs - this.#firstSeenMs < gatheringMs) return
    const sorted = [...targets].sort((a, b) => (a.id < b.id ? -1 : 1))
    await this.#commit(
      initialAssignment(
        service,
        sorted.map(({ id, startedAtEpochMs, slots }) => ({ id, startedAtEpochMs, weight: slots })),
      ),
      'initial',
    )
  }

  async #decideOnce(): Promise<void> {
    this.#deciding = true
    try {
      await this.#decide()
    } catch (error) {
      this.#options.logger.error('keys.decide_failed', { service: this.#options.service, error })
    } finally {
      this.#deciding = false
    }
    this.#startMoves()
  }

  async #decide(): Promise<void> {
    const { directory, service, keyLoad, clock, logger } = this.#options
    const assignment = this.#assignment
    if (assignment === undefined || this.#committing) return
    const nowMs = clock.monotonicMs()
    const done = [...this.#moves.values()].filter((move) => move.done)
    const moving = this.#moves.size - done.length
    keyLoad.decay(nowMs)
    const current = completeMoves(
      assignment,
      done.map(({ range }) => range),
    )
    const demands = this.#demands(current)
    this.#shares = admittedShares(demands)
    const utilization = utilizationOf(demands)
    const exponent = speedExponent(utilization)
    const targets = directory.targets(service).map((target) => this.#weigh(target, nowMs, exponent))
    const pinned = this.#pinned(current, nowMs)
    const renewed = this.#newLives(current)
    const room = maxMovesAtOnce - moving
    let changes: Reassignment[] = renewed
    let reason = 'new_life'
    if (changes.length === 0 && room > 0) {
      changes = evacuateRanges(current, targets, keyLoad, { maxMoves: room, except: pinned })
      reason = 'owner_leaves'
    }
    if (changes.length === 0 && moving === 0 && nowMs - this.#balancedAtMs > balanceEveryMs) {
      this.#balancedAtMs = nowMs
      const hot = placeHotKey(current, targets, keyLoad)
      const tolerance = imbalanceTolerance(utilization)
      changes = hot === undefined ? balanceRanges(current, targets, keyLoad, { tolerance }) : [hot]
      changes = changes.filter(({ from }) => !pinned.has(findRange(current.ranges, from)?.owner ?? ''))
      reason = hot === undefined ? 'balance' : 'hot_key'
    }
    if (changes.length === 0 && done.length === 0) return
    const next = mergeRanges(reassign(current, changes))
    if (changes.length > 0) {
      logger.info('keys.moving', {
        service,
        reason,
        ranges: changes.length,
        keys: changes.reduce((sum, { from, to }) => sum + to - from + 1, 0),
        assignmentVersion: this.#version,
      })
    }
    if (await this.#commit(next, reason)) for (const move of done) this.#moves.delete(move.range.fence)
  }

  /** Ranges whose owner started anew under its old id; the new process needs a higher fence. */
  #newLives(assignment: Assignment): Reassignment[] {
    return assignment.ranges.flatMap((range) => {
      const target = this.#target(range.owner)
      if (target === undefined || range.formerOwner !== undefined) return []
      if (target.startedAtEpochMs === range.ownerStartedAtEpochMs) return []
      return [
        { from: range.from, to: range.to, owner: target.id, ownerStartedAtEpochMs: target.startedAtEpochMs },
      ]
    })
  }

  /**
   * Owners whose ranges cannot move now: a silent owner that left the register may come back, and a move would keep it
   * from serving its keys. Load pattern: a failure domain is cut off for some seconds.
   */
  #pinned(assignment: Assignment, nowMs: number): ReadonlySet<string> {
    const pinned = new Set<string>()
    for (const owner of new Set(assignment.ranges.map((range) => range.owner))) {
      if (this.#isPinned(owner, nowMs)) pinned.add(owner)
      else this.#vanished.delete(owner)
    }
    return pinned
  }

  #isPinned(owner: string, nowMs: number): boolean {
    const { directory } = this.#options
    const known = this.#addressOf(owner)
    const holds = this.#holdsOf(owner)
    if (
      directory.isCertainlyGone(owner, known?.address, known?.startedAtEpochMs) ||
      nowMs >= holds.lapsesAtMs
    )
      return false
    if (this.#target(owner) !== undefined || known === undefined) return known === undefined
    const vanished = this.#vanished.get(owner) ?? { wasSilent: false, answersSinceMs: undefined }
    this.#vanished.set(owner, vanished)
    if (!this.#renewing.has(owner)) {
      this.#renewing.add(owner)
      void this.#probeVanished({ id: owner, address: known.address }, vanished)
    }
    if (vanished.answersSinceMs === undefined) return true
    // A target that was cut off enters the register again after its next heartbeat.
    return vanished.wasSilent && nowMs - vanished.answersSinceMs < reentryMs
  }

  async #probeVanished(target: TargetAddress, vanished: VanishedOwner): Promise<void> {
    const { calls, clock } = this.#options
    if (await calls.probe(target, this.#healthPath(), probeTimeoutMs)) {
      vanished.answersSinceMs ??= clock.monotonicMs()
    } else {
      vanished.wasSilent = true
      vanished.answersSinceMs = undefined
    }
    await clock.sleep(probeTimeoutMs)
    this.#renewing.delete(target.id)
  }

  #healthPath(): string {
    const { directory, service } = this.#options
    return directory.routes?.configuration.services.get(service)?.healthPath ?? '/'
  }

  /** Demand and capacity of each usable target. */
  #demands(assignment: Assignment): TargetDemand[] {
    const { directory, service, keyLoad, speeds, workMs } = this.#options
    const rates = new Map<string, number>()
    for (const { from, to, owner } of assignment.ranges) {
      rates.set(owner, (rates.get(owner) ?? 0) + keyLoad.sum(from, to))
    }
    return directory
      .targets(service)
      .filter((target) => directory.isUsable(target))
      .map(({ id, slots }) => ({
        id,
        requestsPerSecond: rates.get(id) ?? 0,
        capacityPerSecond: (slots * 1000) / (workMs() * speeds.factor(id)),
      }))
  }

  /** A silent target keeps its keys until its grants have lapsed: nobody else could be granted them before. */
  #weigh(target: KnownTarget, nowMs: number, exponent: number): BalanceTarget {
    const { directory, speeds } = this.#options
    const silentSinceMs = this.#silentSinceMs.get(target.id)
    const lost = silentSinceMs !== undefined && nowMs > this.#holdsOf(target.id).lapsesAtMs
    const usable = directory.isUsable(target) && !lost
    const capacity = target.slots / speeds.factor(target.id) ** exponent
    const weight = target.coldUntilMs > nowMs ? capacity * coldWeight : capacity
    return { id: target.id, startedAtEpochMs: target.startedAtEpochMs, weight: usable ? weight : 0 }
  }

  async #commit(decided: Assignment, reason: string): Promise<boolean> {
    const { store, directory, service, logger } = this.#options
    const next = withAddresses(
      decided,
      (id) => this.#addresses.get(id)?.address ?? directory.target(id)?.address,
    )
    const key = ownKeys.assignment(service)
    const row = { table: storeTables.own, key }
    const value = Buffer.from(encodeAssignment(next))
    this.#committing = true
    const result = await store.commit(
      { conditions: [{ ...row, version: this.#version }], writes: [{ ...row, value }] },
      { timeoutMs: 700 },
    )
    this.#committing = false
    if (result.isErr) {
      // The feed shows whether the write took effect; the next tick decides anew from what is stored.
      logger.warn('keys.commit_failed', {
        service,
        reason,
        assignmentVersion: this.#version,
        ...result.error,
      })
      if (result.error.code !== 'unavailable') await this.#reload()
      return false
    }
    this.#assignment = next
    this.#version = result.value
    directory.applyOwnRow({ key, value, version: result.value })
    return true
  }

  async #reload(): Promise<void> {
    const read = await this.#options.store.snapshot(storeTables.own, { timeoutMs: 700 })
    if (read.isErr) return
    for (const row of read.value.rows) this.#options.directory.applyOwnRow(row)
    this.#load()
  }

  #startMoves(): void {
    for (const range of this.#assignment?.ranges ?? []) {
      if (range.formerOwner === undefined || this.#moves.has(range.fence)) continue
      const move: Move = { range, done: false }
      this.#moves.set(range.fence, move)
      void this.#move(move)
    }
  }

  async #move(move: Move): Promise<void> {
    const { clock, logger, service, tenure } = this.#options
    const { range } = move
    const { from, to, fence, owner, formerOwner = '' } = range
    const startedMs = clock.monotonicMs()
    const freed = await this.#free(range, formerOwner)
    if (freed === undefined) {
      this.#moves.delete(fence)
      return
    }
    await clock.sleep(Math.max(0, freed.atMs - clock.monotonicMs()))
    const freeMs = clock.monotonicMs()
    for (;;) {
      const target = this.#target(owner)
      if (!this.#mayGrant()) {
        this.#moves.delete(fence)
        return
      }
      if (target !== undefined && (await this.#grant(target, range, grantHoldMs, freed.handover))) break
      if (target === undefined || clock.monotonicMs() - freeMs > abandonMoveMs) {
        logger.warn('keys.move_abandoned', { service, from, to, fence, owner, term: tenure.term })
        break
      }
      await clock.sleep(regrantPauseMs)
    }
    move.done = true
    logger.info('keys.moved', {
      service,
      from,
      to,
      fence,
      owner,
      formerOwner,
      handover: freed.handover !== undefined,
      freeAfterMs: freeMs - startedMs,
      tookMs: clock.monotonicMs() - startedMs,
    })
    if (!this.#deciding && ![...this.#moves.values()].some(({ done }) => !done)) await this.#decideOnce()
  }

  /** Resolves to the time from which no former owner can hold the range. */
  async #free(
    range: AssignedRange,
    formerOwner: string,
  ): Promise<{ readonly atMs: number; readonly handover: string | undefined } | undefined> {
    const { clock, directory, calls, logger, service } = this.#options
    const known = this.#addressOf(formerOwner)
    const holds = this.#holdsOf(formerOwner)
    for (let attempt = 0; ; attempt += 1) {
      if (!this.#mayGrant()) return undefined
      const nowMs = clock.monotonicMs()
      if (formerOwner === range.owner) return { atMs: nowMs, handover: undefined }
      if (directory.isCertainlyGone(formerOwner, known?.address, known?.startedAtEpochMs)) {
        return { atMs: nowMs, handover: undefined }
      }
      if (nowMs >= holds.lapsesAtMs) return { atMs: nowMs, handover: undefined }
      if (known === undefined) {
        await clock.sleep(Math.min(250, holds.lapsesAtMs - nowMs))
        continue
      }
      const released = await calls.release(
        { id: formerOwner, address: known.address },
        { from: range.from, to: range.to, fence: range.fence, timeoutMs: releaseTimeoutMs },
      )
      if (released.isOk && released.value.released) {
        // The release carries the new fence, so the target refuses grants that are still on their way.
        return { atMs: clock.monotonicMs(), handover: released.value.handover }
      }
      if (attempt === 0) {
        logger.warn('keys.release_failed', {
          service,
          target: formerOwner,
          from: range.from,
          to: range.to,
          lapsesInMs: holds.lapsesAtMs - clock.monotonicMs(),
          ...(released.isErr ? released.error : { message: 'refused' }),
        })
      }
      await clock.sleep(Math.min(300, Math.max(1, holds.lapsesAtMs - clock.monotonicMs())))
    }
  }

  /** Of a target that is gone, the address that was stored with its keys. */
  #addressOf(
    id: string,
  ): { readonly address: string; readonly startedAtEpochMs: number | undefined } | undefined {
    const seen = this.#addresses.get(id)
    if (seen !== undefined) return seen
    const address = this.#assignment?.addresses[id]
    return address === undefined ? undefined : { address, startedAtEpochMs: undefined }
  }

  #renew(): void {
    const nowMs = this.#options.clock.monotonicMs()
    const extend = this.#options.remainingMs() < extendBelowMs
    if (!extend) this.#extended = false
    const now = extend && !this.#extended
    if (now) this.#extended = true
    const owned = new Map<string, AssignedRange[]>()
    for (const range of this.#assignment?.ranges ?? []) {
      if (range.formerOwner !== undefined) continue
      const ranges = owned.get(range.owner) ?? []
      ranges.push(range)
      owned.set(range.owner, ranges)
    }
    // Targets that finished a move are renewed with the rest, before the store has taken the move's end.
    for (const { range, done } of this.#moves.values()) {
      if (done && owned.get(range.owner)?.some(({ fence }) => fence === range.fence) !== true) {
        owned.set(range.owner, [...(owned.get(range.owner) ?? []), range])
      }
    }
    for (const [id, ranges] of owned) {
      const target = this.#target(id)
      if (target === undefined || this.#renewing.has(id)) continue
      if (!now && nowMs - (this.#renewedAtMs.get(id) ?? -renewEveryMs) < renewEveryMs) continue
      // Keys of a leaving target move; renewing them meanwhile keeps them served.
      this.#renewedAtMs.set(id, nowMs)
      this.#renewing.add(id)
      const holdMs = extend ? this.#options.maxHoldMs : grantHoldMs
      void (this.#silentSinceMs.has(id) ? this.#probe(target) : this.#renewTarget(target, ranges, holdMs))
    }
  }

  /**
   * A grant without an answer may have arrived, and its keys are not free before it lapses. A silent target therefore
   * gets no more grants until it has answered something else.
   */
  async #probe(target: KnownTarget): Promise<void> {
    const { calls, service, logger } = this.#options
    if (await calls.probe(target, this.#healthPath(), probeTimeoutMs)) {
      this.#silentSinceMs.delete(target.id)
      this.#renewedAtMs.delete(target.id)
      logger.info('target.answers', { target: target.id, service })
    }
    this.#renewing.delete(target.id)
  }

  async #renewTarget(target: KnownTarget, ranges: readonly AssignedRange[], holdMs: number): Promise<void> {
    for (const range of ranges) {
      if (!this.#mayGrant() || !this.#stillOwns(range)) continue
      if (!(await this.#grant(target, range, holdMs, undefined))) break
    }
    this.#renewing.delete(target.id)
  }

  #stillOwns(range: AssignedRange): boolean {
    const current = this.#assignment?.ranges.find(({ from, to }) => from <= range.from && range.from <= to)
    return (
      current?.owner === range.owner &&
      current.fence === range.fence &&
      current.to >= range.to &&
      (current.formerOwner === undefined || this.#moves.get(range.fence)?.done === true)
    )
  }

  /** Whether the lease lasts long enough for a grant to be sent now. */
  #mayGrant(): boolean {
    return !this.#closed && this.#options.remainingMs() > 50
  }

  async #grant(
    target: KnownTarget,
    range: AssignedRange,
    holdMs: number,
    handover: string | undefined,
  ): Promise<boolean> {
    const { calls, clock, logger, service } = this.#options
    const holds = this.#holdsOf(target.id)
    const { from, to, fence } = range
    const result = await calls.grant(target, { from, to, fence, holdMs, handover, timeoutMs: grantTimeoutMs })
    const nowMs = clock.monotonicMs()
    const outcome = result.isOk ? result.value : undefined
    if (outcome === undefined || outcome === GrantOutcome.granted) {
      const notSent = result.isErr && result.error.code === 'not_sent'
      if (!notSent) holds.granted(nowMs, holdMs)
    }
    if (outcome === GrantOutcome.granted) {
      this.#silentSinceMs.delete(target.id)
      return true
    }
    if (result.isErr && !this.#silentSinceMs.has(target.id)) {
      this.#silentSinceMs.set(target.id, nowMs)
      logger.warn('target.silent', {
        target: target.id,
        service,
        ...result.error,
        lapsesInMs: holds.lapsesAtMs - nowMs,
      })
    }
    if (result.isOk)
      logger.warn('keys.grant_refused', { service, target: target.id, from, to, fence, outcome })
    return false
  }

  #holdsOf(id: string): TargetHolds {
    let holds = this.#holds.get(id)
    if (holds === undefined) {
      holds = new TargetHolds(this.#inheritedLapseMs)
      this.#holds.set(id, holds)
    }
    return holds
  }

  #target(id: string): KnownTarget | undefined {
    const target = this.#options.directory.target(id)
    return target?.service === this.#options.service ? target : undefined
  }
}
