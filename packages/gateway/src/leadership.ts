/**
 * Leader election. The leader is the one host that assigns keys to targets. It holds a lease, which is the
 * row `leader` in the store, and renews it by compare-and-set. Any host may take the lease over when the row
 * has not changed for the length of a lease and a margin, or when the row says that it was released.
 *
 * When the store comes back from an older copy, the row may name a former leader. A host whose lease has not
 * ended goes on: it writes its record again, in the new era of the store. Any other host first waits until the
 * lease of the last leader, which the copy may not name, has certainly ended.
 */
import type { Clock, Logger } from '@pimentotally/core'
import {
  HeldLease,
  ObservedLease,
  latestLapseAtMs,
  type ClockReading,
  type LeaderRecord,
  type LeaseTimes,
} from '@pimentotally/assignment'
import { storeTables } from '@pimentotally/platform'
import { absentIn, eraOf, firstEra, type RowStore } from '@pimentotally/storage'
import type { Directory, KnownLeader } from './directory.js'
import { encodeLeader, routerStateKeys } from './router-state-rows.js'
import { grantTimeoutMs } from './target-grants.js'

/** Short enough that a failed leader is replaced before the grants that it sent lapse; see `grantHoldMs`. */
export const leaseTimes: LeaseTimes = { leaseMs: 2000, marginMs: 250 }
/** Interval at which the leader renews its lease; three renewals may fail within one lease. */
const renewalIntervalMs = 500
/** Interval at which a host checks the lease; short, because it adds to the time that a takeover takes. */
const checkIntervalMs = 100
/** Pause after a failed attempt to renew the lease. */
const retryPauseMs = 250
/** Time-out of a store call; several calls fit into one lease. */
const storeTimeoutMs = 650
/** Hosts that wait for the same lease try one after the other, spread over this many steps. */
const takeoverStepCount = 8
/** Longer than a write and its way through the change feed, so that hosts of later steps see the takeover. */
const takeoverStepMs = 50
/** Further delay of hosts with less processor time than the largest; longer than all steps together. */
const smallHostDelayMs = 450
/** A host that released the lease does not take it again for this time, so that another host does. */
const abstainMs = 6000

export interface LeadershipOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly store: RowStore
  readonly directory: Directory
  /** Unique for each start of the process. */
  readonly processId: string
  /** Address at which other hosts reach this one. */
  readonly peerAddress: string
  /** Position of this host among those that wait for the same lease: from 0 (first) to 1 (last). */
  readonly takeoverOffset: number
  /** The longest hold time that targets accept in a grant. */
  readonly maxHoldMs: number
  /** Whether no known host has more processor time; the others wait longer before a takeover. */
  readonly hasLargestCapacity: () => boolean
}

/** A term in which this host leads, and what bounds the grants that earlier leaders sent. */
export interface Tenure {
  readonly term: number
  /**
   * How the previous leader ended. `none`: there was none. `released`: it gave its lease up, and its last
   * grants have the normal hold time at most. `lapsed`: any other
   * end; its last grants may have the longest hold time.
   */
  readonly predecessor: 'none' | 'released' | 'lapsed'
  readonly startedAtMs: number
  /**
   * By this time, all grants of earlier eras of the store have certainly lapsed, also those of decisions that
   * an older copy lacks.
   */
  readonly earlierErasLapseAtMs: number
}

/**
 * Only a leader that gave its lease up in the present era and reports no grants of the longest hold time is
 * known to have left only grants of the normal one.
 */
const predecessorOf = (record: LeaderRecord | undefined, era: number): Tenure['predecessor'] => {
  if (record === undefined) return 'none'
  return record.released && !record.hasLongGrants && record.era === era ? 'released' : 'lapsed'
}

