/** Measures how much latency one daemon adds to a request, and how many requests it serves per second of CPU time. */
import { loadavg } from 'node:os'
import type { Clock } from '@pimentotally/core'
import { BenchClient } from './bench-senders.js'
import { Cluster, operatorCredential } from './cluster.js'
import { cpuSeconds, latencyFigures, type LatencyFigures } from './bench-results.js'
import { SampleOutcome, type Arrival, type Sample } from './bench-load.js'
import { callHttp } from './process.js'
import { run as runCli } from '@pimentotally/cli'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

export interface OverheadResult {
  readonly direct: LatencyFigures
  readonly routed: LatencyFigures
  readonly addedMedianMs: number
  readonly requestsPerCpuSecond: number
  readonly requestsPerSecond: number
  readonly loadAverage: number
}

export interface OverheadOptions {
  readonly basePort: number
  readonly durationMs: number
  readonly clock: Clock
}

/** The declarative file. The targets have many slots and a short service time, so the daemon limits the throughput. */
const document = (port: number): string => `
name = "overhead"
[[domains]]
name = "one"
region = "one"
[[services]]
name = "lookups"
pathPrefix = "/lookups/"
slots = 60
connections = 600
requestTimeoutMs = 5000
${[0, 1, 2]
  .map(
    (index) =>
      `[[targets]]\nname = "lookups-${String(index)}"\nservice = "lookups"\ndomain = "one"\naddress = "127.0.0.1:${String(port + index)}"\n`,
  )
  .join('')}`

/** Requests that are in flight at once while the throughput is measured. */
const concurrency = 48

const cpuOf = async (address: string): Promise<number> => cpuSeconds(await callHttp(address, '/metrics'))

export const measureOverhead = async ({
  basePort,
  durationMs,
  clock,
}: OverheadOptions): Promise<OverheadResult> => {
  const text = document(basePort + 100)
  const cluster = new Cluster({
    document: text,
    hostsPerDomain: 1,
    basePort,
    logLevel: 'error',
    targetArgs: () => ['--service-time', 'fixed:1'],
  })
  const directory = await mkdtemp(join(tmpdir(), 'pimentotally-bench-'))
  const client = new BenchClient()
  try {
    await cluster.start()
    const host = cluster.hosts[0]
    const target = cluster.targets[0]
    if (host === undefined || target === undefined) throw new Error('the deployment has no host or no target')
    const file = join(directory, 'deployment.toml')
    await writeFile(file, text)
    const environment = {
      env: { PIMENTOTALLY_CREDENTIAL: operatorCredential },
      out: () => undefined,
      err: () => undefined,
    }
    await cluster.waitFor(
      'apply',
      async () => (await runCli(['apply', file, '--address', host.addresses.operators], environment)) === 0,
    )
    const arrival: Arrival = {
      atMs: 0,
      service: 'lookups',
      key: '',
      method: 'GET',
      path: '/lookups/a',
      headers: {},
      draw: 0,
    }
    const send = async (address: string): Promise<Sample> => {
      const startMs = clock.monotonicMs()
      const { outcome, code } = await client.call(address, arrival)
      return { arrival, outcome, code, latencyMs: clock.monotonicMs() - startMs, lateMs: 0 }
    }
    const viaHost = (): Promise<Sample> => send(host.addresses.callers)
    await cluster.waitFor('service', async () => (await viaHost()).outcome === SampleOutcome.ok)
    const closedLoop = async (loops: number, untilMs: number): Promise<number> => {
      let served = 0
      const loop = async (): Promise<void> => {
        while (clock.monotonicMs() < untilMs) if ((await viaHost()).outcome === SampleOutcome.ok) served += 1
      }
      await Promise.all(Array.from({ length: loops }, loop))
      return served
    }
    // Warm-up: targets get all their slots, and the daemon's code is compiled.
    await closedLoop(concurrency, clock.monotonicMs() + durationMs / 4)
    const direct: Sample[] = []
    const routed: Sample[] = []
    // Direct and routed requests alternate, so that other work on the machine affects both in the same way.
    for (const endMs = clock.monotonicMs() + durationMs / 2; clock.monotonicMs() < endMs;) {
      direct.push(await send(target.spec.address))
      routed.push(await viaHost())
    }
    const cpuBefore = await cpuOf(host.addresses.metrics)
    const startMs = clock.monotonicMs()
    const served = await closedLoop(concurrency, startMs + durationMs / 2)
    const elapsedMs = clock.monotonicMs() - startMs
    const cpu = (await cpuOf(host.addresses.metrics)) - cpuBefore
    const figures = { direct: latencyFigures(direct), routed: latencyFigures(routed) }
    return {
      ...figures,
      addedMedianMs: figures.routed.p50Ms - figures.direct.p50Ms,
      requestsPerCpuSecond: served / cpu,
      requestsPerSecond: (served * 1000) / elapsedMs,
      loadAverage: loadavg()[0] ?? 0,
    }
  } finally {
    client.close()
    await cluster.stop()
    await rm(directory, { recursive: true, force: true })
  }
}
