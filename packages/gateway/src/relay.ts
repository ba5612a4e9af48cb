/**
 * Passes copies of the store's tables on from host to host, so that only few hosts read the store. A host
 * follows a host that comes before it (see `feedSources`), that is, takes changes from it, and reads the
 * store itself when none of the hosts before it responds or their copies are old. A response says how old its
 * copies are, so that the age adds up over several hosts and stays bounded. Reads that decisions depend on,
 * and all writes, always go to the store.
 */
import { promisify } from 'node:util'
import { gunzip, gzipSync } from 'node:zlib'
import { Result } from 'true-myth'
import type { Clock, Logger } from '@pimentotally/core'
import { HttpClient, type HttpResponse } from '@pimentotally/http'
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
import type { AskPeer } from './first-configuration.js'
import type { PeerResponse } from './peer-server.js'
import type { Replica } from './replica.js'

export const relayPath = '/changes'
/** Response header: how long ago the store confirmed that each copy was current, in milliseconds. */
const ageHeader = 'x-age-ms'
/** Far above the tables of the largest deployment; keeps a faulty peer from filling the memory. */
const maxRelayResponseBytes = 32 * 1024 * 1024
/**
 * A call waits this long for calls for other tables, to be sent with them; they
 * follow each other within a turn or two of the event loop.
 */
const batchWindowMs = 2
/**
 * Longest wait of a follower's call for this host's first read of the tables. A host that starts reads them,
 * through another host or from the store, in a part of this time.
 */
const firstReadWaitMs = 500
/**
 * A response waits this long for the other tables after the first one was confirmed or has changed, as all
 * are read together; without their confirmation, the followers' copies of them would grow old until the next
 * read.
 */
const confirmationSpreadMs = 15
/**
 * A read of the store waits until the next multiple of the confirmation interval at most. With less than this
 * share of the interval left until then, it waits for the multiple after that: timers end a little early or
 * late, and after one that ended early a second read would follow at once.
 */
const skippedReadShare = 0.05
/**
 * How row values are written into JSON: it keeps every byte, and text remains text, which compresses well.
 */
const valueEncoding = 'latin1'
/** The fastest level of gzip; it suffices, as the rows are much alike. */
const compressionLevel = 1
/** Smaller response bodies are not worth the processor time of compression. */
const minCompressedBytes = 2048
const unzip = promisify(gunzip)
/**
 * A call may wait this much longer than the time between two confirmations by the
 * store, so that each confirmation is passed on once.
 */
const confirmationWaitSlackMs = 200
/** The time-out of a call exceeds its wait by this, as the other host may be busy. */
const relayTimeoutSlackMs = 250
/** Time-out of a call to a host that this one does not follow; it answers at once if it has a current copy. */
const askTimeoutMs = firstReadWaitMs + relayTimeoutSlackMs
/** After a failed call the host is not called again for this time, doubled with each further failure. */
const firstPauseMs = 1500
/** Bounds the doubled pause, so that a host that is back is found within this time. */
const maxPauseMs = 12_000

/** What a host needs to pass one table on. */
export interface RelayedTable {
  readonly log: ChangeLog
  readonly replica: Replica
  /** A copy that was not confirmed for this long is not passed on. */
  readonly maxAgeMs: number
}

interface RelayedRows {
  /** A row without a value was deleted. */
  readonly rows: readonly { readonly key: string; readonly version: number; readonly value?: string }[]
  readonly version: number
  /** Whether these are all rows of the table, not only those that changed since the requested version. */
  readonly isWhole: boolean
}

type RelayedTables = Readonly<Record<string, RelayedRows>>

/** A table, and the version of it that the calling host has. */
type RequestedTable = readonly [name: string, after: number]

/** The query of a call: the wait, and one parameter for each table. */
const encodeRequest = (requested: Iterable<RequestedTable>, waitMs: number): URLSearchParams => {
  const query = new URLSearchParams({ waitMs: String(waitMs) })
  for (const [name, after] of requested) query.append('after', `${name}:${String(after)}`)
  return query
}

