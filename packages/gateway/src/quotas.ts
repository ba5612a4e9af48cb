/**
 * Keeps the requests of each tenant within its quota over all hosts. A request takes a token of this host's part of
 * the quota. Without one, it waits for the answer of the leader, which is asked at once; otherwise the leader is
 * asked at intervals, only about tenants in use. Load pattern: each tenant has a few connections, which touch some
 * of the hosts and move between them.
 */
import {
  QuotaShare,
  quotaPlan,
  type ClockReading,
  type LeaderRecord,
  type QuotaAsk,
  type QuotaBounds,
} from '@pimentotally/assignment'
import type { Clock, Logger, Random } from '@pimentotally/core'
import { HttpClient } from '@pimentotally/http'
import type { Tenant } from '@pimentotally/routing'
import type { Directory } from './directory.js'
import type { QuotaLending } from './quota-lending.js'
import {
  decodeQuotaReply,
  encodeQuotaRequest,
  maxAsks,
  type QuotaReply,
  type QuotaRequest,
} from './quota-messages.js'

/** Path of requests for quotas at the leader. */
export const quotaPath = '/quota'

/** Longest wait of a request for a token; short against the objective of any route. */
const maxWaitMs = 250
/** Shortest interval between two requests of a host to the leader. */
const minAskIntervalMs = 100
/** Interval between requests about tenants in use. */
const askIntervalMs = 800
/** With more hosts than this, each asks less often, so that the leader's load stays the same. */
const hostsAtFullRate = 75
/** Time limit of a request to the leader; a host in touch answers within a few milliseconds. */
const askTimeoutMs = 250
/**
 * After an answer with too few tokens, or none at all, new requests do not wait for another one for this time. It
 * doubles with each such answer in a row.
 */
const dryPauseMs = { first: 100, longest: 300 } as const
/** Interval between attempts to tell a new leader what this host holds. */
const tellIntervalMs = 300
/** Most requests of one tenant that wait on this host. */
const maxWaiting = 200
/** Longest Retry-After. */
const maxRetryAfterMs = 5000
/** A tenant that is refused is logged at most this often. */
const logIntervalMs = 5000

/** Sends a request to the leader; undefined without a successful response. */
export type QuotaTransport = (address: string, body: string) => Promise<string | undefined>

export interface TenantQuotasOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly random: Random
  readonly directory: Pick<Directory, 'routes' | 'leader' | 'hostCount'>
  readonly processId: string
  readonly hostName: string
  readonly bounds: QuotaBounds
  /** Answers this host's own requests while it leads. */
  readonly lending: Pick<QuotaLending, 'answer'>
  /** Replaces the HTTP client in tests. */
  readonly transport?: QuotaTransport
}

/** Why a request is not let in, and when its caller may come back. */
export interface QuotaRefusal {
  /** `quota_unknown`: this host has no part of the quota and does not reach the leader. */
  readonly reason: 'quota' | 'quota_unknown'
  readonly retryAfterMs: number
  readonly inputs: Readonly<Record<string, unknown>>
}

/** What this host did with the requests of a tenant. */
export interface TenantUse {
  readonly tenant: string
  readonly letIn: number
  readonly refused: number
  /** Requests a second that this host may let in. */
  readonly rate: number
}

interface TenantState {
  readonly share: QuotaShare
  requestsPerSecond: number
  burst: number
  /** Requests that wait for a token, in order; each takes one or is refused. */
  readonly waiting: Set<(options?: { readonly isUnlimited: boolean }) => void>
  /** Until this time no request waits for an answer of the leader. */
  dryUntilMs: number
  dryPauseMs: number
  /** Callers that were refused are expected back until this time, one after another. */
  expectedUntilMs: number
  /** This host's share of the demand on all hosts, as the leader last told it. */
  demandShare: number
  /** Whether requests arrived since the last ask. */
  isUsed: boolean
  letIn: number
  refused: number
  /** Refusals that are not logged yet, and when some were last logged. */
  unloggedRefusals: number
  loggedAtMs: number
}

interface AskedTenant {
  readonly state: TenantState
  readonly ask: QuotaAsk
  /** The requests that waited when the leader was asked. */
  readonly waiting: readonly (() => void)[]
}

