/** A small deployment of processes for one test, on ports that no other test run on this machine uses. */
import { createServer, type Server } from 'node:net'
import type { TestContext } from 'node:test'
import { callHost, type CallerRequest, type CallResult } from './caller.js'
import { Cluster, type ClusterHost, type ClusterOptions, type ClusterTarget } from './cluster.js'

/** First port of the first block. */
const firstPort = 23_000
const portsPerBlock = 100
const blockCount = 90

const bind = (port: number): Promise<Server | undefined> =>
  new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => {
      resolve(undefined)
    })
    server.listen(port, '127.0.0.1', () => {
      resolve(server)
    })
  })

/**
 * Reserves a block of ports. Test files run in parallel, so each keeps the last port of its block bound while it uses
 * the block.
 */
const reservePorts = async (): Promise<{ basePort: number; lock: Server }> => {
  for (let block = 0; block < blockCount; block += 1) {
    const basePort = firstPort + block * portsPerBlock
    const lock = await bind(basePort + portsPerBlock - 1)
    if (lock !== undefined) return { basePort, lock }
  }
  throw new Error('all blocks of ports are in use')
}

export interface TestClusterOptions extends Partial<
  Pick<ClusterOptions, 'targetArgs' | 'targetPortFor' | 'platformAddressFor'>
> {
  readonly hosts?: number
  readonly noteTargets?: number
  readonly depositTargets?: number
  /** Runs before the deployment starts, for example to start forwarders on its ports. */
  readonly beforeStart?: (basePort: number) => Promise<void>
}

/** Offsets in the block of ports: the platform, the first target of each service, and free ports for forwarders. */
export const portOffset = { platform: 0, notes: 60, deposits: 80, free: 90 } as const

const documentOf = (
  { noteTargets = 3, depositTargets = 1 }: TestClusterOptions,
  basePort: number,
): string => {
  const target = (name: string, service: string, port: number): string =>
    `[[targets]]\nname = "${name}"\nservice = "${service}"\ndomain = "jb"\naddress = "127.0.0.1:${String(port)}"\n`
  return [
    'name = "test"\n[[domains]]\nname = "jb"\nregion = "my"\n',
    '[[services]]\nname = "notes"\npathPrefix = "/notes/"\nverifiesGrants = true\nslots = 4\nconnections = 60\n',
    'requestTimeoutMs = 3000\n[services.keyed]\nshardCount = 64\npathSegment = 0\n',
    '[[services]]\nname = "deposits"\npathPrefix = "/deposits/"\nslots = 4\nconnections = 60\n',
    'idempotentMethods = ["GET"]\nidempotencyKey = "required"\nrequestTimeoutMs = 5000\n',
    ...Array.from({ length: noteTargets }, (_, index) =>
      target(`notes-${String(index + 1)}`, 'notes', basePort + portOffset.notes + index),
    ),
    ...Array.from({ length: depositTargets }, (_, index) =>
      target(`deposits-${String(index + 1)}`, 'deposits', basePort + portOffset.deposits + index),
    ),
  ].join('\n')
}

export class TestCluster extends Cluster {
  /**
   * Starts a deployment with one failure domain, applies its file, and waits until all hosts serve. The deployment is
   * stopped when the test ends.
   */
  static async start(context: TestContext, options: TestClusterOptions = {}): Promise<TestCluster> {
    const { basePort, lock } = await reservePorts()
    const cluster = new TestCluster({
      document: documentOf(options, basePort),
      hostsPerDomain: options.hosts ?? 3,
      basePort,
      ...options,
    })
    context.after(async () => {
      await cluster.stop()
      lock.close()
    })
    await options.beforeStart?.(basePort)
    await cluster.start()
    await cluster.apply()
    await cluster.waitFor('service on all hosts', () => cluster.isServing(1), 30_000)
    return cluster
  }

  call(host: ClusterHost, path: string, request: Partial<CallerRequest> = {}): Promise<CallResult> {
    return callHost({ address: host.addresses.callers, path, ...request })
  }

  /** Sends a deposit with the idempotency key `key` through `host`. */
  deposit(host: ClusterHost, key: string, path = '/deposits/1'): Promise<CallResult> {
    return this.call(host, path, {
      method: 'POST',
      headers: { 'idempotency-key': key },
      body: '{"amount":1}',
    })
  }

  /** Waits until a target answers a request for every one of `keys` through `host` with 200. */
  async waitForKeys(host: ClusterHost, keys: readonly string[], timeoutMs = 20_000): Promise<void> {
    await this.waitFor(
      `service of ${String(keys.length)} keys through ${host.name}`,
      async () => {
        const seen = await Promise.all(keys.map((key) => this.call(host, `/notes/${key}/probe`)))
        return seen.every((one) => one.kind === 'answer' && one.status === 200)
      },
      timeoutMs,
    )
  }

  targetsOf(service: string): readonly ClusterTarget[] {
    return this.targets.filter(({ spec }) => spec.service === service)
  }

  /** Keys that a target went on serving after another target had begun to serve them, each with the target's name. */
  async keysServedByTwoTargets(): Promise<string[]> {
    const spans = await Promise.all(
      this.targets
        .filter(({ child }) => child.isRunning)
        .map(async (target) =>
          Object.entries((await this.record(target)).fences).flatMap(([key, seen]) =>
            seen.map(({ firstMs, lastMs }) => ({ key, name: target.spec.name, firstMs, lastMs })),
          ),
        ),
    )
    if (spans.flat().length === 0) throw new Error('no running target has recorded a request with a key')
    return spans
      .flat()
      .filter((one, _, all) =>
        all.some(
          (other) =>
            other.key === one.key &&
            other.name !== one.name &&
            one.firstMs <= other.firstMs &&
            other.firstMs < one.lastMs,
        ),
      )
      .map(({ key, name }) => `${key} at ${name}`)
  }

  /** How often the request with this identity ran, summed over all targets that still run. */
  async runsOf(identity: string): Promise<number> {
    const records = await Promise.all(
      this.targets.filter(({ child }) => child.isRunning).map((target) => this.record(target)),
    )
    return records.reduce((sum, { runs }) => sum + (runs[identity] ?? 0), 0)
  }
}
