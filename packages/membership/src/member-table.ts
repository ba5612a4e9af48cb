/**
 * The member table: every host of the own domain and a sample of each other domain, with the time at which each was
 * last confirmed by the host itself, directly or through peers.
 */
import { keyHash, type Clock, type Peer, type Random } from '@pimentotally/core'
import type { Confirmations, Member } from '@pimentotally/wire'

/** A member's entry as the host itself made it. */
export type MemberEntry = Omit<Member, '$typeName' | '$unknown' | 'ageMs'>

export const MemberEntry = {
  toPeer: ({
    hostId,
    name,
    domain,
    region,
    peerAddress,
    forwardAddress,
    hostSequence,
    leaving,
  }: MemberEntry): Peer => ({
    hostId,
    name,
    domain,
    region,
    peerAddress,
    forwardAddress,
    leaving,
    ...(hostSequence === 0 ? {} : { hostSequence }),
  }),

  /** Whether `a` is a later identity of the name than `b`. */
  isLater: (a: MemberEntry, b: MemberEntry): boolean =>
    a.hostSequence > 0 && b.hostSequence > 0 && a.hostSequence !== b.hostSequence
      ? a.hostSequence > b.hostSequence
      : a.startedAtMs !== b.startedAtMs
        ? a.startedAtMs > b.startedAtMs
        : a.hostId > b.hostId,
}

export interface KnownMember {
  readonly entry: MemberEntry
  readonly confirmedAtMs: number
}

export interface MemberTableOptions {
  readonly clock: Clock
  readonly random: Random
  readonly removeAfterMs: number
  readonly sampleSize: number
}

const digestOf = (hostId: string): number => parseInt(keyHash('member', hostId).slice(0, 8), 16)

/** Entries whose ages one message carries at most. With fewer, live members of a domain of 157 hosts expire. */
const maxConfirmations = 40
/** Older signs of life are not passed on: they would take the place of fresher ones. */
const passedOnWithinMs = 2000

export class MemberTable {
  readonly #clock: Clock
  readonly #random: Random
  readonly #removeAfterMs: number
  readonly #sampleSize: number
  readonly #members = new Map<string, KnownMember>()
  readonly #byDigest = new Map<number, string>()
  /** Identities that ended, until no peer can still spread them. */
  readonly #ended = new Map<string, number>()
  /** Addresses of removed members by domain, tried again after a partition. */
  readonly #departed = new Map<string, string>()
  #self: MemberEntry
  #hash: bigint | undefined

  constructor(self: MemberEntry, { clock, random, removeAfterMs, sampleSize }: MemberTableOptions) {
    this.#self = self
    this.#clock = clock
    this.#random = random
    this.#removeAfterMs = removeAfterMs
    this.#sampleSize = sampleSize
  }

  get self(): MemberEntry {
    return this.#self
  }

  /** Changes the own entry; its revision rises. */
  changeSelf(change: Partial<Pick<MemberEntry, 'hostSequence' | 'leaving'>>): void {
    this.#self = { ...this.#self, ...change, revision: this.#self.revision + 1 }
    this.#hash = undefined
  }

  get(hostId: string): KnownMember | undefined {
    return this.#members.get(hostId)
  }

