/**
 * Balances keys where hosts and callers compete for room: a move has to earn its price within the time for which
 * its cause is likely to last. The price is the wait of requests while their keys move, and the cold start of the
 * keys at the new owner; the gain is the shorter wait in the queues of both owners. Load patterns: demand that
 * rises and falls by half within eight seconds, and targets that slow down for some hundred milliseconds, for
 * which no key moves; targets of lasting uneven speed, for which keys move once.
 */
import {
  loadOf,
  loadsOf,
  noise,
  nextPiece,
  type BalanceTarget,
  type RangeCursors,
  type TargetLoadSum,
} from './balance.js'
import type { KeyLoad } from './key-load.js'
import type { Assignment, Reassignment } from './range-map.js'

export interface PricedTarget extends BalanceTarget {
  /** Requests a second that the target can serve; below its usual rate for a cold one. */
  readonly capacityPerSecond: number
  readonly slots: number
}

export interface PricedMovesOptions {
  readonly maxMoves: number
  /** Targets whose load has been too high for long enough that they may give keys away. */
  readonly mayGive: (target: string) => boolean
  /** Takes each move with its expected gain, in seconds of waiting of all callers together. */
  readonly onMove?: (move: PricedMove) => void
}

export interface PricedMove {
  readonly from: string
  readonly to: string
  readonly requestsPerSecond: number
  /** Utilization of the target that gives, after the move. */
  readonly fromUtilization: number
  readonly gainSeconds: number
  readonly priceSeconds: number
}

/** A cause that has lasted for `lastingMs` is expected to go on for this long. */
const causeLastsSeconds = 4
/** Time for which a target that gets new keys is slower at them, in seconds; work takes twice as long. */
const coldKeysSeconds = 2
/** Mean duration of a move, for which the requests for its keys wait. */
const moveSeconds = 0.4
/** A queue is not longer than this many times the work, as hosts refuse requests that would wait longer. */
const maxQueueWorks = 4
/** A smaller load than this share of the receiver's capacity is not worth a move. */
const minPieceShare = 0.08
/** Utilization to which a target is filled with keys of others. */
const fullestReceiver = 0.75
/** An empty target is given this share of the load that the mean target has, so that it is warm when needed. */
const firstKeysShare = 0.5

/**
 * Approximate mean wait for a free slot, in units of the work time, for a target with several slots
 * (Sakasegawa's formula).
 */
const waitWorks = (utilization: number, slots: number): number =>
  utilization >= 1
    ? maxQueueWorks
    : Math.min(maxQueueWorks, utilization ** (Math.sqrt(2 * (slots + 1)) - 1) / (slots * (1 - utilization)))

/** Time that the requests of one second wait at the target, in seconds. */
const waitingPerSecond = ({ capacityPerSecond, slots }: PricedTarget, load: number): number =>
  (load * waitWorks(load / capacityPerSecond, slots) * slots) / capacityPerSecond

interface Exchange {
  readonly donor: TargetLoadSum<PricedTarget>
  readonly receiver: TargetLoadSum<PricedTarget>
  readonly requestsPerSecond: number
}

/** What the move saves in waiting while its cause lasts, in seconds of all callers together. */
const gainSecondsOf = ({ donor, receiver, requestsPerSecond }: Exchange): number =>
  causeLastsSeconds *
  (waitingPerSecond(donor.target, donor.load) +
    waitingPerSecond(receiver.target, receiver.load) -
    waitingPerSecond(donor.target, donor.load - requestsPerSecond) -
    waitingPerSecond(receiver.target, receiver.load + requestsPerSecond))

/** What the move costs callers, in the same unit. */
const priceSecondsOf = ({ receiver, requestsPerSecond }: Exchange): number => {
  const workSeconds = receiver.target.slots / receiver.target.capacityPerSecond
  return requestsPerSecond * (coldKeysSeconds * workSeconds + (moveSeconds * moveSeconds) / 2)
}

const utilizationOf = ({ target, load }: TargetLoadSum<PricedTarget>): number =>
  load / target.capacityPerSecond

const mostUsed = (loads: readonly TargetLoadSum<PricedTarget>[]): TargetLoadSum<PricedTarget> | undefined =>
  loads.reduce<TargetLoadSum<PricedTarget> | undefined>(
    (worst, entry) => (worst === undefined || utilizationOf(entry) > utilizationOf(worst) ? entry : worst),
    undefined,
  )

