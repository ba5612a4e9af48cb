/**
 * The demo: runs both example deployments on the loopback interface under traffic, kills a target and a host of each,
 * and checks what callers and targets recorded.
 */
import { readFile } from 'node:fs/promises'
import { loadavg } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath, pathToFileURL } from 'node:url'
import { Cluster, type ClusterTarget } from './cluster.js'
import { nowMs } from './caller.js'
import { checkRun, formatRun, type TargetFigures } from './demo-report.js'
import { createDirectory, removeDirectory } from './process.js'
import { Traffic } from './traffic.js'

export interface DemoOptions {
  readonly file: string
  readonly basePort: number
  readonly trafficMs?: number
  /** When the target and the host are killed, counted from the end of the warm-up. */
  readonly targetKilledMs?: number
  readonly hostKilledMs?: number
  readonly write?: (line: string) => void
}

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/**
 * A new coordinator treats targets that started within the last 30 s as cold and lends them one slot each. So nothing
 * is killed before the targets are warm: the demo shows the loss of a host, not one during a cold start.
 */
const waitUntilWarmMs = 31_000

const serviceTimes: Readonly<Record<string, string>> = {
  prices: 'exponential:5',
  inspections: 'exponential:5',
}

const countLines = (text: string): Map<string, number> => {
  const counts = new Map<string, number>()
  for (const line of text.split('\n').slice(0, -1)) counts.set(line, (counts.get(line) ?? 0) + 1)
  return counts
}

/** Waits until no term has changed for 1 s; hosts that have just started may still become coordinators of cells. */
const waitForSteadyTerms = async (cluster: Cluster): Promise<void> => {
  let terms = ''
  let sinceMs = nowMs()
  await cluster.waitFor('steady coordinators', async () => {
    const states = await Promise.all(cluster.hosts.map((host) => cluster.status(host)))
    const seen = states.map(({ cells }) => cells.map(({ term }) => term).join()).join()
    if (seen !== terms) sinceMs = nowMs()
    terms = seen
    return nowMs() - sinceMs >= 1000
  })
}

/** Runs one deployment and resolves to whether all checks passed. Rejects when the deployment could not be started. */
export const runDemo = async ({
  file,
  basePort,
  trafficMs = 8000,
  targetKilledMs = 1000,
  hostKilledMs = 4500,
  write = (line) => process.stdout.write(`${line}\n`),
}: DemoOptions): Promise<boolean> => {
  const logs = await createDirectory()
  const runLog = (name: string): string => join(logs, `${name}.runs`)
  const report: string[] = []
  const cluster = new Cluster({
    document: await readFile(file, 'utf8'),
    hostsPerDomain: 3,
    basePort,
    targetArgs: ({ name }, { name: service }) => [
      ...['--service-time', serviceTimes[service] ?? 'uniform:10'],
      ...['--run-log', runLog(name)],
    ],
  })
  const { deployment } = cluster
  try {
    const startMs = nowMs()
    const sinceStart = (): string => `${((nowMs() - startMs) / 1000).toFixed(1)} s`
    await cluster.start()
    const targetsWarmAtMs = nowMs() + waitUntilWarmMs
    const { hosts, targets } = cluster
    write(
      `${deployment.name}: ${String(hosts.length)} hosts in ${String(deployment.domains.length)} failure domains and ${String(targets.length)} targets started, ${sinceStart()}`,
    )
    write(`${deployment.name}: pimentotally apply: ${(await cluster.apply()).out.trim()}`)
    await cluster.waitFor('service on all hosts', () => cluster.isServing(1), 20_000)
    await waitForSteadyTerms(cluster)
    write(`${deployment.name}: all hosts have version 1 and all shards have owners, ${sinceStart()}`)

    const warmUpMs = 2000
    await wait(targetsWarmAtMs - nowMs() - warmUpMs - targetKilledMs)
    const traffic = new Traffic({ cluster, warmUpMs })
    const running = traffic.run(trafficMs)
    const keyed = deployment.services.find((service) => service.keyed !== undefined)?.name ?? ''
    const [killed, lastRecord] = await killTarget(cluster, keyed, warmUpMs + targetKilledMs, write)
    await wait(hostKilledMs - targetKilledMs)
    const domain = deployment.domains.find(({ name }) => name !== killed.spec.domain)?.name ?? ''
    const host = await cluster.coordinator(domain)
    host.child.signal('SIGKILL')
    write(`${deployment.name}: killed host ${host.name}, coordinator of ${domain}`)
    await running

    const figures: TargetFigures[] = await Promise.all(
      targets.map(async (target) => {
        const { name, service } = target.spec
        const slots = deployment.services.find((spec) => spec.name === service)?.slots ?? 0
        const log = await readFile(runLog(name), 'utf8').catch(() => '')
        const record = target === killed ? lastRecord : await cluster.record(target)
        const runs = target === killed ? countLines(log) : new Map(Object.entries(record.runs))
        return { name, service, slots, record, runs }
      }),
    )
    const { sent, startedMs, endedMs } = traffic
    const run = { deployment, sent, targets: figures, startedMs, endedMs, recoveryMs: 2000 }
    report.push(`\n${deployment.name}\n${formatRun(run)}\n`)
    const checks = checkRun(run)
    for (const { name, faults } of checks) {
      report.push(`  ${faults.length === 0 ? 'ok    ' : 'FAILED'}  ${name}`)
      for (const fault of faults.slice(0, 10)) report.push(`            ${fault}`)
      if (faults.length > 10) report.push(`            and ${String(faults.length - 10)} more`)
    }
    report.push(`  load average ${loadavg()[0]?.toFixed(1) ?? '?'}, ${sinceStart()}`)
    write(report.join('\n'))
    return checks.every(({ faults }) => faults.length === 0)
  } finally {
    await cluster.stop()
    await removeDirectory(logs)
  }
}

const killTarget = async (
  cluster: Cluster,
  service: string,
  afterMs: number,
  write: (line: string) => void,
): Promise<[ClusterTarget, Awaited<ReturnType<Cluster['record']>>]> => {
  await wait(afterMs)
  let target: ClusterTarget | undefined
  await cluster.waitFor('an owner of key-0', async () => {
    const owner = await cluster.owner(service, 'key-0')
    target = cluster.targets.find(({ spec }) => spec.name === owner)
    return target !== undefined
  })
  if (target === undefined) throw new Error(`key-0 of ${service} has no owner`)
  const record = await cluster.record(target)
  target.child.signal('SIGKILL')
  write(`${cluster.deployment.name}: killed target ${target.spec.name}, owner of key-0 of ${service}`)
  return [target, record]
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  // process.ts ends the children and removes the files when this process exits.
  process.on('SIGINT', () => process.exit(130))
  process.on('SIGTERM', () => process.exit(143))
  const example = (name: string): string =>
    fileURLToPath(new URL(`../../../examples/${name}.toml`, import.meta.url))
  try {
    const passed = await Promise.all([
      runDemo({ file: example('atap-batu'), basePort: 20_000 }),
      runDemo({ file: example('barlavento'), basePort: 20_500 }),
    ])
    process.exitCode = passed.every(Boolean) ? 0 : 1
  } catch (error) {
    process.stderr.write(`demo: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exit(1)
  }
}
