/** The result of a run of a deployment: the figures, and the checks that decide whether the run passed. */
import type { Deployment } from '@pimentotally/core'
import type { TargetRecord } from './target-settings.js'
import { bookingServices, type SentRequest } from './traffic.js'

export interface TargetFigures {
  readonly name: string
  readonly service: string
  readonly slots: number
  /** The target's record at the end of the run; for a killed target, its record just before it was killed. */
  readonly record: TargetRecord
  /** How often each request ran, by identity; complete for a killed target too. */
  readonly runs: ReadonlyMap<string, number>
}

export interface RunFigures {
  readonly deployment: Deployment
  readonly sent: readonly SentRequest[]
  readonly targets: readonly TargetFigures[]
  /** When the measured traffic started and ended. */
  readonly startedMs: number
  readonly endedMs: number
  /** Longest time for which a sampled key may be without a complete answer. */
  readonly recoveryMs: number
}

export interface Check {
  readonly name: string
  readonly faults: readonly string[]
}

/** Codes of refusals that say that an earlier send of the same request may have run or is running. */
const refusalsOfEarlierSend = new Set(['already_completed', 'request_in_progress'])

const isServed = ({ callResult, fault }: SentRequest): boolean =>
  callResult.kind === 'answer' && callResult.status === 200 && fault === undefined

const label = ({ callResult, fault }: SentRequest): string => {
  if (fault !== undefined) return 'wrong answer'
  switch (callResult.kind) {
    case 'answer':
      return callResult.status === 200 ? 'complete' : `target's status ${String(callResult.status)}`
    case 'notRun':
      return `not run: ${callResult.code}`
    case 'unknown':
      return `unknown: ${callResult.code}`
    case 'unreachable':
      return 'host not reachable'
    case 'cut':
      return `connection lost: ${callResult.reason}`
  }
}

const group = <T>(items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> => {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const key = keyOf(item)
    const present = groups.get(key)
    if (present === undefined) groups.set(key, [item])
    else present.push(item)
  }
  return groups
}

/**
 * The longest time without a complete response: between two of them, or before the first or after the last one within
 * the measured time.
 */
const longestGapMs = (sent: readonly SentRequest[], startedMs: number, endedMs: number): number => {
  const served = sent.filter(isServed).map((one) => one.endedMs)
  const times = [startedMs, ...served.filter((at) => at < endedMs).sort((a, b) => a - b), endedMs]
  return times.slice(1).reduce((most, at, index) => Math.max(most, at - (times[index] ?? at)), 0)
}

const totalRuns = (targets: readonly TargetFigures[]): Map<string, number> => {
  const total = new Map<string, number>()
  for (const { runs } of targets) {
    for (const [identity, count] of runs) total.set(identity, (total.get(identity) ?? 0) + count)
  }
  return total
}

/** Keys that two targets served during overlapping periods. */
const overlaps = (targets: readonly TargetFigures[]): string[] => {
  const spans = targets.flatMap(({ name, service, record }) =>
    Object.entries(record.fences).flatMap(([key, keySpans]) =>
      keySpans.map(({ firstMs, lastMs }) => ({ name, id: `${service} ${key}`, firstMs, lastMs })),
    ),
  )
  return [...group(spans, ({ id }) => id)].flatMap(([id, all]) => {
    const ordered = all.sort((a, b) => a.firstMs - b.firstMs)
    return ordered.slice(1).flatMap((span, index) => {
      const before = ordered[index]
      return before !== undefined && before.name !== span.name && before.lastMs > span.firstMs
        ? [`${id} at ${before.name} and ${span.name}`]
        : []
    })
  })
}

