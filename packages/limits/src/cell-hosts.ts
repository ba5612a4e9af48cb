/** The hosts of a coordinator, and the slots that permits of an earlier term may still use. */
import { type Clock, Instant, type ServiceSpec } from '@pimentotally/core'
import { HostState } from './state.js'
import type { TargetState } from './target.js'

/**
 * The limit per host is lifted only when no second host was known for this long: a peer that is not
 * seen may still become the coordinator of the cell.
 */
const singleHostAfterMs = 5000

export interface CellHostsOptions {
  readonly clock: Clock
  readonly knownHosts: () => readonly string[]
  readonly leaseMs: number
  readonly cancelGraceMs: number
}

export class CellHosts {
  readonly #options: CellHostsOptions
  readonly #hosts = new Map<string, HostState>()
  /** Hosts of an earlier term that have not listed the permits they hold. */
  readonly #hostsWithoutList = new Map<string, HostState>()
  #listsExpectedSince: Instant | undefined
  #known = new Set<string>()
  #severalHostsSeenAtMs = -Infinity

  constructor(options: CellHostsOptions) {
    this.#options = options
  }

  get(hostId: string): HostState {
    let host = this.#hosts.get(hostId)
    if (host === undefined) {
      host = new HostState(hostId)
      this.#hosts.set(hostId, host)
    }
    return host
  }

  all(): IterableIterator<HostState> {
    return this.#hosts.values()
  }

  /** True while several hosts are in use, so that one host may not take all slots of a target. */
  get isHostCapActive(): boolean {
    return this.#options.clock.monotonicMs() - this.#severalHostsSeenAtMs < singleHostAfterMs
  }

  /**
   * Updates the known hosts and removes those that are no longer known and have neither session nor permits.
   */
  refresh(): void {
    this.#known = new Set(this.#options.knownHosts())
    let several = this.#known.size
    for (const host of this.#hosts.values()) {
      if (this.#known.has(host.hostId)) continue
      if (host.session !== undefined) several += 1
      else if (host.permits.size === 0) this.#hosts.delete(host.hostId)
    }
    if (several > 1) this.#severalHostsSeenAtMs = this.#options.clock.monotonicMs()
  }

  isGone(host: HostState): boolean {
    return host.session === undefined && !this.#known.has(host.hostId)
  }

  /**
   * A term has begun. From now on, each of these hosts without a session counts as using as many slots as one
   * host may, until it lists the permits that it holds or until its requests must have ended.
   */
  expectHeldPermits(hostIds: readonly string[]): void {
    this.#hostsWithoutList.clear()
    this.#listsExpectedSince = Instant.now(this.#options.clock)
    for (const hostId of hostIds) {
      const host = this.get(hostId)
      if (host.session === undefined) this.#hostsWithoutList.set(hostId, host)
    }
  }

  /** The host has listed the permits that it holds, so that all of them are counted. */
  markHeldPermitsKnown(host: HostState): void {
    this.#hostsWithoutList.delete(host.hostId)
  }

  /**
   * Slots of a target that hosts which have not listed their permits may use, beyond those counted for them.
   */
  reservedAt(target: TargetState): number {
    if (this.#hostsWithoutList.size === 0 || !this.mayHoldUnlistedPermits(target.service)) return 0
    let reserved = 0
    for (const host of this.#hostsWithoutList.values())
      reserved += Math.max(0, target.hostCap - host.heldPermitCount(target))
    return Math.min(reserved, target.maxEarlierRequests)
  }

  /**
   * True while a host that has not listed its permits may use one of an earlier term. That term was valid for
   * at most `leaseMs` after the current one began; a request sent at its end runs until its deadline, plus
   * the time that its cancellation may take.
   */
  mayHoldUnlistedPermits(service: ServiceSpec): boolean {
    if (this.#hostsWithoutList.size === 0 || this.#listsExpectedSince === undefined) return false
    const { clock, leaseMs, cancelGraceMs } = this.#options
    const elapsedMs = Instant.waiterElapsedMs(this.#listsExpectedSince, clock)
    return elapsedMs < leaseMs + service.requestTimeoutMs + cancelGraceMs
  }
}
