/**
 * Detects that this host is cut off and cannot serve its callers: it gets no copy of the tables any more,
 * neither from the store nor from other hosts, connections to targets fail in every other domain, and its own
 * domain lacks a usable target of some service. Its callers are better served by a host that is not cut off,
 * so it reports that it is not ready until a target of another domain answers again or the tables are current
 * again. A host whose own domain has usable targets of every service stays ready: otherwise its callers would
 * go to hosts of other domains, whose targets would have to serve them without the targets of this domain.
 */
import { connect } from 'node:net'
import type { Cancel, Clock, Logger } from '@pimentotally/core'
import { splitAddress } from '@pimentotally/http'
import type { Directory, KnownTarget } from './directory.js'

/**
 * A domain counts as lost when connections to this many of its targets failed; a
 * single target may have crashed.
 */
const minFailedTargetsOfLostDomain = 2
/** With fewer other domains than this, a cut cannot be told from the loss of the other domain itself. */
const minOtherDomains = 2
/** Interval of probes while cut off; the load balancer asks for the readiness once a second. */
const recheckIntervalMs = 1000
/** Time-out of a connection that is opened as a probe. */
const recheckTimeoutMs = 400

/** Resolves to whether a connection to the address could be opened. */
export type ConnectionProbe = (address: string) => Promise<boolean>

export interface ReachabilityOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  /** The failure domain of this host. */
  readonly domain: string
  /** Whether this host gets no table at all now, neither from the store nor from another host. */
  readonly hasNoTableSource: () => boolean
  readonly probe?: ConnectionProbe
}

const opensConnection: ConnectionProbe = (address) =>
  new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: recheckTimeoutMs })
    const end = (isOpen: boolean): void => {
      socket.destroy()
      resolve(isOpen)
    }
    socket.once('connect', () => {
      end(true)
    })
    socket.once('timeout', () => {
      end(false)
    })
    socket.once('error', () => {
      end(false)
    })
  })

export class Reachability {
  readonly #options: Required<ReachabilityOptions>
  /** Targets that could not be connected to since any target of their domain last answered. */
  readonly #failedByDomain = new Map<string, Set<string>>()
  #wasCutOff = false
  #cancelRecheck: Cancel | undefined
  #rechecks = 0

  constructor({ probe = opensConnection, ...options }: ReachabilityOptions) {
    this.#options = { ...options, probe }
  }

  /** Records that a target of the domain has sent bytes or accepted a connection. */
  recordAnswer(domain: string): void {
    this.#failedByDomain.delete(domain)
  }

  recordConnectFailure(target: KnownTarget): void {
    const failed = this.#failedByDomain.get(target.domain) ?? new Set<string>()
    this.#failedByDomain.set(target.domain, failed.add(target.id))
  }

  get isCutOff(): boolean {
    const isCutOff = this.#isCutOff()
    if (isCutOff !== this.#wasCutOff) this.#recordCutOff(isCutOff)
    return isCutOff
  }

  stop(): void {
    this.#cancelRecheck?.()
  }

  #isCutOff(): boolean {
    if (this.#failedByDomain.size === 0 || !this.#options.hasNoTableSource()) return false
    const { directory } = this.#options
    const others = this.#otherDomains()
    const activeOthers = others.filter((domain) => !directory.isEvacuated(domain))
    const areOthersLost = activeOthers.length > 0 && activeOthers.every((domain) => this.#isLost(domain))
    return others.length >= minOtherDomains && areOthersLost && !this.#canServeAlone()
  }

  /** Whether the host's own domain has a usable target of every service. */
  #canServeAlone(): boolean {
    const { directory, domain: own } = this.#options
    return [...(directory.routes?.configuration.services.keys() ?? [])].every((service) =>
      directory.targets(service).some((target) => target.domain === own && directory.isUsable(target)),
    )
  }

  #otherDomains(): string[] {
    return [...this.#targetsByDomain().keys()].filter((domain) => domain !== this.#options.domain)
  }

  #targetsByDomain(): Map<string, KnownTarget[]> {
    const { directory } = this.#options
    const byDomain = new Map<string, KnownTarget[]>()
    for (const service of directory.routes?.configuration.services.keys() ?? []) {
      for (const target of directory.targets(service)) {
        byDomain.set(target.domain, [...(byDomain.get(target.domain) ?? []), target])
      }
    }
    return byDomain
  }

  #isLost(domain: string): boolean {
    return (this.#failedByDomain.get(domain)?.size ?? 0) >= minFailedTargetsOfLostDomain
  }

  #recordCutOff(isCutOff: boolean): void {
    this.#wasCutOff = isCutOff
    this.#options.logger.warn(isCutOff ? 'host.cut_off' : 'host.in_touch', {
      domains: [...this.#failedByDomain.keys()],
    })
    if (isCutOff) this.#scheduleRecheck()
    else this.#cancelRecheck?.()
  }

  /**
   * Needed because a host without callers sends no requests that would show that the other domains are back.
   */
  #scheduleRecheck(): void {
    this.#cancelRecheck = this.#options.clock.schedule(recheckIntervalMs, () => {
      void this.#recheck().then(() => {
        if (this.isCutOff) this.#scheduleRecheck()
      })
    })
  }

  /** Probes one target of each domain, each time another one, as some may have ended meanwhile. */
  async #recheck(): Promise<void> {
    this.#rechecks += 1
    const checks = [...this.#targetsByDomain()].map(async ([domain, targets]) => {
      const target = targets[this.#rechecks % targets.length]
      if (target !== undefined && (await this.#options.probe(target.address))) this.recordAnswer(domain)
    })
    await Promise.all(checks)
  }
}
