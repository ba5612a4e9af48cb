/** Runs one scenario with one policy and collects its figures. */
import { loadavg } from 'node:os'
import type { Clock, ServiceSpec } from '@pimentotally/core'
import type { BenchDeployment } from './bench-deployment.js'
import {
  sendOnSchedule,
  groupBy,
  isAtMostOnce,
  createSchedule,
  type ServiceLoad,
  type Sample,
  type Send,
} from './bench-load.js'
import {
  extraLoad,
  latencyFigures,
  type AttemptFigures,
  type LatencyFigures,
  type TargetFigures,
} from './bench-results.js'
import type { Scenario } from './bench-scenarios.js'
import { Baseline, BenchClient, withResends, directToTargets, throughHosts } from './bench-senders.js'

export const router = 'router'
export type Policy = typeof router | Baseline

export interface ScenarioResult {
  readonly deployment: string
  readonly scenario: string
  readonly title: string
  readonly policy: Policy
  readonly seed: number
  readonly durationMs: number
  /** Load average of the machine over the last minute, read after the run. */
  readonly loadAverage: number
  readonly all: LatencyFigures
  readonly byService: Readonly<Record<string, LatencyFigures>>
  /** Number of requests that were not served, by code. */
  readonly codes: Readonly<Record<string, number>>
  readonly targets: TargetFigures
  readonly attempts: AttemptFigures
  readonly extraLoad: number
}

export interface RunOptions {
  readonly deployment: BenchDeployment
  readonly scenario: Scenario
  readonly policy: Policy
  readonly clock: Clock
  readonly seed: number
  readonly durationMs: number
  /** Factor for the request rates. */
  readonly rate: number
}

/** Requests per second of a service at rate 1: with keys, with requests that run at most once, and with reads. */
const baseRate = { keyed: 100, once: 40, reads: 100 } as const

/** The load of each service; the base rates suit the size of one machine and differ by the kind of the service. */
export const serviceLoads = (services: readonly ServiceSpec[], rate: number): ServiceLoad[] =>
  services.map((service) => {
    const kind = service.keyed !== undefined ? 'keyed' : isAtMostOnce(service) ? 'once' : 'reads'
    return { service, ratePerSecond: baseRate[kind] * rate }
  })

const difference = (
  before: ReadonlyMap<string, AttemptFigures>,
  after: ReadonlyMap<string, AttemptFigures>,
): AttemptFigures => {
  const sum = { first: 0, hedge: 0, retry: 0, cpuSeconds: 0 }
  for (const [host, { first, hedge, retry, cpuSeconds }] of after) {
    const since = before.get(host) ?? { first: 0, hedge: 0, retry: 0, cpuSeconds: 0 }
    sum.first += first - since.first
    sum.hedge += hedge - since.hedge
    sum.retry += retry - since.retry
    sum.cpuSeconds += cpuSeconds - since.cpuSeconds
  }
  return sum
}

const countCodes = (samples: readonly Sample[]): Record<string, number> => {
  const counts: Record<string, number> = {}
  for (const { code } of samples) if (code !== '') counts[code] = (counts[code] ?? 0) + 1
  return counts
}

let runs = 0

export const runScenario = async (options: RunOptions): Promise<ScenarioResult> => {
  const { deployment, scenario, policy, clock, seed, durationMs, rate } = options
  // Baselines leave out keyed services, whose targets refuse requests without a grant of the router.
  const services = deployment.services.filter(({ keyed }) => policy === router || keyed === undefined)
  runs += 1
  const arrivals = createSchedule(serviceLoads(services, rate), {
    seed,
    durationMs,
    run: `${scenario.name}-${String(runs)}`,
  })
  const client = new BenchClient()
  const hosts = deployment.callerAddresses
  const plain: Send =
    policy === router
      ? throughHosts(client, hosts, clock)
      : directToTargets(client, deployment.targetSpecs, { policy, hostCount: hosts.length })
  const send = scenario.resends === true ? withResends(plain, clock) : plain
  await deployment.resetRecords()
  const before = await deployment.attempts()
  const disturbed = scenario.disturb?.({ deployment, clock, seed, durationMs })
  // A failure of the disturbance is thrown only when the load, which ends by itself, has ended.
  const failure = disturbed?.then(
    () => undefined,
    (error: unknown) => error,
  )
  const samples = await sendOnSchedule(arrivals, send, { clock })
  const failed = await failure
  client.close()
  if (failed !== undefined) throw failed instanceof Error ? failed : new Error(String(failed))
  const attempts = difference(before, await deployment.attempts())
  const targets = await deployment.targetCounts(new Set(services.map(({ name }) => name)))
  await scenario.restore?.(deployment)
  const byService = groupBy(samples, ({ arrival }) => arrival.service)
  return {
    deployment: deployment.name,
    scenario: scenario.name,
    title: scenario.title,
    policy,
    seed,
    durationMs,
    loadAverage: loadavg()[0] ?? 0,
    all: latencyFigures(samples),
    byService: Object.fromEntries([...byService].map(([name, part]) => [name, latencyFigures(part)])),
    codes: countCodes(samples),
    targets,
    attempts,
    extraLoad: extraLoad(attempts),
  }
}
