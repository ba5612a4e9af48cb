/**
 * Records of idempotency keys: one table row for each key, so that a non-idempotent request runs at most
 * once. Of several attempts, exactly one inserts the row and may run; a resend is answered according to the
 * state of the row that it finds. When the outcome of an attempt could not be stored, its row stays
 * `started`, and as long as the row has not expired no resend runs the request again.
 */
import { randomUUID } from 'node:crypto'
import { Result } from 'true-myth'
import { SilentLogger, SystemClock, type Cancel, type Clock, type Logger } from '@pimentotally/core'
import { GroupWriter, type GroupWriterOptions } from './group-writer.js'
import { RequestRow, RequestState, requestRowPrefix, type StoredResponse } from './request-row.js'
import type { PlatformResult } from './result.js'
import type { Row, TableService } from './table.js'

export interface RequestLedgerOptions extends Omit<GroupWriterOptions, 'clock'> {
  readonly hostId: string
  /** Whether another host, one that started an attempt, is known to be still running. */
  readonly isHostAlive: (hostId: string) => boolean
  readonly clock?: Clock
  readonly logger?: Logger
  /** Time from the start, and again from the outcome, of an attempt until its row expires. */
  readonly retentionMs?: number
  /** The body of a larger response is not stored. */
  readonly maxBodyBytes?: number
  /** Outcomes that may wait to be stored; beyond that the oldest is discarded and its row stays `started`. */
  readonly queueLimit?: number
  readonly retryIntervalMs?: number
}

export interface RequestAttempt {
  readonly service: string
  readonly key: string
  /** Hash of the parts of the request that must be the same in a resend. */
  readonly requestHash: string
}

export type BeginResult =
  | { readonly kind: 'started'; readonly attemptId: string }
  /** `body` is absent when the response was too large to store. */
  | ({ readonly kind: 'done' } & StoredResponse)
  | { readonly kind: 'inProgress' }
  /** An attempt that is not known to be still running left no outcome, or the row cannot be decoded. */
  | { readonly kind: 'unknownOutcome' }
  /** The key was used before with a different `requestHash`. */
  | { readonly kind: 'keyReused' }
  | { readonly kind: 'unavailable'; readonly message: string }

export interface SweepResult {
  readonly scanned: number
  readonly deleted: number
  /** True when the scan reached the last row; the next sweep then starts at the first one again. */
  readonly complete: boolean
}

interface Active {
  readonly rowKey: string
  readonly requestHash: string
  /** Version of the row as this attempt last wrote or read it; 0 when it is absent. */
  version: number
}

/** An attempt that never ran, but whose row may exist or may still be inserted. */
interface Abandoned {
  readonly rowKey: string
  checksLeft: number
}

/** How many times an attempt tries to insert or take over the row before another counts as in progress. */
const maxClaimRounds = 5
/** How many times the row of an abandoned attempt is looked for, as its insert may take effect late. */
const abandonedChecks = 20

export class RequestLedger {
  readonly #table: TableService
  readonly #hostId: string
  readonly #isHostAlive: (hostId: string) => boolean
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #retentionMs: number
  readonly #maxBodyBytes: number
  readonly #queueLimit: number
  readonly #retryIntervalMs: number
  readonly #callTimeoutMs: number
  readonly #writer: GroupWriter
  /** The attempts of this host whose outcome is not stored yet, by attempt id. */
  readonly #active = new Map<string, Active>()
  /** Attempts answered with `unavailable`: they never ran, but their rows may exist. By attempt id. */
  readonly #abandoned = new Map<string, Abandoned>()
  /** Rows with outcomes that are still to be stored, by attempt id. */
  readonly #pendingOutcomes = new Map<string, RequestRow>()
  #cancelRetry: Cancel | undefined
  /** Row key after which the next sweep starts; undefined when it starts at the first row. */
  #sweepAfter: string | undefined
  #closed = false

