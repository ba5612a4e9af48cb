/**
 * Decides which key ranges move, from measured load. Targets that leave give all their ranges up; targets with much
 * more load than their share give a piece of about the excess to the ones with the least. Pieces are cut at measured
 * load, so a hot neighbourhood is divided among several targets while cold keys stay where they are. Load pattern: a
 * few hundred neighbouring keys take a third of the requests, and others do some seconds later.
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
  /** Share of the load that the target can take, relative to the others; 0 for one that must give its keys up. */
  readonly weight: number
  /** Whether it may be given more keys; where no target may, all of them are. */
  readonly mayReceive: boolean
}

export interface BalanceOptions {
  /** Ranges that may move in one round. */
  readonly maxMoves?: number
  /** Load above the fair share, as a factor, from which a target gives keys away. */
  readonly tolerance?: number
  /** Load of a range that is not worth a move, as a share of the fair share. */
  readonly minPieceShare?: number
}

/** A target this busy still answers without a queue, most of the time. */
const comfortableUtilization = 0.65
/** Measured loads differ by chance; a closer balance would only move keys. */
const closestTolerance = 1.15
/** With many free slots, an uneven load costs callers less than moves. */
const loosestTolerance = 1.8

/** Load above the fair share, as a factor, that is left alone at a utilization of the service between 0 and 1. */
export const imbalanceTolerance = (utilization: number): number =>
  Math.min(loosestTolerance, Math.max(closestTolerance, comfortableUtilization / Math.max(0.01, utilization)))

interface Loaded {
  readonly target: BalanceTarget
  load: number
}

/** Standard deviations of a measured load that are taken for chance. */
const chanceDeviations = 2

/** What a load may differ by chance: few requests say little. */
const chance = (requestsPerSecond: number): number =>
  chanceDeviations * Math.sqrt((requestsPerSecond * 1000) / longTimeConstantMs)

/** Requests a second below which no key is worth a target of its own. */
const minHotRate = 10
/** A hot key moves only to a target that is this much faster. */
const worthwhileGain = 1.5
/** A piece may have this much more than the wanted load. */
const pieceTolerance = 1.2

/** A few keys count as load, so that cold keys of leaving targets are spread as well. */
const loadPerKey = 1e-5

const measure = (range: KeyRange, keyLoad: KeyLoad): number =>
  keyLoad.sum(range.from, range.to) + (range.to - range.from + 1) * loadPerKey

const leastLoaded = (loaded: readonly Loaded[], except?: Loaded): Loaded | undefined => {
  let best: Loaded | undefined
  const mayReceive = loaded.some(({ target }) => target.mayReceive && target.weight > 0)
  for (const entry of loaded) {
    if (entry === except || entry.target.weight <= 0 || (mayReceive && !entry.target.mayReceive)) continue
    if (best === undefined || entry.load / entry.target.weight < best.load / best.target.weight) best = entry
  }
  return best
}

/** Cuts a range into pieces of at most `pieceLoad`. */
const cut = (range: AssignedRange, keyLoad: KeyLoad, pieceLoad: number): KeyRange[] => {
  const pieces: KeyRange[] = []
  let { from } = range
  while (from <= range.to) {
    const load = Math.max(0, pieceLoad - loadPerKey)
    const to =
      measure({ from, to: range.to }, keyLoad) <= pieceLoad
        ? range.to
        : keyLoad.lastKeyWithin(from, range.to, load)
    pieces.push({ from, to })
    from = to + 1
  }
  return pieces
}

export interface EvacuateOptions {
  /** Ranges that may move in one round. */
  readonly maxMoves?: number
  /** Owners that keep their ranges for now. */
  readonly except?: ReadonlySet<string>
}

