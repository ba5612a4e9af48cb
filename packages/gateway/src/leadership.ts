/**
 * Leader election. The leader is the one host that assigns keys to targets. It holds a lease, which is the
 * row `leader` in the store, and renews it by compare-and-set. Any host may take the lease over when the row
 * has not changed for the length of a lease and a margin, or when the row says that it was released.
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
import type { RowStore } from '@pimentotally/storage'
import type { Directory } from './directory.js'
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
}

/**
 * Only a leader that gave its lease up and reports no grants of the longest hold time is known to have left
 * only grants of the normal one.
 */
const predecessorOf = (record: LeaderRecord | undefined): Tenure['predecessor'] => {
  if (record === undefined) return 'none'
  return record.released && !record.hasLongGrants ? 'released' : 'lapsed'
}

export class Leadership {
  readonly #options: LeadershipOptions
  readonly #observed: ObservedLease
  #lease: HeldLease | undefined
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
    return this.#lease !== undefined || this.#observed.waitMs(this.#options.clock.monotonicMs()) > 0
  }

  /** Time for which this host may still send grants under the term; 0 when it does not lead in it. */
  remainingMs(term: number): number {
    return this.#tenure?.term === term ? this.#remainingMs() : 0
  }

  async run(): Promise<void> {
    const { clock, directory } = this.#options
    while (!this.#stopped) {
      const seen = directory.leader
      if (seen !== undefined) this.#observed.observe(seen.record, clock.monotonicMs())
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

  async #tryTakeover(): Promise<void> {
    const { clock, directory, processId, peerAddress, takeoverOffset, hasLargestCapacity } = this.#options
    const nowMs = clock.monotonicMs()
    if (!directory.isRouterStateKnown || nowMs < this.#abstainUntilMs) return
    if (this.#observed.waitMs(nowMs) > 0) return
    const seen = directory.leader
    const offsetMs = Math.floor(takeoverOffset * takeoverStepCount) * takeoverStepMs
    await clock.sleep(offsetMs + (hasLargestCapacity() ? 0 : smallHostDelayMs))
    if (directory.leader !== seen || this.#stopped) return
    const record: LeaderRecord = {
      leader: processId,
      peerAddress,
      term: (seen?.record.term ?? 0) + 1,
      renewal: this.#nextRenewal(),
      released: false,
      hasLongGrants: false,
    }
    const sentAt = this.#reading()
    if (!(await this.#write(record, seen?.version ?? 0))) return
    this.#lease = new HeldLease(leaseTimes, sentAt)
    this.#lastRenewalMs = sentAt.monotonicMs
    const predecessor = predecessorOf(seen?.record)
    if (predecessor === 'lapsed') this.recordLongGrants()
    this.#tenure = {
      term: record.term,
      predecessor,
      startedAtMs: clock.monotonicMs(),
    }
    this.#options.logger.info('leader.elected', { ...this.#tenure, rowVersion: this.#rowVersion })
  }

  async #keepLease(): Promise<void> {
    const { clock, directory, processId } = this.#options
    const seen = directory.leader
    if (seen !== undefined && seen.version > this.#rowVersion && seen.record.leader !== processId) {
      this.#endTenure('another host leads', seen.record.leader)
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
    if (
      this.#record === undefined ||
      nowMs < this.#retryAtMs ||
      nowMs - this.#lastRenewalMs < renewalIntervalMs
    )
      return
    const sentAt = this.#reading()
    const record = { ...this.#record, renewal: this.#nextRenewal() }
    if (await this.#write(record, this.#rowVersion)) {
      const endedMs = -(this.#lease?.remainingMs(this.#reading()) ?? 0)
      if (endedMs > 0) this.#options.logger.info('leader.renewed_late', { term: record.term, endedMs })
      this.#lease?.recordRenewal(sentAt)
      this.#lastRenewalMs = sentAt.monotonicMs
    } else {
      this.#retryAtMs = clock.monotonicMs() + retryPauseMs
    }
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
    this.#tenure = undefined
    this.#record = undefined
  }

  /**
   * Resolves to true when this very write took effect. The row is read after an error, because a write whose
   * response was lost may have taken effect; not after `unavailable`, as then nothing was written.
   */
  async #write(record: LeaderRecord, version: number): Promise<boolean> {
    const { store, directory, logger, processId, clock } = this.#options
    const value = encodeLeader(record)
    const row = { table: storeTables.routerState, key: routerStateKeys.leader }
    const result = await store.commit(
      { conditions: [{ ...row, version }], writes: [{ ...row, value }] },
      { timeoutMs: storeTimeoutMs },
    )
    if (result.isOk) {
      this.#rowVersion = result.value
      this.#record = record
      directory.applyRouterStateRow({ key: row.key, value, version: result.value })
      return true
    }
    logger.warn('leader.write_failed', { term: record.term, renewal: record.renewal, ...result.error })
    if (result.error.code === 'unavailable') return false
    const read = await store.snapshot(storeTables.routerState, { timeoutMs: storeTimeoutMs })
    const current = read.isOk ? read.value.rows.find(({ key }) => key === routerStateKeys.leader) : undefined
    if (current === undefined) return false
    directory.applyRouterStateRow(current)
    const seen = directory.leader
    if (seen === undefined) return false
    this.#observed.observe(seen.record, clock.monotonicMs())
    if (seen.record.leader !== processId) return false
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
