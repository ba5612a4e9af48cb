/**
 * Runs a whole deployment as processes on the loopback interface: the stand-in platform, the declared targets, and
 * `hostsPerDomain` hosts in each failure domain.
 */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import type { Client } from '@connectrpc/connect'
import { DeploymentFile } from '@pimentotally/config'
import type { Deployment, ServiceSpec, TargetSpec } from '@pimentotally/core'
import { OperatorService, openClient, type StatusResponse } from '@pimentotally/wire'
import { stringify } from 'smol-toml'
import { Child, callHttp, createDirectory, removeDirectory, runTool, type ToolResult } from './process.js'
import type { TargetRecord } from './target-settings.js'

export interface ClusterOptions {
  /** Text of the declarative file. */
  readonly document: string
  readonly hostsPerDomain: number
  /** Port of the platform. Each host gets the next 10 ports. */
  readonly basePort: number
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error'
  readonly onLog?: (line: string) => void
  readonly targetArgs?: (target: TargetSpec, service: ServiceSpec) => readonly string[]
  /** Returns the port on which a target listens, so that a forwarder can listen at the declared address instead. */
  readonly targetPortFor?: (target: TargetSpec, port: number) => number
  /** Returns the address at which a host reaches the platform, for example that of a forwarder. */
  readonly platformAddressFor?: (hostName: string, address: string) => string
}

interface ListeningAddresses {
  readonly address: string
  readonly adminAddress: string
}

/** IP addresses and ports of the listeners of a host. */
export interface HostAddresses {
  readonly callers: string
  readonly peers: string
  readonly forwarded: string
  readonly operators: string
  readonly metrics: string
}

export interface ClusterHost {
  readonly name: string
  readonly domain: string
  readonly addresses: HostAddresses
  /** The process that was started last. */
  child: Child<unknown>
}

export interface ClusterTarget {
  readonly spec: TargetSpec
  /** The process that was started last. */
  child: Child<ListeningAddresses>
}

type OperatorClient = Client<typeof OperatorService>

/** The credential of the operator `demo` on every host. */
export const operatorCredential = 'demo-operator-credential'
const peerSecret = 'demo-peer-secret-for-loopback'

export class Cluster {
  readonly deployment: Deployment
  readonly hosts: ClusterHost[] = []
  readonly targets: ClusterTarget[] = []
  readonly #options: ClusterOptions
  /** All process starts, finished or not: when one start fails, `stop` still ends the other processes. */
  readonly #starts = new Set<Promise<Child<unknown>>>()
  #platform: Child<ListeningAddresses> | undefined
  #directory = ''

  constructor(options: ClusterOptions) {
    this.#options = options
    this.deployment = DeploymentFile.parse(options.document)
  }

  get document(): string {
    return this.#options.document
  }

  get platform(): Child<ListeningAddresses> {
    if (this.#platform === undefined) throw new Error('the cluster has not been started')
    return this.#platform
  }

  /** Starts all processes. The declarative file is not applied; see `apply`. */
  async start(): Promise<void> {
    this.#directory = await createDirectory()
    const { basePort } = this.#options
    this.#platform = await this.#track(
      Child.start<ListeningAddresses>({
        entry: 'platform-main.js',
        args: ['--port', String(basePort)],
        onLog: this.#options.onLog,
      }),
    )
    this.targets.push(
      ...(await Promise.all(
        this.deployment.targets.map(async (spec) => ({ spec, child: await this.#startTarget(spec) })),
      )),
    )
    const names = this.deployment.domains.flatMap(({ name: domain, region }) =>
      Array.from({ length: this.#options.hostsPerDomain }, (_, index) => ({
        name: `${domain}-${String(index + 1)}`,
        domain,
        region,
      })),
    )
    const addresses = names.map((_, index) => this.#addressesOf(index))
    this.hosts.push(
      ...(await Promise.all(
        names.map(async ({ name, domain, region }, index) => {
          const listen = addresses[index] as HostAddresses
          const seeds = addresses.filter((other) => other !== listen).map(({ peers }) => peers)
          return {
            name,
            domain,
            addresses: listen,
            child: await this.#startHost(name, domain, region, listen, seeds),
          }
        }),
      )),
    )
  }

  /** Starts a new process for a host or target on its previous addresses. */
  async restart(part: ClusterHost | ClusterTarget): Promise<void> {
    if ('spec' in part) {
      part.child = await this.#startTarget(part.spec)
      return
    }
    const region = this.deployment.domains.find(({ name }) => name === part.domain)?.region ?? ''
    const seeds = this.hosts.filter((other) => other !== part).map(({ addresses }) => addresses.peers)
    part.child = await this.#startHost(part.name, part.domain, region, part.addresses, seeds)
  }

  /** Runs the command-line tool `pimentotally` against the operator listeners of `hosts`. */
  async runCli(args: readonly string[], hosts: readonly ClusterHost[] = this.hosts): Promise<ToolResult> {
    const addresses = hosts.flatMap(({ addresses: { operators } }) => ['--address', operators])
    return runTool('../../cli/dist/main.js', [...args, ...addresses], {
      PIMENTOTALLY_CREDENTIAL: operatorCredential,
    })
  }

  /** Applies the declarative file with the command-line tool; rejects with its error output when it is refused. */
  async apply(): Promise<ToolResult> {
    const file = join(this.#directory, 'deployment.toml')
    await writeFile(file, this.#options.document)
    const result = await this.runCli(['apply', file])
    if (result.code !== 0) throw new Error(`apply ended with ${String(result.code)}: ${result.err}`)
    return result
  }

  async status(host: ClusterHost): Promise<StatusResponse> {
    return this.#callOperator(host, (client) => client.status({}, { timeoutMs: 2000 }))
  }

  /** Whether all running hosts have `version` and all shards of all keyed services have an owner. */
  async isServing(version: number): Promise<boolean> {
    const running = this.hosts.filter(({ child }) => child.isRunning)
    const states = await Promise.all(running.map((host) => this.status(host)))
    if (!states.every((state) => state.ready && state.configVersion >= version)) return false
    const { targets } = await this.#callOperator(running[0] as ClusterHost, (client) =>
      client.targets({ service: '' }, { timeoutMs: 2000 }),
    )
    return this.deployment.services.every(({ name, keyed }) => {
      const owned = targets.filter(({ service }) => service === name).map(({ shards }) => shards)
      return keyed === undefined || owned.reduce((sum, shards) => sum + shards, 0) === keyed.shardCount
    })
  }

  /** The host that coordinates the cell of `domain`, once all running hosts of the domain agree on it. */
  async coordinator(domain: string): Promise<ClusterHost> {
    let found: ClusterHost | undefined
    await this.waitFor(`one coordinator of ${domain}`, async () => {
      const asked = this.hosts.filter((host) => host.domain === domain && host.child.isRunning)
      const ids = await Promise.all(
        asked.map(async (host) => {
          const { cells } = await this.status(host)
          return cells.find(({ cellId }) => cellId === domain)?.coordinatorHostId ?? ''
        }),
      )
      found = this.hosts.find(({ name }) => ids.every((id) => id.startsWith(`${name}-`)))
      return ids.length > 0 && found !== undefined
    })
    return found as unknown as ClusterHost
  }

  /** The name of the target that owns `key`; empty when there is none. */
  async owner(service: string, key: string, host = this.hosts[0] as ClusterHost): Promise<string> {
    return this.#callOperator(host, async (client) => {
      const { target } = await client.owner({ service, key }, { timeoutMs: 2000 })
      return target
    })
  }

  /** Reads the record of a target from its admin listener. */
  async record({ child }: ClusterTarget): Promise<TargetRecord> {
    return JSON.parse(await callHttp(child.ready.adminAddress, '/record')) as TargetRecord
  }

  async #callOperator<T>(host: ClusterHost, call: (client: OperatorClient) => Promise<T>): Promise<T> {
    const { client, close } = openClient(OperatorService, {
      address: host.addresses.operators,
      credential: operatorCredential,
    })
    try {
      return await call(client)
    } finally {
      close()
    }
  }

  /** Sets faults of the stand-in platform; those that are left out keep their value. Example: `{"unavailable": 1}`. */
  async setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await callHttp(this.platform.ready.adminAddress, '/faults', { method: 'POST', body: faults })
  }

