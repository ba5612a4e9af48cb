/**
 * Elects the one host that assigns keys, by a lease in the store's row `leader`. The leader renews it by
 * compare-and-set; any host takes it over when the row has not changed for the lease and a margin.
 */
import type { Clock, Logger } from '@pimentotally/core'
import {
  HeldLease,
  ObservedLease,
  lapseMs,
  type ClockReading,
  type LeaderRecord,
  type LeaseTimes,
} from '@pimentotally/assignment'
import { storeTables } from '@pimentotally/platform'
import type { RowStore } from '@pimentotally/storage'
import type { Directory } from './directory.js'
import { encodeLeader, ownKeys } from './own-rows.js'
import { grantTimeoutMs } from './target-grants.js'

/** Short enough that a lost leader is replaced before grants lapse; see `grantHoldMs`. */
export const leaseTimes: LeaseTimes = { leaseMs: 2000, marginMs: 250 }
/** Three renewals may fail within a lease. */
const renewEveryMs = 500
/** Adds little to the time of a takeover. */
const checkEveryMs = 100
/** Between two attempts to renew a lease while the store refuses. */
const retryPauseMs = 250
/** Several calls fit into a lease. */
const storeTimeoutMs = 650
/** Hosts try to take a lease over one after the other. */
const takeoverSteps = 8
/** A write and its way through the feed take less. */
const takeoverStepMs = 50
/** Long enough for all large hosts to take their turn. */
const smallHostDelayMs = 450
/** A host that gave the lease up leaves it to others for this time. */
const abstainMs = 6000

export interface LeadershipOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly store: RowStore
  readonly directory: Directory
  /** Unique for each start of the process. */
  readonly processId: string
  readonly peerAddress: string
  /** Offset among the hosts that wait for the same lease, from 0 to 1. */
  readonly turn: number
  /** Longest hold that targets accept. */
  readonly maxHoldMs: number
  /** Whether the host has the processor time of the largest one; the others leave the lease to it for a moment. */
  readonly isLarge: () => boolean
}

/** What the predecessor leaves open, for whoever moves keys next. */
export interface Tenure {
  readonly term: number
  /** `released`: it gave its lease up, and its last grants are bounded by their normal hold. */
  readonly predecessor: 'none' | 'released' | 'lapsed'
  readonly startedAtMs: number
}

/** Only a predecessor that gave its lease up, with no long grants left, is known to have sent just normal ones. */
const predecessorOf = (record: LeaderRecord | undefined): Tenure['predecessor'] => {
  if (record === undefined) return 'none'
  return record.released && !record.hasLongGrants ? 'released' : 'lapsed'
}

export class Leadership {
  readonly #options: LeadershipOptions
  readonly #observed: ObservedLease
  #lease: HeldLease | undefined
  #tenure: Tenure | undefined
  #rowVersion = 0
  #record: LeaderRecord | undefined
  #lastRenewalMs = 0
  #retryAtMs = 0
  #abstainUntilMs = 0
  #stopped = false
  #releaseRequested: string | undefined
  #longGrantsLapseAtMs = -Infinity
  #step: Promise<void> | undefined
  #renewals = 0

  constructor(options: LeadershipOptions) {
    this.#options = options
    this.#observed = new ObservedLease(leaseTimes, options.clock.monotonicMs())
  }

  /** Undefined while this host may not act as the leader; a late renewal brings the same tenure back. */
  get tenure(): Tenure | undefined {
    return this.#remainingMs() > 0 ? this.#tenure : undefined
  }

  /** The term that this host took and has not given up or lost; its lease may have ended. */
  get term(): number | undefined {
    return this.#tenure?.term
  }

