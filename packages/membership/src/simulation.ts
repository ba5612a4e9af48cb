/**
 * Simulates a deployment in one process and in virtual time, for tests of what its hosts learn from each
 * other.
 */
import { randomUUID } from 'node:crypto'
import { InvariantReporter, Random, type Deployment } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { MemoryObjectStore, MemoryTable, RandomFaults } from '@pimentotally/storage'
import { configurationObjectName, currentConfigurationKey, encodeConfiguration } from '@pimentotally/storage'
import { Membership, type MembershipOptions } from './membership.js'
import { SimulatedNetwork } from './simulated-network.js'

export const operations = { domains: {}, drainingTargets: [] }

/** Collects violations instead of throwing: an error thrown inside a gossip task is only logged. */
class CollectingReporter extends InvariantReporter {
  readonly #violations: string[]

  constructor(violations: string[]) {
    super()
    this.#violations = violations
  }

  override violated(invariant: string, details: Readonly<Record<string, unknown>>): void {
    this.#violations.push(`${invariant}: ${JSON.stringify(details)}`)
  }
}

export class MembershipSimulation {
  readonly time = new VirtualTime()
  readonly clock = this.time.clock()
  readonly random: Random
  readonly peerNetwork: SimulatedNetwork
  readonly table: MemoryTable
  readonly objects: MemoryObjectStore
  readonly faults: RandomFaults
  readonly hosts = new Map<string, Membership>()
  readonly domains: readonly string[]
  readonly violations: string[] = []
  #starts = 0

  constructor(seed: number, domainCount: number) {
    this.random = new Random(seed)
    this.faults = new RandomFaults(this.random)
    this.peerNetwork = new SimulatedNetwork({ clock: this.clock, random: this.random })
    this.table = new MemoryTable({ clock: this.clock, faults: this.faults })
    this.objects = new MemoryObjectStore({ clock: this.clock, faults: this.faults })
    this.domains = Array.from({ length: domainCount }, (_, index) => `domain-${String(index)}`)
  }

  get deployment(): Deployment {
    return {
      name: 'test',
      services: [],
      targets: [],
      domains: this.domains.map((name) => ({ name, region: 'r1' })),
    }
  }

  /**
   * Starts a host. Where it runs already, it is stopped and starts again under a new identity. A
   * configuration version that does not rise is added to `violations`.
   */
  start(index: number, options: Partial<MembershipOptions> = {}): Membership {
    const peerAddress = `10.0.0.${String(index)}:7000`
    this.hosts.get(peerAddress)?.stop()
    const host = new Membership({
      name: `host-${String(index)}`,
      domain: this.domains[index % this.domains.length] ?? '',
      region: 'r1',
      peerAddress,
      network: this.peerNetwork.peerNetworkOf(peerAddress),
      invariants: new CollectingReporter(this.violations),
      seeds: ['10.0.0.0:7000', '10.0.0.1:7000', '10.0.0.2:7000'],
      clock: this.clock,
      random: new Random(this.random.integer(2 ** 31)),
      hostId: `host-${String(index)}-${String((this.#starts += 1))}`,
      ...options,
    })
    let highest = 0
    host.onConfiguration(({ version }) => {
      if (version <= highest) this.violations.push(`version ${String(version)} after ${String(highest)}`)
      highest = version
    })
    this.peerNetwork.attach(peerAddress, host)
    this.hosts.set(peerAddress, host)
    host.start()
    return host
  }

  stop(address: string): void {
    this.hosts.get(address)?.stop()
    this.hosts.delete(address)
    this.peerNetwork.detach(address)
  }

  /**
   * Stores the next configuration version as an operator does; the loser of a race leaves the row unchanged.
   */
  async apply(author: string): Promise<void> {
    const row = (await this.table.read(currentConfigurationKey)).unwrapOr(undefined)
    const version = row === undefined ? 1 : (JSON.parse(row.value) as { version: number }).version + 1
    const deployment = { ...this.deployment, name: `by ${author}` }
    const { hash, bytes } = encodeConfiguration({ version, deployment, operations })
    await this.objects.put(configurationObjectName(hash), bytes)
    const writeId = randomUUID()
    await this.table.transact({
      writeId,
      conditions: [{ key: currentConfigurationKey, version: row?.version ?? 0 }],
      puts: [
        { key: currentConfigurationKey, value: JSON.stringify({ version, hash, author, time: 0, writeId }) },
      ],
    })
  }
}
