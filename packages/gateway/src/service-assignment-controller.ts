/**
 * Assigns the keys of one sharded service, on the leader: decides which key ranges move, and to which
 * targets. Each decision is stored before it is carried out. `TargetGrants` sends the grants, `RangeMoves`
 * carries the moves out.
 */
import {
  LastingOverloads,
  admittedShares,
  balanceRanges,
  changedBlocks,
  completeMoves,
  encodeBlock,
  evacuateRanges,
  findRange,
  imbalanceTolerance,
  initialAssignment,
  mergeRanges,
  placeHotKey,
  pricedMoves,
  reassign,
  refence,
  saturatedFactor,
  speedExponent,
  withAddresses,
  type AssignedRange,
  type Assignment,
  type BalanceTarget,
  type KeyLoad,
  type PricedTarget,
  type Reassignment,
  type TargetDemand,
  type TargetSpeeds,
} from '@pimentotally/assignment'
import { storeTables } from '@pimentotally/platform'
import { absentIn, firstFenceOf, type RowStore } from '@pimentotally/storage'
import type { KnownTarget } from './directory.js'
import { FormerOwners } from './former-owners.js'
import { routerStateKeys } from './router-state-rows.js'
import { RangeMoves } from './range-moves.js'
import { TargetGrants, minRemainingMs, type TargetGrantsOptions } from './target-grants.js'

/**
 * Interval between two rounds of balancing. Hosts report load almost three times a second, and a decision has
 * to show in their reports before the next one.
 */
const balanceIntervalMs = 600
/**
 * The first assignment waits until the number of usable targets has not changed for this time; targets that
 * start together have registered by then.
 */
const gatheringMs = 1500
/** The first assignment waits no longer than this, even while targets still register. */
const maxGatheringMs = 4500
/**
 * Requests for keys that move have to wait, so the number of ranges that move at a
 * time is limited. The limit is at least this number.
 */
const minMovesAtOnce = 24
/**
 * With many targets, the limit is this share of their number, so that it is above the number of targets in
 * one failure domain, which has a third of them.
 */
const movesPerTarget = 0.4
/** Share of the limit on simultaneous moves that one round of balancing may use. */
const balancedMovesShare = 1 / 3
/** Weight of a cold target as a share of a warm one's: it takes few requests, so it is given few keys. */
const coldWeight = 0.4
/** A target where more requests than this share of its slots wait on average has a lasting queue. */
const lastingQueueShare = 0.3
/** Running and waiting requests for each slot that a target keeps while the excess is drained. */
const keptOccupancy = 2
/** Above this utilization of the service, cold targets receive keys too, as no target can be spared. */
const coldReceiverUtilization = 0.7
/** Time-out of a store call; a store that takes longer is treated as unavailable. */
const storeTimeoutMs = 700

export interface ServiceAssignmentControllerOptions extends TargetGrantsOptions {
  readonly store: RowStore
  readonly keyLoad: KeyLoad
  readonly speeds: TargetSpeeds
  /** Mean time that a target works on a request to the service. */
  readonly workMs: () => number
  /** Mean number of requests that run or wait at a target. */
  readonly occupancy: (target: string) => number
  /** Requests a second that the target accepts, if it names a limit that lasts; undefined otherwise. */
  readonly requestLimit: (target: KnownTarget) => number | undefined
  /** Mean factor by which targets work slower than usual for moments; 1 is the usual speed. */
  readonly averageSlowdown?: () => number
  /** Called when a decision was stored, so that other hosts learn of it. */
  readonly stored: () => void
  /** Time for which this host may still send grants while the assignment is not stored in the present era. */
  readonly unstoredRemainingMs: () => number
  /** Whether the lease is written in the present era of the store, so that decisions may be. */
  readonly mayDecide: () => boolean
  /** Whether an assignment that is absent may be lost, as the store may have come back from an older copy. */
  readonly mayLackRows: () => boolean
}

