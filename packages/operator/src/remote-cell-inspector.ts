/** Inspects a cell that another host coordinates, by calls to the peer listener of that host. */
import type { Client } from '@connectrpc/connect'
import type { OperatorService } from '@pimentotally/wire'
import { CellInspector, TargetState, type BlockedView, type OwnerView, type TargetView } from './views.js'

export interface RemoteCellInspectorOptions {
  readonly client: Client<typeof OperatorService>
  readonly cellId: string
  readonly timeoutMs?: number
}

export class RemoteCellInspector extends CellInspector {
  readonly #client: Client<typeof OperatorService>
  readonly #cellId: string
  readonly #timeoutMs: number

  constructor({ client, cellId, timeoutMs = 2000 }: RemoteCellInspectorOptions) {
    super()
    this.#client = client
    this.#cellId = cellId
    this.#timeoutMs = timeoutMs
  }

  override async targets(service = ''): Promise<readonly TargetView[]> {
    const { targets } = await this.#client.targets({ service, cellId: this.#cellId }, this.#options())
    return targets.map((target) => ({
      ...target,
      state: Object.values(TargetState).find((state) => state === target.state) ?? TargetState.unknown,
    }))
  }

  override async owner(service: string, shard: number, keyHash: string): Promise<OwnerView> {
    const request = { service, shard, keyHash, cellId: this.#cellId }
    const { target, fence, stored } = await this.#client.owner(request, this.#options())
    return { target, fence, stored }
  }

  override async blocked(): Promise<readonly BlockedView[]> {
    const { entries } = await this.#client.blocked({ cellId: this.#cellId }, this.#options())
    return entries.map(({ since, ...entry }) => ({ ...entry, sinceMs: Date.parse(since) }))
  }

  override async release(identity: string): Promise<boolean> {
    const { found } = await this.#client.unblock({ identity, cellId: this.#cellId }, this.#options())
    return found
  }

  #options(): { readonly timeoutMs: number } {
    return { timeoutMs: this.#timeoutMs }
  }
}
