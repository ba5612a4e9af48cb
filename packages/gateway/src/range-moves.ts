/**
 * Carries out the moves of key ranges that are stored: waits until the former owner has released the range or
 * certainly cannot hold it any more, and then grants it to the new owner.
 */
import type { Clock, Logger } from '@pimentotally/core'
import type { AssignedRange, TargetControl } from '@pimentotally/assignment'
import type { Directory } from './directory.js'
import { HoldEndReason, type FormerOwners } from './former-owners.js'
import type { TargetGrants } from './target-grants.js'

/** Time-out of a release call, which is answered only when the work on its keys has ended. */
const releaseTimeoutMs = 1600
/** Longest pause between two attempts to make the former owner release a range. */
const releasePauseMs = 300
/** Pause between two attempts to grant a moved range. */
const regrantPauseMs = 200
/**
 * When the new owner has accepted no grant for this time after the range became free, the move ends all the
 * same; that owner is then treated like any other silent one.
 */
const abandonAfterMs = 2500

export interface RangeMovesOptions {
  readonly service: string
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly targetControl: TargetControl
  readonly grants: TargetGrants
  readonly owners: FormerOwners
  /** Called when a move has ended. */
  readonly onMoveEnded: () => void
}

interface Move {
  readonly range: AssignedRange
  isDone: boolean
}

/**
 * Identifies a move. The fence alone does not: fences rise within a block of keys only, so ranges of
 * different blocks may have the same one.
 */
const moveKeyOf = ({ from, fence }: AssignedRange): string => `${String(from)}/${String(fence)}`

/** Why the former owner cannot hold the range any more, and what it handed over for the new owner. */
interface Freed {
  readonly end: HoldEndReason
  readonly handover: string | undefined
}

export class RangeMoves {
  readonly #options: RangeMovesOptions
  readonly #moves = new Map<string, Move>()

  constructor(options: RangeMovesOptions) {
    this.#options = options
  }

  /** Moves that have ended, but are not stored as ended yet. */
  get done(): readonly AssignedRange[] {
    return [...this.#moves.values()].filter(({ isDone }) => isDone).map(({ range }) => range)
  }

  /** Number of moves that have not ended. */
  get activeMoveCount(): number {
    return [...this.#moves.values()].filter(({ isDone }) => !isDone).length
  }

  isDone(range: AssignedRange): boolean {
    return this.#moves.get(moveKeyOf(range))?.isDone === true
  }

  /** Begins the moves that have not begun yet. */
  start(ranges: readonly AssignedRange[]): void {
    for (const range of ranges) {
      if (range.formerOwner === undefined || this.#moves.has(moveKeyOf(range))) continue
      const move: Move = { range, isDone: false }
      this.#moves.set(moveKeyOf(range), move)
      void this.#carryOut(move, range.formerOwner)
    }
  }

  /** Forgets moves that are stored as ended. */
  forget(ranges: readonly AssignedRange[]): void {
    for (const range of ranges) this.#moves.delete(moveKeyOf(range))
  }

  async #carryOut(move: Move, formerOwner: string): Promise<void> {
    const { clock, logger, service, onMoveEnded } = this.#options
    const { from, to, fence, owner } = move.range
    const startedMs = clock.monotonicMs()
    const freed = await this.#free(move.range, formerOwner)
    const freeMs = clock.monotonicMs()
    if (freed === undefined || !(await this.#grant(move.range, freed))) {
      // This host may not send grants any more; the next leader finds the move in the store.
      this.#moves.delete(moveKeyOf(move.range))
      return
    }
    move.isDone = true
    logger.info('keys.moved', {
      service,
      from,
      to,
      fence,
      owner,
      formerOwner,
      freedBy: freed.end,
      handover: freed.handover !== undefined,
      freeAfterMs: freeMs - startedMs,
      tookMs: clock.monotonicMs() - startedMs,
    })
    onMoveEnded()
  }

  /**
   * Resolves when the former owner certainly cannot hold the range any more; to
   * undefined when this host may not send grants any more.
   */
  async #free(range: AssignedRange, formerOwner: string): Promise<Freed | undefined> {
    const { clock, targetControl, logger, service, grants, owners } = this.#options
    const { from, to, fence } = range
    for (let attempt = 0; ; attempt += 1) {
      if (!grants.mayGrant) return undefined
      // A range moves from a target to itself when a later process of it has started, which holds no keys.
      const end = formerOwner === range.owner ? HoldEndReason.newProcess : owners.holdEndReason(formerOwner)
      if (end !== undefined) return { end, handover: undefined }
      const address = owners.addressOf(formerOwner)
      if (address !== undefined) {
        const released = await targetControl.release(
          { id: formerOwner, address },
          { from, to, fence, timeoutMs: releaseTimeoutMs },
        )
        // A release carries the fence of the new owner, so the target refuses
        // earlier grants that arrive after it.
        if (released.isOk && released.value.released) {
          return { end: HoldEndReason.released, handover: released.value.handover }
        }
        if (attempt === 0) {
          const lapsesInMs = grants.lapsesAtMs(formerOwner) - clock.monotonicMs()
          const error = released.isErr ? released.error : { message: 'refused' }
          logger.warn('keys.release_failed', { service, target: formerOwner, from, to, lapsesInMs, ...error })
        }
      }
      await owners.probeUnregistered(formerOwner)
      const lapsesInMs = grants.lapsesAtMs(formerOwner) - clock.monotonicMs()
      await clock.sleep(Math.min(releasePauseMs, Math.max(1, lapsesInMs)))
    }
  }

  /**
   * Resolves to true when the new owner holds the range, has left the target registry or was silent for too
   * long; to false when this host may not send grants any more.
   */
  async #grant(range: AssignedRange, { handover }: Freed): Promise<boolean> {
    const { clock, logger, service, grants, directory } = this.#options
    const startedMs = clock.monotonicMs()
    for (;;) {
      if (!grants.mayGrant) return false
      const target = directory.target(range.owner)
      if (target !== undefined && (await grants.grant(target, range, { handover }))) return true
      if (target === undefined || clock.monotonicMs() - startedMs > abandonAfterMs) {
        const { from, to, fence, owner } = range
        logger.warn('keys.move_abandoned', { service, from, to, fence, owner })
        return true
      }
      await clock.sleep(regrantPauseMs)
    }
  }
}
