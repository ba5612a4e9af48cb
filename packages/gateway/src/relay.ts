/**
 * Lets few hosts read the store for all: a host follows another one that comes before it (see `feedSources`), and reads
 * the store itself when none of them answers or their copies are old. An answer says how old its copy is, so that age adds
 * up over several hosts and stays bounded. Reads that decisions depend on, and all writes, go to the store in any case.
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
import type { PeerResponse } from './peer-server.js'
import type { Replica } from './replica.js'

export const relayPath = '/changes'
/** How long ago the store confirmed each copy, in milliseconds. */
const ageHeader = 'x-age-ms'
/** Far above the tables of the largest deployment; a broken peer must not fill the memory. */
const maxAnswerBytes = 32 * 1024 * 1024
/** Calls for several tables follow each other within a turn or two of the event loop. */
const gatherMs = 2
/** A host that starts reads its tables, over another host or from the store, in a part of this time. */
const firstReadMs = 500
/**
 * Tables are read together, so an answer waits this long for the others after the first was confirmed or has changed;
 * without their confirmation, their copies would grow old at the followers until the next read.
 */
const confirmationSpreadMs = 15
/** Share of the interval between two reads below which a read is left out: timers end a little early or late. */
const shortestReadShare = 0.05
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
}

interface RelayedRows {
  readonly rows: readonly { readonly key: string; readonly version: number; readonly value?: string }[]
  readonly version: number
  readonly isWhole: boolean
}

type RelayedTables = Readonly<Record<string, RelayedRows>>

/** A table and the version that the asking host has of it. */
type Wanted = readonly [name: string, after: number]

/** One parameter for each table. */
const encodeWanted = (wanted: Iterable<Wanted>, waitMs: number): URLSearchParams => {
  const query = new URLSearchParams({ waitMs: String(waitMs) })
  for (const [name, after] of wanted) query.append('after', `${name}:${String(after)}`)
  return query
}

const decodeWanted = (query: URLSearchParams): Wanted[] =>
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

interface Served extends RelayedTable {
  readonly name: string
  readonly after: number
}

const ageOf = ({ replica }: RelayedTable): number => replica.ageMs() ?? Infinity

const isCurrent = (table: RelayedTable): boolean => !table.replica.isFailing && ageOf(table) <= table.maxAgeMs

/**
 * Answers followers' calls for several tables at once. An answer waits for a change that is needed at once, or until the
 * tables were confirmed: a copy that was just confirmed stays current at its followers for longest.
 */
export class Relay {
  readonly #tables: ReadonlyMap<string, RelayedTable>
  readonly #clock: Clock
  /** The last answer, as many followers ask for the same changes. */
  #packed: { readonly key: string; readonly body: string | Buffer } | undefined

  constructor(tables: ReadonlyMap<string, RelayedTable>, clock: Clock) {
    this.#tables = tables
    this.#clock = clock
  }

  async answer(query: URLSearchParams): Promise<PeerResponse> {
    const served: Served[] = []
    for (const [name, after] of decodeWanted(query)) {
      const table = this.#tables.get(name)
      if (table === undefined) return { status: 404 }
      if (!Number.isSafeInteger(after)) return { status: 400 }
      served.push({ ...table, name, after })
    }
    if (served.length === 0) return { status: 400 }
    await this.#firstRead(served)
    if (!served.every(isCurrent)) return { status: 503 }
    if (!served.some(({ log, after }) => log.hasUrgentSince(after))) {
      await this.#changed(served, Number(query.get('waitMs')) || 0)
      if (!served.every(isCurrent)) return { status: 503 }
    }
    const body = this.#pack(served)
    const encoding: Record<string, string> = typeof body === 'string' ? {} : { 'content-encoding': 'gzip' }
    const ages = encodeAges(served.map((table) => [table.name, ageOf(table)]))
    return { status: 200, headers: { ...encoding, [ageHeader]: ages }, body }
  }

