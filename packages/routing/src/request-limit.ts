/**
 * Limits the rate at which all hosts together send requests to a target that names a limit itself, without a
 * message before each request. The limit is divided equally among a few hosts, which rendezvous hashing picks:
 * not more of them than requests a second, because each may send one request at any moment. The others send
 * only when nothing was heard of the target for long, as the picked ones may have stopped, or have no requests
 * for it. Load pattern: a target in need names a limit far below what its keys demand, and is reached through
 * all hosts.
 */
import { hostRank, type HostRankOptions } from './rendezvous.js'

/** A host that has not used its share may send this much of it at once. */
const burstMs = 1000
/**
 * A lower limit counts as this many requests a second, as only a response shows that the limit has changed or
 * ended.
 */
const minRequestsPerSecond = 0.1
/**
 * While hosts tell each other what they hear of the target, as many further hosts may send to it after each
 * such time without a response.
 */
const silenceMs = 5000
/** Silence is at least this many times the interval between two requests of a host. */
const silenceIntervals = 2
/**
 * A host that was not picked may also send one request after a long wait, however little it hears. With equal
 * waits, all of them together would send this share of the limit on top of it; as the waits differ, they send
 * about a quarter of the limit.
 */
const reserveShare = 1 / 6
/**
 * The waits are spread over this range, as multiples of an equal one, so that hosts that heard of the target
 * last at the same time do not send to it together.
 */
const reserveWaits = { shortest: 0.25, longest: 1.5 } as const

export interface HostRequestRateOptions extends HostRankOptions {
  /** Requests a second that the target accepts from all hosts together. */
  readonly requestsPerSecond: number
  /** Time since the last response of the target that this host knows of. */
  readonly silentMs: number
  /** Time since this host last sent the target a request. */
  readonly unsentMs: number
  /** Whether this host learns of the responses that other hosts get. */
  readonly hearsOtherHosts: boolean
}

/** This host's part of the target's limit, in requests a second; 0 when it must not send to the target. */
export const hostRequestRate = ({
  requestsPerSecond,
  silentMs,
  unsentMs,
  hearsOtherHosts,
  ...hosts
}: HostRequestRateOptions): number => {
  const { rank, count } = hostRank(hosts)
  const total = Math.max(minRequestsPerSecond, requestsPerSecond)
  const senders = Math.min(count, Math.max(1, Math.floor(total)))
  const rate = total / senders
  if (rank < senders) return rate
  const isAnswered = silentMs <= unsentMs
  const turnMs = Math.max(silenceMs, (silenceIntervals * 1000) / rate)
  if (hearsOtherHosts && isAnswered && silentMs >= Math.floor(rank / senders) * turnMs) return rate
  const reserves = count - senders
  const { shortest, longest } = reserveWaits
  const equalWaitMs = (reserves * 1000) / (reserveShare * total)
  const waitMs = equalWaitMs * (shortest + ((longest - shortest) * (rank - senders)) / reserves)
  return Math.min(silentMs, unsentMs) >= waitMs ? rate : 0
}

/** A refused request: the wait that it is refused for, its rank, and the longest time to its retry. */
export interface RefusalTiming {
  readonly waitMs: number
  readonly rank: number
  readonly maxMs: number
}

/** A token bucket: counts the requests that this host sends to one target that names a limit. */
export class RequestLimiter {
  #tokens = 0
  #refilledAtMs: number
  /** When a request of each rank was last refused. */
  readonly #refusedAtMs: number[] = []
  /** Callers that were refused are expected back until this time, one after another. */
  #expectedUntilMs = 0
  /** When a request was last sent. */
  #sentAtMs = Number.NEGATIVE_INFINITY

  /** The bucket is empty at first, because requests were sent until the limit was known. */
  constructor(nowMs: number) {
    this.#refilledAtMs = nowMs
  }

  get sentAtMs(): number {
    return this.#sentAtMs
  }

  /** Called when a request is sent. */
  record(nowMs: number): void {
    this.#tokens -= 1
    this.#sentAtMs = nowMs
  }

  /**
   * Time until this host may send one more request at `rate` requests a second; 0 when it may now. `rank` is 0
   * for the most urgent requests. Others also wait while more urgent ones are refused.
   */
  waitMs(nowMs: number, rate: number, rank = 0): number {
    if (rate <= 0) return Number.POSITIVE_INFINITY
    this.#refill(nowMs, rate)
    const tokenMs = this.#tokens >= 1 ? 0 : ((1 - this.#tokens) * 1000) / rate
    const reservedMs = Math.max(burstMs, 1000 / rate)
    const reservedUntilMs = Math.max(
      ...this.#refusedAtMs.slice(0, rank).map((refusedAtMs) => refusedAtMs + reservedMs),
      0,
    )
    return Math.max(tokenMs, reservedUntilMs - nowMs)
  }

  /**
   * Records that a request is refused because of `waitMs`. Returns the time to a retry: each caller gets a
   * later time than the one before, at the rate at which they can be served, but at most `maxMs`.
   */
  refuse(nowMs: number, rate: number, { waitMs, rank, maxMs }: RefusalTiming): number {
    this.#refusedAtMs[rank] = nowMs
    for (let other = 0; other < rank; other += 1) this.#refusedAtMs[other] ??= Number.NEGATIVE_INFINITY
    const firstMs = Math.max(this.#expectedUntilMs, nowMs + waitMs)
    this.#expectedUntilMs = Math.min(nowMs + maxMs, firstMs + 1000 / rate)
    return Math.min(maxMs, firstMs - nowMs)
  }

  #refill(nowMs: number, rate: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs)
    this.#refilledAtMs = nowMs
    const capacity = Math.max(1, (rate * burstMs) / 1000)
    this.#tokens = Math.min(capacity, this.#tokens + (rate * elapsedMs) / 1000)
  }
}
