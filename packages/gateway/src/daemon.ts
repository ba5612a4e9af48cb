/**
 * Composes the gateway daemon of its parts: replicas of the store's tables, leader election, the assignment
 * of keys, the path of requests, and the servers. Starts and stops them.
 */
import { randomUUID } from 'node:crypto'
import { TargetSpeeds } from '@pimentotally/assignment'
import { Random, type Clock, type Logger } from '@pimentotally/core'
import { splitAddress } from '@pimentotally/http'
import { BodyRefusal } from '@pimentotally/routing'
import {
  PlatformStore,
  TargetCalls,
  hasRelevantChange,
  storeTables,
  type HostSettings,
} from '@pimentotally/platform'
import { eraOf, type RowStore } from '@pimentotally/storage'
import { CallerServer } from './caller-server.js'
import { ChangeLog } from './change-log.js'
import { CrashingRequests } from './crashing-requests.js'
import { Directory } from './directory.js'
import { Dispatcher } from './dispatcher.js'
import { feedSources } from './feed-sources.js'
import { FirstConfiguration } from './first-configuration.js'
import { AssignmentController } from './assignment-controller.js'
import { PeerReports, reportPath } from './peer-reports.js'
import { Leadership } from './leadership.js'
import { GatewayMetrics, type LabelledGauge, type SampledGauge } from './metrics.js'
import { encodeHost, isRenewalOnly, routerStateKeys } from './router-state-rows.js'
import { PeerServer, type PeerHandler } from './peer-server.js'
import { Reachability } from './reachability.js'
import { Relay, RelayedStore, relayPath, type RelayedTable } from './relay.js'
import { Replica, type ReplicaChange } from './replica.js'
import { QuotaLending, type QuotaUse } from './quota-lending.js'
import { TenantQuotas, quotaPath, type TenantUse } from './quotas.js'
import { StatusServer } from './status-server.js'
import { TargetObservations } from './target-observations.js'

/**
 * Longest interval between two reads by which the store confirms the copy of a table, as a share of the time
 * within which a leaving target may still get requests; less than half of that time.
 */
const confirmationDrainShare = 0.4
/**
 * Longest wait of a call for the next changes, as a share of the shortest time within which a change by the
 * operator must be in force: a leader that was cut off must be noticed well before that time is over.
 */
const followWaitShare = 0.4
/** Copies of tables may be passed on until this long after the store should have confirmed them again. */
const maxRelayDelayMs = 500
/**
 * Longest wait of a starting host for the router state, which names the hosts that copies of the other tables
 * can be taken from. After it, the host reads these tables from the store itself.
 */
const routerStateWaitMs = 400
/**
 * A stopping host goes on accepting requests for this time, while it reports that it is not ready. The load
 * balancer takes a host out after two failed checks, a second apart.
 */
const lameDuckMs = 2400
/** Most tenants in the metrics; each one is a series of its own. */
const maxTenantSeries = 20
/** Margin between the end of the wait for requests in flight and the platform's SIGKILL. */
const stopMarginMs = 450

export interface DaemonOptions {
  readonly settings: HostSettings
  readonly clock: Clock
  readonly logger: Logger
  /** Replaces the platform's store in tests. */
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
  readonly #crashingRequests: CrashingRequests
  readonly #dispatcher: Dispatcher
  readonly #callerServer: CallerServer
  readonly #leadership: Leadership
  readonly #peerReports: PeerReports
  /** Undefined where no quotas are in force. */
  readonly #quotas: TenantQuotas | undefined
  readonly #quotaLending: QuotaLending | undefined
  readonly #metrics = new GatewayMetrics()
  readonly #tables: ReadonlyMap<string, RelayedTable>
  readonly #peerServer: PeerServer
  readonly #assignmentController: AssignmentController
  readonly #readinessServer: StatusServer
  readonly #metricsServer: StatusServer
  readonly #processId: string
  readonly #peerAddress: string
  /** Set when the stop begins. */
  #draining = false
  /** The stop in progress, or the one that has ended. */
  #stopping: Promise<void> | undefined
  /** Set when the stop no longer waits for requests in flight. */
  #stopped = false
  /** Era of the store in which this host's row was last written; undefined while it is being written. */
  #registeredEra: number | undefined
  /** Version of the configuration whose limits were last applied. */
  #limitsVersion: number | undefined

