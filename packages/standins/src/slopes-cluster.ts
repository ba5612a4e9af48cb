/** A cluster of a given size whose daemons report CPU time, memory, and the bytes of each kind of connection. */
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'
import { OperatorService, openClient } from '@pimentotally/wire'
import { Cluster, operatorCredential, type ClusterHost } from './cluster.js'
import { callHttp } from './process.js'
import type { PlatformCounters } from './platform-server.js'
import type { PortBytes, ProbeSample } from './slopes-probe.js'

export interface SlopesClusterOptions {
  readonly domains: number
  readonly hostsPerDomain: number
  readonly targetsPerDomain: number
  readonly shardCount: number
  readonly basePort: number
}

/** Bytes of a daemon by kind of connection; `peers` carry gossip, votes and permit streams. */
export interface ConnectionTraffic {
  readonly peers: PortBytes
  readonly platform: PortBytes
  readonly targets: PortBytes
  readonly callers: PortBytes
}

export interface HostSample extends ProbeSample {
  readonly host: ClusterHost
  readonly traffic: ConnectionTraffic
}

/** Figures of one host between two samples; bytes and CPU time are per second, memory is as at the second sample. */
export interface HostRates {
  readonly host: ClusterHost
  /** Whether the host sent more than 100 bytes/s to targets; while there are no requests, only coordinators do. */
  readonly isCoordinator: boolean
  /** Milliseconds of CPU time per second. */
  readonly cpuMs: number
  readonly rssBytes: number
  readonly heapBytes: number
  readonly traffic: ConnectionTraffic
  /** Bytes per second sent to peers, platform and targets. */
  readonly controlBytesSent: number
  readonly controlBytesReceived: number
}

interface LogLine {
  readonly event?: string
  readonly host?: string
  readonly version?: number
}

/** Distance of the first target's port from the base port, above the ports of the hosts. */
const targetPortOffset = 700

/** Text of the declarative file. Another `revision` changes a timeout, which moves no shards. */
export const slopesDocument = (
  { domains, targetsPerDomain, shardCount, basePort }: SlopesClusterOptions,
  revision = 0,
): string => {
  const names = Array.from({ length: domains }, (_, index) => `d${String(index + 1)}`)
  const targets = names.flatMap((domain, d) =>
    Array.from({ length: targetsPerDomain }, (_, index) => {
      const port = basePort + targetPortOffset + d * targetsPerDomain + index
      return `[[targets]]\nname = "${domain}-t${String(index)}"\nservice = "keys"\ndomain = "${domain}"\naddress = "127.0.0.1:${String(port)}"\n`
    }),
  )
  return [
    'name = "slopes"',
    ...names.map((name) => `[[domains]]\nname = "${name}"\nregion = "r1"\n`),
    '[[services]]\nname = "keys"\npathPrefix = "/keys/"\nverifiesGrants = true\nslots = 6\nconnections = 120',
    'idempotentMethods = ["GET"]\nhedgeBudget = 0.0',
    `requestTimeoutMs = ${String(3000 + revision)}`,
    `[services.keyed]\nshardCount = ${String(shardCount)}\npathSegment = 0\n`,
    ...targets,
  ].join('\n')
}

const noBytes: PortBytes = { sent: 0, received: 0 }
const sumBytes = (all: readonly PortBytes[]): PortBytes =>
  all.reduce((a, b) => ({ sent: a.sent + b.sent, received: a.received + b.received }), noBytes)

export class SlopesCluster {
  readonly cluster: Cluster
  readonly #options: SlopesClusterOptions
  readonly #samples = new Map<number, (sample: ProbeSample) => void>()
  readonly #appliedAtMs = new Map<number, Map<string, number>>()
  #revision = 0

  constructor(options: SlopesClusterOptions) {
    this.#options = options
    this.cluster = new Cluster({
      document: slopesDocument(options),
      hostsPerDomain: options.hostsPerDomain,
      basePort: options.basePort,
      logLevel: 'info',
      onLog: (line) => {
        this.#readLogLine(line)
      },
    })
  }

  /** Starts all processes, applies the file, and waits until every host has taken it and all shards have owners. */
  async start(): Promise<void> {
    // The variable is inherited by the child processes; it has no effect on this process, which runs already.
    process.env.NODE_OPTIONS = `--import=${fileURLToPath(new URL('slopes-probe.js', import.meta.url))}`
    await this.cluster.start()
    await this.apply()
    await this.cluster.waitFor('ownership', () => this.isOwned(), 60_000)
  }

