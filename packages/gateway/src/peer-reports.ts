/**
 * Exchange of load figures between hosts. Each host reports requests by key, and the speeds and queues of
 * targets, to the leader or to a host on the way to it; a host that does not lead adds the reports that it
 * receives to its own next one. The response is the guidance that the leader computes from all reports: the
 * share of the requests that each overloaded owner may be sent, the mean number of requests at a target of
 * each service, and the speed of each target. Reports and responses also tell the limits that targets name, and
 * which requests crashed targets; the latter also while there is no leader.
 * Load pattern: a hundred hosts, each of which gets a response from a given target every ten seconds.
 */
import type { Clock, Logger } from '@pimentotally/core'
import { HttpClient } from '@pimentotally/http'
import type { KeyLoad, TargetSpeeds } from '@pimentotally/assignment'
import { MeanOccupancy } from '@pimentotally/routing'
import { isCrashStatement, type CrashStatement } from './crash-statements.js'
import type { CrashingRequests } from './crashing-requests.js'
import type { Directory } from './directory.js'
import { isLeavingStatement, type LeavingStatement } from './leaving-targets.js'
import {
  DemandCounter,
  PictureBuilder,
  areDemandCounts,
  isLoadPicture,
  type DemandCounts,
  type LoadPicture,
} from './load-picture.js'
import type { PeerResponse } from './peer-server.js'
import { isLimitStatement, type LimitStatement, type TargetLimits } from './target-limits.js'
import type { KnownPicture } from './unkeyed-placement.js'

/** Shortest interval between reports of a host; within a second, the leader notices a key that turns hot. */
const minReportIntervalMs = 350
/**
 * Up to this number of hosts, each reports at the shortest interval. With more, each reports less often, as
 * the first host of a domain receives the reports of all others of the domain.
 */
const hostsAtFullRate = 50
/**
 * Longest interval between reports of a host. Two reports in a row on the way to the leader, and the
 * guidance back, stay within the lifetime of the guidance.
 */
const maxReportIntervalMs = 700
/** Time limit of a report; one that is late is of no use. */
const reportTimeoutMs = 450
/** Guidance counts for this long after it was received, so it lapses when the leader is not heard from. */
const guidanceLifetimeMs = 1800
/** Interval between new versions of the speeds: they change slowly, and fill most of a response. */
const speedsIntervalMs = 3000
/** Limit on a response with guidance; far above the size of the speeds of the largest deployment. */
const maxGuidanceBytes = 1024 * 1024
/** Weight of a new report of a target in the mean error of the picture. */
const pictureErrorWeight = 0.02
/** Path of reports at the other hosts. */
export const reportPath = '/load'

export interface PeerReportsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  /** Unique for each start of the process. */
  readonly processId: string
  /** Addresses of the hosts that this one may report to, the preferred one first. */
  readonly sources: () => readonly string[]
  /** Where requests by key are counted; undefined for a service that is not divided by key. */
  readonly keyLoad: (service: string) => KeyLoad | undefined
  /** The speeds of targets as all hosts observed them, collected while this host leads. */
  readonly speeds: TargetSpeeds
  /** While this host leads: the share of the requests that each overloaded target may be sent. */
  readonly shares: () => Record<string, number>
  /** Takes the factors on the work time that all hosts observed, by target. */
  readonly adoptSpeeds: (factors: Readonly<Record<string, number>>) => void
  /** The limits that targets name. */
  readonly limits: Pick<TargetLimits, 'statements' | 'merge'>
  /** The requests that crash targets. */
  readonly crashingRequests: Pick<CrashingRequests, 'statements' | 'merge'>
}

type SumAndCount = readonly [sum: number, count: number]

