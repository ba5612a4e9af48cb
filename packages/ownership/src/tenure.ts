/**
 * One tenure of this host as a cell's coordinator, from its claim on: its terms, the voters that keep them
 * valid, the sessions with the targets, and which items may be granted. A tenure takes a new term with each
 * new epoch of the cell record.
 *
 * After a lease has lapsed, no item is newly granted under a fence of this tenure until a majority has
 * renewed the term after that lapse (`#lastLapseAt`): another coordinator that has taken over since may keep
 * the item with the target, whose lease it renews.
 */
import { setMaxListeners } from 'node:events'
import { Instant, ShardSet, Term, type CellRecord, type ShardOwner } from '@pimentotally/core'
import { Assignment, AssignmentItem, type AssignmentEntry } from './assignment.js'
import { grantableShards } from './homes.js'
import { EarlierGrants } from './earlier-grants.js'
import { planItemSets } from './item-sets.js'
import { serviceOf, targetsOfCell, type CoordinatorSettings } from './options.js'
import { TargetSession, type SessionTenure } from './session.js'
import type { VoteExchange } from './voter.js'
import { CellVoters } from './cell-voters.js'
import type { GrantResponse } from './grant.js'
import { Wakeup } from './wakeup.js'

export interface TenureOptions {
  readonly settings: CoordinatorSettings
  readonly record: CellRecord
  readonly term: Term
  /** Called when the assignment may have to change. */
  readonly onChange: () => void
  /** Called when a majority has accepted a term of this tenure for the first time. */
  readonly onTermAccepted: () => void
}

export class Tenure implements SessionTenure {
  readonly cellId: string
  readonly assignment = new Assignment()
  readonly #settings: CoordinatorSettings
  readonly #onChange: () => void
  readonly #onTermAccepted: () => void
  readonly #lapseMs: number
  readonly #abort = new AbortController()
  readonly #wakeup: Wakeup
  readonly #sessions = new Map<string, TargetSession>()
  readonly #voters: CellVoters
  readonly earlierGrants: EarlierGrants
  #record: CellRecord
  #grantable = new Map<string, ShardSet>()
  #term: Term
  /** The first term of this tenure; fences of this tenure are not below it. */
  #firstTerm: Term
  /** The term of this tenure before the present one. */
  #previousOwnTerm: Term = Term.none
  #termStartedAt: Instant
  /** When the newest messages of the present term that a majority has accepted were sent. */
  #acceptedSince: Instant | undefined
  /** When this host last noticed a lapse; undefined once a majority has renewed the term after it. */
  #lastLapseAt: Instant | undefined
  /** The sequence number of the last fence. */
  #sequence = 0
  #highestTerm: Term
  #endReason: string | undefined
  #isUpdatingItemSets = false