  /** Hosts that start together need not all read the store. */
  #firstRead(served: readonly Served[]): Promise<void> {
    const unread = new Set(served.filter(({ replica }) => replica.ageMs() === undefined))
    if (unread.size === 0) return Promise.resolve()
    return new Promise((resolve) => {
      const stops: (() => void)[] = []
      const end = (): void => {
        for (const stop of stops) stop()
        resolve()
      }
      for (const table of unread) {
        const read = (): void => {
          unread.delete(table)
          if (unread.size === 0) end()
        }
        stops.push(table.log.onUrgentChange(read), table.log.onConfirmed(read))
      }
      stops.push(this.#clock.schedule(firstReadMs, end))
    })
  }

  #changed(served: readonly Served[], longestMs: number): Promise<void> {
    // No longer than the copies stay current, if they are not confirmed any more.
    const waitMs = Math.min(longestMs, ...served.map((table) => table.maxAgeMs - ageOf(table) + 1))
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

  /** Compressed, as a configuration of a thousand routes would fill the link of a small host for seconds. */
  #pack(served: readonly Served[]): string | Buffer {
    const key = served
      .map(({ name, after, log }) => `${name}:${String(after)}:${String(log.version)}`)
      .join(',')
    if (this.#packed?.key === key) return this.#packed.body
    const tables: RelayedTables = Object.fromEntries(served.map((table) => [table.name, relayedRows(table)]))
    const text = JSON.stringify(tables)
    const body = text.length < compressFromBytes ? text : gzipSync(text, { level: compressionLevel })
    this.#packed = { key, body }
    return body
  }
}

const relayedRows = ({ log, after }: Served): RelayedRows => {
  const changes = log.since(after)
  return {
    rows: (changes ?? log.rows()).map((row) =>
      'deleted' in row
        ? { key: row.key, version: row.version }
        : { key: row.key, version: row.version, value: row.value.toString(valueEncoding) },
    ),
    version: changes === undefined ? log.version : Math.max(after, log.version),
    isWhole: changes === undefined,
  }
}

