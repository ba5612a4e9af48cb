/** The views of this host, and of the cells it coordinates, that operators can request. */
import {
  CellRecord,
  domainOfCell,
  type Clock,
  type Configuration,
  type KnownCell,
  type PeerDirectory,
} from '@pimentotally/core'
import {
  CellDirectory,
  CellInspector,
  HostInspector,
  RemoteCellInspector,
  TargetState,
  type BlockedView,
  type HostView,
  type OwnerView,
  type TargetView,
} from '@pimentotally/operator'
import { OperatorService, openClient, type ManagedClient } from '@pimentotally/wire'
import type { BlockedRequestStore } from './blocked-request-store.js'
import type { CellHost } from './cell-host.js'

export class LocalCellInspector extends CellInspector {
  readonly #cell: CellHost
  readonly #directory: PeerDirectory
  readonly #blocked: BlockedRequestStore

  constructor(
    cell: CellHost,
    { directory, blocked }: { directory: PeerDirectory; blocked: BlockedRequestStore },
  ) {
    super()
    this.#cell = cell
    this.#directory = directory
    this.#blocked = blocked
  }

  override targets(service?: string): Promise<readonly TargetView[]> {
    const { targets } = this.#directory.configuration().deployment
    const addresses = new Map(targets.map(({ name, address }) => [name, address]))
    const statuses = new Map(this.#cell.status().targets.map((status) => [status.name, status]))
    const views = this.#cell.pool
      .inspect()
      .filter((target) => service === undefined || target.service === service)
      .map((target) => ({
        name: target.target,
        service: target.service,
        domain: domainOfCell(this.#cell.cellId),
        address: addresses.get(target.target) ?? '',
        state: target.draining
          ? TargetState.draining
          : target.lost || statuses.get(target.target)?.state === 'lost'
            ? TargetState.lost
            : target.cold
              ? TargetState.slowStart
              : TargetState.serving,
        inFlight: target.inFlight,
        slots: target.slots,
        allowedSlots: target.allowedSlots,
        shards: statuses.get(target.target)?.shards ?? 0,
        latencyMs: target.latencyMs,
      }))
    return Promise.resolve(views)
  }

  override owner(service: string, shard: number, keyHash: string): Promise<OwnerView> {
    const owner = this.#cell.coordinator.owner(service, shard, keyHash)
    return Promise.resolve({
      target: owner?.target ?? '',
      fence: owner?.fence ?? '',
      stored: this.#cell.status().isStored,
    })
  }

  override blocked(): Promise<readonly BlockedView[]> {
    return Promise.resolve(
      this.#cell.pool
        .blocked()
        .map((entry) => ({ ...entry, sinceMs: this.#blocked.sinceMs(entry.identity) })),
    )
  }

  override async release(identity: string): Promise<boolean> {
    const found = this.#cell.pool.unblock(identity)
    const stored = await this.#blocked.remove(identity)
    return found || stored
  }
}

export interface CellFinderOptions {
  readonly directory: PeerDirectory
  readonly localCells: ReadonlyMap<string, CellHost>
  readonly blocked: BlockedRequestStore
  readonly peerSecret: string
  readonly hostId: string
}

export class CellFinder extends CellDirectory {
  readonly #options: CellFinderOptions
  readonly #clients = new Map<string, ManagedClient<typeof OperatorService>>()

  constructor(options: CellFinderOptions) {
    super()
    this.#options = options
  }

  override cells(): readonly string[] {
    const declared = this.#options.directory.configuration().deployment.domains.map(({ name }) => name)
    return [...new Set([...declared, ...this.#options.directory.cells().map(({ cellId }) => cellId)])]
  }

  override homeCell(service: string, shard: number): string | undefined {
    return this.#options.directory.cells().find((cell) => isHome(cell, service, shard))?.cellId
  }

  override local(cellId: string): CellInspector | undefined {
    const cell = this.#options.localCells.get(cellId)
    return cell?.pool.active === true ? new LocalCellInspector(cell, this.#options) : undefined
  }

  override remote(cellId: string): CellInspector | undefined {
    const { directory, peerSecret, hostId } = this.#options
    const known = directory.coordinator(cellId)
    if (known === undefined || known.info.hostId === hostId) return undefined
    const { peerAddress } = known.info
    let managed = this.#clients.get(peerAddress)
    if (managed === undefined) {
      managed = openClient(OperatorService, { address: peerAddress, credential: peerSecret, hostId })
      this.#clients.set(peerAddress, managed)
    }
    return new RemoteCellInspector({ client: managed.client, cellId })
  }

  close(): void {
    for (const { close } of this.#clients.values()) close()
    this.#clients.clear()
  }
}

const isHome = ({ record }: KnownCell, service: string, shard: number): boolean =>
  CellRecord.homes(record, service)?.has(shard) ?? false

export interface DaemonInspectorOptions {
  readonly directory: PeerDirectory & { ageMs(hostId: string): number }
  readonly clock: Clock
  readonly isPlatformReachable: () => boolean
  readonly isReady: () => boolean
  readonly invariantViolations: () => number
}

export class DaemonInspector extends HostInspector {
  readonly #options: DaemonInspectorOptions

  constructor(options: DaemonInspectorOptions) {
    super()
    this.#options = options
  }

  override configuration(): Configuration {
    return this.#options.directory.configuration()
  }

  override status(): HostView {
    const { directory, isPlatformReachable, isReady, invariantViolations } = this.#options
    const { hostId, domain } = directory.self()
    return {
      hostId,
      domain,
      platformReachable: isPlatformReachable(),
      ready: isReady(),
      members: directory.peers().map((peer) => ({ ...peer, ageMs: directory.ageMs(peer.hostId) })),
      cells: directory.cells().map(({ cellId, record }) => {
        const known = directory.coordinator(cellId)
        return {
          cellId,
          term: known?.info.term ?? '',
          coordinatorHostId: known?.info.hostId ?? '',
          // When no coordinator is known: the largest value of the field, which is a uint32.
          heardAgoMs: known?.heardAgoMs ?? 0xffffffff,
          epoch: record.epoch,
        }
      }),
      invariantViolations: invariantViolations(),
    }
  }
}