const decodeRequest = (query: URLSearchParams): RequestedTable[] =>
  query.getAll('after').map((text) => {
    const colon = text.lastIndexOf(':')
    return [text.slice(0, colon), Number(text.slice(colon + 1))]
  })

const encodeAges = (ages: Iterable<readonly [name: string, ageMs: number]>): string =>
  [...ages].map(([name, ageMs]) => `${name}=${String(Math.ceil(ageMs))}`).join(',')

const decodeAges = (text: string): Map<string, number> =>
  new Map(
    text.split(',').map((part) => {
      const equals = part.lastIndexOf('=')
      return [part.slice(0, equals), Number(part.slice(equals + 1))]
    }),
  )

interface ServedTable extends RelayedTable {
  readonly name: string
  readonly after: number
}

const ageOf = ({ replica }: RelayedTable): number => replica.ageMs() ?? Infinity

const isCurrent = (table: RelayedTable): boolean => !table.replica.isFailing && ageOf(table) <= table.maxAgeMs

/**
 * Responds to followers' calls, each for several tables. A response waits until a change that other hosts
 * need at once, or until the tables were confirmed, because a copy that was just confirmed stays current at
 * its followers for longest.
 */
export class Relay {
  readonly #tables: ReadonlyMap<string, RelayedTable>
  readonly #clock: Clock
  /** The last response body, as many followers ask for the same changes. */
  #lastBody: { readonly key: string; readonly body: string | Buffer } | undefined

  constructor(tables: ReadonlyMap<string, RelayedTable>, clock: Clock) {
    this.#tables = tables
    this.#clock = clock
  }

  async respond(query: URLSearchParams): Promise<PeerResponse> {
    const served: ServedTable[] = []
    for (const [name, after] of decodeRequest(query)) {
      const table = this.#tables.get(name)
      if (table === undefined) return { status: 404 }
      if (!Number.isSafeInteger(after)) return { status: 400 }
      served.push({ ...table, name, after })
    }
    if (served.length === 0) return { status: 400 }
    await this.#waitForFirstRead(served)
    if (!served.every(isCurrent)) return { status: 503 }
    if (!served.some(({ log, after }) => log.hasUrgentSince(after))) {
      await this.#waitForConfirmations(served, Number(query.get('waitMs')) || 0)
      if (!served.every(isCurrent)) return { status: 503 }
    }
    const body = this.#encodeBody(served)
    const encoding: Record<string, string> = typeof body === 'string' ? {} : { 'content-encoding': 'gzip' }
    const ages = encodeAges(served.map((table) => [table.name, ageOf(table)]))
    return { status: 200, headers: { ...encoding, [ageHeader]: ages }, body }
  }

  /** Waits until the tables were read once, so that hosts that start together need not all read the store. */
  #waitForFirstRead(served: readonly ServedTable[]): Promise<void> {
    const unreadTables = new Set(served.filter(({ replica }) => replica.ageMs() === undefined))
    if (unreadTables.size === 0) return Promise.resolve()
    return new Promise((resolve) => {
      const stops: (() => void)[] = []
      const end = (): void => {
        for (const stop of stops) stop()
        resolve()
      }
      for (const table of unreadTables) {
        const read = (): void => {
          unreadTables.delete(table)
          if (unreadTables.size === 0) end()
        }
        stops.push(table.log.onUrgentChange(read), table.log.onConfirmed(read))
      }
      stops.push(this.#clock.schedule(firstReadWaitMs, end))
    })
  }

