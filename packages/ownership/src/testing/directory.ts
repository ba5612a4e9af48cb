/**
 * Peers and the directory of a simulated host; both learn of other hosts by messages over the simulated
 * network.
 */
import {
  PeerDirectory,
  type Configuration,
  type CoordinatorInfo,
  type KnownCell,
  type Peer,
} from '@pimentotally/core'
import { CellPeers, type CellView } from '../peers.js'
import type { VoteRequest, VoteResponse } from '../voter.js'
import type { SimulatedCellHost, CellSimulation } from './simulation.js'

export class SimulatedPeers extends CellPeers {
  readonly #simulation: CellSimulation
  readonly #host: SimulatedCellHost

  constructor(simulation: CellSimulation, host: SimulatedCellHost) {
    super()
    this.#simulation = simulation
    this.#host = host
  }

  override cellView(peer: Peer, cellId: string): Promise<CellView | undefined> {
    return this.#call(peer, ({ directory }) => {
      const known = directory.coordinator(cellId)
      const assignment = directory.cells().find((cell) => cell.cellId === cellId)?.assignment
      return {
        ...(known === undefined ? {} : { coordinator: { ...known.info, heardAgoMs: known.heardAgoMs } }),
        ...(assignment === undefined ? {} : { assignment }),
      }
    })
  }

  override vote(peer: Peer, request: VoteRequest): Promise<VoteResponse | undefined> {
    return this.#call(peer, ({ votes }) => votes.vote(request))
  }

  #call<T>(peer: Peer, serve: (host: SimulatedCellHost) => T): Promise<T | undefined> {
    const host = this.#simulation.hosts.find(({ directory }) => directory.self().hostId === peer.hostId)
    if (host === undefined) return Promise.resolve(undefined)
    return this.#simulation.network.call(this.#host, host, 200, () => serve(host))
  }
}

export class SimulatedDirectory extends PeerDirectory {
  readonly #simulation: CellSimulation
  readonly #host: SimulatedCellHost
  readonly #coordinators = new Map<string, { info: CoordinatorInfo; atMs: number }>()
  readonly #cells = new Map<string, KnownCell>()
  readonly #listeners = new Set<(info: CoordinatorInfo) => void>()
  readonly #configListeners = new Set<(configuration: Configuration) => void>()

  constructor(simulation: CellSimulation, host: SimulatedCellHost) {
    super()
    this.#simulation = simulation
    this.#host = host
  }

  override self(): Peer {
    const { name, domain, sequence, hostId } = this.#host
    return {
      hostId,
      name,
      domain,
      region: 'r',
      peerAddress: name,
      forwardAddress: '',
      hostSequence: sequence,
      leaving: false,
    }
  }

  override peers(domain?: string): readonly Peer[] {
    return this.#simulation.hosts
      .filter((host) => host !== this.#host && (domain === undefined || host.domain === domain))
      .map(({ directory }) => directory.self())
  }

  override coordinator(cellId: string): { info: CoordinatorInfo; heardAgoMs: number } | undefined {
    const known = this.#coordinators.get(cellId)
    return known && { info: known.info, heardAgoMs: this.#host.clock.monotonicMs() - known.atMs }
  }

  override announce(info: CoordinatorInfo): void {
    this.receiveAnnouncement(info)
    this.#sendToOthers(1, (other) => {
      other.receiveAnnouncement(info)
    })
  }

  receiveAnnouncement(info: CoordinatorInfo): void {
    const known = this.#coordinators.get(info.cellId)
    if (known !== undefined && known.info.term > info.term) return
    if (known?.info.released === true && known.info.term === info.term) return
    this.#coordinators.set(info.cellId, { info, atMs: this.#host.clock.monotonicMs() })
    if (known?.info.term === info.term && info.released !== true) return
    for (const listener of this.#listeners) listener(info)
  }

  override configuration(): Configuration {
    return this.#simulation.configuration
  }

  override onConfiguration(listener: (configuration: Configuration) => void): () => void {
    this.#configListeners.add(listener)
    return () => this.#configListeners.delete(listener)
  }

  notifyConfigurationListeners(): void {
    for (const listener of this.#configListeners) listener(this.#simulation.configuration)
  }

  override cells(): readonly KnownCell[] {
    return [...this.#cells.values()]
  }

  override offerCell(cell: KnownCell): void {
    this.receiveCell(cell)
    // Gossip delivers a change within one interval.
    this.#sendToOthers(this.#simulation.random.float() * 500, (other) => {
      other.receiveCell(cell)
    })
  }

  receiveCell(cell: KnownCell): void {
    const known = this.#cells.get(cell.cellId)
    const record = known !== undefined && known.record.epoch > cell.record.epoch ? known.record : cell.record
    const newest = (cell.assignmentFence ?? '') >= (known?.assignmentFence ?? '') ? cell : known
    this.#cells.set(cell.cellId, { ...newest, cellId: cell.cellId, record })
  }

  override onCoordinator(listener: (info: CoordinatorInfo) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  #sendToOthers(delayMs: number, deliver: (directory: SimulatedDirectory) => void): void {
    for (const host of this.#simulation.hosts) {
      if (host === this.#host) continue
      this.#host.clock.schedule(delayMs, () => {
        this.#simulation.network.send(this.#host, host, () => {
          deliver(host.directory)
        })
      })
    }
  }
}
