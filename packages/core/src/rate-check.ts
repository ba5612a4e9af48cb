/**
 * Checks, from what targets received, that hosts kept within a limit that a target named. Hosts that learned
 * of the limit only just before, or that were disturbed, are not counted.
 */

/** Length of the sliding window in which requests are counted. */
const windowMs = 4000
/** Share of the limit that a window may contain, and the number of requests that it may contain on top. */
const allowedShare = 1.5
const allowedSlack = 5
/** A host is counted from this time after it got a response that names the limit. */
const noticeMs = 500
/** Windows start this long after the limit was first named. */
const contactMs = 3000

export class RateCheck {
  readonly #arrivals: { readonly atMs: number; readonly host: string }[] = []
  readonly #limits: { readonly atMs: number; readonly requestsPerSecond: number | undefined }[] = []
  /** When each host got the first response that names the limit. */
  readonly #toldAtMs = new Map<string, number>()

  /** The target names another limit from now on, or none. */
  limit(atMs: number, requestsPerSecond: number | undefined): void {
    this.#limits.push({ atMs, requestsPerSecond })
    if (requestsPerSecond === undefined) this.#toldAtMs.clear()
  }

  /** The host has received a response with the limit. */
  told(atMs: number, host: string): void {
    if (!this.#toldAtMs.has(host)) this.#toldAtMs.set(host, atMs)
  }

  /** The host was restarted or disturbed, and is not counted until it is told again. */
  excuse(host: string): void {
    this.#toldAtMs.delete(host)
  }

  arrived(atMs: number, host: string): void {
    if (atMs - (this.#toldAtMs.get(host) ?? atMs) >= noticeMs) this.#arrivals.push({ atMs, host })
  }

  /** Requests that were counted. */
  get counted(): number {
    return this.#arrivals.length
  }

  /** The worst excess over what a window may contain, in requests; negative when every window kept within it. */
  excess(): number {
    let worst = Number.NEGATIVE_INFINITY
    for (const [index, { atMs: fromMs }] of this.#arrivals.entries()) {
      const allowed = this.#allowed(fromMs)
      if (allowed === undefined) continue
      const untilMs = fromMs + windowMs
      let end = index
      while ((this.#arrivals[end]?.atMs ?? Number.POSITIVE_INFINITY) < untilMs) end += 1
      worst = Math.max(worst, end - index - allowed)
    }
    return worst
  }

  /** By the highest limit of the window; undefined while the target has not named a limit for long enough. */
  #allowed(fromMs: number): number | undefined {
    const before = this.#limits.filter(({ atMs }) => atMs <= fromMs)
    const lastEnd = before.findLastIndex(({ requestsPerSecond }) => requestsPerSecond === undefined)
    const first = before[lastEnd + 1]
    if (first === undefined || fromMs - first.atMs < contactMs) return undefined
    const named = [
      before.at(-1),
      ...this.#limits.filter(({ atMs }) => atMs > fromMs && atMs < fromMs + windowMs),
    ].map((limit) => limit?.requestsPerSecond)
    if (named.includes(undefined)) return undefined
    const highest = Math.max(...named.map((value) => value ?? 0))
    return allowedShare * highest * (windowMs / 1000) + allowedSlack
  }
}
