/**
 * Many hosts in virtual time that let requests of tenants in: the hosts' and the leader's side of the quotas, over a
 * simulated network. The election is simulated too, with the leases and margins of the real one.
 */
import { HeldLease, type QuotaBounds } from '@pimentotally/assignment'
import { Random, SilentLogger } from '@pimentotally/core'
import { VirtualClock, VirtualTime } from '@pimentotally/core/testing'
import { configurationRow } from '@pimentotally/platform/testing'
import type { Tenant } from '@pimentotally/routing'
import { Directory } from './directory.js'
import { leaseTimes, type Tenure } from './leadership.js'
import { QuotaLending } from './quota-lending.js'
import { TenantQuotas } from './quotas.js'
import { encodeHost, encodeLeader, routerStateKeys } from './router-state-rows.js'

export const bounds: QuotaBounds = { windowMs: 5000, overage: 0.1, slack: 20 }
const stepMs = 10
const connectionsPerTenant = 14
/** Requests of a tenant within its quota, as a share of it. */
const usualShare = 1 / 1.6

/** The steady clock of a host that is suspended stands still; its wall clock does not. */
class SuspendableClock extends VirtualClock {
  #suspendedMs = 0
  #suspendedAtMs: number | undefined

  override monotonicMs(): number {
    return (this.#suspendedAtMs ?? super.monotonicMs()) - this.#suspendedMs
  }

  suspend(): void {
    this.#suspendedAtMs = super.monotonicMs()
    this.pause()
  }

  override resume(): void {
    if (this.#suspendedAtMs !== undefined) this.#suspendedMs += super.monotonicMs() - this.#suspendedAtMs
    this.#suspendedAtMs = undefined
    super.resume()
  }
}

interface WorldHost {
  readonly index: number
  readonly name: string
  readonly processId: string
  readonly clock: SuspendableClock
  readonly directory: Directory
  readonly lending: QuotaLending
  readonly quotas: TenantQuotas
  isDead: boolean
  /** Cut off from the other hosts and from the store. */
  isCut: boolean
  /** Replies of other hosts do not reach it. */
  losesReplies: boolean
  tenure: Tenure | undefined
  lease: HeldLease | undefined
}

interface WorldTenant {
  readonly name: string
  readonly connections: number[]
  readonly letInAtMs: number[]
  /** Offered since the counters were reset, and how many of these were let in. */
  offered: number
  letIn: number
  /** Multiple of its usual demand. */
  factor: number
}

export class QuotaWorld {
  readonly time = new VirtualTime()
  readonly hosts: WorldHost[] = []
  readonly tenants: readonly WorldTenant[]
  readonly rates: number[]
  /** Share of the connections that move to another host in a second. */
  movingShare = 0
  readonly #random: Random
  #term = 0
  #starts = 0
  #version = 1
  #renewedAtMs = Number.NEGATIVE_INFINITY
  asks = 0

  constructor({ seed, hosts, rates }: { seed: number; hosts: number; rates: readonly number[] }) {
    this.#random = new Random(seed)
    this.rates = [...rates]
    for (let index = 0; index < hosts; index += 1) this.hosts.push(this.#start(index))
    this.tenants = rates.map((_, index) => ({
      name: `tenant-${String(index)}`,
      connections: Array.from({ length: connectionsPerTenant }, () => this.#random.integer(hosts)),
      letInAtMs: [],
      offered: 0,
      letIn: 0,
      factor: 1,
    }))
  }

  get leader(): WorldHost | undefined {
    return this.hosts.find(({ tenure, isDead }) => tenure?.term === this.#term && !isDead)
  }

  async run(durationMs: number): Promise<void> {
    const endMs = this.time.nowMs() + durationMs
    while (this.time.nowMs() < endMs) {
      this.#elect()
      for (const [index, tenant] of this.tenants.entries()) this.#send(tenant, this.rates[index] ?? 0)
      await this.time.advance(stepMs)
    }
  }

  /** Every `step`-th connection of each tenant moves to one of these hosts. */
  place(hosts: readonly WorldHost[], step = 1): void {
    for (const { connections } of this.tenants) {
      for (let index = 0; index < connections.length; index += step)
        connections[index] = this.#random.pick(hosts)?.index ?? 0
    }
  }

  resetCounters(): void {
    for (const tenant of this.tenants) [tenant.offered, tenant.letIn] = [0, 0]
  }

  /** Share of the requests that were let in since the counters were reset. */
  letInShare(tenants: readonly WorldTenant[] = this.tenants): number {
    const sum = (of: (tenant: WorldTenant) => number): number =>
      tenants.reduce((total, tenant) => total + of(tenant), 0)
    return sum(({ letIn }) => letIn) / sum(({ offered }) => offered)
  }

  /** The worst number of requests by which a window exceeds what the quota allows; negative when none does. */
  excess(fromMs = 0): number {
    let worst = Number.NEGATIVE_INFINITY
    for (const [index, { letInAtMs }] of this.tenants.entries()) {
      const rate = this.rates[index] ?? 0
      const allowed = rate * (bounds.windowMs / 1000) * (1 + bounds.overage) + bounds.slack
      const times = letInAtMs.filter((atMs) => atMs >= fromMs)
      let first = 0
      for (const [last, atMs] of times.entries()) {
        while ((times[first] ?? 0) <= atMs - bounds.windowMs) first += 1
        worst = Math.max(worst, last - first + 1 - allowed)
      }
    }
    return worst
  }

  kill(host: WorldHost): void {
    host.isDead = true
    host.quotas.stop()
  }

  restart(host: WorldHost): void {
    this.kill(host)
    this.hosts[host.index] = this.#start(host.index)
  }

  /** Hosts apply a configuration with other rates, each after its delay. */
  configure(rates: readonly number[], delayMs: (host: WorldHost) => number): void {
    this.#version += 1
    this.rates.splice(0, this.rates.length, ...rates)
    for (const host of this.hosts) {
      host.clock.schedule(delayMs(host), () => {
        this.#configure(host.directory)
      })
    }
  }

  #start(index: number): WorldHost {
    const clock = new SuspendableClock(this.time)
    const logger = new SilentLogger()
    const name = `h${String(index)}`
    this.#starts += 1
    const processId = `${name}-${String(this.#starts)}`
    const directory = new Directory({ clock, logger })
    this.#configure(directory)
    const count = Math.max(this.hosts.length, index + 1)
    for (let other = 0; other < count; other += 1) this.#introduce(directory, other)
    for (const { directory: known } of this.hosts) this.#introduce(known, index)
    const lending = new QuotaLending({
      clock,
      logger,
      directory,
      bounds,
      leadership: {
        get tenure(): Tenure | undefined {
          const now = { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() }
          return (host.lease?.remainingMs(now) ?? 0) > 0 ? host.tenure : undefined
        },
        mayLackRows: false,
      },
      routerStateAgeMs: () => 50,
    })
    const transport = (address: string, body: string): Promise<string | undefined> =>
      this.#call(host, Number(address), body)
    const { hostName, random } = { hostName: name, random: this.#random }
    const quotas = new TenantQuotas({
      clock,
      logger,
      random,
      directory,
      processId,
      hostName,
      bounds,
      lending,
      transport,
    })
    const host: WorldHost = {
      index,
      name,
      processId,
      clock,
      directory,
      lending,
      quotas,
      isDead: false,
      isCut: false,
      losesReplies: false,
      tenure: undefined,
      lease: undefined,
    }
    this.#announce(host)
    void quotas.run()
    return host
  }

  #configure(directory: Directory): void {
    const tenants = this.rates.map((requestsPerSecond, index) => ({
      name: `tenant-${String(index)}`,
      apiKeys: [],
      requestsPerSecond,
    }))
    const row = configurationRow({ version: this.#version, rowVersion: this.#version, tenants })
    directory.applyOperatorTable({ changed: [row], removed: [], version: this.#version })
  }

  #introduce(directory: Directory, index: number): void {
    const value = encodeHost({ peerAddress: String(index), domain: 'a', capacity: 1 })
    directory.applyRouterStateRow({ key: routerStateKeys.host(`h${String(index)}`), version: 1, value })
  }

  /** Sends a request to the leader's host and its reply back. */
  #call(from: WorldHost, to: number, body: string): Promise<string | undefined> {
    this.asks += 1
    return new Promise((resolve) => {
      const delayMs = (): number => 1 + this.#random.integer(3)
      from.clock.schedule(250, () => {
        resolve(undefined)
      })
      this.time.schedule(delayMs(), () => {
        const host = this.hosts[to]
        if (host === undefined || host.isDead || host.isCut || from.isCut) return
        host.clock.run(() => {
          const { status, body: reply } = host.lending.receive(body)
          this.time.schedule(delayMs(), () => {
            if (host.isCut || from.isCut || from.isDead || from.losesReplies) return
            from.clock.run(() => {
              resolve(status === 200 ? String(reply) : undefined)
            })
          })
        })
      })
    })
  }

  /** Renews the leader's lease, or lets another host take it over once it has ended for all. */
  #elect(): void {
    const nowMs = this.time.nowMs()
    const leader = this.leader
    const isAble = (host: WorldHost): boolean => !host.isDead && !host.isCut && !host.clock.paused
    const reading = (host: WorldHost): { monotonicMs: number; wallMs: number } => ({
      monotonicMs: host.clock.monotonicMs(),
      wallMs: host.clock.wallMs(),
    })
    if (leader !== undefined && isAble(leader)) {
      if (nowMs - this.#renewedAtMs < 500) return
      leader.lease?.recordRenewal(reading(leader))
      this.#renewedAtMs = nowMs
      return
    }
    if (nowMs - this.#renewedAtMs < leaseTimes.leaseMs + leaseTimes.marginMs + 300) return
    const next = this.#random.pick(this.hosts.filter(isAble))
    if (next === undefined) return
    this.#renewedAtMs = nowMs
    next.lease = new HeldLease(leaseTimes, reading(next))
    next.tenure = {
      term: this.#term + 1,
      predecessor: this.#term === 0 ? 'none' : 'lapsed',
      startedAtMs: nowMs,
      earlierErasLapseAtMs: 0,
    }
    this.#term += 1
    for (const host of this.hosts) this.#announce(host)
  }

  /** Hosts learn of the leader from their copies of the store, also those that were cut off meanwhile. */
  #announce(host: WorldHost): void {
    host.clock.schedule(60, () => {
      const { leader } = this
      if (leader === undefined) return
      if (host.isCut) {
        this.#announce(host)
        return
      }
      const value = encodeLeader({
        leader: leader.processId,
        peerAddress: String(leader.index),
        term: this.#term,
        renewal: 1,
        released: false,
        hasLongGrants: false,
        era: 0,
      })
      host.directory.applyRouterStateRow({ key: routerStateKeys.leader, version: 10 + this.#term, value })
    })
  }

  #send(tenant: WorldTenant, rate: number): void {
    const { connections } = tenant
    for (let index = 0; index < connections.length; index += 1) {
      if (this.#random.float() < (this.movingShare * stepMs) / 1000)
        connections[index] = this.#random.integer(this.hosts.length)
    }
    let mean = (rate * usualShare * tenant.factor * stepMs) / 1000
    for (; this.#random.float() < mean; mean -= 1) {
      // The first connections send most: each one half as much again as the next three or four.
      const position = Math.floor(connections.length * this.#random.float() ** 2)
      const host = this.hosts[connections[position] ?? 0]
      if (host === undefined || host.isDead) continue
      tenant.offered += 1
      host.clock.run(() => void this.#admit(host, tenant, rate))
    }
  }

  async #admit(host: WorldHost, tenant: WorldTenant, requestsPerSecond: number): Promise<void> {
    const inbound: Tenant = { name: tenant.name, priority: undefined, requestsPerSecond, burst: 0 }
    const refusal = await host.quotas.admit(inbound)
    if (refusal !== undefined) return
    tenant.letIn += 1
    tenant.letInAtMs.push(this.time.nowMs())
  }
}
