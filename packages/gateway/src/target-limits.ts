/**
 * The limits on requests that targets name in their responses. A limit holds for the process that named it,
 * until a response to a later request names another one or none. Hosts tell each other what they heard last,
 * because a host that must not send to a target gets no response that tells of a change.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Clock, Logger } from '@pimentotally/core'
import { readRequestLimit } from '@pimentotally/platform'
import { RequestLimiter, hostRequestRate } from '@pimentotally/routing'
import type { Directory, KnownTarget } from './directory.js'

/** Changes of a target's limit are logged at most this often; a faulty target may name another one each time. */
const logIntervalMs = 1000
/** What was heard of a limit is told to other hosts for this long, and remembered after the limit's end. */
const statementLifetimeMs = 30_000
/** A limit that was named for this long is taken for a lasting one. */
const lastingMs = 1000
/**
 * The age of a statement does not include its time on the way, so the same statement seems newer when it comes
 * back from another host. No report takes this long.
 */
const maxReportMs = 1000
/** Most statements in one message; if more targets name a limit, the latest heard ones are told. */
const maxStatements = 100

/** What a host knows of a target's limit, as it tells other hosts. */
export interface LimitStatement {
  readonly target: string
  /** Start of the target's process; null when its entry does not say. */
  readonly startedAtEpochMs: number | null
  /** Null when the target names no limit any more. */
  readonly requestsPerSecond: number | null
  /** Time since the response that tells it. */
  readonly ageMs: number
}

const isNullOrNumber = (value: unknown): boolean => value === null || Number.isFinite(value)

export const isLimitStatement = (value: unknown): value is LimitStatement => {
  const { target, startedAtEpochMs, requestsPerSecond, ageMs } = (value ?? {}) as Partial<
    Record<string, unknown>
  >
  return (
    typeof target === 'string' &&
    isNullOrNumber(startedAtEpochMs) &&
    isNullOrNumber(requestsPerSecond) &&
    Number(requestsPerSecond) >= 0 &&
    typeof ageMs === 'number' &&
    ageMs >= 0
  )
}

/** What is known of the limit of one target's process. */
interface KnownLimit {
  readonly startedAtEpochMs: number | undefined
  /** Undefined once the limit has ended. */
  readonly requestsPerSecond: number | undefined
  /** When the latest response that tells the limit arrived. */
  readonly heardAtMs: number
  /** When this host learned that the target names a limit. */
  readonly sinceMs: number
  /** Counts this host's requests while the limit lasts. */
  readonly limiter: RequestLimiter
}

/** Why a request is refused, and when its caller may come back; undefined when this host cannot tell. */
export interface LimitRefusal {
  readonly retryAfterMs: number | undefined
  /** What the decision is based on, for the log. */
  readonly inputs: Readonly<Record<string, unknown>>
}

/** A response of a target, and when its request was sent. */
export interface LimitObservation {
  readonly headers: IncomingHttpHeaders
  readonly sentAtMs: number
  /** Set for a response that may come from another target at the same address. */
  readonly misdirected?: boolean
}

export interface TargetLimitsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly hostName: string
  /** Whether the statements of other hosts reach this one; without it, they count as if they did not. */
  readonly hearsOtherHosts?: () => boolean
}

export class TargetLimits {
  readonly #options: TargetLimitsOptions
  readonly #known = new Map<string, KnownLimit>()
  readonly #loggedAtMs = new Map<string, number>()
  /** Responses whose limit could not be used. */
  unusableLimits = 0

  constructor(options: TargetLimitsOptions) {
    this.#options = options
  }

