/**
 * Keeps the balance between the ranks of a service while requests wait: none starves, and an urgent one is not served
 * less often than a less urgent one. Load pattern: requests of two routes compete for one service, and the urgent ones alone
 * could fill it.
 */
import { decay } from './load.js'

/** Counts weigh 1/e after this time, a few times as long as a burst lasts. */
const countTimeConstantMs = 5000
/** A rank gets at least this part of the share of starts that its share of arrivals would give it. */
const floorShare = 0.25

interface Counts {
  arrived: number
  started: number
}

export class KindShares {
  readonly #counts = new Map<number, Counts>()
  #atMs = 0

  arrived(nowMs: number, rank: number): void {
    this.#of(nowMs, rank).arrived += 1
  }

  started(nowMs: number, rank: number): void {
    this.#of(nowMs, rank).started += 1
  }

  /**
   * The rank to serve first, of those that have waiting requests: one below its floor, unless a more urgent one has been
   * served less often, or else the most urgent.
   */
  next(nowMs: number, waiting: readonly number[]): number | undefined {
    this.#fade(nowMs)
    const ranks = [...waiting].sort((a, b) => a - b)
    const starved = ranks.find(
      (rank) =>
        this.#isBelowFloor(rank) &&
        ranks.every((other) => other >= rank || this.#servedShare(other) >= this.#servedShare(rank)),
    )
    return starved ?? ranks[0]
  }

  #isBelowFloor(rank: number): boolean {
    const all = [...this.#counts.values()]
    const arrived = all.reduce((sum, counts) => sum + counts.arrived, 0)
    const started = all.reduce((sum, counts) => sum + counts.started, 0)
    const own = this.#counts.get(rank)
    if (own === undefined || arrived === 0) return false
    return own.started < floorShare * started * (own.arrived / arrived)
  }

  #servedShare(rank: number): number {
    const counts = this.#counts.get(rank)
    return counts === undefined || counts.arrived === 0 ? 1 : counts.started / counts.arrived
  }

  #of(nowMs: number, rank: number): Counts {
    this.#fade(nowMs)
    let counts = this.#counts.get(rank)
    if (counts === undefined) {
      counts = { arrived: 0, started: 0 }
      this.#counts.set(rank, counts)
    }
    return counts
  }

  #fade(nowMs: number): void {
    const weight = decay(nowMs - this.#atMs, countTimeConstantMs)
    this.#atMs = nowMs
    for (const counts of this.#counts.values()) {
      counts.arrived *= weight
      counts.started *= weight
    }
  }
}