export interface PeerReport {
  /** For each service, pairs of a key and the number of requests for it, instead of a sum and a count. */
  readonly keys: Readonly<Record<string, readonly SumAndCount[]>>
  /** For each target, the sum and the number of the observed factors on the work time. */
  readonly speeds: Readonly<Record<string, SumAndCount>>
  /** For each target, the sum and the number of its reports of how many requests run or wait there. */
  readonly occupancy: Readonly<Record<string, SumAndCount>>
  /** Version of the speeds that the reporting host has; empty for none. */
  readonly speedsVersion: string
  /** Requests without a key; absent where hosts do not compete for targets. */
  readonly demand?: DemandCounts
  /** Absent in reports of earlier versions of the router. */
  readonly limits?: readonly LimitStatement[]
  /** Absent when no request is known to have crashed a target. */
  readonly crashes?: readonly CrashStatement[]
  /** Absent when no target is known to have said that it is leaving. */
  readonly leaving?: readonly LeavingStatement[]
}

interface Guidance {
  /** Share of the requests for its keys that each overloaded target may be sent. */
  readonly shares: Readonly<Record<string, number>>
  /** Mean number of requests that run or wait at a target, by service. */
  readonly occupancy: Readonly<Record<string, number>>
  readonly speedsVersion: string
  /** Factors on the work time by target; left out for a host that has this version. */
  readonly speeds?: Readonly<Record<string, number>>
  /** Load of targets that take requests without a key; absent where hosts do not compete for them. */
  readonly picture?: LoadPicture
  /** Absent in responses of earlier versions of the router. */
  readonly limits?: readonly LimitStatement[]
  /** Absent when no request is known to have crashed a target. */
  readonly crashes?: readonly CrashStatement[]
  /** Absent when no target is known to have said that it is leaving. */
  readonly leaving?: readonly LeavingStatement[]
}

/** What hosts tell each other also while nobody leads. */
type Notices = Pick<PeerReport, 'crashes' | 'leaving'>

const isRecordOf = (value: unknown, isItem: (item: unknown) => boolean): boolean =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && Object.values(value).every(isItem)

const isPair = (value: unknown): boolean =>
  Array.isArray(value) && value.length === 2 && value.every((part) => Number.isFinite(part))

const areLimits = (value: unknown): boolean =>
  value === undefined || (Array.isArray(value) && value.every(isLimitStatement))

const areCrashes = (value: unknown): value is readonly CrashStatement[] | undefined =>
  value === undefined || (Array.isArray(value) && value.every(isCrashStatement))

const areLeaving = (value: unknown): value is readonly LeavingStatement[] | undefined =>
  value === undefined || (Array.isArray(value) && value.every(isLeavingStatement))

const isPeerReport = (value: unknown): value is PeerReport => {
  const { keys, speeds, occupancy, speedsVersion, demand, limits, crashes, leaving } = (value ??
    {}) as Partial<Record<string, unknown>>
  return (
    areDemandCounts(demand) &&
    isRecordOf(keys, (pairs) => Array.isArray(pairs) && pairs.every(isPair)) &&
    isRecordOf(speeds, isPair) &&
    isRecordOf(occupancy, isPair) &&
    typeof speedsVersion === 'string' &&
    areLimits(limits) &&
    areCrashes(crashes) &&
    areLeaving(leaving)
  )
}

