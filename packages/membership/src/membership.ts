/**
 * Membership: this host's identity, and what it has learned from its peers and the platform. Other packages
 * see other hosts through this class.
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
  /** Peer addresses; each is called only while no member is known at this address. */
  readonly seeds?: readonly string[]
  readonly table?: TableService
  readonly objects?: ObjectStore
  readonly hostList?: HostList
  readonly clock?: Clock
  readonly random?: Random
  readonly logger?: Logger
  /** Overrides the random suffix of the host id; for tests. */
  readonly hostId?: string
  /** Mean time between two gossip rounds. */
  readonly gossipIntervalMs?: number
  /** Timeout of one call to a peer or to the platform. */
  readonly callTimeoutMs?: number
  /** Mean time between two checks of the platform for a newer configuration. */
  readonly checkIntervalMs?: number
  /** A member that was not confirmed for this long is removed. */
  readonly removeAfterMs?: number
  /** An update is sent to at most this many peers without waiting for the next gossip round. */
  readonly notifyFanOut?: number
  /** At most this many members of each other domain are known. */
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
    if (hostList !== undefined) void this.#pollHostList(hostList)
  }

  /** Ends all tasks at once. For a planned stop, call `leave` first. */
  stop(): void {
    this.#stop.abort()
  }

  /** Announces that this host leaves; gossip goes on until `stop`. */
  leave(): void {
    if (this.#members.self.leaving) return
    this.#members.changeSelf({ leaving: true })
    this.#gossip.notifyPeers({})
  }

  /** Sets the host sequence that was reserved on the platform; a lower one is ignored. */
  setHostSequence(hostSequence: number): void {
    if (hostSequence <= this.#members.self.hostSequence) return
    this.#members.changeSelf({ hostSequence })
    this.#gossip.notifyPeers({})
  }

  /**
   * Accepts a configuration document if it is newer, and then notifies peers of its version; false when it is
   * not newer. Fails when the document is invalid or `hash` is not its SHA-256.
   */
  offerConfiguration(bytes: Uint8Array, hash: string): Result<boolean, RouterError> {
    return this.#gossip.offerConfiguration(bytes, hash)
  }

  override self(): Peer {
    return MemberEntry.toPeer(this.#members.self)
  }

  override peers(domain?: string): readonly Peer[] {
    return this.#members.list(domain).map(({ entry }) => MemberEntry.toPeer(entry))
  }

  /** Milliseconds since the host last confirmed its own entry; Infinity for an unknown host. */
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

  /**
   * Records that a coordinator was heard from, for example by a heartbeat on its permit stream. Ignored unless
   * its term is the one known for the cell. Peers are not notified.
   */
  confirmCoordinator(info: CoordinatorInfo, heardAgoMs: number): void {
    if (this.#cells.coordinator(info.cellId)?.info.term === info.term) {
      this.#cells.mergeCoordinator(info, heardAgoMs)
    }
  }

  /**
   * Treats a coordinator whose host refuses connections as never heard from, until it is heard from again.
   */
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

  /** Serves `PeerService.FetchConfiguration`: the newest known configuration, whatever version is requested. */
  handleFetchConfiguration(): MessageInitShape<typeof FetchConfigurationResponseSchema> {
    const { version, hash } = this.#configuration.current
    return { version, hash, document: this.#configuration.document }
  }

  async #pollHostList(hostList: HostList): Promise<void> {
    const { signal } = this.#stop
    while (!signal.aborted) {
      const listed = await hostList.list({ timeoutMs: this.#callTimeoutMs })
      if (listed.isOk) this.#contacts.setListedHosts(listed.value)
      // The list is read more often while no member is known. The interval varies by a quarter either way.
      const hasNoMembers = this.#members.list().length === 0
      await this.#clock.sleep((hasNoMembers ? 2000 : 30_000) * (0.75 + 0.5 * this.#random.float()), signal)
    }
  }

  /**
   * Whether this host checks the platform in this interval. In each domain the coordinator of the first cell
   * does. While no coordinator was heard from recently, the host with the lowest id does, and so does each of
   * the others with a probability that adds up to one further check of the domain in an interval.
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
