/**
 * Chooses the peers to call: members, and addresses at which no member is known, which come from the seeds,
 * the host list and removed members.
 */
import type { Random } from '@pimentotally/core'
import type { HostListEntry } from '@pimentotally/storage'
import type { KnownMember, MemberTable } from './member-table.js'

export interface Contact {
  readonly address: string
  /** Empty while the host at this address is not known. */
  readonly hostId: string
  /** Undefined while not known. */
  readonly domain?: string
}

export interface ContactsOptions {
  readonly members: MemberTable
  readonly random: Random
  readonly seeds: readonly string[]
}

/**
 * Share of rounds in which an address at which no member is known is called too. Hosts that removed each
 * other during a partition find each other again in this way.
 */
const rediscoveryShare = 0.1

const toContact = ({ entry: { hostId, domain, peerAddress } }: KnownMember): Contact => ({
  hostId,
  domain,
  address: peerAddress,
})

export class Contacts {
  readonly #members: MemberTable
  readonly #random: Random
  readonly #seeds: readonly string[]
  #listedHosts: readonly HostListEntry[] = []

  constructor({ members, random, seeds }: ContactsOptions) {
    this.#members = members
    this.#random = random
    this.#seeds = seeds
  }

  setListedHosts(hosts: readonly HostListEntry[]): void {
    this.#listedHosts = hosts.filter(({ kind, state }) => kind === 'host' && state === 'live')
  }

  /**
   * The peers of one gossip round: one of the own domain, one of another domain, sometimes an address at
   * which no member is known, and the member of the own domain that was confirmed longest ago, if that is too
   * long ago.
   */
  choose(domains: ReadonlySet<string>): Contact[] {
    const { domain: own } = this.#members.self
    const others = [...domains].filter((domain) => domain !== own)
    const chosen = [this.#chooseIn(own), this.#chooseIn(this.#random.pick(others))].filter(
      (contact) => contact !== undefined,
    )
    if (chosen.length < Math.min(2, domains.size) || this.#random.float() < rediscoveryShare) {
      const unidentified = this.#random.pick(this.#unidentifiedContacts())
      if (unidentified !== undefined) chosen.push(unidentified)
    }
    // The stalest member is called in addition: a host that is lost but not yet removed must not replace
    // another peer.
    const stalest = this.#members.stalest()
    if (stalest !== undefined) chosen.push(toContact(stalest))
    return chosen
  }

  /** At most `fanOut` members to notify of an update; one is in another domain if such a member is known. */
  choosePeersToNotify(fanOut: number): Contact[] {
    const { domain: own } = this.#members.self
    const shuffled = this.#random.shuffle(this.#members.list().filter(({ entry }) => !entry.leaving))
    const other = shuffled.find(({ entry }) => entry.domain !== own)
    const ownDomain = shuffled.filter((member) => member.entry.domain === own)
    const rest = [
      ...ownDomain,
      ...shuffled.filter((member) => member.entry.domain !== own && member !== other),
    ]
    return [...(other === undefined ? [] : [other]), ...rest].slice(0, fanOut).map(toContact)
  }

  /**
   * Of two random members of the domain, the one that was confirmed longer ago. Without members, the address
   * of a removed one.
   */
  #chooseIn(domain: string | undefined): Contact | undefined {
    if (domain === undefined) return undefined
    const members = this.#members.list(domain)
    const [a, b] = [this.#random.pick(members), this.#random.pick(members)]
    if (a !== undefined && b !== undefined) return toContact(a.confirmedAtMs <= b.confirmedAtMs ? a : b)
    const removed = [...this.#members.removedAddresses()].filter(([, itsDomain]) => itsDomain === domain)
    const address = this.#random.pick(removed)?.[0]
    return address === undefined ? undefined : { address, hostId: '', domain }
  }

  /** Removed members, listed hosts and seeds at whose addresses no member is known. */
  #unidentifiedContacts(): Contact[] {
    const known = new Set(this.#members.list().map(({ entry }) => entry.peerAddress))
    known.add(this.#members.self.peerAddress)
    const removed = [...this.#members.removedAddresses()].map(([address, domain]) => ({ address, domain }))
    const listed = this.#listedHosts.map(({ address, domain }) => ({ address, domain }))
    const seeds = this.#seeds.map((address) => ({ address, domain: undefined }))
    return [...removed, ...listed, ...seeds]
      .filter(({ address }) => !known.has(address))
      .map((contact) => ({ ...contact, hostId: '' }))
  }
}
