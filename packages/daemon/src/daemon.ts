/**
 * One entry host, with all its roles in one process. The parts are built from the settings and started in the
 * order in which they depend on each other. A stop first reports the host as not ready, then hands the
 * coordinator roles over, and then waits for the requests in flight, so that none is cut unless the time
 * limit passes or the stop is forced.
 */
import { randomBytes, randomUUID } from 'node:crypto'
import type { Server } from 'node:http'
import {
  Random,
  SystemClock,
  type Clock,
  type Configuration,
  type Logger,
  type Permit,
} from '@pimentotally/core'
import { Address, type ProcessSettings } from '@pimentotally/config'
import { permitStreamHandler } from '@pimentotally/limits'
import { Membership, membershipHandlers, WirePeerNetwork } from '@pimentotally/membership'
import { CellQueries, OperatorBackend, operatorService, cellInspectionService } from '@pimentotally/operator'
import { CellStore, HostVoterState } from '@pimentotally/ownership'
import {
  AuditTrail,
  encodeConfiguration,
  HostSequence,
  HttpHostList,
  HttpObjectStore,
  PlatformHttpClient,
  HttpTable,
  RequestLedger,
} from '@pimentotally/storage'
import { CallerServer, ForwardServer, RequestHandler, type CutRequest } from '@pimentotally/proxy'
import { PeerClients, PeerService, requirePeerSecret, serveRpc, type RunningServer } from '@pimentotally/wire'
import { BlockedRequestStore } from './blocked-request-store.js'
import { CellHost } from './cell-host.js'
import { CellFinder, DaemonInspector } from './inspection.js'
import { PlatformLedger } from './platform-ledger.js'
import { CountingInvariantReporter, Metrics, RequestMetrics, serveHealth } from './metrics.js'
import { ObservedTable } from './observed-table.js'
import { cellHandlers, WireCellPeers } from './peer-calls.js'

export interface DaemonOptions {
  readonly settings: ProcessSettings
  readonly logger: Logger
  readonly clock?: Clock
  readonly random?: Random
  readonly hostId?: string
  /**
   * New connections are accepted this long after `/readyz` turns not ready, so that load balancers notice.
   */
  readonly lameDuckMs?: number
}

export interface StopReport {
  readonly cut: readonly CutRequest[]
}

/** Pause before a failed call to the platform is repeated. */
const platformRetryMs = 1000
/** Mean time between two deletions of expired rows of the request ledger. */
const sweepIntervalMs = 60_000

const parseEndpoint = (address: string): { host: string; port: number } => {
  const parsed = Address.parse(address)
  if (parsed === undefined) throw new RangeError(`"${address}" is not an IP address with a port`)
  return parsed
}

export class Daemon {
  readonly hostId: string
  readonly metrics = new Metrics()
  readonly #settings: ProcessSettings
  readonly #logger: Logger
  readonly #clock: Clock
  readonly #random: Random
  readonly #lameDuckMs: number
  readonly #invariants: CountingInvariantReporter
  readonly #clients: PeerClients
  /** Separate clients for gossip, which closes idle connections; that must not end permit streams. */
  readonly #gossipClients: PeerClients
  /** Separate clients for calls about cells, which close a connection when a call on it fails. */
  readonly #cellClients: PeerClients
  readonly #table: ObservedTable
  readonly #objects: HttpObjectStore
  readonly #platformClients: readonly PlatformHttpClient[]
  readonly #membership: Membership
  readonly #blockedStore: BlockedRequestStore
  readonly #requestLedger: RequestLedger
  readonly #voterState: HostVoterState
  readonly #cells = new Map<string, CellHost>()
  readonly #cellFinder: CellFinder
  readonly #audit: AuditTrail
  readonly #backend: OperatorBackend
  readonly #cellQueries: CellQueries
  readonly #handler: RequestHandler
  readonly #callerServer: CallerServer
  readonly #forwardServer: ForwardServer
  readonly #stop = new AbortController()
  #rpcServers: RunningServer[] = []
  #healthServer: Server | undefined
  #hostSequence: number | undefined
  #started = false
  #stopping: Promise<StopReport> | undefined

