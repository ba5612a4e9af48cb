/**
 * The assignment of a cell says which target owns each shard. A key that is assigned separately from its
 * shard has an entry of its own, an override. When assignments are merged, the entry with the higher fence
 * wins. The fence of an override is higher than that of its shard; an override whose fence is not higher was
 * ended by a later assignment of the shard and is dropped.
 */
import { Fence, ShardSet, Term } from '@pimentotally/core'

/** A shard, or one key of it. */
export interface AssignmentItem {
  readonly service: string
  readonly shard: number
  /** 16 hex digits; present only for a key that is assigned separately from its shard. */
  readonly keyHash?: string
}

export const AssignmentItem = {
  shardId: (service: string, shard: number): string => `${service}/${String(shard)}`,
  keyId: (service: string, shard: number, keyHash: string): string =>
    `${service}/${String(shard)}/${keyHash}`,
  id: ({ service, shard, keyHash }: AssignmentItem): string =>
    keyHash === undefined
      ? AssignmentItem.shardId(service, shard)
      : AssignmentItem.keyId(service, shard, keyHash),
}

/** An item, the target that owns it and the fence of this ownership. */
export interface AssignmentEntry extends AssignmentItem {
  readonly target: string
  readonly fence: Fence
}

interface AssignmentJson {
  readonly term: Term
  readonly services: Readonly<
    Record<string, { shardCount: number; groups: readonly (readonly [string, Fence, string])[] }>
  >
  readonly overrides: readonly Required<AssignmentEntry>[]
}

/** The content of an assignment row: the assignment, and the term of the coordinator that wrote it. */
export interface StoredAssignment {
  readonly term: Term
  readonly assignment: Assignment
}

export class Assignment {
  readonly #entries: Map<string, AssignmentEntry>
  readonly #overrideIdsOfShard = new Map<string, Set<string>>()

  constructor(entries: Iterable<AssignmentEntry> = []) {
    this.#entries = new Map()
    for (const entry of entries) this.set(entry)
  }

  static rowKey(cellId: string): string {
    return `assignment/${cellId}`
  }

  /** Throws SyntaxError or RangeError when the text is not an assignment. */
  static parse(text: string): StoredAssignment {
    const { term, services, overrides } = JSON.parse(text) as AssignmentJson
    if (!Term.isValid(term)) throw new SyntaxError('assignment without a valid term')
    const assignment = new Assignment()
    for (const [service, { shardCount, groups }] of Object.entries(services)) {
      for (const [target, fence, shards] of groups) {
        for (const shard of ShardSet.fromBase64(shardCount, shards)) {
          assignment.set({ service, shard, target, fence })
        }
      }
    }
    for (const override of overrides) assignment.set(override)
    return { term, assignment }
  }

  /** As `parse`, but returns undefined instead of throwing; for assignments that peers send. */
  static safeParse(text: string): StoredAssignment | undefined {
    try {
      return Assignment.parse(text)
    } catch {
      return undefined
    }
  }

  get size(): number {
    return this.#entries.size
  }

  get(id: string): AssignmentEntry | undefined {
    return this.#entries.get(id)
  }

  values(): Iterable<AssignmentEntry> {
    return this.#entries.values()
  }

  /** The overrides of all keys of one shard. */
  overridesOfShard(service: string, shard: number): readonly AssignmentEntry[] {
    return [...(this.#overrideIdsOfShard.get(AssignmentItem.shardId(service, shard)) ?? [])].flatMap(
      (id) => this.#entries.get(id) ?? [],
    )
  }

  set(entry: AssignmentEntry): void {
    const id = AssignmentItem.id(entry)
    this.#entries.set(id, entry)
    if (entry.keyHash === undefined) return
    const shardId = AssignmentItem.shardId(entry.service, entry.shard)
    const keys = this.#overrideIdsOfShard.get(shardId) ?? new Set()
    this.#overrideIdsOfShard.set(shardId, keys.add(id))
  }

  delete(item: AssignmentItem): void {
    const id = AssignmentItem.id(item)
    this.#entries.delete(id)
    this.#overrideIdsOfShard.get(AssignmentItem.shardId(item.service, item.shard))?.delete(id)
  }

  clone(): Assignment {
    return new Assignment(this.#entries.values())
  }

  /**
   * Takes each entry whose fence is higher than that of the present entry of its item, then drops the
   * overrides that have ended. Returns true when anything changed.
   */
  merge(entries: Iterable<AssignmentEntry>): boolean {
    let changed = false
    for (const entry of entries) {
      if (entry.fence <= (this.#entries.get(AssignmentItem.id(entry))?.fence ?? '')) continue
      this.set(entry)
      changed = true
    }
    for (const entry of [...this.#entries.values()]) {
      if (entry.keyHash === undefined) continue
      const shardFence =
        this.#entries.get(AssignmentItem.shardId(entry.service, entry.shard))?.fence ?? Fence.none
      if (entry.fence > shardFence) continue
      this.delete(entry)
      changed = true
    }
    return changed
  }

  highestFence(): Fence {
    let highest = Fence.none
    for (const { fence } of this.#entries.values()) if (fence > highest) highest = fence
    return highest
  }

  /**
   * JSON in which the shards that share a target and a fence are one bitmap. `shardCount` returns the number
   * of shards of a service.
   */
  stringify(term: Term, shardCount: (service: string) => number): string {
    const services: Record<string, Map<string, ShardSet>> = {}
    const overrides: Required<AssignmentEntry>[] = []
    for (const { service, shard, keyHash, target, fence } of this.#entries.values()) {
      if (keyHash !== undefined) {
        overrides.push({ service, shard, keyHash, target, fence })
        continue
      }
      const groups = (services[service] ??= new Map())
      const group = `${target}\0${fence}`
      const shards = groups.get(group) ?? new ShardSet(shardCount(service))
      shards.add(shard)
      groups.set(group, shards)
    }
    const packed = Object.entries(services).map(([service, groups]) => [
      service,
      {
        shardCount: shardCount(service),
        groups: [...groups].map(([group, shards]) => [...group.split('\0'), shards.toBase64()]),
      },
    ])
    return JSON.stringify({ term, services: Object.fromEntries(packed), overrides })
  }
}