  list(domain?: string): KnownMember[] {
    const all = [...this.#members.values()]
    return domain === undefined ? all : all.filter(({ entry }) => entry.domain === domain)
  }

  domains(): Set<string> {
    return new Set([...this.#members.values()].map(({ entry }) => entry.domain))
  }

  /** Addresses of hosts that were members, with their domains. */
  removedAddresses(): ReadonlyMap<string, string> {
    return this.#departed
  }

  ageMs({ confirmedAtMs }: KnownMember): number {
    return Math.max(0, this.#clock.monotonicMs() - confirmedAtMs)
  }

  /** The member of the own domain confirmed longest ago, once that is so long that it needs a direct check. */
  stalest(): KnownMember | undefined {
    const stale = this.list(this.#self.domain).filter((member) => !this.isFresh(member))
    return stale.sort((a, b) => a.confirmedAtMs - b.confirmedAtMs)[0]
  }

  /** Confirmed recently enough to be taken over by a host that does not know the member. */
  isFresh(member: KnownMember): boolean {
    return this.ageMs(member) < this.#removeAfterMs / 2
  }

  /** Whether a later identity of the entry's name is known, or this identity has ended. */
  isOutdatedIdentity(entry: MemberEntry): boolean {
    if (this.#ended.has(entry.hostId)) return true
    if (entry.name === this.#self.name) return entry.hostId !== this.#self.hostId
    return [...this.#members.values()].some(
      ({ entry: other }) =>
        other.name === entry.name && other.hostId !== entry.hostId && MemberEntry.isLater(other, entry),
    )
  }

  /** Takes an entry of the given age; true when it is news: a new member or a higher revision. */
  merge(entry: MemberEntry, ageMs: number): boolean {
    if (entry.hostId === '' || entry.hostId === this.#self.hostId || this.isOutdatedIdentity(entry))
      return false
    const known = this.#members.get(entry.hostId)
    // A host is taken back only while it is clearly alive, so that hosts that remove it at different moments do
    // not hand it back to each other.
    if (ageMs >= (known === undefined ? this.#removeAfterMs / 2 : this.#removeAfterMs)) return false
    if (known === undefined && !this.#makeRoom(entry.domain)) return false
    for (const { entry: other } of this.list()) {
      if (other.name === entry.name && other.hostId !== entry.hostId) this.end(other.hostId)
    }
    const confirmedAtMs = Math.max(this.#clock.monotonicMs() - ageMs, known?.confirmedAtMs ?? -Infinity)
    const isNews = known === undefined || entry.revision > known.entry.revision
    this.#members.set(entry.hostId, { entry: isNews ? entry : known.entry, confirmedAtMs })
    this.#byDigest.set(digestOf(entry.hostId), entry.hostId)
    this.#departed.delete(entry.peerAddress)
    if (isNews) this.#hash = undefined
    return isNews
  }

  /** Removes an identity that is certainly gone; it is not taken back from peers. */
  end(hostId: string): void {
    this.#remove(hostId)
    this.#ended.set(hostId, this.#clock.monotonicMs() + 2 * this.#removeAfterMs)
  }

  /** Removes members that were not confirmed in time. */
  expire(): void {
    for (const member of this.#members.values()) {
      if (this.ageMs(member) >= this.#removeAfterMs) this.#remove(member.entry.hostId)
    }
    for (const [hostId, untilMs] of this.#ended) {
      if (untilMs <= this.#clock.monotonicMs()) this.#ended.delete(hostId)
    }
  }

  /** Equal at hosts of one domain that know the same members of it at the same revisions. */
  hash(): bigint {
    if (this.#hash === undefined) {
      const own = [this.#self, ...this.list(this.#self.domain).map(({ entry }) => entry)]
      const parts = own.map(({ hostId, revision }) => `${hostId}:${String(revision)}`).sort()
      this.#hash = BigInt(`0x${keyHash('members', parts.join(','))}`)
    }
    return this.#hash
  }

  /** Ages of a random part of the own domain's members, the not recently confirmed left out. */
  confirmations(): Pick<Confirmations, 'hosts' | 'agesDs'> {
    const fresh = this.list(this.#self.domain).filter((member) => this.ageMs(member) < passedOnWithinMs)
    const chosen =
      fresh.length <= maxConfirmations ? fresh : this.#random.shuffle(fresh).slice(0, maxConfirmations)
    return {
      hosts: chosen.map(({ entry }) => digestOf(entry.hostId)),
      // Rounded up, so that an age never shrinks on its way through many hosts.
      agesDs: chosen.map((member) => Math.ceil(this.ageMs(member) / 100)),
    }
  }

  confirm({ hosts, agesDs }: Pick<Confirmations, 'hosts' | 'agesDs'>): void {
    for (const [index, digest] of hosts.entries()) {
      const known = this.#members.get(this.#byDigest.get(digest) ?? '')
      const confirmedAtMs = this.#clock.monotonicMs() - (agesDs[index] ?? Infinity) * 100
      if (known !== undefined && confirmedAtMs > known.confirmedAtMs) {
        this.#members.set(known.entry.hostId, { ...known, confirmedAtMs })
      }
    }
  }

  #makeRoom(domain: string): boolean {
    if (domain === this.#self.domain) return true
    const sample = this.list(domain)
    if (sample.length < this.#sampleSize) return true
    const oldest = sample.reduce((a, b) => (a.confirmedAtMs <= b.confirmedAtMs ? a : b))
    if (this.isFresh(oldest)) return false
    this.#remove(oldest.entry.hostId)
    return true
  }

  #remove(hostId: string): void {
    const member = this.#members.get(hostId)
    if (member === undefined) return
    this.#members.delete(hostId)
    this.#byDigest.delete(digestOf(hostId))
    this.#hash = undefined
    if (member.entry.leaving) return
    this.#departed.delete(member.entry.peerAddress)
    this.#departed.set(member.entry.peerAddress, member.entry.domain)
    const [oldest] = this.#departed.keys()
    if (this.#departed.size > 64 && oldest !== undefined) this.#departed.delete(oldest)
  }
}
