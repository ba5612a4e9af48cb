/**
 * Transfers of shards between cells. Leaving shards are marked in this cell's record, released by their
 * targets, and then moved to the other cell's record in one transaction. Both records get an epoch above both
 * of their previous epochs, so that the fences of a shard rise across cells. Once a domain is confirmed lost,
 * each remaining cell takes its own share of that domain's shards.
 */
import {
  Configuration,
  DomainState,
  ShardSet,
  domainOfCell,
  type CellRecord,
  type LeavingShards,
} from '@pimentotally/core'
import { cellWeight, fairShares, grantableShards } from './homes.js'
import type { PlatformStep } from './cell-assignment-controller.js'
import { serviceOf, type CoordinatorSettings } from './options.js'
import type { CellRecordRow } from './cell-record-row.js'
import type { Tenure } from './tenure.js'

export interface TransferStepOptions {
  readonly settings: CoordinatorSettings
  readonly tenure: Tenure
  readonly recordRow: CellRecordRow
}

/** A cell whose domain is not `in` hands its shards off in this many parts, spread over `leaveDurationMs`. */
const handOffParts = 5
/** A cell whose domain is `in` hands nothing off while its surplus is within this fraction of its share. */
const surplusTolerance = 0.1

export class TransferStep implements PlatformStep {
  readonly #settings: CoordinatorSettings
  readonly #tenure: Tenure
  readonly #recordRow: CellRecordRow
  #nextHandOffMs = -Infinity
  /** By service, the number of shards that this cell had when its domain's hand-off began. */
  readonly #handOffTotal = new Map<string, number>()
  /** Hand-offs from targets that do not verify grants, for whose shards no permit is outstanding any more. */
  readonly #permitsReturned = new Set<LeavingShards>()

  constructor({ settings, tenure, recordRow }: TransferStepOptions) {
    this.#settings = settings
    this.#tenure = tenure
    this.#recordRow = recordRow
  }