  constructor({ settings, record, term, onChange, onTermAccepted }: TenureOptions) {
    this.#settings = settings
    this.cellId = settings.cellId
    this.#onChange = onChange
    this.#onTermAccepted = onTermAccepted
    this.#lapseMs = settings.leaseMs + settings.lapseMarginMs
    this.#wakeup = new Wakeup(settings.clock)
    // Each session, voter and task listens to the signal; Node would warn of a leak above 10 listeners.
    setMaxListeners(0, this.signal)
    this.#record = record
    this.#term = term
    this.#firstTerm = term
    this.#highestTerm = term
    this.#termStartedAt = Instant.now(settings.clock)
    this.earlierGrants = new EarlierGrants({
      clock: settings.clock,
      lapseMs: this.#lapseMs,
      invariants: settings.invariants,
      assignment: this.assignment,
      nextFence: () => this.nextFence(),
    })
    this.#voters = new CellVoters(record, {
      settings,
      targetVoter: (target) => this.#sessions.get(target)?.voter,
      nextRequest: () =>
        this.mayContinue() ? { cellId: this.cellId, term: this.#term, claim: !this.isElected } : undefined,
      onExchange: (exchange) => {
        this.#recordVote(exchange)
        this.updateItemSets()
      },
      spawn: (task) => {
        this.#spawn(task)
      },
      signal: this.signal,
    })
    this.#updateGrantable()
    this.syncTargets()
  }

  get term(): Term {
    return this.#term
  }

  get record(): CellRecord {
    return this.#record
  }

  get isElected(): boolean {
    return this.earlierGrants.majorityAt !== undefined
  }

  get ended(): boolean {
    return this.#endReason !== undefined
  }

  get endReason(): string | undefined {
    return this.#endReason
  }

  /** The highest term that was seen, which may be that of another coordinator. */
  get highestTerm(): Term {
    return this.#highestTerm
  }

  get signal(): AbortSignal {
    return this.#abort.signal
  }

  get sessions(): ReadonlyMap<string, TargetSession> {
    return this.#sessions
  }

  /** When the newest messages of the present term that a majority has accepted were sent. */
  get validSince(): Instant | undefined {
    return this.#acceptedSince
  }

  validForMs(): number {
    if (this.ended || this.#acceptedSince === undefined) return 0
    return Math.max(
      0,
      this.#settings.leaseMs - Instant.holderElapsedMs(this.#acceptedSince, this.#settings.clock),
    )
  }

  /** Ends the tenure if its term has lapsed or was not accepted in time; true while it may send messages. */
  mayContinue(): boolean {
    if (this.ended) return false
    const { clock, leaseMs } = this.#settings
    if (this.#acceptedSince === undefined) {
      if (Instant.holderElapsedMs(this.#termStartedAt, clock) >= leaseMs)
        this.end('no majority accepted the term in time')
    } else if (this.validForMs() <= 0) this.end('term lapsed')
    return !this.ended
  }

  end(reason: string): void {
    if (this.ended) return
    this.#endReason = reason
    this.#abort.abort()
    this.#wakeup.wake()
    this.#onChange()
  }

  shardCount(service: string): number {
    return this.#record.homes[service]?.shardCount ?? 0
  }

  /** By service, the shards that this cell may grant: those whose home it is and that are not leaving it. */
  get grantable(): ReadonlyMap<string, ShardSet> {
    return this.#grantable
  }

  isGrantable(service: string, shard: number): boolean {
    return this.#grantable.get(service)?.has(shard) ?? false
  }

  /** A new fence; higher than all earlier ones of this tenure. */
  nextFence(): string {
    this.#sequence += 1
    return `${this.#term}.${this.#sequence.toString(16).padStart(8, '0')}`
  }

  isOwnFence(fence: string): boolean {
    return fence >= this.#firstTerm
  }

  /** True when a majority has renewed the term since the last lapse of anything that may have been held. */
  isConfirmedSinceLapse(): boolean {
    if (this.#lastLapseAt === undefined) return true
    const since = this.#voters.renewedSince(this.#term)
    if (since === undefined || since.monotonicMs < this.#lastLapseAt.monotonicMs) return false
    this.#lastLapseAt = undefined
    return true
  }

  /** True when no target may hold any of the shards or their keys any more. */
  isReleased(service: string, shards: Iterable<number>): boolean {
    if (!this.isConfirmedSinceLapse()) return false
    const wanted = new Set([...shards].map((shard) => AssignmentItem.shardId(service, shard)))
    if ([...wanted].some((id) => !this.earlierGrants.isCleared(id))) return false
    for (const { sets } of this.#sessions.values()) {
      for (const { items } of sets) {
        for (const item of items.values()) {
          if (wanted.has(AssignmentItem.shardId(item.service, item.shard))) return false
        }
      }
    }
    return true
  }

  /**
   * The target that owns a key and has confirmed it; if it does not verify grants, it has to be alive
   * instead. Undefined without such a target and without a valid term.
   */
  owner(service: string, shard: number, keyHash: string): ShardOwner | undefined {
    if (this.validForMs() <= 0 || !this.isGrantable(service, shard)) return undefined
    const keyId = AssignmentItem.keyId(service, shard, keyHash)
    const entry = this.assignment.get(keyId) ?? this.assignment.get(AssignmentItem.shardId(service, shard))
    if (entry === undefined || this.earlierGrants.unknownKeys.has(keyId)) return undefined
    const session = this.#sessions.get(entry.target)
    if (session === undefined) return undefined
    const isHeld = session.verifies
      ? session.hasConfirmed(AssignmentItem.id(entry), entry.fence)
      : session.alive
    return isHeld ? { target: entry.target, fence: entry.fence } : undefined
  }

  /**
   * Opens a session with each target that has none. A removed target keeps its session, as it may hold items.
   */
  syncTargets(): void {
    const { directory, clock, leaseMs, renewIntervalMs, targetClient } = this.#settings
    const configuration = directory.configuration()
    for (const spec of targetsOfCell(configuration, this.cellId)) {
      if (this.#sessions.has(spec.name)) continue
      const verifies = serviceOf(configuration, spec.service)?.verifiesGrants ?? false
      const client = targetClient(spec)
      const session = new TargetSession({
        ...{ spec, verifies, client, clock, leaseMs, renewIntervalMs },
        lapseMs: this.#lapseMs,
        tenure: this,
      })
      this.#sessions.set(spec.name, session)
      this.#spawn(
        session.run(this.signal).finally(() => {
          client.close()
        }),
      )
    }
    this.#voters.setRecord(this.#record)
    this.#onChange()
  }

  /** Takes a newer record and with it a new term, which is valid once a majority has accepted it. */
  changeRecord(record: CellRecord): void {
    if (record.epoch <= this.#record.epoch || this.ended) return
    const highestSeen = Term.parts(this.#highestTerm)
    const ballot = highestSeen.epoch === record.epoch ? highestSeen.ballot + 1 : 1
    const hostSequence = Term.parts(this.#term).hostSequence
    const previousRecord = this.#record
    this.#record = record
    this.#previousOwnTerm = this.#term
    this.#term = Term.of({ epoch: record.epoch, ballot, hostSequence })
    this.#highestTerm = this.#term
    this.#termStartedAt = Instant.now(this.#settings.clock)
    this.#acceptedSince = undefined
    this.#updateGrantable(previousRecord)
    this.#voters.setRecord(this.#record)
    this.updateItemSets()
    this.#wakeVoters()
    this.#onChange()
  }

  recordClaimResponse(session: TargetSession, sentAt: Instant, response: GrantResponse): void {
    this.earlierGrants.recordClaimResponse(session, sentAt, response)
  }
  recordExchange(session: TargetSession, isChanged: boolean, exchange?: VoteExchange): void {
    if (exchange !== undefined) {
      session.voter.recordVote(exchange)
      this.#recordVote(exchange)
    }
    if (this.ended) return
    if (this.isElected) this.#settings.ledger.targetAnswered(session.name, session.targetReport(this.#term))
    if (isChanged || this.#lastLapseAt !== undefined) this.updateItemSets()
    if (isChanged) this.#onChange()
  }

  /** Runs until the tenure ends: handles lapsed leases, and keeps the targets' sets of items up to date. */
  async run(): Promise<void> {
    while (this.mayContinue()) {
      this.#handleLapses()
      this.updateItemSets()
      const sleepMs = Math.min(
        this.#settings.renewIntervalMs,
        this.validForMs() || Infinity,
        this.earlierGrants.remainingMs(),
        ...[...this.#sessions.values()].map((session) => session.nextLapseMs()),
      )
      await this.#wakeup.wait(Math.max(1, sleepMs), this.signal)
    }
  }

  /** Recomputes what each target is to hold, and sends what changed. */
  updateItemSets(): void {
    if (!this.isElected || this.ended || this.#isUpdatingItemSets) return
    this.#isUpdatingItemSets = true
    const isConfirmed = this.isConfirmedSinceLapse()
    const plan = planItemSets({
      assignment: this.assignment,
      sessions: this.#sessions.values(),
      isGrantable: (service, shard) => this.isGrantable(service, shard),
      mayGrantItem: (entry, session) => this.#mayGrantItem(entry, session, isConfirmed),
      mayLiftExclusions: isConfirmed,
      unknownKeys: this.earlierGrants.unknownKeys,
    })
    for (const [session, set] of plan) session.setDesired(set)
    this.#isUpdatingItemSets = false
  }

  #mayGrantItem(entry: AssignmentEntry, session: TargetSession, isConfirmed: boolean): boolean {
    const id = AssignmentItem.id(entry)
    if (!this.isOwnFence(entry.fence)) return this.earlierGrants.isProvenHolder(id, session.name)
    return isConfirmed && this.earlierGrants.isCleared(id)
  }

  #handleLapses(): void {
    const { clock, ledger, logger } = this.#settings
    let isChanged = false
    if (this.earlierGrants.remainingMs() <= 0) {
      this.earlierGrants.haveAllLapsed = true
      isChanged = true
      for (const session of this.#sessions.values()) {
        session.markSilentLost()
        if (session.lost) ledger.targetLost(session.name)
      }
    }
    for (const session of this.#sessions.values()) {
      const { released, becameLost } = session.dropLapsed()
      if (becameLost) {
        logger.warn('target_lost', { step: 'ownership.lease', peer: session.name, cellId: this.cellId })
        ledger.targetLost(session.name)
      }
      isChanged ||= released || becameLost
    }
    if (!isChanged) return
    this.#lastLapseAt = Instant.now(clock)
    this.#wakeVoters()
    this.#onChange()
  }

  #recordVote({ term, response }: VoteExchange): void {
    if (response.highestTerm > this.#highestTerm) this.#highestTerm = response.highestTerm
    if (this.#highestTerm > this.#term) {
      this.end('a voter has accepted a higher term')
      return
    }
    // If a term of another coordinator came between two terms of this tenure, it may have granted items
    // meanwhile.
    if (term === this.#term && this.#previousOwnTerm !== Term.none && response.accepted) {
      if (response.previousTerm > this.#previousOwnTerm && response.previousTerm !== this.#term) {
        this.end('another coordinator had a term between two terms of this tenure')
        return
      }
    }
    const hadMajority = this.#acceptedSince !== undefined
    this.#acceptedSince = this.#voters.acceptedSince(this.#term) ?? this.#acceptedSince
    if (this.#acceptedSince === undefined || hadMajority) return
    if (!this.isElected) this.earlierGrants.recordMajority(this.#voters.earlierRenewedAtMs(this.#term))
    for (const session of this.#sessions.values()) session.wake()
    this.#wakeup.wake()
    this.#onTermAccepted()
    this.#onChange()
  }

  #updateGrantable(previousRecord?: CellRecord): void {
    this.#grantable = grantableShards(this.#record)
    if (previousRecord === undefined) return
    for (const [service, shards] of this.#grantable) {
      const entry = previousRecord.homes[service]
      const earlier = entry && ShardSet.fromBase64(entry.shardCount, entry.shards)
      for (const shard of shards) {
        // The cell that these shards come from released them before the record could name this cell as their
        // home.
        if (earlier?.has(shard) !== true)
          this.earlierGrants.markCleared(AssignmentItem.shardId(service, shard))
      }
    }
  }

  #wakeVoters(): void {
    this.#voters.wake()
    for (const session of this.#sessions.values()) session.wake()
  }

  #spawn(task: Promise<void>): void {
    task.catch((cause: unknown) => {
      this.#settings.logger.error('task_failed', { step: 'ownership.tenure', cellId: this.cellId, cause })
      this.end('a task failed')
    })
  }
}
