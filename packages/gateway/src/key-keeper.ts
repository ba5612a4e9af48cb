/**
 * The leader's decisions on one service that is divided by key: which ranges move, and to whom. Each decision is stored
 * before it is acted on; grants and moves have classes of their own.
 */
import {
  admittedShares,
  balanceRanges,
  blockCount,
  changedBlocks,
  completeMoves,
  encodeBlock,
  evacuateRanges,
  findRange,
  imbalanceTolerance,
  initialAssignment,
  mergeRanges,
  placeHotKey,
  reassign,
  saturatedFactor,
  speedExponent,
  withAddresses,
  type AssignedRange,
  type Assignment,
  type BalanceTarget,
  type KeyLoad,
  type Reassignment,
  type TargetDemand,
  type TargetSpeeds,
} from '@pimentotally/assignment'
import { storeTables } from '@pimentotally/platform'
import type { RowStore } from '@pimentotally/storage'
import type { KnownTarget } from './directory.js'
import { FormerOwners } from './former-owners.js'
import { ownKeys } from './own-rows.js'
import { RangeMoves } from './range-moves.js'
import { TargetGrants, type TargetGrantsOptions } from './target-grants.js'

/** Reports come almost three times a second, and a decision has to show in them. */
const balanceEveryMs = 600
/** When no target has registered for this long, all have that will soon. */
const gatheringMs = 1500
/** Keys are assigned after this time even while targets still register. */
const maxGatheringMs = 4500
/** Requests for moving keys wait, so only a part of the keys moves at a time: at least so many ranges. */
const minMovesAtOnce = 24
/** With many targets, as many ranges as this share of the targets; a failure domain holds a third of them. */
const movesPerTarget = 0.4
/** Ranges that the balance moves in one round, as a share of the moves at once. */
const balancedShare = 1 / 3
/** A cold target takes few requests, so it is given few keys. */
const coldWeight = 0.4
/** Requests that wait at a target, as a share of its slots, from which on it has a lasting queue. */
const queueShare = 0.3
/** Above this utilization no target can be spared, cold ones included. */
const spareColdUtilization = 0.7
/** A store that takes longer is treated as away. */
const storeTimeoutMs = 700

export interface KeyKeeperOptions extends TargetGrantsOptions {
  readonly store: RowStore
  readonly keyLoad: KeyLoad
  readonly speeds: TargetSpeeds
  /** Mean work time of a request to the service. */
  readonly workMs: () => number
  /** Mean number of requests that run or wait at a target. */
  readonly occupancy: (target: string) => number
  /** Called when a decision is stored, so that other hosts learn of it. */
  readonly stored: () => void
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

interface ServiceDemand extends TargetDemand {
  /** How long work takes on the target, relative to the usual. */
  readonly factor: number
}

interface Decision {
  readonly changes: readonly Reassignment[]
  readonly reason: string
}

export class KeyKeeper {
  readonly #options: KeyKeeperOptions
  readonly #grants: TargetGrants
  readonly #owners: FormerOwners
  readonly #moves: RangeMoves
  #assignment: Assignment | undefined
  #shares: ReadonlyMap<string, number> = new Map()
  /** Versions of the stored blocks that the assignment is made of. */
  #versions: readonly number[] = Array.from({ length: blockCount }, () => 0)
  #revision = 0
  #deciding = false
  #balancedAtMs = 0
  /** When the first target was seen, and when their number last changed. */
  #gathering: { readonly sinceMs: number; readonly changedAtMs: number; readonly count: number } | undefined

  constructor(options: KeyKeeperOptions) {
    this.#options = options
    this.#grants = new TargetGrants(options)
    this.#owners = new FormerOwners({ ...options, grants: this.#grants, assignment: () => this.#assignment })
    this.#moves = new RangeMoves({
      ...options,
      grants: this.#grants,
      owners: this.#owners,
      ended: () => {
        if (this.#moves.underWay === 0) this.#decide()
      },
    })
  }

  /** Which part of the requests for a target's keys may be sent to it; all of them where nothing is said. */
  get shares(): ReadonlyMap<string, number> {
    return this.#shares
  }

  /** Share of the service's targets that do not answer. */
  get silentShare(): number {
    return this.#grants.silentShare
  }

  /** No grant is sent after this call. */
  close(): void {
    this.#grants.close()
  }