  async step(): Promise<boolean> {
    if (this.#tenure.record.leaving.length > 0) return this.#finishHandOff()
    if (this.#settings.clock.monotonicMs() < this.#nextHandOffMs || !this.#tenure.earlierGrants.haveAllLapsed)
      return false
    return (await this.#takeShardsOfLostDomains()) || this.#beginHandOff()
  }

  /** Moves released shards into the other cell's record. */
  async #finishHandOff(): Promise<boolean> {
    const [leaving] = this.#tenure.record.leaving
    if (leaving === undefined || this.#tenure.validForMs() <= 0) return false
    const { service, toCell } = leaving
    const shardCount = this.#tenure.shardCount(service)
    const shards = ShardSet.fromBase64(shardCount, leaving.shards)
    if (!(await this.#isReleased(leaving, shards))) return false
    const other = await this.#recordRow.readOther(toCell)
    const isUsable = cellWeight(this.#settings.directory.configuration(), toCell, service) > 0
    if (other === undefined || !isUsable) {
      // The shards stay in this cell if the other cell has no usable targets for them any more.
      return isUsable
        ? false
        : this.#recordRow.write((record) => ({ ...withoutLeaving(record, leaving), epoch: record.epoch + 1 }))
    }
    const ownEpoch = this.#tenure.record.epoch
    const epoch = Math.max(ownEpoch, other.record.epoch) + 1
    return this.#recordRow.write(
      (record) =>
        record.epoch === ownEpoch
          ? { ...withoutLeaving(changeHomes(record, service, shardCount, shards, 'remove'), leaving), epoch }
          : undefined,
      [
        {
          cellId: toCell,
          record: { ...changeHomes(other.record, service, shardCount, shards, 'add'), epoch },
          version: other.version,
        },
      ],
    )
  }

  async #isReleased(leaving: LeavingShards, shards: ShardSet): Promise<boolean> {
    const { directory, ledger, clock, leaseMs, lapseMarginMs } = this.#settings
    const service = serviceOf(directory.configuration(), leaving.service)
    if (service?.verifiesGrants !== false) return this.#tenure.isReleased(leaving.service, shards)
    if (this.#permitsReturned.has(leaving)) return true
    const { majorityAt } = this.#tenure.earlierGrants
    const waitedMs = majorityAt === undefined ? 0 : clock.monotonicMs() - majorityAt.monotonicMs
    if (waitedMs < leaseMs + lapseMarginMs + service.requestTimeoutMs) return false
    await ledger.whenNoPermitOutstanding(leaving.service, [...shards], this.#tenure.signal)
    if (!this.#tenure.signal.aborted) this.#permitsReturned.add(leaving)
    return this.#permitsReturned.has(leaving)
  }

  /** Marks a part of this cell's surplus as leaving. */
  async #beginHandOff(): Promise<boolean> {
    const { directory, cellId, leaveDurationMs, returnShardFraction, clock } = this.#settings
    const configuration = directory.configuration()
    const isOut = Configuration.domainState(configuration, domainOfCell(cellId)) !== DomainState.in
    const stepMs = isOut ? leaveDurationMs / (handOffParts + 1) : 1000
    for (const [service, shards] of this.#tenure.grantable) {
      const own = shards.count()
      const { shares, homes } = this.#shares(service)
      if (own === 0 || shares.size === 0) continue
      const share = shares.get(cellId) ?? 0
      const surplus = own - share
      if (!isOut) this.#handOffTotal.delete(service)
      if (surplus <= (isOut ? 0 : share * surplusTolerance)) continue
      const [toCell, deficit] = largestDeficit(shares, homes, cellId)
      if (toCell === undefined || deficit <= 0) continue
      const total = this.#handOffTotal.get(service) ?? own
      if (isOut) this.#handOffTotal.set(service, total)
      const donors = [...homes].filter(([id, count]) => count > (shares.get(id) ?? 0)).length
      const returnRate = ((shares.get(toCell) ?? 0) * returnShardFraction) / Math.max(1, donors)
      const limit = isOut ? Math.ceil(total / handOffParts) : Math.max(1, Math.floor(returnRate))
      const count = Math.min(surplus, deficit, limit)
      // A part that is smaller than the limit leaves room for another destination, so the next follows at
      // once.
      this.#nextHandOffMs = clock.monotonicMs() + (isOut && count < limit ? 0 : stepMs)
      const chosen = ShardSet.of(shards.size, [...shards].slice(-count))
      return this.#recordRow.write((record) => ({
        ...record,
        epoch: record.epoch + 1,
        leaving: [...record.leaving, { service, shards: chosen.toBase64(), toCell }],
      }))
    }
    return false
  }

  /** Takes this cell's share of the shards of cells whose domain was confirmed lost. */
  async #takeShardsOfLostDomains(): Promise<boolean> {
    const { directory, cellId } = this.#settings
    const configuration = directory.configuration()
    const isIn = Configuration.domainState(configuration, domainOfCell(cellId)) === DomainState.in
    const lostCells = directory
      .cells()
      .filter(
        (cell) => Configuration.domainState(configuration, domainOfCell(cell.cellId)) === DomainState.lost,
      )
      .filter(({ record }) => Object.keys(record.homes).length > 0)
    if (!isIn) return false
    for (const cell of lostCells) {
      for (const [service, entry] of Object.entries(cell.record.homes)) {
        const { shares, homes } = this.#shares(service)
        const deficit = (shares.get(cellId) ?? 0) - (homes.get(cellId) ?? 0)
        if (deficit <= 0 || ShardSet.fromBase64(entry.shardCount, entry.shards).count() === 0) continue
        if (await this.#takeFrom(cell.cellId, service, deficit)) return true
      }
    }
    return false
  }

  async #takeFrom(lostCell: string, service: string, wanted: number): Promise<boolean> {
    const lost = await this.#recordRow.readOther(lostCell)
    const entry = lost?.record.homes[service]
    if (lost === undefined || entry === undefined) return false
    this.#settings.directory.offerCell({ cellId: lostCell, record: lost.record })
    const homes = ShardSet.fromBase64(entry.shardCount, entry.shards)
    const shards = ShardSet.of(entry.shardCount, [...homes].slice(0, wanted))
    if (shards.count() === 0) return false
    const ownEpoch = this.#tenure.record.epoch
    const epoch = Math.max(ownEpoch, lost.record.epoch) + 1
    const rest = {
      ...changeHomes(lost.record, service, entry.shardCount, shards, 'remove'),
      leaving: [],
      epoch,
    }
    return this.#recordRow.write(
      (record) =>
        record.epoch === ownEpoch
          ? { ...changeHomes(record, service, entry.shardCount, shards, 'add'), epoch }
          : undefined,
      [{ cellId: lostCell, record: rest, version: lost.version }],
    )
  }

  /** Fair share and present number of shards of each cell, as far as this host knows the cells' records. */
  #shares(service: string): {
    shares: ReadonlyMap<string, number>
    homes: ReadonlyMap<string, number>
  } {
    const { directory, cellId } = this.#settings
    const configuration = directory.configuration()
    const records = new Map(directory.cells().map((cell) => [cell.cellId, cell.record]))
    records.set(cellId, this.#tenure.record)
    const homes = new Map<string, number>()
    const weights = new Map<string, number>()
    for (const [id, record] of records) {
      const entry = record.homes[service]
      homes.set(id, entry === undefined ? 0 : (grantableShards(record).get(service)?.count() ?? 0))
      weights.set(id, cellWeight(configuration, id, service))
    }
    return { shares: fairShares(this.#tenure.shardCount(service), weights), homes }
  }
}

const largestDeficit = (
  shares: ReadonlyMap<string, number>,
  homes: ReadonlyMap<string, number>,
  except: string,
): [string | undefined, number] => {
  let best: [string | undefined, number] = [undefined, 0]
  for (const [cellId, share] of shares) {
    const deficit = share - (homes.get(cellId) ?? 0)
    if (cellId !== except && deficit > best[1]) best = [cellId, deficit]
  }
  return best
}

const withoutLeaving = (record: CellRecord, leaving: LeavingShards): CellRecord => ({
  ...record,
  leaving: record.leaving.filter(
    (entry) => entry.service !== leaving.service || entry.shards !== leaving.shards,
  ),
})

const changeHomes = (
  record: CellRecord,
  service: string,
  shardCount: number,
  shards: ShardSet,
  change: 'add' | 'remove',
): CellRecord => {
  const present = record.homes[service]
  const set = ShardSet.fromBase64(shardCount, present?.shards ?? new ShardSet(shardCount).toBase64())
  for (const shard of shards) {
    if (change === 'add') set.add(shard)
    else set.delete(shard)
  }
  return { ...record, homes: { ...record.homes, [service]: { shardCount, shards: set.toBase64() } } }
}
