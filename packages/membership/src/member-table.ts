/**
 * The member table: every known host of the own domain and a sample of the hosts of each other domain, with
 * the time at which each host last confirmed its entry. Peers pass confirmations on. Times are on this host's
 * monotonic clock.
 */
import { keyHash, type Clock, type Peer, type Random } from '@pimentotally/core'
import type { Confirmations, Member } from '@pimentotally/wire'

/** A member's entry, as the host that it describes wrote it. */
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

  /**
   * Whether `a` is a later identity than `b` of the host with this name: by host sequence where both have
   * one, else by the wall clock at the start.
   */
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

/**
 * One message carries the ages of at most this many members. With fewer, live members expire in a domain of
 * 157 hosts.
 */
const maxConfirmations = 40
/** Confirmations older than this are not passed on: they would displace more recent ones from the message. */
const forwardedConfirmationMaxAgeMs = 2000

export class MemberTable {
  readonly #clock: Clock
  readonly #random: Random
  readonly #removeAfterMs: number
  readonly #sampleSize: number
  readonly #members = new Map<string, KnownMember>()
  readonly #byDigest = new Map<number, string>()
  /** Identities that have ended, with the time until which a peer may still report them as members. */
  readonly #ended = new Map<string, number>()
  /**
   * Domains of the members removed last, at most 64, by address. They are called again, so that hosts find
   * each other after a partition.
   */
  readonly #removedAddresses = new Map<string, string>()
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

  /** Changes this host's own entry and increments its revision. */
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

  /**
   * Addresses of removed members, with their domains; those that had announced that they leave are left out.
   */
  removedAddresses(): ReadonlyMap<string, string> {
    return this.#removedAddresses
  }

  ageMs({ confirmedAtMs }: KnownMember): number {
    return Math.max(0, this.#clock.monotonicMs() - confirmedAtMs)
  }

  /**
   * The member of the own domain that was confirmed longest ago, unless it is fresh; it needs a direct call.
   */
  stalest(): KnownMember | undefined {
    const stale = this.list(this.#self.domain).filter((member) => !this.isFresh(member))
    return stale.sort((a, b) => a.confirmedAtMs - b.confirmedAtMs)[0]
  }

  /** Whether the member was confirmed recently enough for a host that does not know it to add it. */
  isFresh(member: KnownMember): boolean {
    return this.ageMs(member) < this.#removeAfterMs / 2
  }

  /** Whether a later identity of the same name is known, or this identity has ended. */
  isOutdatedIdentity(entry: MemberEntry): boolean {
    if (this.#ended.has(entry.hostId)) return true
    if (entry.name === this.#self.name) return entry.hostId !== this.#self.hostId
    return [...this.#members.values()].some(
      ({ entry: other }) =>
        other.name === entry.name && other.hostId !== entry.hostId && MemberEntry.isLater(other, entry),
    )
  }

  /**
   * Merges an entry confirmed by its host `ageMs` ago; true when the member or its revision was not known
   * yet.
   */
  merge(entry: MemberEntry, ageMs: number): boolean {
    if (entry.hostId === '' || entry.hostId === this.#self.hostId || this.isOutdatedIdentity(entry))
      return false
    const known = this.#members.get(entry.hostId)
    // An unknown member must be fresher than a known one: otherwise hosts that remove a lost member at
    // different times would add it again from each other's lists.
    if (ageMs >= (known === undefined ? this.#removeAfterMs / 2 : this.#removeAfterMs)) return false
    if (known === undefined && !this.#makeRoom(entry.domain)) return false
    for (const { entry: other } of this.list()) {
      if (other.name === entry.name && other.hostId !== entry.hostId) this.end(other.hostId)
    }
    const confirmedAtMs = Math.max(this.#clock.monotonicMs() - ageMs, known?.confirmedAtMs ?? -Infinity)
    const isNew = known === undefined || entry.revision > known.entry.revision
    this.#members.set(entry.hostId, { entry: isNew ? entry : known.entry, confirmedAtMs })
    this.#byDigest.set(digestOf(entry.hostId), entry.hostId)
    this.#removedAddresses.delete(entry.peerAddress)
    if (isNew) this.#hash = undefined
    return isNew
  }

  /** Removes an identity that has certainly ended; reports by peers do not add it again. */
  end(hostId: string): void {
    this.#remove(hostId)
    this.#ended.set(hostId, this.#clock.monotonicMs() + 2 * this.#removeAfterMs)
  }

  /** Removes members that were not confirmed within `removeAfterMs`. */
  expire(): void {
    for (const member of this.#members.values()) {
      if (this.ageMs(member) >= this.#removeAfterMs) this.#remove(member.entry.hostId)
    }
    for (const [hostId, untilMs] of this.#ended) {
      if (untilMs <= this.#clock.monotonicMs()) this.#ended.delete(hostId)
    }
  }

  /** Equal at hosts of one domain that know the same members of this domain at the same revisions. */
  hash(): bigint {
    if (this.#hash === undefined) {
      const own = [this.#self, ...this.list(this.#self.domain).map(({ entry }) => entry)]
      const parts = own.map(({ hostId, revision }) => `${hostId}:${String(revision)}`).sort()
      this.#hash = BigInt(`0x${keyHash('members', parts.join(','))}`)
    }
    return this.#hash
  }

  /**
   * Ages of the recently confirmed members of the own domain, or of a random part where they are too many.
   */
  confirmations(): Pick<Confirmations, 'hosts' | 'agesDs'> {
    const fresh = this.list(this.#self.domain).filter(
      (member) => this.ageMs(member) < forwardedConfirmationMaxAgeMs,
    )
    const chosen =
      fresh.length <= maxConfirmations ? fresh : this.#random.shuffle(fresh).slice(0, maxConfirmations)
    return {
      hosts: chosen.map(({ entry }) => digestOf(entry.hostId)),
      // Rounded up, so that an age does not become smaller as hosts pass it on.
      agesDs: chosen.map((member) => Math.ceil(this.ageMs(member) / 100)),
    }
  }

  /** Merges the ages that a peer reports; ages of unknown members are ignored. */
  confirm({ hosts, agesDs }: Pick<Confirmations, 'hosts' | 'agesDs'>): void {
    for (const [index, digest] of hosts.entries()) {
      const known = this.#members.get(this.#byDigest.get(digest) ?? '')
      const confirmedAtMs = this.#clock.monotonicMs() - (agesDs[index] ?? Infinity) * 100
      if (known !== undefined && confirmedAtMs > known.confirmedAtMs) {
        this.#members.set(known.entry.hostId, { ...known, confirmedAtMs })
      }
    }
  }

  /**
   * Whether a new member of the domain fits into the sample. A full sample first drops the member that was
   * confirmed longest ago, unless it is fresh.
   */
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
    this.#removedAddresses.delete(member.entry.peerAddress)
    this.#removedAddresses.set(member.entry.peerAddress, member.entry.domain)
    const [oldest] = this.#removedAddresses.keys()
    if (this.#removedAddresses.size > 64 && oldest !== undefined) this.#removedAddresses.delete(oldest)
  }
}
