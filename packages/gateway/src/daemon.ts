/**
 * Composition of the gateway daemon: replicas of the store, leader election,
 * assignment of keys, listeners, stop and reload.
 */
import { randomUUID } from 'node:crypto'
import { TargetSpeeds } from '@pimentotally/assignment'
import { Random, type Clock, type Logger } from '@pimentotally/core'
import { splitAddress } from '@pimentotally/http'
import {
  PlatformStore,
  TargetCalls,
  hasRelevantChange,
  storeTables,
  type HostSettings,
} from '@pimentotally/platform'
import type { RowStore } from '@pimentotally/storage'
import { CallerServer } from './caller-server.js'
import { ChangeLog } from './change-log.js'
import { Directory } from './directory.js'
import { Dispatcher } from './dispatcher.js'
import { feedSources } from './feed-sources.js'
import { AssignmentController } from './assignment-controller.js'
import { PeerReports, reportPath } from './peer-reports.js'
import { Leadership } from './leadership.js'
import { GatewayMetrics } from './metrics.js'
import { encodeHost, isRenewalOnly, routerStateKeys } from './router-state-rows.js'
import { PeerServer, type PeerHandler } from './peer-server.js'
import { Reachability } from './reachability.js'
import { Relay, RelayedStore, relayPath, type RelayedTable } from './relay.js'
import { Replica, type ReplicaChange } from './replica.js'
import { StatusServer } from './status-server.js'
import { TargetObservations } from './target-observations.js'

/** Below half of the time within which a leaving target may still get requests. */
const registerIntervalShare = 0.4
/**
 * Share of the shortest bound on a change by the operator that a feed call may wait: a leader that was cut off must be
 * noticed well before the bound.
 */
const feedWaitShare = 0.4
/** Allowed beyond the wait of a feed before a copy is too old to be passed on. */
const maxRelayDelayMs = 500
/** Without the router state, a host that starts reads the other tables itself after this time. */
const ownTableWaitMs = 400
/** The load balancer takes a host out after two misses, a second apart. */
const lameDuckMs = 2400
/** Between the last cut and the end that the platform forces. */
const stopMarginMs = 450

export interface DaemonOptions {
  readonly settings: HostSettings
  readonly clock: Clock
  readonly logger: Logger
  /** For tests; the platform's store by default. */
  readonly store?: RowStore
  readonly random?: Random
}

export class Daemon {
  readonly #settings: HostSettings
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #store: RowStore
  readonly #directory: Directory
  readonly #reachability: Reachability
  readonly #targets: TargetObservations
  readonly #dispatcher: Dispatcher
  readonly #callers: CallerServer
  readonly #leadership: Leadership
  readonly #reports: PeerReports
  readonly #metrics = new GatewayMetrics()
  readonly #tables: ReadonlyMap<string, RelayedTable>
  readonly #peers: PeerServer
  readonly #keys: AssignmentController
  readonly #readiness: StatusServer
  readonly #metricsServer: StatusServer
  readonly #processId: string
  readonly #peerAddress: string
  #draining = false
  #stopped = false
  #limitsVersion: number | undefined

