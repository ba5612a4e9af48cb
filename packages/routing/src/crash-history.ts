/**
 * Counts the crashes of targets that one request explains. Each run of a request on a target whose process ended
 * during the run is a hint only: other requests ran there too. Runs that overlap in time count as one crash,
 * because the loss of a rack ends many targets together, each with requests of the same busy path. Runs that each
 * began after the crash before, with no run to its end in between, have hardly another explanation.
 */

/** A run that ended with the process of its target; instants on one clock. */
export interface CrashedRun {
  readonly sentAtMs: number
  readonly endedAtMs: number
  /** The host that sent the request. */
  readonly hostName: string
}

/** What is allowed to a request, by the number of crashes that it explains. */
export const CrashVerdict = {
  /** It has crashed no target, or has run to its end since. */
  unsuspected: 'unsuspected',
  /** It may be repeated once, but is not hedged, and runs on a target without another suspect if there is one. */
  suspected: 'suspected',
  /** It is not repeated, and runs only alone: once at a time, on a target without another suspect. */
  runsAlone: 'runs_alone',
  /** It is refused. */
  blocked: 'blocked',
} as const
export type CrashVerdict = (typeof CrashVerdict)[keyof typeof CrashVerdict]

/** Crashes in succession after which a request is not sent on any more. */
export const blockingCrashes = 3
/** The instants of runs of two hosts are compared with this tolerance, as a message takes time to arrive. */
const messageDelayMs = 10
/**
 * One turn of hosts that send a suspect in turn. Runs begin in its first half only, so that the next hosts learn of
 * a crash before their turn: it reaches them with two reports.
 */
const turnMs = 1000
/** Number of turns until a host has its next one; with more hosts, several have the same turn. */
const maxTurns = 10

/** Whether the runs were under way at the same time, as far as the instants tell. */
export const areOverlapping = (a: CrashedRun, b: CrashedRun): boolean => {
  const toleranceMs = a.hostName === b.hostName ? 0 : messageDelayMs
  return a.sentAtMs + toleranceMs < b.endedAtMs && b.sentAtMs + toleranceMs < a.endedAtMs
}

/** The runs in succession: each was sent after the one before had ended. */
export const successiveCrashes = <T extends CrashedRun>(runs: readonly T[]): T[] => {
  const successive: T[] = []
  for (const run of [...runs].sort((a, b) => a.endedAtMs - b.endedAtMs)) {
    const last = successive.at(-1)
    const toleranceMs = run.hostName === last?.hostName ? 0 : messageDelayMs
    if (last === undefined || run.sentAtMs + toleranceMs >= last.endedAtMs) successive.push(run)
  }
  return successive
}

export const crashVerdict = (crashes: number): CrashVerdict => {
  if (crashes === 0) return CrashVerdict.unsuspected
  if (crashes === 1) return CrashVerdict.suspected
  return crashes < blockingCrashes ? CrashVerdict.runsAlone : CrashVerdict.blocked
}

export interface TurnInputs {
  readonly hostName: string
  /** Names of all hosts. */
  readonly hostNames: readonly string[]
  /** Since the last crash under the request. */
  readonly lastCrashAgeMs: number
}

/**
 * How long the host has to wait for its turn to send a suspect; 0 while it may. Turns are counted from the last
 * crash, which all hosts know within the time of a message, so that they need no agreement. During the first one,
 * hosts tell each other of the crash, and none sends.
 */
export const turnWaitMs = ({ hostName, hostNames, lastCrashAgeMs }: TurnInputs): number => {
  const turns = Math.min(maxTurns, hostNames.length)
  if (turns <= 1) return 0
  const own = hostNames.filter((name) => name < hostName).length % turns
  const cycleMs = turns * turnMs
  const intoCycleMs = (lastCrashAgeMs - turnMs) % cycleMs
  const startMs = own * turnMs
  if (lastCrashAgeMs < turnMs) return startMs - intoCycleMs
  if (intoCycleMs < startMs) return startMs - intoCycleMs
  return intoCycleMs < startMs + turnMs / 2 ? 0 : startMs + cycleMs - intoCycleMs
}