export class TenantQuotas {
  readonly #options: TenantQuotasOptions
  readonly #client = new HttpClient({ connections: 1, maxResponseBytes: 1024 * 1024 })
  readonly #transport: QuotaTransport
  readonly #states = new Map<string, TenantState>()
  #configurationVersion: number | undefined
  #sequence = 0
  #isAsking = false
  /** Whether a request to the leader is scheduled for a waiting request. */
  #isAskScheduled = false
  #askedAtMs = Number.NEGATIVE_INFINITY
  #nextAskAtMs: number
  /** The term whose leader has been told everything that this host holds. */
  #toldTerm: number | undefined
  /** Requests to the leader in a row that failed. */
  #failures = 0
  #stopped = false

  constructor(options: TenantQuotasOptions) {
    this.#options = options
    this.#transport = options.transport ?? ((address, body) => this.#post(address, body))
    this.#nextAskAtMs = options.clock.monotonicMs() + options.random.float() * askIntervalMs
  }

  /** Takes a token for a request of the tenant. Undefined when it is let in. */
  admit(tenant: Tenant): QuotaRefusal | undefined | Promise<QuotaRefusal | undefined> {
    const state = this.#stateOf(tenant)
    if (state === undefined) return undefined
    const now = this.#reading()
    state.share.recordArrival(now.monotonicMs)
    state.isUsed = true
    if (state.waiting.size === 0 && this.#tryTake(state, now)) return undefined
    const ownWaitMs = state.share.waitMs(now, 1 + state.waiting.size)
    const mayAsk = now.monotonicMs >= state.dryUntilMs
    if ((!mayAsk && ownWaitMs > maxWaitMs) || state.waiting.size >= maxWaiting)
      return this.#refuse(state, now)
    if (!mayAsk) return this.#wait(state, Math.max(1, Math.ceil(ownWaitMs)))
    this.#scheduleAsk()
    return this.#wait(state, maxWaitMs)
  }

  /** Takes back the token of a request that was let in and has certainly not run. */
  giveBack({ name }: Tenant): void {
    const state = this.#states.get(name)
    if (state === undefined) return
    state.letIn -= 1
    state.share.giveBack(this.#reading())
    this.#serve(state)
  }

  /** Asks the leader at intervals until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.#options
    while (!this.#stopped) {
      await clock.sleep(minAskIntervalMs)
      this.#applyConfiguration()
      const nowMs = clock.monotonicMs()
      const { leader } = this.#options.directory
      const isUntold = leader !== undefined && leader.record.term !== this.#toldTerm
      const isDue = isUntold ? nowMs >= this.#askedAtMs + tellIntervalMs : nowMs >= this.#nextAskAtMs
      if (isDue && nowMs - this.#askedAtMs >= minAskIntervalMs) await this.#ask({ isRegular: true })
    }
  }

  stop(): void {
    this.#stopped = true
    this.#client.close()
  }

  /** The tenants with the most requests on this host. */
  busiest(limit: number): readonly TenantUse[] {
    return [...this.#states]
      .map(([tenant, { letIn, refused, share }]) => ({ tenant, letIn, refused, rate: share.part.rate }))
      .sort((a, b) => b.letIn + b.refused - a.letIn - a.refused)
      .slice(0, limit)
  }

  /** Undefined for a tenant without a quota. */
  #stateOf(tenant: Tenant): TenantState | undefined {
    this.#applyConfiguration()
    const known = this.#states.get(tenant.name)
    if (known !== undefined) return known
    // The request may have been read under an older configuration.
    const { requestsPerSecond, burst } =
      this.#options.directory.routes?.configuration.tenants?.named(tenant.name) ?? tenant
    if (requestsPerSecond <= 0) return undefined
    const { bounds, clock } = this.#options
    const plan = quotaPlan({ requestsPerSecond, burst }, bounds)
    const state: TenantState = {
      share: new QuotaShare(tenant.name, plan, clock.monotonicMs()),
      requestsPerSecond,
      burst,
      waiting: new Set(),
      dryUntilMs: 0,
      dryPauseMs: dryPauseMs.first,
      expectedUntilMs: 0,
      demandShare: 0,
      isUsed: false,
      letIn: 0,
      refused: 0,
      unloggedRefusals: 0,
      loggedAtMs: Number.NEGATIVE_INFINITY,
    }
    this.#states.set(tenant.name, state)
    return state
  }

  #applyConfiguration(): void {
    const configuration = this.#options.directory.routes?.configuration
    if (configuration === undefined || configuration.version === this.#configurationVersion) return
    this.#configurationVersion = configuration.version
    for (const [name, state] of this.#states) {
      const quota = configuration.tenants?.named(name)
      if (quota === undefined || quota.requestsPerSecond <= 0) {
        this.#states.delete(name)
        for (const settle of [...state.waiting]) settle({ isUnlimited: true })
      } else if (quota.requestsPerSecond !== state.requestsPerSecond || quota.burst !== state.burst) {
        state.requestsPerSecond = quota.requestsPerSecond
        state.burst = quota.burst
        state.share.setPlan(quotaPlan(quota, this.#options.bounds), this.#reading())
      }
    }
  }

  #tryTake(state: TenantState, now: ClockReading): boolean {
    if (!state.share.tryTake(now)) return false
    state.letIn += 1
    return true
  }

  #wait(state: TenantState, waitMs: number): Promise<QuotaRefusal | undefined> {
    return new Promise((resolve) => {
      const settle = ({ isUnlimited = false } = {}): void => {
        state.waiting.delete(settle)
        cancel()
        const now = this.#reading()
        resolve(isUnlimited || this.#tryTake(state, now) ? undefined : this.#refuse(state, now))
      }
      const cancel = this.#options.clock.schedule(waitMs, () => {
        settle()
      })
      state.waiting.add(settle)
    })
  }

  /** Lets waiting requests in while there are tokens. */
  #serve(state: TenantState): void {
    const now = this.#reading()
    for (const settle of [...state.waiting]) {
      if (!state.share.hasToken(now)) return
      settle()
    }
  }

