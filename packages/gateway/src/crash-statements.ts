/** What hosts tell each other of runs that crashed their targets, and the check of what another host tells. */

/** A crashed run, as hosts tell each other. */
export interface CrashStatement {
  /** Name of the request; see `CrashingRequests.identify`. */
  readonly request: string
  readonly target: string
  /** Start of the target's process; null when its entry does not say. */
  readonly startedAtEpochMs: number | null
  readonly hostName: string
  readonly sentAgeMs: number
  readonly endedAgeMs: number
  /** Whether the request has run to its end since. */
  readonly cleared: boolean
  /** Since the request last ran to its end at any host; absent if that is not known. */
  readonly completedAgeMs?: number
  /** Whether the target's process ended under several runs of the request at once; absent if that is not known. */
  readonly shared?: boolean
}

export const isCrashStatement = (value: unknown): value is CrashStatement => {
  const {
    request,
    target,
    startedAtEpochMs,
    hostName,
    sentAgeMs,
    endedAgeMs,
    cleared,
    completedAgeMs,
    shared,
  } = (value ?? {}) as Partial<Record<string, unknown>>
  return (
    typeof request === 'string' &&
    typeof target === 'string' &&
    (startedAtEpochMs === null || Number.isFinite(startedAtEpochMs)) &&
    typeof hostName === 'string' &&
    Number.isFinite(sentAgeMs) &&
    Number.isFinite(endedAgeMs) &&
    Number(endedAgeMs) >= 0 &&
    Number(sentAgeMs) >= Number(endedAgeMs) &&
    typeof cleared === 'boolean' &&
    (completedAgeMs === undefined || (Number.isFinite(completedAgeMs) && Number(completedAgeMs) >= 0)) &&
    (shared === undefined || typeof shared === 'boolean')
  )
}
