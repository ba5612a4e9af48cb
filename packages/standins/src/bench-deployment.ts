/** A deployment that the load tool runs on its own ports: starts it, injects faults, and reads what it counted. */
import { writeFile, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { run as runCli } from '@pimentotally/cli'
import type { Clock, ServiceSpec, TargetSpec } from '@pimentotally/core'
import { isAtMostOnce } from './bench-load.js'
import { BenchClient } from './bench-senders.js'
import { attemptFigures, targetFigures, type AttemptFigures, type TargetFigures } from './bench-results.js'
import { Cluster, operatorCredential, type ClusterHost, type ClusterTarget } from './cluster.js'
import { callHttp } from './process.js'
import type { TargetBehaviour, TargetRecord } from './target-settings.js'

export interface BenchDeploymentOptions {
  /** Text of the declarative file. `portOffset` is added to the ports of its targets. */
  readonly document: string
  readonly portOffset: number
  readonly basePort: number
  readonly hostsPerDomain: number
  /** Value of the flag `--service-time` of the stand-in targets, such as `uniform:10`. */
  readonly serviceTime: string
  readonly clock: Clock
  readonly seed: number
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error'
  readonly onLog?: (line: string) => void
}

const withPortOffset = (document: string, offset: number): string =>
  document.replaceAll(
    /"127\.0\.0\.1:(\d+)"/g,
    (_, port: string) => `"127.0.0.1:${String(Number(port) + offset)}"`,
  )

export class BenchDeployment {
  readonly #options: BenchDeploymentOptions
  readonly #document: string
  readonly #cluster: Cluster
  readonly #killedTargets = new Set<ClusterTarget>()
  readonly #killedHosts = new Set<ClusterHost>()
  #directory = ''

  constructor(options: BenchDeploymentOptions) {
    this.#options = options
    this.#document = withPortOffset(options.document, options.portOffset)
    const { basePort, hostsPerDomain, serviceTime, seed, logLevel = 'error', onLog } = options
    this.#cluster = new Cluster({
      document: this.#document,
      hostsPerDomain,
      basePort,
      logLevel,
      onLog,
      targetArgs: ({ address }) => [
        ...['--service-time', serviceTime],
        ...['--seed', String(seed * 100_000 + Number(address.split(':')[1]))],
      ],
    })
  }

  get name(): string {
    return this.#cluster.deployment.name
  }

  get services(): readonly ServiceSpec[] {
    return this.#cluster.deployment.services
  }

  get targetSpecs(): readonly TargetSpec[] {
    return this.#cluster.deployment.targets
  }

  get callerAddresses(): string[] {
    return this.#cluster.hosts.map(({ addresses }) => addresses.callers)
  }

  get lastDomainName(): string {
    return this.#cluster.deployment.domains.at(-1)?.name ?? ''
  }

  /** Name of the second target of the first keyed service. */
  get keyedTargetName(): string {
    const keyed = this.services.find((service) => service.keyed !== undefined)
    return this.targetsOf(keyed?.name ?? '')[1]?.name ?? ''
  }

  /** Names of the targets of the services whose requests must run at most once. */
  get atMostOnceTargets(): string[] {
    return this.services
      .filter(isAtMostOnce)
      .flatMap(({ name }) => this.targetsOf(name).map((target) => target.name))
  }

  targetsOf(service: string): readonly TargetSpec[] {
    return this.targetSpecs.filter((target) => target.service === service)
  }

  /** Starts all processes, applies the declarative file, and waits until each host serves each service. */
  async start(): Promise<void> {
    await this.#cluster.start()
    this.#directory = await mkdtemp(join(tmpdir(), 'pimentotally-bench-'))
    const file = join(this.#directory, 'deployment.toml')
    await writeFile(file, this.#document)
    await this.#cluster.waitFor('apply', async () => {
      await this.runOperatorCommand('apply', file)
      return true
    })
    await this.#waitUntilServing(this.#cluster.hosts, 30_000)
  }

  async stop(): Promise<void> {
    await this.#cluster.stop()
    if (this.#directory !== '') await rm(this.#directory, { recursive: true, force: true })
  }

  /** Runs a command of the operators' command-line tool; rejects when its exit code is not 0. */
  async runOperatorCommand(...command: string[]): Promise<void> {
    const errors: string[] = []
    const addresses = this.#runningHosts.flatMap(({ addresses: { operators } }) => ['--address', operators])
    const code = await runCli([...command, ...addresses.slice(0, 6)], {
      env: { PIMENTOTALLY_CREDENTIAL: operatorCredential },
      out: () => undefined,
      err: (text) => errors.push(text),
    })
    if (code !== 0) throw new Error(`${command.join(' ')}: exit code ${String(code)}: ${errors.join('; ')}`)
  }

  async setBehaviour(target: string, behaviour: Partial<TargetBehaviour>): Promise<void> {
    await this.#callAdmin(target, '/behaviour', behaviour)
  }

  async turnCold(target: string, durationMs: number): Promise<void> {
    await this.#callAdmin(target, '/cold', { durationMs })
  }

  /** Makes the target answer nothing more on the connections that it has now. */
  async silence(target: string): Promise<void> {
    await this.#callAdmin(target, '/silence', {})
  }

  setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    return this.#cluster.setPlatformFaults(faults)
  }

  async killTarget(name: string): Promise<void> {
    const target = this.#targetNamed(name)
    this.#killedTargets.add(target)
    target.child.signal('SIGKILL')
    await target.child.exited
  }

  async killHost(index: number): Promise<void> {
    const host = this.#cluster.hosts[index]
    if (host === undefined) throw new RangeError(`the deployment has no host with index ${String(index)}`)
    this.#killedHosts.add(host)
    host.child.signal('SIGKILL')
    await host.child.exited
  }

  /** Restarts the targets and hosts that were killed, and waits until these hosts serve each service. */
  async restartKilled(): Promise<void> {
    const killed = [...this.#killedTargets, ...this.#killedHosts]
    await Promise.all(killed.map((part) => this.#cluster.restart(part)))
    const hosts = [...this.#killedHosts]
    this.#killedTargets.clear()
    this.#killedHosts.clear()
    await this.#waitUntilServing(hosts, 30_000)
  }

  /** Waits, so that moves of shards that go on after a scenario can end. */
  async settle(durationMs: number): Promise<void> {
    await this.#options.clock.sleep(durationMs)
  }

  async resetRecords(): Promise<void> {
    await Promise.all(
      this.#cluster.targets.map(({ child }) =>
        callHttp(child.ready.adminAddress, '/record', { method: 'DELETE' }),
      ),
    )
  }

  /** What the targets counted since `resetRecords`. Killed targets are left out, as they have lost their records. */
  async targetCounts(services?: ReadonlySet<string>): Promise<TargetFigures> {
    const counted = this.#cluster.targets.filter(
      (target) => !this.#killedTargets.has(target) && (services?.has(target.spec.service) ?? true),
    )
    const records = await Promise.all(
      counted.map(async ({ spec, child }) => ({
        record: JSON.parse(await callHttp(child.ready.adminAddress, '/record')) as TargetRecord,
        slots: this.services.find(({ name }) => name === spec.service)?.slots ?? 0,
      })),
    )
    return targetFigures(records)
  }

  /** Attempts and CPU time of each running daemon since its start, by host name. */
  async attempts(): Promise<Map<string, AttemptFigures>> {
    const read = this.#runningHosts.map(async ({ name, addresses }) => {
      const figures = attemptFigures(await callHttp(addresses.metrics, '/metrics'))
      return [name, figures] as const
    })
    return new Map(await Promise.all(read))
  }

  get #runningHosts(): ClusterHost[] {
    return this.#cluster.hosts.filter((host) => !this.#killedHosts.has(host))
  }

  #targetNamed(name: string): ClusterTarget {
    const target = this.#cluster.targets.find(({ spec }) => spec.name === name)
    if (target === undefined) throw new RangeError(`the deployment has no target "${name}"`)
    return target
  }

  async #callAdmin(target: string, path: string, body: unknown): Promise<void> {
    await callHttp(this.#targetNamed(target).child.ready.adminAddress, path, { method: 'POST', body })
  }

  async #waitUntilServing(hosts: readonly ClusterHost[], timeoutMs: number): Promise<void> {
    const client = new BenchClient()
    const serves = async (
      { addresses }: ClusterHost,
      { pathPrefix, keyed }: ServiceSpec,
    ): Promise<boolean> => {
      const source = keyed?.source
      const headers: Record<string, string> = source?.kind === 'header' ? { [source.name]: 'key-0' } : {}
      const path = `${pathPrefix}key-0`
      return (await client.call(addresses.callers, { method: 'GET', path, headers })).outcome === 'ok'
    }
    await this.#cluster.waitFor(
      'service through each host',
      async () => {
        const calls = hosts.flatMap((host) => this.services.map((service) => serves(host, service)))
        return (await Promise.all(calls)).every((ok) => ok)
      },
      timeoutMs,
    )
    client.close()
  }
}
