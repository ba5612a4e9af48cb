/**
 * RPCs between hosts about cells: the client that the coordinator task uses, and the handlers of the server.
 */
import { type ServiceImpl } from '@connectrpc/connect'
import type { Peer, PeerDirectory } from '@pimentotally/core'
import {
  CellPeers,
  type CellView,
  type HostVoterState,
  type VoteRequest,
  type VoteResponse,
} from '@pimentotally/ownership'
import type { PeerClients, PeerService } from '@pimentotally/wire'

/** Time limit of one call to a peer host. */
const callTimeoutMs = 200

export class WireCellPeers extends CellPeers {
  /** Used by nothing else: when a call fails its connection may be dead, so the client is closed. */
  readonly #clients: PeerClients

  constructor(clients: PeerClients) {
    super()
    this.#clients = clients
  }

  override async cellView({ peerAddress }: Peer, cellId: string): Promise<CellView | undefined> {
    try {
      const { coordinator, record } = await this.#clients
        .get(peerAddress)
        .cellView({ cellId }, { timeoutMs: callTimeoutMs })
      return {
        ...(coordinator === undefined ? {} : { coordinator }),
        ...(record === undefined || record.record === '' ? {} : { record: record.record }),
        ...(record === undefined || record.assignment === '' ? {} : { assignment: record.assignment }),
      }
    } catch {
      this.#clients.drop(peerAddress)
      return undefined
    }
  }

  override async vote({ peerAddress }: Peer, request: VoteRequest): Promise<VoteResponse | undefined> {
    try {
      const response = await this.#clients.get(peerAddress).vote(request, { timeoutMs: callTimeoutMs })
      const { accepted, highestTerm, previousTerm, uptimeMs, earlierRenewalAgoMs, hasEarlierRenewal } =
        response
      return {
        accepted,
        highestTerm,
        previousTerm,
        uptimeMs,
        ...(hasEarlierRenewal ? { earlierRenewalAgoMs } : {}),
      }
    } catch {
      this.#clients.drop(peerAddress)
      return undefined
    }
  }
}

export type CellHandlers = Pick<ServiceImpl<typeof PeerService>, 'cellView' | 'vote'>

export const cellHandlers = (directory: PeerDirectory, voterState: HostVoterState): CellHandlers => ({
  cellView: ({ cellId }) => {
    const known = directory.coordinator(cellId)
    const cell = directory.cells().find((candidate) => candidate.cellId === cellId)
    return {
      ...(known === undefined
        ? {}
        : { coordinator: { ...known.info, heardAgoMs: Math.min(0xffffffff, Math.ceil(known.heardAgoMs)) } }),
      ...(cell === undefined
        ? {}
        : {
            record: {
              cellId,
              epoch: cell.record.epoch,
              record: JSON.stringify(cell.record),
              assignment: cell.assignment ?? '',
              assignmentFence: cell.assignmentFence ?? '',
            },
          }),
    }
  },
  vote: (request) => {
    const response = voterState.vote(request)
    return {
      ...response,
      hostId: directory.self().hostId,
      uptimeMs: Math.floor(response.uptimeMs),
      hasEarlierRenewal: response.earlierRenewalAgoMs !== undefined,
      // Rounded down, so that the last renewal is never taken to be older than it is.
      earlierRenewalAgoMs: Math.floor(response.earlierRenewalAgoMs ?? 0),
    }
  },
})
