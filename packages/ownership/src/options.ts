/** Options and default settings of a cell's coordinator. */
import type {
  CellRecord,
  Clock,
  Configuration,
  InvariantReporter,
  Logger,
  PeerDirectory,
  PermitLedger,
  Random,
  ServiceSpec,
  TargetSpec,
} from '@pimentotally/core'
import { domainOfCell } from '@pimentotally/core'
import type { CellStore } from './cell-store.js'
import type { TargetGrantClient } from './grant.js'
import type { CellPeers } from './peers.js'
import type { HostVoterState } from './voter.js'

export interface CellCoordinatorOptions {
  readonly cellId: string
  readonly clock: Clock
  readonly random: Random
  readonly directory: PeerDirectory
  readonly store: CellStore
  /** Called once for each target and tenure; the client is closed when the tenure ends. */
  readonly targetClient: (target: TargetSpec) => TargetGrantClient
  readonly peers: CellPeers
  readonly ledger: PermitLedger
  readonly invariants: InvariantReporter
  readonly logger: Logger
  /** Undefined until a number was reserved on the platform; without one this host never campaigns. */
  readonly hostSequence: () => number | undefined
  /**
   * This host's state as a voter, used where hosts are the voters; the same state serves `PeerService.Vote`.
   */
  readonly hostVoterState?: HostVoterState
  /**
   * Longest lease of a target, and time for which a term stays valid after its last accepted messages were
   * sent.
   */
  readonly leaseMs?: number
  /** Interval between messages to a target or a voter, and between announcements to peers. */
  readonly renewIntervalMs?: number
  /** A host may campaign when neither it nor a peer that responds has heard the coordinator for this time. */
  readonly coordinatorTimeoutMs?: number
  /** A candidate waits this long for each candidate that has a lower host sequence number. */
  readonly rankDelayMs?: number
  /** Upper bound of a random time that a candidate waits in addition. */
  readonly rankJitterMs?: number
  /** Added to each wait for another process's lease to lapse; covers differing clock rates of up to 0.5%. */
  readonly lapseMarginMs?: number
  /** After a failed call the platform is not called for this time. */
  readonly platformRetryMs?: number
  /** Least time between two checks of how evenly the shards are spread over the targets. */
  readonly balanceIntervalMs?: number
  /** Least time between two corrections of the placement by measured load. */
  readonly loadCorrectionIntervalMs?: number
  /** Least time between two decisions about which hot keys are assigned separately from their shards. */
  readonly hotKeyIntervalMs?: number
  /** Interval at which the coordinator reads its cell's record, which other cells may have changed. */
  readonly recordPollIntervalMs?: number
  /** A domain that is taken out has handed off all its shards within this time. */
  readonly leaveDurationMs?: number
  /** Share of its final number of shards that a returning cell gains each second. */
  readonly returnShardFraction?: number
  /** The voters that the configuration asks for must stay the same for this time before they are written. */
  readonly voterSettleMs?: number
}

export const coordinatorDefaults = {
  leaseMs: 900,
  renewIntervalMs: 250,
  coordinatorTimeoutMs: 500,
  /** Longer than a claim takes on a busy host; at 100 ms two survivors claimed the cell in turn. */
  rankDelayMs: 150,
  rankJitterMs: 50,
  lapseMarginMs: 5,
  platformRetryMs: 1000,
  balanceIntervalMs: 1000,
  loadCorrectionIntervalMs: 60_000,
  hotKeyIntervalMs: 30_000,
  recordPollIntervalMs: 5000,
  leaveDurationMs: 3000,
  returnShardFraction: 0.05,
  voterSettleMs: 5000,
} as const

export type CoordinatorSettings = Required<Omit<CellCoordinatorOptions, 'hostVoterState'>> &
  Pick<CellCoordinatorOptions, 'hostVoterState'>

/** The targets of a cell: today all targets of its failure domain. */
export const targetsOfCell = (configuration: Configuration, cellId: string): readonly TargetSpec[] =>
  configuration.deployment.targets.filter(({ domain }) => domain === domainOfCell(cellId))

export const serviceOf = (configuration: Configuration, name: string): ServiceSpec | undefined =>
  configuration.deployment.services.find((service) => service.name === name)

/** A cell record and the row version at which it was read; the version is absent for a record from a peer. */
export interface KnownRecord {
  readonly record: CellRecord
  readonly version?: number
}
