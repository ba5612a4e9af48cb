/** Measures the loss of a target and of a coordinator: the longest outage of a key, and the platform calls made. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { ClusterHost } from './cluster.js'
import { SlopesCluster } from './slopes-cluster.js'
import { tableCalls } from './slopes-idle.js'
import { get } from './slopes-requests.js'
import type { SlopeResults } from './slopes-results.js'

export interface EventOptions {
  readonly basePort: number
  readonly runs: number
  readonly settleMs: number
}

const keyCount = 64
/** Time for which the keys are requested around an event; keys that are not served at its end get as long again. */
const observeMs = 5000

/** Requests every key all the time through `host` and returns the longest time in which any key was not served. */
const longestGap = async (host: ClusterHost, untilMs: number): Promise<number> => {
  const agent = new Agent({ keepAlive: true, maxSockets: keyCount })
  let longestMs = 0
  const follow = async (key: number): Promise<void> => {
    // A gap is the time between two responses with status 200; before the first one, the key counts as served now.
    let servedAt = performance.now()
    let failedSince = false
    while (performance.now() < untilMs || (failedSince && performance.now() < untilMs + observeMs)) {
      const status = await get(host.addresses.callers, `/keys/k${String(key)}`, agent)
      const nowMs = performance.now()
      if (status === 200) {
        longestMs = Math.max(longestMs, nowMs - servedAt)
        servedAt = nowMs
        failedSince = false
      } else failedSince = true
      await sleep(20)
    }
    if (failedSince) longestMs = Math.max(longestMs, performance.now() - servedAt)
  }
  await Promise.all(Array.from({ length: keyCount }, (_, key) => follow(key)))
  agent.destroy()
  return longestMs
}

export const measureEvents = async (
  results: SlopeResults,
  { basePort, runs, settleMs }: EventOptions,
): Promise<void> => {
  const size = { domains: 1, hostsPerDomain: 3, targetsPerDomain: 6, shardCount: 1024, basePort }
  const cluster = new SlopesCluster(size)
  const gaps: Record<string, number[]> = { rest: [], target: [], coordinator: [] }
  const calls: Record<string, number[]> = {}
  try {
    await cluster.start()
    await sleep(settleMs)
    for (let run = 0; run < runs; run += 1) {
      for (const event of ['rest', 'target', 'coordinator'] as const) {
        const roles = await cluster.measure(1000)
        const coordinator = roles.find(({ isCoordinator }) => isCoordinator)?.host
        const follower = roles.find(({ isCoordinator }) => !isCoordinator)?.host
        const target = cluster.cluster.targets[run]
        if (coordinator === undefined || follower === undefined || target === undefined) {
          throw new Error('the cluster has no coordinator, no other host, or no target for this run')
        }
        const before = tableCalls(await cluster.counters())
        const gap = longestGap(follower, performance.now() + observeMs)
        await sleep(1000)
        if (event === 'target') target.child.signal('SIGKILL')
        if (event === 'coordinator') coordinator.child.signal('SIGKILL')
        gaps[event]?.push(await gap)
        const after = tableCalls(await cluster.counters())
        ;(calls[`${event}-reads`] ??= []).push(after.reads - before.reads)
        ;(calls[`${event}-writes`] ??= []).push(after.writes - before.writes)
        if (event === 'target') await cluster.cluster.restart(target)
        if (event === 'coordinator') await cluster.cluster.restart(coordinator)
        await cluster.cluster.waitFor('ownership', () => cluster.isOwned(), 60_000)
        await sleep(settleMs)
      }
    }
  } finally {
    await cluster.stop()
  }
  for (const [event, runsOf] of Object.entries(gaps)) {
    const method = `longest time of any of ${String(keyCount)} keys between two answers, asked every 20 ms through a host that does not coordinate; SIGKILL; 3 hosts, 6 targets, 1 domain`
    results.addValue(`gap-${event}`, { unit: 'ms', method }, runsOf)
  }
  for (const [name, runsOf] of Object.entries(calls)) {
    const method = `keys named in table calls of all hosts in ${String(observeMs / 1000)} s around the event; "rest" is the same without an event`
    results.addValue(`event-${name}`, { unit: 'calls', method }, runsOf)
  }
}
