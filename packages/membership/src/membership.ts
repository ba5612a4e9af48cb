/**
 * Membership: this host's identity, and what it has learned from its peers and the platform. The view that other
 * packages have of other hosts.
 */
import { randomBytes } from 'node:crypto'
import type { MessageInitShape } from '@bufbuild/protobuf'
import {
  PeerDirectory,
  Random,
  SilentLogger,
  SystemClock,
  domainOfCell,
  type Clock,
  type Configuration,
  type CoordinatorInfo,
  type InvariantReporter,
  type KnownCell,
  type Logger,
  type Peer,
  type RouterError,
} from '@pimentotally/core'
import type { HostList, ObjectStore, TableService } from '@pimentotally/storage'
import type {
  ExchangeRequest,
  ExchangeResponseSchema,
  FetchConfigurationResponseSchema,
  NotifyRequest,
} from '@pimentotally/wire'
import type { Result } from 'true-myth'
import { CellKnowledge } from './cell-knowledge.js'
import { LatestConfiguration } from './latest-configuration.js'
import { Contacts } from './contacts.js'
import { Gossip } from './gossip.js'
import { MemberEntry, MemberTable } from './member-table.js'
import type { PeerNetwork } from './peer-network.js'
import { pollPlatformConfiguration } from './platform-check.js'

export interface MembershipOptions {
  /** The configured name; unique in the deployment. */
  readonly name: string
  readonly domain: string
  readonly region: string
  /** IP address and port of the own peer listener. */
  readonly peerAddress: string
  /** IP address and port of the listener for forwarded requests; empty when there is none. */
  readonly forwardAddress?: string
  readonly network: PeerNetwork
  readonly invariants: InvariantReporter
  /** Peer addresses to try while nobody is known. */
  readonly seeds?: readonly string[]
  readonly table?: TableService
  readonly objects?: ObjectStore
  readonly hostList?: HostList
  readonly clock?: Clock
  readonly random?: Random
  readonly logger?: Logger
  /** Overrides the random suffix of the host id; for tests. */
  readonly hostId?: string
  readonly gossipIntervalMs?: number
  readonly callTimeoutMs?: number
  readonly checkIntervalMs?: number
  readonly removeAfterMs?: number
  readonly notifyFanOut?: number
  /** Members known of each other domain. */
  readonly sampleSize?: number
}

export class Membership extends PeerDirectory {
  readonly #clock: Clock
  readonly #random: Random
  readonly #logger: Logger
  readonly #options: MembershipOptions
  readonly #callTimeoutMs: number
  readonly #checkIntervalMs: number
  readonly #members: MemberTable
  readonly #cells: CellKnowledge
  readonly #configuration: LatestConfiguration
  readonly #contacts: Contacts
  readonly #gossip: Gossip
  readonly #stop = new AbortController()

