/**
 * The request ledger: one row for each idempotency key, so that a non-idempotent request runs at most once. Exactly
 * one attempt wins the insert of the row; what a resend gets depends on the state it finds. A row whose outcome could
 * not be stored stays `started`, which never leads to a second run.
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
  /** Whether another host that started an attempt is known to run still. */
  readonly isHostAlive: (hostId: string) => boolean
  readonly clock?: Clock
  readonly logger?: Logger
  readonly retentionMs?: number
  readonly maxBodyBytes?: number
  /** Outcomes that wait for the platform; beyond it the oldest is given up and its row stays `started`. */
  readonly queueLimit?: number
  readonly retryIntervalMs?: number
}

export interface RequestAttempt {
  readonly service: string
  readonly key: string
  /** Hash of everything that must be equal in a resend. */
  readonly requestHash: string
}

export type BeginResult =
  | { readonly kind: 'started'; readonly attemptId: string }
  /** `body` is absent when the response was too large to store. */
  | ({ readonly kind: 'done' } & StoredResponse)
  | { readonly kind: 'inProgress' }
  | { readonly kind: 'unknownOutcome' }
  | { readonly kind: 'keyReused' }
  | { readonly kind: 'unavailable'; readonly message: string }

export interface SweepResult {
  readonly scanned: number
  readonly deleted: number
  /** The scan reached the end of the rows; the next sweep starts over. */
  readonly complete: boolean
}

interface Active {
  readonly rowKey: string
  readonly requestHash: string
  version: number
}

interface Abandoned {
  readonly rowKey: string
  checksLeft: number
}