  constructor({ settings, clock, logger, store, random = new Random() }: DaemonOptions) {
    this.#settings = settings
    this.#clock = clock
    this.#logger = logger
    this.#store = store ?? new PlatformStore({ address: settings.storeAddress })
    this.#processId = `${settings.hostName}-${randomUUID().slice(0, 8)}`
    const { bounds, hostName, domain, ip, peerPort } = settings
    this.#peerAddress = `${ip}:${String(peerPort)}`
    this.#directory = new Directory({
      clock,
      logger,
      heartbeatMs: settings.heartbeatMs,
      hasPressure: settings.hasPressure,
    })
    const directory = this.#directory
    const speeds = new TargetSpeeds()
    this.#reachability = new Reachability({
      clock,
      logger,
      directory,
      domain,
      hasNoTableSource: () => [...this.#tables.values()].every(({ replica }) => replica.isFailing),
    })
    const crashingRequests = new CrashingRequests({ clock, logger, directory, hostName })
    this.#crashingRequests = crashingRequests
    this.#targets = new TargetObservations({
      clock,
      logger,
      directory,
      hostName,
      reachability: this.#reachability,
      discarded: (service, reason) => {
        this.#metrics.responseDiscarded(service, reason)
      },
      observeOccupancy: (target, occupancy) => {
        this.#peerReports.observeOccupancy(target, occupancy)
      },
      meanOccupancy: (service) => this.#peerReports.occupancy(service),
      hearsOtherHosts: () => this.#peerReports.hasCurrentGuidance(),
    })
    this.#peerReports = new PeerReports({
      clock,
      logger,
      directory,
      processId: this.#processId,
      sources: () => this.#sources(),
      keyLoad: (service) => this.#assignmentController.keyLoad(service),
      speeds,
      shares: () => this.#assignmentController.shares(),
      adoptSpeeds: (factors) => {
        this.#targets.adoptSpeeds(factors)
      },
      limits: this.#targets.limits,
      crashingRequests,
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
    if (bounds.quota !== undefined) {
      const lending = new QuotaLending({
        clock,
        logger,
        directory,
        leadership: this.#leadership,
        bounds: bounds.quota,
        routerStateAgeMs: () => this.#tables.get(storeTables.routerState)?.replica.ageMs(),
      })
      this.#quotaLending = lending
      this.#quotas = new TenantQuotas({
        clock,
        logger,
        random,
        directory,
        processId: this.#processId,
        hostName,
        bounds: bounds.quota,
        lending,
      })
    }
    this.#dispatcher = new Dispatcher({
      clock,
      logger,
      random,
      directory,
      targets: this.#targets,
      crashingRequests,
      metrics: this.#metrics,
      domain,
      retryBudget: { ratio: bounds.retryRatio, windowMs: bounds.retryWindowMs, slack: bounds.retrySlack },
      countKey: (service, key) => {
        this.#peerReports.countRequests(service, key)
      },
      observeSpeed: (target, factor) => {
        this.#peerReports.observeSpeed(target, factor)
      },
      registryAgeMs: () => this.#tables.get(storeTables.targetRegistry)?.replica.ageMs(),
      admittedShare: (target) => this.#peerReports.share(target),
      ...(this.#quotas === undefined ? {} : { quotas: this.#quotas }),
      picture: (service) => this.#peerReports.picture(service),
      countUnkeyed: (service) => {
        this.#peerReports.countUnkeyed(service, domain)
      },
    })
    this.#callerServer = new CallerServer({
      clock,
      logger,
      directory,
      dispatcher: this.#dispatcher,
      metrics: this.#metrics,
      memoryBytes: settings.memoryBytes,
      maxDescriptors: settings.maxDescriptors,
      shouldCloseConnections: () => this.#reachability.isCutOff,
    })
    this.#assignmentController = new AssignmentController({
      clock,
      logger,
      store: this.#store,
      directory,
      leadership: this.#leadership,
      targetControl: new TargetCalls({
        leaving: ({ id, address }) => {
          const target = directory.target(id)
          if (target?.address === address) directory.recordLeaving(id, target.startedAtEpochMs)
        },
      }),
      speeds,
      maxHoldMs: bounds.maxHoldMs,
      workMs: (service) => this.#dispatcher.serviceWorkMs(service),
      occupancy: (target) => this.#peerReports.targetOccupancy(target),
      requestLimit: (target) => this.#targets.limits.lastingLimit(target),
      averageSlowdown: (service) => this.#targets.averageSlowdown(service),
      stored: () => {
        relayedStore.expedite(storeTables.routerState)
      },
    })
    const followWaitMs = Math.floor(followWaitShare * Math.min(bounds.configurationMs, bounds.evacuationMs))
    const confirmationIntervalMs = Math.min(followWaitMs, bounds.drainMs * confirmationDrainShare)
    const maxAgeMs = confirmationIntervalMs + maxRelayDelayMs
    const firstConfiguration = new FirstConfiguration({
      clock,
      logger,
      directory,
      peerAddress: this.#peerAddress,
    })
    const relayedStore = new RelayedStore({
      store: this.#store,
      clock,
      logger,
      sources: () => this.#sources(),
      confirmationIntervalMs,
      maxAgeMs,
      // The other tables change all the time: targets write heartbeats, and a leader renews its lease.
      mayLongPoll: (table) =>
        table === storeTables.operator ||
        (table === storeTables.routerState && !this.#leadership.hasCurrentLeader),
      complete: (...read) => firstConfiguration.complete(...read),
    })
    /**
     * The replica of a table, and what this host needs to pass copies on to other hosts. `apply` returns the
     * keys of rows that it ignored; they are not passed on to other hosts either.
     */
    const relayedTable = (
      table: string,
      log: ChangeLog,
      apply: (change: ReplicaChange) => readonly string[],
    ): RelayedTable => ({
      log,
      maxAgeMs,
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
    const registryLog = new ChangeLog({ isRelevant: (row, previous) => hasRelevantChange(row, previous) })
    const routerStateLog = new ChangeLog({ isUrgent: (row, previous) => !isRenewalOnly(row, previous) })
    this.#tables = new Map([
      [
        storeTables.operator,
        relayedTable(storeTables.operator, new ChangeLog(), (change) => {
          const ignored = directory.applyOperatorTable(change)
          this.#applyLimits()
          return ignored
        }),
      ],
      [
        storeTables.targetRegistry,
        relayedTable(storeTables.targetRegistry, registryLog, (change) => {
          const outdated = directory.applyTargetRegistry(change)
          this.#targets.dropRemovedTargets()
          return outdated
        }),
      ],
      [
        storeTables.routerState,
        relayedTable(storeTables.routerState, routerStateLog, (change) => {
          directory.applyRouterState(change)
          if (this.#registeredEra !== undefined && this.#registeredEra < directory.routerStateEra) {
            void this.#registerHost()
          }
          return []
        }),
      ],
    ])
    const relay = new Relay(this.#tables, clock)
    this.#peerServer = new PeerServer(
      new Map<string, PeerHandler>([
        [`POST ${reportPath}`, (_query, body) => this.#peerReports.receive(body)],
        [`GET ${relayPath}`, (query) => relay.respond(query)],
        [`POST ${quotaPath}`, (_query, body) => this.#quotaLending?.receive(body) ?? { status: 404 }],
      ]),
      logger,
    )
    this.#readinessServer = new StatusServer('/readyz', () =>
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
    const readiness = splitAddress(listen.readiness)
    await this.#callerServer.listen(listen.callers)
    await this.#readinessServer.listen(readiness.host, readiness.port)
    await this.#peerServer.listen(ip, peerPort)
    this.#logger.info('daemon.started', { processId: this.#processId, host: hostName, domain })
    void this.#startReplicas()
    void this.#registerHost()
    void this.#leadership.run()
    void this.#peerReports.run()
    void this.#quotas?.run()
    void this.#assignmentController.run()
    await this.#metricsServer.listen(ip, metricsPort)
    await this.#loadMetrics()
  }

  /**
   * Stops the daemon; resolves when no request is in flight, or when the time for the stop is used up. Further
   * calls, as for a second signal, wait for the stop in progress.
   */
  stop(reason: string): Promise<void> {
    if (this.#stopping !== undefined) this.#logger.info('daemon.stop_repeated', { reason })
    this.#stopping ??= this.#stop(reason)
    return this.#stopping
  }

  async #stop(reason: string): Promise<void> {
    const startedMs = this.#clock.monotonicMs()
    this.#draining = true
    this.#logger.info('daemon.stopping', { reason, inFlight: this.#callerServer.inFlight })
    this.#callerServer.startDraining()
    this.#assignmentController.stop()
    await this.#leadership.stop()
    const usedMs = this.#clock.monotonicMs() - startedMs
    await this.#clock.sleep(Math.max(0, lameDuckMs - usedMs))
    await this.#callerServer.readArrived()
    const leftMs = this.#settings.bounds.stopMs - stopMarginMs - (this.#clock.monotonicMs() - startedMs)
    const cut = await this.#callerServer.closeWhenDrained(Math.max(0, leftMs))
    this.#stopped = true
    for (const { replica } of this.#tables.values()) replica.stop()
    this.#peerServer.close()
    this.#peerReports.stop()
    this.#quotas?.stop()
    this.#reachability.stop()
    this.#readinessServer.close()
    this.#metricsServer.close()
    this.#logger.info('daemon.stopped', { cut, tookMs: this.#clock.monotonicMs() - startedMs })
  }

  /**
   * Starts the replicas, first that of the router state: it names the hosts that have copies of the others.
   */
  async #startReplicas(): Promise<void> {
    const { replica: first } = this.#tables.get(storeTables.routerState) ?? {}
    void first?.run()
    for (
      let waitedMs = 0;
      !this.#directory.isRouterStateKnown && waitedMs < routerStateWaitMs;
      waitedMs += 20
    ) {
      await this.#clock.sleep(20)
    }
    for (const { replica } of this.#tables.values()) if (replica !== first) void replica.run()
  }

  /** Addresses of the hosts that copies of the tables are taken from and reports are sent to, in order. */
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
    this.#callerServer.applyLimits(configuration.limits)
  }

  /**
   * Writes the row that makes this host known to the others, which divide budgets by the number of hosts. An
   * older copy of the store may lack it.
   */
  async #registerHost(): Promise<void> {
    this.#registeredEra = undefined
    const key = routerStateKeys.host(this.#settings.hostName)
    const { domain, capacity } = this.#settings
    const value = encodeHost({ peerAddress: this.#peerAddress, domain, capacity })
    while (!this.#stopped) {
      const written = await this.#store.commit({
        conditions: [],
        writes: [{ table: storeTables.routerState, key, value }],
      })
      if (written.isOk) {
        this.#registeredEra = eraOf(written.value)
        return
      }
      this.#logger.warn('host.register_failed', { ...written.error })
      await this.#clock.sleep(700)
    }
  }

  async #loadMetrics(): Promise<void> {
    const directory = this.#directory
    const tenantRequests: LabelledGauge = {
      name: 'pimentotally_tenant_requests',
      help: 'Requests by tenant and outcome within the last full minute; the busiest tenants and the others',
      labelNames: ['tenant', 'outcome'],
      read: () => this.#dispatcher.tenantRequests.samples(),
    }
    const gauges: readonly SampledGauge[] = [
      {
        name: 'pimentotally_requests_in_flight',
        help: 'Requests without an answer',
        read: () => this.#callerServer.inFlight,
      },
      {
        name: 'pimentotally_caller_connections',
        help: 'Connections of callers',
        read: () => this.#callerServer.connections,
      },
      {
        name: 'pimentotally_caller_body_bytes',
        help: 'Memory that the bodies of requests take, while they arrive and in flight',
        read: () => this.#callerServer.heldBodyBytes,
      },
      {
        name: 'pimentotally_bodies_refused_for_room_total',
        help: 'Requests that were refused while their bodies arrived, for lack of memory',
        read: () => this.#callerServer.refusedBodies(BodyRefusal.room),
      },
      {
        name: 'pimentotally_bodies_refused_for_pieces_total',
        help: 'Requests that were refused because their bodies arrived in too many small pieces',
        read: () => this.#callerServer.refusedBodies(BodyRefusal.pieces),
      },
      {
        name: 'pimentotally_caller_connections_closed_total',
        help: 'Connections of callers that were closed because there were too many',
        read: () => this.#callerServer.closedConnections,
      },
      {
        name: 'pimentotally_unread_connections_closed_total',
        help: 'Connections of callers that were closed because their answers were not read, for lack of memory',
        read: () => this.#callerServer.unreadConnectionsClosed,
      },
      {
        name: 'pimentotally_waiting_requests',
        help: 'Requests that wait on this host for room at a target',
        read: () => this.#dispatcher.lines.entries,
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
        name: 'pimentotally_leader_known',
        help: '0 while no host is known to lead, so that another one may take over',
        read: () => (this.#leadership.hasCurrentLeader ? 1 : 0),
      },
      {
        name: 'pimentotally_store_era',
        help: 'Rises by one each time the store has come back from an older copy',
        read: () => directory.routerStateEra,
      },
      {
        name: 'pimentotally_malformed_rows_total',
        help: 'Rows of the store that could not be read',
        read: () => directory.malformedRows,
      },
      {
        name: 'pimentotally_limited_targets',
        help: 'Targets that name a limit on their requests',
        read: () => this.#targets.limits.limitedTargets,
      },
      {
        name: 'pimentotally_unusable_limits_total',
        help: 'Responses of targets with a limit that could not be used',
        read: () => this.#targets.limits.unusableLimits,
      },
      {
        name: 'pimentotally_suspect_requests',
        help: 'Requests that have crashed a target and have not run to their end since',
        read: () => this.#crashingRequests.suspects,
      },
      {
        name: 'pimentotally_blocked_requests',
        help: 'Requests that are refused because they crash targets',
        read: () => this.#crashingRequests.blocked,
      },
      {
        name: 'pimentotally_tenants_behind',
        help: 'Tenants that go before others, as they were refused more often',
        read: () => this.#dispatcher.tenantsBehind,
      },
      {
        name: 'pimentotally_load_picture_age_seconds',
        help: 'Age of the shared picture of the load of targets; 0 when there is no recent one',
        read: () => (this.#peerReports.pictureAgeMs ?? 0) / 1000,
      },
      {
        name: 'pimentotally_load_picture_error',
        help: 'Mean difference between the requests that a target reports and those in the picture',
        read: () => this.#peerReports.pictureError,
      },
      {
        name: 'pimentotally_placed_home_total',
        help: 'Requests without a key that stayed in the failure domain of this host',
        read: () => this.#dispatcher.selector.placement.placed.home,
      },
      {
        name: 'pimentotally_placed_overflow_total',
        help: 'Requests without a key sent to another domain, as the own one has more than it can serve',
        read: () => this.#dispatcher.selector.placement.placed.overflow,
      },
      {
        name: 'pimentotally_placed_waiting_total',
        help: 'Requests without a key sent to another domain, as they would wait too long in the own one',
        read: () => this.#dispatcher.selector.placement.placed.waiting,
      },
      {
        name: 'pimentotally_placed_no_target_total',
        help: 'Requests without a key for which no target of the own domain could be used',
        read: () => this.#dispatcher.selector.placement.placed.noTarget,
      },
      {
        name: 'pimentotally_store_age_seconds',
        help: 'Age of the oldest replica of the store',
        read: () => Math.max(...[...this.#tables.values()].map(({ replica }) => replica.ageMs() ?? 0)) / 1000,
      },
    ]
    await this.#metrics.load(gauges, [tenantRequests, ...this.#quotaGauges()])
  }

  #quotaGauges(): readonly LabelledGauge[] {
    const [quotas, lending] = [this.#quotas, this.#quotaLending]
    if (quotas === undefined || lending === undefined) return []
    const ofHost =
      (value: (use: TenantUse) => number): LabelledGauge['read'] =>
      () =>
        quotas.busiest(maxTenantSeries).map((use) => ({ labels: { tenant: use.tenant }, value: value(use) }))
    const ofLeader =
      (value: (use: QuotaUse) => number): LabelledGauge['read'] =>
      () =>
        lending.busiest(maxTenantSeries).map((use) => ({ labels: { tenant: use.tenant }, value: value(use) }))
    return [
      {
        name: 'pimentotally_quota_let_in_requests',
        help: 'Requests that this host let in since its start, of its busiest tenants with a quota',
        labelNames: ['tenant'],
        read: ofHost(({ letIn }) => letIn),
      },
      {
        name: 'pimentotally_quota_refused_requests',
        help: 'Requests of these that were beyond the quota',
        labelNames: ['tenant'],
        read: ofHost(({ refused }) => refused),
      },
      {
        name: 'pimentotally_quota_host_rate',
        help: 'Requests a second of the quota that this host was lent',
        labelNames: ['tenant'],
        read: ofHost(({ rate }) => rate),
      },
      {
        name: 'pimentotally_quota_demand',
        help: 'At the leader: requests a second that arrive at all hosts, by the busiest tenants',
        labelNames: ['tenant'],
        read: ofLeader(({ demand }) => demand),
      },
      {
        name: 'pimentotally_quota_lent_rate',
        help: 'At the leader: requests a second of the quota that are lent to hosts',
        labelNames: ['tenant'],
        read: ofLeader(({ lentRate }) => lentRate),
      },
    ]
  }
}
