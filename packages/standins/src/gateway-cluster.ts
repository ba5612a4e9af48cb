/**
 * Runs gateway daemons as separate processes on the loopback interface, against a stand-in store and stand-in targets
 * that live in this process. A cluster ends only processes that it has started.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { Random } from '@pimentotally/core'
import { configurationKey, settingsVariable, storeTables } from '@pimentotally/platform'
import {
  KeyTargetServer,
  RowStoreServer,
  configurationBytes,
  settingsDocument,
  type FaultyAnswers,
  type KeyTargetOptions,
  type RouteDocument,
  type TenantDocument,
} from '@pimentotally/platform/testing'

const daemonPath = fileURLToPath(import.meta.resolve('@pimentotally/gateway/main'))
/** The targets' entries in the store are written this often; the daemons expect the same interval. */
const heartbeatMs = 300
/** `waitFor` rejects after this time. */
const conditionTimeoutMs = 30_000
/** At most this many of the last output lines of each process are quoted in an error. */
const maxQuotedLines = 12

/**
 * Listening ports are chosen from this range. It lies below the range from which Linux takes the ports of outgoing
 * connections; one of those could take a chosen port before the daemon listens on it.
 */
const portRange = { first: 12_000, last: 31_999 } as const

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer()
      .once('error', () => {
        resolve(false)
      })
      .listen(port, '127.0.0.1', () => {
        server.close(() => {
          resolve(true)
        })
      })
  })

/**
 * The port that was tried last. It only rises (and wraps at the end of the range), so clusters of this process get
 * different ports; it starts at random, so other processes most likely begin elsewhere.
 */
let nextPort = portRange.first + new Random().integer(portRange.last - portRange.first)

const freePorts = async (count: number): Promise<number[]> => {
  const ports: number[] = []
  while (ports.length < count) {
    nextPort = nextPort >= portRange.last ? portRange.first : nextPort + 1
    if (await isFree(nextPort)) ports.push(nextPort)
  }
  return ports
}

interface ConfigurationOptions {
  readonly version: number
  readonly tenants: readonly TenantDocument[] | undefined
  readonly maxConnections: number
  readonly routeTimeoutMs: number
  readonly maxBodyBytes: number | undefined
}

const configurationOf = ({
  version,
  maxConnections,
  tenants,
  routeTimeoutMs,
  maxBodyBytes,
}: ConfigurationOptions): Buffer => {
  const route = (name: string, kind: string): RouteDocument => ({
    name,
    hostname: 'shop.example',
    prefix: `/${name}/`,
    kind,
    service: name,
    timeoutMs: routeTimeoutMs,
    objectiveMs: 1000,
  })
  const limits = { maxConnections, coldStartMs: 1000, coldRequestsPerSecond: 50 }
  return configurationBytes({
    version,
    tenants,
    services: [
      { name: 'notes', isSharded: true, ...limits },
      { name: 'orders', ...limits },
    ],
    routes: [route('notes', 'safe'), route('orders', 'unsafe')],
    ...(maxBodyBytes === undefined ? {} : { maxBodyBytes }),
  })
}

export interface GatewayProcessOptions {
  readonly name: string
  readonly settingsPath: string
  /** Port on which callers connect. */
  readonly port: number
  /** Port that serves `/readyz`. */
  readonly readyPort: number
  /** All ports on which the process listens. */
  readonly ports: readonly number[]
  /** Arguments of Node.js before the path of the daemon. */
  readonly nodeArguments: readonly string[]
}

/** One daemon as a child process. */
export class GatewayProcess {
  readonly options: GatewayProcessOptions
  /** The lines that the process has written to standard output and standard error. */
  readonly outputLines: string[] = []
  /** Resolves to the exit code when the process has ended; to null when a signal ended it. */
  readonly exited: Promise<number | null>
  readonly #child: ChildProcess

