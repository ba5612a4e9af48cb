/** The home cell of each shard: first homes, fair shares of the cells, and the voters of a cell. */
import {
  Configuration,
  DomainState,
  ShardSet,
  VoterKind,
  domainOfCell,
  type CellRecord,
  type Peer,
  type VoterSet,
} from '@pimentotally/core'
import type { CellStore, HomesRow } from './cell-store.js'
import { serviceOf, targetsOfCell } from './options.js'

/**
 * The voters that a cell should have: its targets that verify grants when there are at least three of them,
 * otherwise the hosts of its domain that are not leaving.
 */
export const wantedVoters = (
  configuration: Configuration,
  cellId: string,
  hosts: readonly Peer[],
): VoterSet => {
  const verifying = targetsOfCell(configuration, cellId).filter(
    ({ service }) => serviceOf(configuration, service)?.verifiesGrants === true,
  )
  if (verifying.length >= 3) return { kind: VoterKind.target, ids: verifying.map(({ name }) => name).sort() }
  const domain = domainOfCell(cellId)
  const ids = hosts.filter((host) => host.domain === domain && !host.leaving).map(({ name }) => name)
  return { kind: VoterKind.host, ids: ids.sort() }
}

/** Slots of a cell's targets of a service that are not draining; 0 for a cell whose domain is not `in`. */
export const cellWeight = (configuration: Configuration, cellId: string, service: string): number => {
  if (Configuration.domainState(configuration, domainOfCell(cellId)) !== DomainState.in) return 0
  const slots = serviceOf(configuration, service)?.slots ?? 0
  const targets = targetsOfCell(configuration, cellId).filter(
    (target) => target.service === service && !Configuration.isDraining(configuration, target.name),
  )
  return targets.length * slots
}

/** Shares of `total` in proportion to the weights, by largest remainder; ties go to the lower cell id. */
export const fairShares = (
  total: number,
  weights: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> => {
  const sum = [...weights.values()].reduce((left, right) => left + right, 0)
  if (sum === 0) return new Map()
  const exact = [...weights]
    .map(([id, weight]) => ({ id, exact: (total * weight) / sum }))
    .sort((left, right) => (left.id < right.id ? -1 : 1))
  const shares = new Map(exact.map((entry) => [entry.id, Math.floor(entry.exact)]))
  let rest = total - [...shares.values()].reduce((left, right) => left + right, 0)
  const byRemainder = [...exact].sort(
    (left, right) => right.exact - Math.floor(right.exact) - (left.exact - Math.floor(left.exact)),
  )
  for (const { id } of byRemainder) {
    if (rest <= 0) break
    shares.set(id, (shares.get(id) ?? 0) + 1)
    rest -= 1
  }
  return shares
}

/**
 * The first homes of a service: its shards, split over the domains' cells. They are stored once and never
 * change.
 */
export const firstHomes = (configuration: Configuration, service: string, shardCount: number): HomesRow => {
  const domains = configuration.deployment.domains.map(({ name }) => name)
  const weights = new Map(domains.map((domain) => [domain, cellWeight(configuration, domain, service)]))
  const cells: Record<string, string> = {}
  let next = 0
  for (const [cellId, share] of fairShares(shardCount, weights)) {
    const shards = Array.from({ length: share }, (_, index) => next + index)
    cells[cellId] = ShardSet.of(shardCount, shards).toBase64()
    next += share
  }
  return { shardCount, cells }
}

/**
 * Reads the first homes of a service, creating the row if it is absent. Undefined when the service is not
 * keyed, the platform does not respond or no cell has usable targets.
 */
export const ensureHomes = async (
  store: CellStore,
  configuration: Configuration,
  service: string,
): Promise<HomesRow | undefined> => {
  const shardCount = serviceOf(configuration, service)?.keyed?.shardCount
  if (shardCount === undefined) return undefined
  const present = await store.readHomes(service)
  if (present.isErr) return undefined
  if (present.value !== undefined) return present.value.value
  const homes = firstHomes(configuration, service, shardCount)
  if (Object.keys(homes.cells).length === 0) return undefined
  await store.createHomes(service, homes)
  // Another host may have created the row first, so the stored row is the one that counts.
  const stored = await store.readHomes(service)
  return stored.isOk ? stored.value?.value : undefined
}

/** Keyed services whose first homes are not yet part of the record. */
export const servicesWithoutHomes = (
  configuration: Configuration,
  record: CellRecord | undefined,
): readonly string[] =>
  configuration.deployment.services
    .filter(({ name, keyed }) => keyed !== undefined && record?.homes[name] === undefined)
    .map(({ name }) => name)

/** The record, extended by those shards of a service whose first home is the cell. */
export const withHomes = (
  record: CellRecord,
  cellId: string,
  service: string,
  { shardCount, cells }: HomesRow,
): CellRecord => ({
  ...record,
  homes: {
    ...record.homes,
    [service]: { shardCount, shards: cells[cellId] ?? new ShardSet(shardCount).toBase64() },
  },
})

/** Reads the cell's record, creating it if it is absent; undefined while the platform does not respond. */
export const ensureRecord = async (
  store: CellStore,
  configuration: Configuration,
  cellId: string,
  hosts: readonly Peer[],
): Promise<CellRecord | undefined> => {
  const present = await store.readRecord(cellId)
  if (present.isErr) return undefined
  if (present.value !== undefined) return present.value.value
  let record: CellRecord = {
    epoch: 1,
    voters: wantedVoters(configuration, cellId, hosts),
    homes: {},
    leaving: [],
  }
  for (const service of servicesWithoutHomes(configuration, record)) {
    const homes = await ensureHomes(store, configuration, service)
    if (homes !== undefined) record = withHomes(record, cellId, service, homes)
  }
  await store.writeRecords([{ cellId, record, version: 0 }])
  const stored = await store.readRecord(cellId)
  return stored.isOk ? stored.value?.value : undefined
}

/** By service, the shards whose home is the cell and that are not leaving it. */
export const grantableShards = (record: CellRecord): Map<string, ShardSet> =>
  new Map(
    Object.entries(record.homes).map(([service, { shardCount, shards }]) => {
      const set = ShardSet.fromBase64(shardCount, shards)
      for (const leaving of record.leaving) {
        if (leaving.service !== service) continue
        for (const shard of ShardSet.fromBase64(shardCount, leaving.shards)) set.delete(shard)
      }
      return [service, set]
    }),
  )
