/**
 * Cells of hosts and targets in virtual time, with checks of owners and fences on the grants that targets
 * received.
 */
import {
  PermitLedger,
  Random,
  SilentLogger,
  ThrowingInvariantReporter,
  type Configuration,
  type DomainState,
  type TargetSpec,
} from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { CellStore } from '../cell-store.js'
import { CellCoordinator } from '../coordinator.js'
import { TargetGrantClient, type GrantRequest, type GrantResponse, type ProbeResponse } from '../grant.js'
import { GrantHolder } from '../grant-holder.js'
import type { CellCoordinatorOptions } from '../options.js'
import { HostVoterState } from '../voter.js'
import { SimulatedDirectory, SimulatedPeers } from './directory.js'
import { Network, type NetworkNode } from './network.js'
import { SimulatedPlatform } from './platform.js'

export const service = 'notes'
/** A key of shard 0 that the simulated ledgers report as hot in some of their reports. */
export const hotKey = 'abcdef0123456789'

export interface CellSimulationOptions {
  readonly seed: number
  /** Cell ids; each cell is a failure domain of this name. */
  readonly cells?: readonly string[]
  /** Hosts in each cell. */
  readonly hosts?: number
  /** Targets in each cell. */
  readonly targets?: number
  readonly shards?: number
  readonly hotKeys?: boolean
  readonly verifies?: boolean
  readonly settings?: Partial<CellCoordinatorOptions>
}

export class CellSimulation {
  readonly time = new VirtualTime()
  readonly random: Random
  readonly network: Network
  readonly platform: SimulatedPlatform
  readonly hosts: SimulatedCellHost[] = []
  readonly targets: SimulatedCellTarget[] = []
  readonly options: Required<CellSimulationOptions>
  readonly failures: string[] = []
  configuration: Configuration
  nextSequence = 1
  readonly #highestFences = new Map<string, { fence: string; target: string }>()
  readonly #unservedSince = new Map<string, number>()
  /** Longest time that any shard was without service since the last reset. */
  longestGapMs = 0

  constructor(options: CellSimulationOptions) {
    const defaults = {
      cells: ['a'],
      hosts: 3,
      targets: 5,
      shards: 24,
      hotKeys: false,
      verifies: true,
      settings: {},
    }
    this.options = { ...defaults, ...options }
    this.random = new Random(options.seed)
    this.network = new Network(this.time, this.random)
    const node: NetworkNode = { name: 'platform', clock: this.time.clock(), isUp: true }
    this.platform = new SimulatedPlatform(node, this.network, this.random, (message) => {
      this.recordFailure(message)
    })
    this.configuration = this.#configuration()
    for (const { name, domain } of this.configuration.deployment.targets) {
      this.targets.push(new SimulatedCellTarget(this, name, domain))
    }
    for (const domain of this.options.cells) {
      for (let index = 0; index < this.options.hosts; index += 1) {
        this.hosts.push(new SimulatedCellHost(this, `${domain}-h${String(index)}`, domain))
      }
    }
    for (const host of this.hosts) host.start()
  }

  recordFailure(message: string): void {
    this.failures.push(`${this.time.nowMs().toFixed(1)} ms: ${message}`)
  }

