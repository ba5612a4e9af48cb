/** Finds the service and key of a request, the home cell of a key, and the peers that can serve a request. */
import type { IncomingMessage } from 'node:http'
import {
  CellRecord,
  Configuration,
  DomainState,
  ShardSet,
  domainOfCell,
  keyHash,
  shardOf,
  type Clock,
  type KnownCell,
  type Peer,
  type PeerDirectory,
  type Random,
  type ServiceSpec,
} from '@pimentotally/core'
import { GeneratedResponse } from './generated-response.js'
import { countHeader } from '@pimentotally/http'

export interface RequestKey {
  readonly shard: number
  /** 16 hex digits. */
  readonly keyHash: string
}

export interface RoutingOptions {
  readonly directory: PeerDirectory
  readonly clock: Clock
  readonly random: Random
  readonly homeRefreshMs: number
}

/** What routing looks up, derived from one configuration. */
interface ConfigurationIndex {
  readonly configuration: Configuration
  /** Longest prefix first. */
  readonly services: readonly ServiceSpec[]
  /** By service, the domains that have targets of it and are in operation. */
  readonly domains: ReadonlyMap<string, ReadonlySet<string>>
}

const indexConfiguration = (configuration: Configuration): ConfigurationIndex => {
  const domains = new Map<string, Set<string>>()
  for (const { service, domain } of configuration.deployment.targets) {
    if (Configuration.domainState(configuration, domain) !== DomainState.in) continue
    const known = domains.get(service) ?? new Set()
    domains.set(service, known.add(domain))
  }
  const services = [...configuration.deployment.services].sort(
    (left, right) => right.pathPrefix.length - left.pathPrefix.length,
  )
  return { configuration, services, domains }
}

const keyMissing = GeneratedResponse.notRun(400, 'key_missing', 'the request carries no key for its service')
const keyInvalid = GeneratedResponse.notRun(400, 'key_invalid', 'the key is repeated or wrongly encoded')

export class Routing {
  readonly #options: RoutingOptions
  #index: ConfigurationIndex = indexConfiguration(Configuration.empty)
  #cellsReadAtMs = -Infinity
  #epochs = new Map<string, number>()
  #homeCells = new Map<string, (string | undefined)[]>()
  #localCells: readonly string[] = []

  constructor(options: RoutingOptions) {
    this.#options = options
  }

  serviceOfPath(path: string): ServiceSpec | undefined {
    return this.#current().services.find(({ pathPrefix }) => path.startsWith(pathPrefix))
  }

  /**
   * The key of a request; a refusal when it is missing or invalid, undefined when the service has no keys.
   */
  key(service: ServiceSpec, request: IncomingMessage): RequestKey | GeneratedResponse | undefined {
    if (service.keyed === undefined) return undefined
    const { source, shardCount } = service.keyed
    let key: string | undefined
    if (source.kind === 'header') {
      const name = source.name.toLowerCase()
      const value = request.headers[name]
      if (
        Array.isArray(value) ||
        (value?.includes(',') === true && countHeader(request.rawHeaders, name) > 1)
      ) {
        return keyInvalid
      }
      key = value
    } else {
      const path = (request.url ?? '').split('?', 1)[0] ?? ''
      const rest = path.slice(service.pathPrefix.length).replace(/^\//, '')
      try {
        // Decoded, as two encodings of one key must not have two owners.
        key = decodeURIComponent(rest.split('/')[source.index] ?? '')
      } catch {
        return keyInvalid
      }
    }
    if (key === undefined || key === '') return keyMissing
    return { shard: shardOf(service.name, key, shardCount), keyHash: keyHash(service.name, key) }
  }

  /** The home cell of a shard, or undefined while none is known. */
  homeCell(service: string, shard: number): string | undefined {
    this.#refreshCells()
    return this.#homeCells.get(service)?.[shard]
  }

  /** Some cell of this host's own domain, for a service without keys. */
  localCell(): string {
    this.#refreshCells()
    return this.#options.random.pick(this.#localCells) ?? this.#options.directory.self().domain
  }

  hasLocalTargets(service: string): boolean {
    return this.#current().domains.get(service)?.has(this.#options.directory.self().domain) === true
  }

  /** Hosts of these domains that accept forwarded requests and were not visited, in random order. */
  peers(domains: readonly string[], visited: readonly string[]): Peer[] {
    const usable = domains
      .flatMap((domain) => this.#options.directory.peers(domain))
      .filter(
        ({ hostId, leaving, forwardAddress }) =>
          !leaving && forwardAddress !== '' && !visited.includes(hostId),
      )
    return this.#options.random.shuffle(usable)
  }

  /** Other domains that have targets of the service and are in operation. */
  otherDomains(service: string): string[] {
    const own = this.#options.directory.self().domain
    return [...(this.#current().domains.get(service) ?? [])].filter((domain) => domain !== own)
  }

  /** The addresses of all targets of the current configuration. */
  targetAddresses(): Set<string> {
    return new Set(this.#current().configuration.deployment.targets.map(({ address }) => address))
  }

  #current(): ConfigurationIndex {
    const configuration = this.#options.directory.configuration()
    if (configuration !== this.#index.configuration) this.#index = indexConfiguration(configuration)
    return this.#index
  }

  #refreshCells(): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs - this.#cellsReadAtMs < this.#options.homeRefreshMs) return
    this.#cellsReadAtMs = nowMs
    const cells = this.#options.directory.cells()
    const same =
      cells.length === this.#epochs.size &&
      cells.every(({ cellId, record }) => this.#epochs.get(cellId) === record.epoch)
    if (same) return
    this.#epochs = new Map(cells.map(({ cellId, record }) => [cellId, record.epoch]))
    const own = this.#options.directory.self().domain
    this.#localCells = cells.map(({ cellId }) => cellId).filter((cellId) => domainOfCell(cellId) === own)
    this.#homeCells = homeCellsByShard(cells)
  }
}

/**
 * The home cell of each shard, by service. After the transfer of a shard, the records of the two cells can
 * arrive in either order. While both records claim the shard, the one that does not mark it as leaving is
 * newer.
 */
const homeCellsByShard = (cells: readonly KnownCell[]): Map<string, (string | undefined)[]> => {
  const homes = new Map<string, (string | undefined)[]>()
  for (const { cellId, record } of cells) {
    for (const [service, { shardCount }] of Object.entries(record.homes)) {
      const list = homes.get(service) ?? Array<string | undefined>(shardCount).fill(undefined)
      homes.set(service, list)
      const leaving = new Set(
        record.leaving
          .filter((entry) => entry.service === service)
          .flatMap((entry) => [...ShardSet.fromBase64(shardCount, entry.shards)]),
      )
      for (const shard of CellRecord.homes(record, service) ?? []) {
        if (list[shard] === undefined || !leaving.has(shard)) list[shard] = cellId
      }
    }
  }
  return homes
}