  constructor({
    table,
    hostId,
    isHostAlive,
    clock = new SystemClock(),
    logger = new SilentLogger(),
    retentionMs = 24 * 3600 * 1000,
    maxBodyBytes = 4096,
    queueLimit = 10_000,
    retryIntervalMs = 500,
    callTimeoutMs = 500,
    ...writer
  }: RequestLedgerOptions) {
    this.#table = table
    this.#hostId = hostId
    this.#isHostAlive = isHostAlive
    this.#clock = clock
    this.#logger = logger
    this.#retentionMs = retentionMs
    this.#maxBodyBytes = maxBodyBytes
    this.#queueLimit = queueLimit
    this.#retryIntervalMs = retryIntervalMs
    this.#callTimeoutMs = callTimeoutMs
    this.#writer = new GroupWriter({ table, clock, callTimeoutMs, ...writer })
  }

  /** Number of outcomes that are still to be stored. */
  get pendingOutcomes(): number {
    return this.#pendingOutcomes.size
  }

  /**
   * Begins an attempt. The request may run only when the result is `started`; the attempt must then be ended
   * with `finish` or `markNotRun`. Never rejects.
   */
  async begin({ service, key, requestHash }: RequestAttempt): Promise<BeginResult> {
    const attemptId = randomUUID()
    const rowKey = RequestRow.key(service, key)
    const active: Active = { rowKey, requestHash, version: 0 }
    // Registered before the row is written, so that a resend that reads the row immediately afterwards sees
    // that the attempt is in progress.
    this.#active.set(attemptId, active)
    const result = await this.#claim(attemptId, active)
    if (result.kind !== 'started') this.#active.delete(attemptId)
    return result
  }

  /**
   * Stores the response. Resolves to `queued` when it could not be stored now and is retried, and to `lost`
   * when the attempt is not active or another attempt has changed the row.
   */
  finish(attemptId: string, response: StoredResponse): Promise<'stored' | 'queued' | 'lost'> {
    const { body, ...head } = response
    const kept = body !== undefined && body.length <= this.#maxBodyBytes ? { ...head, body } : head
    return this.#end(attemptId, RequestState.done, kept)
  }

  /** Only for a request that certainly did not run, as a resend may take the row over and run the request. */
  markNotRun(attemptId: string): Promise<'stored' | 'queued' | 'lost'> {
    return this.#end(attemptId, RequestState.notRun)
  }

  /** Deletes the expired rows among the next `limit` rows; repeated calls go through all rows. */
  async sweep({ limit = 500 }: { limit?: number } = {}): Promise<PlatformResult<SweepResult>> {
    const rows = await this.#table.scan(requestRowPrefix, {
      limit,
      timeoutMs: this.#callTimeoutMs,
      ...(this.#sweepAfter === undefined ? {} : { after: this.#sweepAfter }),
    })
    if (rows.isErr) return Result.err(rows.error)
    const expired = rows.value.filter((row) => this.#isExpired(RequestRow.decode(row.value)))
    let deleted = 0
    for (let index = 0; index < expired.length; index += 64) {
      deleted += await this.#delete(expired.slice(index, index + 64))
    }
    const complete = rows.value.length < limit
    this.#sweepAfter = complete ? undefined : rows.value.at(-1)?.key
    return Result.ok({ scanned: rows.value.length, deleted, complete })
  }

