/** Calls about a cell to the other hosts of its failure domain. */
import type { Peer, Term } from '@pimentotally/core'
import type { VoteRequest, VoteResponse } from './voter.js'

/** What a peer knows of a cell. */
export interface CellView {
  /** The coordinator with the highest term the peer heard of, and how long ago. */
  readonly coordinator?: { readonly term: Term; readonly hostId: string; readonly heardAgoMs: number }
  /** JSON of the cell record. */
  readonly record?: string
  /** JSON of the newest assignment the peer knows. */
  readonly assignment?: string
}

export abstract class CellPeers {
  /** Resolves to undefined when no response came in time. */
  abstract cellView(peer: Peer, cellId: string): Promise<CellView | undefined>

  /** Resolves to undefined when no response came in time. */
  abstract vote(peer: Peer, request: VoteRequest): Promise<VoteResponse | undefined>
}