  constructor({ settings, clock, logger, store, random = new Random() }: DaemonOptions) {
    this.#settings = settings
    this.#clock = clock
    this.#logger = logger
    this.#store = store ?? new PlatformStore({ address: settings.storeAddress })
    this.#processId = `${settings.hostName}-${randomUUID().slice(0, 8)}`
    const { bounds, hostName, domain, ip, peerPort } = settings
    this.#peerAddress = `${ip}:${String(peerPort)}`
    this.#directory = new Directory({ clock, logger, heartbeatMs: settings.heartbeatMs })
    const directory = this.#directory
    const speeds = new TargetSpeeds()
    this.#reachability = new Reachability({
      clock,
      logger,
      directory,
      domain,
      hasNoTableSource: () => [...this.#tables.values()].every(({ replica }) => replica.isFailing),
    })
    this.#targets = new TargetObservations({
      clock,
      logger,
      directory,
      hostName,
      reachability: this.#reachability,
      observeOccupancy: (target, occupancy) => {
        this.#reports.observeOccupancy(target, occupancy)
      },
      meanOccupancy: (service) => this.#reports.occupancy(service),
    })
    this.#reports = new PeerReports({
      clock,
      logger,
      directory,
      processId: this.#processId,
      sources: () => this.#sources(),
      keyLoad: (service) => this.#keys.keyLoad(service),
      speeds,
      shares: () => this.#keys.shares(),
      adoptSpeeds: (factors) => {
        this.#targets.adoptSpeeds(factors)
      },
    })
    this.#dispatcher = new Dispatcher({
      clock,
      logger,
      random,
      directory,
      targets: this.#targets,
      metrics: this.#metrics,
      domain,
      retryBudget: { ratio: bounds.retryRatio, windowMs: bounds.retryWindowMs, slack: bounds.retrySlack },
      countKey: (service, key) => {
        this.#reports.countRequests(service, key)
      },
      observeSpeed: (target, factor) => {
        this.#reports.observeSpeed(target, factor)
      },
      admittedShare: (target) => this.#reports.share(target),
    })
    this.#callers = new CallerServer({
      clock,
      logger,
      directory,
      dispatcher: this.#dispatcher,
      shouldCloseConnections: () => this.#reachability.isCutOff,
    })
    this.#leadership = new Leadership({
      clock,
      logger,
      store: this.#store,
      directory,
      processId: this.#processId,
      peerAddress: this.#peerAddress,
      takeoverOffset: random.float(),
      maxHoldMs: bounds.maxHoldMs,
      hasLargestCapacity: () =>
        [...directory.hosts.values()].every(({ capacity }) => capacity <= settings.capacity),
    })
    this.#keys = new AssignmentController({
      clock,
      logger,
      store: this.#store,
      directory,
      leadership: this.#leadership,
      targetControl: new TargetCalls(),
      speeds,
      maxHoldMs: bounds.maxHoldMs,
      workMs: (service) => this.#dispatcher.serviceWorkMs(service),
      occupancy: (target) => this.#reports.targetOccupancy(target),
      stored: () => {
        relayedStore.expedite(storeTables.routerState)
      },
    })
    const feedWaitMs = Math.floor(feedWaitShare * Math.min(bounds.configurationMs, bounds.evacuationMs))
    const confirmationIntervalMs = Math.min(feedWaitMs, bounds.drainMs * registerIntervalShare)
    const relayedStore = new RelayedStore({
      store: this.#store,
      clock,
      logger,
      sources: () => this.#sources(),
      confirmationIntervalMs,
      // Targets write heartbeats all the time, and a leader renews its lease.
      mayLongPoll: (table) =>
        table === storeTables.operator ||
        (table === storeTables.routerState && !this.#leadership.hasCurrentLeader),
    })
    /** `apply` returns the keys of rows that other hosts must not take either. */
    const follow = (
      table: string,
      log: ChangeLog,
      apply: (change: ReplicaChange) => readonly string[],
    ): RelayedTable => ({
      log,
      maxAgeMs: confirmationIntervalMs + maxRelayDelayMs,
      replica: new Replica({
        store: relayedStore,
        table,
        clock,
        logger,
        waitMs: confirmationIntervalMs,
        listener: {
          onRefreshed: (change) => {
            const ignored = apply(change)
            log.record({ ...change, changed: change.changed.filter(({ key }) => !ignored.includes(key)) })
          },
        },
      }),
    })
    const targetRegistry = new ChangeLog({ isRelevant: (row, previous) => hasRelevantChange(row, previous) })
    const routerState = new ChangeLog({ isUrgent: (row, previous) => !isRenewalOnly(row, previous) })
    this.#tables = new Map([
      [
        storeTables.operator,
        follow(storeTables.operator, new ChangeLog(), (change) => {
          directory.applyOperatorTable(change)
          this.#applyLimits()
          return []
        }),
      ],
      [
        storeTables.targetRegistry,
        follow(storeTables.targetRegistry, targetRegistry, (change) => {
          const outdated = directory.applyTargetRegistry(change)
          this.#targets.dropRemovedTargets()
          return outdated
        }),
      ],
      [
        storeTables.routerState,
        follow(storeTables.routerState, routerState, (change) => {
          directory.applyRouterState(change)
          return []
        }),
      ],
    ])
    const relay = new Relay(this.#tables, clock)
    this.#peers = new PeerServer(
      new Map<string, PeerHandler>([
        [`POST ${reportPath}`, (_query, body) => this.#reports.receive(body)],
        [`GET ${relayPath}`, (query) => relay.answer(query)],
      ]),
      logger,
    )
    this.#readiness = new StatusServer('/readyz', () =>
      this.isReady ? { status: 200, body: 'ready\n' } : { status: 503, body: 'not ready\n' },
    )
    this.#metricsServer = new StatusServer('/metrics', async () => ({
      status: 200,
      body: await this.#metrics.text(),
    }))
  }

  get isReady(): boolean {
    const { routes, isTargetRegistryKnown, isRouterStateKnown } = this.#directory
    const isComplete = routes !== undefined && isTargetRegistryKnown && isRouterStateKnown
    return !this.#draining && isComplete && !this.#reachability.isCutOff
  }

  async start(): Promise<void> {
    const { listen, hostName, domain, ip, peerPort, metricsPort } = this.#settings
    const ready = splitAddress(listen.readiness)
    await this.#callers.listen(listen.callers)
    await this.#readiness.listen(ready.host, ready.port)
    await this.#peers.listen(ip, peerPort)
    this.#logger.info('daemon.started', { processId: this.#processId, host: hostName, domain })
    void this.#follow()
    void this.#register()
    void this.#leadership.run()
    void this.#reports.run()
    void this.#keys.run()
    await this.#metricsServer.listen(ip, metricsPort)
    await this.#loadMetrics()
  }

  /** Resolves when everything in flight has ended, or when the time for the stop is used up. */
  async stop(reason: string): Promise<void> {
    if (this.#draining) return
    const startedMs = this.#clock.monotonicMs()
    this.#draining = true
    this.#logger.info('daemon.stopping', { reason, inFlight: this.#callers.inFlight })
    this.#callers.startDraining()
    this.#keys.stop()
    await this.#leadership.stop()
    const usedMs = this.#clock.monotonicMs() - startedMs
    await this.#clock.sleep(Math.max(0, lameDuckMs - usedMs))
    const leftMs = this.#settings.bounds.stopMs - stopMarginMs - (this.#clock.monotonicMs() - startedMs)
    const cut = await this.#callers.closeWhenDrained(Math.max(0, leftMs))
    this.#stopped = true
    for (const { replica } of this.#tables.values()) replica.stop()
    this.#peers.close()
    this.#reports.stop()
    this.#reachability.stop()
    this.#readiness.close()
    this.#metricsServer.close()
    this.#logger.info('daemon.stopped', { cut, tookMs: this.#clock.monotonicMs() - startedMs })
  }

  /** The router state names the hosts from which the others can be taken. */
  async #follow(): Promise<void> {
    const { replica: own } = this.#tables.get(storeTables.routerState) ?? {}
    void own?.run()
    for (let waitedMs = 0; !this.#directory.isRouterStateKnown && waitedMs < ownTableWaitMs; waitedMs += 20) {
      await this.#clock.sleep(20)
    }
    for (const { replica } of this.#tables.values()) if (replica !== own) void replica.run()
  }

  #sources(): string[] {
    const { leader, hosts } = this.#directory
    const { hostName, domain } = this.#settings
    const leaderAddress =
      leader === undefined || leader.record.released ? undefined : leader.record.peerAddress
    return feedSources({ hostName, domain, hosts, leaderAddress })
  }

  #applyLimits(): void {
    const configuration = this.#directory.routes?.configuration
    if (configuration === undefined || configuration.version === this.#limitsVersion) return
    this.#limitsVersion = configuration.version
    this.#callers.applyLimits(configuration.limits)
  }

  /** Makes this host known to the others, which divide budgets by the number of hosts. */
  async #register(): Promise<void> {
    const key = routerStateKeys.host(this.#settings.hostName)
    const { domain, capacity } = this.#settings
    const value = encodeHost({ peerAddress: this.#peerAddress, domain, capacity })
    while (!this.#stopped) {
      const written = await this.#store.commit({
        conditions: [],
        writes: [{ table: storeTables.routerState, key, value }],
      })
      if (written.isOk) return
      this.#logger.warn('host.register_failed', { ...written.error })
      await this.#clock.sleep(700)
    }
  }

  async #loadMetrics(): Promise<void> {
    const directory = this.#directory
    await this.#metrics.load([
      {
        name: 'pimentotally_requests_in_flight',
        help: 'Requests without an answer',
        read: () => this.#callers.inFlight,
      },
      {
        name: 'pimentotally_caller_connections',
        help: 'Connections of callers',
        read: () => this.#callers.connections,
      },
      {
        name: 'pimentotally_config_version',
        help: 'Version of the configuration in force',
        read: () => directory.routes?.configuration.version ?? 0,
      },
      {
        name: 'pimentotally_leader',
        help: '1 while this host assigns keys',
        read: () => (this.#leadership.tenure === undefined ? 0 : 1),
      },
      {
        name: 'pimentotally_malformed_rows_total',
        help: 'Rows of the store that could not be read',
        read: () => directory.malformedRows,
      },
      {
        name: 'pimentotally_store_age_seconds',
        help: 'Age of the oldest replica of the store',
        read: () => Math.max(...[...this.#tables.values()].map(({ replica }) => replica.ageMs() ?? 0)) / 1000,
      },
    ])
  }
}
