/**
 * Gossip. Every round this host exchanges digests with a host of its own domain and one of another; only where the
 * digests differ do complete lists follow. News (a new coordinator, a configuration version, a leaving host) is
 * pushed to a few peers at once, each of which passes it on once.
 */
import type { MessageInitShape } from '@bufbuild/protobuf'
import { RouterError, domainOfCell, type Clock, type Logger, type Random } from '@pimentotally/core'
import type {
  ExchangeRequest,
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  Member,
  NotifyRequest,
  NotifyRequestSchema,
} from '@pimentotally/wire'
import type { Result } from 'true-myth'
import type { CellKnowledge, CoordinatorEntry } from './cell-knowledge.js'
import type { LatestConfiguration } from './latest-configuration.js'
import type { Contact, Contacts } from './contacts.js'
import type { KnownMember, MemberEntry, MemberTable } from './member-table.js'
import { IdentityRefusal, type PeerNetwork } from './peer-network.js'

export interface GossipOptions {
  readonly network: PeerNetwork
  readonly members: MemberTable
  readonly cells: CellKnowledge
  readonly configuration: LatestConfiguration
  readonly contacts: Contacts
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly intervalMs: number
  readonly callTimeoutMs: number
  readonly notifyFanOut: number
  readonly signal: AbortSignal
}

/** Digits of a configuration's hash in a digest. */
const hashPrefix = 12
/** Coordinators whose last sign of life each message carries. */
const maxHeard = 4
/** Older signs of life of a coordinator are not passed on. */
const heardWithinMs = 2000

export class Gossip {
  readonly #network: PeerNetwork
  readonly #members: MemberTable
  readonly #cells: CellKnowledge
  readonly #configuration: LatestConfiguration
  readonly #contacts: Contacts
  readonly #clock: Clock
  readonly #random: Random
  readonly #logger: Logger
  readonly #intervalMs: number
  readonly #callTimeoutMs: number
  readonly #newsFanOut: number
  readonly #signal: AbortSignal
  readonly #exchanging = new Set<string>()
  #fetching = false

  constructor(options: GossipOptions) {
    this.#network = options.network
    this.#members = options.members
    this.#cells = options.cells
    this.#configuration = options.configuration
    this.#contacts = options.contacts
    this.#clock = options.clock
    this.#random = options.random
    this.#logger = options.logger
    this.#intervalMs = options.intervalMs
    this.#callTimeoutMs = options.callTimeoutMs
    this.#newsFanOut = options.notifyFanOut
    this.#signal = options.signal
  }

