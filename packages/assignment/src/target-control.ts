/**
 * Interface through which the leader grants keys to targets, takes them back, and asks who answers at an
 * address.
 */
import type { Result } from 'true-myth'
import type { KeyRange } from './range-map.js'

export interface TargetAddress {
  readonly id: string
  readonly address: string
}

export interface GrantCall extends KeyRange {
  /** Rises with each move of a key; a target refuses a grant when it knows a higher fence for a key. */
  readonly fence: number
  /** How long the target may hold the keys, counted from when the grant arrives. */
  readonly holdMs: number
  /** State of the keys from the former owner's answer to the release; spares the new owner its warm-up. */
  readonly handover: string | undefined
  readonly timeoutMs: number
}

export interface ReleaseCall extends KeyRange {
  /** The fence of the new owner, so that the target refuses earlier grants that arrive after the release. */
  readonly fence: number
  readonly timeoutMs: number
}

export interface ReleaseAnswer {
  /** Whether the target has confirmed that it does not hold the keys any more. */
  readonly released: boolean
  /** State of the keys for the next owner; undefined when the target gave none. */
  readonly handover: string | undefined
}

/**
 * `fenced` and `refused` both mean that the grant did not take effect; `fenced` because the
 * target knows a higher fence for one of the keys.
 */
export const GrantOutcome = { granted: 'granted', fenced: 'fenced', refused: 'refused' } as const
export type GrantOutcome = (typeof GrantOutcome)[keyof typeof GrantOutcome]

/**
 * `not_sent` means that certainly no byte reached the target; after the other codes the call may have taken
 * effect.
 */
export interface ControlError {
  readonly code: 'not_sent' | 'lost' | 'timed_out'
  /** Name of the call that failed. */
  readonly step: string
  /** Address that the call was for. */
  readonly peer: string
  readonly message: string
}

/** What an answer at an address says of the target there. */
export interface ProbeAnswer {
  /** Id of the target that answered; undefined when the answer does not say. */
  readonly id: string | undefined
}

export abstract class TargetControl {
  /**
   * Asks by a request for `path` which target answers at the address; resolves to undefined when none does
   * within `timeoutMs`.
   */
  abstract probe(target: TargetAddress, path: string, timeoutMs: number): Promise<ProbeAnswer | undefined>

  abstract grant(target: TargetAddress, call: GrantCall): Promise<Result<GrantOutcome, ControlError>>

  /** Takes back keys. The answer comes when the requests that the target was running on them have ended. */
  abstract release(target: TargetAddress, call: ReleaseCall): Promise<Result<ReleaseAnswer, ControlError>>
}
