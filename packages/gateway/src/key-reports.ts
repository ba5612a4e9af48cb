/** Counts requests by key and reports them to the leader, which balances by them. */
import type { Clock, Logger } from '@pimentotally/core'
import { HttpCaller } from '@pimentotally/http'
import type { KeyLoad } from '@pimentotally/assignment'
import type { Directory } from './directory.js'
import type { PeerAnswer } from './peer-server.js'

/** A key that turns hot shows in the balance within a second. */
const reportEveryMs = 500
/** A report that is late is of no use. */
const reportTimeoutMs = 300
/** Shares of a leader that was not heard of for this long no longer count. */
const shareLifetimeMs = 1800
export const reportPath = '/key-load'

export interface KeyReportsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly processId: string
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

  constructor(options: KeyReportsOptions) {
    this.#options = options
  }

  count(service: string, key: number): void {
    let counts = this.#counts.get(service)
    if (counts === undefined) {
      counts = new Map()
      this.#counts.set(service, counts)
    }
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }

  /** `factor` is the time that work took, relative to what was expected. */
  observeSpeed(target: string, factor: number): void {
    const [sum, count] = this.#speeds.get(target) ?? [0, 0]
    this.#speeds.set(target, [sum + factor, count + 1])
  }

  /** Which part of the requests for a target's keys may be sent to it; 1 where the leader says nothing. */
  share(target: string): number {
    const isCurrent = this.#options.clock.monotonicMs() - this.#sharesAtMs < shareLifetimeMs
    return isCurrent ? (this.#shares.get(target) ?? 1) : 1
  }

  /** A lost report only makes the balance less exact, so it is not repeated. */
  async run(): Promise<void> {
    const { clock, directory, processId, logger } = this.#options
    while (!this.#stopped) {
      await clock.sleep(reportEveryMs)
      const report: Report = {
        keys: Object.fromEntries([...this.#counts].map(([service, counts]) => [service, [...counts]])),
        speeds: Object.fromEntries(this.#speeds),
      }
      this.#counts.clear()
      this.#speeds.clear()
      const leader = directory.leader?.record
      if (leader === undefined || leader.released) continue
      if (leader.leader === processId) {
        this.#add(report)
        this.#setShares(this.#options.shares())
        continue
      }
      const sent = await this.#caller.call({
        step: 'keys.report',
        address: leader.peerAddress,
        method: 'POST',
        path: reportPath,
        body: JSON.stringify(report),
        timeoutMs: reportTimeoutMs,
      })
      if (sent.isErr) logger.debug('keys.report_failed', { ...sent.error })
      else if (sent.value.status === 200) this.#readShares(sent.value.body.toString('utf8'))
    }
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
    this.#add(value)
    return { status: 200, body: JSON.stringify(this.#options.shares()) }
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

  #add({ keys, speeds }: Report): void {
    for (const [service, pairs] of Object.entries(keys)) {
      const keyLoad = this.#options.keyLoad(service)
      if (keyLoad !== undefined) for (const [key, requests] of pairs) keyLoad.add(key, requests)
    }
    for (const [target, [sum, count]] of Object.entries(speeds)) this.#options.addSpeed(target, sum, count)
  }
}
