/**
 * Finds the most frequent keys of a stream in bounded memory, with the Space-Saving algorithm. Sketches can
 * be merged.
 */

export interface HeavyHitter {
  readonly key: string
  readonly shard: number
  /** At least the true count, and at most `error` above it. */
  readonly count: number
  readonly error: number
}

interface Counter {
  key: string
  shard: number
  count: number
  error: number
  heapIndex: number
}

export class HeavyHitters {
  readonly capacity: number
  readonly #counters = new Map<string, Counter>()
  /** Binary min-heap by count: the counter with the smallest count comes first. */
  readonly #heap: Counter[] = []

  constructor(capacity = 256) {
    this.capacity = capacity
  }

  get size(): number {
    return this.#heap.length
  }

  /** Counts one occurrence in O(log capacity). */
  add(key: string, shard = 0, count = 1): void {
    const known = this.#counters.get(key)
    if (known !== undefined) {
      known.count += count
      this.#moveDown(known)
      return
    }
    const smallest = this.#heap[0]
    if (smallest === undefined || this.#heap.length < this.capacity) {
      this.#insert({ key, shard, count, error: 0, heapIndex: this.#heap.length })
      return
    }
    this.#counters.delete(smallest.key)
    this.#counters.set(key, smallest)
    smallest.error = smallest.count
    smallest.key = key
    smallest.shard = shard
    smallest.count += count
    this.#moveDown(smallest)
  }

  /** The keys with the highest counts, highest first. */
  top(limit: number = this.capacity): HeavyHitter[] {
    return [...this.#heap]
      .sort((left, right) => right.count - left.count)
      .slice(0, limit)
      .map(({ key, shard, count, error }) => ({ key, shard, count, error }))
  }

  /**
   * A sketch of both streams together. A key that one sketch doesn't track may have occurred there as often
   * as its smallest count, which is added to the key's count and error.
   */
  merge(other: HeavyHitters): HeavyHitters {
    const result = new HeavyHitters(Math.max(this.capacity, other.capacity))
    const floors = [this.#maxUntrackedCount(), other.#maxUntrackedCount()] as const
    const merged: Counter[] = []
    for (const key of new Set([...this.#counters.keys(), ...other.#counters.keys()])) {
      const here = this.#counters.get(key)
      const there = other.#counters.get(key)
      merged.push({
        key,
        shard: (here ?? there)?.shard ?? 0,
        count: (here?.count ?? floors[0]) + (there?.count ?? floors[1]),
        error: (here?.error ?? floors[0]) + (there?.error ?? floors[1]),
        heapIndex: 0,
      })
    }
    merged.sort((left, right) => right.count - left.count)
    for (const counter of merged.slice(0, result.capacity)) result.#insert(counter)
    return result
  }

  clear(): void {
    this.#counters.clear()
    this.#heap.length = 0
  }

  /** The most occurrences that a key which is not tracked can have had. */
  #maxUntrackedCount(): number {
    return this.#heap.length < this.capacity ? 0 : (this.#heap[0]?.count ?? 0)
  }

  #insert(counter: Counter): void {
    this.#counters.set(counter.key, counter)
    let place = this.#heap.length
    while (place > 0) {
      const parent = this.#heap[(place - 1) >> 1]
      if (parent === undefined || parent.count <= counter.count) break
      this.#put(parent, place)
      place = (place - 1) >> 1
    }
    this.#put(counter, place)
  }

  #moveDown(counter: Counter): void {
    const heap = this.#heap
    let place = counter.heapIndex
    for (;;) {
      const left = heap[2 * place + 1]
      const right = heap[2 * place + 2]
      const child = right !== undefined && left !== undefined && right.count < left.count ? right : left
      if (child === undefined || child.count >= counter.count) break
      const next = child.heapIndex
      this.#put(child, place)
      place = next
    }
    this.#put(counter, place)
  }

  #put(counter: Counter, place: number): void {
    counter.heapIndex = place
    this.#heap[place] = counter
  }
}
