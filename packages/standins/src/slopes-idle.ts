/** Measures idle clusters of real daemons: control traffic, CPU time, memory and platform calls by cluster size. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { PlatformCounters } from './platform-server.js'
import { SlopesCluster, type HostRates, type SlopesClusterOptions } from './slopes-cluster.js'
import { median } from './slopes-fit.js'
import type { SlopeResults } from './slopes-results.js'

export interface IdleOptions {
  readonly basePort: number
  readonly runs: number
  readonly settleMs: number
  readonly windowMs: number
}

const bytesMethod =
  'real daemons on loopback; bytesWritten and bytesRead of every TCP connection to peers, platform and targets, read inside each daemon by a preloaded module; payload of TCP with HTTP/2 framing, without headers of TCP and IP; median over the daemons of the role in one window; the windows are consecutive in one cluster'
const cpuMethod =
  'process.cpuUsage() inside each real daemon, preloaded module; median over the daemons of the role in one window; the windows are consecutive in one cluster'
const memoryMethod = 'process.memoryUsage() inside each real daemon; median over the daemons of the role'
const countersMethod =
  'counters of the stand-in platform over the windows; a transaction counts each key it names; all hosts together'

/** Sums the counters of the table, without those of the host list and of the object store (names of 64 hex digits). */
export const tableCalls = (counters: PlatformCounters): { reads: number; writes: number } =>
  Object.entries(counters)
    .filter(([prefix]) => prefix !== 'hosts' && !/^[0-9a-f]{64}$/.test(prefix))
    .reduce(
      (total, [, { reads, writes }]) => ({ reads: total.reads + reads, writes: total.writes + writes }),
      { reads: 0, writes: 0 },
    )

const medianOf = (rates: readonly HostRates[], value: (rate: HostRates) => number): number | undefined =>
  rates.length === 0 ? undefined : median(rates.map(value))

/** The size that varies between clusters of a measurement, and its value in this cluster. */
interface Axis {
  readonly id: string
  readonly label: string
  readonly x: number
}

/** Adds the figures of one window to the results, as medians over the coordinators and over the other hosts. */
const addWindow = (results: SlopeResults, { id, label, x }: Axis, rates: readonly HostRates[]): void => {
  for (const role of ['coordinator', 'follower'] as const) {
    const ofRole = rates.filter(({ isCoordinator }) => isCoordinator === (role === 'coordinator'))
    const add = (
      figure: string,
      yLabel: string,
      method: string,
      value: (rate: HostRates) => number,
    ): void => {
      const y = medianOf(ofRole, value)
      if (y === undefined) return
      const title = `Idle ${role}: ${yLabel} by ${label}`
      results.add({ id: `${figure}-${role}-by-${id}`, title, xLabel: label, yLabel, method }, x, y)
    }
    add('sent', 'control bytes/s sent', bytesMethod, (rate) => rate.controlBytesSent)
    add('received', 'control bytes/s received', bytesMethod, (rate) => rate.controlBytesReceived)
    add('cpu', 'processor ms/s', cpuMethod, (rate) => rate.cpuMs)
    add('memory', 'resident bytes', memoryMethod, (rate) => rate.rssBytes)
    if (id === 'hosts') {
      add('peers', 'bytes/s sent to peers', bytesMethod, ({ traffic }) => traffic.peers.sent)
      add('platform', 'bytes/s sent to the platform', bytesMethod, ({ traffic }) => traffic.platform.sent)
    } else if (role === 'coordinator') {
      add('targets', 'bytes/s sent to targets', bytesMethod, ({ traffic }) => traffic.targets.sent)
    }
  }
}

/** Starts a cluster, measures it in `runs` windows while it is idle, calls `after` with it, and stops it. */
const measureIdle = async (
  results: SlopeResults,
  axis: Axis,
  cluster: SlopesClusterOptions,
  { runs, settleMs, windowMs }: IdleOptions,
  after: (cluster: SlopesCluster) => Promise<void> = () => Promise.resolve(),
): Promise<void> => {
  const started = new SlopesCluster(cluster)
  try {
    await started.start()
    await sleep(settleMs)
    for (let run = 0; run < runs; run += 1) {
      const before = tableCalls(await started.counters())
      const rates = await started.measure(windowMs)
      const end = tableCalls(await started.counters())
      addWindow(results, axis, rates)
      if (axis.id !== 'hosts') continue
      for (const kind of ['reads', 'writes'] as const) {
        const yLabel = `table ${kind}/s of all hosts`
        const title = `At rest: ${yLabel} by ${axis.label}`
        const spec = {
          id: `table-${kind}-by-hosts`,
          title,
          xLabel: axis.label,
          yLabel,
          method: countersMethod,
        }
        results.add(spec, axis.x, ((end[kind] - before[kind]) * 1000) / windowMs)
      }
    }
    await after(started)
  } finally {
    await started.stop()
  }
}

export const measureHosts = async (results: SlopeResults, options: IdleOptions): Promise<void> => {
  const domains = 3
  for (const hostsPerDomain of [1, 2, 4, 6, 8]) {
    const axis = { id: 'hosts', label: 'hosts in 3 domains', x: domains * hostsPerDomain }
    const size = { domains, hostsPerDomain, targetsPerDomain: 3, shardCount: 1024 }
    await measureIdle(results, axis, { ...size, basePort: options.basePort }, options, async (cluster) => {
      for (let run = 0; run < options.runs; run += 1) {
        const before = tableCalls(await cluster.counters())
        const tookMs = await cluster.apply()
        await sleep(1000)
        const end = tableCalls(await cluster.counters())
        const spec = {
          id: 'apply-by-hosts',
          title: 'Time from the apply call to the last host with the version',
          xLabel: axis.label,
          yLabel: 'ms',
          method: 'from the call of Apply to the arrival of the last "configuration taken" log line',
        }
        results.add(spec, axis.x, tookMs)
        for (const kind of ['reads', 'writes'] as const) {
          const yLabel = `table ${kind} in the second after an apply, all hosts`
          const id = `apply-${kind}-by-hosts`
          results.add(
            { id, title: yLabel, xLabel: axis.label, yLabel, method: countersMethod },
            axis.x,
            end[kind] - before[kind],
          )
        }
      }
    })
  }
}

export const measureTargets = async (results: SlopeResults, options: IdleOptions): Promise<void> => {
  for (const targetsPerDomain of [3, 6, 12, 24]) {
    const axis = { id: 'targets', label: 'targets of the cell', x: targetsPerDomain }
    const size = { domains: 1, hostsPerDomain: 2, targetsPerDomain, shardCount: 1024 }
    await measureIdle(results, axis, { ...size, basePort: options.basePort }, options)
  }
}

export const measureShards = async (results: SlopeResults, options: IdleOptions): Promise<void> => {
  for (const shardCount of [256, 4096, 16_384, 65_536]) {
    const axis = { id: 'shards', label: 'shards of the cell', x: shardCount }
    const size = { domains: 1, hostsPerDomain: 2, targetsPerDomain: 6, shardCount }
    await measureIdle(results, axis, { ...size, basePort: options.basePort }, options)
  }
}
