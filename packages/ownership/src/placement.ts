/**
 * Placement of shards on the targets of one service: the fewest moves that bring every target within 10% of
 * its share, gradual correction by measured load, and overrides for the hottest keys.
 */

export interface PlacementTarget {
  readonly name: string
  /** 0 for a target that must give up its shards. */
  readonly weight: number
}

export interface PlacementInput {
  /** The present owner of each shard; undefined for a shard without one. */
  readonly owners: ReadonlyMap<number, string | undefined>
  readonly targets: readonly PlacementTarget[]
  /** Accepted distance from a target's share, as a fraction of it. */
  readonly tolerance?: number
  /** At most this many moves between usable targets; shards without a usable owner always move. */
  readonly maxMoves?: number
}

/** The new owner of each shard that moves. */
export type PlacementPlan = ReadonlyMap<number, string>

/** A target's shards, its fair share, and the lowest and highest accepted number of shards. */
interface TargetShards {
  readonly name: string
  readonly shards: number[]
  readonly share: number
  readonly low: number
  readonly high: number
}

/** Plans the fewest moves. Without a target of positive weight nothing is planned. */
export const planPlacement = ({
  owners,
  targets,
  tolerance = 0.1,
  maxMoves = Infinity,
}: PlacementInput): PlacementPlan => {
  const plan = new Map<number, string>()
  const byTarget = newTargetShards(owners, targets, tolerance)
  if (byTarget.size === 0) return plan
  const all = [...byTarget.values()]
  const unowned: number[] = []
  for (const [shard, owner] of owners) {
    const load = owner === undefined ? undefined : byTarget.get(owner)
    if (load === undefined) unowned.push(shard)
    else load.shards.push(shard)
  }
  const assign = (shard: number, load: TargetShards): void => {
    load.shards.push(shard)
    plan.set(shard, load.name)
  }
  const furthestBelowShare = (): TargetShards =>
    all.reduce((best, load) => (relativeDeficit(load) > relativeDeficit(best) ? load : best))
  const furthestAboveShare = (): TargetShards =>
    all.reduce((best, load) => (relativeDeficit(load) < relativeDeficit(best) ? load : best))
  for (const shard of unowned) assign(shard, furthestBelowShare())
  for (let moves = 0; moves < maxMoves; moves += 1) {
    const to = furthestBelowShare()
    const from = furthestAboveShare()
    const unbalanced = from.shards.length > from.high || to.shards.length < to.low
    if (!unbalanced || from === to) break
    const shard = from.shards.pop()
    if (shard === undefined) break
    assign(shard, to)
  }
  return plan
}

/**
 * How far a target is below its share, relative to the share, so that targets of different weight compare.
 */
const relativeDeficit = ({ shards, share }: TargetShards): number =>
  (share - shards.length) / Math.max(share, 1)

const newTargetShards = (
  owners: PlacementInput['owners'],
  targets: readonly PlacementTarget[],
  tolerance: number,
): Map<string, TargetShards> => {
  const usable = targets.filter(({ weight }) => weight > 0)
  const total = usable.reduce((sum, { weight }) => sum + weight, 0)
  return new Map(
    usable.map(({ name, weight }) => {
      const share = (owners.size * weight) / total
      return [
        name,
        {
          name,
          shards: [],
          share,
          low: Math.min(Math.floor(share), Math.ceil(share * (1 - tolerance))),
          high: Math.max(Math.ceil(share), Math.floor(share * (1 + tolerance))),
        },
      ]
    }),
  )
}

export interface LoadCorrectionInput extends PlacementInput {
  /** Requests by shard over the measured time. */
  readonly load: ReadonlyMap<number, number>
  /** Fraction of the shards that may move. */
  readonly maxFraction?: number
}

/**
 * Moves single shards from the most to the least loaded target while that narrows their difference and keeps
 * both within the accepted shard counts, so that `planPlacement` does not undo it.
 */
