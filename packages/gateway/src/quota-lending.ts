/**
 * The leader's side of the quotas of tenants: lends parts of them to the hosts that ask. All state is in memory and
 * belongs to one term. A new leader does not know what an earlier one has lent. Until every host has told what it
 * holds, or every earlier part has lapsed, it renews what it hears of and uses the part of each quota that is never
 * lent.
 */
import {
  QuotaLender,
  latestLapseAtMs,
  quotaLeaseMs,
  quotaPlan,
  type QuotaAsk,
  type QuotaBounds,
  type QuotaGrant,
} from '@pimentotally/assignment'
import type { Clock, Logger } from '@pimentotally/core'
import type { Directory } from './directory.js'
import type { Leadership, Tenure } from './leadership.js'
import type { PeerResponse } from './peer-server.js'
import { decodeQuotaRequest, encodeQuotaReply, type QuotaReply, type QuotaRequest } from './quota-messages.js'

export interface QuotaLendingOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Pick<Directory, 'routes' | 'hostNames'>
  readonly leadership: Pick<Leadership, 'tenure' | 'mayLackRows'>
  readonly bounds: QuotaBounds
  /** Time since the store confirmed this host's copy of the router state, which names the hosts. */
  readonly routerStateAgeMs: () => number | undefined
}

/** What this host lent in one term. */
interface Lending {
  readonly term: number
  readonly startedAtMs: number
  /** By this time all parts that earlier leaders lent have lapsed. */
  readonly earlierLapseAtMs: number
  readonly isFirst: boolean
  readonly lenders: Map<string, QuotaLender>
  /** Hosts that have told in this term everything that they hold. */
  readonly heardHosts: Set<string>
  /** The last sequence of each process. */
  readonly sequences: Map<string, number>
  /** When no part of an earlier leader was unknown any more; undefined before. */
  settledAtMs: number | undefined
  configurationVersion: number | undefined
}

/** How much of a tenant's quota is in use, as the leader sees it. */
export interface QuotaUse {
  readonly tenant: string
  /** Requests a second that arrive at all hosts. */
  readonly demand: number
  /** Requests a second that are lent to hosts. */
  readonly lentRate: number
}

export class QuotaLending {
  readonly #options: QuotaLendingOptions
  #lending: Lending | undefined

  constructor(options: QuotaLendingOptions) {
    this.#options = options
  }

  /** Answers another host. */
  receive(text: string): PeerResponse {
    const request = decodeQuotaRequest(text)
    if (request === undefined) {
      this.#options.logger.warn('quota.request_malformed', { bytes: text.length })
      return { status: 400 }
    }
    const reply = this.answer(request)
    return reply === undefined ? { status: 503 } : { status: 200, body: encodeQuotaReply(reply) }
  }

  /** Undefined when this host does not lead, or has handled a later request of the same process. */
  answer(request: QuotaRequest): QuotaReply | undefined {
    const { processId, hostName, sequence, isComplete, asks } = request
    const lending = this.#current()
    if (lending === undefined || sequence <= (lending.sequences.get(processId) ?? -1)) return undefined
    lending.sequences.set(processId, sequence)
    this.#applyConfiguration(lending)
    const nowMs = this.#options.clock.monotonicMs()
    // The parts of a host that the next leader may not know could not be waited for.
    const isKnown = this.#options.directory.hostNames.includes(hostName)
    const grants = asks.flatMap((ask) =>
      this.#grant(lending, processId, isKnown ? ask : withoutDemand(ask), nowMs),
    )
    // A tenant without a lender may be one that this host's configuration does not have yet.
    const areAllCounted = asks.every(({ tenant, held }) => held.capacity === 0 || lending.lenders.has(tenant))
    if (isComplete && areAllCounted) lending.heardHosts.add(hostName)
    this.#settle(lending, nowMs)
    return { term: lending.term, grants }
  }

