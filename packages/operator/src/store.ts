/**
 * Configuration versions on the platform. One transaction on `config/current` makes a version the current
 * one. When the response to it is lost, the outcome is looked up in the version's history row, which names
 * the write that produced the version.
 */
import { Configuration, type Clock } from '@pimentotally/core'
import {
  configurationObjectName,
  encodeConfiguration,
  safeDecodeConfiguration,
  type ObjectStore,
  type PlatformError,
  type TableService,
  type Transaction,
} from '@pimentotally/storage'
import { Result } from 'true-myth'
import { OperatorError, OperatorErrorCode } from './operator-error.js'

/** Value of `config/current` and of the history rows. */
export interface VersionRecord {
  readonly version: number
  readonly hash: string
  readonly author: string
  /** Wall clock of the committing host, in ISO 8601. */
  readonly time: string
  readonly writeId: string
  readonly summary: string
}

/**
 * The newest version, and the version of its row, on which a transaction that replaces it must be
 * conditional.
 */
export interface CurrentVersion {
  readonly configuration: Configuration
  /** Absent before the first apply. */
  readonly record?: VersionRecord
  readonly rowVersion: number
}

export interface ConfigurationCommit {
  readonly base: CurrentVersion
  readonly next: Pick<Configuration, 'deployment' | 'operations'>
  readonly author: string
  readonly writeId: string
  readonly summary: string
  /** Further rows of the same transaction. The commit fails if one of them exists already. */
  readonly rows: (version: number) => Transaction['puts']
}

export interface ConfigurationStoreOptions {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly clock: Clock
  /** Timeout of one call to the platform. */
  readonly timeoutMs?: number
  /**
   * After a lost response of the platform, the outcome is looked up for this long before it is reported as
   * unknown.
   */
  readonly outcomeLookupTimeoutMs?: number
  readonly outcomeLookupIntervalMs?: number
}

export const configRowKeys = {
  current: 'config/current',
  historyPrefix: 'config-history/',
  history: (version: number): string => `config-history/${String(version).padStart(10, '0')}`,
} as const

/** At most this many history rows are read by one scan. */
const pageSize = 500

type StoreResult<T> = Promise<Result<T, OperatorError>>

export class ConfigurationStore {
  readonly #table: TableService
  readonly #objects: ObjectStore
  readonly #clock: Clock
  readonly #timeoutMs: number
  readonly #outcomeLookupTimeoutMs: number
  readonly #outcomeLookupIntervalMs: number

  constructor({
    table,
    objects,
    clock,
    timeoutMs = 2000,
    outcomeLookupTimeoutMs = 5000,
    outcomeLookupIntervalMs = 200,
  }: ConfigurationStoreOptions) {
    this.#table = table
    this.#objects = objects
    this.#clock = clock
    this.#timeoutMs = timeoutMs
    this.#outcomeLookupTimeoutMs = outcomeLookupTimeoutMs
    this.#outcomeLookupIntervalMs = outcomeLookupIntervalMs
  }

  /** The newest version's record, without its document. */
  async current(): StoreResult<{ readonly record?: VersionRecord; readonly rowVersion: number }> {
    const row = await this.#table.read(configRowKeys.current, { timeoutMs: this.#timeoutMs })
    if (row.isErr) return Result.err(unavailable('config.read', row.error))
    if (row.value === undefined) return Result.ok({ rowVersion: 0 })
    const { value, version: rowVersion } = row.value
    return parseRecord(value).map((record) => ({ record, rowVersion }))
  }

  /** The newest version with its document. */
  async load(): StoreResult<CurrentVersion> {
    const current = await this.current()
    if (current.isErr) return Result.err(current.error)
    const { record, rowVersion } = current.value
    if (record === undefined) return Result.ok({ configuration: Configuration.empty, rowVersion })
    const name = configurationObjectName(record.hash)
    const bytes = await this.#objects.get(name, { timeoutMs: this.#timeoutMs })
    if (bytes.isErr) return Result.err(unavailable('config.document.read', bytes.error))
    if (bytes.value === undefined) {
      return Result.err(
        invalidStoredError(`version ${String(record.version)} names ${name}, which is absent`),
      )
    }
    const configuration = safeDecodeConfiguration(bytes.value, record.hash)
    if (configuration.isErr)
      return Result.err(invalidStoredError(`${name} cannot be read`, configuration.error))
    return Result.ok({ configuration: configuration.value, record, rowVersion })
  }

