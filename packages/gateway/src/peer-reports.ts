/**
 * What hosts tell each other about load. Each host reports requests by key, observed speeds and reported queues towards the
 * leader; a host that does not lead adds the reports that it takes to its own. The answer is the leader's guidance, which
 * it makes from all reports: the share of requests that overloaded owners may be sent, the mean queue of each service, and
 * the speed of each target. Load pattern: a hundred hosts, each of which hears from a target every ten seconds.
 */
import type { Clock, Logger } from '@pimentotally/core'
import { HttpClient } from '@pimentotally/http'
import type { KeyLoad, TargetSpeeds } from '@pimentotally/assignment'
import { MeanOccupancy } from '@pimentotally/routing'
import type { Directory } from './directory.js'
import type { PeerResponse } from './peer-server.js'

/** A key that turns hot shows in the balance within a second. */
const reportEveryMs = 350
/** Hosts up to which each may report so often; the first host of a domain takes the reports of all others. */
const hostsAtFullRate = 50
/** Two reports on the way to the leader, and the guidance back, stay within the lifetime of the guidance. */
const longestReportEveryMs = 700
/** A report that is late is of no use. */
const reportTimeoutMs = 450
/** Guidance of a leader that was not heard of for this long no longer counts. */
const guidanceLifetimeMs = 1800
/** Speeds change slowly, and their table is the largest part of an answer. */
const speedsEveryMs = 3000
/** Far above the speeds of the largest deployment. */
const maxGuidanceBytes = 1024 * 1024
export const reportPath = '/load'

export interface PeerReportsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly processId: string
  /** Hosts that may be followed, in the order in which they are asked. */
  readonly sources: () => readonly string[]
  /** Where requests by key are counted; undefined for a service that is not divided by key. */
  readonly keyLoad: (service: string) => KeyLoad | undefined
  /** What all hosts observed of the targets, while this host leads. */
  readonly speeds: TargetSpeeds
  /** While this host leads: the part of the requests that each overloaded target may be sent. */
  readonly shares: () => Record<string, number>
  /** Takes the factors on the work time that all hosts observed, by target. */
  readonly adoptSpeeds: (factors: Readonly<Record<string, number>>) => void
}

type SumAndCount = readonly [sum: number, count: number]

export interface PeerReport {
  /** Requests by key, for each service. */
  readonly keys: Readonly<Record<string, readonly SumAndCount[]>>
  /** Observed factors on the work time, for each target. */
  readonly speeds: Readonly<Record<string, SumAndCount>>
  /** Requests that ran or waited at a target when it answered, for each target. */
  readonly occupancy: Readonly<Record<string, SumAndCount>>
  /** The table of speeds that the reporting host has. */
  readonly speedsVersion: string
}

interface Guidance {
  readonly shares: Readonly<Record<string, number>>
  /** Mean number of requests that run or wait at a target, by service. */
  readonly occupancy: Readonly<Record<string, number>>
  readonly speedsVersion: string
  /** Left out for a host that has this version. */
  readonly speeds?: Readonly<Record<string, number>>
}

const isRecordOf = (value: unknown, isItem: (item: unknown) => boolean): boolean =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && Object.values(value).every(isItem)

const isPair = (value: unknown): boolean =>
  Array.isArray(value) && value.length === 2 && value.every((part) => Number.isFinite(part))

const isReport = (value: unknown): value is PeerReport => {
  const { keys, speeds, occupancy, speedsVersion } = (value ?? {}) as Partial<Record<string, unknown>>
  return (
    isRecordOf(keys, (pairs) => Array.isArray(pairs) && pairs.every(isPair)) &&
    isRecordOf(speeds, isPair) &&
    isRecordOf(occupancy, isPair) &&
    typeof speedsVersion === 'string'
  )
}

const isGuidance = (value: unknown): value is Guidance => {
  const { shares, occupancy, speedsVersion, speeds } = (value ?? {}) as Partial<Record<string, unknown>>
  return (
    isRecordOf(shares, Number.isFinite) &&
    isRecordOf(occupancy, Number.isFinite) &&
    typeof speedsVersion === 'string' &&
    (speeds === undefined || isRecordOf(speeds, Number.isFinite))
  )
}