const maxRounds = 5
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
  /** Attempts of this host whose outcome is not stored yet. */
  readonly #active = new Map<string, Active>()
  /** Attempts reported as unavailable whose row may exist all the same; they never ran. */
  readonly #abandoned = new Map<string, Abandoned>()
  /** Outcomes that wait for the platform. */
  readonly #unstored = new Map<string, RequestRow>()
  #cancelRetry: Cancel | undefined
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

  /** Outcomes that wait for the platform. */
  get unstored(): number {
    return this.#unstored.size
  }

  /** Never rejects. Only `started` permits a run; the caller then ends it with `finish` or `markNotRun`. */
  async begin({ service, key, requestHash }: RequestAttempt): Promise<BeginResult> {
    const attemptId = randomUUID()
    const rowKey = RequestRow.key(service, key)
    const active: Active = { rowKey, requestHash, version: 0 }
    // Registered before the write, so that a resend that reads the row at once finds the attempt in progress.
    this.#active.set(attemptId, active)
    const result = await this.#claim(attemptId, active)
    if (result.kind !== 'started') this.#active.delete(attemptId)
    return result
  }

  /** Stores the response. `queued` when the platform does not take it now; it is then retried. */
  finish(attemptId: string, response: StoredResponse): Promise<'stored' | 'queued' | 'lost'> {
    const { body, ...head } = response
    const kept = body !== undefined && body.length <= this.#maxBodyBytes ? { ...head, body } : head
    return this.#end(attemptId, RequestState.done, kept)
  }

  /** Only for a request that certainly did not run: a resend then takes the row over. */
  markNotRun(attemptId: string): Promise<'stored' | 'queued' | 'lost'> {
    return this.#end(attemptId, RequestState.notRun)
  }

  /** Deletes expired rows of the next `limit` rows; repeated calls pass over all of them. */
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

  /** Ends the retries; outcomes not stored are logged, and their rows stay `started`. */
  close(): void {
    this.#closed = true
    this.#cancelRetry?.()
    if (this.#unstored.size > 0) {
      this.#logger.warn('request outcomes not stored at stop', {
        step: 'requestLedger.close',
        outcomes: this.#unstored.size,
      })
    }
  }

  async #claim(attemptId: string, active: Active): Promise<BeginResult> {
    const { rowKey, requestHash } = active
    for (let round = 0; round < maxRounds; round += 1) {
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
      const found = read.value === undefined ? undefined : this.#judge(read.value, requestHash)
      if (found !== undefined) return found
      active.version = read.value?.version ?? 0
    }
    // Other attempts changed the row in every round, so one of them is at work.
    return { kind: 'inProgress' }
  }

  /** What a present row means for a new attempt; undefined when the attempt may take it over. */
  #judge({ value }: Row, requestHash: string): BeginResult | undefined {
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
      this.#logger.error('outcome of an attempt that is not active', {
        step: 'requestLedger.end',
        attemptId,
        state,
      })
      return 'lost'
    }
    return this.#store(attemptId, active, this.#row(attemptId, active, state, response))
  }

  async #store(attemptId: string, active: Active, row: RequestRow): Promise<'stored' | 'queued' | 'lost'> {
    const write = { key: active.rowKey, version: active.version, value: RequestRow.encode(row) }
    const written = await this.#writer.write(write)
    if (written.isErr && written.error.code !== 'conflict') {
      this.#enqueue(attemptId, row)
      return 'queued'
    }
    const stored = written.isOk || (await this.#holds(active.rowKey, write.value))
    if (stored === undefined) {
      this.#enqueue(attemptId, row)
      return 'queued'
    }
    this.#unstored.delete(attemptId)
    this.#active.delete(attemptId)
    if (!stored) {
      this.#logger.error('idempotency row changed by another attempt', {
        step: 'requestLedger.end',
        attemptId,
      })
    }
    return stored ? 'stored' : 'lost'
  }

  /** Whether a row has this value, as after an earlier write whose response was lost; undefined when unreadable. */
  async #holds(rowKey: string, value: string): Promise<boolean | undefined> {
    const read = await this.#table.read(rowKey, { timeoutMs: this.#callTimeoutMs })
    return read.isErr ? undefined : read.value?.value === value
  }

  #abandon(attemptId: string, rowKey: string): void {
    this.#abandoned.set(attemptId, { rowKey, checksLeft: abandonedChecks })
    const [oldest] = this.#abandoned.keys()
    if (this.#abandoned.size > this.#queueLimit && oldest !== undefined) this.#abandoned.delete(oldest)
    this.#scheduleRetry()
  }

  #enqueue(attemptId: string, row: RequestRow): void {
    this.#unstored.set(attemptId, row)
    const [oldest] = this.#unstored.keys()
    if (this.#unstored.size > this.#queueLimit && oldest !== undefined) {
      this.#unstored.delete(oldest)
      this.#active.delete(oldest)
      this.#logger.warn('request outcome given up', { step: 'requestLedger.end', attemptId: oldest })
    }
    this.#scheduleRetry()
  }

  #scheduleRetry(): void {
    const waiting =
      this.#unstored.size > 0 || [...this.#abandoned.values()].some(({ checksLeft }) => checksLeft > 0)
    if (this.#closed || !waiting) return
    this.#cancelRetry ??= this.#clock.schedule(this.#retryIntervalMs, () => {
      void this.#retry().finally(() => {
        this.#cancelRetry = undefined
        this.#scheduleRetry()
      })
    })
  }

  async #retry(): Promise<void> {
    const [first, ...rest] = [...this.#unstored]
    // The first outcome tries out the platform, so that an outage costs one call in each interval.
    if (first !== undefined && !(await this.#restore(first))) return
    for (let index = 0; index < rest.length; index += 64) {
      const stored = await Promise.all(rest.slice(index, index + 64).map((entry) => this.#restore(entry)))
      if (stored.includes(false)) return
    }
    for (const [attemptId, abandoned] of this.#abandoned) {
      if (abandoned.checksLeft > 0 && !(await this.#releaseAbandoned(attemptId, abandoned))) return
    }
  }

  async #restore([attemptId, row]: [string, RequestRow]): Promise<boolean> {
    const active = this.#active.get(attemptId)
    return active === undefined || (await this.#store(attemptId, active, row)) !== 'queued'
  }

  /** Marks the row of an abandoned attempt as not run; false when the platform does not answer. */
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
      // The write may still be on its way, so an absent row is looked for several times.
      abandoned.checksLeft -= 1
    }
    return true
  }

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
    // A row taken over meanwhile stays; the others are tried without it.
    const { error } = result
    const rest = error.code === 'conflict' ? rows.filter(({ key }) => key !== error.key) : []
    return rest.length > 0 && rest.length < rows.length ? this.#delete(rest) : 0
  }
}
