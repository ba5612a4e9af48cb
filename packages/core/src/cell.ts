/**
 * Cells: a cell is a group of targets in one failure domain, together with the shards that have this cell as
 * their home. Each cell has its own coordinator, which grants these shards to the targets.
 */
import { ShardSet } from './shard.js'

export const VoterKind = { target: 'target', host: 'host' } as const
export type VoterKind = (typeof VoterKind)[keyof typeof VoterKind]

/**
 * The voters that elect the coordinator of a cell: targets or hosts, identified by their names. Hosts are not
 * identified by host id, as that changes at each start and the set must stay valid when all hosts are
 * restarted.
 */
export interface VoterSet {
  readonly kind: VoterKind
  readonly ids: readonly string[]
}

/** Shards of one service that are being moved to another cell. */
export interface LeavingShards {
  readonly service: string
  /** Base64 bitmap. */
  readonly shards: string
  readonly toCell: string
}

/**
 * The state of a cell, stored on the platform in the row `cell/{cellId}`. It is changed only by
 * compare-and-set, and each change raises the epoch.
 */
export interface CellRecord {
  readonly epoch: number
  readonly voters: VoterSet
  /** Present while the voters are being replaced: a majority of these is then needed in addition. */
  readonly previousVoters?: VoterSet
  /** By service: the shard count, and the shards whose home is this cell as a Base64 bitmap. */
  readonly homes: Readonly<Record<string, { readonly shardCount: number; readonly shards: string }>>
  readonly leaving: readonly LeavingShards[]
}

export const CellRecord = {
  /** Key of the platform row that stores the record of a cell. */
  rowKey: (cellId: string): string => `cell/${cellId}`,

  /** The shards of a service whose home is the cell; undefined when the record lacks the service. */
  homes: (record: CellRecord, service: string): ShardSet | undefined => {
    const entry = record.homes[service]
    return entry === undefined ? undefined : ShardSet.fromBase64(entry.shardCount, entry.shards)
  },
}

/** The failure domain of a cell: the part of its id before the first slash. */
export const domainOfCell = (cellId: string): string => cellId.split('/', 1)[0] ?? cellId
