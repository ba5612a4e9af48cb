/** A target as it describes itself in its entry in the platform's store. */

export const TargetState = { ready: 'ready', draining: 'draining' } as const
export type TargetState = (typeof TargetState)[keyof typeof TargetState]

export interface Target {
  /** Usually identifies one process; a target may also restart under its old id, with a new start time. */
  readonly id: string
  readonly service: string
  /** IP address and port. */
  readonly address: string
  /** The failure domain that the target is in. */
  readonly domain: string
  /** Number of requests that the target runs at the same time; others wait in its queue. */
  readonly slots: number
  readonly state: TargetState
  /** Increases with each entry that the same process writes. */
  readonly sequence: number
  /** How long the target stays cold, counted from when it wrote the entry. */
  readonly coldRemainingMs: number
  /**
   * Start of the target's process, in milliseconds since the Unix epoch; undefined when the entry does not
   * say.
   */
  readonly startedAtEpochMs: number | undefined
}