  constructor(options: GatewayProcessOptions) {
    this.options = options
    this.#child = spawn(process.execPath, [...options.nodeArguments, daemonPath], {
      env: { PATH: process.env.PATH, [settingsVariable]: options.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    for (const output of [this.#child.stdout, this.#child.stderr]) {
      if (output !== null) createInterface(output).on('line', (line) => this.outputLines.push(line))
    }
    this.exited = new Promise((resolve) => {
      this.#child.once('exit', resolve)
    })
  }

  get port(): number {
    return this.options.port
  }

  /** The id of the process; undefined if it could not be started. */
  get pid(): number | undefined {
    return this.#child.pid
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.#child.kill(signal)
  }

  async isReady(): Promise<boolean> {
    try {
      const response = await fetch(`http://127.0.0.1:${String(this.options.readyPort)}/readyz`)
      return response.status === 200
    } catch {
      return false
    }
  }
}

export interface GatewayClusterOptions {
  readonly hosts?: number
  /** Number of targets of each of the two services. */
  readonly targets?: number
  readonly target?: Partial<KeyTargetOptions>
  /** Returns what writes the answers of the target with this id; they have no faults by default. */
  readonly faultyAnswers?: (targetId: string) => FaultyAnswers | undefined
  /** Most connections that a target accepts of all daemons together, as its service's configuration says. */
  readonly maxConnections?: number
  /** The configuration has no tenants by default, and callers need no API key. */
  readonly tenants?: readonly TenantDocument[] | undefined
  /** Returns the address that the daemons use for the given one, such as that of a forwarder; the same by default. */
  readonly forwardedAddress?: (address: string) => Promise<string>
  readonly routeTimeoutMs?: number
  /** Limit on the body of a request, as the configuration says; that of `configurationBytes` when undefined. */
  readonly maxBodyBytes?: number
  /** Limits of each daemon's process, as its settings say; left out of the settings when undefined. */
  readonly memoryMegabytes?: number
  readonly maxDescriptors?: number
  /** Arguments of Node.js for the daemons, such as the size of its heap. */
  readonly nodeArguments?: readonly string[]
}

type HostOptions = Pick<GatewayClusterOptions, 'memoryMegabytes' | 'maxDescriptors' | 'nodeArguments'>

export class GatewayCluster {
  readonly store: RowStoreServer
  /** Targets of the keyed service `notes`, whose requests are safe to repeat. */
  readonly notes: readonly KeyTargetServer[]
  /** Targets of the service `orders`, which has no keys and whose requests must run at most once. */
  readonly orders: readonly KeyTargetServer[]
  readonly hosts: GatewayProcess[] = []
  /** All processes that were started, including those that have ended and were replaced. */
  readonly processes: GatewayProcess[] = []
  readonly #folder = mkdtempSync(join(tmpdir(), 'pimentotally-gateway-'))
  readonly #addresses = new Map<KeyTargetServer, string>()
  readonly #heartbeat: NodeJS.Timeout
  #configuration: ConfigurationOptions
  #sequence = 0

  private constructor(
    store: RowStoreServer,
    notes: readonly KeyTargetServer[],
    orders: readonly KeyTargetServer[],
    configuration: ConfigurationOptions,
  ) {
    this.#configuration = configuration
    this.store = store
    this.notes = notes
    this.orders = orders
    this.#heartbeat = setInterval(() => {
      this.#register()
    }, heartbeatMs)
  }

  static async start({
    hosts = 2,
    targets = 3,
    target = {},
    faultyAnswers = () => undefined,
    maxConnections = 120,
    tenants,
    forwardedAddress = (address) => Promise.resolve(address),
    routeTimeoutMs = 2000,
    maxBodyBytes,
    ...hostOptions
  }: GatewayClusterOptions = {}): Promise<GatewayCluster> {
    const store = await RowStoreServer.start()
    const configuration = { version: 1, maxConnections, tenants, routeTimeoutMs, maxBodyBytes }
    store.store.write(storeTables.operator, configurationKey, configurationOf(configuration))
    const start = (name: string, isSharded: boolean): Promise<KeyTargetServer[]> =>
      Promise.all(
        Array.from({ length: targets }, (_, index) =>
          KeyTargetServer.start({
            ...target,
            id: `${name}-${String(index)}`,
            service: name,
            domain: 'a',
            isSharded,
            answers: faultyAnswers(`${name}-${String(index)}`),
          }),
        ),
      )
    const cluster = new GatewayCluster(
      store,
      await start('notes', true),
      await start('orders', false),
      configuration,
    )
    for (const each of cluster.targets) cluster.#addresses.set(each, await forwardedAddress(each.address))
    cluster.#register()
    try {
      const storeAddress = await forwardedAddress(store.address)
      for (let index = 0; index < hosts; index += 1) {
        await cluster.#startHost(`host-${String(index)}`, storeAddress, hostOptions)
      }
      await cluster.waitFor(async () =>
        (await Promise.all(cluster.hosts.map((host) => host.isReady()))).every(Boolean),
      )
      await cluster.waitFor(() => cluster.areSampleKeysHeld())
    } catch (error) {
      // Daemons that are left running would keep this process from ending.
      await cluster.stop()
      throw error
    }
    return cluster
  }