  /** Each caller is told a later time than the one before, at the rate at which they can be let in. */
  #refuse(state: TenantState, now: ClockReading): QuotaRefusal {
    state.refused += 1
    state.unloggedRefusals += 1
    const { share, requestsPerSecond } = state
    const { rate, capacity } = share.part
    const fairShare = Math.max(state.demandShare, 1 / Math.max(1, this.#options.directory.hostCount))
    const expectedRate = Math.max(rate, requestsPerSecond * fairShare)
    const ownWaitMs = share.waitMs(now)
    const waitMs = Number.isFinite(ownWaitMs) ? ownWaitMs : 1000 / expectedRate
    const nowMs = now.monotonicMs
    const firstMs = Math.max(state.expectedUntilMs, nowMs + waitMs)
    state.expectedUntilMs = Math.min(nowMs + maxRetryAfterMs, firstMs + 1000 / expectedRate)
    const isUnknown = this.#failures > 0 && capacity === 0
    return {
      reason: isUnknown ? 'quota_unknown' : 'quota',
      retryAfterMs: Math.min(maxRetryAfterMs, firstMs - nowMs),
      inputs: { quota: requestsPerSecond, hostRate: rate, hostCapacity: capacity },
    }
  }

  /** Refuses those that the leader had no tokens for; new requests do not wait for a while. */
  #refuseAsked(state: TenantState, asked: readonly (() => void)[]): void {
    const left = asked.filter((settle) => state.waiting.has(settle))
    if (left.length === 0) {
      state.dryPauseMs = dryPauseMs.first
      return
    }
    state.dryUntilMs = this.#options.clock.monotonicMs() + state.dryPauseMs
    state.dryPauseMs = Math.min(dryPauseMs.longest, 2 * state.dryPauseMs)
    for (const settle of left) settle()
  }

  #scheduleAsk(): void {
    if (this.#isAskScheduled || this.#isAsking) return
    this.#isAskScheduled = true
    const { clock } = this.#options
    clock.schedule(Math.max(0, this.#askedAtMs + minAskIntervalMs - clock.monotonicMs()), () => {
      this.#isAskScheduled = false
      void this.#ask({ isRegular: false })
    })
  }