  /** Runs until the signal aborts. */
  async run(): Promise<void> {
    const signal = this.#signal
    await this.#clock.sleep(this.#random.float() * this.#intervalMs, signal)
    while (!signal.aborted) {
      this.#members.expire()
      for (const contact of this.#contacts.choose(this.#knownDomains())) void this.#exchange(contact)
      await this.#clock.sleep(this.#intervalMs * (0.9 + 0.2 * this.#random.float()), signal)
    }
  }

  /** Domains that should have hosts: those declared and those with members. */
  #knownDomains(): ReadonlySet<string> {
    const declared = this.#configuration.current.deployment.domains.map(({ name }) => name)
    return new Set([...declared, ...this.#members.domains(), this.#members.self.domain])
  }

  /** Exchanges complete lists with the peers of one round, after news that digests only hint at. */
  startDetailedExchanges(): void {
    for (const contact of this.#contacts.choose(this.#knownDomains()))
      void this.#exchange(contact, { members: false })
  }

  /** Takes a configuration document if it is newer, and spreads it. */
  offerConfiguration(bytes: Uint8Array, hash: string): Result<boolean, RouterError> {
    const taken = this.#configuration.acceptIfNewer(bytes, hash)
    if (taken.isErr) {
      this.#logger.error('configuration refused', { step: 'configuration.take', error: taken.error })
    } else if (taken.value) {
      this.#logger.info('configuration taken', {
        step: 'configuration.take',
        version: this.#configuration.current.version,
      })
      this.notifyPeers({})
    }
    return taken
  }

  /** Serves `PeerService.Exchange`; throws RouterError with the code of an IdentityRefusal. */
  handleExchange(request: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
    const sender = this.#admit('peer.exchange', request.toHostId, request.self)
    this.#takeMembers(request.members)
    if (request.confirmations !== undefined) this.#members.confirm(request.confirmations)
    this.offerCoordinators(request.coordinators)
    this.#noticeConfiguration(sender, request.configVersion, request.configHash)
    const { detailed, cellEpochs, membersHash } = request
    const sameDomain = sender.domain === this.#members.self.domain
    const sendMembers = detailed && sameDomain && membersHash !== this.#members.hash()
    // A caller that is ahead sends no contents; they are asked for in turn.
    if (detailed && this.#cells.isBehind(cellEpochs))
      void this.#exchange(this.#contactOf(sender), { members: false })
    return {
      ...this.#digest(sender.domain),
      members: [...(sendMembers ? this.#memberList() : []), ...this.#memberSample(sender.domain)],
      coordinators: detailed ? this.#cells.coordinators() : this.#heardCoordinators(sender.domain),
      cellRecords: detailed ? this.#cells.missingEntries(sender.domain, cellEpochs) : [],
    }
  }

  /** Serves `PeerService.Notify`; throws RouterError with the code of an IdentityRefusal. */
  handleNotify(request: NotifyRequest): void {
    const sender = this.#admit('peer.notify', request.toHostId, request.self)
    this.#takeMembers(request.members)
    this.offerCoordinators(request.coordinators)
    this.#noticeConfiguration(sender, request.configVersion, request.configHash)
  }

  async #exchange(contact: Contact, detail?: { members: boolean }): Promise<void> {
    const detailed = detail !== undefined
    const inFlight = `${contact.address}${detailed ? '!' : ''}`
    if (this.#exchanging.has(inFlight) || this.#signal.aborted) return
    this.#exchanging.add(inFlight)
    const domain = contact.domain ?? this.#members.self.domain
    try {
      const request: MessageInitShape<typeof ExchangeRequestSchema> = {
        ...this.#digest(domain),
        toHostId: contact.hostId,
        detailed,
        members: [...(detail?.members === true ? this.#memberList() : []), ...this.#memberSample(domain)],
        coordinators: detailed ? this.#cells.coordinators() : this.#heardCoordinators(domain),
        cellEpochs: detailed ? this.#cells.epochs(domain) : [],
      }
      const response = await this.#network.exchange(contact.address, request, {
        timeoutMs: this.#callTimeoutMs,
      })
      if (this.#signal.aborted || response.self === undefined) return
      this.#takeMembers([response.self, ...response.members])
      if (response.confirmations !== undefined) this.#members.confirm(response.confirmations)
      this.offerCoordinators(response.coordinators)
      if (response.cellRecords.filter((entry) => this.#cells.mergeEntry(entry)).length > 0)
        this.startDetailedExchanges()
      this.#noticeConfiguration(response.self, response.configVersion, response.configHash)
      const peerDomain = response.self.domain
      const members =
        peerDomain === this.#members.self.domain && response.membersHash !== this.#members.hash()
      const cells = response.cellsHash !== this.#cells.hash(peerDomain)
      if ((members || cells) && !detailed) void this.#exchange(this.#contactOf(response.self), { members })
    } catch (error) {
      this.#noticeFailure(contact, error)
    } finally {
      this.#exchanging.delete(inFlight)
    }
  }

  /** The part of both exchange messages that has a fixed size. */
  #digest(domain: string) {
    const { version, hash } = this.#configuration.current
    return {
      self: { ...this.#members.self, ageMs: 0 },
      configVersion: version,
      configHash: hash.slice(0, hashPrefix),
      membersHash: this.#members.hash(),
      cellsHash: this.#cells.hash(domain),
      confirmations: domain === this.#members.self.domain ? this.#members.confirmations() : undefined,
    }
  }

  #memberList(): (MemberEntry & { ageMs: number })[] {
    return this.#aged(this.#members.list(this.#members.self.domain))
  }

  #aged(members: readonly KnownMember[]): (MemberEntry & { ageMs: number })[] {
    return members.map((member) => ({ ...member.entry, ageMs: Math.ceil(this.#members.ageMs(member)) }))
  }

  /** A few live members that a host of `domain` may lack: of this host's domain, and one of a third domain. */
  #memberSample(domain: string): (MemberEntry & { ageMs: number })[] {
    const { self } = this.#members
    const live = this.#members
      .list()
      .filter(
        (member) => !member.entry.leaving && member.entry.domain !== domain && this.#members.isFresh(member),
      )
    const own = this.#random.shuffle(live.filter(({ entry }) => entry.domain === self.domain)).slice(0, 2)
    const third = this.#random.pick(live.filter(({ entry }) => entry.domain !== self.domain))
    return this.#aged(third === undefined ? own : [...own, third])
  }

  #heardCoordinators(domain: string): CoordinatorEntry[] {
    const heard = this.#cells
      .coordinators()
      .filter(({ cellId, heardAgoMs }) => domainOfCell(cellId) === domain && heardAgoMs < heardWithinMs)
    return this.#random.shuffle(heard).slice(0, maxHeard)
  }

  /** Refuses messages from or for an earlier identity, and records a direct sign of life of the sender. */
  #admit(step: string, toHostId: string, sender: Member | undefined): Member {
    const { hostId } = this.#members.self
    const refuse = (code: IdentityRefusal): never => {
      const message = `message from ${sender?.hostId ?? 'nobody'} to ${toHostId} refused`
      throw new RouterError(message, { code, step, peer: sender?.hostId })
    }
    if (toHostId !== '' && toHostId !== hostId) return refuse(IdentityRefusal.recipient)
    if (sender === undefined || this.#members.isOutdatedIdentity(sender))
      return refuse(IdentityRefusal.sender)
    this.#takeMembers([{ ...sender, ageMs: 0 }])
    return sender
  }

  #takeMembers(members: readonly Member[]): void {
    const news = members.filter(({ ageMs, ...entry }) => this.#members.merge(entry, ageMs))
    // A new member spreads by the digests; that a host leaves is passed on at once.
    const leaving = news.filter((member) => member.leaving)
    if (leaving.length > 0) this.notifyPeers({ members: leaving })
  }

  /** Takes coordinators and passes on what is new. */
  offerCoordinators(coordinators: readonly CoordinatorEntry[]): void {
    const news = coordinators.filter(({ heardAgoMs, ...info }) =>
      this.#cells.mergeCoordinator(info, heardAgoMs),
    )
    if (news.length > 0) this.notifyPeers({ coordinators: news })
  }

  /** Pushes news to a few peers, at least one of them in another domain where one is known. */
  notifyPeers(news: Pick<MessageInitShape<typeof NotifyRequestSchema>, 'members' | 'coordinators'>): void {
    const { version, hash } = this.#configuration.current
    for (const contact of this.#contacts.choosePeersToNotify(this.#newsFanOut)) {
      const request = {
        ...news,
        self: { ...this.#members.self, ageMs: 0 },
        toHostId: contact.hostId,
        configVersion: version,
        configHash: hash.slice(0, hashPrefix),
      }
      this.#network
        .notify(contact.address, request, { timeoutMs: this.#callTimeoutMs })
        .catch((error: unknown) => {
          this.#noticeFailure(contact, error)
        })
    }
  }

  #noticeFailure({ address, hostId }: Contact, error: unknown): void {
    const code = error instanceof RouterError ? error.code : undefined
    // The address answered under another identity, so the one that was meant has ended.
    if (code === IdentityRefusal.recipient && hostId !== '') this.#members.end(hostId)
    if (code === IdentityRefusal.sender) {
      this.#logger.warn('a peer knows a later identity of this host', {
        step: 'membership.call',
        peer: address,
      })
    }
    this.#logger.debug('peer call failed', { step: 'membership.call', peer: address, error })
  }

  #noticeConfiguration(from: Member, version: number, hash: string): void {
    this.#configuration.checkSameVersion(version, hash)
    if (version > this.#configuration.current.version)
      void this.#fetchConfiguration(from.peerAddress, version)
  }

  /** One fetch at a time; a failed one is repeated at the next digest that shows a newer version. */
  async #fetchConfiguration(address: string, version: number): Promise<void> {
    if (this.#fetching || this.#signal.aborted) return
    this.#fetching = true
    try {
      const timeoutMs = this.#callTimeoutMs
      const { hash, document } = await this.#network.fetchConfiguration(address, version, { timeoutMs })
      this.offerConfiguration(document, hash)
    } catch (error) {
      this.#logger.debug('configuration not fetched', { step: 'configuration.fetch', peer: address, error })
    } finally {
      this.#fetching = false
    }
  }

  #contactOf({ hostId, domain, peerAddress }: Member): Contact {
    return { hostId, domain, address: peerAddress }
  }
}