  /** The tenants with the highest demand, while this host leads. */
  busiest(limit: number): readonly QuotaUse[] {
    return [...(this.#current()?.lenders ?? [])]
      .map(([tenant, lender]) => ({ tenant, demand: lender.demand(), lentRate: lender.lent().rate }))
      .sort((a, b) => b.demand - a.demand)
      .slice(0, limit)
  }

  #grant(lending: Lending, processId: string, ask: QuotaAsk, nowMs: number): QuotaGrant[] {
    const lender = this.#lender(lending, ask.tenant)
    return lender === undefined ? [] : [lender.answer(processId, ask, nowMs)]
  }

  /** What was lent in the present term; undefined while this host may not act as the leader. */
  #current(): Lending | undefined {
    const { tenure } = this.#options.leadership
    if (tenure === undefined) return undefined
    if (this.#lending?.term !== tenure.term) this.#lending = this.#begin(tenure)
    return this.#lending
  }

  #begin({ term, predecessor, startedAtMs }: Tenure): Lending {
    const isFirst = predecessor === 'none' && !this.#options.leadership.mayLackRows
    return {
      term,
      startedAtMs,
      earlierLapseAtMs: latestLapseAtMs(startedAtMs, quotaLeaseMs),
      isFirst,
      lenders: new Map(),
      heardHosts: new Set(),
      sequences: new Map(),
      settledAtMs: isFirst ? startedAtMs : undefined,
      configurationVersion: undefined,
    }
  }

  #lender(lending: Lending, tenant: string): QuotaLender | undefined {
    const known = lending.lenders.get(tenant)
    if (known !== undefined) return known
    const quota = this.#options.directory.routes?.configuration.tenants?.named(tenant)
    if (quota === undefined || quota.requestsPerSecond <= 0) return undefined
    const { isFirst, settledAtMs, startedAtMs } = lending
    const lender = new QuotaLender(quotaPlan(quota, this.#options.bounds), {
      sinceMs: settledAtMs ?? startedAtMs,
      isSettled: settledAtMs !== undefined,
      isFull: isFirst,
    })
    lending.lenders.set(tenant, lender)
    return lender
  }

  #applyConfiguration(lending: Lending): void {
    const { directory, bounds, clock } = this.#options
    const configuration = directory.routes?.configuration
    if (configuration === undefined || configuration.version === lending.configurationVersion) return
    lending.configurationVersion = configuration.version
    for (const [tenant, lender] of lending.lenders) {
      // A lender of a former tenant stays, as hosts may still hold parts when the tenant comes back.
      const quota = configuration.tenants?.named(tenant)
      if (quota !== undefined && quota.requestsPerSecond > 0)
        lender.setPlan(quotaPlan(quota, bounds), clock.monotonicMs())
    }
  }

  #settle(lending: Lending, nowMs: number): void {
    if (lending.settledAtMs !== undefined) return
    const haveLapsed = nowMs >= lending.earlierLapseAtMs
    if (!haveLapsed && !this.#isEveryHostHeard(lending, nowMs)) return
    lending.settledAtMs = nowMs
    for (const lender of lending.lenders.values()) lender.settle(nowMs)
    this.#options.logger.info('quota.settled', {
      term: lending.term,
      afterMs: nowMs - lending.startedAtMs,
      reason: haveLapsed ? 'earlier_parts_lapsed' : 'all_hosts_heard',
      hosts: lending.heardHosts.size,
    })
  }

  /** An earlier leader lent only to hosts that it knew, so they are named in a copy that is newer than its end. */
  #isEveryHostHeard({ startedAtMs, heardHosts }: Lending, nowMs: number): boolean {
    const { directory, leadership, routerStateAgeMs } = this.#options
    const ageMs = routerStateAgeMs()
    if (leadership.mayLackRows || ageMs === undefined || ageMs >= nowMs - startedAtMs) return false
    return directory.hostNames.every((name) => heardHosts.has(name))
  }
}

const withoutDemand = (ask: QuotaAsk): QuotaAsk => ({ ...ask, demand: 0, waiting: 0 })