  constructor({
    settings,
    logger,
    clock = new SystemClock(),
    random = new Random(),
    hostId,
    lameDuckMs = 500,
  }: DaemonOptions) {
    const { hostName, domain, region, peerSecrets, seeds, listen, platform, limits } = settings
    const [peerSecret = ''] = peerSecrets
    this.hostId = hostId ?? `${hostName}-${randomBytes(4).toString('hex')}`
    this.#settings = settings
    this.#logger = logger
    this.#clock = clock
    this.#random = random
    this.#lameDuckMs = lameDuckMs
    this.#invariants = new CountingInvariantReporter({ metrics: this.metrics, logger })
    this.#clients = new PeerClients({ credential: peerSecret, hostId: this.hostId })
    this.#gossipClients = new PeerClients({ credential: peerSecret, hostId: this.hostId })
    this.#cellClients = new PeerClients({ credential: peerSecret, hostId: this.hostId })

    const connect = (address: string): PlatformHttpClient =>
      new PlatformHttpClient({ address, timeoutMs: limits.platformTimeoutMs })
    const tables = connect(platform.table)
    const objects = connect(platform.objects)
    const hosts = connect(platform.hostList)
    this.#platformClients = [tables, objects, hosts]
    this.#table = new ObservedTable(new HttpTable(tables), { clock, metrics: this.metrics })
    this.#objects = new HttpObjectStore(objects)

    this.#membership = new Membership({
      name: hostName,
      domain,
      region,
      hostId: this.hostId,
      peerAddress: listen.peers,
      forwardAddress: listen.forwarded,
      network: new WirePeerNetwork({ clients: this.#gossipClients }),
      invariants: this.#invariants,
      seeds,
      table: this.#table,
      objects: this.#objects,
      hostList: new HttpHostList(hosts),
      clock,
      random,
      logger,
    })
    this.#blockedStore = new BlockedRequestStore({ table: this.#table, clock, logger })
    this.#requestLedger = new RequestLedger({
      table: this.#table,
      hostId: this.hostId,
      isHostAlive: (id) => id === this.hostId || this.#membership.peers().some((peer) => peer.hostId === id),
      clock,
      logger,
    })
    this.#voterState = new HostVoterState(clock)

    this.#cellFinder = new CellFinder({
      directory: this.#membership,
      localCells: this.#cells,
      blocked: this.#blockedStore,
      peerSecret,
      hostId: this.hostId,
    })
    const inspector = new DaemonInspector({
      directory: this.#membership,
      clock,
      isPlatformReachable: () => this.#table.isReachable,
      isReady: () => this.isReady,
      invariantViolations: () => this.#invariants.violations,
    })
    this.#audit = new AuditTrail({
      table: this.#table,
      hostId: this.hostId,
      clock,
      logger,
      callTimeoutMs: limits.platformTimeoutMs,
    })
    this.#backend = new OperatorBackend({
      table: this.#table,
      objects: this.#objects,
      audit: this.#audit,
      host: inspector,
      clock,
      logger,
      onAccepted: (configuration) => {
        this.#acceptConfiguration(configuration)
      },
      timeoutMs: limits.platformTimeoutMs,
    })
    this.#cellQueries = new CellQueries({ backend: this.#backend, directory: this.#cellFinder, logger })

    this.#handler = new RequestHandler({
      directory: this.#membership,
      permits: (cellId) => this.#cell(cellId).permits,
      isUsable: (permit: Permit) => this.#cell(permit.cellId).permits.isUsable(permit),
      ledger: new PlatformLedger(this.#requestLedger),
      clock,
      invariants: this.#invariants,
      logger,
      peerSecret,
      metrics: new RequestMetrics(this.metrics),
      limits: {
        maxHeaderBytes: limits.maxHeaderBytes,
        maxCallerConnections: limits.maxConnections,
        headTimeoutMs: limits.headersTimeoutMs,
        callerIdleTimeoutMs: limits.keepAliveTimeoutMs,
      },
      random,
    })
    this.#callerServer = new CallerServer({ handler: this.#handler, ...parseEndpoint(listen.callers) })
    this.#forwardServer = new ForwardServer({
      handler: this.#handler,
      acceptedSecrets: peerSecrets,
      ...parseEndpoint(listen.forwarded),
    })
  }

  /** True while load balancers should send callers to this host. */
  get isReady(): boolean {
    return this.#started && this.#stopping === undefined && this.#membership.configuration().version > 0
  }

  get configuration(): Configuration {
    return this.#membership.configuration()
  }

  /** Rejects when an address cannot be bound; everything that was started is then stopped again. */
  async start(): Promise<void> {
    const { listen, operators, peerSecrets, domain } = this.#settings
    try {
      await this.#forwardServer.listen()
      this.#rpcServers.push(
        await serveRpc({
          ...parseEndpoint(listen.peers),
          routes: (router) => {
            router.service(
              PeerService,
              {
                ...membershipHandlers(this.#membership),
                ...cellHandlers(this.#membership, this.#voterState),
                permits: permitStreamHandler((cellId) => this.#cells.get(cellId)?.pool, {
                  clock: this.#clock,
                  logger: this.#logger,
                }),
              },
              { interceptors: [requirePeerSecret(peerSecrets)] },
            )
            cellInspectionService({ cells: this.#cellQueries, peerSecrets })(router)
          },
        }),
        await serveRpc({
          ...parseEndpoint(listen.operators),
          routes: operatorService({ backend: this.#backend, cells: this.#cellQueries, operators }),
        }),
      )
      this.#healthServer = await serveHealth({
        metrics: this.metrics,
        isReady: () => this.isReady,
        ...parseEndpoint(listen.metrics),
      })
      this.#membership.onConfiguration(({ version }) => {
        this.metrics.configVersion.set(version)
      })
      // `status` iterates over all shards, so it is called only when the metrics are read.
      this.metrics.onCollect(() => {
        const { pool, coordinator } = this.#cell(domain)
        const unowned = pool.active ? coordinator.status().unownedShards : 0
        this.metrics.ownerlessShards.set({ cell: domain }, unowned)
      })
      this.#membership.start()
      this.#cell(domain).start()
      void this.#reserveSequence()
      void this.#sweepRequestLedger()
      void this.#watchCoordinatorRole(domain)
      await this.#callerServer.listen()
      this.#started = true
      this.#logger.info('daemon_started', { step: 'daemon.start', hostId: this.hostId })
    } catch (error) {
      await this.#close()
      throw error
    }
  }

  /** The addresses on which this host listens, from its settings. */
  get addresses(): ProcessSettings['listen'] {
    return this.#settings.listen
  }

  /**
   * Waits for all requests in flight. Those that have not ended after `shutdownTimeoutMs`, or when `force` is
   * aborted, are cut and reported.
   */
  stop(force?: AbortSignal): Promise<StopReport> {
    this.#stopping ??= this.#drain(force)
    return this.#stopping
  }

  async #drain(force?: AbortSignal): Promise<StopReport> {
    const { shutdownTimeoutMs } = this.#settings.limits
    this.#logger.info('daemon_stopping', { step: 'daemon.stop', hostId: this.hostId })
    this.#membership.leave()
    await Promise.all([...this.#cells.values()].map((cell) => cell.handOver()))
    const options = {
      lameDuckMs: this.#lameDuckMs,
      timeoutMs: shutdownTimeoutMs,
      ...(force === undefined ? {} : { force }),
    }
    const reports = await Promise.all([this.#callerServer.drain(options), this.#forwardServer.drain(options)])
    const cut = reports.flatMap((report) => report.cut)
    for (const request of cut) this.#logger.warn('request_cut', { step: 'daemon.stop', ...request })
    await this.#close()
    this.#logger.info('daemon_stopped', { step: 'daemon.stop', cut: cut.length })
    return { cut }
  }

  async #close(): Promise<void> {
    this.#stop.abort()
    for (const cell of this.#cells.values()) cell.close()
    this.#requestLedger.close()
    this.#audit.close()
    this.#membership.stop()
    this.#cellFinder.close()
    this.#clients.close()
    this.#gossipClients.close()
    this.#cellClients.close()
    await Promise.all(this.#rpcServers.map((server) => server.close()))
    this.#rpcServers = []
    this.#healthServer?.closeAllConnections()
    this.#healthServer?.close()
    this.#handler.close()
    for (const platform of this.#platformClients) platform.close()
  }

  #cell(cellId: string): CellHost {
    let cell = this.#cells.get(cellId)
    if (cell === undefined) {
      cell = new CellHost({
        cellId,
        clock: this.#clock,
        random: this.#random,
        directory: this.#membership,
        store: new CellStore({ table: this.#table, clock: this.#clock }),
        peers: new WireCellPeers(this.#cellClients),
        clients: this.#clients,
        hostVoterState: this.#voterState,
        hostSequence: () => this.#hostSequence,
        invariants: this.#invariants,
        logger: this.#logger,
      })
      this.#cells.set(cellId, cell)
      this.#storeBlockedRequests(cell)
    }
    return cell
  }

  #storeBlockedRequests(cell: CellHost): void {
    cell.pool.onBlocked((entry) => {
      this.#logger.warn('request_blocked', { step: 'limits.block', cellId: cell.cellId, ...entry })
      void this.#blockedStore.add(entry, this.#stop.signal)
    })
  }

  #acceptConfiguration(configuration: Configuration): void {
    const { bytes, hash } = encodeConfiguration(configuration)
    this.#membership.offerConfiguration(bytes, hash)
  }

  /**
   * Reserves the host sequence number. Until it has one, this host serves callers but does not coordinate a
   * cell.
   */
  async #reserveSequence(): Promise<void> {
    const { signal } = this.#stop
    while (!signal.aborted) {
      const reserved = await HostSequence.reserve(this.#table, { clock: this.#clock })
      if (reserved.isOk) {
        this.#hostSequence = reserved.value
        this.#membership.setHostSequence(reserved.value)
        return
      }
      await this.#clock.sleep(platformRetryMs, signal)
    }
  }

  async #sweepRequestLedger(): Promise<void> {
    const { signal } = this.#stop
    while (!signal.aborted) {
      await this.#clock.sleep(sweepIntervalMs * (0.5 + this.#random.float()), signal)
      // One host of each domain is enough: the coordinator.
      if ([...this.#cells.values()].some(({ pool }) => pool.active)) await this.#requestLedger.sweep()
    }
  }

  /**
   * Logs and audits each change of the coordinator role of this host's cell, and loads the blocked requests
   * when this host becomes the coordinator.
   */
  async #watchCoordinatorRole(cellId: string): Promise<void> {
    const { signal } = this.#stop
    const cell = this.#cell(cellId)
    let wasActive = false
    while (!signal.aborted) {
      await this.#clock.sleep(100, signal)
      const { active, term = '' } = cell.pool
      this.metrics.coordinating.set({ cell: cellId }, active ? 1 : 0)
      if (active === wasActive) continue
      wasActive = active
      this.#logger.info('coordinator_changed', { step: 'ownership.role', cellId, term, active })
      const { version } = this.configuration
      void this.#backend.audit.record(randomUUID(), {
        who: this.hostId,
        action: active ? 'coordinator.start' : 'coordinator.end',
        subject: cellId,
        versionBefore: version,
        versionAfter: version,
        outcome: 'accepted',
        details: term,
      })
      if (active) void this.#loadBlockedRequests(cell)
    }
  }

  async #loadBlockedRequests(cell: CellHost): Promise<void> {
    const { signal } = this.#stop
    while (!signal.aborted && cell.pool.active) {
      const entries = await this.#blockedStore.load()
      if (entries !== undefined) {
        cell.pool.setBlocked(entries)
        return
      }
      await this.#clock.sleep(platformRetryMs, signal)
    }
  }
}