  #waitForConfirmations(served: readonly ServedTable[], maxWaitMs: number): Promise<void> {
    // When the copies are not confirmed any more, the wait ends as soon as one of them is too old.
    const waitMs = Math.min(maxWaitMs, ...served.map((table) => table.maxAgeMs - ageOf(table) + 1))
    if (waitMs <= 0) return Promise.resolve()
    return new Promise((resolve) => {
      const stops: (() => void)[] = []
      const end = (): void => {
        for (const stop of stops) stop()
        resolve()
      }
      const unconfirmed = new Set(served)
      for (const table of served) {
        const confirmed = (): void => {
          if (unconfirmed.size === served.length) stops.push(this.#clock.schedule(confirmationSpreadMs, end))
          unconfirmed.delete(table)
          if (unconfirmed.size === 0) end()
        }
        stops.push(table.log.onUrgentChange(confirmed), table.log.onConfirmed(confirmed))
      }
      stops.push(this.#clock.schedule(waitMs, end))
    })
  }

  /**
   * Large bodies are compressed: a configuration of a thousand routes would fill a
   * small host's link for seconds.
   */
  #encodeBody(served: readonly ServedTable[]): string | Buffer {
    const key = served
      .map(({ name, after, log }) => `${name}:${String(after)}:${String(log.version)}`)
      .join(',')
    if (this.#lastBody?.key === key) return this.#lastBody.body
    const tables: RelayedTables = Object.fromEntries(served.map((table) => [table.name, relayedRows(table)]))
    const text = JSON.stringify(tables)
    const body = text.length < minCompressedBytes ? text : gzipSync(text, { level: compressionLevel })
    this.#lastBody = { key, body }
    return body
  }
}

const relayedRows = ({ log, after }: ServedTable): RelayedRows => {
  const changes = log.since(after)
  return {
    rows: (changes ?? log.rows()).map((row) =>
      'deleted' in row
        ? { key: row.key, version: row.version }
        : { key: row.key, version: row.version, value: row.value.toString(valueEncoding) },
    ),
    // A follower may know a later version than this host, from the store or another host, and then keeps it.
    version: changes === undefined ? log.version : Math.max(after, log.version),
    isWhole: changes === undefined,
  }
}

const decodeResponse = async ({
  headers,
  body,
}: HttpResponse): Promise<Map<string, TableChanges> | undefined> => {
  try {
    const text =
      headers['content-encoding'] === 'gzip'
        ? await unzip(body, { maxOutputLength: maxRelayResponseBytes })
        : body
    const tables = JSON.parse(text.toString('utf8')) as RelayedTables
    const ages = decodeAges(String(headers[ageHeader]))
    return new Map(
      Object.entries(tables).map(([name, { rows, version, isWhole }]) => [
        name,
        {
          version,
          isWhole,
          ageMs: ages.get(name) ?? Infinity,
          rows: rows.map(({ key, version: rowVersion, value }) =>
            value === undefined
              ? { key, version: rowVersion, deleted: true }
              : { key, version: rowVersion, value: Buffer.from(value, valueEncoding) },
          ),
        },
      ]),
    )
  } catch {
    return undefined
  }
}

export interface RelayedStoreOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly logger: Logger
  /** Addresses of hosts that may be followed, in the order in which they are tried. */
  readonly sources: () => readonly string[]
  /**
   * Time between two confirmations of a copy by the store. Tables are read together, as they are passed on
   * together.
   */
  readonly confirmationIntervalMs: number
  /** No call to another host waits for longer than until this host's copy of a table has this age. */
  readonly maxAgeMs: number
  /**
   * Whether a read of the store may wait for the next change of the table. A table that changes all the time
   * is read at intervals instead, as each such wait would end at once.
   */
  readonly mayLongPoll: (table: string) => boolean
  /** Completes a table that was read whole from the store by what other hosts have of it. */
  readonly complete?: (table: string, snapshot: TableSnapshot, ask: AskPeer) => Promise<TableSnapshot>
}

/** A version below all others: the host has no copy of the table. */
const nothingKnown = -1

/** A host whose last call failed. */
interface FailingSource {
  failures: number
  pausedUntilMs: number
}

/** Calls for several tables that are sent to one host as one call. */
interface Batch {
  readonly requested: Map<string, number>
  readonly responses: Promise<ReadonlyMap<string, TableChanges> | undefined>
}

