/** Whom to talk to: members, and addresses from seeds, the host list and earlier members where none is known. */
import type { Random } from '@pimentotally/core'
import type { HostListEntry } from '@pimentotally/storage'
import type { KnownMember, MemberTable } from './member-table.js'

export interface Contact {
  readonly address: string
  /** Empty while the identity behind the address is not known. */
  readonly hostId: string
  /** Undefined while not known. */
  readonly domain?: string
}

export interface ContactsOptions {
  readonly members: MemberTable
  readonly random: Random
  readonly seeds: readonly string[]
}

/** Share of rounds in which an address without a known member is tried, to heal a partition. */
const rediscovery = 0.1

const toContact = ({ entry: { hostId, domain, peerAddress } }: KnownMember): Contact => ({
  hostId,
  domain,
  address: peerAddress,
})

export class Contacts {
  readonly #members: MemberTable
  readonly #random: Random
  readonly #seeds: readonly string[]
  #hints: readonly HostListEntry[] = []

  constructor({ members, random, seeds }: ContactsOptions) {
    this.#members = members
    this.#random = random
    this.#seeds = seeds
  }

  setListedHosts(hosts: readonly HostListEntry[]): void {
    this.#hints = hosts.filter(({ kind, state }) => kind === 'host' && state === 'live')
  }

  /** The peers of one round: one of the own domain, one of another, and sometimes an address nobody is known at. */
  choose(domains: ReadonlySet<string>): Contact[] {
    const { domain: own } = this.#members.self
    const others = [...domains].filter((domain) => domain !== own)
    const chosen = [this.#chooseIn(own), this.#chooseIn(this.#random.pick(others))].filter(
      (contact) => contact !== undefined,
    )
    if (chosen.length < Math.min(2, domains.size) || this.#random.float() < rediscovery) {
      const stray = this.#random.pick(this.#strays())
      if (stray !== undefined) chosen.push(stray)
    }
    // In addition to the round's peers: a lost host must not take their place until it is removed.
    const stalest = this.#members.stalest()
    if (stalest !== undefined) chosen.push(toContact(stalest))
    return chosen
  }

  /** Up to `fanOut` members for news, one of them of another domain where one is known. */
  choosePeersToNotify(fanOut: number): Contact[] {
    const { domain: own } = this.#members.self
    const shuffled = this.#random.shuffle(this.#members.list().filter(({ entry }) => !entry.leaving))
    const other = shuffled.find(({ entry }) => entry.domain !== own)
    const near = shuffled.filter((member) => member.entry.domain === own)
    const rest = [...near, ...shuffled.filter((member) => member.entry.domain !== own && member !== other)]
    return [...(other === undefined ? [] : [other]), ...rest].slice(0, fanOut).map(toContact)
  }

  /** The one of two random members that was confirmed longer ago. */
  #chooseIn(domain: string | undefined): Contact | undefined {
    if (domain === undefined) return undefined
    const members = this.#members.list(domain)
    const [a, b] = [this.#random.pick(members), this.#random.pick(members)]
    if (a !== undefined && b !== undefined) return toContact(a.confirmedAtMs <= b.confirmedAtMs ? a : b)
    const departed = [...this.#members.removedAddresses()].filter(([, itsDomain]) => itsDomain === domain)
    const address = this.#random.pick(departed)?.[0]
    return address === undefined ? undefined : { address, hostId: '', domain }
  }

  #strays(): Contact[] {
    const known = new Set(this.#members.list().map(({ entry }) => entry.peerAddress))
    known.add(this.#members.self.peerAddress)
    const departed = [...this.#members.removedAddresses()].map(([address, domain]) => ({ address, domain }))
    const listed = this.#hints.map(({ address, domain }) => ({ address, domain }))
    const seeds = this.#seeds.map((address) => ({ address, domain: undefined }))
    return [...departed, ...listed, ...seeds]
      .filter(({ address }) => !known.has(address))
      .map((stray) => ({ ...stray, hostId: '' }))
  }
}