  /** Stops retrying. The number of outcomes not stored is logged, and their rows stay `started`. */
  close(): void {
    this.#closed = true
    this.#cancelRetry?.()
    if (this.#pendingOutcomes.size > 0) {
      this.#logger.warn('request outcomes not stored before shutdown were lost', {
        step: 'requestLedger.close',
        outcomes: this.#pendingOutcomes.size,
      })
    }
  }

  /** Inserts the row of the attempt, or takes over an existing one that allows it. */
  async #claim(attemptId: string, active: Active): Promise<BeginResult> {
    const { rowKey, requestHash } = active
    for (let round = 0; round < maxClaimRounds; round += 1) {
      const value = RequestRow.encode(this.#row(attemptId, active, RequestState.started))
      const written = await this.#writer.write({ key: rowKey, version: active.version, value })
      if (written.isOk) {
        active.version = written.value
        return { kind: 'started', attemptId }
      }
      if (written.error.code !== 'conflict') {
        if (written.error.code === 'unknown') this.#abandon(attemptId, rowKey)
        return { kind: 'unavailable', message: written.error.message }
      }
      const read = await this.#table.read(rowKey, { timeoutMs: this.#callTimeoutMs })
      if (read.isErr) return { kind: 'unavailable', message: read.error.message }
      const result = read.value === undefined ? undefined : this.#resultFromRow(read.value, requestHash)
      if (result !== undefined) return result
      active.version = read.value?.version ?? 0
    }
    // Other attempts changed the row in every round, so one of them is in progress.
    return { kind: 'inProgress' }
  }

  /** The result of a new attempt that finds this row; undefined when it may take the row over. */
  #resultFromRow({ value }: Row, requestHash: string): BeginResult | undefined {
    const row = RequestRow.decode(value)
    if (row === undefined) return { kind: 'unknownOutcome' }
    if (this.#isExpired(row)) return undefined
    if (row.requestHash !== requestHash) return { kind: 'keyReused' }
    if (row.state === RequestState.notRun || this.#abandoned.has(row.attemptId)) return undefined
    if (row.response !== undefined) return { kind: 'done', ...row.response }
    const running =
      row.hostId === this.#hostId ? this.#active.has(row.attemptId) : this.#isHostAlive(row.hostId)
    return { kind: running ? 'inProgress' : 'unknownOutcome' }
  }

  #isExpired(row: RequestRow | undefined): boolean {
    return row !== undefined && row.expiresAtMs <= this.#clock.wallMs()
  }

  #row(
    attemptId: string,
    { requestHash }: Active,
    state: RequestState,
    response?: StoredResponse,
  ): RequestRow {
    const expiresAtMs = this.#clock.wallMs() + this.#retentionMs
    return { state, attemptId, hostId: this.#hostId, requestHash, expiresAtMs, response }
  }

  async #end(
    attemptId: string,
    state: RequestState,
    response?: StoredResponse,
  ): Promise<'stored' | 'queued' | 'lost'> {
    const active = this.#active.get(attemptId)
    if (active === undefined) {
      this.#logger.error('outcome reported for an attempt that is not active', {
        step: 'requestLedger.end',
        attemptId,
        state,
      })
      return 'lost'
    }
    return this.#store(attemptId, active, this.#row(attemptId, active, state, response))
  }

  /** Writes the outcome, or queues it when the platform did not confirm the write. */
  async #store(attemptId: string, active: Active, row: RequestRow): Promise<'stored' | 'queued' | 'lost'> {
    const write = { key: active.rowKey, version: active.version, value: RequestRow.encode(row) }
    const written = await this.#writer.write(write)
    if (written.isErr && written.error.code !== 'conflict') {
      this.#enqueue(attemptId, row)
      return 'queued'
    }
    const stored = written.isOk || (await this.#hasValue(active.rowKey, write.value))
    if (stored === undefined) {
      this.#enqueue(attemptId, row)
      return 'queued'
    }
    this.#pendingOutcomes.delete(attemptId)
    this.#active.delete(attemptId)
    if (!stored) {
      this.#logger.error('outcome not stored: another attempt changed the idempotency row', {
        step: 'requestLedger.end',
        attemptId,
      })
    }
    return stored ? 'stored' : 'lost'
  }

  /**
   * Whether the row already has this value, because an earlier write took effect although its response was
   * lost. Undefined when the row cannot be read.
   */
  async #hasValue(rowKey: string, value: string): Promise<boolean | undefined> {
    const read = await this.#table.read(rowKey, { timeoutMs: this.#callTimeoutMs })
    return read.isErr ? undefined : read.value?.value === value
  }

  /** Remembers an attempt that will not run, so that its row can be marked as not run once it is found. */
  #abandon(attemptId: string, rowKey: string): void {
    this.#abandoned.set(attemptId, { rowKey, checksLeft: abandonedChecks })
    const [oldest] = this.#abandoned.keys()
    if (this.#abandoned.size > this.#queueLimit && oldest !== undefined) this.#abandoned.delete(oldest)
    this.#scheduleRetry()
  }

  #enqueue(attemptId: string, row: RequestRow): void {
    this.#pendingOutcomes.set(attemptId, row)
    const [oldest] = this.#pendingOutcomes.keys()
    if (this.#pendingOutcomes.size > this.#queueLimit && oldest !== undefined) {
      this.#pendingOutcomes.delete(oldest)
      this.#active.delete(oldest)
      this.#logger.warn('too many outcomes wait to be stored; oldest request outcome discarded', {
        step: 'requestLedger.end',
        attemptId: oldest,
      })
    }
    this.#scheduleRetry()
  }

  #scheduleRetry(): void {
    const waiting =
      this.#pendingOutcomes.size > 0 || [...this.#abandoned.values()].some(({ checksLeft }) => checksLeft > 0)
    if (this.#closed || !waiting) return
    this.#cancelRetry ??= this.#clock.schedule(this.#retryIntervalMs, () => {
      void this.#retry().finally(() => {
        this.#cancelRetry = undefined
        this.#scheduleRetry()
      })
    })
  }

  async #retry(): Promise<void> {
    const [first, ...rest] = [...this.#pendingOutcomes]
    // The first outcome is written alone as a probe, so that an outage costs one write in each interval.
    if (first !== undefined && !(await this.#retryOutcome(first))) return
    for (let index = 0; index < rest.length; index += 64) {
      const stored = await Promise.all(
        rest.slice(index, index + 64).map((entry) => this.#retryOutcome(entry)),
      )
      if (stored.includes(false)) return
    }
    for (const [attemptId, abandoned] of this.#abandoned) {
      if (abandoned.checksLeft > 0 && !(await this.#releaseAbandoned(attemptId, abandoned))) return
    }
  }

  /** Tries to store a queued outcome; false when it stays queued. */
  async #retryOutcome([attemptId, row]: [string, RequestRow]): Promise<boolean> {
    const active = this.#active.get(attemptId)
    return active === undefined || (await this.#store(attemptId, active, row)) !== 'queued'
  }

  /** Marks the row of an abandoned attempt, if there is one, as not run; false when a call failed. */
  async #releaseAbandoned(attemptId: string, abandoned: Abandoned): Promise<boolean> {
    const read = await this.#table.read(abandoned.rowKey, { timeoutMs: this.#callTimeoutMs })
    if (read.isErr) return false
    const row = read.value === undefined ? undefined : RequestRow.decode(read.value.value)
    if (read.value !== undefined && row?.attemptId === attemptId && row.state === RequestState.started) {
      const value = RequestRow.encode({ ...row, state: RequestState.notRun })
      const { key, version } = read.value
      const written = await this.#writer.write({ key, version, value })
      if (written.isErr && written.error.code !== 'conflict') return false
      abandoned.checksLeft = 0
    } else {
      // The insert may still take effect, so an absent row is looked for a limited number of times.
      abandoned.checksLeft -= 1
    }
    return true
  }

  /** Deletes the rows that are unchanged since they were read; returns how many were deleted. */
  async #delete(rows: readonly Row[]): Promise<number> {
    const result = await this.#table.transact(
      {
        writeId: randomUUID(),
        conditions: rows.map(({ key, version }) => ({ key, version })),
        puts: [],
        deletes: rows.map(({ key }) => key),
      },
      { timeoutMs: this.#callTimeoutMs },
    )
    if (result.isOk) return rows.length
    // A row that an attempt has taken over meanwhile is kept, and the deletion is repeated without it.
    const { error } = result
    const rest = error.code === 'conflict' ? rows.filter(({ key }) => key !== error.key) : []
    return rest.length > 0 && rest.length < rows.length ? this.#delete(rest) : 0
  }
}