export class RelayedStore extends RowStore {
  readonly #options: RelayedStoreOptions
  readonly #client = new HttpClient({ connections: 4, maxResponseBytes: maxRelayResponseBytes })
  readonly #failingSources = new Map<string, FailingSource>()
  /** By address of the host; a batch takes further tables until it is sent. */
  readonly #openBatches = new Map<string, Batch>()
  /** Address of the host that each table is taken from; no entry while it comes from the store. */
  readonly #sourceByTable = new Map<string, string>()
  /** By table: when the store confirmed this host's copy. */
  readonly #confirmedAtMs = new Map<string, number>()
  /** Tables whose next read of the store does not wait for the interval to end. */
  readonly #expedited = new Set<string>()
  /** By table: ends a wait for the next read of the store. */
  readonly #endWaitByTable = new Map<string, () => void>()

  constructor(options: RelayedStoreOptions) {
    super()
    this.#options = options
  }

  override async snapshot(table: string, options?: StoreCallOptions): Promise<StoreResult<TableSnapshot>> {
    const address = this.#nextSource()
    const relayed =
      address === undefined ? undefined : await this.#requestChanges(address, table, nothingKnown)
    if (relayed?.isWhole !== true) return this.#readWhole(table, options)
    const { rows, version, ageMs } = relayed
    return Result.ok({ rows: presentRows(rows), version, ...(ageMs === undefined ? {} : { ageMs }) })
  }

