/**
 * What the daemon provides to the operator service. A host can report only on the cells that it coordinates.
 */
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
  /** Slots that may be used now: fewer than `slots` during slow start. */
  readonly allowedSlots: number
  readonly shards: number
  /** Moving average of the response time. */
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

/** Queries one cell at its coordinator. Methods reject when the coordinator cannot answer the call. */
export abstract class CellInspector {
  /** The targets of the cell; only those of `service` when it is given. */
  abstract targets(service?: string): Promise<readonly TargetView[]>

  abstract owner(service: string, shard: number, keyHash: string): Promise<OwnerView>

  abstract blocked(): Promise<readonly BlockedView[]>

  /** Releases a blocked request; false when the identity is not blocked in this cell. */
  abstract release(identity: string): Promise<boolean>
}

/** Finds the coordinators of cells. */
export abstract class CellDirectory {
  /** Ids of all known cells. */
  abstract cells(): readonly string[]

  /** The home cell of a shard; undefined while it is not known. */
  abstract homeCell(service: string, shard: number): string | undefined

  /** The inspector at this host; undefined unless this host coordinates the cell. */
  abstract local(cellId: string): CellInspector | undefined

  /**
   * An inspector that calls the cell's coordinator at another host; undefined while no coordinator is known.
   */
  abstract remote(cellId: string): CellInspector | undefined
}

/** The homes with which services were created. They stay when a service is no longer declared. */
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
  /** Milliseconds since the host last confirmed its own entry. */
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
  /** All known members but this host. */
  readonly members: readonly MemberView[]
  readonly cells: readonly CellView[]
  readonly invariantViolations: number
}

/** Reports on this host. */
export abstract class HostInspector {
  /** The configuration in force at this host. */
  abstract configuration(): Configuration

  abstract status(): HostView
}
