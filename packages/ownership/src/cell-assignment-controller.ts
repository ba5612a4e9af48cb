/**
 * Maintains the assignment of a tenure: gives shards without a live owner to other targets, balances the load
 * and stores the assignment. One task does one step after the other. Restoring service comes first and goes
 * on while the platform is unavailable; everything else waits for the platform.
 */
import { Configuration, Instant, type Logger, type ShardSet } from '@pimentotally/core'
import { Assignment, AssignmentItem, type AssignmentEntry } from './assignment.js'
import { serviceOf, type CoordinatorSettings } from './options.js'
import { planHotKeys, planLoadCorrection, planPlacement, type PlacementTarget } from './placement.js'
import { AssignmentRow, mergeKnownEntries } from './assignment-row.js'
import type { Tenure } from './tenure.js'
import { Wakeup } from './wakeup.js'

/** Work of a tenure that needs the platform and is done only when no shard has to be restored. */
export interface PlatformStep {
  /** Does at most one step; true when it did something. */
  step(): Promise<boolean>
}

export interface CellAssignmentControllerOptions {
  readonly settings: CoordinatorSettings
  readonly tenure: Tenure
  readonly assignmentRow: AssignmentRow
  readonly steps: readonly PlatformStep[]
}

export class CellAssignmentController {
  readonly #settings: CoordinatorSettings
  readonly #tenure: Tenure
  readonly #assignmentRow: AssignmentRow
  readonly #steps: readonly PlatformStep[]
  readonly #wakeup: Wakeup
  readonly #logger: Logger
  /** Items of targets that do not verify grants, whose move waits for the end of their permits. */
  readonly #awaitingPermits = new Set<string>()
  /** The last commit that was begun; the next one waits for it. */
  #lastCommit: Promise<boolean> = Promise.resolve(false)
  #isAssignmentKnown = false
  #isRestoreDue = true
  #unstoredMoves = 0
  #movedItems = 0
  #nextBalanceMs: number
  #nextCorrectionMs: number
  #nextHotKeysMs: number

  constructor({ settings, tenure, assignmentRow, steps }: CellAssignmentControllerOptions) {
    this.#settings = settings
    this.#tenure = tenure
    this.#assignmentRow = assignmentRow
    this.#steps = steps
    this.#logger = settings.logger
    this.#wakeup = new Wakeup(settings.clock)
    const nowMs = settings.clock.monotonicMs()
    this.#nextBalanceMs = nowMs + settings.balanceIntervalMs
    this.#nextCorrectionMs = nowMs + settings.loadCorrectionIntervalMs
    this.#nextHotKeysMs = nowMs + settings.hotKeyIntervalMs
  }

  get unstoredMoves(): number {
    return this.#unstoredMoves
  }

  get movedItems(): number {
    return this.#movedItems
  }

  /**
   * True once the assignments that peers and the platform know were asked for and a write of the merged one
   * was tried. Until then shards of targets that do not verify grants have no owner.
   */
  get isAssignmentKnown(): boolean {
    return this.#isAssignmentKnown
  }

  isAwaitingPermits(id: string): boolean {
    return this.#awaitingPermits.has(id)
  }

  wake(): void {
    this.#isRestoreDue = true
    this.#wakeup.wake()
  }