/** Ranges whose owner is gone or must give its keys up go to the remaining targets, least loaded first. */
export const evacuateRanges = (
  assignment: Assignment,
  targets: readonly BalanceTarget[],
  keyLoad: KeyLoad,
  { maxMoves = 24, except }: EvacuateOptions = {},
): Reassignment[] => {
  const loaded = loadsOf(assignment, targets, keyLoad)
  const remaining = loaded.filter(({ target }) => target.weight > 0)
  if (remaining.length === 0) return []
  const usable = new Set(remaining.map(({ target }) => target.id))
  const moves: Reassignment[] = []
  const totalLoad = assignment.ranges.reduce((sum, range) => sum + measure(range, keyLoad), 0)
  const pieceLoad = totalLoad / remaining.length / 2
  for (const range of assignment.ranges) {
    if (usable.has(range.owner) || except?.has(range.owner) === true || range.formerOwner !== undefined)
      continue
    for (const piece of cut(range, keyLoad, pieceLoad)) {
      if (moves.length >= maxMoves) return moves
      const receiver = leastLoaded(loaded)
      if (receiver === undefined) return moves
      receiver.load += measure(piece, keyLoad)
      moves.push({
        ...piece,
        owner: receiver.target.id,
        ownerStartedAtEpochMs: receiver.target.startedAtEpochMs,
      })
    }
  }
  return moves
}

const loadsOf = (assignment: Assignment, targets: readonly BalanceTarget[], keyLoad: KeyLoad): Loaded[] => {
  const byId = new Map<string, Loaded>(targets.map((target) => [target.id, { target, load: 0 }]))
  for (const range of assignment.ranges) {
    const entry = byId.get(range.owner)
    if (entry === undefined) continue
    entry.load += measure(range, keyLoad)
  }
  return [...byId.values()]
}

/** Moves pieces from targets with too much load to those with the least. */
export const balanceRanges = (
  assignment: Assignment,
  targets: readonly BalanceTarget[],
  keyLoad: KeyLoad,
  { maxMoves = 8, tolerance = 1.6, minPieceShare = 0.1 }: BalanceOptions = {},
): Reassignment[] => {
  const loaded = loadsOf(assignment, targets, keyLoad)
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0)
  const totalLoad = loaded.reduce((sum, { load }) => sum + load, 0)
  if (totalWeight <= 0 || totalLoad <= 0) return []
  const fair = ({ target }: Loaded): number => (totalLoad * target.weight) / totalWeight
  const moves: Reassignment[] = []
  const cursors = new Map<AssignedRange, number>()
  while (moves.length < maxMoves) {
    const giver = loaded.reduce<Loaded | undefined>(
      (worst, entry) =>
        entry.target.weight > 0 &&
        entry.load > fair(entry) * tolerance + chance(fair(entry)) &&
        (worst === undefined || entry.load / entry.target.weight > worst.load / worst.target.weight)
          ? entry
          : worst,
      undefined,
    )
    const receiver = leastLoaded(loaded, giver)
    if (giver === undefined || receiver === undefined) break
    const wanted = Math.min(giver.load - fair(giver), fair(receiver) - receiver.load)
    if (wanted < fair(giver) * minPieceShare) break
    const piece = nextPiece(assignment, giver.target.id, wanted, keyLoad, cursors)
    if (piece === undefined) {
      // Nothing of this target can be divided further.
      giver.load = 0
      continue
    }
    const load = measure(piece, keyLoad)
    giver.load -= load
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
 * The piece of the target's ranges with the most load up to the wanted one; `cursors` says what was taken before. A
 * single key above the wanted load stays where it is, as moving it would only move the overload; its neighbours move.
 */
const nextPiece = (
  assignment: Assignment,
  owner: string,
  wanted: number,
  keyLoad: KeyLoad,
  cursors: Map<AssignedRange, number>,
): KeyRange | undefined => {
  let best: { readonly range: AssignedRange; readonly piece: KeyRange; readonly load: number } | undefined
  for (const range of assignment.ranges) {
    if (range.owner !== owner || range.formerOwner !== undefined) continue
    for (const piece of cut({ ...range, from: cursors.get(range) ?? range.from }, keyLoad, wanted)) {
      const load = measure(piece, keyLoad)
      if (load > wanted * pieceTolerance || (best !== undefined && load <= best.load)) continue
      best = { range, piece, load }
    }
  }
  if (best === undefined) return undefined
  cursors.set(best.range, best.piece.to + 1)
  return best.piece
}

/**
 * Places a key that alone takes more than a fair share on a target that works much faster than its owner. The balance
 * then takes the other keys from that target. Load pattern: half of all requests are about one key.
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
  if (fastest.weight < owner.weight * worthwhileGain) return undefined
  return {
    from: hottest.key,
    to: hottest.key,
    owner: fastest.id,
    ownerStartedAtEpochMs: fastest.startedAtEpochMs,
  }
}
