/**
 * The platform's table in virtual time: it can be absent or slow, and can lose responses after a write took
 * effect.
 */
import { TableService, type CallOptions, type Committed, type Row } from '@pimentotally/storage'
import type { PlatformError, PlatformResult, Transaction } from '@pimentotally/storage'
import type { CellRecord, Random } from '@pimentotally/core'
import { Result } from 'true-myth'
import { Assignment, AssignmentItem } from '../assignment.js'
import type { Network, NetworkNode } from './network.js'

export type PlatformMode = 'up' | 'absent' | 'slow' | 'losing'

export class SimulatedPlatform {
  readonly rows = new Map<string, Row>()
  readonly node: NetworkNode
  mode: PlatformMode = 'up'
  reads = 0
  writes = 0
  readonly #network: Network
  readonly #random: Random
  readonly #recordFailure: (message: string) => void

  constructor(node: NetworkNode, network: Network, random: Random, recordFailure: (message: string) => void) {
    this.node = node
    this.#network = network
    this.#random = random
    this.#recordFailure = recordFailure
  }

  table(host: NetworkNode): TableService {
    return new SimulatedTable(this, host)
  }

  async serve<T>(
    host: NetworkNode,
    step: string,
    { timeoutMs = 250 }: CallOptions,
    work: () => PlatformResult<T>,
  ): Promise<PlatformResult<T>> {
    const error: PlatformError = { code: 'unknown', step, message: 'no response' }
    if (this.mode === 'absent') {
      await host.clock.sleep(timeoutMs)
      return Result.err(error)
    }
    if (this.mode === 'slow') await host.clock.sleep(this.#random.float() * 400)
    const losesResponse = this.mode === 'losing' && this.#random.float() < 0.5
    const response = await this.#network.call(host, this.node, timeoutMs, work)
    if (!losesResponse) return response ?? Result.err(error)
    await host.clock.sleep(timeoutMs)
    return Result.err(error)
  }

  transact({ writeId, conditions, puts }: Transaction): PlatformResult<Committed> {
    this.writes += 1
    for (const { key, version } of conditions) {
      const actualVersion = this.rows.get(key)?.version ?? 0
      if (actualVersion === version) continue
      const step = 'table.transact'
      return Result.err({ code: 'conflict', step, message: 'version differs', key, actualVersion })
    }
    const versions: Record<string, number> = {}
    for (const { key, value } of puts) {
      const before = this.rows.get(key)
      this.#checkMonotonic(key, before?.value, value)
      versions[key] = (before?.version ?? 0) + 1
      this.rows.set(key, { key, value, version: versions[key], writeId })
    }
    return Result.ok({ versions })
  }

  /**
   * Checks that writes roll nothing back: epochs of records rise, terms and fences of assignments do not
   * fall.
   */
  #checkMonotonic(key: string, before: string | undefined, after: string): void {
    if (key.startsWith('cell/') && before !== undefined) {
      const epoch = (text: string): number => (JSON.parse(text) as CellRecord).epoch
      if (epoch(after) <= epoch(before))
        this.#recordFailure(`${key}: epoch ${String(epoch(before))} did not rise`)
    }
    if (!key.startsWith('assignment/') || before === undefined) return
    const [old, next] = [Assignment.parse(before), Assignment.parse(after)]
    if (next.term < old.term) this.#recordFailure(`${key}: term ${next.term} stored over ${old.term}`)
    for (const entry of old.assignment.values()) {
      const fence = next.assignment.get(AssignmentItem.id(entry))?.fence
      if (fence !== undefined && fence < entry.fence)
        this.#recordFailure(`${key}: ${AssignmentItem.id(entry)} rolled back`)
    }
  }
}

class SimulatedTable extends TableService {
  readonly #platform: SimulatedPlatform
  readonly #host: NetworkNode

  constructor(platform: SimulatedPlatform, host: NetworkNode) {
    super()
    this.#platform = platform
    this.#host = host
  }

  override read(key: string, options: CallOptions = {}): Promise<PlatformResult<Row | undefined>> {
    return this.#platform.serve(this.#host, 'table.read', options, () => {
      this.#platform.reads += 1
      return Result.ok(this.#platform.rows.get(key))
    })
  }

  override scan(): Promise<PlatformResult<readonly Row[]>> {
    throw new Error('not used')
  }

  override transact(transaction: Transaction, options: CallOptions = {}): Promise<PlatformResult<Committed>> {
    return this.#platform.serve(this.#host, 'table.transact', options, () =>
      this.#platform.transact(transaction),
    )
  }
}