  /** Called several times a second; it does not wait for the store, so that renewals do not either. */
  tick(): void {
    const { directory, service } = this.#options
    if (!this.#grants.mayGrant) return
    this.#load()
    this.#owners.see(directory.targets(service))
    this.#moves.start(this.#assignment?.ranges ?? [])
    this.#grants.renew(this.#owned(), (range) => this.#stillOwns(range))
    this.#decide()
  }

  #load(): void {
    const known = this.#options.directory.assignment(this.#options.service)
    if (known === undefined || known.revision === this.#revision || this.#deciding) return
    this.#assignment = known.assignment
    this.#versions = known.versions
    this.#revision = known.revision
  }

  /** Ranges by owner, without those that move; a move's new owner counts from its end on, before that is stored. */
  #owned(): Map<KnownTarget, AssignedRange[]> {
    const owned = new Map<KnownTarget, AssignedRange[]>()
    for (const range of this.#assignment?.ranges ?? []) {
      const target = this.#target(range.owner)
      if (target === undefined || (range.formerOwner !== undefined && !this.#moves.isDone(range))) continue
      owned.set(target, [...(owned.get(target) ?? []), range])
    }
    return owned
  }

  #stillOwns(range: AssignedRange): boolean {
    const current = findRange(this.#assignment?.ranges ?? [], range.from)
    return (
      current?.owner === range.owner &&
      current.fence === range.fence &&
      current.to >= range.to &&
      (current.formerOwner === undefined || this.#moves.isDone(current))
    )
  }

  /** One decision at a time. */
  #decide(): void {
    if (this.#deciding || !this.#grants.mayGrant) return
    this.#deciding = true
    const decided = this.#assignment === undefined ? this.#initialise() : this.#change(this.#assignment)
    decided
      .catch((error: unknown) => {
        this.#options.logger.error('keys.decide_failed', { service: this.#options.service, error })
      })
      .finally(() => {
        this.#deciding = false
        this.#load()
        this.#moves.start(this.#assignment?.ranges ?? [])
      })
  }

  async #initialise(): Promise<void> {
    const { directory, service, clock } = this.#options
    const targets = directory.targets(service).filter((target) => directory.isUsable(target))
    const nowMs = clock.monotonicMs()
    if (targets.length === 0) return
    if (this.#gathering?.count !== targets.length) {
      const sinceMs = this.#gathering?.sinceMs ?? nowMs
      this.#gathering = { sinceMs, changedAtMs: nowMs, count: targets.length }
    }
    const { sinceMs, changedAtMs } = this.#gathering
    if (nowMs - changedAtMs < gatheringMs && nowMs - sinceMs < maxGatheringMs) return
    const sorted = [...targets].sort((a, b) => (a.id < b.id ? -1 : 1))
    const weighed = sorted.map(({ id, startedAtEpochMs, slots }) => ({ id, startedAtEpochMs, weight: slots }))
    await this.#commit(initialAssignment(service, weighed), 'initial')
  }

  async #change(assignment: Assignment): Promise<void> {
    const { service, logger } = this.#options
    const { done } = this.#moves
    const current = completeMoves(assignment, done)
    const { changes, reason } = this.#chooseChanges(current)
    if (changes.length === 0 && done.length === 0) return
    if (changes.length > 0) {
      const keys = changes.reduce((sum, { from, to }) => sum + to - from + 1, 0)
      const assignmentVersion = Math.max(...this.#versions)
      logger.info('keys.moving', { service, reason, ranges: changes.length, keys, assignmentVersion })
    }
    if (await this.#commit(mergeRanges(reassign(current, changes)), reason)) this.#moves.forget(done)
  }

  /** New processes first, then owners that leave, then the balance. */
  #chooseChanges(current: Assignment): Decision {
    const { directory, service, keyLoad, clock } = this.#options
    const nowMs = clock.monotonicMs()
    keyLoad.decay(nowMs)
    const demands = this.#demands(current)
    this.#shares = admittedShares(demands)
    const utilization = utilizationOf(demands)
    const exponent = speedExponent(utilization)
    const factors = new Map(demands.map(({ id, factor }) => [id, factor]))
    const mayReceiveCold = utilization > spareColdUtilization
    const targets = directory.targets(service).map((target) => ({
      ...this.#weigh(target, nowMs, (factors.get(target.id) ?? 1) ** exponent),
      mayReceive: mayReceiveCold || target.coldUntilMs <= nowMs,
    }))
    const pinned = this.#owners.pinned(current)
    const renewed = this.#newLives(current)
    if (renewed.length > 0) return { changes: renewed, reason: 'new_life' }
    const movesAtOnce = Math.max(minMovesAtOnce, Math.floor(targets.length * movesPerTarget))
    const room = movesAtOnce - this.#moves.underWay
    const evacuated = evacuateRanges(current, targets, keyLoad, { maxMoves: room, except: pinned })
    if (evacuated.length > 0) return { changes: evacuated, reason: 'owner_leaves' }
    // A release waits for work under way, so moves of the last round may still go on; their keys stay as decided.
    const maxMoves = Math.min(room, Math.floor(movesAtOnce * balancedShare))
    if (maxMoves <= 0 || nowMs - this.#balancedAtMs <= balanceEveryMs) {
      return { changes: [], reason: 'none' }
    }
    this.#balancedAtMs = nowMs
    const hot = placeHotKey(current, targets, keyLoad)
    const tolerance = imbalanceTolerance(utilization)
    const hottest = hot === undefined ? [] : [hot]
    const wanted = [
      ...hottest,
      ...balanceRanges(reassign(current, hottest), targets, keyLoad, { tolerance, maxMoves }),
    ]
    const changes = wanted.filter(({ from }) => !pinned.has(findRange(current.ranges, from)?.owner ?? ''))
    return { changes, reason: hot === undefined ? 'balance' : 'hot_key' }
  }

  /** Ranges whose owner started anew under its old id; the new process needs a higher fence. */
  #newLives({ ranges }: Assignment): Reassignment[] {
    return ranges.flatMap(({ from, to, owner, ownerStartedAtEpochMs, formerOwner }) => {
      const target = this.#target(owner)
      const isNew = target !== undefined && target.startedAtEpochMs !== ownerStartedAtEpochMs
      return isNew && formerOwner === undefined
        ? [{ from, to, owner, ownerStartedAtEpochMs: target.startedAtEpochMs }]
        : []
    })
  }

  /** Demand and capacity of each usable target. */
  #demands({ ranges }: Assignment): ServiceDemand[] {
    const { directory, service, keyLoad, workMs } = this.#options
    const rates = new Map<string, number>()
    for (const { from, to, owner } of ranges) {
      rates.set(owner, (rates.get(owner) ?? 0) + keyLoad.sum(from, to))
    }
    return directory
      .targets(service)
      .filter((target) => directory.isUsable(target))
      .map((target) => {
        const requestsPerSecond = rates.get(target.id) ?? 0
        const factor = this.#factor(target, requestsPerSecond)
        const capacityPerSecond = (target.slots * 1000) / (workMs() * factor)
        return { id: target.id, requestsPerSecond, capacityPerSecond, factor }
      })
  }