const parse = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

const addTo = (sums: Map<string, SumAndCount>, name: string, [sum, count]: SumAndCount): void => {
  const [knownSum, knownCount] = sums.get(name) ?? [0, 0]
  sums.set(name, [knownSum + sum, knownCount + count])
}

const meanOf = (means: Map<string, MeanOccupancy>, name: string): MeanOccupancy => {
  const mean = means.get(name) ?? new MeanOccupancy()
  means.set(name, mean)
  return mean
}

/** Load pattern: most hosts have a quarter of a core, and with their number each hears of fewer requests. */
export const reportIntervalMs = (hosts: number): number =>
  Math.min(longestReportEveryMs, reportEveryMs * Math.max(1, hosts / hostsAtFullRate))

export class PeerReports {
  readonly #options: PeerReportsOptions
  readonly #counts = new Map<string, Map<number, number>>()
  readonly #speeds = new Map<string, SumAndCount>()
  readonly #occupancy = new Map<string, SumAndCount>()
  /** Made of all reports, while this host leads. */
  readonly #means = new Map<string, MeanOccupancy>()
  /** The same by target. */
  readonly #targetMeans = new Map<string, MeanOccupancy>()
  readonly #caller = new HttpClient({ connections: 1, maxResponseBytes: maxGuidanceBytes })
  #guidance: Guidance = { shares: {}, occupancy: {}, speedsVersion: '', speeds: {} }
  #guidedAtMs = -guidanceLifetimeMs
  #speedsAtMs = -Infinity
  #stopped = false
  /** Reports in a row that got no answer. */
  #failures = 0

  constructor(options: PeerReportsOptions) {
    this.#options = options
  }

  /** Requests for one key. */
  countRequests(service: string, key: number, requests = 1): void {
    let counts = this.#counts.get(service)
    if (counts === undefined) {
      counts = new Map()
      this.#counts.set(service, counts)
    }
    counts.set(key, (counts.get(key) ?? 0) + requests)
  }

