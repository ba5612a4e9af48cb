/**
 * Decides from measured load which key ranges move to other targets. A target that leaves gives up all its
 * ranges. A target with much more load than its share gives a part of a range, with about the excess load, to
 * the target with the least load. Ranges are split by measured load, so neighbouring hot keys are divided
 * among several targets while cold keys stay where they are. Load pattern: a few hundred neighbouring keys
 * get a third of the requests, and some seconds later others do.
 */
import { longTimeConstantMs, type KeyLoad } from './key-load.js'
import {
  findRange,
  keyCount,
  type AssignedRange,
  type Assignment,
  type KeyRange,
  type Reassignment,
} from './range-map.js'

export interface BalanceTarget {
  readonly id: string
  readonly startedAtEpochMs: number | undefined
  /**
   * Load that the target can take, relative to the other targets; 0 for a target that must give up its keys.
   */
  readonly weight: number
  /** Whether the target may be given more keys. When no target may, this is ignored. */
  readonly mayReceive: boolean
}

export interface BalanceOptions {
  /** The largest number of ranges that may start to move in one round. */
  readonly maxMoves?: number
  /** A target gives keys away when its load exceeds its fair share by this factor and by more than chance. */
  readonly tolerance?: number
  /** A smaller load than this share of a target's fair share is not worth a move. */
  readonly minPieceShare?: number
}

/** Utilization at which a target still has no queue most of the time. */
const comfortableUtilization = 0.65
/** Measured loads differ by chance, so a smaller tolerance would move keys without a gain. */
const minTolerance = 1.15
/** With many free slots, an uneven load costs callers less than moves of keys do. */
const maxTolerance = 1.8

/**
 * The factor by which a target may exceed its fair share before its keys are moved, for a utilization of the
 * service between 0 and 1.
 */
export const imbalanceTolerance = (utilization: number): number =>
  Math.min(maxTolerance, Math.max(minTolerance, comfortableUtilization / Math.max(0.01, utilization)))

/** A target with the measured load of its keys. */
export interface TargetLoadSum<T extends BalanceTarget = BalanceTarget> {
  readonly target: T
  load: number
}

/** For each range, the first key after the pieces that were taken from it in one round. */
export type RangeCursors = Map<AssignedRange, number>

/** A measured load that differs by fewer standard deviations than this may do so by chance. */
const noiseDeviations = 2

/**
 * By how many requests a second a measured load may differ by chance, which matters most where requests are
 * few.
 */
export const noise = (requestsPerSecond: number): number =>
  noiseDeviations * Math.sqrt((requestsPerSecond * 1000) / longTimeConstantMs)

/** Requests a second below which a key is not moved to a faster target as a hot key. */
const minHotRate = 10
/** A hot key moves only to a target whose weight is higher than its owner's by at least this factor. */
const minHotKeyGain = 1.5
/** The load of a piece may exceed the wanted load by this factor. */
const pieceTolerance = 1.2

/**
 * Each key adds this to the load of a range, so that keys without requests are spread over the targets as
 * well.
 */
const loadPerKey = 1e-5

export const loadOf = (range: KeyRange, keyLoad: KeyLoad): number =>
  keyLoad.sum(range.from, range.to) + (range.to - range.from + 1) * loadPerKey

const leastLoaded = (loads: readonly TargetLoadSum[], except?: TargetLoadSum): TargetLoadSum | undefined => {
  let best: TargetLoadSum | undefined
  const mayReceive = loads.some(({ target }) => target.mayReceive && target.weight > 0)
  for (const entry of loads) {
    if (entry === except || entry.target.weight <= 0 || (mayReceive && !entry.target.mayReceive)) continue
    if (best === undefined || entry.load / entry.target.weight < best.load / best.target.weight) best = entry
  }
  return best
}

/**
 * Splits a range into pieces with a load of at most `pieceLoad`; a single key with more is a piece by itself.
 */
const splitRange = (range: AssignedRange, keyLoad: KeyLoad, pieceLoad: number): KeyRange[] => {
  const pieces: KeyRange[] = []
  let { from } = range
  while (from <= range.to) {
    const load = Math.max(0, pieceLoad - loadPerKey)
    const to =
      loadOf({ from, to: range.to }, keyLoad) <= pieceLoad
        ? range.to
        : keyLoad.lastKeyWithin(from, range.to, load)
    pieces.push({ from, to })
    from = to + 1
  }
  return pieces
}

export interface EvacuateOptions {
  /** The largest number of ranges that may start to move in one round. */
  readonly maxMoves?: number
  /** Ids of owners that keep their ranges for now. */
  readonly except?: ReadonlySet<string>
}

/**
 * Gives the ranges whose owner is gone or must give up its keys to the remaining targets, each piece to the
 * target that then has the least load for its weight. Ranges that are already moving are left out.
 */