const decode = async ({ headers, body }: HttpResponse): Promise<Map<string, TableChanges> | undefined> => {
  try {
    const text =
      headers['content-encoding'] === 'gzip' ? await unzip(body, { maxOutputLength: maxAnswerBytes }) : body
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
  /** Hosts that may be followed, in the order in which they are asked. */
  readonly sources: () => readonly string[]
  /** Time between two confirmations of a copy by the store; tables are read together, as they are passed on together. */
  readonly confirmationIntervalMs: number
  /**
   * Whether a direct read may wait for the next change of the table. A table that changes all the time is read at
   * intervals instead, as each wait would end at once.
   */
  readonly mayLongPoll: (table: string) => boolean
}

/** A version below all others. */
const nothingKnown = -1

interface Source {
  failures: number
  pausedUntilMs: number
}

/** Calls for several tables that are sent to one host together. */
interface Batch {
  readonly wanted: Map<string, number>
  readonly answered: Promise<ReadonlyMap<string, TableChanges> | undefined>
}

export class RelayedStore extends RowStore {
  readonly #options: RelayedStoreOptions
  readonly #caller = new HttpClient({ connections: 4, maxResponseBytes: maxAnswerBytes })
  readonly #sources = new Map<string, Source>()
  /** By address; a batch is open to further tables until it is sent. */
  readonly #openBatches = new Map<string, Batch>()
  /** The host that each table was last taken from. */
  readonly #followed = new Map<string, string>()
  /** Tables that are read without waiting for the next interval, and how to end a wait under way. */
  readonly #expedited = new Set<string>()
  readonly #endWait = new Map<string, () => void>()

  constructor(options: RelayedStoreOptions) {
    super()
    this.#options = options
  }

  override async snapshot(table: string, options?: StoreCallOptions): Promise<StoreResult<TableSnapshot>> {
    const address = this.#source()
    const relayed = address === undefined ? undefined : await this.#ask(address, table, nothingKnown)
    if (relayed?.isWhole !== true) return this.#options.store.snapshot(table, options)
    const { rows, version, ageMs } = relayed
    return Result.ok({ rows: presentRows(rows), version, ...(ageMs === undefined ? {} : { ageMs }) })
  }

  override commit(transaction: RowTransaction, options?: StoreCallOptions): Promise<StoreResult<number>> {
    return this.#options.store.commit(transaction, options)
  }

  override async changes(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const address = this.#source()
    if (address === undefined) return this.#followStore(table, after, waitMs)
    const relayed = await this.#ask(address, table, after)
    if (relayed !== undefined) return Result.ok(relayed)
    // The copy may be as old as it may get, so the store is asked at once, and without waiting for a change.
    return this.#options.store.changes(table, after, 0)
  }

  /** Reads the table at once where this host reads the store itself, for a change that this host has just made. */
  expedite(table: string): void {
    this.#expedited.add(table)
    this.#endWait.get(table)?.()
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

  /** Undefined when the host does not answer or its copies are old. */
  async #ask(address: string, table: string, after: number): Promise<TableChanges | undefined> {
    let batch = this.#openBatches.get(address)
    if (batch === undefined || batch.wanted.has(table)) {
      const wanted = new Map<string, number>()
      const opened: Batch = {
        wanted,
        answered: this.#options.clock.sleep(gatherMs).then(() => {
          if (this.#openBatches.get(address) === opened) this.#openBatches.delete(address)
          return this.#followHost(address, wanted)
        }),
      }
      batch = opened
      this.#openBatches.set(address, batch)
    }
    batch.wanted.set(table, after)
    return (await batch.answered)?.get(table)
  }

  async #followHost(
    address: string,
    wanted: ReadonlyMap<string, number>,
  ): Promise<ReadonlyMap<string, TableChanges> | undefined> {
    const { logger, confirmationIntervalMs } = this.#options
    const relayWaitMs = confirmationIntervalMs + confirmationSlackMs
    const answer = await this.#caller.call({
      step: 'relay.changes',
      address,
      method: 'GET',
      path: `${relayPath}?${encodeWanted(wanted, relayWaitMs).toString()}`,
      timeoutMs: relayWaitMs + relayTimeoutMs,
    })
    const changes = answer.isOk && answer.value.status === 200 ? await decode(answer.value) : undefined
    const tables = [...wanted.keys()].join(',')
    if (changes !== undefined) {
      const isNew = [...wanted.keys()].some((table) => this.#followed.get(table) !== address)
      if (isNew) logger.info('relay.used', { tables, source: address })
      for (const table of wanted.keys()) this.#followed.set(table, address)
      this.#sources.delete(address)
      return changes
    }
    for (const table of wanted.keys()) this.#followed.delete(table)
    const cause = answer.isErr ? answer.error.message : `status ${String(answer.value.status)}`
    logger.info('relay.lost', { tables, source: address, cause, pauseMs: this.#pause(address) })
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

  /** Reads of all tables end at the same moments, so that followers get one answer for all of them. */
  async #followStore(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const { store, mayLongPoll } = this.#options
    const untilNextMs = this.#untilNextReadMs()
    if (mayLongPoll(table)) return store.changes(table, after, Math.min(waitMs, Math.floor(untilNextMs)))
    if (!this.#expedited.has(table)) {
      await new Promise<void>((resolve) => {
        const cancel = this.#options.clock.schedule(untilNextMs, resolve)
        this.#endWait.set(table, () => {
          cancel()
          resolve()
        })
      })
      this.#endWait.delete(table)
    }
    this.#expedited.delete(table)
    return store.changes(table, after, 0)
  }

  #untilNextReadMs(): number {
    const { clock, confirmationIntervalMs } = this.#options
    const untilMs = confirmationIntervalMs - (clock.monotonicMs() % confirmationIntervalMs)
    return untilMs < confirmationIntervalMs * shortestReadShare ? untilMs + confirmationIntervalMs : untilMs
  }
}