export class Leadership {
  readonly #options: LeadershipOptions
  readonly #observed: ObservedLease
  #lease: HeldLease | undefined
  /** The era in which the lease was last renewed. */
  #leaseEra = 0
  /** The lease of this tenure in the era before, as it was last renewed there. */
  #earlierLease: HeldLease | undefined
  #tenure: Tenure | undefined
  /** Version and content of the leader row, as this host last wrote or read it while it leads. */
  #rowVersion = 0
  #record: LeaderRecord | undefined
  #lastRenewalMs = 0
  #retryAtMs = 0
  #abstainUntilMs = 0
  #stopped = false
  #releaseRequested: string | undefined
  /** By this time, all grants of the longest hold time that were recorded have certainly lapsed. */
  #longGrantsLapseAtMs = -Infinity
  /** The check that is in progress, or the last one. */
  #lastCheck: Promise<void> | undefined
  #renewals = 0
  /** Writes in a row that failed. */
  #writeFailures = 0
  /** The era of the store that this host last saw, and when it first saw it. */
  #era: { readonly number: number; readonly seenAtMs: number } | undefined
  /** Whether the store came back from an older copy while this process ran. */
  #hasSeenReturn = false

  constructor(options: LeadershipOptions) {
    this.#options = options
    this.#observed = new ObservedLease(leaseTimes, options.clock.monotonicMs())
  }

  /** Undefined while this host may not act as the leader; a late renewal resumes the same tenure. */
  get tenure(): Tenure | undefined {
    return this.#remainingMs() > 0 ? this.#tenure : undefined
  }

  /** The term that this host took and has neither given up nor lost; its lease may have ended. */
  get term(): number | undefined {
    return this.#tenure?.term
  }

  /**
   * Whether a leader is known: this host has taken the lease and neither given it up nor lost it, or the
   * lease that it last saw may not be taken over yet.
   */
  get hasCurrentLeader(): boolean {
    return this.#lease !== undefined || this.#takeoverWaitMs() > 0
  }

  /**
   * Whether the store may have come back from an older copy, before this process started or while it ran, so
   * that a row which is absent may be a lost one. A process that starts later sees it by the era alone.
   */
  get mayLackRows(): boolean {
    return this.#hasSeenReturn || this.#options.directory.routerStateEra > firstEra
  }

