/**
 * Gossip. In every round this host exchanges digests with a host of its own domain and one of another domain.
 * Complete lists are exchanged only where the digests differ. Updates (a new coordinator, a new configuration
 * version, a leaving host) are sent to a few peers at once; each peer that did not know the update passes it
 * on once.
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

/** Number of digits of the configuration's hash that a digest carries. */
const hashPrefixLength = 12
/** At most this many coordinators are reported in a message that is not detailed, to bound its size. */
const maxForwardedCoordinators = 4
/** Messages that are not detailed report only coordinators that were heard from within this time. */
const forwardedCoordinatorMaxAgeMs = 2000

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
  readonly #notifyFanOut: number
  readonly #signal: AbortSignal
  readonly #exchangesInFlight = new Set<string>()
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
    this.#notifyFanOut = options.notifyFanOut
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

  /** The declared domains, the domains of known members and the own domain. */
  #knownDomains(): ReadonlySet<string> {
    const declared = this.#configuration.current.deployment.domains.map(({ name }) => name)
    return new Set([...declared, ...this.#members.domains(), this.#members.self.domain])
  }

  /**
   * Starts detailed exchanges with the peers of one round, after this host learned a cell record or
   * assignment: a digest shows a peer only that they differ, so the peer would need a second exchange.
   */
  startDetailedExchanges(): void {
    for (const contact of this.#contacts.choose(this.#knownDomains()))
      void this.#exchange(contact, { members: false })
  }

  /** Accepts a configuration document if it is newer, and then notifies peers of its version. */
  offerConfiguration(bytes: Uint8Array, hash: string): Result<boolean, RouterError> {
    const accepted = this.#configuration.acceptIfNewer(bytes, hash)
    if (accepted.isErr) {
      this.#logger.error('configuration refused', { step: 'configuration.take', error: accepted.error })
    } else if (accepted.value) {
      this.#logger.info('configuration taken', {
        step: 'configuration.take',
        version: this.#configuration.current.version,
      })
      this.notifyPeers({})
    }
    return accepted
  }

  /** Serves `PeerService.Exchange`; throws RouterError with the code of an IdentityRefusal. */
  handleExchange(request: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
    const sender = this.#admit('peer.exchange', request.toHostId, request.self)
    this.#mergeMembers(request.members)
    if (request.confirmations !== undefined) this.#members.confirm(request.confirmations)
    this.offerCoordinators(request.coordinators)
    this.#compareConfiguration(sender, request.configVersion, request.configHash)
    const { detailed, cellEpochs, membersHash } = request
    const sameDomain = sender.domain === this.#members.self.domain
    const sendMembers = detailed && sameDomain && membersHash !== this.#members.hash()
    // A request carries no records or assignments, so this host starts an exchange to fetch what it lacks.
    if (detailed && this.#cells.isBehind(cellEpochs))
      void this.#exchange(this.#contactOf(sender), { members: false })
    return {
      ...this.#digest(sender.domain),
      members: [...(sendMembers ? this.#memberList() : []), ...this.#memberSample(sender.domain)],
      coordinators: detailed ? this.#cells.coordinators() : this.#recentCoordinators(sender.domain),
      cellRecords: detailed ? this.#cells.missingEntries(sender.domain, cellEpochs) : [],
    }
  }

  /** Serves `PeerService.Notify`; throws RouterError with the code of an IdentityRefusal. */
  handleNotify(request: NotifyRequest): void {
    const sender = this.#admit('peer.notify', request.toHostId, request.self)
    this.#mergeMembers(request.members)
    this.offerCoordinators(request.coordinators)
    this.#compareConfiguration(sender, request.configVersion, request.configHash)
  }

  async #exchange(contact: Contact, detail?: { members: boolean }): Promise<void> {
    const detailed = detail !== undefined
    const exchangeKey = `${contact.address}${detailed ? '!' : ''}`
    if (this.#exchangesInFlight.has(exchangeKey) || this.#signal.aborted) return
    this.#exchangesInFlight.add(exchangeKey)
    const domain = contact.domain ?? this.#members.self.domain
    try {
      const request: MessageInitShape<typeof ExchangeRequestSchema> = {
        ...this.#digest(domain),
        toHostId: contact.hostId,
        detailed,
        members: [...(detail?.members === true ? this.#memberList() : []), ...this.#memberSample(domain)],
        coordinators: detailed ? this.#cells.coordinators() : this.#recentCoordinators(domain),
        cellEpochs: detailed ? this.#cells.epochs(domain) : [],
      }
      const response = await this.#network.exchange(contact.address, request, {
        timeoutMs: this.#callTimeoutMs,
      })
      if (this.#signal.aborted || response.self === undefined) return
      this.#mergeMembers([response.self, ...response.members])
      if (response.confirmations !== undefined) this.#members.confirm(response.confirmations)
      this.offerCoordinators(response.coordinators)
      if (response.cellRecords.filter((entry) => this.#cells.mergeEntry(entry)).length > 0)
        this.startDetailedExchanges()
      this.#compareConfiguration(response.self, response.configVersion, response.configHash)
      const peerDomain = response.self.domain
      const members =
        peerDomain === this.#members.self.domain && response.membersHash !== this.#members.hash()
      const cells = response.cellsHash !== this.#cells.hash(peerDomain)
      if ((members || cells) && !detailed) void this.#exchange(this.#contactOf(response.self), { members })
    } catch (error) {
      this.#handleCallFailure(contact, error)
    } finally {
      this.#exchangesInFlight.delete(exchangeKey)
    }
  }

  /** The fields of fixed size that every exchange request and response carries, and the confirmations. */
  #digest(domain: string) {
    const { version, hash } = this.#configuration.current
    return {
      self: { ...this.#members.self, ageMs: 0 },
      configVersion: version,
      configHash: hash.slice(0, hashPrefixLength),
      membersHash: this.#members.hash(),
      cellsHash: this.#cells.hash(domain),
      confirmations: domain === this.#members.self.domain ? this.#members.confirmations() : undefined,
    }
  }

  #memberList(): (MemberEntry & { ageMs: number })[] {
    return this.#withAges(this.#members.list(this.#members.self.domain))
  }

  #withAges(members: readonly KnownMember[]): (MemberEntry & { ageMs: number })[] {
    return members.map((member) => ({ ...member.entry, ageMs: Math.ceil(this.#members.ageMs(member)) }))
  }

  /**
   * A few live members that a host of `domain` may lack: at most two of this host's domain and one of another
   * domain, none of them in `domain`.
   */
  #memberSample(domain: string): (MemberEntry & { ageMs: number })[] {
    const { self } = this.#members
    const live = this.#members
      .list()
      .filter(
        (member) => !member.entry.leaving && member.entry.domain !== domain && this.#members.isFresh(member),
      )
    const own = this.#random.shuffle(live.filter(({ entry }) => entry.domain === self.domain)).slice(0, 2)
    const third = this.#random.pick(live.filter(({ entry }) => entry.domain !== self.domain))
    return this.#withAges(third === undefined ? own : [...own, third])
  }

  #recentCoordinators(domain: string): CoordinatorEntry[] {
    const recent = this.#cells
      .coordinators()
      .filter(
        ({ cellId, heardAgoMs }) =>
          domainOfCell(cellId) === domain && heardAgoMs < forwardedCoordinatorMaxAgeMs,
      )
    return this.#random.shuffle(recent).slice(0, maxForwardedCoordinators)
  }

  /**
   * Refuses a message for another identity than this host's or from an outdated one. Otherwise it confirms
   * the sender as a member, as the message proves that the sender runs.
   */
  #admit(step: string, toHostId: string, sender: Member | undefined): Member {
    const { hostId } = this.#members.self
    const refuse = (code: IdentityRefusal): never => {
      const message = `message from ${sender?.hostId ?? 'nobody'} to ${toHostId} refused`
      throw new RouterError(message, { code, step, peer: sender?.hostId })
    }
    if (toHostId !== '' && toHostId !== hostId) return refuse(IdentityRefusal.recipient)
    if (sender === undefined || this.#members.isOutdatedIdentity(sender))
      return refuse(IdentityRefusal.sender)
    this.#mergeMembers([{ ...sender, ageMs: 0 }])
    return sender
  }

  #mergeMembers(members: readonly Member[]): void {
    const updates = members.filter(({ ageMs, ...entry }) => this.#members.merge(entry, ageMs))
    // New members are passed on by the exchanges; peers are notified at once only of leaving hosts.
    const leaving = updates.filter((member) => member.leaving)
    if (leaving.length > 0) this.notifyPeers({ members: leaving })
  }

  /** Merges reports on coordinators and notifies peers of those that are new. */
  offerCoordinators(coordinators: readonly CoordinatorEntry[]): void {
    const updates = coordinators.filter(({ heardAgoMs, ...info }) =>
      this.#cells.mergeCoordinator(info, heardAgoMs),
    )
    if (updates.length > 0) this.notifyPeers({ coordinators: updates })
  }

  /**
   * Sends the updates and the configuration version to a few peers, one of them in another domain if a member
   * is known there.
   */
  notifyPeers(updates: Pick<MessageInitShape<typeof NotifyRequestSchema>, 'members' | 'coordinators'>): void {
    const { version, hash } = this.#configuration.current
    for (const contact of this.#contacts.choosePeersToNotify(this.#notifyFanOut)) {
      const request = {
        ...updates,
        self: { ...this.#members.self, ageMs: 0 },
        toHostId: contact.hostId,
        configVersion: version,
        configHash: hash.slice(0, hashPrefixLength),
      }
      this.#network
        .notify(contact.address, request, { timeoutMs: this.#callTimeoutMs })
        .catch((error: unknown) => {
          this.#handleCallFailure(contact, error)
        })
    }
  }

  #handleCallFailure({ address, hostId }: Contact, error: unknown): void {
    const code = error instanceof RouterError ? error.code : undefined
    // Another identity responded at this address, so the one that the call was meant for has ended.
    if (code === IdentityRefusal.recipient && hostId !== '') this.#members.end(hostId)
    if (code === IdentityRefusal.sender) {
      this.#logger.warn('a peer knows a later identity of this host', {
        step: 'membership.call',
        peer: address,
      })
    }
    this.#logger.debug('peer call failed', { step: 'membership.call', peer: address, error })
  }

  #compareConfiguration(from: Member, version: number, hash: string): void {
    this.#configuration.checkSameVersion(version, hash)
    if (version > this.#configuration.current.version)
      void this.#fetchConfiguration(from.peerAddress, version)
  }

  /**
   * Runs one fetch at a time. After a failed one, the next message that shows a newer version starts another.
   */
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