  /** Advances virtual time in steps, and checks after each step which shards are served. */
  async advance(durationMs: number, stepMs = 25): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += stepMs) {
      await this.time.advance(Math.min(stepMs, durationMs - passed))
      this.checkService()
    }
  }

  leader(cellId: string): SimulatedCellHost | undefined {
    return this.hosts
      .filter(({ isUp, clock, domain }) => isUp && !clock.paused && domain === cellId)
      .filter(({ coordinator }) => coordinator?.term() !== undefined)
      .sort((left, right) =>
        (left.coordinator?.term() ?? '') > (right.coordinator?.term() ?? '') ? -1 : 1,
      )[0]
  }

  isServed(shard: number): boolean {
    return this.options.cells.some((cellId) => {
      const coordinator = this.leader(cellId)?.coordinator
      const owner = coordinator?.owner(service, shard, 'other')
      const target = this.targets.find(({ name }) => name === owner?.target)
      if (owner === undefined || target === undefined || !target.isUp || target.clock.paused) return false
      if (!this.options.verifies) return true
      const term = coordinator?.term() ?? ''
      const request = { service, shard, keyHash: 'other', fence: owner.fence, term }
      return target.holder.check(request) === 'ok'
    })
  }

  checkService(): void {
    const nowMs = this.time.nowMs()
    for (let shard = 0; shard < this.options.shards; shard += 1) {
      const id = String(shard)
      if (!this.options.verifies) this.#checkCoordinators(shard)
      if (this.isServed(shard)) this.#unservedSince.delete(id)
      else {
        const since = this.#unservedSince.get(id) ?? nowMs
        this.#unservedSince.set(id, since)
        this.longestGapMs = Math.max(this.longestGapMs, nowMs - since)
      }
    }
  }

  /** Without verifying targets, all coordinators whose term is valid must name the same owner. */
  #checkCoordinators(shard: number): void {
    const owners = this.hosts
      .filter(({ isUp, clock }) => isUp && !clock.paused)
      .flatMap(({ coordinator }) => coordinator?.owner(service, shard, 'other')?.target ?? [])
    if (new Set(owners).size > 1) this.recordFailure(`${String(shard)} owned by ${owners.join(' and ')}`)
  }

  /** Shards without service for longer than a move takes. */
  unservedShards(moveMs = 100): number[] {
    const nowMs = this.time.nowMs()
    return [...this.#unservedSince].filter(([, since]) => nowMs - since > moveMs).map(([id]) => Number(id))
  }

  resetLongestGap(): void {
    this.longestGapMs = 0
  }

  /**
   * Called after each message that may have granted items to `changed`. Records a failure if the fence of an
   * item fell, if two targets got the same fence, or if another target holds the item too.
   */
  checkOwners(changed: SimulatedCellTarget): void {
    if (!changed.holder.hasLease()) return
    const keys = [...Array(this.options.shards).keys()].map((shard) => ({ shard, key: 'other' }))
    for (const { shard, key } of [...keys, { shard: 0, key: hotKey }]) {
      const fence = changed.holder.heldFence(service, shard, key)
      if (fence === undefined) continue
      const id = `${String(shard)}/${key}`
      const last = this.#highestFences.get(id)
      if (
        last !== undefined &&
        (fence < last.fence || (fence === last.fence && last.target !== changed.name))
      ) {
        this.recordFailure(
          `fence of ${id} fell from ${last.fence} (${last.target}) to ${fence} (${changed.name})`,
        )
      }
      this.#highestFences.set(id, { fence, target: changed.name })
      for (const other of this.targets) {
        if (other === changed || !other.isUp || !other.holder.hasLease()) continue
        const held = other.holder.heldFence(service, shard, key)
        if (held !== undefined)
          this.recordFailure(`${id} owned by ${changed.name} (${fence}) and ${other.name} (${held})`)
      }
    }
  }

  setDomain(domain: string, state: DomainState): void {
    this.#configure({ domains: { ...this.configuration.operations.domains, [domain]: state } })
  }

  setDraining(drainingTargets: readonly string[]): void {
    this.#configure({ drainingTargets })
  }

  addTarget(name: string, domain: string): void {
    const spec: TargetSpec = { name, service, domain, address: '127.0.0.1:1' }
    this.targets.push(new SimulatedCellTarget(this, name, domain))
    this.#setTargets([...this.configuration.deployment.targets, spec])
  }

  removeTarget(name: string): void {
    this.#setTargets(this.configuration.deployment.targets.filter((target) => target.name !== name))
  }

  #setTargets(targets: readonly TargetSpec[]): void {
    const { deployment } = this.configuration
    this.configuration = { ...this.configuration, deployment: { ...deployment, targets } }
    this.#configure({})
  }

  #configure(change: Partial<Configuration['operations']>): void {
    const { version, operations } = this.configuration
    this.configuration = {
      ...this.configuration,
      version: version + 1,
      operations: { ...operations, ...change },
    }
    for (const host of this.hosts) host.directory.notifyConfigurationListeners()
  }

  #configuration(): Configuration {
    const { cells, targets, shards, verifies } = this.options
    const spec = {
      name: service,
      pathPrefix: '/notes',
      keyed: { shardCount: shards, source: { kind: 'header', name: 'key' } as const },
      verifiesGrants: verifies,
      ...{
        slots: 6,
        connections: 120,
        idempotentMethods: [],
        routes: [],
        idempotencyKey: 'optional' as const,
      },
      ...{ requestTimeoutMs: 1000, stallTimeoutMs: 5000, callerStallTimeoutMs: 10_000 },
      ...{ maxRequestBodyBytes: 1000, retryBudget: 0.02, hedgeBudget: 0.03, crashLimit: 2 },
    }
    return {
      version: 1,
      hash: '',
      deployment: {
        name: 'test',
        services: [spec],
        targets: cells.flatMap((domain) =>
          Array.from({ length: targets }, (_, index): TargetSpec => {
            const name = `${domain}-t${String(index)}`
            return { name, service, domain, address: '127.0.0.1:1' }
          }),
        ),
        domains: cells.map((name) => ({ name, region: 'r' })),
      },
      operations: { domains: {}, drainingTargets: [] },
    }
  }
}