  /**
   * Whether this host's lease is written in the present era of the store. Until then, it only carries on with
   * what it has decided: another host may get the lease of this era.
   */
  get isOfPresentEra(): boolean {
    return eraOf(this.#rowVersion) === this.#options.directory.routerStateEra
  }

  /** Time for which this host may still act under the term; 0 when it does not lead in it. */
  remainingMs(term: number): number {
    return this.#tenure?.term === term ? this.#remainingMs() : 0
  }

  /**
   * Time for which this host may still send grants of an assignment that is not stored in the present era. A host
   * that knows only an older one waits until grants under the lease of the earlier era have lapsed, and not for
   * later ones.
   */
  unstoredRemainingMs(term: number): number {
    const remainingMs = this.remainingMs(term)
    if (this.#earlierLease === undefined) return remainingMs
    if (this.#leaseEra !== this.#options.directory.routerStateEra) return remainingMs
    return Math.max(0, Math.min(remainingMs, this.#earlierLease.remainingMs(this.#reading())))
  }

  async run(): Promise<void> {
    const { clock } = this.#options
    while (!this.#stopped) {
      this.#observe()
      this.#lastCheck = this.#lease === undefined ? this.#tryTakeover() : this.#keepLease()
      await this.#lastCheck
      await clock.sleep(checkIntervalMs)
    }
  }

  /**
   * Records that a grant of the longest hold time is about to be sent, or that an
   * earlier leader may have sent some until now.
   */
  recordLongGrants(): void {
    this.#longGrantsLapseAtMs = latestLapseAtMs(
      this.#options.clock.monotonicMs() + grantTimeoutMs,
      this.#options.maxHoldMs,
    )
  }

  /** Makes this host give its lease up at the next check, so that another host takes over. */
  requestRelease(reason: string): void {
    this.#releaseRequested = reason
  }

  /** Gives the lease up; no grants may be sent after this call. */
  async stop(): Promise<void> {
    this.#stopped = true
    // A write in progress may still take or renew the lease, and the release is conditional on the version
    // that it leaves.
    await this.#lastCheck
    if (this.#lease !== undefined) await this.#release('stopping')
  }

  #observe(): void {
    const { clock, directory } = this.#options
    const { leader, routerStateEra, isRouterStateKnown } = directory
    if (leader !== undefined) this.#observed.observe(leader.record, clock.monotonicMs())
    if (!isRouterStateKnown || this.#era?.number === routerStateEra) return
    this.#hasSeenReturn = this.#era !== undefined
    this.#era = { number: routerStateEra, seenAtMs: clock.monotonicMs() }
  }

  /** Time until this host may take the lease over; 0 when it may now. */
  #takeoverWaitMs(): number {
    const { clock, directory } = this.#options
    const nowMs = clock.monotonicMs()
    const stored = directory.storedLeader
    const isOfPresentEra =
      stored === undefined ? !this.mayLackRows : stored.record.era === directory.routerStateEra
    // A record of an earlier era may have been followed by others, which are lost; also one that says that
    // the lease was released.
    const { leaseMs, marginMs } = leaseTimes
    const eraWaitMs = isOfPresentEra ? 0 : (this.#era?.seenAtMs ?? nowMs) + leaseMs + marginMs - nowMs
    return Math.max(0, eraWaitMs, this.#observed.waitMs(nowMs))
  }

  async #tryTakeover(): Promise<void> {
    const { clock, directory, processId, peerAddress, takeoverOffset, hasLargestCapacity, maxHoldMs } =
      this.#options
    if (!directory.isRouterStateKnown || clock.monotonicMs() < this.#abstainUntilMs) return
    if (this.#takeoverWaitMs() > 0) return
    const seen = directory.leader
    const era = directory.routerStateEra
    const offsetMs = Math.floor(takeoverOffset * takeoverStepCount) * takeoverStepMs
    await clock.sleep(offsetMs + (hasLargestCapacity() ? 0 : smallHostDelayMs))
    if (directory.leader !== seen || directory.routerStateEra !== era || this.#stopped) return
    const record: LeaderRecord = {
      leader: processId,
      peerAddress,
      term: (seen?.record.term ?? 0) + 1,
      renewal: this.#nextRenewal(),
      released: false,
      hasLongGrants: false,
      era,
    }
    const sentAt = this.#reading()
    if (!(await this.#write(record, this.#storedVersion(era)))) return
    this.#lease = new HeldLease(leaseTimes, sentAt)
    this.#leaseEra = era
    this.#lastRenewalMs = sentAt.monotonicMs
    const predecessor = predecessorOf(seen?.record, era)
    if (predecessor === 'lapsed') this.recordLongGrants()
    // A leader of the earlier era may have sent grants until its lease ended.
    const lastGrantEndedAtMs =
      (this.#era?.seenAtMs ?? clock.monotonicMs()) + leaseTimes.leaseMs + grantTimeoutMs
    this.#tenure = {
      term: record.term,
      predecessor,
      startedAtMs: clock.monotonicMs(),
      earlierErasLapseAtMs: latestLapseAtMs(lastGrantEndedAtMs, maxHoldMs),
    }
    this.#options.logger.info('leader.elected', { ...this.#tenure, rowVersion: this.#rowVersion })
  }

  async #keepLease(): Promise<void> {
    const { clock, directory } = this.#options
    const successor = this.#successor(directory.storedLeader)
    if (successor !== undefined) {
      this.#endTenure('another host leads', successor)
      return
    }
    if (this.#remainingMs() <= 0) {
      this.#endTenure('lease ended')
      return
    }
    if (this.#releaseRequested !== undefined) {
      await this.#release(this.#releaseRequested)
      return
    }
    const nowMs = clock.monotonicMs()
    const isDue = !this.isOfPresentEra || nowMs - this.#lastRenewalMs >= renewalIntervalMs
    if (this.#record === undefined || nowMs < this.#retryAtMs || !isDue) return
    const sentAt = this.#reading()
    const era = directory.routerStateEra
    const record = { ...this.#record, renewal: this.#nextRenewal(), era }
    const version = this.isOfPresentEra ? this.#rowVersion : this.#storedVersion(era)
    if (await this.#write(record, version)) {
      const endedMs = -(this.#lease?.remainingMs(this.#reading()) ?? 0)
      if (endedMs > 0) this.#options.logger.info('leader.renewed_late', { term: record.term, endedMs })
      if (era === this.#leaseEra) this.#lease?.recordRenewal(sentAt)
      else this.#beginLeaseOf(era, sentAt)
      this.#lastRenewalMs = sentAt.monotonicMs
    } else {
      this.#retryAtMs = clock.monotonicMs() + retryPauseMs
    }
  }

  /** The renewal, and not the version of the row, counts: an earlier write may have taken effect unnoticed. */
  #beginLeaseOf(era: number, sentAt: ClockReading): void {
    this.#earlierLease = this.#lease
    this.#lease = new HeldLease(leaseTimes, sentAt)
    this.#leaseEra = era
  }

  /** The version of the row `leader` in this era, as a condition for its next write. */
  #storedVersion(era: number): number {
    return this.#options.directory.storedLeader?.version ?? absentIn(era)
  }

  /**
   * The host that has taken the lease from this one. In an older copy of the store, the row says nothing of
   * the present era.
   */
  #successor(stored: KnownLeader | undefined): string | undefined {
    if (stored === undefined || stored.version <= this.#rowVersion) return undefined
    const isOlderCopy = !this.isOfPresentEra && stored.record.era !== this.#options.directory.routerStateEra
    return stored.record.leader === this.#options.processId || isOlderCopy ? undefined : stored.record.leader
  }

  async #release(reason: string): Promise<void> {
    const record = this.#record
    this.#endTenure(reason)
    this.#abstainUntilMs = this.#options.clock.monotonicMs() + abstainMs
    this.#releaseRequested = undefined
    if (record === undefined) return
    // Tells the next leader that the grants which it has to wait for may have the longest hold time.
    const hasLongGrants = this.#options.clock.monotonicMs() < this.#longGrantsLapseAtMs
    const renewal = this.#nextRenewal()
    await this.#write({ ...record, renewal, released: true, hasLongGrants }, this.#rowVersion)
  }

  #endTenure(reason: string, successor?: string): void {
    this.#options.logger.info('leader.lost', { term: this.#tenure?.term, reason, successor })
    this.#lease = undefined
    this.#earlierLease = undefined
    this.#tenure = undefined
    this.#record = undefined
  }

  /**
   * Resolves to true when this very write took effect. The row is read after an error, because a write whose
   * response was lost may have taken effect; not after `unavailable`, as then nothing was written.
   */
  async #write(record: LeaderRecord, version: number): Promise<boolean> {
    const { store, directory, logger, processId } = this.#options
    const value = encodeLeader(record)
    const row = { table: storeTables.routerState, key: routerStateKeys.leader }
    const result = await store.commit(
      { conditions: [{ ...row, version }], writes: [{ ...row, value }] },
      { timeoutMs: storeTimeoutMs },
    )
    if (result.isOk) {
      this.#writeFailures = 0
      this.#rowVersion = result.value
      this.#record = record
      directory.applyRouterStateRow({ key: row.key, value, version: result.value })
      return true
    }
    this.#writeFailures += 1
    // While the store is away, a line for each attempt of each host would hide the others.
    if (Number.isInteger(Math.log2(this.#writeFailures))) {
      const { term, renewal, era } = record
      const failures = this.#writeFailures
      logger.warn('leader.write_failed', { term, renewal, era, failures, ...result.error })
    }
    if (result.error.code === 'unavailable') return false
    const read = await store.snapshot(storeTables.routerState, { timeoutMs: storeTimeoutMs })
    const current = read.isOk ? read.value.rows.find(({ key }) => key === routerStateKeys.leader) : undefined
    if (current === undefined) return false
    directory.applyRouterStateRow(current)
    const seen = directory.storedLeader
    if (seen === undefined) return false
    this.#observe()
    if (seen.record.leader !== processId || seen.record.era !== directory.routerStateEra) return false
    const isWritten = seen.record.renewal === record.renewal
    // Another attempt of this host wrote the row. A host that holds the lease makes its next renewal
    // conditional on that version; one that does not hold it may not take that attempt for its takeover.
    if (!isWritten && this.#lease === undefined) return false
    this.#rowVersion = seen.version
    this.#record = seen.record
    return isWritten
  }

  /**
   * A new number for each attempt, so that the stored row tells which attempt wrote it: the lease counts from
   * when that attempt was sent, not from when another one was.
   */
  #nextRenewal(): number {
    this.#renewals += 1
    return this.#renewals
  }

  #remainingMs(): number {
    return this.#lease === undefined ? 0 : Math.max(0, this.#lease.remainingMs(this.#reading()))
  }

  #reading(): ClockReading {
    const { clock } = this.#options
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() }
  }
}
