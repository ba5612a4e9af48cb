/** Computes the figures of a run: latency percentiles, outcomes, longest outages, and counts of targets and daemons. */
import { build } from 'hdr-histogram-js'
import { SampleOutcome, type Sample } from './bench-load.js'
import type { TargetRecord } from './target-settings.js'

export interface LatencyFigures {
  readonly requests: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
  readonly maxMs: number
  readonly refused: number
  readonly unknown: number
  readonly failed: number
  /** 99th percentile of how late the load tool sent requests; the latencies include this delay. */
  readonly lateP99Ms: number
  /** See `longestGapMs`. */
  readonly longestGapMs: number
}

export interface TargetFigures {
  readonly mostAtOnce: number
  readonly mostRunning: number
  /** Number of targets that got more requests at once than they have slots. */
  readonly targetsOverSlots: number
  readonly noSlot: number
  readonly otherRefusals: number
  /** Number of idempotency keys whose requests ran more than once, counted over all targets. */
  readonly doubleRuns: number
}

export interface AttemptFigures {
  readonly first: number
  readonly hedge: number
  readonly retry: number
  readonly cpuSeconds: number
}

/** A histogram of times in microseconds, with a relative error of at most 1 in 1000. */
const histogram = (): ReturnType<typeof build> =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 })

/** Percentiles are of the requests that were served; the other requests are only counted. */
export const latencyFigures = (samples: readonly Sample[]): LatencyFigures => {
  const latencies = histogram()
  const lateness = histogram()
  const counts = { ok: 0, refused: 0, unknown: 0, failed: 0 }
  for (const { outcome, latencyMs, lateMs } of samples) {
    lateness.recordValue(Math.max(1, Math.round(lateMs * 1000)))
    counts[outcome] += 1
    if (outcome === SampleOutcome.ok) latencies.recordValue(Math.max(1, Math.round(latencyMs * 1000)))
  }
  const at = (percentile: number): number => latencies.getValueAtPercentile(percentile) / 1000
  return {
    requests: samples.length,
    p50Ms: at(50),
    p99Ms: at(99),
    p999Ms: at(99.9),
    maxMs: latencies.maxValue / 1000,
    refused: counts.refused,
    unknown: counts.unknown,
    failed: counts.failed,
    lateP99Ms: lateness.getValueAtPercentile(99) / 1000,
    longestGapMs: longestGapMs(samples),
  }
}

/**
 * The longest outage of a key, or of a service without keys: from the scheduled time of the first request that was not
 * served to the end of the next one that was, or to the scheduled time of the last request when none was. 0 when all
 * were served.
 */
export const longestGapMs = (samples: readonly Sample[]): number => {
  const sorted = [...samples].sort((left, right) => left.arrival.atMs - right.arrival.atMs)
  const since = new Map<string, number>()
  let longest = 0
  let lastMs = 0
  for (const { arrival, outcome, latencyMs } of sorted) {
    const unit = `${arrival.service} ${arrival.key}`
    const failedAtMs = since.get(unit)
    lastMs = arrival.atMs
    if (outcome !== SampleOutcome.ok) {
      if (failedAtMs === undefined) since.set(unit, arrival.atMs)
    } else if (failedAtMs !== undefined) {
      longest = Math.max(longest, arrival.atMs + latencyMs - failedAtMs)
      since.delete(unit)
    }
  }
  for (const failedAtMs of since.values()) longest = Math.max(longest, lastMs - failedAtMs)
  return longest
}

/** Adds up the records of targets; `slots` is the number of slots of the target with that record. */
export const targetFigures = (
  records: readonly { readonly record: TargetRecord; readonly slots: number }[],
): TargetFigures => {
  const runs = new Map<string, number>()
  let noSlot = 0
  let otherRefusals = 0
  for (const { record } of records) {
    for (const [reason, count] of Object.entries(record.refusals)) {
      if (reason === 'no_slot') noSlot += count
      else otherRefusals += count
    }
    for (const [key, count] of Object.entries(record.runs)) {
      // Requests without an identity are recorded under an empty key.
      if (key !== '') runs.set(key, (runs.get(key) ?? 0) + count)
    }
  }
  return {
    mostAtOnce: Math.max(0, ...records.map(({ record }) => record.mostAtOnce)),
    mostRunning: Math.max(0, ...records.map(({ record }) => record.mostRunning)),
    targetsOverSlots: records.filter(({ record, slots }) => record.mostAtOnce > slots).length,
    noSlot,
    otherRefusals,
    doubleRuns: [...runs.values()].filter((count) => count > 1).length,
  }
}

/** Reads the CPU time of one daemon since its start from its metrics; NaN when it is missing. */
export const cpuSeconds = (metrics: string): number =>
  Number(/^process_cpu_seconds_total (\S+)/m.exec(metrics)?.[1] ?? NaN)

/** Reads the attempts of one daemon from its metrics. */
export const attemptFigures = (metrics: string): AttemptFigures => {
  const figures = { first: 0, hedge: 0, retry: 0, cpuSeconds: cpuSeconds(metrics) }
  for (const [, kind, count] of metrics.matchAll(
    /^pimentotally_attempts_total\{[^}]*kind="(\w+)"[^}]*\} (\d+)/gm,
  )) {
    if (kind === 'first' || kind === 'hedge' || kind === 'retry') figures[kind] += Number(count)
  }
  return figures
}

/** Ratio of hedges and retries to first attempts. */
export const extraLoad = ({ first, hedge, retry }: Omit<AttemptFigures, 'cpuSeconds'>): number =>
  first === 0 ? 0 : (hedge + retry) / first
