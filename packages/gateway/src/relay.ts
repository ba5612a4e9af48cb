/**
 * Lets few hosts read the store for all: a host follows another one that comes before it (see `feedSources`), and reads
 * the store itself when none of them answers or their copies are old. An answer says how old its copy is, so that age adds
 * up over several hosts and stays bounded. Reads that decisions depend on, and all writes, go to the store in any case.
 */
import { promisify } from 'node:util'
import { gunzip, gzipSync } from 'node:zlib'
import { Result } from 'true-myth'
import type { Clock, Logger } from '@pimentotally/core'
import { HttpCaller, type HttpResponse } from '@pimentotally/http'
import {
  RowStore,
  type RowTransaction,
  type StoreCallOptions,
  type StoreResult,
  type TableChanges,
  type TableSnapshot,
  presentRows,
} from '@pimentotally/storage'
import type { ChangeLog } from './change-log.js'
import type { PeerAnswer } from './peer-server.js'
import type { Replica } from './replica.js'

export const relayPath = '/changes'
/** How long ago the store confirmed the copy, in milliseconds. */
const ageHeader = 'x-age-ms'
/** Keeps every byte, and text remains text, which compresses well. */
const valueEncoding = 'latin1'
/** The fastest one; the rows are much alike. */
const compressionLevel = 1
/** Smaller answers are not worth the processor time. */
const compressFromBytes = 2048
const unzip = promisify(gunzip)
/** Beyond the time between two confirmations by the store, so that each is passed on once. */
const confirmationSlackMs = 200
/** Beyond the wait, for a busy host. */
const relayTimeoutMs = 250
/** After a failed call the host is not asked again for this time, doubled with each failure. */
const firstPauseMs = 1500
/** A host that is back is found within this time. */
const maxPauseMs = 12_000

/** What a host needs to serve one table. */
export interface RelayedTable {
  readonly log: ChangeLog
  readonly replica: Replica
  /** A copy that was not confirmed for this long is not passed on. */
  readonly maxAgeMs: number
  /** The last compressed answer, as many followers ask for the same changes. */
  packed?: PackedAnswer
}

interface PackedAnswer {
  readonly after: number
  readonly version: number
  readonly body: string | Buffer
}

interface RelayedRows {
  readonly rows: readonly { readonly key: string; readonly version: number; readonly value?: string }[]
  readonly version: number
  readonly isWhole: boolean
}

/** Answers a follower's call. */
export const answerRelay = async (
  table: RelayedTable,
  query: URLSearchParams,
  clock: Clock,
): Promise<PeerAnswer> => {
  const { log, replica, maxAgeMs } = table
  const after = Number(query.get('after'))
  if (!Number.isSafeInteger(after)) return { status: 400 }
  const ageMs = (): number => replica.ageMs() ?? Infinity
  const isCurrent = (): boolean => !replica.isFailing && ageMs() <= maxAgeMs
  if (!isCurrent()) return { status: 503 }
  // No longer than the copy stays current, if it is not confirmed any more.
  const waitMs = Math.min(maxAgeMs - ageMs() + 1, Number(query.get('waitMs')) || 0)
  if (log.since(after)?.length === 0 && waitMs > 0) {
    await new Promise<void>((resolve) => {
      const stops: (() => void)[] = []
      const end = (): void => {
        for (const stop of stops) stop()
        resolve()
      }
      // A confirmation is an answer as well: a copy that was just confirmed stays current at its followers for longest.
      stops.push(log.onChange(end), log.onConfirmed(end), clock.schedule(waitMs, end))
    })
  }
  if (!isCurrent()) return { status: 503 }
  const body = pack(table, after)
  const encoding: Record<string, string> = typeof body === 'string' ? {} : { 'content-encoding': 'gzip' }
  return { status: 200, headers: { ...encoding, [ageHeader]: String(Math.ceil(ageMs())) }, body }
}

/** Compressed, as a configuration of a thousand routes would fill the link of a small host for seconds. */
const pack = (table: RelayedTable, after: number): string | Buffer => {
  const { log, packed } = table
  if (packed?.after === after && packed.version === log.version) return packed.body
  const changes = log.since(after)
  const rows: RelayedRows['rows'] = (changes ?? log.rows()).map((row) =>
    'deleted' in row
      ? { key: row.key, version: row.version }
      : { key: row.key, version: row.version, value: row.value.toString(valueEncoding) },
  )
  const answer: RelayedRows = {
    rows,
    version: changes === undefined ? log.version : Math.max(after, log.version),
    isWhole: changes === undefined,
  }
  const text = JSON.stringify(answer)
  const body = text.length < compressFromBytes ? text : gzipSync(text, { level: compressionLevel })
  table.packed = { after, version: log.version, body }
  return body
}