  /** `factor` is the time that work took, relative to what was expected. */
  observeSpeed(target: string, factor: number): void {
    addTo(this.#speeds, target, [factor, 1])
  }

  /** The target said with an answer how many requests run or wait there. */
  observeOccupancy(target: string, occupancy: number): void {
    addTo(this.#occupancy, target, [occupancy, 1])
  }

  /** While this host leads: mean number of requests at the target, as all hosts heard of late. */
  targetOccupancy(target: string): number {
    return this.#targetMeans.get(target)?.at(this.#options.clock.monotonicMs()) ?? 0
  }

  /** Which part of the requests for a target's keys may be sent to it; 1 where the leader says nothing. */
  share(target: string): number {
    return this.#isCurrent() ? (this.#guidance.shares[target] ?? 1) : 1
  }

  /** Mean number of requests at a target of the service; undefined where the leader says nothing. */
  occupancy(service: string): number | undefined {
    return this.#isCurrent() ? this.#guidance.occupancy[service] : undefined
  }

  /** A lost report only makes the guidance less exact, so it is not repeated. */
  async run(): Promise<void> {
    const { clock, sources, logger } = this.#options
    while (!this.#stopped) {
      await clock.sleep(reportIntervalMs(this.#options.directory.hostCount))
      const report = this.takeReport()
      if (this.#leads()) {
        this.#add(report)
        this.#guide()
        continue
      }
      const addresses = sources()
      const address = addresses[this.#failures % Math.max(1, addresses.length)]
      if (address === undefined) continue
      const sent = await this.#caller.call({
        step: 'load.report',
        address,
        method: 'POST',
        path: reportPath,
        body: JSON.stringify(report),
        timeoutMs: reportTimeoutMs,
      })
      if (sent.isOk && sent.value.status === 200) {
        this.#failures = 0
        this.#accept(sent.value.body.toString('utf8'))
      } else {
        this.#failures += 1
        const cause = sent.isErr ? sent.error.message : `status ${String(sent.value.status)}`
        logger.debug('load.report_failed', { address, cause })
      }
    }
  }

  stop(): void {
    this.#stopped = true
    this.#caller.close()
  }

  /** A report of another host. */
  receive(text: string): PeerResponse {
    const report = parse(text)
    if (!isReport(report)) {
      this.#options.logger.warn('load.report_malformed', { bytes: text.length })
      return { status: 400 }
    }
    if (this.#leads()) this.#add(report)
    else this.#merge(report)
    if (!this.#isCurrent()) return { status: 503 }
    const { speeds, ...rest } = this.#guidance
    const hasSpeeds = report.speedsVersion === rest.speedsVersion
    return { status: 200, body: JSON.stringify(hasSpeeds ? rest : { ...rest, speeds }) }
  }

  #leads(): boolean {
    const leader = this.#options.directory.leader?.record
    return leader?.leader === this.#options.processId && !leader.released
  }

  #isCurrent(): boolean {
    return this.#options.clock.monotonicMs() - this.#guidedAtMs < guidanceLifetimeMs
  }

  /** What is to be reported next. */
  takeReport(): PeerReport {
    const report: PeerReport = {
      keys: Object.fromEntries([...this.#counts].map(([service, counts]) => [service, [...counts]])),
      speeds: Object.fromEntries(this.#speeds),
      occupancy: Object.fromEntries(this.#occupancy),
      speedsVersion: this.#guidance.speedsVersion,
    }
    this.#counts.clear()
    this.#speeds.clear()
    this.#occupancy.clear()
    return report
  }

  #accept(text: string): void {
    const guidance = parse(text)
    if (!isGuidance(guidance)) {
      this.#options.logger.warn('load.guidance_malformed', { bytes: text.length })
      return
    }
    // Whoever leads next goes on from what is known.
    this.#options.speeds.setFactors(guidance.speeds ?? {})
    this.#setGuidance({ ...guidance, speeds: guidance.speeds ?? this.#guidance.speeds ?? {} })
  }

  /** While this host leads. */
  #guide(): void {
    const { clock, processId, speeds, shares } = this.#options
    const nowMs = clock.monotonicMs()
    const isDue = nowMs - this.#speedsAtMs >= speedsEveryMs
    if (isDue) this.#speedsAtMs = nowMs
    this.#setGuidance({
      shares: shares(),
      occupancy: Object.fromEntries([...this.#means].map(([service, mean]) => [service, mean.at(nowMs)])),
      speedsVersion: isDue ? `${processId}/${String(Math.round(nowMs))}` : this.#guidance.speedsVersion,
      speeds: isDue ? speeds.factors() : (this.#guidance.speeds ?? {}),
    })
  }

  #setGuidance(guidance: Guidance): void {
    const isNew = guidance.speedsVersion !== this.#guidance.speedsVersion
    this.#guidance = guidance
    this.#guidedAtMs = this.#options.clock.monotonicMs()
    if (isNew) this.#options.adoptSpeeds(guidance.speeds ?? {})
  }

  /** Takes another host's report into the next one of this host. */
  #merge({ keys, speeds, occupancy }: PeerReport): void {
    for (const [service, pairs] of Object.entries(keys)) {
      for (const [key, requests] of pairs) this.countRequests(service, key, requests)
    }
    for (const [target, sum] of Object.entries(speeds)) addTo(this.#speeds, target, sum)
    for (const [target, sum] of Object.entries(occupancy)) addTo(this.#occupancy, target, sum)
  }

  #add({ keys, speeds, occupancy }: PeerReport): void {
    const { keyLoad, speeds: known, clock, directory } = this.#options
    for (const [service, pairs] of Object.entries(keys)) {
      const load = keyLoad(service)
      if (load !== undefined) for (const [key, requests] of pairs) load.add(key, requests)
    }
    for (const [target, [sum, count]] of Object.entries(speeds)) known.add(target, sum, count)
    const nowMs = clock.monotonicMs()
    for (const [id, [sum, count]] of Object.entries(occupancy)) {
      const target = directory.target(id)
      if (target === undefined) continue
      meanOf(this.#targetMeans, id).add(nowMs, sum, count)
      meanOf(this.#means, target.service).add(nowMs, sum, count)
    }
    for (const id of this.#targetMeans.keys()) {
      if (directory.target(id) === undefined) this.#targetMeans.delete(id)
    }
  }
}