export const planLoadCorrection = ({
  owners,
  targets,
  load,
  tolerance = 0.1,
  maxFraction = 0.02,
}: LoadCorrectionInput): PlacementPlan => {
  const plan = new Map<number, string>()
  const byTarget = newTargetShards(owners, targets, tolerance)
  const requests = new Map([...byTarget.keys()].map((name) => [name, 0]))
  for (const [shard, owner] of owners) {
    const entry = owner === undefined ? undefined : byTarget.get(owner)
    if (entry === undefined) return plan
    entry.shards.push(shard)
    requests.set(entry.name, (requests.get(entry.name) ?? 0) + (load.get(shard) ?? 0))
  }
  const perShare = ({ name, share }: TargetShards): number => (requests.get(name) ?? 0) / Math.max(share, 1)
  const maxMoves = Math.floor(owners.size * maxFraction)
  for (let moves = 0; moves < maxMoves; moves += 1) {
    const sorted = [...byTarget.values()].sort((left, right) => perShare(right) - perShare(left))
    const from = sorted[0]
    const to = sorted.at(-1)
    if (from === undefined || to === undefined || from === to) break
    if (from.shards.length <= from.low || to.shards.length >= to.high) break
    const gap = (requests.get(from.name) ?? 0) - (requests.get(to.name) ?? 0)
    // A shard with half the difference makes both equal; a larger one would only reverse the difference.
    const shard = from.shards
      .filter((candidate) => (load.get(candidate) ?? 0) > 0 && (load.get(candidate) ?? 0) <= gap / 2)
      .reduce<number | undefined>(
        (best, candidate) =>
          best === undefined || (load.get(candidate) ?? 0) > (load.get(best) ?? 0) ? candidate : best,
        undefined,
      )
    if (shard === undefined) break
    const moved = load.get(shard) ?? 0
    from.shards.splice(from.shards.indexOf(shard), 1)
    to.shards.push(shard)
    plan.set(shard, to.name)
    requests.set(from.name, (requests.get(from.name) ?? 0) - moved)
    requests.set(to.name, (requests.get(to.name) ?? 0) + moved)
  }
  return plan
}

export interface HotKey {
  readonly keyHash: string
  readonly shard: number
  readonly count: number
}

export interface HotKeyInput {
  /** Hottest keys with their present owners. */
  readonly hot: readonly (HotKey & { readonly target: string })[]
  /** Requests by target over the same time. */
  readonly requests: ReadonlyMap<string, number>
  readonly targets: readonly PlacementTarget[]
  /** A target is relieved when its load is above the mean by this fraction. */
  readonly excess?: number
  /** At most this many keys get a new owner. */
  readonly maxMoves?: number
}

/** New owner by key hash: moves hot keys off overloaded targets while that narrows the difference. */
export const planHotKeys = ({
  hot,
  requests,
  targets,
  excess = 0.25,
  maxMoves = 8,
}: HotKeyInput): ReadonlyMap<string, string> => {
  const plan = new Map<string, string>()
  const usable = targets.filter(({ weight }) => weight > 0)
  const weights = usable.reduce((sum, { weight }) => sum + weight, 0)
  const load = new Map(usable.map(({ name }) => [name, requests.get(name) ?? 0]))
  const total = [...load.values()].reduce((sum, count) => sum + count, 0)
  const mean = ({ weight }: PlacementTarget): number => (total * weight) / weights
  for (const { keyHash, target, count } of [...hot].sort((left, right) => right.count - left.count)) {
    if (plan.size >= maxMoves) break
    const from = usable.find(({ name }) => name === target)
    const to = usable.reduce<PlacementTarget | undefined>(
      (best, candidate) =>
        best === undefined ||
        (load.get(candidate.name) ?? 0) / candidate.weight < (load.get(best.name) ?? 0) / best.weight
          ? candidate
          : best,
      undefined,
    )
    if (from === undefined || to === undefined || from === to) continue
    const fromLoad = load.get(from.name) ?? 0
    const toLoad = load.get(to.name) ?? 0
    if (fromLoad <= mean(from) * (1 + excess) || toLoad + count >= fromLoad) continue
    plan.set(keyHash, to.name)
    load.set(from.name, fromLoad - count)
    load.set(to.name, toLoad + count)
  }
  return plan
}