/** Share of the targets' capacity that is used; requests above a target's capacity do not count. */
const utilizationOf = (demands: readonly TargetDemand[]): number => {
  const capacity = demands.reduce((sum, { capacityPerSecond }) => sum + capacityPerSecond, 0)
  const used = demands.reduce(
    (sum, demand) => sum + Math.min(demand.requestsPerSecond, demand.capacityPerSecond),
    0,
  )
  return capacity === 0 ? 1 : used / capacity
}

interface ServiceDemand extends TargetDemand {
  /** How long work takes on the target, relative to the mean of its service. */
  readonly factor: number
  /** Share of the target's capacity that its own limit leaves; 1 for a target that names none. */
  readonly limitShare: number
}

interface Decision {
  readonly changes: readonly Reassignment[]
  readonly reason: string
}

export class ServiceAssignmentController {
  readonly #options: ServiceAssignmentControllerOptions
  readonly #grants: TargetGrants
  readonly #formerOwners: FormerOwners
  readonly #moves: RangeMoves
  #assignment: Assignment | undefined
  #shares: ReadonlyMap<string, number> = new Map()
  /** Versions of the stored blocks that the assignment is made of; empty while none is stored. */
  #versions: readonly number[] = []
  #revision = 0
  /** Whether all blocks of the assignment were written in the present era of the store. */
  #isOfPresentEra = false
  /**
   * Whether this controller knows every decision that was carried out. When the store has come back from an
   * older copy, only the controller that made the decisions does, as long as its lease does not end.
   */
  #isComplete = false
  #isDeciding = false
  #isClosed = false
  #balancedAtMs = 0
  readonly #overloads = new LastingOverloads()
  /** For the first assignment: when a usable target was first seen, and when their number last changed. */
  #gathering: { readonly sinceMs: number; readonly changedAtMs: number; readonly count: number } | undefined