  /** Whether a host is known to lead just now. */
  get isLed(): boolean {
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
      this.#step = this.#lease === undefined ? this.#candidate() : this.#lead()
      await this.#step
      await clock.sleep(checkEveryMs)
    }
  }

  /** Grants of the longest hold were sent now, or may have been by a predecessor. */
  noteLongGrants(): void {
    this.#longGrantsLapseAtMs = lapseMs(
      this.#options.clock.monotonicMs() + grantTimeoutMs,
      this.#options.maxHoldMs,
    )
  }

  /** Asks to give the lease up soon, so that another host takes over. */
  requestRelease(reason: string): void {
    this.#releaseRequested = reason
  }

  /** Gives the lease up; no grants may be sent after this call. */
  async stop(): Promise<void> {
    this.#stopped = true
    // A write under way may take the lease or renew it, and the release builds on the version that it leaves.
    await this.#step
    if (this.#lease !== undefined) await this.#release('stopping')
  }

  async #candidate(): Promise<void> {
    const { clock, directory, processId, peerAddress, turn, isLarge } = this.#options
    const nowMs = clock.monotonicMs()
    if (!directory.isOwnTableKnown || nowMs < this.#abstainUntilMs) return
    if (this.#observed.waitMs(nowMs) > 0) return
    const seen = directory.leader
    const turnMs = Math.floor(turn * takeoverSteps) * takeoverStepMs
    await clock.sleep(turnMs + (isLarge() ? 0 : smallHostDelayMs))
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
    if (predecessor === 'lapsed') this.noteLongGrants()
    this.#tenure = {
      term: record.term,
      predecessor,
      startedAtMs: clock.monotonicMs(),
    }
    this.#options.logger.info('leader.elected', { ...this.#tenure, rowVersion: this.#rowVersion })
  }

  async #lead(): Promise<void> {
    const { clock, directory, processId } = this.#options
    const seen = directory.leader
    if (seen !== undefined && seen.version > this.#rowVersion && seen.record.leader !== processId) {
      this.#lose('another host leads', seen.record.leader)
      return
    }
    if (this.#remainingMs() <= 0) {
      this.#lose('lease ended')
      return
    }
    if (this.#releaseRequested !== undefined) {
      await this.#release(this.#releaseRequested)
      return
    }
    const nowMs = clock.monotonicMs()
    if (this.#record === undefined || nowMs < this.#retryAtMs || nowMs - this.#lastRenewalMs < renewEveryMs)
      return
    const sentAt = this.#reading()
    const record = { ...this.#record, renewal: this.#nextRenewal() }
    if (await this.#write(record, this.#rowVersion)) {
      const endedMs = -(this.#lease?.remainingMs(this.#reading()) ?? 0)
      if (endedMs > 0) this.#options.logger.info('leader.renewed_late', { term: record.term, endedMs })
      this.#lease?.renewed(sentAt)
      this.#lastRenewalMs = sentAt.monotonicMs
    } else {
      this.#retryAtMs = clock.monotonicMs() + retryPauseMs
    }
  }

  async #release(reason: string): Promise<void> {
    const record = this.#record
    this.#lose(reason)
    this.#abstainUntilMs = this.#options.clock.monotonicMs() + abstainMs
    this.#releaseRequested = undefined
    if (record === undefined) return
    // The successor must not take these for grants of the normal hold.
    const hasLongGrants = this.#options.clock.monotonicMs() < this.#longGrantsLapseAtMs
    const renewal = this.#nextRenewal()
    await this.#write({ ...record, renewal, released: true, hasLongGrants }, this.#rowVersion)
  }

  #lose(reason: string, successor?: string): void {
    this.#options.logger.info('leader.lost', { term: this.#tenure?.term, reason, successor })
    this.#lease = undefined
    this.#tenure = undefined
    this.#record = undefined
  }

  /** After a lost response the row is read: it tells whether this very write took effect. */
  async #write(record: LeaderRecord, version: number): Promise<boolean> {
    const { store, directory, logger, processId, clock } = this.#options
    const value = encodeLeader(record)
    const row = { table: storeTables.own, key: ownKeys.leader }
    const result = await store.commit(
      { conditions: [{ ...row, version }], writes: [{ ...row, value }] },
      { timeoutMs: storeTimeoutMs },
    )
    if (result.isOk) {
      this.#rowVersion = result.value
      this.#record = record
      directory.applyOwnRow({ key: row.key, value, version: result.value })
      return true
    }
    logger.warn('leader.write_failed', { term: record.term, renewal: record.renewal, ...result.error })
    if (result.error.code === 'unavailable') return false
    const read = await store.snapshot(storeTables.own, { timeoutMs: storeTimeoutMs })
    const current = read.isOk ? read.value.rows.find(({ key }) => key === ownKeys.leader) : undefined
    if (current === undefined) return false
    directory.applyOwnRow(current)
    const seen = directory.leader
    if (seen === undefined) return false
    this.#observed.observe(seen.record, clock.monotonicMs())
    if (seen.record.leader !== processId) return false
    const isWritten = seen.record.renewal === record.renewal
    if (!isWritten && this.#lease === undefined) return false
    this.#rowVersion = seen.version
    this.#record = seen.record
    return isWritten
  }

  /** A new number for each attempt: a lease counts from when the write that is stored was sent, not an earlier one. */
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