  /** Whether there is a coordinator without ownerless shards for each domain, as the metrics of the hosts say. */
  async isOwned(): Promise<boolean> {
    const texts = await Promise.all(
      this.cluster.hosts
        .filter(({ child }) => child.isRunning)
        .map(({ addresses }) => callHttp(addresses.metrics, '/metrics')),
    )
    const owned = texts.filter(
      (text) =>
        /^pimentotally_coordinator\{[^}]*\} 1$/m.test(text) &&
        /^pimentotally_ownerless_shards\{[^}]*\} 0$/m.test(text),
    )
    return owned.length === this.#options.domains
  }

  /**
   * Applies a new version of the file. Resolves to the milliseconds from the call to the log line with which the last
   * running host says that it has taken the version.
   */
  async apply(): Promise<number> {
    const [first] = this.cluster.hosts
    if (first === undefined) throw new Error('the cluster has no hosts')
    this.#revision += 1
    const { client, close } = openClient(OperatorService, {
      address: first.addresses.operators,
      credential: operatorCredential,
    })
    try {
      const startedAt = performance.now()
      const document = slopesDocument(this.#options, this.#revision)
      const { version } = await client.apply(
        { fileName: 'slopes.toml', document, writeId: crypto.randomUUID() },
        { timeoutMs: 20_000 },
      )
      const running = this.cluster.hosts.filter(({ child }) => child.isRunning).length
      const appliedAtMs = (): Map<string, number> =>
        this.#appliedAtMs.get(version) ?? new Map<string, number>()
      await this.cluster.waitFor(`version ${String(version)}`, () => appliedAtMs().size >= running, 20_000)
      return Math.max(...appliedAtMs().values()) - startedAt
    } finally {
      close()
    }
  }

  async samples(): Promise<HostSample[]> {
    const running = this.cluster.hosts.filter(({ child }) => child.isRunning)
    return Promise.all(running.map((host) => this.#sample(host)))
  }

  /** Measures the rates of every running host over `windowMs`. */
  async measure(windowMs: number): Promise<HostRates[]> {
    const before = await this.samples()
    await sleep(windowMs)
    return this.rates(before, await this.samples())
  }

  rates(before: readonly HostSample[], after: readonly HostSample[]): HostRates[] {
    return after.flatMap((end) => {
      const start = before.find(({ pid }) => pid === end.pid)
      if (start === undefined) return []
      const seconds = (end.atMs - start.atMs) / 1000
      const rate = (kind: keyof ConnectionTraffic): PortBytes => ({
        sent: (end.traffic[kind].sent - start.traffic[kind].sent) / seconds,
        received: (end.traffic[kind].received - start.traffic[kind].received) / seconds,
      })
      const traffic = {
        peers: rate('peers'),
        platform: rate('platform'),
        targets: rate('targets'),
        callers: rate('callers'),
      }
      const control = [traffic.peers, traffic.platform, traffic.targets]
      return {
        host: end.host,
        isCoordinator: traffic.targets.sent > 100,
        cpuMs: (end.cpuUs - start.cpuUs) / 1000 / seconds,
        rssBytes: end.rssBytes,
        heapBytes: end.heapBytes,
        traffic,
        controlBytesSent: sumBytes(control).sent,
        controlBytesReceived: sumBytes(control).received,
      }
    })
  }

  async counters(): Promise<PlatformCounters> {
    return JSON.parse(
      await callHttp(this.cluster.platform.ready.adminAddress, '/counters'),
    ) as PlatformCounters
  }

  async stop(): Promise<void> {
    await this.cluster.stop()
  }

  #readLogLine(text: string): void {
    const atMs = performance.now()
    if (!text.startsWith('{')) return
    const line = JSON.parse(text) as LogLine
    if (line.event === 'slopes_probe') {
      const sample = line as ProbeSample
      this.#samples.get(sample.pid)?.(sample)
    } else if (line.event === 'configuration taken' && line.version !== undefined) {
      const hosts = this.#appliedAtMs.get(line.version) ?? new Map<string, number>()
      hosts.set(line.host ?? '', atMs)
      this.#appliedAtMs.set(line.version, hosts)
    }
  }

  async #sample(host: ClusterHost): Promise<HostSample> {
    const { pid } = host.child
    const sample = await new Promise<ProbeSample>((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(new Error(`${host.name} wrote no sample within 10 s of SIGUSR2`))
      }, 10_000)
      this.#samples.set(pid, (received) => {
        clearTimeout(timer)
        resolve(received)
      })
      host.child.signal('SIGUSR2')
    })
    return { ...sample, host, traffic: this.#trafficOf(host, sample.bytes) }
  }

  #trafficOf(host: ClusterHost, bytes: Record<string, PortBytes>): ConnectionTraffic {
    const { basePort } = this.#options
    const of = (matches: (direction: string, port: number) => boolean): PortBytes =>
      sumBytes(
        Object.entries(bytes)
          .filter(([label]) => {
            const [direction = '', port] = label.split(':')
            return matches(direction, Number(port))
          })
          .map(([, count]) => count),
      )
    const isPeer = (port: number): boolean =>
      this.cluster.hosts.some(({ addresses }) => addresses.peers.endsWith(`:${String(port)}`))
    return {
      peers: of((_, port) => isPeer(port)),
      platform: of((direction, port) => direction === 'out' && port === basePort),
      targets: of((direction, port) => direction === 'out' && port >= basePort + targetPortOffset),
      callers: of(
        (direction, port) => direction === 'in' && host.addresses.callers.endsWith(`:${String(port)}`),
      ),
    }
  }
}
