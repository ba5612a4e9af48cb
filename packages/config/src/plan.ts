/** What applying a new deployment would change in the present configuration. */
import { Configuration, DomainState, type Deployment, type Issue, type ServiceSpec } from '@pimentotally/core'
import { isDeepStrictEqual } from 'node:util'

export const ChangeAction = { added: 'added', removed: 'removed', changed: 'changed' } as const
export type ChangeAction = (typeof ChangeAction)[keyof typeof ChangeAction]

export interface PlannedChange {
  readonly action: ChangeAction
  readonly kind: 'service' | 'target' | 'domain'
  readonly name: string
  /** Names of the changed fields; empty unless the action is `changed`. */
  readonly fields: readonly string[]
}

/** Estimated number of shards of a service that move from one home cell to another. */
export interface ShardMove {
  readonly service: string
  readonly fromCell: string
  readonly toCell: string
  readonly shards: number
}

export interface ChangePlan {
  readonly baseVersion: number
  readonly changes: readonly PlannedChange[]
  readonly moves: readonly ShardMove[]
  /** Reasons for which the change must be refused; empty when it is allowed. */
  readonly issues: readonly Issue[]
}

interface Named {
  readonly name: string
}

const difference = <T extends Named>(
  kind: PlannedChange['kind'],
  before: readonly T[],
  after: readonly T[],
): readonly PlannedChange[] => {
  const earlier = new Map(before.map((item) => [item.name, item]))
  const later = new Set(after.map(({ name }) => name))
  const entry = (action: ChangeAction, { name }: Named, fields: readonly string[] = []): PlannedChange => ({
    action,
    kind,
    name,
    fields,
  })
  return [
    ...before.filter(({ name }) => !later.has(name)).map((item) => entry(ChangeAction.removed, item)),
    ...after.flatMap((item) => {
      const old = earlier.get(item.name)
      if (old === undefined) return [entry(ChangeAction.added, item)]
      const fields = [...new Set([...Object.keys(old), ...Object.keys(item)])].filter(
        (field) => !isDeepStrictEqual(old[field as keyof T], item[field as keyof T]),
      )
      return fields.length === 0 ? [] : [entry(ChangeAction.changed, item, fields)]
    }),
  ]
}

/** Refuses the file of another deployment, which would remove all services of the present one. */
const checkDeploymentName = (before: Configuration, after: Deployment): readonly Issue[] => {
  const { name } = before.deployment
  if (before.version === 0 || name === after.name) return []
  const message = `the file is for deployment "${after.name}", but "${name}" is in force`
  return [{ code: 'deployment_name_changed', path: ['name'], message }]
}

/** Refuses changes of the mapping of keys to shards, which is fixed for the lifetime of a service. */
const checkShardMapping = (before: Deployment, after: Deployment): readonly Issue[] =>
  after.services.flatMap((service, index) => {
    const old = before.services.find(({ name }) => name === service.name)
    if (old?.keyed === undefined) return []
    if (service.keyed === undefined) {
      const message = `"${service.name}" is divided by key; remove it and declare a service of another name instead`
      return [{ code: 'keyed_service_unkeyed', path: ['services', index], message }]
    }
    if (service.keyed.shardCount === old.keyed.shardCount) return []
    const message = `the shard count of "${service.name}" is fixed at ${String(old.keyed.shardCount)}`
    return [{ code: 'shard_count_changed', path: ['services', index, 'keyed', 'shardCount'], message }]
  })

/**
 * The number of shards of each cell, in proportion to its slots and rounded by the largest-remainder method.
 * Each failure domain is counted as one cell, under the name of the domain. Empty when no domain with targets
 * of the service is `in`.
 */
const shardsByCell = (
  { deployment, operations }: Pick<Configuration, 'deployment' | 'operations'>,
  service: ServiceSpec,
): ReadonlyMap<string, number> => {
  const slots = new Map<string, number>()
  for (const { service: name, domain } of deployment.targets) {
    if (name !== service.name || (operations.domains[domain] ?? DomainState.in) !== DomainState.in) continue
    slots.set(domain, (slots.get(domain) ?? 0) + service.slots)
  }
  const total = [...slots.values()].reduce((sum, count) => sum + count, 0)
  const shardCount = service.keyed?.shardCount ?? 0
  const exact = [...slots].map(([cell, count]) => ({ cell, share: (shardCount * count) / total }))
  const remaining = shardCount - exact.reduce((sum, { share }) => sum + Math.floor(share), 0)
  return new Map(
    exact
      .sort((a, b) => (b.share % 1) - (a.share % 1) || a.cell.localeCompare(b.cell))
      .map(({ cell, share }, index) => [cell, Math.floor(share) + (index < remaining ? 1 : 0)]),
  )
}

/** The moves, of as few shards as possible, that turn one distribution over cells into the other. */
const movesBetween = (
  service: string,
  before: ReadonlyMap<string, number>,
  after: ReadonlyMap<string, number>,
): ShardMove[] => {
  if (after.size === 0 || before.size === 0) return []
  const cells = [...new Set([...before.keys(), ...after.keys()])].sort()
  const change = new Map(cells.map((cell) => [cell, (after.get(cell) ?? 0) - (before.get(cell) ?? 0)]))
  const moves: ShardMove[] = []
  for (const fromCell of cells) {
    for (const toCell of cells) {
      const shards = Math.min(-(change.get(fromCell) ?? 0), change.get(toCell) ?? 0)
      if (shards <= 0) continue
      change.set(fromCell, (change.get(fromCell) ?? 0) + shards)
      change.set(toCell, (change.get(toCell) ?? 0) - shards)
      moves.push({ service, fromCell, toCell, shards })
    }
  }
  return moves
}

/** Estimates the fewest shard moves between cells that the change from one configuration to another needs. */
export const estimateMoves = (
  before: Pick<Configuration, 'deployment' | 'operations'>,
  after: Pick<Configuration, 'deployment' | 'operations'>,
): readonly ShardMove[] =>
  after.deployment.services.flatMap((service) => {
    const old = before.deployment.services.find(({ name }) => name === service.name)
    if (service.keyed === undefined || old?.keyed?.shardCount !== service.keyed.shardCount) return []
    return movesBetween(service.name, shardsByCell(before, old), shardsByCell(after, service))
  })

/** What applying `after` over `before` would change; the operators' overrides stay in force. */
export const planChanges = (before: Configuration, after: Deployment): ChangePlan => ({
  baseVersion: before.version,
  changes: [
    ...difference('domain', before.deployment.domains, after.domains),
    ...difference('service', before.deployment.services, after.services),
    ...difference('target', before.deployment.targets, after.targets),
  ],
  moves: estimateMoves(before, { deployment: after, operations: before.operations }),
  issues: [...checkDeploymentName(before, after), ...checkShardMapping(before.deployment, after)],
})
