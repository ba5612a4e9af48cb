/** The faults, targets and hosts of the simulation. */
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
import { FakeChannel, FakeDirectory } from './testing-network.js'
import type { PermitSimulation } from './testing-simulation.js'

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

/**
 * A simulated target. It counts successes since its start, so that the checks know how many slots it may use.
 */
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

  /** The number of requests that slow start allows to run at once. */
  allowance(nowMs: number): number {
    if (nowMs - this.startedAtMs >= 30_000) return this.slots
    return Math.min(this.slots, 1 + Math.floor(this.successes / 8))
  }
}

class SimulatedAuthority extends CellAuthority {
  override readonly cellId = 'north'
  held: Term | undefined
  renewedAtMs = 0
  readonly #simulation: PermitSimulation

  constructor(simulation: PermitSimulation) {
    super()
    this.#simulation = simulation
  }

  override term(): Term | undefined {
    return this.validForMs() > 0 ? this.held : undefined
  }

  override validForMs(): number {
    if (this.held === undefined) return 0
    return Math.max(0, this.renewedAtMs + leaseMs - this.#simulation.time.nowMs())
  }

  override owner(_service: string, shard: number): ShardOwner | undefined {
    const target = this.#simulation.owners.get(shard)
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
    readonly simulation: PermitSimulation,
  ) {
    this.clock = simulation.time.clock()
    this.authority = new SimulatedAuthority(simulation)
    this.channel = new FakeChannel(simulation, this)
    const shared = {
      cellId: 'north',
      clock: this.clock,
      random: simulation.random,
      logger: new SilentLogger(),
    }
    this.pool = new PermitPool({
      ...shared,
      authority: this.authority,
      configuration: () => simulation.configuration,
      hosts: () => simulation.knownHosts,
      invariants: new ThrowingInvariantReporter(),
    })
    const { directory, channel, pool } = this
    this.client = new PermitClient({ ...shared, hostId: id, directory, channel, local: pool })
  }
}
