/** What the register of targets says of one target. */

export const TargetState = { ready: 'ready', draining: 'draining' } as const
export type TargetState = (typeof TargetState)[keyof typeof TargetState]

export interface Target {
  /** Identifies one incarnation, except where a target starts again under its old id. */
  readonly id: string
  readonly service: string
  /** IP address and port. */
  readonly address: string
  readonly domain: string
  readonly slots: number
  readonly state: TargetState
  /** Rises with each report of the same process. */
  readonly sequence: number
  /** How long the target stays cold, counted from the report. */
  readonly coldRemainingMs: number
  /** Start of the process, in milliseconds since the Unix epoch. */
  readonly startedAtEpochMs: number | undefined
}
