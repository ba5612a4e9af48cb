/**
 * Decides which items (shards and single keys) each target is to hold now. An item is in the set of the
 * target that it is assigned to only when no other target may hold it; until then it is in no target's set.
 */
import { AssignmentItem, type Assignment, type AssignmentEntry } from './assignment.js'
import type { TargetSession, ItemSet } from './session.js'

export interface ItemSetsInput {
  readonly assignment: Assignment
  readonly sessions: Iterable<TargetSession>
  /** True for shards that this cell may grant under the present term. */
  readonly isGrantable: (service: string, shard: number) => boolean
  /**
   * True when an item that the target does not have yet may be sent to it, if no other target may hold it.
   */
  readonly mayGrantItem: (entry: AssignmentEntry, session: TargetSession) => boolean
  /**
   * False while no exclusion may be lifted, because no majority has renewed the term since the last lapse.
   */
  readonly mayLiftExclusions: boolean
  /** Keys that are known only from an exclusion; their owner may be a target that has not responded. */
  readonly unknownKeys: ReadonlyMap<string, AssignmentItem & { readonly fence: string }>
}

type Excluded = AssignmentItem & { readonly fence: string }

/** The set each target is to hold, by target. */
export const planItemSets = ({
  assignment,
  sessions: allSessions,
  isGrantable,
  mayGrantItem,
  mayLiftExclusions,
  unknownKeys,
}: ItemSetsInput): Map<TargetSession, ItemSet> => {
  const sessions = [...allSessions].filter(({ verifies }) => verifies)
  const byName = new Map(sessions.map((session) => [session.name, session]))
  const holders = new Map<string, Set<TargetSession>>()
  const heldKeys = new Map<string, Map<string, Excluded>>()
  const recordHeldKey = (key: Excluded): void => {
    const shardId = AssignmentItem.shardId(key.service, key.shard)
    const keys = heldKeys.get(shardId) ?? new Map<string, Excluded>()
    heldKeys.set(shardId, keys.set(AssignmentItem.id(key), key))
  }
  for (const session of sessions) {
    for (const { items } of session.sets) {
      for (const [id, item] of items) {
        const set = holders.get(id) ?? new Set()
        holders.set(id, set.add(session))
        if (item.keyHash !== undefined) recordHeldKey(item)
      }
    }
  }
  for (const key of unknownKeys.values()) recordHeldKey(key)
  const mayHold = (session: TargetSession, item: AssignmentItem): boolean => {
    const id = AssignmentItem.id(item)
    if (item.keyHash === undefined) return holders.get(id)?.has(session) ?? false
    const shardId = AssignmentItem.shardId(item.service, item.shard)
    return session.sets.some(
      ({ items, excluded }) => items.has(id) || (items.has(shardId) && !excluded.has(id)),
    )
  }
  const mayBeHeldElsewhere = (item: AssignmentItem, owner: TargetSession): boolean =>
    item.keyHash === undefined
      ? [...(holders.get(AssignmentItem.id(item)) ?? [])].some((session) => session !== owner)
      : sessions.some((session) => session !== owner && mayHold(session, item))

  const plan = new Map<
    TargetSession,
    { items: Map<string, AssignmentEntry>; excluded: Map<string, Excluded> }
  >()
  for (const session of sessions) plan.set(session, { items: new Map(), excluded: new Map() })
  for (const entry of assignment.values()) {
    const session = byName.get(entry.target)
    if (session === undefined || !isGrantable(entry.service, entry.shard)) continue
    if (mayBeHeldElsewhere(entry, session)) continue
    const id = AssignmentItem.id(entry)
    const isSent = session.newestSent?.items.get(id)?.fence === entry.fence
    if (isSent || mayGrantItem(entry, session)) plan.get(session)?.items.set(id, entry)
  }
  for (const [session, { items, excluded }] of plan) {
    for (const entry of items.values()) {
      if (entry.keyHash !== undefined) continue
      const shardId = AssignmentItem.shardId(entry.service, entry.shard)
      const exclude = (key: Excluded): void => {
        if (!items.has(AssignmentItem.id(key))) excluded.set(AssignmentItem.id(key), key)
      }
      for (const key of assignment.overridesOfShard(entry.service, entry.shard)) exclude(key)
      for (const [id, key] of heldKeys.get(shardId) ?? []) {
        if (!assignment.get(id) && (unknownKeys.has(id) || mayBeHeldElsewhere(key, session))) exclude(key)
      }
      if (mayLiftExclusions) continue
      for (const [id, key] of session.newestSent?.excluded ?? []) {
        if (key.service === entry.service && key.shard === entry.shard && !excluded.has(id)) exclude(key)
      }
    }
  }
  return plan
}