  /** Waits until `condition` holds; a rejected condition counts as false. Rejects after `timeoutMs`. */
  async waitFor(
    what: string,
    condition: () => Promise<boolean> | boolean,
    timeoutMs = 15_000,
  ): Promise<void> {
    const deadline = performance.now() + timeoutMs
    for (;;) {
      if (await Promise.resolve(condition()).catch(() => false)) return
      if (performance.now() > deadline)
        throw new Error(`${what}: condition did not hold within ${String(timeoutMs)} ms`)
      await new Promise((resolve) => setTimeout(resolve, 50))
    }
  }

  /** Ends all processes that were started; may be called more than once. */
  async stop(): Promise<void> {
    const started = await Promise.allSettled(this.#starts)
    const children = started.flatMap((start) => (start.status === 'fulfilled' ? [start.value] : []))
    await Promise.all(children.filter(({ isRunning }) => isRunning).map((child) => child.stop(3000)))
    if (this.#directory !== '') await removeDirectory(this.#directory)
  }

  #track<Ready>(start: Promise<Child<Ready>>): Promise<Child<Ready>> {
    this.#starts.add(start)
    return start
  }

  #addressesOf(index: number): HostAddresses {
    const first = this.#options.basePort + 10 * (index + 1)
    const at = (offset: number): string => `127.0.0.1:${String(first + offset)}`
    return { callers: at(0), peers: at(1), forwarded: at(2), operators: at(3), metrics: at(4) }
  }

  #startTarget(spec: TargetSpec): Promise<Child<ListeningAddresses>> {
    const service = this.deployment.services.find(({ name }) => name === spec.service) as ServiceSpec
    const { targetArgs, targetPortFor = (_, port) => port, onLog } = this.#options
    const port = targetPortFor(spec, Number(spec.address.split(':')[1]))
    return this.#track(
      Child.start<ListeningAddresses>({
        entry: 'target-main.js',
        args: [
          ...['--name', spec.name, '--service', spec.service],
          ...['--port', String(port)],
          ...['--slots', String(service.slots), '--connections', String(service.connections)],
          ...(service.verifiesGrants ? ['--verify-grants'] : []),
          ...(targetArgs?.(spec, service) ?? []),
        ],
        onLog,
      }),
    )
  }

  async #startHost(
    name: string,
    domain: string,
    region: string,
    listen: HostAddresses,
    seeds: readonly string[],
  ): Promise<Child<unknown>> {
    const { logLevel = 'warn', onLog, platformAddressFor = (_, address) => address } = this.#options
    const platform = platformAddressFor(name, this.platform.ready.address)
    const file = join(this.#directory, `${name}.toml`)
    const settings = {
      hostName: name,
      domain,
      region,
      logLevel,
      peerSecrets: [peerSecret],
      seeds: seeds.slice(0, 5),
      listen,
      platform: { table: platform, objects: platform, hostList: platform },
      operators: [{ name: 'demo', credential: operatorCredential }],
    }
    await writeFile(file, stringify(settings))
    const entry = '../../daemon/dist/main.js'
    return this.#track(Child.start({ entry, args: ['--settings', file], onLog }))
  }
}