  /** How long work takes on the target, relative to the usual. */
  #factor({ id, slots }: KnownTarget, requestsPerSecond: number): number {
    const { speeds, workMs, occupancy } = this.#options
    const factor = speeds.factor(id)
    const hasQueue = occupancy(id) > slots * (1 + queueShare)
    return hasQueue ? saturatedFactor(factor, { requestsPerSecond, workMs: workMs(), slots }) : factor
  }

  /** A silent target keeps its keys until its grants have lapsed: nobody else could be granted them before. */
  #weigh(target: KnownTarget, nowMs: number, slowness: number): Omit<BalanceTarget, 'mayReceive'> {
    const { directory } = this.#options
    const lost = this.#grants.isSilent(target.id) && nowMs > this.#grants.lapsesAtMs(target.id)
    const capacity = target.slots / slowness
    const weight = target.coldUntilMs > nowMs ? capacity * coldWeight : capacity
    const isUsable = directory.isUsable(target) && !lost
    return { id: target.id, startedAtEpochMs: target.startedAtEpochMs, weight: isUsable ? weight : 0 }
  }

  async #commit(decided: Assignment, reason: string): Promise<boolean> {
    const { store, directory, service, logger } = this.#options
    const next = withAddresses(decided, (id) => this.#owners.addressOf(id))
    const rows = changedBlocks(next, this.#assignment).map((block) => ({
      table: storeTables.own,
      key: ownKeys.assignment(service, block),
      version: this.#versions[block] ?? 0,
      value: Buffer.from(encodeBlock(next, block)),
    }))
    const result = await store.commit(
      {
        conditions: rows.map(({ table, key, version }) => ({ table, key, version })),
        writes: rows.map(({ table, key, value }) => ({ table, key, value })),
      },
      { timeoutMs: storeTimeoutMs },
    )
    if (result.isOk) {
      for (const { key, value } of rows) directory.applyOwnRow({ key, value, version: result.value })
      this.#options.stored()
      return true
    }
    const assignmentVersion = Math.max(...this.#versions)
    logger.warn('keys.commit_failed', { service, reason, assignmentVersion, ...result.error })
    // A write without an answer may have taken effect; the next decision builds on what is stored.
    if (result.error.code !== 'unavailable') await this.#readStored()
    return false
  }

  async #readStored(): Promise<void> {
    const { store, directory, logger, service } = this.#options
    const read = await store.snapshot(storeTables.own, { timeoutMs: storeTimeoutMs })
    if (read.isErr) {
      logger.warn('keys.read_failed', { service, ...read.error })
      return
    }
    for (const row of read.value.rows) directory.applyOwnRow(row)
  }

  #target(id: string): KnownTarget | undefined {
    const target = this.#options.directory.target(id)
    return target?.service === this.#options.service ? target : undefined
  }
}
