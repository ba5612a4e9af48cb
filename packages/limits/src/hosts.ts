/** The hosts at a coordinator, and what hosts of an earlier term may still hold. */
import { type Clock, Instant, type ServiceSpec } from '@pimentotally/core'
import { HostState } from './state.js'
import type { TargetState } from './target.js'

/** The limit per host ends only after this time alone: a peer that is not seen may still claim the cell. */
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
  /** Hosts of the earlier term that have not answered. */
  readonly #unanswered = new Map<string, HostState>()
  #unansweredSince: Instant | undefined
  #known = new Set<string>()
  #severalSeenMs = -Infinity

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

  /** True while one host may not take all slots of a target. */
  get isHostCapActive(): boolean {
    return this.#options.clock.monotonicMs() - this.#severalSeenMs < singleHostAfterMs
  }

  /** Reads the known hosts anew and forgets those that are gone and hold nothing. */
  refresh(): void {
    this.#known = new Set(this.#options.knownHosts())
    let several = this.#known.size
    for (const host of this.#hosts.values()) {
      if (this.#known.has(host.hostId)) continue
      if (host.session !== undefined) several += 1
      else if (host.permits.size === 0) this.#hosts.delete(host.hostId)
    }
    if (several > 1) this.#severalSeenMs = this.#options.clock.monotonicMs()
  }

  isGone(host: HostState): boolean {
    return host.session === undefined && !this.#known.has(host.hostId)
  }

  /** From now on, each host without a session counts as holding the most it may, until it answers. */
  expectHeldPermits(hostIds: readonly string[]): void {
    this.#unanswered.clear()
    this.#unansweredSince = Instant.now(this.#options.clock)
    for (const hostId of hostIds) {
      const host = this.get(hostId)
      if (host.session === undefined) this.#unanswered.set(hostId, host)
    }
  }

  markHeldPermitsKnown(host: HostState): void {
    this.#unanswered.delete(host.hostId)
  }

  /** Slots of a target that hosts without an answer may use beyond what is counted for them. */
  reservedAt(target: TargetState): number {
    if (this.#unanswered.size === 0 || !this.mayHoldUnlistedPermits(target.service)) return 0
    let reserved = 0
    for (const host of this.#unanswered.values())
      reserved += Math.max(0, target.hostCap - host.heldPermitCount(target))
    return Math.min(reserved, target.maxEarlierRequests)
  }

  /**
   * True while a host without an answer may use a permit of an earlier term: the term was valid for at most a lease
   * after this one began, and a request sent at its end runs until its deadline.
   */
  mayHoldUnlistedPermits(service: ServiceSpec): boolean {
    if (this.#unanswered.size === 0 || this.#unansweredSince === undefined) return false
    const { clock, leaseMs, cancelGraceMs } = this.#options
    const elapsedMs = Instant.waiterElapsedMs(this.#unansweredSince, clock)
    return elapsedMs < leaseMs + service.requestTimeoutMs + cancelGraceMs
  }
}