  async run(): Promise<void> {
    await this.#readKnownAssignments()
    // A write under the new term makes every later write of an earlier coordinator fail, so the
    // assignment that was read is complete.
    await this.#commit([], false)
    this.#isAssignmentKnown = true
    this.wake()
    while (this.#tenure.mayContinue()) {
      if (!(await this.#step())) await this.#wakeup.wait(this.#settings.renewIntervalMs, this.#tenure.signal)
    }
  }

  /** True when something was done, so that the next step should follow at once. */
  async #step(): Promise<boolean> {
    if (this.#tenure.validForMs() <= 0) return false
    if (this.#isRestoreDue) {
      this.#isRestoreDue = false
      const moves = this.#planRestore()
      if (moves.length > 0) return this.#commit(moves, true)
    }
    if (!this.#assignmentRow.isPlatformUsable) return false
    if (!this.#assignmentRow.isStored) return this.#commit([], false)
    for (const step of this.#steps) {
      if (await step.step()) return true
      if (this.#isRestoreDue || this.#tenure.validForMs() <= 0) return !this.#tenure.ended
    }
    const moves = this.#planBalance()
    return moves.length > 0 && this.#commit(moves, false)
  }

  /** Merges what the directory, the platform and the peers know of the assignment into that of the tenure. */
  async #readKnownAssignments(): Promise<void> {
    const { directory, peers, cellId } = this.#settings
    const mergeText = (text: string | undefined): void => {
      const stored = text === undefined ? undefined : Assignment.safeParse(text)
      if (stored === undefined || this.#tenure.ended) return
      mergeKnownEntries(this.#tenure, stored.assignment.values())
      this.#tenure.updateItemSets()
    }
    mergeText(directory.cells().find((cell) => cell.cellId === cellId)?.assignment)
    const self = directory.self()
    await Promise.all([
      this.#assignmentRow.read(),
      ...directory.peers(self.domain).map(async (peer) => {
        mergeText((await peers.cellView(peer, cellId))?.assignment)
      }),
    ])
    this.#tenure.updateItemSets()
  }

  /**
   * Plans new owners for items without a live one, and new fences for items whose last fence may be unknown.
   */
  #planRestore(): AssignmentEntry[] {
    const moves: AssignmentEntry[] = []
    for (const [service, shards] of this.#tenure.grantable) {
      const owners = new Map<number, string | undefined>()
      const shardsWithNewFence: number[] = []
      const targets = this.#targets(service, true)
      const usable = new Set(targets.map(({ name }) => name))
      for (const shard of shards) {
        const id = AssignmentItem.shardId(service, shard)
        const entry = this.#tenure.assignment.get(id)
        if (!this.#mayRestore(service, id)) {
          owners.set(shard, entry?.target)
          continue
        }
        const owner = entry !== undefined && usable.has(entry.target) ? entry.target : undefined
        owners.set(shard, owner)
        if (owner !== undefined && entry !== undefined && this.#needsNewFence(entry))
          shardsWithNewFence.push(shard)
      }
      const plan = this.#planShards(service, owners, targets)
      const newOwners = new Map([
        ...shardsWithNewFence.map((shard) => [shard, owners.get(shard) ?? ''] as const),
        ...plan,
      ])
      if (this.#verifies(service)) {
        moves.push(
          ...this.#movedEntries(service, newOwners),
          ...this.#planOverrideReassignments(service, shards, usable, newOwners),
        )
      } else this.#moveUnverified(service, newOwners, true)
    }
    return moves
  }

  #planShards(
    service: string,
    owners: ReadonlyMap<number, string | undefined>,
    targets: readonly PlacementTarget[],
  ): ReadonlyMap<number, string> {
    const all = planPlacement({ owners, targets, maxMoves: 0 })
    // A shard that its owner under an earlier term may still run is not given to another target yet.
    return new Map(
      [...all].filter(([shard]) => this.#mayRestore(service, AssignmentItem.shardId(service, shard))),
    )
  }

  #mayRestore(service: string, id: string): boolean {
    if (this.#awaitingPermits.has(id)) return false
    if (this.#verifies(service)) return this.#tenure.earlierGrants.isCleared(id)
    return this.#isAssignmentKnown && this.#oldPermitsEnded(service) && this.#tenure.isConfirmedSinceLapse()
  }

  /** True when permits of earlier terms for a service whose targets do not verify can no longer be in use. */
  #oldPermitsEnded(service: string): boolean {
    const { clock, leaseMs, lapseMarginMs, directory } = this.#settings
    const { majorityAt } = this.#tenure.earlierGrants
    const longestMs = serviceOf(directory.configuration(), service)?.requestTimeoutMs ?? 0
    return (
      majorityAt !== undefined &&
      Instant.waiterElapsedMs(majorityAt, clock) >= leaseMs + lapseMarginMs + longestMs
    )
  }

  #needsNewFence(entry: AssignmentEntry): boolean {
    if (
      this.#tenure.earlierGrants.hasUnknownKey(entry.service, entry.shard) &&
      this.#tenure.earlierGrants.haveAllLapsed
    )
      return true
    if (!this.#verifies(entry.service)) return false
    return (
      !this.#tenure.isOwnFence(entry.fence) &&
      !this.#tenure.earlierGrants.isProvenHolder(AssignmentItem.id(entry), entry.target)
    )
  }

  /** Overrides of unusable targets go to their shard's owner; others get a new fence where they need one. */
  #planOverrideReassignments(
    service: string,
    shards: ShardSet,
    usable: ReadonlySet<string>,
    newOwners: ReadonlyMap<number, string>,
  ): AssignmentEntry[] {
    const fence = this.#tenure.nextFence()
    return [...shards].flatMap((shard) => {
      const owner = this.#tenure.assignment.get(AssignmentItem.shardId(service, shard))
      if (owner === undefined || newOwners.has(shard)) return []
      return this.#tenure.assignment.overridesOfShard(service, shard).flatMap((entry) => {
        if (!this.#tenure.earlierGrants.isCleared(AssignmentItem.id(entry))) return []
        if (!usable.has(entry.target)) return [{ ...entry, target: owner.target, fence }]
        return this.#needsNewFence(entry) ? [{ ...entry, fence }] : []
      })
    })
  }

  /** Entries for moved shards and for their overrides, whose fences must stay above that of the shard. */
  #movedEntries(service: string, plan: ReadonlyMap<number, string>): AssignmentEntry[] {
    if (plan.size === 0) return []
    const fence = this.#tenure.nextFence()
    const keyFence = this.#tenure.nextFence()
    return [...plan].flatMap(([shard, target]) => [
      { service, shard, target, fence },
      ...this.#tenure.assignment.overridesOfShard(service, shard).map((key) => ({ ...key, fence: keyFence })),
    ])
  }

  /**
   * The targets that may own shards; draining targets and those that left the configuration have no weight.
   */
  #targets(service: string, isRestoring: boolean): PlacementTarget[] {
    const configuration = this.#settings.directory.configuration()
    const slots = serviceOf(configuration, service)?.slots ?? 1
    const listed = new Set(configuration.deployment.targets.map(({ name }) => name))
    const candidates = [...this.#tenure.sessions.values()]
      .filter((session) => session.spec.service === service && (session.alive || !isRestoring))
      .map(({ name, alive }) => {
        const isLeaving = !listed.has(name) || Configuration.isDraining(configuration, name)
        return { name, weight: isLeaving || !alive ? 0 : slots }
      })
    // When no other target is left, draining targets still serve shards.
    return isRestoring && candidates.every(({ weight }) => weight === 0)
      ? candidates.map(({ name }) => ({ name, weight: slots }))
      : isRestoring
        ? candidates
        : candidates.filter(({ weight }) => weight > 0)
  }

  #planBalance(): AssignmentEntry[] {
    const nowMs = this.#settings.clock.monotonicMs()
    if (nowMs < this.#nextBalanceMs || !this.#tenure.earlierGrants.haveAllLapsed) return []
    this.#nextBalanceMs = nowMs + this.#settings.balanceIntervalMs
    const moves: AssignmentEntry[] = []
    const isCorrecting = nowMs >= this.#nextCorrectionMs
    if (isCorrecting) this.#nextCorrectionMs = nowMs + this.#settings.loadCorrectionIntervalMs
    const isHotKeyTime = nowMs >= this.#nextHotKeysMs
    if (isHotKeyTime) this.#nextHotKeysMs = nowMs + this.#settings.hotKeyIntervalMs
    for (const [service, shards] of this.#tenure.grantable) {
      const owners = new Map<number, string | undefined>()
      for (const shard of shards) {
        owners.set(shard, this.#tenure.assignment.get(AssignmentItem.shardId(service, shard))?.target)
      }
      const targets = this.#targets(service, false)
      let plan = planPlacement({ owners, targets })
      if (isCorrecting && plan.size === 0) {
        const load = this.#settings.ledger.takeShardLoad(service)
        plan = planLoadCorrection({ owners, targets, load })
      }
      if (this.#verifies(service)) moves.push(...this.#movedEntries(service, plan))
      else this.#moveUnverified(service, plan, false)
      if (isHotKeyTime && plan.size === 0) moves.push(...this.#planHotKeys(service, owners, targets))
    }
    return moves
  }

  #planHotKeys(
    service: string,
    owners: ReadonlyMap<number, string | undefined>,
    targets: readonly PlacementTarget[],
  ): AssignmentEntry[] {
    if (!this.#verifies(service)) return []
    const { ledger } = this.#settings
    const { assignment } = this.#tenure
    const hot = ledger.takeHotKeys(service, 64)
    const requests = new Map<string, number>()
    for (const [shard, count] of ledger.takeShardLoad(service)) {
      const owner = owners.get(shard) ?? ''
      requests.set(owner, (requests.get(owner) ?? 0) + count)
    }
    const located = hot.map((key) => {
      const entry = assignment.get(AssignmentItem.keyId(service, key.shard, key.keyHash))
      return { ...key, target: entry?.target ?? owners.get(key.shard) ?? '' }
    })
    const plan = planHotKeys({ hot: located, requests, targets })
    const fence = this.#tenure.nextFence()
    const moved = located.flatMap(({ shard, keyHash }) => {
      const target = plan.get(keyHash)
      return target === undefined ? [] : [{ service, shard, keyHash, target, fence }]
    })
    return [...moved, ...this.#planOverrideEnds(service, hot)]
  }

  /**
   * A key that is no longer hot goes back to the owner of its shard. Once this target has confirmed the key
   * and the shard has no other override, a new fence of the shard ends the override.
   */
  #planOverrideEnds(service: string, hot: readonly { readonly keyHash: string }[]): AssignmentEntry[] {
    const isHot = new Set(hot.map(({ keyHash }) => keyHash))
    const { assignment, sessions } = this.#tenure
    const fence = this.#tenure.nextFence()
    return [...assignment.values()].flatMap((entry) => {
      if (entry.service !== service || entry.keyHash === undefined || isHot.has(entry.keyHash)) return []
      const owner = assignment.get(AssignmentItem.shardId(service, entry.shard))
      if (owner === undefined) return []
      if (owner.target !== entry.target) return [{ ...entry, target: owner.target, fence }]
      const isSettled =
        sessions.get(owner.target)?.hasConfirmed(AssignmentItem.id(entry), entry.fence) === true
      const keys = assignment.overridesOfShard(service, entry.shard)
      return isSettled && keys.every((key) => !isHot.has(key.keyHash ?? '')) && keys.length === 1
        ? [{ ...owner, fence }]
        : []
    })
  }

  /** Moves shards of a service whose targets do not verify grants, once no permit for them can be in use. */
  #moveUnverified(service: string, plan: ReadonlyMap<number, string>, isRestoring: boolean): void {
    if (plan.size === 0 || !this.#oldPermitsEnded(service)) return
    const shards = [...plan.keys()].filter(
      (shard) => !this.#awaitingPermits.has(AssignmentItem.shardId(service, shard)),
    )
    if (shards.length === 0) return
    const ids = shards.map((shard) => AssignmentItem.shardId(service, shard))
    for (const id of ids) this.#awaitingPermits.add(id)
    const moveOncePermitsEnded = async (): Promise<void> => {
      await this.#settings.ledger.whenNoPermitOutstanding(service, shards, this.#tenure.signal)
      if (this.#tenure.mayContinue()) {
        const wanted = new Map(shards.map((shard) => [shard, plan.get(shard) ?? '']))
        await this.#commit(this.#movedEntries(service, wanted), isRestoring)
      }
      for (const id of ids) this.#awaitingPermits.delete(id)
      this.wake()
    }
    moveOncePermitsEnded().catch((cause: unknown) => {
      this.#logger.error('move_failed', { step: 'ownership.move', service, cause })
    })
  }

  /**
   * Runs commits one after the other. Otherwise a commit could read moves that another one has just stored,
   * and take them for moves of an earlier coordinator.
   */
  #commit(moves: readonly AssignmentEntry[], isRestoring: boolean): Promise<boolean> {
    const commit = this.#lastCommit.then(() => this.#storeAndApply(moves, isRestoring))
    this.#lastCommit = commit.catch(() => false)
    return commit
  }

  /**
   * Stores the assignment with `moves` and then puts it in force. In an outage of the platform, moves that
   * restore service are put in force without being stored; others are not made.
   */
  async #storeAndApply(moves: readonly AssignmentEntry[], isRestoring: boolean): Promise<boolean> {
    const outcome = this.#assignmentRow.isPlatformUsable ? await this.#assignmentRow.write(moves) : 'outage'
    if (!this.#tenure.mayContinue() || outcome === 'superseded') return false
    if (outcome === 'outage' && !isRestoring) return false
    if (outcome === 'outage') {
      this.#unstoredMoves += moves.length
      this.#assignmentRow.markUnstored()
      this.#logger.warn('moved_unstored', { step: 'ownership.move', moves: moves.length })
    }
    const { assignment } = this.#tenure
    for (const move of moves) {
      if (move.keyHash === undefined) this.#tenure.earlierGrants.forgetUnknownKeys(move.service, move.shard)
      if (move.target !== assignment.get(AssignmentItem.id(move))?.target) this.#movedItems += 1
    }
    assignment.merge(moves)
    this.#tenure.updateItemSets()
    this.publish()
    return true
  }

  /** Gives the record and the assignment to the directory, which spreads them to peers. */
  publish(): void {
    const { directory, cellId } = this.#settings
    const { record, assignment, term } = this.#tenure
    directory.offerCell({
      cellId,
      record,
      assignment: assignment.stringify(term, (service) => record.homes[service]?.shardCount ?? 0),
      assignmentFence: assignment.highestFence(),
    })
  }

  #verifies(service: string): boolean {
    return serviceOf(this.#settings.directory.configuration(), service)?.verifiesGrants ?? false
  }
}