  get targets(): readonly KeyTargetServer[] {
    return [...this.notes, ...this.orders]
  }

  /** Whether each key of a sample is held by a target. */
  areSampleKeysHeld(): boolean {
    return [0, 13_000, 26_000, 39_000, 52_000, 65_535].every((key) =>
      this.notes.some((target) => target.holdsKey(key)),
    )
  }

  /** The operator writes a new version of the configuration with these tenants. */
  replaceTenants(tenants: readonly TenantDocument[]): void {
    this.#configuration = { ...this.#configuration, version: this.#configuration.version + 1, tenants }
    this.store.store.write(storeTables.operator, configurationKey, configurationOf(this.#configuration))
  }

  /** Starts a new process with the settings and ports of one that has ended, and returns it. */
  restart(host: GatewayProcess): GatewayProcess {
    const started = new GatewayProcess(host.options)
    this.hosts[this.hosts.indexOf(host)] = started
    this.processes.push(started)
    return started
  }

  /** Resolves when the condition holds; rejects when it does not hold within `conditionTimeoutMs`. */
  async waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
    const endMs = performance.now() + conditionTimeoutMs
    while (!(await condition())) {
      if (performance.now() > endMs) {
        throw new Error(`cluster.waitFor: the condition did not hold in time\n${this.#describe()}`)
      }
      await new Promise((resolve) => setTimeout(resolve, 50))
    }
  }

  /** The last output lines of each process, for the error that says that a condition did not hold. */
  #describe(): string {
    return this.hosts
      .map(({ options, isRunning, outputLines }) =>
        [`${options.name}: ${isRunning ? 'running' : 'ended'}`, ...outputLines.slice(-maxQuotedLines)].join(
          '\n  ',
        ),
      )
      .join('\n')
  }

  async stop(): Promise<void> {
    clearInterval(this.#heartbeat)
    for (const host of this.hosts) {
      host.signal('SIGCONT')
      host.signal('SIGKILL')
    }
    await Promise.all(this.hosts.map(({ exited }) => exited))
    for (const target of this.targets) target.close()
    this.store.close()
    rmSync(this.#folder, { recursive: true })
  }

  /** Writes the entry of each target that is not silent to the store, with a new sequence number. */
  #register(): void {
    this.#sequence += 1
    for (const target of this.targets) {
      if (target.isSilent || target.isDown) continue
      const entry = target.entry(this.#sequence, this.#addresses.get(target))
      this.store.store.write(storeTables.targetRegistry, target.id, entry)
    }
  }

  async #startHost(
    name: string,
    storeAddress: string,
    { memoryMegabytes, maxDescriptors, nodeArguments = [] }: HostOptions,
  ): Promise<void> {
    const ports = await freePorts(4)
    const [port = 0, readyPort = 0, peerPort = 0, metricsPort = 0] = ports
    const settingsPath = join(this.#folder, `${name}.toml`)
    const settings = settingsDocument({
      hostName: name,
      domain: 'a',
      ip: '127.0.0.1',
      callersPort: port,
      readinessPort: readyPort,
      peerPort,
      metricsPort,
      storeAddress,
      heartbeatMs,
      ...(memoryMegabytes === undefined ? {} : { memoryMegabytes }),
      ...(maxDescriptors === undefined ? {} : { maxDescriptors }),
    })
    writeFileSync(settingsPath, settings)
    const started = new GatewayProcess({ name, settingsPath, port, readyPort, ports, nodeArguments })
    this.hosts.push(started)
    this.processes.push(started)
  }
}