  /** Number of targets that name a limit. */
  get limitedTargets(): number {
    return [...this.#known.values()].filter(({ requestsPerSecond }) => requestsPerSecond !== undefined).length
  }

  /** Takes the limit that a response names; one that is unusable changes nothing. */
  observe(target: KnownTarget, { headers, sentAtMs, misdirected = false }: LimitObservation): void {
    const field = readRequestLimit(headers)
    if (field.code === 'unusable') {
      this.unusableLimits += 1
      this.#log('target.limit_unusable', target)
      return
    }
    const known = this.#of(target)
    const requestsPerSecond = field.code === 'named' ? field.requestsPerSecond : undefined
    if (requestsPerSecond === undefined) {
      // Responses overtake each other: one to an earlier request may have been written before the limit was named.
      if (misdirected || known?.requestsPerSecond === undefined || sentAtMs < known.heardAtMs) return
    }
    this.#set(target, { requestsPerSecond, heardAtMs: this.#options.clock.monotonicMs() })
  }

  /**
   * Time until this host may send the target a request with this rank; 0 for a target that names no limit,
   * Infinity when only other hosts may send to it.
   */
  waitMs(target: KnownTarget, rank: number): number {
    const known = this.#of(target)
    if (known?.requestsPerSecond === undefined) return 0
    return known.limiter.waitMs(this.#options.clock.monotonicMs(), this.#rate(target, known), rank)
  }

  /** Records that a request is refused because of `waitMs`; no retry comes later than `maxRetryAfterMs`. */
  refuse(target: KnownTarget, rank: number, maxRetryAfterMs: number): LimitRefusal {
    const nowMs = this.#options.clock.monotonicMs()
    const known = this.#of(target)
    if (known === undefined) return { retryAfterMs: undefined, inputs: {} }
    const hostRate = this.#rate(target, known)
    const waitMs = known.limiter.waitMs(nowMs, hostRate, rank)
    const inputs = { limit: known.requestsPerSecond, hostRate, limitAgeMs: nowMs - known.heardAtMs }
    const retryAfterMs = Number.isFinite(waitMs)
      ? known.limiter.refuse(nowMs, hostRate, { waitMs, rank, maxMs: maxRetryAfterMs })
      : undefined
    return { retryAfterMs, inputs }
  }

  /** Records that this host sends the target a request. */
  recordSent(id: string): void {
    this.#known.get(id)?.limiter.record(this.#options.clock.monotonicMs())
  }

  /** Requests a second that the target accepts from all hosts together; undefined when it names no limit. */
  requestsPerSecond(target: KnownTarget): number | undefined {
    return this.#of(target)?.requestsPerSecond
  }

  /** What this host knows of limits, for other hosts. */
  statements(): LimitStatement[] {
    const nowMs = this.#options.clock.monotonicMs()
    const heard = [...this.#known].filter(([, { heardAtMs }]) => nowMs - heardAtMs < statementLifetimeMs)
    return heard
      .sort(([, a], [, b]) => b.heardAtMs - a.heardAtMs)
      .slice(0, maxStatements)
      .map(([target, { startedAtEpochMs, requestsPerSecond, heardAtMs }]) => ({
        target,
        startedAtEpochMs: startedAtEpochMs ?? null,
        requestsPerSecond: requestsPerSecond ?? null,
        ageMs: nowMs - heardAtMs,
      }))
  }

  /** Takes what another host knows, where it is newer. */
  merge(statements: readonly LimitStatement[]): void {
    const { clock, directory } = this.#options
    const nowMs = clock.monotonicMs()
    for (const { target: id, startedAtEpochMs, requestsPerSecond, ageMs } of statements) {
      const target = directory.target(id)
      if (target === undefined || target.startedAtEpochMs !== (startedAtEpochMs ?? undefined)) continue
      const heardAtMs = nowMs - ageMs
      const told = { requestsPerSecond: requestsPerSecond ?? undefined, heardAtMs }
      const known = this.#of(target)
      const marginMs = known?.requestsPerSecond === told.requestsPerSecond ? maxReportMs : 0
      const isNewer = known === undefined || heardAtMs > known.heardAtMs + marginMs
      if (isNewer && ageMs <= statementLifetimeMs) this.#set(target, told)
    }
  }

  /**
   * Requests a second that the target accepts, if it has named a limit for a while; undefined otherwise. Moving
   * keys for a limit that ends at once would gain nothing.
   */
  lastingLimit(target: KnownTarget): number | undefined {
    const known = this.#of(target)
    if (known === undefined || this.#options.clock.monotonicMs() - known.sinceMs < lastingMs) return undefined
    return known.requestsPerSecond
  }

  /**
   * Drops what is known of targets that left the target registry some time ago. The entry of a target that
   * cannot reach the store is missing for some seconds, and its limit still holds when the entry is back.
   */
  dropRemovedTargets(): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [id, { heardAtMs }] of this.#known) {
      if (this.#options.directory.target(id) !== undefined) continue
      if (nowMs - heardAtMs < statementLifetimeMs) continue
      this.#known.delete(id)
      this.#loggedAtMs.delete(id)
    }
  }

  /** This host's part of the target's limit, in requests a second. */
  #rate({ id }: KnownTarget, { requestsPerSecond = 0, heardAtMs, limiter }: KnownLimit): number {
    const { clock, hostName, directory, hearsOtherHosts } = this.#options
    const nowMs = clock.monotonicMs()
    return hostRequestRate({
      requestsPerSecond,
      targetId: id,
      hostName,
      hostNames: directory.hostNames,
      silentMs: nowMs - heardAtMs,
      unsentMs: nowMs - limiter.sentAtMs,
      hearsOtherHosts: hearsOtherHosts?.() ?? false,
    })
  }

  /** Undefined also when what is known is about another process of the target. */
  #of({ id, startedAtEpochMs }: KnownTarget): KnownLimit | undefined {
    const known = this.#known.get(id)
    return known?.startedAtEpochMs === startedAtEpochMs ? known : undefined
  }

  #set(
    target: KnownTarget,
    { requestsPerSecond, heardAtMs }: Pick<KnownLimit, 'requestsPerSecond' | 'heardAtMs'>,
  ): void {
    const { clock, directory } = this.#options
    const { id, startedAtEpochMs } = target
    const current = directory.target(id)
    if (current !== undefined && current.startedAtEpochMs !== startedAtEpochMs) return
    const known = this.#of(target)
    const previous = known?.requestsPerSecond
    const nowMs = clock.monotonicMs()
    const { limiter, sinceMs } =
      known === undefined || previous === undefined
        ? { limiter: new RequestLimiter(nowMs), sinceMs: nowMs }
        : known
    this.#known.set(id, { startedAtEpochMs, requestsPerSecond, heardAtMs, sinceMs, limiter })
    if (previous !== requestsPerSecond) {
      this.#log('target.limit_changed', target, { requestsPerSecond, previous })
    }
  }

  #log(event: string, { id, service, startedAtEpochMs }: KnownTarget, fields: object = {}): void {
    const nowMs = this.#options.clock.monotonicMs()
    const loggedAtMs = this.#loggedAtMs.get(id)
    if (loggedAtMs !== undefined && nowMs - loggedAtMs < logIntervalMs) return
    this.#loggedAtMs.set(id, nowMs)
    this.#options.logger.info(event, { target: id, service, startedAtEpochMs, ...fields })
  }
}