export const evacuateRanges = (
  assignment: Assignment,
  targets: readonly BalanceTarget[],
  keyLoad: KeyLoad,
  { maxMoves = 24, except }: EvacuateOptions = {},
): Reassignment[] => {
  const loads = loadsOf(assignment, targets, keyLoad)
  const remaining = loads.filter(({ target }) => target.weight > 0)
  if (remaining.length === 0) return []
  const usable = new Set(remaining.map(({ target }) => target.id))
  const moves: Reassignment[] = []
  const totalLoad = assignment.ranges.reduce((sum, range) => sum + loadOf(range, keyLoad), 0)
  const pieceLoad = totalLoad / remaining.length / 2
  for (const range of assignment.ranges) {
    if (usable.has(range.owner) || except?.has(range.owner) === true || range.formerOwner !== undefined)
      continue
    for (const piece of splitRange(range, keyLoad, pieceLoad)) {
      if (moves.length >= maxMoves) return moves
      const receiver = leastLoaded(loads)
      if (receiver === undefined) return moves
      receiver.load += loadOf(piece, keyLoad)
      moves.push({
        ...piece,
        owner: receiver.target.id,
        ownerStartedAtEpochMs: receiver.target.startedAtEpochMs,
      })
    }
  }
  return moves
}

export const loadsOf = <T extends BalanceTarget>(
  assignment: Assignment,
  targets: readonly T[],
  keyLoad: KeyLoad,
): TargetLoadSum<T>[] => {
  const byId = new Map<string, TargetLoadSum<T>>(targets.map((target) => [target.id, { target, load: 0 }]))
  for (const range of assignment.ranges) {
    const entry = byId.get(range.owner)
    if (entry === undefined) continue
    entry.load += loadOf(range, keyLoad)
  }
  return [...byId.values()]
}

/** Moves pieces of ranges from targets with too much load to those with the least load for their weight. */
export const balanceRanges = (
  assignment: Assignment,
  targets: readonly BalanceTarget[],
  keyLoad: KeyLoad,
  { maxMoves = 8, tolerance = 1.6, minPieceShare = 0.1 }: BalanceOptions = {},
): Reassignment[] => {
  const loads = loadsOf(assignment, targets, keyLoad)
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0)
  const totalLoad = loads.reduce((sum, { load }) => sum + load, 0)
  if (totalWeight <= 0 || totalLoad <= 0) return []
  const fair = ({ target }: TargetLoadSum): number => (totalLoad * target.weight) / totalWeight
  const moves: Reassignment[] = []
  const cursors: RangeCursors = new Map()
  while (moves.length < maxMoves) {
    const donor = loads.reduce<TargetLoadSum | undefined>(
      (worst, entry) =>
        entry.target.weight > 0 &&
        entry.load > fair(entry) * tolerance + noise(fair(entry)) &&
        (worst === undefined || entry.load / entry.target.weight > worst.load / worst.target.weight)
          ? entry
          : worst,
      undefined,
    )
    const receiver = leastLoaded(loads, donor)
    if (donor === undefined || receiver === undefined) break
    const wanted = Math.min(donor.load - fair(donor), fair(receiver) - receiver.load)
    if (wanted < fair(donor) * minPieceShare) break
    const piece = nextPiece(assignment, donor.target.id, wanted, keyLoad, cursors)
    if (piece === undefined) {
      // None of this target's ranges can be divided further, so it gives no more keys away in this round.
      donor.load = 0
      continue
    }
    const load = loadOf(piece, keyLoad)
    donor.load -= load
    receiver.load += load
    moves.push({
      from: piece.from,
      to: piece.to,
      owner: receiver.target.id,
      ownerStartedAtEpochMs: receiver.target.startedAtEpochMs,
    })
  }
  return moves
}

/**
 * Among the pieces of the owner's ranges whose load is at most about the wanted one, returns the one with the
 * highest load. `cursors` holds for each range the first key after the pieces that were taken in this round.
 * A single key with more than the wanted load stays where it is, as moving it would only move the overload;
 * its neighbours move instead.
 */
export const nextPiece = (
  assignment: Assignment,
  owner: string,
  wanted: number,
  keyLoad: KeyLoad,
  cursors: RangeCursors,
): KeyRange | undefined => {
  let best: { readonly range: AssignedRange; readonly piece: KeyRange; readonly load: number } | undefined
  for (const range of assignment.ranges) {
    if (range.owner !== owner || range.formerOwner !== undefined) continue
    for (const piece of splitRange({ ...range, from: cursors.get(range) ?? range.from }, keyLoad, wanted)) {
      const load = loadOf(piece, keyLoad)
      if (load > wanted * pieceTolerance || (best !== undefined && load <= best.load)) continue
      best = { range, piece, load }
    }
  }
  if (best === undefined) return undefined
  cursors.set(best.range, best.piece.to + 1)
  return best.piece
}

/**
 * Moves a key that alone has more load than its owner's fair share to the target with the highest weight, if
 * that target works much faster than the owner. `balanceRanges` then takes the other keys from that target.
 * Load pattern: half of all requests are for one key.
 */
export const placeHotKey = (
  assignment: Assignment,
  targets: readonly BalanceTarget[],
  keyLoad: KeyLoad,
): Reassignment | undefined => {
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0)
  const hottest = keyLoad.hottestKey()
  const range = findRange(assignment.ranges, hottest.key)
  const owner = targets.find(({ id }) => id === range?.owner)
  if (range === undefined || owner === undefined || range.formerOwner !== undefined || owner.weight <= 0)
    return undefined
  const total = keyLoad.sum(0, keyCount - 1)
  if (hottest.rate < minHotRate || hottest.rate < (total * owner.weight) / totalWeight) return undefined
  const fastest = targets.reduce((best, target) => (target.weight > best.weight ? target : best), owner)
  if (fastest.weight < owner.weight * minHotKeyGain) return undefined
  return {
    from: hottest.key,
    to: hottest.key,
    owner: fastest.id,
    ownerStartedAtEpochMs: fastest.startedAtEpochMs,
  }
}