export class SimulatedCellTarget implements NetworkNode {
  readonly clock
  readonly #simulation: CellSimulation
  holder: GrantHolder
  isUp = true
  #starts = 0

  constructor(
    simulation: CellSimulation,
    readonly name: string,
    readonly domain: string,
  ) {
    this.#simulation = simulation
    this.clock = simulation.time.clock()
    this.holder = this.#newHolder()
  }

  crash(): void {
    this.isUp = false
  }

  restart(): void {
    this.holder = this.#newHolder()
    this.isUp = true
  }

  handle(request: GrantRequest): GrantResponse {
    const hadLease = this.holder.hasLease()
    const response = this.holder.handle(request)
    if (!hadLease || request.grants !== undefined) this.#simulation.checkOwners(this)
    return response
  }

  #newHolder(): GrantHolder {
    this.#starts += 1
    return new GrantHolder({ clock: this.clock, instanceId: `${this.name}#${String(this.#starts)}` })
  }
}

class SimulatedGrantClient extends TargetGrantClient {
  readonly #simulation: CellSimulation
  readonly #host: SimulatedCellHost
  readonly #target: SimulatedCellTarget

  constructor(simulation: CellSimulation, host: SimulatedCellHost, target: SimulatedCellTarget) {
    super()
    this.#simulation = simulation
    this.#host = host
    this.#target = target
  }

  override send(request: GrantRequest): Promise<GrantResponse | undefined> {
    return this.#simulation.network.call(this.#host, this.#target, 200, () => this.#target.handle(request))
  }

  override probe(): Promise<ProbeResponse | undefined> {
    return this.#simulation.network.call(this.#host, this.#target, 200, () => ({}))
  }
}

class SimulatedLedger extends PermitLedger {
  readonly #simulation: CellSimulation

  constructor(simulation: CellSimulation) {
    super()
    this.#simulation = simulation
  }

  override startTerm(): void {
    return
  }
  override endTerm(): void {
    return
  }
  override targetAnswered(): void {
    return
  }
  override targetLost(): void {
    return
  }
  override whenNoPermitOutstanding(): Promise<void> {
    return Promise.resolve()
  }
  override takeShardLoad(): ReadonlyMap<number, number> {
    return new Map([[0, 100]])
  }
  override takeHotKeys(): readonly { keyHash: string; shard: number; count: number }[] {
    const isHot = this.#simulation.options.hotKeys && this.#simulation.random.float() < 0.6
    return isHot ? [{ keyHash: hotKey, shard: 0, count: 60 }] : []
  }
}

export class SimulatedCellHost implements NetworkNode {
  readonly clock
  readonly #simulation: CellSimulation
  directory: SimulatedDirectory
  votes: HostVoterState
  coordinator: CellCoordinator | undefined
  isUp = true
  sequence = 0
  hostId = ''
  #abort = new AbortController()

  constructor(
    simulation: CellSimulation,
    readonly name: string,
    readonly domain: string,
  ) {
    this.#simulation = simulation
    this.clock = simulation.time.clock()
    this.directory = new SimulatedDirectory(simulation, this)
    this.votes = new HostVoterState(this.clock)
  }

  start(): void {
    const { platform, options, random, nextSequence } = this.#simulation
    const simulation = this.#simulation
    this.isUp = true
    this.sequence = nextSequence
    simulation.nextSequence += 1
    this.hostId = `${this.name}-${String(this.sequence)}`
    this.directory = new SimulatedDirectory(simulation, this)
    this.votes = new HostVoterState(this.clock)
    this.#abort = new AbortController()
    this.coordinator = new CellCoordinator({
      cellId: this.domain,
      clock: this.clock,
      random,
      directory: this.directory,
      store: new CellStore({ table: platform.table(this), clock: this.clock }),
      targetClient: (spec) => {
        const target = simulation.targets.find(({ name }) => name === spec.name)
        if (target === undefined) throw new Error(`no target ${spec.name}`)
        return new SimulatedGrantClient(simulation, this, target)
      },
      peers: new SimulatedPeers(simulation, this),
      ledger: new SimulatedLedger(simulation),
      invariants: new ThrowingInvariantReporter(),
      logger: new SilentLogger(),
      hostSequence: () => this.sequence,
      hostVoterState: this.votes,
      ...options.settings,
    })
    this.coordinator.run(this.#abort.signal).catch((cause: unknown) => {
      simulation.recordFailure(`${this.name}: ${String(cause)}`)
    })
  }

  crash(): void {
    this.isUp = false
    this.#abort.abort()
  }
}