  async #readWhole(table: string, options?: StoreCallOptions): Promise<StoreResult<TableSnapshot>> {
    const { store, complete } = this.#options
    const read = await store.snapshot(table, options)
    if (read.isErr || complete === undefined) return read
    return Result.ok(await complete(table, read.value, (...asked) => this.#askOnce(...asked)))
  }

  /** Asks a host that this one does not follow for its copy of a table. */
  async #askOnce(address: string, table: string): Promise<TableChanges | undefined> {
    const response = await this.#client.call({
      step: 'relay.ask',
      address,
      method: 'GET',
      path: `${relayPath}?${encodeRequest(new Map([[table, nothingKnown]]), 0).toString()}`,
      timeoutMs: askTimeoutMs,
    })
    if (response.isErr || response.value.status !== 200) return undefined
    return (await decodeResponse(response.value))?.get(table)
  }

  override commit(transaction: RowTransaction, options?: StoreCallOptions): Promise<StoreResult<number>> {
    return this.#options.store.commit(transaction, options)
  }

  override async changes(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const address = this.#nextSource()
    if (address === undefined) return this.#readStore(table, after, waitMs)
    const relayed = await this.#requestChanges(address, table, after)
    if (relayed !== undefined) return Result.ok(relayed)
    // The copy may have reached its greatest age, so the store is read at once, without waiting for a change.
    return this.#readChanges(table, after, 0)
  }

  async #readChanges(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const read = await this.#options.store.changes(table, after, waitMs)
    if (read.isOk) this.#confirmedAtMs.set(table, this.#options.clock.monotonicMs())
    // Until a read succeeds, the copy only grows older, so that the next one must not wait either.
    else this.#expedited.add(table)
    return read
  }

  /** Time until one of the tables has its greatest age; Infinity for tables that were not read yet. */
  #untilOldMs(tables: Iterable<string>): number {
    const { clock, maxAgeMs } = this.#options
    const confirmedAtMs = Math.min(...[...tables].map((table) => this.#confirmedAtMs.get(table) ?? Infinity))
    return Math.max(0, confirmedAtMs + maxAgeMs - clock.monotonicMs())
  }

  /**
   * Called when this host has just changed the table: if this host reads the table from the store itself, the
   * next read does not wait for the interval to end.
   */
  expedite(table: string): void {
    this.#expedited.add(table)
    this.#endWaitByTable.get(table)?.()
  }

  close(): void {
    this.#client.close()
  }

  #nextSource(): string | undefined {
    const nowMs = this.#options.clock.monotonicMs()
    return this.#options
      .sources()
      .find((address) => (this.#failingSources.get(address)?.pausedUntilMs ?? -Infinity) <= nowMs)
  }

  /** Resolves to undefined when the host does not respond or its copies are old. */
  async #requestChanges(address: string, table: string, after: number): Promise<TableChanges | undefined> {
    let batch = this.#openBatches.get(address)
    if (batch === undefined || batch.requested.has(table)) {
      const requested = new Map<string, number>()
      const newBatch: Batch = {
        requested,
        responses: this.#options.clock.sleep(batchWindowMs).then(() => {
          if (this.#openBatches.get(address) === newBatch) this.#openBatches.delete(address)
          return this.#fetchFromHost(address, requested)
        }),
      }
      batch = newBatch
      this.#openBatches.set(address, batch)
    }
    batch.requested.set(table, after)
    return (await batch.responses)?.get(table)
  }

  async #fetchFromHost(
    address: string,
    requested: ReadonlyMap<string, number>,
  ): Promise<ReadonlyMap<string, TableChanges> | undefined> {
    const { logger, clock, confirmationIntervalMs } = this.#options
    // The other host may stop answering, and the store is only read after the time-out.
    const relayWaitMs = Math.floor(
      Math.min(confirmationIntervalMs + confirmationWaitSlackMs, this.#untilOldMs(requested.keys())),
    )
    const response = await this.#client.call({
      step: 'relay.changes',
      address,
      method: 'GET',
      path: `${relayPath}?${encodeRequest(requested, relayWaitMs).toString()}`,
      timeoutMs: relayWaitMs + relayTimeoutSlackMs,
    })
    const changes =
      response.isOk && response.value.status === 200 ? await decodeResponse(response.value) : undefined
    const tables = [...requested.keys()].join(',')
    if (changes !== undefined) {
      const isNew = [...requested.keys()].some((table) => this.#sourceByTable.get(table) !== address)
      if (isNew) logger.info('relay.used', { tables, source: address })
      for (const table of requested.keys()) {
        this.#sourceByTable.set(table, address)
        const ageMs = changes.get(table)?.ageMs ?? Infinity
        this.#confirmedAtMs.set(table, clock.monotonicMs() - ageMs)
      }
      this.#failingSources.delete(address)
      return changes
    }
    for (const table of requested.keys()) this.#sourceByTable.delete(table)
    const cause = response.isErr ? response.error.message : `status ${String(response.value.status)}`
    logger.info('relay.lost', { tables, source: address, cause, pauseMs: this.#pause(address) })
    return undefined
  }

  /** Starts a pause, unless the host is paused: calls for several tables that fail together count once. */
  #pause(address: string): number {
    const nowMs = this.#options.clock.monotonicMs()
    const { failures, pausedUntilMs } = this.#failingSources.get(address) ?? {
      failures: 0,
      pausedUntilMs: nowMs,
    }
    if (pausedUntilMs > nowMs) return pausedUntilMs - nowMs
    const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** failures)
    this.#failingSources.set(address, { failures: failures + 1, pausedUntilMs: nowMs + pauseMs })
    return pauseMs
  }

  /** Ends reads of all tables at the same moments, so that followers get one response for all of them. */
  async #readStore(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const { mayLongPoll } = this.#options
    const untilNextMs = this.#untilNextReadMs()
    if (mayLongPoll(table)) return this.#readChanges(table, after, Math.min(waitMs, Math.floor(untilNextMs)))
    if (!this.#expedited.has(table)) {
      await new Promise<void>((resolve) => {
        const cancel = this.#options.clock.schedule(untilNextMs, resolve)
        this.#endWaitByTable.set(table, () => {
          cancel()
          resolve()
        })
      })
      this.#endWaitByTable.delete(table)
    }
    this.#expedited.delete(table)
    return this.#readChanges(table, after, 0)
  }

  #untilNextReadMs(): number {
    const { clock, confirmationIntervalMs } = this.#options
    const untilMs = confirmationIntervalMs - (clock.monotonicMs() % confirmationIntervalMs)
    return untilMs < confirmationIntervalMs * skippedReadShare ? untilMs + confirmationIntervalMs : untilMs
  }
}