  /**
   * Makes `next` the version after `base`, or returns why it did not, or that the outcome is unknown. The
   * change takes effect as a whole or not at all.
   */
  async commit({
    base,
    next,
    author,
    writeId,
    summary,
    rows,
  }: ConfigurationCommit): StoreResult<Configuration> {
    const version = base.configuration.version + 1
    const { hash, bytes } = encodeConfiguration({ ...next, version })
    const configuration: Configuration = { ...next, version, hash }
    const name = configurationObjectName(hash)
    const stored = await this.#objects.put(name, bytes, { timeoutMs: this.#timeoutMs })
    // A document that no version names has no effect, so the outcome of this write need not be looked up when
    // the response is lost.
    if (stored.isErr) return Result.err(unavailable('config.document.write', stored.error))

    const time = new Date(this.#clock.wallMs()).toISOString()
    const value = JSON.stringify({ version, hash, author, time, writeId, summary } satisfies VersionRecord)
    const added = [{ key: configRowKeys.history(version), value }, ...rows(version)]
    const transaction: Transaction = {
      writeId,
      conditions: [
        { key: configRowKeys.current, version: base.rowVersion },
        ...added.map(({ key }) => ({ key, version: 0 })),
      ],
      puts: [{ key: configRowKeys.current, value }, ...added],
    }
    const committed = await this.#transact(transaction, configuration)
    return committed.map(() => configuration)
  }

  /** At most `limit` versions, newest first. */
  async history(limit: number): StoreResult<readonly VersionRecord[]> {
    return this.#scanHistory({ limit })
  }

  /** The version that a write produced, if it is among the newest `depth` versions. */
  async findWrite(writeId: string, depth = Infinity): StoreResult<VersionRecord | undefined> {
    let after: string | undefined
    for (let searched = 0; searched < depth;) {
      const page = await this.#scanHistory({ limit: Math.min(pageSize, depth - searched), after })
      if (page.isErr) return Result.err(page.error)
      const found = page.value.find((record) => record.writeId === writeId)
      const last = page.value.at(-1)
      // The platform may return fewer rows than the limit, so a short page does not mean that the search is
      // at its end; version 1 does.
      if (found !== undefined || last === undefined || last.version <= 1) return Result.ok(found)
      searched += page.value.length
      after = configRowKeys.history(last.version)
    }
    return Result.ok(undefined)
  }

  /**
   * Sends the transaction until its outcome is certain, or until the time for the lookup is over. Repeating
   * it is safe: it is conditional on one version of `config/current`, so it takes effect at most once.
   */
  async #transact(transaction: Transaction, { version, hash }: Configuration): StoreResult<void> {
    const startedMs = this.#clock.monotonicMs()
    let uncertain = false
    for (;;) {
      const sent = await this.#table.transact(transaction, { timeoutMs: this.#timeoutMs })
      if (sent.isOk) return Result.ok(undefined)
      if (sent.error.code === 'unknown') uncertain = true
      if (sent.error.code === 'unavailable' && !uncertain) {
        return Result.err(unavailable('config.commit', sent.error))
      }
      const history = await this.#table.read(configRowKeys.history(version), { timeoutMs: this.#timeoutMs })
      if (history.isOk && history.value !== undefined) {
        const winner = parseRecord(history.value.value)
        if (winner.isErr) return Result.err(winner.error)
        const { writeId } = transaction
        if (winner.value.writeId === writeId && winner.value.hash === hash) return Result.ok(undefined)
        return this.#conflict(winner.value)
      }
      if (!uncertain && history.isOk) return this.#conflict(undefined)
      if (this.#clock.monotonicMs() - startedMs >= this.#outcomeLookupTimeoutMs) {
        return uncertain
          ? Result.err(outcomeUnknownError(transaction.writeId, sent.error))
          : this.#conflict(undefined)
      }
      await this.#clock.sleep(this.#outcomeLookupIntervalMs)
    }
  }

  async #conflict(winner: VersionRecord | undefined): StoreResult<never> {
    const current = await this.current()
    const newest = (current.isOk ? current.value.record : undefined) ?? winner
    return Result.err(conflictError('config.commit', newest))
  }

  async #scanHistory(options: {
    limit: number
    after?: string | undefined
  }): StoreResult<readonly VersionRecord[]> {
    const { limit, after } = options
    const rows = await this.#table.scan(configRowKeys.historyPrefix, {
      reverse: true,
      limit,
      ...(after === undefined ? {} : { after }),
      timeoutMs: this.#timeoutMs,
    })
    if (rows.isErr) return Result.err(unavailable('history.read', rows.error))
    const records: VersionRecord[] = []
    for (const row of rows.value) {
      const record = parseRecord(row.value)
      if (record.isErr) return Result.err(record.error)
      records.push(record.value)
    }
    return Result.ok(records)
  }
}

const parseRecord = (value: string): Result<VersionRecord, OperatorError> => {
  try {
    const record = JSON.parse(value) as VersionRecord
    if (Number.isSafeInteger(record.version) && typeof record.hash === 'string') return Result.ok(record)
    return Result.err(invalidStoredError('a version record lacks version or hash'))
  } catch (error) {
    return Result.err(invalidStoredError('a version record is not JSON', error))
  }
}

/** The error of a failed read, or of a write that certainly did not take effect. */
export const unavailable = (step: string, error: PlatformError): OperatorError =>
  new OperatorError(`the platform is unavailable (${error.message}); nothing was changed`, {
    code: OperatorErrorCode.platformUnavailable,
    step,
    peer: 'platform',
    remedy: 'try again when the platform is reachable from this host, or through another host',
    cause: error,
  })

const invalidStoredError = (message: string, cause?: unknown): OperatorError =>
  new OperatorError(message, {
    code: OperatorErrorCode.storedConfigurationInvalid,
    step: 'config.read',
    peer: 'platform',
    remedy: 'restore the row or object on the platform; hosts keep the configuration they have',
    cause,
  })

const outcomeUnknownError = (writeId: string, error: PlatformError): OperatorError =>
  new OperatorError(`no answer from the platform (${error.message}); the change may have taken effect`, {
    code: OperatorErrorCode.outcomeUnknown,
    step: 'config.commit',
    peer: 'platform',
    remedy: `look it up with: pimentotally history --write-id ${writeId}`,
    writeId,
    cause: error,
  })

/** The error of a change that conflicts; it names the newest version and its author, where known. */
export const conflictError = (step: string, newest: VersionRecord | undefined): OperatorError =>
  new OperatorError(
    newest === undefined
      ? 'the configuration changed meanwhile; nothing was changed'
      : `version ${String(newest.version)} was made by ${newest.author} at ${newest.time} (${newest.summary}); nothing was changed`,
    {
      code: OperatorErrorCode.conflict,
      step,
      remedy: 'plan the change again on the newest version, then repeat it',
      currentVersion: newest?.version ?? 0,
    },
  )
