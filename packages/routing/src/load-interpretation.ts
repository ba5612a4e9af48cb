/**
 * Chooses targets from a picture of their load that all hosts have and that is older than the time a request
 * takes. If each host took the target with the least load, all would take the same ones until the next picture.
 * So each target is given a share of the requests, such that the targets are expected to be equally loaded for
 * their speed once the requests that have arrived since the picture was taken are counted ("load interpretation", M. Dahlin,
 * Interpreting stale load information, 1999). Two targets are drawn by these shares, and what this host knows
 * by itself decides between them. Load pattern: dozens of hosts choose at the same moment among a hundred
 * targets of uneven speed that slow down now and then.
 */
import type { Random } from '@pimentotally/core'

/** What a picture tells of a target. */
export interface PicturedLoad {
  /** Requests that ran or waited at the target. */
  readonly occupancy: number
  readonly slots: number
  /** Work time on this target relative to the mean of its service; 2 takes twice as long. */
  readonly speedFactor: number
}

export interface InterpretationOptions {
  /** Requests a second that arrive for these targets through all hosts. */
  readonly requestsPerSecond: number
  /** Mean work time of a request on a target of usual speed. */
  readonly workMs: number
  /** Age of the picture. */
  readonly ageMs: number
}

/** The requests that the target ends in the time that one request takes at the usual speed. */
export const capacityOf = ({ slots, speedFactor }: Omit<PicturedLoad, 'occupancy'>): number =>
  slots / speedFactor

/** The part of the work begun `ageMs` ago that is still at a target, where it takes `workMs` on average. */
const remainingShare = (ageMs: number, workMs: number): number =>
  Math.exp(-Math.max(0, ageMs) / Math.max(1, workMs))

/**
 * Expected number of requests at the target now, without those that have arrived since the picture was taken: a
 * queue shrinks at the target's speed, and what runs ends by and by.
 */
export const remainingOccupancy = (load: PicturedLoad, ageMs: number, workMs: number): number => {
  const { occupancy, slots, speedFactor } = load
  const targetWorkMs = workMs * speedFactor
  const queue = Math.max(0, occupancy - slots)
  const queueMs = (queue * targetWorkMs) / slots
  if (ageMs < queueMs) return occupancy - (ageMs * slots) / targetWorkMs
  return Math.min(occupancy, slots) * remainingShare(ageMs - queueMs, targetWorkMs)
}

/**
 * The share of the requests that each target gets; the shares add up to 1. Targets that have more than the
 * common level already get none.
 */
export const interpretLoads = (
  loads: readonly PicturedLoad[],
  { requestsPerSecond, workMs, ageMs }: InterpretationOptions,
): number[] => {
  const entries = loads.map((load, index) => ({
    index,
    capacity: capacityOf(load),
    rest: remainingOccupancy(load, ageMs, workMs),
  }))
  // What has arrived since the picture was taken and is still there, at the mean work time.
  const arrived = Math.max(
    Number.MIN_VALUE,
    (requestsPerSecond / 1000) * workMs * (1 - remainingShare(ageMs, workMs)),
  )
  const shares = loads.map(() => 0)
  let restSum = 0
  let capacitySum = 0
  let level = 0
  const ascending = entries.sort((a, b) => a.rest / a.capacity - b.rest / b.capacity)
  for (const { rest, capacity } of ascending) {
    if (capacitySum > 0 && rest / capacity >= level) break
    restSum += rest
    capacitySum += capacity
    level = (arrived + restSum) / capacitySum
  }
  for (const { index, rest, capacity } of ascending) {
    shares[index] = Math.max(0, level * capacity - rest) / arrived
  }
  return shares
}

export interface SharedCandidate<T> {
  readonly target: T
  /** Share of the requests that the target gets; the shares need not add up to 1. */
  readonly share: number
  /** By how much this host knows by itself that the request is delayed there, by a queue or a slowdown. */
  readonly knownDelayMs: number
  /** Number of recent failures, each counting less with time. */
  readonly failureLevel: number
}

/** A recent failure counts as this much delay. */
const failureDelayMs = 400

const delay = ({ knownDelayMs, failureLevel }: SharedCandidate<unknown>): number =>
  knownDelayMs + failureDelayMs * failureLevel

const draw = <T>(
  candidates: readonly SharedCandidate<T>[],
  total: number,
  random: Random,
): SharedCandidate<T> | undefined => {
  let left = random.float() * total
  let drawn: SharedCandidate<T> | undefined
  for (const candidate of candidates) {
    if (candidate.share <= 0) continue
    drawn = candidate
    left -= candidate.share
    if (left < 0) break
  }
  return drawn
}

/**
 * The one with the shorter known delay of two candidates that are drawn by their shares. Work times at usual
 * speed are not compared: the shares account for them, and the fastest targets would get too much.
 */
export const chooseByShare = <T>(
  candidates: readonly SharedCandidate<T>[],
  random: Random,
): SharedCandidate<T> | undefined => {
  const total = candidates.reduce((sum, { share }) => sum + share, 0)
  const first = draw(candidates, total, random)
  const second = draw(candidates, total, random)
  if (first === undefined || second === undefined) return candidates[0]
  return delay(second) < delay(first) ? second : first
}
