/** What a host knows of its peers, of the cells and of their coordinators. */
import type { Configuration } from './deployment.js'
import type { CellRecord } from './cell.js'
import type { Fence, Term } from './term.js'

export interface Peer {
  /** The configured name and a random suffix that is new at every start. */
  readonly hostId: string
  readonly name: string
  readonly domain: string
  readonly region: string
  /** IP address and port of the peer listener. */
  readonly peerAddress: string
  /** IP address and port of the listener for forwarded requests; empty when the host has none. */
  readonly forwardAddress: string
  /** Number reserved on the platform at each start; absent until it is reserved. */
  readonly hostSequence?: number
  /** The host has announced that it is about to stop; it takes part until then. */
  readonly leaving: boolean
}

export interface CoordinatorInfo {
  readonly cellId: string
  readonly term: Term
  readonly hostId: string
  readonly peerAddress: string
  /** The coordinator has given up its term, so a peer may claim the cell without waiting for a timeout. */
  readonly released?: boolean
}

/** What a host knows of a cell; the assignment is known only to hosts in the failure domain of the cell. */
export interface KnownCell {
  readonly cellId: string
  readonly record: CellRecord
  /** Value of the assignment row, as JSON text. */
  readonly assignment?: string
  /** The highest fence in the assignment. */
  readonly assignmentFence?: Fence
}

/** What this host knows of the other hosts and cells, kept up to date by the membership package. */
export abstract class PeerDirectory {
  abstract self(): Peer

  /** The known hosts except this one, or those of one domain; only a sample of other domains is known. */
  abstract peers(domain?: string): readonly Peer[]

  /** The coordinator with the highest known term, and how long ago it or a peer last confirmed that. */
  abstract coordinator(cellId: string): { info: CoordinatorInfo; heardAgoMs: number } | undefined

  /** Tells the other hosts of a new coordinator, or confirms the present one. */
  abstract announce(info: CoordinatorInfo): void

  abstract configuration(): Configuration

  /** Calls back on each newer configuration; returns a function that unsubscribes. */
  abstract onConfiguration(listener: (configuration: Configuration) => void): () => void

  /** The newest known record and assignment of each cell. */
  abstract cells(): readonly KnownCell[]

  /** Adopts a record of a higher epoch or an assignment of a higher fence, and passes it to other hosts. */
  abstract offerCell(cell: KnownCell): void

  /** Calls back when what is known of a cell's coordinator changes; returns a function that unsubscribes. */
  abstract onCoordinator(listener: (info: CoordinatorInfo) => void): () => void
}