/** Runs all checks; a check has passed when it has no faults. */
export const checkRun = ({
  deployment,
  sent,
  targets,
  startedMs,
  endedMs,
  recoveryMs,
}: RunFigures): readonly Check[] => {
  const runs = totalRuns(targets)
  const byIdentity = group(sent, ({ identity }) => identity)
  const booked = [...byIdentity].filter(([, all]) => bookingServices.has(all[0]?.service ?? ''))
  const keyed = new Set(deployment.services.filter((service) => service.keyed).map(({ name }) => name))
  const samples = group(
    sent.filter(({ service }) => keyed.has(service)),
    ({ service, key }) => `${service} ${key}`,
  )
  return [
    {
      name: 'no booking ran twice',
      faults: booked
        .filter(([identity]) => (runs.get(identity) ?? 0) > 1)
        .map(([identity]) => `${identity} ran ${String(runs.get(identity))} times`),
    },
    {
      name: 'every acknowledged booking ran',
      faults: booked
        .filter(([identity, all]) => all.some(isServed) && !runs.has(identity))
        .map(([identity]) => identity),
    },
    {
      name: 'what was refused as not run did not run',
      faults: [...byIdentity]
        .filter(([identity, all]) => {
          const refused = all.filter(
            ({ callResult }) => callResult.kind === 'notRun' && !refusalsOfEarlierSend.has(callResult.code),
          )
          const unsent = all.filter(({ callResult }) => callResult.kind === 'unreachable')
          return refused.length > 0 && refused.length + unsent.length === all.length && runs.has(identity)
        })
        .map(([identity, all]) => `${identity} (${all.map(label).join(', ')})`),
    },
    {
      name: "every complete answer was the caller's own and whole",
      faults: sent.flatMap(({ identity, fault }) => (fault === undefined ? [] : [`${identity}: ${fault}`])),
    },
    {
      name: 'no target got more than its slots',
      faults: targets.flatMap(({ name, slots, record: { mostAtOnce, refusals } }) =>
        mostAtOnce > slots || (refusals.no_slot ?? 0) > 0
          ? [
              `${name}: ${String(mostAtOnce)} at once, ${String(refusals.no_slot ?? 0)} refused for lack of a slot`,
            ]
          : [],
      ),
    },
    { name: 'no key was served by two targets at once', faults: overlaps(targets) },
    {
      name: `every sampled key was served again within ${String(recoveryMs)} ms`,
      faults: [...samples].flatMap(([sample, all]) => {
        const gapMs = longestGapMs(all, startedMs, endedMs)
        return gapMs > recoveryMs ? [`${sample}: ${gapMs.toFixed(0)} ms without a complete answer`] : []
      }),
    },
    {
      name: 'every service answered',
      faults: deployment.services
        .filter(({ name }) => !sent.some((one) => one.service === name && isServed(one)))
        .map(({ name }) => name),
    },
  ]
}

const table = (rows: readonly (readonly string[])[]): string[] => {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)))
  return rows.map((row) =>
    `  ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ')}`.trimEnd(),
  )
}

/** Formats the figures as plain text. */
export const formatRun = (figures: RunFigures): string => {
  const { deployment, sent, targets, startedMs, endedMs } = figures
  const bySample = group(sent, ({ service, key }) => `${service} ${key}`)
  const services = deployment.services.map(({ name, slots, keyed }) => {
    const own = sent.filter(({ service }) => service === name)
    const gaps = (
      keyed === undefined ? [own] : [...bySample.values()].filter((all) => all[0]?.service === name)
    )
      .map((all) => longestGapMs(all, startedMs, endedMs))
      .sort((a, b) => a - b)
    const most = targets.filter(({ service }) => service === name).map(({ record }) => record.mostAtOnce)
    return [
      name,
      String(own.length),
      String(own.filter(isServed).length),
      `${(gaps.at(-1) ?? 0).toFixed(0)} ms${keyed === undefined ? '' : ` (worst of ${String(gaps.length)} keys)`}`,
      `${String(Math.max(0, ...most))} of ${String(slots)}`,
      most.join(' '),
    ]
  })
  const outcomes = [...group(sent, (one) => `${one.service}\n${label(one)}`)]
    .map(([id, all]) => [...id.split('\n'), String(all.length)])
    .sort((a, b) => a.join(' ').localeCompare(b.join(' ')))
  const booked = new Set(
    sent.filter(({ service }) => bookingServices.has(service)).map(({ identity }) => identity),
  )
  const runs = totalRuns(targets)
  const ran = [...booked].filter((identity) => runs.has(identity))
  return [
    ...table([
      ['SERVICE', 'SENT', 'COMPLETE', 'LONGEST WITHOUT SERVICE', 'MOST AT ONCE', 'BY TARGET'],
      ...services,
    ]),
    '',
    ...table([['SERVICE', 'CALLERS SAW', 'REQUESTS'], ...outcomes]),
    '',
    `  bookings: ${String(booked.size)} identities, ${String(ran.length)} ran, most runs of one ${String(Math.max(0, ...ran.map((identity) => runs.get(identity) ?? 0)))}`,
  ].join('\n')
}
