/** How the leader grants keys to targets and takes them back. */
import type { Result } from 'true-myth'
import type { KeyRange } from './range-map.js'

export interface TargetAddress {
  readonly id: string
  readonly address: string
}

export interface GrantCall extends KeyRange {
  readonly fence: number
  readonly holdMs: number
  /** What the former owner handed over; spares the new owner its warm-up. */
  readonly handover: string | undefined
  readonly timeoutMs: number
}

export interface ReleaseCall extends KeyRange {
  readonly fence: number
  readonly timeoutMs: number
}

export interface ReleaseAnswer {
  readonly released: boolean
  readonly handover: string | undefined
}

/** `fenced` means that the target has seen a higher fence on one of the keys. */
export const GrantOutcome = { granted: 'granted', fenced: 'fenced', refused: 'refused' } as const
export type GrantOutcome = (typeof GrantOutcome)[keyof typeof GrantOutcome]

/** `not_sent` means that certainly no byte reached the target; the others leave the outcome open. */
export interface ControlError {
  readonly code: 'not_sent' | 'lost' | 'timed_out'
  readonly step: string
  readonly peer: string
  readonly message: string
}

/** Who answers at an address. */
export interface ProbeAnswer {
  /** Undefined when the answer does not name its sender. */
  readonly id: string | undefined
}

export abstract class TargetControl {
  /** Undefined when nobody answers at the target's address. */
  abstract probe(target: TargetAddress, path: string, timeoutMs: number): Promise<ProbeAnswer | undefined>

  abstract grant(target: TargetAddress, call: GrantCall): Promise<Result<GrantOutcome, ControlError>>

  /** Resolves when the work that was running on the keys has ended. */
  abstract release(target: TargetAddress, call: ReleaseCall): Promise<Result<ReleaseAnswer, ControlError>>
}
