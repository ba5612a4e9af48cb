/**
 * Measures the CPU time of a proxied request whose permit comes from the entry host's own process, which coordinates the
 * cell, or over the permit stream from the coordinator.
 */
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { SlopesCluster, type HostRates } from './slopes-cluster.js'
import { median } from './slopes-fit.js'
import type { SlopeResults } from './slopes-results.js'

export interface RequestOptions {
  readonly basePort: number
  readonly runs: number
  readonly settleMs: number
  readonly windowMs: number
}

interface LoadFigures {
  readonly answered: number
  readonly failed: number
  readonly latenciesMs: readonly number[]
}

/** Sends a GET request; resolves to the status, or to 0 for a failed connection or a timeout. */
export const get = (address: string, path: string, agent: Agent): Promise<number> =>
  new Promise((resolve) => {
    const call = request(`http://${address}${path}`, { agent, timeout: 5000 }, (response) => {
      response.resume()
      response.on('error', () => {
        resolve(0)
      })
      response.on('end', () => {
        resolve(response.statusCode ?? 0)
      })
    })
    call.on('timeout', () => call.destroy(new Error('no response within 5 s')))
    call.on('error', () => {
      resolve(0)
    })
    call.end()
  })

/** Sends `perSecond` requests over 256 keys for `durationMs`, at most 64 at once. */
const sendAtRate = async (address: string, perSecond: number, durationMs: number): Promise<LoadFigures> => {
  const agent = new Agent({ keepAlive: true, maxSockets: 64 })
  const latenciesMs: number[] = []
  const pending = new Set<Promise<void>>()
  let [answered, failed, sent] = [0, 0, 0]
  const startedAt = performance.now()
  for (;;) {
    const elapsedMs = performance.now() - startedAt
    if (elapsedMs >= durationMs) break
    while (sent < (elapsedMs * perSecond) / 1000 && pending.size < 64) {
      const sentAt = performance.now()
      const one = get(address, `/keys/k${String(sent % 256)}`, agent).then((status) => {
        if (status === 200) {
          answered += 1
          latenciesMs.push(performance.now() - sentAt)
        } else failed += 1
        pending.delete(one)
      })
      pending.add(one)
      sent += 1
    }
    await sleep(2)
  }
  await Promise.all(pending)
  agent.destroy()
  return { answered, failed, latenciesMs }
}

const percentile = (values: readonly number[], share: number): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length * share)] ?? NaN

export const measureRequests = async (
  results: SlopeResults,
  { basePort, runs, settleMs, windowMs }: RequestOptions,
): Promise<void> => {
  const size = { domains: 1, hostsPerDomain: 2, targetsPerDomain: 8, shardCount: 1024, basePort }
  const cluster = new SlopesCluster(size)
  const latencies: Record<string, number[]> = {}
  let failures = 0
  try {
    await cluster.start()
    await sleep(settleMs)
    const idle = await cluster.measure(1000)
    const coordinator = idle.find(({ isCoordinator }) => isCoordinator)?.host
    const follower = idle.find(({ isCoordinator }) => !isCoordinator)?.host
    if (coordinator === undefined || follower === undefined)
      throw new Error('the cluster has no coordinator or no other host to measure')
    // A request that enters at the coordinator gets its permit in that process, any other over the permit stream.
    const entries = { local: coordinator, stream: follower }
    // Warm-up that is not counted: the daemons' code is compiled during the first requests.
    for (const host of Object.values(entries)) await sendAtRate(host.addresses.callers, 800, 3000)
    for (let run = 0; run < runs; run += 1) {
      for (const [kind, host] of Object.entries(entries)) {
        for (const perSecond of [100, 200, 400, 800]) {
          const before = await cluster.samples()
          const load = await sendAtRate(host.addresses.callers, perSecond, windowMs)
          const rates = cluster.rates(before, await cluster.samples())
          failures += load.failed
          ;(latencies[`${kind}-p50`] ??= []).push(percentile(load.latenciesMs, 0.5))
          ;(latencies[`${kind}-p99`] ??= []).push(percentile(load.latenciesMs, 0.99))
          const answered = (load.answered * 1000) / windowMs
          const rateOf = (name: string): HostRates | undefined =>
            rates.find((rate) => rate.host.name === name)
          const entry = rateOf(host.name)
          const other = rateOf(coordinator.name)
          if (entry === undefined || other === undefined)
            throw new Error('a host of the cluster ended during the measurement')
          const xLabel = 'requests/s (target)'
          const method =
            'process.cpuUsage() of the real daemon; GET of a keyed service, small answer, target with 1 ms; x is the rate asked for, see served-share; the idle work of the daemon is the intercept'
          const add = (id: string, yLabel: string, value: number): void => {
            results.add({ id, title: `${yLabel} by requests/s`, xLabel, yLabel, method }, perSecond, value)
          }
          add(`request-cpu-${kind}`, `processor ms/s of the entry host, ${kind} permit`, entry.cpuMs)
          add(`served-${kind}`, `requests/s answered, ${kind} permit`, answered)
          if (kind === 'stream') {
            add('permit-cpu-coordinator', 'processor ms/s of the coordinator that lends permits', other.cpuMs)
            add('permit-bytes-follower', 'bytes/s sent to peers by the entry host', entry.traffic.peers.sent)
            add(
              'permit-bytes-coordinator',
              'bytes/s sent to peers by the coordinator',
              other.traffic.peers.sent,
            )
          }
        }
      }
    }
  } finally {
    await cluster.stop()
  }
  for (const [name, values] of Object.entries(latencies)) {
    const method = 'as seen by the load generator, all rates; target takes 1 ms; shared machine'
    results.addValue(`request-latency-${name}`, { unit: 'ms', method }, values)
  }
  results.addValue('request-failures', { unit: 'requests', method: 'not answered with 200, all runs' }, [
    failures,
  ])
  if (Object.values(latencies).some((values) => !Number.isFinite(median(values)))) {
    throw new Error('a measuring window had no request that was answered with 200')
  }
}