/** Moves pieces of ranges from targets with too much load to those with the most room, where that pays. */
export const pricedMoves = (
  assignment: Assignment,
  targets: readonly PricedTarget[],
  keyLoad: KeyLoad,
  { maxMoves, mayGive, onMove }: PricedMovesOptions,
): Reassignment[] => {
  const usable = targets.filter(({ weight, capacityPerSecond }) => weight > 0 && capacityPerSecond > 0)
  const loads = loadsOf(assignment, usable, keyLoad)
  const receivers = loads.filter(({ target }) => target.mayReceive)
  const owners = new Set(assignment.ranges.map(({ owner }) => owner))
  const meanLoad = loads.reduce((sum, { load }) => sum + load, 0) / Math.max(1, loads.length)
  const moves: Reassignment[] = []
  const cursors: RangeCursors = new Map()
  const move = (
    donor: TargetLoadSum<PricedTarget>,
    receiver: TargetLoadSum<PricedTarget>,
    wanted: number,
    mustPay: boolean,
  ): boolean => {
    const piece = nextPiece(assignment, donor.target.id, wanted, keyLoad, cursors)
    if (piece === undefined) return false
    const requestsPerSecond = loadOf(piece, keyLoad)
    if (mustPay && requestsPerSecond < receiver.target.capacityPerSecond * minPieceShare) return false
    const exchange = { donor, receiver, requestsPerSecond }
    const gainSeconds = gainSecondsOf(exchange)
    const priceSeconds = priceSecondsOf(exchange)
    if (mustPay && gainSeconds <= priceSeconds) return false
    donor.load -= requestsPerSecond
    receiver.load += requestsPerSecond
    const { id, startedAtEpochMs } = receiver.target
    moves.push({ from: piece.from, to: piece.to, owner: id, ownerStartedAtEpochMs: startedAtEpochMs })
    const fromUtilization = utilizationOf(donor)
    onMove?.({ from: donor.target.id, to: id, requestsPerSecond, fromUtilization, gainSeconds, priceSeconds })
    return true
  }
  const givers = new Set(loads.filter(({ target }) => mayGive(target.id)))
  while (moves.length < maxMoves && givers.size > 0) {
    const donor = mostUsed([...givers])
    if (donor === undefined) break
    const receiver = receivers
      .filter((entry) => entry !== donor)
      .reduce<TargetLoadSum<PricedTarget> | undefined>(
        (best, entry) => (best === undefined || utilizationOf(entry) < utilizationOf(best) ? entry : best),
        undefined,
      )
    if (receiver === undefined) break
    // The measured load of the most used target is likely to be above its true one by chance.
    const difference = utilizationOf(donor) - noise(donor.load) / 2 / donor.target.capacityPerSecond
    const inverse = 1 / donor.target.capacityPerSecond + 1 / receiver.target.capacityPerSecond
    const evened = (difference - utilizationOf(receiver)) / inverse
    // One target does not get more than it can serve, also when the other has several times as much.
    const room = receiver.target.capacityPerSecond * fullestReceiver - receiver.load
    const wanted = Math.min(evened, room)
    const isTooSmall = wanted < receiver.target.capacityPerSecond * minPieceShare
    if (isTooSmall || !move(donor, receiver, wanted, true)) givers.delete(donor)
  }
  for (const receiver of receivers) {
    if (moves.length >= maxMoves) break
    if (owners.has(receiver.target.id) || receiver.load > meanLoad * minPieceShare) continue
    const donor = mostUsed(loads.filter(({ target }) => owners.has(target.id)))
    if (donor !== undefined) move(donor, receiver, meanLoad * firstKeysShare, false)
  }
  return moves
}

/** Utilization from which a target counts as overloaded, and below which it does not any more. */
const overloadedUtilization = 0.75
const recoveredUtilization = 0.65
/** How long an overload lasts before keys move; longer than a burst of requests and a slow moment of a target. */
const lastingMs = 3000
/** The same for a target that gets more than it can serve, whose queue grows all the time. */
const lastingWhenFullMs = 1800
/** A target that gave keys away gets none from others for this time, so that keys do not move to and fro. */
const givenAwayMs = 6000

/** Tells which targets have been overloaded for long enough that keys may move away from them. */
export class LastingOverloads {
  readonly #sinceMs = new Map<string, number>()
  readonly #fullSinceMs = new Map<string, number>()
  readonly #gaveAtMs = new Map<string, number>()

  /** Takes the utilization of each target, once in each round of balancing. */
  record(nowMs: number, utilizations: ReadonlyMap<string, number>): void {
    for (const id of this.#sinceMs.keys()) if (!utilizations.has(id)) this.#sinceMs.delete(id)
    for (const id of this.#fullSinceMs.keys()) if (!utilizations.has(id)) this.#fullSinceMs.delete(id)
    for (const [id, atMs] of this.#gaveAtMs) if (nowMs - atMs >= givenAwayMs) this.#gaveAtMs.delete(id)
    for (const [id, utilization] of utilizations) {
      if (utilization >= overloadedUtilization) this.#sinceMs.set(id, this.#sinceMs.get(id) ?? nowMs)
      else if (utilization < recoveredUtilization) this.#sinceMs.delete(id)
      if (utilization >= 1) this.#fullSinceMs.set(id, this.#fullSinceMs.get(id) ?? nowMs)
      else this.#fullSinceMs.delete(id)
    }
  }

  isLasting(id: string, nowMs: number): boolean {
    return (
      nowMs - (this.#sinceMs.get(id) ?? nowMs) >= lastingMs ||
      nowMs - (this.#fullSinceMs.get(id) ?? nowMs) >= lastingWhenFullMs
    )
  }

  /** Whether the target has given no keys away lately. */
  mayReceive(id: string): boolean {
    return !this.#gaveAtMs.has(id)
  }

  /**
   * Begins anew for the targets of a move, so that its effect shows before they give more; not for one that still
   * has more than it can serve.
   */
  moved(
    nowMs: number,
    { from, to, fromUtilization }: Pick<PricedMove, 'from' | 'to' | 'fromUtilization'>,
  ): void {
    this.#gaveAtMs.set(from, nowMs)
    for (const id of fromUtilization < 1 ? [from, to] : [to]) {
      this.#sinceMs.delete(id)
      this.#fullSinceMs.delete(id)
    }
  }
}