  async #ask({ isRegular }: { readonly isRegular: boolean }): Promise<void> {
    if (this.#isAsking || this.#stopped) return
    const { logger, directory } = this.#options
    const leader = directory.leader?.record
    const sentAt = this.#reading()
    this.#askedAtMs = sentAt.monotonicMs
    if (leader === undefined || leader.released) {
      // A leader may be elected while requests wait; each one's own time limit ends its wait.
      this.#failures += 1
      return
    }
    const isUntold = leader.term !== this.#toldTerm
    if (isRegular || isUntold) {
      const { hostCount } = directory
      this.#nextAskAtMs = sentAt.monotonicMs + askIntervalMs * Math.max(1, hostCount / hostsAtFullRate)
      this.#log(sentAt.monotonicMs)
    }
    const asked = new Map<string, AskedTenant>()
    for (const [name, state] of this.#states) {
      if (asked.size >= maxAsks) break
      if (!isWanted(state, sentAt, { isRegular, isUntold })) continue
      const waiting = [...state.waiting]
      asked.set(name, { state, waiting, ask: state.share.ask(sentAt, waiting.length) })
      state.isUsed = false
    }
    if (asked.size === 0 && !isUntold) return
    const isComplete = isUntold && asked.size < maxAsks
    this.#isAsking = true
    this.#sequence += 1
    const { processId, hostName } = this.#options
    const asks = [...asked.values()].map(({ ask }) => ask)
    const request = { processId, hostName, sequence: this.#sequence, isComplete, asks }
    const reply = await this.#exchange(leader, request).catch((error: unknown) => {
      logger.error('quota.request_failed', { error })
      return undefined
    })
    this.#isAsking = false
    const now = this.#reading()
    if (reply === undefined) this.#failures += 1
    else {
      this.#failures = 0
      if (isComplete) this.#toldTerm = reply.term
      for (const grant of reply.grants) {
        const state = asked.get(grant.tenant)?.state
        if (state === undefined) continue
        state.share.accept(grant, sentAt, now)
        state.demandShare = grant.demandShare
      }
    }
    for (const { state, waiting } of asked.values()) {
      this.#serve(state)
      state.share.dropPassing()
      if (reply !== undefined && waiting.length > 0) this.#refuseAsked(state, waiting)
    }
    if ([...this.#states.values()].some(({ waiting }) => waiting.size > 0)) this.#scheduleAsk()
  }

  async #exchange(leader: LeaderRecord, request: QuotaRequest): Promise<QuotaReply | undefined> {
    const { lending, processId } = this.#options
    if (leader.leader === processId) return lending.answer(request)
    const text = await this.#transport(leader.peerAddress, encodeQuotaRequest(request))
    return text === undefined ? undefined : decodeQuotaReply(text)
  }

  async #post(address: string, body: string): Promise<string | undefined> {
    const sent = await this.#client.call({
      step: 'quota.ask',
      address,
      method: 'POST',
      path: quotaPath,
      body,
      timeoutMs: askTimeoutMs,
    })
    if (sent.isOk && sent.value.status === 200) return sent.value.body.toString('utf8')
    const cause = sent.isErr ? sent.error.message : `status ${String(sent.value.status)}`
    this.#options.logger.debug('quota.ask_failed', { address, cause, failures: this.#failures + 1 })
    return undefined
  }

  #log(nowMs: number): void {
    for (const [tenant, state] of this.#states) {
      if (state.unloggedRefusals === 0 || nowMs - state.loggedAtMs < logIntervalMs) continue
      const { share, letIn, unloggedRefusals: refused, requestsPerSecond } = state
      state.unloggedRefusals = 0
      state.loggedAtMs = nowMs
      const { rate, capacity } = share.part
      this.#options.logger.info('quota.refused', {
        tenant,
        refused,
        letIn,
        quota: requestsPerSecond,
        hostRate: rate,
        hostCapacity: capacity,
      })
    }
  }

  #reading(): ClockReading {
    const { clock } = this.#options
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() }
  }
}

/** Whether a request to the leader says something of the tenant. */
const isWanted = (
  { share, waiting, isUsed }: TenantState,
  now: ClockReading,
  { isRegular, isUntold }: { readonly isRegular: boolean; readonly isUntold: boolean },
): boolean => {
  // Tokens that come ahead of the next request save a request to the leader.
  if (waiting.size > 0 || (isUsed && !share.hasToken(now))) return true
  const isHolding = share.part.capacity > 0
  if (isUntold && isHolding) return true
  return isRegular && (isUsed || share.isRenewalDue(now) || (isHolding && share.isIdle(now.monotonicMs)))
}