  constructor(options: ServiceAssignmentControllerOptions) {
    this.#options = options
    this.#grants = new TargetGrants({ ...options, remainingMs: () => this.#grantingMs() })
    this.#formerOwners = new FormerOwners({
      ...options,
      grants: this.#grants,
      assignment: () => this.#assignment,
    })
    this.#moves = new RangeMoves({
      ...options,
      grants: this.#grants,
      owners: this.#formerOwners,
      onMoveEnded: () => {
        if (this.#moves.activeMoveCount === 0) this.#decide()
      },
    })
  }

  /**
   * By target: which share of the requests for the target's keys may be sent to it; all of them for a target
   * without an entry.
   */
  get shares(): ReadonlyMap<string, number> {
    return this.#shares
  }

  /** Share of the service's targets that do not answer. */
  get silentShare(): number {
    return this.#grants.silentShare
  }

  /** No grant is sent after this call. */
  close(): void {
    this.#isClosed = true
    this.#grants.close()
  }

  get #mayAct(): boolean {
    return !this.#isClosed && this.#options.remainingMs() > minRemainingMs
  }

  /**
   * Time for which grants may be sent. The assignment may have been read in a later era than it was decided in,
   * so the directory says whether it is stored in the present one.
   */
  #grantingMs(): number {
    const { directory, service, remainingMs, unstoredRemainingMs } = this.#options
    const isStored = directory.assignment(service)?.isOfPresentEra === true
    return isStored ? remainingMs() : unstoredRemainingMs()
  }

  /** Called several times a second. Does not wait for the store, so that a slow store delays no renewals. */
  tick(): void {
    const { directory, service } = this.#options
    if (!this.#mayAct) return
    this.#adoptStored()
    if (this.#mayHaveLostDecisions()) return
    this.#formerOwners.recordAddresses(directory.targets(service))
    if (this.#assignment !== undefined && !this.#isComplete) {
      // Nothing is granted before the new fences are stored.
      this.#decide()
      return
    }
    this.#moves.start(this.#assignment?.ranges ?? [])
    this.#grants.renew(this.#owned(), (range) => this.#stillOwns(range))
    this.#decide()
  }

  /**
   * Takes the assignment as the directory knows it, unless a decision that builds
   * on the present one is in progress.
   */
  #adoptStored(): void {
    const known = this.#options.directory.assignment(this.#options.service)
    if (known === undefined || known.revision === this.#revision || this.#isDeciding) return
    this.#assignment = known.assignment
    this.#versions = known.versions
    this.#revision = known.revision
    this.#isOfPresentEra = known.isOfPresentEra
    this.#isComplete ||= known.isOfPresentEra
  }

  /**
   * Whether owners may hold keys because of decisions that this controller does not know, as an older copy of
   * the store lacks them. No key is granted to anybody until all grants of that time have lapsed.
   */
  #mayHaveLostDecisions(): boolean {
    if (this.#isComplete) return false
    if (this.#assignment === undefined && !this.#options.mayLackRows()) return false
    const { clock, tenure } = this.#options
    return clock.monotonicMs() < tenure.earlierErasLapseAtMs
  }

  /**
   * Ranges by owner, for the renewal of their grants. A range that moves is left out until its move has
   * ended; then it counts for its new owner, even before the end of the move is stored.
   */
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

  /** Starts a decision, unless one is in progress. */
  #decide(): void {
    const { mayDecide, directory } = this.#options
    if (this.#isDeciding || !this.#mayAct || !mayDecide()) return
    this.#isDeciding = true
    const firstFence = firstFenceOf(directory.routerStateEra)
    const decided =
      this.#assignment === undefined
        ? this.#initialise(firstFence)
        : this.#change({
            ...this.#assignment,
            lastFence: Math.max(this.#assignment.lastFence, firstFence - 1),
          })
    decided
      .catch((error: unknown) => {
        this.#options.logger.error('keys.decide_failed', { service: this.#options.service, error })
      })
      .finally(() => {
        this.#isDeciding = false
        this.#adoptStored()
        if (this.#isComplete) this.#moves.start(this.#assignment?.ranges ?? [])
      })
  }

  async #initialise(firstFence: number): Promise<void> {
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
    await this.#commit(initialAssignment(service, weighed, firstFence), 'initial')
  }

  async #change(assignment: Assignment): Promise<void> {
    const { service, logger } = this.#options
    if (!this.#isComplete) {
      await this.#commit(refence(assignment), 'store_restored')
      return
    }
    const { done } = this.#moves
    const current = completeMoves(assignment, done)
    const { changes, reason } = this.#chooseChanges(current)
    if (changes.length === 0 && done.length === 0 && this.#isOfPresentEra) return
    if (changes.length > 0) {
      const keys = changes.reduce((sum, { from, to }) => sum + to - from + 1, 0)
      const assignmentVersion = Math.max(0, ...this.#versions)
      logger.info('keys.moving', { service, reason, ranges: changes.length, keys, assignmentVersion })
    }
    if (await this.#commit(mergeRanges(reassign(current, changes)), reason)) this.#moves.forget(done)
  }

  /** Restarted owners come first, then owners that must give all their keys up, then the balance of load. */
  #chooseChanges(current: Assignment): Decision {
    const { directory, service, keyLoad, clock } = this.#options
    const nowMs = clock.monotonicMs()
    keyLoad.decay(nowMs)
    const demands = this.#demands(current)
    // Hosts keep within a limit that a target names by themselves.
    this.#shares = admittedShares(demands.filter(({ limitShare }) => limitShare === 1))
    const utilization = utilizationOf(demands)
    const { isContended } = directory
    // To give fast targets more than in proportion would move more keys than it saves in time.
    const exponent = isContended ? 1 : speedExponent(utilization)
    const demandOf = new Map(demands.map((demand) => [demand.id, demand]))
    const mayReceiveCold = utilization > coldReceiverUtilization
    const targets = directory.targets(service).map((target) => {
      const { factor = 1, limitShare = 1 } = demandOf.get(target.id) ?? {}
      const { weight, ...rest } = this.#weigh(target, nowMs, factor ** exponent)
      const mayReceive = (mayReceiveCold || target.coldUntilMs <= nowMs) && limitShare === 1
      const capacityPerSecond = (demandOf.get(target.id)?.capacityPerSecond ?? 0) / this.#averageSlowdown
      const { slots } = target
      return { ...rest, weight: weight * limitShare, mayReceive, capacityPerSecond, slots }
    })
    const pinned = this.#formerOwners.pinned(current)
    const afterRestart = this.#restartedRanges(current)
    if (afterRestart.length > 0) return { changes: afterRestart, reason: 'new_life' }
    const movesAtOnce = Math.max(minMovesAtOnce, Math.floor(targets.length * movesPerTarget))
    const freeMoves = movesAtOnce - this.#moves.activeMoveCount
    const evacuated = evacuateRanges(current, targets, keyLoad, { maxMoves: freeMoves, except: pinned })
    if (evacuated.length > 0) return { changes: evacuated, reason: 'owner_leaves' }
    // A release waits for the work in progress on its keys, so moves of the last round may still go on. The
    // balance does not change the ranges that still move.
    const maxMoves = Math.min(freeMoves, Math.floor(movesAtOnce * balancedMovesShare))
    if (maxMoves <= 0 || nowMs - this.#balancedAtMs <= balanceIntervalMs) {
      return { changes: [], reason: 'none' }
    }
    this.#balancedAtMs = nowMs
    const hot = placeHotKey(current, targets, keyLoad)
    const tolerance = imbalanceTolerance(utilization)
    const hottest = hot === undefined ? [] : [hot]
    const afterHottest = reassign(current, hottest)
    const wanted = [
      ...hottest,
      ...(isContended
        ? this.#pricedMoves(afterHottest, targets, maxMoves)
        : balanceRanges(afterHottest, targets, keyLoad, { tolerance, maxMoves })),
    ]
    const changes = wanted.filter(({ from }) => !pinned.has(findRange(current.ranges, from)?.owner ?? ''))
    return { changes, reason: hot === undefined ? 'balance' : 'hot_key' }
  }

  get #averageSlowdown(): number {
    return Math.max(1, this.#options.averageSlowdown?.() ?? 1)
  }

  /** The moves that earn their price, of keys whose owners have been overloaded for long enough. */
  #pricedMoves(current: Assignment, targets: readonly PricedTarget[], maxMoves: number): Reassignment[] {
    const { service, keyLoad, clock, logger } = this.#options
    const nowMs = clock.monotonicMs()
    const loads = new Map(targets.map(({ id }) => [id, 0]))
    for (const { from, to, owner } of current.ranges) {
      loads.set(owner, (loads.get(owner) ?? 0) + keyLoad.sum(from, to))
    }
    const utilizations = targets
      .filter(({ capacityPerSecond }) => capacityPerSecond > 0)
      .map(({ id, capacityPerSecond }) => [id, (loads.get(id) ?? 0) / capacityPerSecond] as const)
    this.#overloads.record(nowMs, new Map(utilizations))
    const receiving = targets.map((target) => ({
      ...target,
      mayReceive: target.mayReceive && this.#overloads.mayReceive(target.id),
    }))
    return pricedMoves(current, receiving, keyLoad, {
      maxMoves,
      mayGive: (id) => this.#overloads.isLasting(id, nowMs),
      onMove: (move) => {
        this.#overloads.moved(nowMs, move)
        logger.info('keys.move_priced', { service, ...move })
      },
    })
  }

  /** Ranges whose owner has restarted under the same id; the new process needs a higher fence. */
  #restartedRanges({ ranges }: Assignment): Reassignment[] {
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
    const { directory, service, keyLoad, workMs, requestLimit } = this.#options
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
        const unlimitedPerSecond = (target.slots * 1000) / (workMs() * factor)
        const limitShare = Math.min(1, (requestLimit(target) ?? unlimitedPerSecond) / unlimitedPerSecond)
        const capacityPerSecond = unlimitedPerSecond * limitShare
        const rate = { id: target.id, requestsPerSecond, capacityPerSecond, factor, limitShare }
        return directory.isContended ? { ...rate, excessWaiting: this.#excessWaiting(target) } : rate
      })
  }

  /**
   * Requests that wait at the target beyond one for each slot. Each host hears from a given target so rarely that only the
   * leader, which gets the reports of all, sees that a queue stands.
   */
  #excessWaiting({ id, slots }: KnownTarget): number {
    return Math.max(0, this.#options.occupancy(id) - slots * keptOccupancy)
  }

  /**
   * How long work takes on the target, relative to the mean of its service; raised for a target with a
   * lasting queue, see `saturatedFactor`.
   */
  #factor({ id, slots }: KnownTarget, requestsPerSecond: number): number {
    const { speeds, workMs, occupancy } = this.#options
    const factor = speeds.factor(id)
    const hasQueue = occupancy(id) > slots * (1 + lastingQueueShare)
    return hasQueue ? saturatedFactor(factor, { requestsPerSecond, workMs: workMs(), slots }) : factor
  }

  /**
   * The target with its weight in the balance of load. A target that does not answer keeps its weight until
   * its grants have certainly lapsed, because its keys cannot be granted to another one before.
   */
  #weigh(target: KnownTarget, nowMs: number, relativeWorkTime: number): Omit<BalanceTarget, 'mayReceive'> {
    const { directory } = this.#options
    const hasLapsed = this.#grants.isSilent(target.id) && nowMs > this.#grants.lapsesAtMs(target.id)
    const capacity = target.slots / relativeWorkTime
    const weight = target.coldUntilMs > nowMs ? capacity * coldWeight : capacity
    const isUsable = directory.isUsable(target) && !hasLapsed
    return { id: target.id, startedAtEpochMs: target.startedAtEpochMs, weight: isUsable ? weight : 0 }
  }

  async #commit(decided: Assignment, reason: string): Promise<boolean> {
    const { store, directory, service, logger } = this.#options
    const next = withAddresses(decided, (id) => this.#formerOwners.addressOf(id))
    const era = directory.routerStateEra
    const rows = changedBlocks(next, this.#isOfPresentEra ? this.#assignment : undefined).map((block) => ({
      table: storeTables.routerState,
      key: routerStateKeys.assignment(service, block),
      version: this.#versions[block] ?? absentIn(era),
      value: Buffer.from(encodeBlock(next, block, era)),
    }))
    const result = await store.commit(
      {
        conditions: rows.map(({ table, key, version }) => ({ table, key, version })),
        writes: rows.map(({ table, key, value }) => ({ table, key, value })),
      },
      { timeoutMs: storeTimeoutMs },
    )
    if (result.isOk) {
      for (const { key, value } of rows) directory.applyRouterStateRow({ key, value, version: result.value })
      this.#options.stored()
      return true
    }
    const assignmentVersion = Math.max(0, ...this.#versions)
    logger.warn('keys.commit_failed', { service, reason, assignmentVersion, ...result.error })
    // A write that was not answered may have taken effect; the next decision builds on what is stored.
    if (result.error.code !== 'unavailable') await this.#readStored()
    return false
  }

  async #readStored(): Promise<void> {
    const { store, directory, logger, service } = this.#options
    const read = await store.snapshot(storeTables.routerState, { timeoutMs: storeTimeoutMs })
    if (read.isErr) {
      logger.warn('keys.read_failed', { service, ...read.error })
      return
    }
    for (const row of read.value.rows) directory.applyRouterStateRow(row)
  }

  #target(id: string): KnownTarget | undefined {
    const target = this.#options.directory.target(id)
    return target?.service === this.#options.service ? target : undefined
  }
}
