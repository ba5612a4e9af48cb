/** The parts of one cell on one host: the coordinator task, slot accounting and the source of permits. */
import { request } from 'node:http'
import {
  CellAuthority,
  domainOfCell,
  type Clock,
  type InvariantReporter,
  type Logger,
  type Random,
  type ShardOwner,
  type Term,
} from '@pimentotally/core'
import type { Membership } from '@pimentotally/membership'
import PQueue from 'p-queue'
import { PermitClient, PermitPool, StreamChannel } from '@pimentotally/limits'
import {
  CellCoordinator,
  HttpTargetGrantClient,
  type CellPeers,
  type CellStatus,
  type CellStore,
  type HostVoterState,
} from '@pimentotally/ownership'
import type { PeerClients } from '@pimentotally/wire'

export interface CellHostOptions {
  readonly cellId: string
  readonly clock: Clock
  readonly random: Random
  readonly directory: Membership
  readonly store: CellStore
  readonly peers: CellPeers
  readonly clients: PeerClients
  /** What this host remembers as a voter, for all cells. */
  readonly hostVoterState: HostVoterState
  /** Undefined until a number was reserved on the platform; without one this host never campaigns. */
  readonly hostSequence: () => number | undefined
  readonly invariants: InvariantReporter
  readonly logger: Logger
}

/**
 * The authority that the pool asks. The coordinator needs the pool and is built after it, so `coordinator` is
 * set later.
 */
class DeferredAuthority extends CellAuthority {
  readonly cellId: string
  coordinator: CellCoordinator | undefined

  constructor(cellId: string) {
    super()
    this.cellId = cellId
  }

  override term(): Term | undefined {
    return this.coordinator?.term()
  }

  override validForMs(): number {
    return this.coordinator?.validForMs() ?? 0
  }

  override owner(service: string, shard: number, keyHash: string): ShardOwner | undefined {
    return this.coordinator?.owner(service, shard, keyHash)
  }
}

/** Load reports are only a weak hint, so they are fetched rarely. */
const loadFetchIntervalMs = 1000
const loadFetchTimeoutMs = 500
/** Well below the 200 ms between heartbeats of a permit stream. */
const heartbeatCheckMs = 50

export class CellHost {
  readonly cellId: string
  readonly coordinator: CellCoordinator
  readonly pool: PermitPool
  readonly permits: PermitClient
  readonly #options: CellHostOptions
  readonly #stop = new AbortController()
  /**
   * Few fetches run at once, so that targets without a response neither delay the others nor hold many
   * sockets.
   */
  readonly #loadFetches = new PQueue({ concurrency: 4 })

  constructor(options: CellHostOptions) {
    const { cellId, clock, random, directory, clients, invariants, logger } = options
    this.#options = options
    this.cellId = cellId
    const { hostId } = directory.self()
    const domain = domainOfCell(cellId)
    const authority = new DeferredAuthority(cellId)
    this.pool = new PermitPool({
      cellId,
      clock,
      random,
      authority,
      configuration: () => directory.configuration(),
      hosts: () => [hostId, ...directory.peers(domain).map((peer) => peer.hostId)],
      invariants,
      logger,
    })
    this.coordinator = new CellCoordinator({
      ...options,
      targetClient: ({ address }) => new HttpTargetGrantClient({ address, clock }),
      ledger: this.pool,
    })
    authority.coordinator = this.coordinator
    this.permits = new PermitClient({
      cellId,
      hostId,
      clock,
      random,
      directory,
      channel: new StreamChannel({ clients, clock, logger }),
      logger,
      local: this.pool,
    })
  }

  status(): CellStatus {
    return this.coordinator.status()
  }

  start(): void {
    void this.coordinator.run(this.#stop.signal)
    void this.#fetchLoadReports(this.#stop.signal)
    void this.#reportCoordinatorHealth(this.#stop.signal)
  }

  /** Hands the coordinator role over to a peer host; permits then come over the stream to that host. */
  async handOver(): Promise<void> {
    await this.coordinator.stop()
  }

  close(): void {
    this.#stop.abort()
    this.permits.close()
    this.pool.close()
  }

  /**
   * Tells the directory whether the coordinator is reachable, from the heartbeats of its permit stream:
   * gossip alone is too slow to notice that a coordinator was lost.
   */
  async #reportCoordinatorHealth(signal: AbortSignal): Promise<void> {
    const { clock, directory } = this.#options
    while (!signal.aborted) {
      await clock.sleep(heartbeatCheckMs, signal)
      // The coordinator of the open permit session, on any host; `this.coordinator` is this host's own.
      const { coordinator, heardAgoMs, isCoordinatorUnreachable } = this.permits
      if (coordinator === undefined) continue
      if (isCoordinatorUnreachable) directory.markCoordinatorUnreachable(coordinator)
      else directory.confirmCoordinator(coordinator, heardAgoMs)
    }
  }

  async #fetchLoadReports(signal: AbortSignal): Promise<void> {
    const { clock, random, directory } = this.#options
    while (!signal.aborted) {
      await clock.sleep(loadFetchIntervalMs * (0.75 + 0.5 * random.float()), signal)
      if (!this.pool.active) continue
      const domain = domainOfCell(this.cellId)
      for (const target of directory.configuration().deployment.targets) {
        if (target.domain !== domain) continue
        void this.#loadFetches.add(async () => {
          const report = await fetchLoadReport(target.address)
          if (report !== undefined) this.pool.reportLoad(target.name, report)
        })
      }
      await this.#loadFetches.onIdle()
    }
  }
}

interface TargetLoadReport {
  readonly inFlight: number
  readonly queued: number
  readonly reportAgeMs: number
}

const isTargetLoadReport = (value: unknown): value is TargetLoadReport =>
  typeof value === 'object' &&
  value !== null &&
  ['inFlight', 'queued', 'reportAgeMs'].every((field) =>
    Number.isFinite((value as Record<string, unknown>)[field]),
  )

/** Resolves to undefined when the target does not respond with a load report in time. */
const fetchLoadReport = (address: string): Promise<TargetLoadReport | undefined> =>
  new Promise((resolve) => {
    const call = request(`http://${address}/load`, { timeout: loadFetchTimeoutMs }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', () => {
        resolve(undefined)
      })
      response.on('end', () => {
        try {
          const value: unknown = JSON.parse(Buffer.concat(chunks).toString())
          resolve(isTargetLoadReport(value) ? value : undefined)
        } catch {
          resolve(undefined)
        }
      })
    })
    call.on('timeout', () => call.destroy())
    call.on('error', () => {
      resolve(undefined)
    })
    call.end()
  })
