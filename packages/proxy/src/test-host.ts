/** Complete hosts on loopback ports for the tests of this package. */
import { afterEach } from 'node:test'
import {
  Random,
  SilentLogger,
  SystemClock,
  ThrowingInvariantReporter,
  type ServiceSpec,
} from '@pimentotally/core'
import { CallerServer } from './caller-server.js'
import {
  FakeDirectory,
  FakeLedger,
  FakePermits,
  RecordingMetrics,
  ScriptedTarget,
  peer,
  service,
  type TargetScript,
} from './fixtures.js'
import { ForwardServer } from './forward-server.js'
import type { ProxyLimits } from './proxy-limits.js'
import { RequestHandler } from './request-handler.js'

export interface HostOptions {
  readonly domain?: string
  readonly services?: readonly ServiceSpec[]
  readonly targets?: readonly ScriptedTarget[]
  /** Domains with targets; the host's own by default. */
  readonly targetDomains?: readonly string[]
  readonly limits?: Partial<ProxyLimits>
  readonly ledger?: FakeLedger
}

/** One host with its listeners on free loopback ports. */
export class TestHost {
  readonly metrics = new RecordingMetrics()
  readonly permits: FakePermits
  readonly ledger: FakeLedger
  readonly directory: FakeDirectory
  readonly handler: RequestHandler
  readonly server: CallerServer
  readonly forwardServer: ForwardServer
  isPermitUsable = true
  address = ''
  forwardAddress = ''

  constructor({
    domain = 'a',
    services = [service()],
    targets = [],
    targetDomains,
    limits,
    ledger,
  }: HostOptions) {
    this.permits = new FakePermits(() => targets.map(({ address }) => address))
    this.ledger = ledger ?? new FakeLedger()
    const specs = services.flatMap(({ name }) =>
      (targetDomains ?? [domain]).map((targetDomain) => ({
        name: `${name}-${targetDomain}`,
        service: name,
        domain: targetDomain,
        address: '',
      })),
    )
    this.directory = new FakeDirectory(peer(domain), {
      version: 1,
      hash: '',
      deployment: { name: 'test', services, targets: specs, domains: [] },
      operations: { domains: {}, drainingTargets: [] },
    })
    this.handler = new RequestHandler({
      directory: this.directory,
      permits: () => this.permits,
      isUsable: () => this.isPermitUsable,
      ledger: this.ledger,
      clock: new SystemClock(),
      invariants: new ThrowingInvariantReporter(),
      logger: new SilentLogger(),
      metrics: this.metrics,
      peerSecret: 'secret',
      random: new Random(1),
      limits: { cancelGraceMs: 20, cancelTimeoutMs: 2000, ...limits },
    })
    this.server = new CallerServer({ handler: this.handler })
    this.forwardServer = new ForwardServer({ handler: this.handler, acceptedSecrets: ['secret'] })
  }

  async listen(): Promise<this> {
    this.address = await this.server.listen()
    this.forwardAddress = await this.forwardServer.listen()
    return this
  }

  /** Makes another host known to this one. */
  addPeer(other: TestHost): void {
    this.directory.peerList.push({ ...other.directory.self(), forwardAddress: other.forwardAddress })
  }

  async close(): Promise<void> {
    await Promise.all([this.server.drain({ timeoutMs: 0 }), this.forwardServer.drain({ timeoutMs: 0 })])
    this.handler.close()
  }
}

/** Returns functions that start targets and hosts, which are closed after each test of the file. */
export const useTestHosts = (): {
  target: (script: TargetScript) => Promise<ScriptedTarget>
  host: (options: HostOptions) => Promise<TestHost>
} => {
  const hosts: TestHost[] = []
  const targets: ScriptedTarget[] = []
  afterEach(async () => {
    for (const scripted of targets.splice(0)) scripted.close()
    for (const router of hosts.splice(0)) await router.close()
  })
  return {
    target: async (script) => {
      const scripted = await new ScriptedTarget(script).listen()
      targets.push(scripted)
      return scripted
    },
    host: async (options) => {
      const router = await new TestHost(options).listen()
      hosts.push(router)
      return router
    },
  }
}