const decode = async ({ headers, body }: HttpResponse): Promise<TableChanges | undefined> => {
  try {
    const text = headers['content-encoding'] === 'gzip' ? await unzip(body) : body
    const { rows, version, isWhole } = JSON.parse(text.toString('utf8')) as RelayedRows
    return {
      version,
      isWhole,
      ageMs: Number(headers[ageHeader]),
      rows: rows.map(({ key, version: rowVersion, value }) =>
        value === undefined
          ? { key, version: rowVersion, deleted: true }
          : { key, version: rowVersion, value: Buffer.from(value, valueEncoding) },
      ),
    }
  } catch {
    return undefined
  }
}

export interface RelayedStoreOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly logger: Logger
  /** Hosts that may be followed, in the order in which they are asked. */
  readonly sources: () => readonly string[]
  /** Longest time between two confirmations of a copy by the store. */
  readonly confirmedEveryMs: number
  /** Pause between two direct reads of a table that changes all the time. */
  readonly pollIntervalMs: Readonly<Record<string, number>>
}

/** A version below all others. */
const nothingKnown = -1

interface Source {
  failures: number
  pausedUntilMs: number
}

export class RelayedStore extends RowStore {
  readonly #options: RelayedStoreOptions
  readonly #caller = new HttpCaller({ connections: 4 })
  readonly #sources = new Map<string, Source>()
  readonly #directAtMs = new Map<string, number>()
  /** The host that each table was last taken from. */
  readonly #followed = new Map<string, string>()

  constructor(options: RelayedStoreOptions) {
    super()
    this.#options = options
  }

  override async snapshot(table: string, options?: StoreCallOptions): Promise<StoreResult<TableSnapshot>> {
    const address = this.#source()
    const relayed = address === undefined ? undefined : await this.#followHost(address, table, nothingKnown)
    if (relayed?.isOk !== true || relayed.value.isWhole !== true) {
      return this.#options.store.snapshot(table, options)
    }
    const { rows, version, ageMs } = relayed.value
    return Result.ok({ rows: presentRows(rows), version, ...(ageMs === undefined ? {} : { ageMs }) })
  }

  override commit(transaction: RowTransaction, options?: StoreCallOptions): Promise<StoreResult<number>> {
    return this.#options.store.commit(transaction, options)
  }

  override async changes(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const address = this.#source()
    if (address === undefined) return this.#followStore(table, after, waitMs)
    const relayed = await this.#followHost(address, table, after)
    // The copy may be as old as it may get, so the store is asked at once, and without waiting for a change.
    return relayed ?? this.#options.store.changes(table, after, 0)
  }

  close(): void {
    this.#caller.close()
  }

  #source(): string | undefined {
    const nowMs = this.#options.clock.monotonicMs()
    return this.#options
      .sources()
      .find((address) => (this.#sources.get(address)?.pausedUntilMs ?? -Infinity) <= nowMs)
  }

  async #followHost(
    address: string,
    table: string,
    after: number,
  ): Promise<StoreResult<TableChanges> | undefined> {
    const { logger, confirmedEveryMs } = this.#options
    const relayWaitMs = confirmedEveryMs + confirmationSlackMs
    const query = new URLSearchParams({ table, after: String(after), waitMs: String(relayWaitMs) })
    const answer = await this.#caller.call({
      step: 'relay.changes',
      address,
      method: 'GET',
      path: `${relayPath}?${query.toString()}`,
      timeoutMs: relayWaitMs + relayTimeoutMs,
    })
    const changes = answer.isOk && answer.value.status === 200 ? await decode(answer.value) : undefined
    if (changes !== undefined) {
      if (this.#followed.get(table) !== address) logger.info('relay.used', { table, source: address })
      this.#followed.set(table, address)
      this.#sources.delete(address)
      return Result.ok(changes)
    }
    this.#followed.delete(table)
    const cause = answer.isErr ? answer.error.message : `status ${String(answer.value.status)}`
    logger.info('relay.lost', { table, source: address, cause, pauseMs: this.#pause(address) })
    return undefined
  }

  /** Calls for several tables may fail together, which counts once. */
  #pause(address: string): number {
    const nowMs = this.#options.clock.monotonicMs()
    const { failures, pausedUntilMs } = this.#sources.get(address) ?? { failures: 0, pausedUntilMs: nowMs }
    if (pausedUntilMs > nowMs) return pausedUntilMs - nowMs
    const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** failures)
    this.#sources.set(address, { failures: failures + 1, pausedUntilMs: nowMs + pauseMs })
    return pauseMs
  }

  async #followStore(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const { store, clock, pollIntervalMs } = this.#options
    const intervalMs = pollIntervalMs[table] ?? 0
    const dueMs = (this.#directAtMs.get(table) ?? -Infinity) + intervalMs - clock.monotonicMs()
    if (dueMs > 0) await clock.sleep(dueMs)
    this.#directAtMs.set(table, clock.monotonicMs())
    return store.changes(table, after, intervalMs > 0 ? 0 : waitMs)
  }
}
