/** The faults, targets and hosts of the model. */
import {
  CellAuthority,
  type Permit,
  type PermitRequest,
  type ShardOwner,
  SilentLogger,
  type Term,
  ThrowingInvariantReporter,
} from '@pimentotally/core'
import type { VirtualClock } from '@pimentotally/core/testing'
import { PermitClient } from './client.js'
import { PermitPool } from './pool.js'
import { FakeChannel, FakeDirectory } from './testing-net.js'
import type { PermitSimulation } from './testing-world.js'

export const FaultKind = {
  pauseHost: 'pause',
  cutStream: 'cut',
  silenceStream: 'silence',
  changeCoordinator: 'change',
  loseHost: 'lose',
  restartTarget: 'restart',
  crasher: 'crasher',
  moveShard: 'move',
} as const
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind]

export interface Fault {
  readonly atMs: number
  readonly kind: FaultKind
  readonly index: number
  readonly durationMs: number
}

export const leaseMs = 900
export const crashingIdentity = 'crasher'

export interface RunningRequest {
  readonly target: SimulatedTarget
  readonly host: SimulatedHost
  readonly permit: Permit
  readonly request: PermitRequest
}

/** Enforces deadlines as targets do, and remembers how many successes its slow start has seen. */
export class SimulatedTarget {
  readonly running = new Set<RunningRequest>()
  instance = 1
  startedAtMs = -60_000
  up = true
  successes = 0

  constructor(
    readonly name: string,
    readonly slots: number,
  ) {}

  allowance(nowMs: number): number {
    if (nowMs - this.startedAtMs >= 30_000) return this.slots
    return Math.min(this.slots, 1 + Math.floor(this.successes / 8))
  }
}

class SimulatedAuthority extends CellAuthority {
  override readonly cellId = 'north'
  held: Term | undefined
  renewedAtMs = 0
  readonly #world: PermitSimulation

  constructor(world: PermitSimulation) {
    super()
    this.#world = world
  }

  override term(): Term | undefined {
    return this.validForMs() > 0 ? this.held : undefined
  }

  override validForMs(): number {
    if (this.held === undefined) return 0
    return Math.max(0, this.renewedAtMs + leaseMs - this.#world.time.nowMs())
  }

  override owner(_service: string, shard: number): ShardOwner | undefined {
    const target = this.#world.owners.get(shard)
    return target === undefined ? undefined : { target, fence: 'f' }
  }
}

export class SimulatedHost {
  readonly clock: VirtualClock
  readonly authority: SimulatedAuthority
  readonly directory = new FakeDirectory()
  readonly channel: FakeChannel
  readonly pool: PermitPool
  readonly client: PermitClient
  lost = false

  constructor(
    readonly id: string,
    readonly world: PermitSimulation,
  ) {
    this.clock = world.time.clock()
    this.authority = new SimulatedAuthority(world)
    this.channel = new FakeChannel(world, this)
    const shared = { cellId: 'north', clock: this.clock, random: world.random, logger: new SilentLogger() }
    this.pool = new PermitPool({
      ...shared,
      authority: this.authority,
      configuration: () => world.configuration,
      hosts: () => world.knownHosts,
      invariants: new ThrowingInvariantReporter(),
    })
    const { directory, channel, pool } = this
    this.client = new PermitClient({ ...shared, hostId: id, directory, channel, local: pool })
  }
}