const isGuidance = (value: unknown): value is Guidance => {
  const { shares, occupancy, speedsVersion, speeds, picture, limits, crashes, leaving } = (value ??
    {}) as Partial<Record<string, unknown>>
  return (
    isLoadPicture(picture) &&
    isRecordOf(shares, Number.isFinite) &&
    isRecordOf(occupancy, Number.isFinite) &&
    typeof speedsVersion === 'string' &&
    areLimits(limits) &&
    areCrashes(crashes) &&
    areLeaving(leaving) &&
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

/**
 * Interval between two reports of a host. Load pattern: most hosts have a quarter of a core, and the more
 * hosts there are, the fewer requests each one gets.
 */
export const reportIntervalMs = (hosts: number): number =>
  Math.min(maxReportIntervalMs, minReportIntervalMs * Math.max(1, hosts / hostsAtFullRate))

export class PeerReports {
  readonly #options: PeerReportsOptions
  /** Requests by key for each service, since the last report. */
  readonly #counts = new Map<string, Map<number, number>>()
  /** Observed factors on the work time since the last report, by target. */
  readonly #speeds = new Map<string, SumAndCount>()
  /** Observed numbers of running and waiting requests since the last report, by target. */
  readonly #occupancy = new Map<string, SumAndCount>()
  /** Mean occupancy of a target by service, from all reports, while this host leads. */
  readonly #serviceMeans = new Map<string, MeanOccupancy>()
  /** The same for each target. */
  readonly #targetMeans = new Map<string, MeanOccupancy>()
  /** Requests without a key since the last report. */
  readonly #demand = new DemandCounter()
  readonly #pictureBuilder: PictureBuilder
  #pictureError = 0
  readonly #client = new HttpClient({ connections: 1, maxResponseBytes: maxGuidanceBytes })
  #guidance: Guidance = { shares: {}, occupancy: {}, speedsVersion: '', speeds: {} }
  /** When the guidance was received or computed; at the start, too long ago for it to count. */
  #guidanceAtMs = -guidanceLifetimeMs
  #speedsPublishedAtMs = -Infinity
  #stopped = false
  /** Reports in a row without a successful response. */
  #failures = 0

  constructor(options: PeerReportsOptions) {
    this.#options = options
    this.#pictureBuilder = new PictureBuilder({ ...options, targetMeans: this.#targetMeans })
  }

  /** Counts a request without a key that a host of the domain sends to a target of the service. */
  countUnkeyed(service: string, domain: string): void {
    if (this.#options.directory.isContended) this.#demand.add(service, domain)
  }

  /** Counts requests for one key. */
  countRequests(service: string, key: number, requests = 1): void {
    let counts = this.#counts.get(service)
    if (counts === undefined) {
      counts = new Map()
      this.#counts.set(service, counts)
    }
    counts.set(key, (counts.get(key) ?? 0) + requests)
  }

  /** Records how fast a target was: `factor` is the time that work took, divided by the expected time. */
  observeSpeed(target: string, factor: number): void {
    addTo(this.#speeds, target, [factor, 1])
  }

  /** Records how many requests run or wait at the target, as it reported with a response. */
  observeOccupancy(target: string, occupancy: number): void {
    addTo(this.#occupancy, target, [occupancy, 1])
    const service = this.#options.directory.target(target)?.service
    const pictured = service === undefined ? undefined : this.picture(service)?.occupancy[target]
    if (pictured !== undefined)
      this.#pictureError += (Math.abs(occupancy - pictured) - this.#pictureError) * pictureErrorWeight
  }

  /** Mean number of requests at the target, from recent reports of all hosts; of use only at the leader. */
  targetOccupancy(target: string): number {
    return this.#targetMeans.get(target)?.at(this.#options.clock.monotonicMs()) ?? 0
  }

  /** Share of the requests for a target's keys that may be sent to it; 1 unless current guidance has one. */
  share(target: string): number {
    return this.hasCurrentGuidance() ? (this.#guidance.shares[target] ?? 1) : 1
  }

  /** Mean number of requests at a target of the service; undefined unless current guidance names one. */
  occupancy(service: string): number | undefined {
    return this.hasCurrentGuidance() ? this.#guidance.occupancy[service] : undefined
  }

  /** What all hosts know of the service's load; undefined unless current guidance tells. */
  picture(service: string): KnownPicture | undefined {
    const { services, ageMs = 0 } = this.#guidance.picture ?? {}
    const picture = this.hasCurrentGuidance() ? services?.[service] : undefined
    return picture === undefined ? undefined : { ...picture, ageMs: ageMs + this.#guidanceAgeMs() }
  }

  /** Age of the shared picture of the load; undefined when there is no recent one. */
  get pictureAgeMs(): number | undefined {
    const { picture } = this.#guidance
    return picture !== undefined && this.hasCurrentGuidance()
      ? picture.ageMs + this.#guidanceAgeMs()
      : undefined
  }

  /** Mean difference between the number of requests that a target reports and the one in the picture. */
  get pictureError(): number {
    return this.#pictureError
  }

  #guidanceAgeMs(): number {
    return this.#options.clock.monotonicMs() - this.#guidanceAtMs
  }

  /** Reports until `stop`. A lost report only makes the guidance less exact, so it is not repeated. */
  async run(): Promise<void> {
    const { clock, sources, logger } = this.#options
    while (!this.#stopped) {
      await clock.sleep(reportIntervalMs(this.#options.directory.hostCount))
      const report = this.takeReport()
      if (this.#isLeader()) {
        this.#addToTotals(report)
        this.#updateGuidance()
        continue
      }
      const addresses = sources()
      const address = addresses[this.#failures % Math.max(1, addresses.length)]
      if (address === undefined) continue
      const sent = await this.#client.call({
        step: 'load.report',
        address,
        method: 'POST',
        path: reportPath,
        body: JSON.stringify(report),
        timeoutMs: reportTimeoutMs,
      })
      if (sent.isOk && sent.value.status === 200) {
        this.#failures = 0
        this.#acceptGuidance(sent.value.body.toString('utf8'))
      } else {
        this.#failures += 1
        if (sent.isOk) this.#mergeNotices(sent.value.body.toString('utf8'))
        const cause = sent.isErr ? sent.error.message : `status ${String(sent.value.status)}`
        logger.debug('load.report_failed', { address, cause })
      }
    }
  }

  stop(): void {
    this.#stopped = true
    this.#client.close()
  }

  /** Takes a report of another host; the response is the current guidance. */
  receive(text: string): PeerResponse {
    const report = parse(text)
    if (!isPeerReport(report)) {
      this.#options.logger.warn('load.report_malformed', { bytes: text.length })
      return { status: 400 }
    }
    this.#options.limits.merge(report.limits ?? [])
    this.#options.crashingRequests.merge(report.crashes ?? [])
    this.#options.directory.mergeLeaving(report.leaving ?? [])
    if (this.#isLeader()) this.#addToTotals(report)
    else this.#addToNextReport(report)
    const notices = this.#notices()
    if (!this.hasCurrentGuidance()) return { status: 503, body: JSON.stringify(notices) }
    const { speeds, picture, ...guidance } = this.#guidance
    const aged =
      picture === undefined ? {} : { picture: { ...picture, ageMs: picture.ageMs + this.#guidanceAgeMs() } }
    const rest = { ...guidance, ...aged, limits: this.#options.limits.statements(), ...notices }
    const hasLatestSpeeds = report.speedsVersion === rest.speedsVersion
    return { status: 200, body: JSON.stringify(hasLatestSpeeds ? rest : { ...rest, speeds }) }
  }

  #notices(): Notices {
    const crashes = this.#options.crashingRequests.statements()
    const leaving = this.#options.directory.leavingStatements()
    return { ...(crashes.length > 0 ? { crashes } : {}), ...(leaving.length > 0 ? { leaving } : {}) }
  }

  /** Takes the notices from a response without guidance; other hosts of earlier versions send no body. */
  #mergeNotices(text: string): void {
    const { crashes, leaving } = (parse(text) ?? {}) as Partial<Record<keyof Notices, unknown>>
    if (areCrashes(crashes)) this.#options.crashingRequests.merge(crashes ?? [])
    if (areLeaving(leaving)) this.#options.directory.mergeLeaving(leaving ?? [])
  }

  #isLeader(): boolean {
    const leader = this.#options.directory.leader?.record
    return leader?.leader === this.#options.processId && !leader.released
  }

  /** Whether this host leads, or hears from the leader what all hosts reported. */
  hasCurrentGuidance(): boolean {
    return this.#guidanceAgeMs() < guidanceLifetimeMs
  }

  /** Returns what was recorded since the last report, and starts anew. */
  takeReport(): PeerReport {
    const demand = this.#demand.take()
    const report: PeerReport = {
      keys: Object.fromEntries([...this.#counts].map(([service, counts]) => [service, [...counts]])),
      speeds: Object.fromEntries(this.#speeds),
      occupancy: Object.fromEntries(this.#occupancy),
      speedsVersion: this.#guidance.speedsVersion,
      ...(demand === undefined ? {} : { demand }),
      limits: this.#options.limits.statements(),
      ...this.#notices(),
    }
    this.#counts.clear()
    this.#speeds.clear()
    this.#occupancy.clear()
    return report
  }

  /** Takes guidance that another host responded with. */
  #acceptGuidance(text: string): void {
    const guidance = parse(text)
    if (!isGuidance(guidance)) {
      this.#options.logger.warn('load.guidance_malformed', { bytes: text.length })
      return
    }
    // If this host leads later, it goes on from these speeds.
    this.#options.speeds.setFactors(guidance.speeds ?? {})
    const { limits = [], crashes = [], leaving = [], ...rest } = guidance
    this.#options.limits.merge(limits)
    this.#options.crashingRequests.merge(crashes)
    this.#options.directory.mergeLeaving(leaving)
    this.#setGuidance({ ...rest, speeds: guidance.speeds ?? this.#guidance.speeds ?? {} })
  }

  /** Computes new guidance, while this host leads. */
  #updateGuidance(): void {
    const { clock, processId, speeds, shares, directory } = this.#options
    const nowMs = clock.monotonicMs()
    const isDue = nowMs - this.#speedsPublishedAtMs >= speedsIntervalMs
    if (isDue) this.#speedsPublishedAtMs = nowMs
    this.#setGuidance({
      shares: shares(),
      occupancy: Object.fromEntries(
        [...this.#serviceMeans].map(([service, mean]) => [service, mean.at(nowMs)]),
      ),
      speedsVersion: isDue ? `${processId}/${String(Math.round(nowMs))}` : this.#guidance.speedsVersion,
      speeds: isDue ? speeds.factors() : (this.#guidance.speeds ?? {}),
      // An observation waits for half an interval on average, at its own host and at the one on the way.
      ...(directory.isContended
        ? { picture: this.#pictureBuilder.build(reportIntervalMs(directory.hostCount)) }
        : {}),
    })
  }

  #setGuidance(guidance: Guidance): void {
    const isNew = guidance.speedsVersion !== this.#guidance.speedsVersion
    this.#guidance = guidance
    this.#guidanceAtMs = this.#options.clock.monotonicMs()
    if (isNew) this.#options.adoptSpeeds(guidance.speeds ?? {})
  }

  /** Adds another host's report to the next one of this host. */
  #addToNextReport({ keys, speeds, occupancy, demand }: PeerReport): void {
    this.#demand.addAll(demand)
    for (const [service, pairs] of Object.entries(keys)) {
      for (const [key, requests] of pairs) this.countRequests(service, key, requests)
    }
    for (const [target, sum] of Object.entries(speeds)) addTo(this.#speeds, target, sum)
    for (const [target, sum] of Object.entries(occupancy)) addTo(this.#occupancy, target, sum)
  }

  /** Adds a report to the figures from which the leader computes its guidance. */
  #addToTotals({ keys, speeds, occupancy, demand }: PeerReport): void {
    this.#pictureBuilder.addDemand(demand)
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
      meanOf(this.#serviceMeans, target.service).add(nowMs, sum, count)
    }
    for (const id of this.#targetMeans.keys()) {
      if (directory.target(id) === undefined) this.#targetMeans.delete(id)
    }
  }
}
