/** What the operator service asks of the daemon; a host answers only for the cells that it coordinates. */
import type { Configuration } from '@pimentotally/core'
import type { PlatformResult } from '@pimentotally/storage'

export const TargetState = {
  serving: 'serving',
  slowStart: 'slow-start',
  draining: 'draining',
  lost: 'lost',
  unknown: 'unknown',
} as const
export type TargetState = (typeof TargetState)[keyof typeof TargetState]

export interface TargetView {
  readonly name: string
  readonly service: string
  readonly domain: string
  /** IP address and port. */
  readonly address: string
  readonly state: TargetState
  readonly inFlight: number
  readonly slots: number
  /** Slots that slow start allows now. */
  readonly allowedSlots: number
  readonly shards: number
  /** Moving average. */
  readonly latencyMs: number
}

export interface OwnerView {
  /** Empty while the shard has no owner. */
  readonly target: string
  /** Empty while the shard has no owner. */
  readonly fence: string
  /** False while the assignment has not reached the platform. */
  readonly stored: boolean
}

export interface BlockedView {
  readonly identity: string
  readonly service: string
  readonly crashes: number
  /** Wall clock, milliseconds since the Unix epoch. */
  readonly sinceMs: number
}

/** The view of one cell at its coordinator. Methods reject when the coordinator cannot answer. */
export abstract class CellInspector {
  /** Targets of the cell, of one service when given. */
  abstract targets(service?: string): Promise<readonly TargetView[]>

  abstract owner(service: string, shard: number, keyHash: string): Promise<OwnerView>

  abstract blocked(): Promise<readonly BlockedView[]>

  /** False when the identity is not blocked in this cell. */
  abstract release(identity: string): Promise<boolean>
}

/** Finds the coordinators of cells. */
export abstract class CellDirectory {
  /** Ids of all known cells. */
  abstract cells(): readonly string[]

  /** The cell in which a shard is homed, where known. */
  abstract homeCell(service: string, shard: number): string | undefined

  /** Present while this host coordinates the cell. */
  abstract local(cellId: string): CellInspector | undefined

  /** Asks the cell's coordinator (one hop); absent when none is known. */
  abstract remote(cellId: string): CellInspector | undefined
}

/** The first homes of services, which outlive the declaration of a service. */
export abstract class ServiceHomes {
  /** The shard count with which a service's homes were created; undefined when it has none. */
  abstract shardCount(service: string): Promise<PlatformResult<number | undefined>>
}

export interface MemberView {
  readonly hostId: string
  readonly name: string
  readonly domain: string
  readonly peerAddress: string
  readonly leaving: boolean
  /** Since the host itself last confirmed its entry. */
  readonly ageMs: number
}

export interface CellView {
  readonly cellId: string
  readonly term: string
  readonly coordinatorHostId: string
  readonly heardAgoMs: number
  readonly epoch: number
}

export interface HostView {
  readonly hostId: string
  readonly domain: string
  readonly platformReachable: boolean
  readonly ready: boolean
  /** Without this host. */
  readonly members: readonly MemberView[]
  readonly cells: readonly CellView[]
  readonly invariantViolations: number
}

/** The view of this host. */
export abstract class HostInspector {
  /** The configuration in force here. */
  abstract configuration(): Configuration

  abstract status(): HostView
}
