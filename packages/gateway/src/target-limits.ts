/**
 * The limits on requests that targets name in their responses. A limit holds for the process that named it,
 * until a response to a later request names another one or none.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Clock, Logger } from '@pimentotally/core'
import { readRequestLimit } from '@pimentotally/platform'
import type { Directory, KnownTarget } from './directory.js'

/** Changes of a target's limit are logged at most this often; a faulty target may name another one each time. */
const logIntervalMs = 1000

/** What is known of the limit of one target's process. */
interface KnownLimit {
  readonly startedAtEpochMs: number | undefined
  /** Undefined once the limit has ended. */
  readonly requestsPerSecond: number | undefined
  /** When the latest response that tells the limit arrived. */
  readonly heardAtMs: number
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

  /** Requests a second that the target accepts from all hosts together; undefined when it names no limit. */
  requestsPerSecond(target: KnownTarget): number | undefined {
    return this.#of(target)?.requestsPerSecond
  }

  /** Drops what is known of targets that have left the target registry. */
  dropRemovedTargets(): void {
    for (const id of this.#known.keys()) {
      if (this.#options.directory.target(id) !== undefined) continue
      this.#known.delete(id)
      this.#loggedAtMs.delete(id)
    }
  }

  /** Undefined also when what is known is about another process of the target. */
  #of({ id, startedAtEpochMs }: KnownTarget): KnownLimit | undefined {
    const known = this.#known.get(id)
    return known?.startedAtEpochMs === startedAtEpochMs ? known : undefined
  }

  #set(target: KnownTarget, { requestsPerSecond, heardAtMs }: Omit<KnownLimit, 'startedAtEpochMs'>): void {
    const { id, startedAtEpochMs } = target
    const current = this.#options.directory.target(id)
    if (current !== undefined && current.startedAtEpochMs !== startedAtEpochMs) return
    const previous = this.#of(target)?.requestsPerSecond
    this.#known.set(id, { startedAtEpochMs, requestsPerSecond, heardAtMs })
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
