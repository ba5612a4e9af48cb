/**
 * Keeps a host that starts from letting withdrawn keys in. The store may have come back from an older copy, in which a
 * key is still valid, while other hosts have the newer configuration in force. A host that reads its first
 * configuration from the store itself asks some of them before it applies one that has tenants.
 */
import type { Clock, Logger } from '@pimentotally/core'
import { configurationKey, decodeConfiguration, storeTables } from '@pimentotally/platform'
import type { Configuration } from '@pimentotally/routing'
import { presentRows, type StoredRow, type TableChanges, type TableSnapshot } from '@pimentotally/storage'
import type { Directory } from './directory.js'

/** Hosts that are asked; one of them with the newer configuration is enough. */
const maxPeers = 3
/** Hosts that lose the one that they followed read the store within this time, and then answer again. */
const maxWaitMs = 1000
const retryIntervalMs = 100

/** Resolves to the other host's copy of the table; to undefined when it does not answer or has no current one. */
export type AskPeer = (address: string, table: string) => Promise<TableChanges | undefined>

export interface FirstConfigurationOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  /** Address of this host for its peers. */
  readonly peerAddress: string
}

const configurationIn = (
  rows: readonly StoredRow[],
): { readonly row: StoredRow; readonly configuration: Configuration } | undefined => {
  const row = rows.find(({ key }) => key === configurationKey)
  const configuration = row === undefined ? undefined : decodeConfiguration(row.value).unwrapOr(undefined)
  return row === undefined || configuration === undefined ? undefined : { row, configuration }
}

export class FirstConfiguration {
  readonly #options: FirstConfigurationOptions

  constructor(options: FirstConfigurationOptions) {
    this.#options = options
  }

  /** The snapshot, with the configuration of another host in place of an older one. */
  async complete(table: string, snapshot: TableSnapshot, ask: AskPeer): Promise<TableSnapshot> {
    const { directory, logger } = this.#options
    const own = table === storeTables.operator ? configurationIn(snapshot.rows) : undefined
    if (own?.configuration.tenants === undefined || directory.routes !== undefined) return snapshot
    const found = await Promise.all(this.#peers().map((address) => this.#ask(address, ask)))
    let newest = own
    for (const other of found) {
      if (other !== undefined && other.configuration.version > newest.configuration.version) newest = other
    }
    if (newest === own) return snapshot
    logger.warn('configuration.store_older', {
      configurationVersion: newest.configuration.version,
      storedVersion: own.configuration.version,
    })
    return { ...snapshot, rows: snapshot.rows.map((row) => (row === own.row ? newest.row : row)) }
  }

  #peers(): string[] {
    const { directory, peerAddress } = this.#options
    return [...directory.hosts.values()]
      .map((host) => host.peerAddress)
      .filter((address) => address !== peerAddress)
      .slice(0, maxPeers)
  }

  async #ask(address: string, ask: AskPeer): Promise<ReturnType<typeof configurationIn>> {
    const { clock } = this.#options
    const untilMs = clock.monotonicMs() + maxWaitMs
    for (;;) {
      const answer = await ask(address, storeTables.operator)
      if (answer !== undefined) return configurationIn(presentRows(answer.rows))
      if (clock.monotonicMs() + retryIntervalMs > untilMs) return undefined
      await clock.sleep(retryIntervalMs)
    }
  }
}
