/**
 * Counts requests by key and reports them towards the leader, which balances by them. A host that does not lead adds the
 * reports that it takes to its own, and answers with the shares that it has from the leader.
 */
import type { Clock, Logger } from '@pimentotally/core'
import { HttpCaller } from '@pimentotally/http'
import type { KeyLoad } from '@pimentotally/assignment'
import type { Directory } from './directory.js'
import type { PeerAnswer } from './peer-server.js'

/** A key that turns hot shows in the balance within a second. */
const reportEveryMs = 350
/** A report that is late is of no use. */
const reportTimeoutMs = 450
/** Shares of a leader that was not heard of for this long no longer count. */
const shareLifetimeMs = 1800
export const reportPath = '/key-load'

export interface KeyReportsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly processId: string
  /** Hosts that may be followed, in the order in which they are asked. */
  readonly sources: () => readonly string[]
  /** Where reports of other hosts are counted; undefined for a service that is not divided by key. */
  readonly keyLoad: (service: string) => KeyLoad | undefined
  /** Takes the sum of so many observed factors on a target's work time. */
  readonly addSpeed: (target: string, sum: number, count: number) => void
  /** What this host answers to a report while it leads: the part of the requests that each target may be sent. */
  readonly shares: () => Record<string, number>
}

type Pairs<Name> = readonly (readonly [name: Name, value: number])[]

interface Report {
  /** Requests by key, for each service. */
  readonly keys: Readonly<Record<string, Pairs<number>>>
  /** Sum and number of observed factors on the work time, for each target. */
  readonly speeds: Readonly<Record<string, readonly [sum: number, count: number]>>
}

const isNumberPair = (value: unknown): boolean =>
  Array.isArray(value) && value.length === 2 && value.every((part) => Number.isFinite(part))

const isReport = (value: unknown): value is Report => {
  const { keys, speeds } = (value ?? {}) as Partial<Record<string, unknown>>
  return (
    typeof keys === 'object' &&
    keys !== null &&
    Object.values(keys).every((pairs) => Array.isArray(pairs) && pairs.every(isNumberPair)) &&
    typeof speeds === 'object' &&
    speeds !== null &&
    Object.values(speeds).every(isNumberPair)
  )
}

export class KeyReports {
  readonly #options: KeyReportsOptions
  readonly #counts = new Map<string, Map<number, number>>()
  readonly #speeds = new Map<string, [sum: number, count: number]>()
  readonly #caller = new HttpCaller({ connections: 1 })
  #shares: ReadonlyMap<string, number> = new Map()
  #sharesAtMs = -shareLifetimeMs
  #stopped = false
  /** Reports in a row that got no answer. */
  #failures = 0

  constructor(options: KeyReportsOptions) {
    this.#options = options
  }

  count(service: string, key: number, requests = 1): void {
    let counts = this.#counts.get(service)
    if (counts === undefined) {
      counts = new Map()
      this.#counts.set(service, counts)
    }
    counts.set(key, (counts.get(key) ?? 0) + requests)
  }

  /** `factor` is the time that work took, relative to what was expected. */
  observeSpeed(target: string, factor: number): void {
    this.#addSpeed(target, factor, 1)
  }

  #addSpeed(target: string, sum: number, count: number): void {
    const [knownSum, knownCount] = this.#speeds.get(target) ?? [0, 0]
    this.#speeds.set(target, [knownSum + sum, knownCount + count])
  }

  /** Which part of the requests for a target's keys may be sent to it; 1 where the leader says nothing. */
  share(target: string): number {
    return this.#sharesAreCurrent() ? (this.#shares.get(target) ?? 1) : 1
  }

  #sharesAreCurrent(): boolean {
    return this.#options.clock.monotonicMs() - this.#sharesAtMs < shareLifetimeMs
  }

  /** A lost report only makes the balance less exact, so it is not repeated. */
  async run(): Promise<void> {
    const { clock, sources, logger } = this.#options
    while (!this.#stopped) {
      await clock.sleep(reportEveryMs)
      const report: Report = {
        keys: Object.fromEntries([...this.#counts].map(([service, counts]) => [service, [...counts]])),
        speeds: Object.fromEntries(this.#speeds),
      }
      this.#counts.clear()
      this.#speeds.clear()
      if (this.#leads()) {
        this.#add(report)
        this.#setShares(this.#options.shares())
        continue
      }
      const addresses = sources()
      const address = addresses[this.#failures % Math.max(1, addresses.length)]
      if (address === undefined) continue
      const sent = await this.#caller.call({
        step: 'keys.report',
        address,
        method: 'POST',
        path: reportPath,
        body: JSON.stringify(report),
        timeoutMs: reportTimeoutMs,
      })
      if (sent.isOk && sent.value.status === 200) {
        this.#failures = 0
        this.#readShares(sent.value.body.toString('utf8'))
      } else {
        this.#failures += 1
        const cause = sent.isErr ? sent.error.message : `status ${String(sent.value.status)}`
        logger.debug('keys.report_failed', { address, cause })
      }
    }
  }

  #leads(): boolean {
    const leader = this.#options.directory.leader?.record
    return leader?.leader === this.#options.processId && !leader.released
  }

  stop(): void {
    this.#stopped = true
    this.#caller.close()
  }

  /** A report of another host. */
  receive(text: string): PeerAnswer {
    let value: unknown
    try {
      value = JSON.parse(text)
    } catch {
      value = undefined
    }
    if (!isReport(value)) {
      this.#options.logger.warn('keys.report_malformed', { bytes: text.length })
      return { status: 400 }
    }
    if (this.#leads()) {
      this.#add(value)
      return { status: 200, body: JSON.stringify(this.#options.shares()) }
    }
    this.#merge(value)
    // Without shares of its own, a host says that it knows none.
    return this.#sharesAreCurrent()
      ? { status: 200, body: JSON.stringify(Object.fromEntries(this.#shares)) }
      : { status: 503 }
  }

  #readShares(text: string): void {
    let value: unknown
    try {
      value = JSON.parse(text)
    } catch {
      value = undefined
    }
    const isShares =
      typeof value === 'object' && value !== null && Object.values(value).every(Number.isFinite)
    if (isShares) this.#setShares(value as Record<string, number>)
    else this.#options.logger.warn('keys.shares_malformed', { bytes: text.length })
  }

  #setShares(shares: Record<string, number>): void {
    this.#shares = new Map(Object.entries(shares))
    this.#sharesAtMs = this.#options.clock.monotonicMs()
  }

  /** Takes another host's report into the next one of this host. */
  #merge({ keys, speeds }: Report): void {
    for (const [service, pairs] of Object.entries(keys)) {
      for (const [key, requests] of pairs) this.count(service, key, requests)
    }
    for (const [target, [sum, count]] of Object.entries(speeds)) this.#addSpeed(target, sum, count)
  }

  #add({ keys, speeds }: Report): void {
    for (const [service, pairs] of Object.entries(keys)) {
      const keyLoad = this.#options.keyLoad(service)
      if (keyLoad !== undefined) for (const [key, requests] of pairs) keyLoad.add(key, requests)
    }
    for (const [target, [sum, count]] of Object.entries(speeds)) this.#options.addSpeed(target, sum, count)
  }
}