  constructor(options: MembershipOptions) {
    super()
    const { name, domain, region, peerAddress, forwardAddress = '', seeds = [], invariants } = options
    const { clock = new SystemClock(), random = new Random(), logger = new SilentLogger() } = options
    const { removeAfterMs = 10_000, sampleSize = 8 } = options
    this.#options = options
    this.#clock = clock
    this.#random = random
    this.#logger = logger
    this.#callTimeoutMs = options.callTimeoutMs ?? 1000
    this.#checkIntervalMs = options.checkIntervalMs ?? 2000
    const hostId = options.hostId ?? `${name}-${randomBytes(4).toString('hex')}`
    const startedAtMs = clock.wallMs()
    const identity = { hostId, name, domain, region, peerAddress, forwardAddress, startedAtMs }
    this.#members = new MemberTable(
      { ...identity, hostSequence: 0, leaving: false, revision: 1 },
      { clock, random, removeAfterMs, sampleSize },
    )
    this.#cells = new CellKnowledge({ domain, clock, logger, invariants })
    this.#configuration = new LatestConfiguration(logger, invariants)
    this.#contacts = new Contacts({ members: this.#members, random, seeds })
    this.#gossip = new Gossip({
      network: options.network,
      members: this.#members,
      cells: this.#cells,
      configuration: this.#configuration,
      contacts: this.#contacts,
      clock,
      random,
      logger,
      intervalMs: options.gossipIntervalMs ?? 500,
      callTimeoutMs: this.#callTimeoutMs,
      notifyFanOut: options.notifyFanOut ?? 3,
      signal: this.#stop.signal,
    })
  }

  /** Starts gossip and the checks of the platform. */
  start(): void {
    const { table, objects, hostList } = this.#options
    void this.#gossip.run()
    if (table !== undefined && objects !== undefined) {
      void pollPlatformConfiguration({
        table,
        objects,
        clock: this.#clock,
        random: this.#random,
        logger: this.#logger,
        intervalMs: this.#checkIntervalMs,
        callTimeoutMs: this.#callTimeoutMs,
        isDue: () => this.#isCheckDue(),
        currentVersion: () => this.#configuration.current.version,
        onNewDocument: (bytes, hash) => {
          this.offerConfiguration(bytes, hash)
        },
        signal: this.#stop.signal,
      })
    }
    if (hostList !== undefined) void this.#followHostList(hostList)
  }

  /** Ends all tasks at once; `leave` comes first in a planned stop. */
  stop(): void {
    this.#stop.abort()
  }

  /** Announces that this host leaves; it goes on taking part until `stop`. */
  leave(): void {
    if (this.#members.self.leaving) return
    this.#members.changeSelf({ leaving: true })
    this.#gossip.notifyPeers({})
  }

  /** Sets the number reserved on the platform; it never falls. */
  setHostSequence(hostSequence: number): void {
    if (hostSequence <= this.#members.self.hostSequence) return
    this.#members.changeSelf({ hostSequence })
    this.#gossip.notifyPeers({})
  }

  /** Takes a configuration document if it is newer, and spreads it. */
  offerConfiguration(bytes: Uint8Array, hash: string): Result<boolean, RouterError> {
    return this.#gossip.offerConfiguration(bytes, hash)
  }

  override self(): Peer {
    return MemberEntry.toPeer(this.#members.self)
  }

  override peers(domain?: string): readonly Peer[] {
    return this.#members.list(domain).map(({ entry }) => MemberEntry.toPeer(entry))
  }

  /** Time since the host itself last confirmed its entry; Infinity for an unknown host. */
  ageMs(hostId: string): number {
    const member = this.#members.list().find(({ entry }) => entry.hostId === hostId)
    return member === undefined ? Infinity : this.#members.ageMs(member)
  }

  override coordinator(cellId: string): { info: CoordinatorInfo; heardAgoMs: number } | undefined {
    return this.#cells.coordinator(cellId)
  }

  override announce(info: CoordinatorInfo): void {
    this.#gossip.offerCoordinators([{ ...info, released: info.released === true, heardAgoMs: 0 }])
  }

  /** Takes a sign of life of a known coordinator, such as a heartbeat of its permit stream; spreads nothing. */
  confirmCoordinator(info: CoordinatorInfo, heardAgoMs: number): void {
    if (this.#cells.coordinator(info.cellId)?.info.term === info.term) {
      this.#cells.mergeCoordinator(info, heardAgoMs)
    }
  }

  /** The coordinator's host refuses connections: it counts as not heard of until there is another sign of life. */
  markCoordinatorUnreachable(info: CoordinatorInfo): void {
    this.#cells.markCoordinatorUnreachable(info)
  }

  override configuration(): Configuration {
    return this.#configuration.current
  }

  override onConfiguration(listener: (configuration: Configuration) => void): () => void {
    return this.#configuration.onChange(listener)
  }

  override cells(): readonly KnownCell[] {
    return this.#cells.cells()
  }

  override offerCell(cell: KnownCell): void {
    if (this.#cells.mergeCell(cell)) this.#gossip.startDetailedExchanges()
  }

  override onCoordinator(listener: (info: CoordinatorInfo) => void): () => void {
    return this.#cells.onCoordinator(listener)
  }

  /** Serves `PeerService.Exchange`; throws RouterError with the code of an IdentityRefusal. */
  handleExchange(request: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
    return this.#gossip.handleExchange(request)
  }

  /** Serves `PeerService.Notify`; throws RouterError with the code of an IdentityRefusal. */
  handleNotify(request: NotifyRequest): void {
    this.#gossip.handleNotify(request)
  }

  /** Serves `PeerService.FetchConfiguration`. */
  handleFetchConfiguration(): MessageInitShape<typeof FetchConfigurationResponseSchema> {
    const { version, hash } = this.#configuration.current
    return { version, hash, document: this.#configuration.document }
  }

  async #followHostList(hostList: HostList): Promise<void> {
    const { signal } = this.#stop
    while (!signal.aborted) {
      const listed = await hostList.list({ timeoutMs: this.#callTimeoutMs })
      if (listed.isOk) this.#contacts.setListedHosts(listed.value)
      const alone = this.#members.list().length === 0
      await this.#clock.sleep((alone ? 2000 : 30_000) * (0.75 + 0.5 * this.#random.float()), signal)
    }
  }

  /**
   * The coordinator of the domain's first cell looks. While none was heard lately, the host with the lowest id does,
   * and each other host with a probability that adds up to one look of the domain in an interval.
   */
  #isCheckDue(): boolean {
    const { domain, hostId } = this.#members.self
    const heard = this.#cells
      .coordinators()
      .filter(
        ({ cellId, heardAgoMs }) => domainOfCell(cellId) === domain && heardAgoMs < 2 * this.#checkIntervalMs,
      )
      .sort((a, b) => (a.cellId < b.cellId ? -1 : 1))
    if (heard[0] !== undefined) return heard[0].hostId === hostId
    const others = this.#members.list(domain).map(({ entry }) => entry.hostId)
    return others.every((other) => hostId < other) || this.#random.float() * others.length < 1
  }
}
