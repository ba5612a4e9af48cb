/**
 * Recognises requests that crash each target that runs them, and keeps them from further targets. A run whose
 * connection was lost counts when the process of its target has ended as well: its address refuses connections,
 * or the target registry shows another process or none. A run to its end, before or after, clears the request.
 * Hosts tell each other of such runs with their reports, so that a request that comes to many hosts in turn is
 * recognised by all.
 */
import { createHash } from 'node:crypto'
import { connect } from 'node:net'
import type { Clock, Logger } from '@pimentotally/core'
import { splitAddress } from '@pimentotally/http'
import {
  CrashVerdict,
  areOverlapping,
  crashVerdict,
  successiveCrashes,
  turnWaitMs,
  type CrashedRun,
} from '@pimentotally/routing'
import type { CrashStatement } from './crash-statements.js'
import type { Directory, KnownTarget } from './directory.js'

/** A blocked request is refused for this long after its last crash; then it runs alone once more. */
const blockMs = 600_000
/**
 * After a crash that would block a request, other hosts get this time to tell that it has run to its end there: a
 * crash reaches them with four reports, and their answer takes four more.
 */
const confirmationMs = 3000
/** A run to the end clears the request of crashes for this long. */
const completionLifetimeMs = 10_000
/**
 * A run to the end that another host tells of replaces the one that is known only if it is later by more than this:
 * its age lacks the time of the messages, and the same run told to and fro would be remembered without end.
 */
const toldCompletionSlackMs = 1000
/** Most requests whose last run to the end is remembered. */
const maxCompletions = 5000
/** What is known of a request is forgotten this long after its last crash. */
const lifetimeMs = 3_600_000
/** Other hosts are told for this long that a request has run to its end. */
const clearedLifetimeMs = 30_000
/** Most requests that are remembered; beyond it, those with the fewest crashes go first, the oldest of them first. */
const maxRequests = 1000
/** Most crashed runs that are remembered of one request. */
const maxRunsPerRequest = 8
/** Most statements in one message; those about requests with the most crashes are told first. */
const maxStatements = 100
/** Interval between looks at a target that neither accepts nor refuses connections. */
const examineIntervalMs = 500
/** Time limit of the looks at one target: its registry entry has been removed or replaced by then. */
const maxExamineMs = 5000
/** Time limit of one connection attempt. */
const probeTimeoutMs = 400
/** Of a large body, only so much counts towards the identity of a request, besides its length. */
const maxHashedBytes = 64 * 1024
/** Bytes of the hash that identifies a request. */
const identityBytes = 16

/** What a connection attempt tells about the process at an address. */
export const ProcessState = { running: 'running', ended: 'ended', unknown: 'unknown' } as const
export type ProcessState = (typeof ProcessState)[keyof typeof ProcessState]

/** Resolves to the state of the process at the address; never rejects. */
export type ProcessProbe = (address: string) => Promise<ProcessState>

/** What makes a request the same one when it comes again. */
export interface RequestContent {
  readonly method: string
  readonly hostname: string
  /** With the query. */
  readonly path: string
  /** Address of the caller. */
  readonly caller: string
  readonly body: Buffer | undefined
}

interface KnownRun extends CrashedRun {
  readonly target: string
  readonly startedAtEpochMs: number | undefined
  cleared: boolean
  /** Whether the process ended under several runs of the request at once. */
  shared: boolean
}

interface KnownRequest {
  /** By the target's process; a process ends only once. */
  readonly runs: Map<string, KnownRun>
  /** Crashes in succession that no run to the end has cleared. */
  crashes: number
  lastCrashAtMs: number
  clearedAtMs: number
}

/** A run whose connection was lost. */
export interface LostRun {
  /** See `CrashingRequests.identify`. */
  readonly names: readonly string[]
  /** Id of the caller's attempt, for the log. */
  readonly requestId: string
  readonly target: KnownTarget
  readonly sentAtMs: number
}

/** Why a request is refused. */
export interface CrashRefusal {
  readonly reason: string
  readonly retryAfterMs: number
  readonly inputs: Readonly<Record<string, unknown>>
}

export interface CrashingRequestsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly hostName: string
  readonly probe?: ProcessProbe
}

const probeProcess: ProcessProbe = (address) =>
  new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: probeTimeoutMs })
    const end = (state: ProcessState): void => {
      socket.destroy()
      resolve(state)
    }
    socket.once('connect', () => {
      end(ProcessState.running)
    })
    socket.once('timeout', () => {
      end(ProcessState.unknown)
    })
    socket.once('error', ({ code }: NodeJS.ErrnoException) => {
      end(code === 'ECONNREFUSED' ? ProcessState.ended : ProcessState.unknown)
    })
  })

/** Hash of the request as a whole; without a caller, of what all callers of it have in common. */
const hashOf = (
  { method, hostname, path, body }: Omit<RequestContent, 'caller'>,
  caller: string | undefined,
): string => {
  const head = JSON.stringify([method, hostname, path, caller ?? null, body?.length ?? null])
  const hash = createHash('sha256').update(head)
  if (body !== undefined) hash.update(body.subarray(0, maxHashedBytes))
  return hash.digest().subarray(0, identityBytes).toString('base64url')
}

const verdictsByRank = Object.values(CrashVerdict)

const addTo = (counts: Map<string, number>, name: string, count: number): void => {
  const sum = (counts.get(name) ?? 0) + count
  if (sum > 0) counts.set(name, sum)
  else counts.delete(name)
}

const processKey = (target: string, startedAtEpochMs: number | null | undefined): string =>
  `${target}/${String(startedAtEpochMs ?? '')}`

/** Drops a run that does not add to the count, or else the oldest. */
const dropLeastTelling = (runs: Map<string, KnownRun>): void => {
  const counted = new Set(successiveCrashes([...runs.values()].filter(({ cleared }) => !cleared)))
  const [key] = [...runs].find(([, run]) => !counted.has(run)) ?? [...runs][0] ?? []
  if (key !== undefined) runs.delete(key)
}

export class CrashingRequests {
  readonly #options: Required<CrashingRequestsOptions>
  readonly #known = new Map<string, KnownRequest>()
  /** Suspects that run now, by target, each with the number of its runs. */
  readonly #running = new Map<string, Map<string, number>>()
  /** Whether the process of a target has ended, while that is being found out. */
  readonly #examinations = new Map<string, Promise<boolean>>()
  /** When each request last ran to its end, the latest last. */
  readonly #completedAtMs = new Map<string, number>()
  /** Lost runs of each request whose targets are being examined. */
  readonly #unexplained = new Map<string, number>()

  constructor({ probe = probeProcess, ...options }: CrashingRequestsOptions) {
    this.#options = { ...options, probe }
  }

  /** Whether no request is under suspicion, so that none needs to be identified. */
  get isEmpty(): boolean {
    return this.#known.size === 0 && this.#unexplained.size === 0
  }

  /** Number of requests that have crashed a target and have not run to their end since. */
  get suspects(): number {
    return [...this.#known.values()].filter(({ crashes }) => crashes > 0).length
  }

  /** Number of requests that are refused. */
  get blocked(): number {
    return [...this.#known.keys()].filter((request) => this.#verdict(request) === CrashVerdict.blocked).length
  }

  /**
   * The names by which the request is counted: one for its caller, and one for all callers of the same content, whose
   * addresses may change from attempt to attempt. Each is the same at every host and for every attempt.
   */
  static identify({ caller, ...content }: RequestContent): string[] {
    return [hashOf(content, caller), hashOf(content, undefined)]
  }

  /** What is allowed to the request under the name that is suspected more. */
  verdict(names: readonly string[]): CrashVerdict {
    const ranks = names.map((name) => verdictsByRank.indexOf(this.#verdict(name)))
    return verdictsByRank[Math.max(...ranks)] ?? CrashVerdict.unsuspected
  }

  #verdict(request: string): CrashVerdict {
    const known = this.#known.get(request)
    if (known === undefined) return CrashVerdict.unsuspected
    const verdict = crashVerdict(known.crashes)
    const isBlockOver = this.#options.clock.monotonicMs() - known.lastCrashAtMs >= blockMs
    return verdict === CrashVerdict.blocked && isBlockOver ? CrashVerdict.runsAlone : verdict
  }

  /** Whether the request may be sent again at once, if each of its lost runs has crashed a target. */
  mayRepeat(names: readonly string[]): boolean {
    return names.every((name) => {
      const crashes = (this.#known.get(name)?.crashes ?? 0) + (this.#unexplained.get(name) ?? 0)
      const verdict = crashVerdict(crashes)
      return verdict === CrashVerdict.unsuspected || verdict === CrashVerdict.suspected
    })
  }

  /** Why the request must not be sent to any target now; undefined if it may be. */
  refuse(names: readonly string[], retryAfterMs: number): CrashRefusal | undefined {
    for (const name of names) {
      const refusal = this.#refuse(name, retryAfterMs)
      if (refusal !== undefined) return refusal
    }
    return undefined
  }

  #refuse(request: string, retryAfterMs: number): CrashRefusal | undefined {
    const verdict = this.#verdict(request)
    if (verdict === CrashVerdict.blocked) {
      const { inputs, lastCrashAtMs } = this.#describe(request)
      const ageMs = this.#options.clock.monotonicMs() - lastCrashAtMs
      if (ageMs < confirmationMs)
        return { reason: 'crash_unconfirmed', retryAfterMs: confirmationMs - ageMs, inputs }
      return { reason: 'request_crashes_targets', retryAfterMs: blockMs - ageMs, inputs }
    }
    const isFrequent = this.#isFrequent(request)
    if (verdict !== CrashVerdict.runsAlone && !isFrequent) return undefined
    const { inputs, lastCrashAtMs } = this.#describe(request)
    const isRunning = [...this.#running.values()].some((runs) => runs.has(request))
    if (isRunning) return { reason: 'suspect_runs', retryAfterMs, inputs }
    if (!isFrequent) return undefined
    const { clock, directory, hostName } = this.#options
    const lastCrashAgeMs = clock.monotonicMs() - lastCrashAtMs
    const waitMs = turnWaitMs({ hostName, hostNames: directory.hostNames, lastCrashAgeMs })
    return waitMs > 0 ? { reason: 'suspect_turn', retryAfterMs, inputs: { ...inputs, waitMs } } : undefined
  }

  /**
   * Whether several runs of the request were lost at once: it comes to many hosts together, and each of them sending
   * it once would be more runs than there may be after a third crash.
   */
  #isFrequent(request: string): boolean {
    const runs = [...(this.#known.get(request)?.runs.values() ?? [])].filter(({ cleared }) => !cleared)
    return runs.some(({ shared }) => shared) || successiveCrashes(runs).length < runs.length
  }

  /** Targets on which suspects other than this request run. */
  occupiedTargets(names: readonly string[]): ReadonlySet<string> {
    const occupied = [...this.#running].filter(([, runs]) =>
      [...runs.keys()].some((name) => !names.includes(name)),
    )
    return new Set(occupied.map(([target]) => target))
  }

  /** Records that a request under suspicion is sent to a target; returns the function that records its end. */
  runStarted(names: readonly string[], target: string): () => void {
    const suspects = names.filter((name) => this.#verdict(name) !== CrashVerdict.unsuspected)
    if (suspects.length === 0) return () => undefined
    const runs = this.#running.get(target) ?? new Map<string, number>()
    this.#running.set(target, runs)
    for (const name of suspects) addTo(runs, name, 1)
    let ended = false
    return () => {
      if (ended) return
      ended = true
      for (const name of suspects) addTo(runs, name, -1)
      if (runs.size === 0 && this.#running.get(target) === runs) this.#running.delete(target)
    }
  }

  /** Records that the request has run to its end on a target. */
  runCompleted(names: readonly string[]): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const name of names) this.#complete(name, nowMs)
  }

  #complete(request: string, completedAtMs: number): void {
    this.#completedAtMs.delete(request)
    this.#completedAtMs.set(request, completedAtMs)
    if (this.#completedAtMs.size > maxCompletions) {
      const [oldest] = this.#completedAtMs.keys()
      if (oldest !== undefined) this.#completedAtMs.delete(oldest)
    }
    const known = this.#known.get(request)
    if (known === undefined || known.crashes === 0) return
    for (const run of known.runs.values()) if (this.#isCleared(request, run)) run.cleared = true
    this.#count(request, known)
  }

  /** Takes a run to the end that another host tells of. */
  #completeTold(request: string, completedAtMs: number): void {
    const knownAtMs = this.#completedAtMs.get(request) ?? Number.NEGATIVE_INFINITY
    if (completedAtMs > knownAtMs + toldCompletionSlackMs) this.#complete(request, completedAtMs)
  }

  /** Finds out whether the target's process has ended; resolves once that is known and recorded. */
  async runLost({ names, requestId, target, sentAtMs }: LostRun): Promise<void> {
    const { clock, hostName, logger } = this.#options
    const endedAtMs = clock.monotonicMs()
    const { id, startedAtEpochMs } = target
    for (const name of names) addTo(this.#unexplained, name, 1)
    const hasEnded = await this.#examine(target)
    for (const name of names) addTo(this.#unexplained, name, -1)
    if (!hasEnded) return
    for (const name of names) {
      const run = {
        target: id,
        startedAtEpochMs,
        hostName,
        sentAtMs,
        endedAtMs,
        cleared: false,
        shared: false,
      }
      this.#record(name, run, { isTold: false })
      const { inputs } = this.#describe(name)
      logger.info('request.crash', { ...inputs, requestId, target: id, ranMs: endedAtMs - sentAtMs })
    }
  }

  /** What this host knows, for other hosts. */
  statements(): CrashStatement[] {
    this.#dropOld()
    const nowMs = this.#options.clock.monotonicMs()
    return [...this.#known]
      .sort(([, a], [, b]) => b.crashes - a.crashes || b.lastCrashAtMs - a.lastCrashAtMs)
      .flatMap(([request, { runs }]) => [...runs.values()].map((run) => ({ request, run })))
      .slice(0, maxStatements)
      .map(
        ({ request, run: { target, startedAtEpochMs, hostName, sentAtMs, endedAtMs, cleared, shared } }) => {
          const completedAtMs = this.#completedAtMs.get(request)
          return {
            request,
            target,
            startedAtEpochMs: startedAtEpochMs ?? null,
            hostName,
            sentAgeMs: nowMs - sentAtMs,
            endedAgeMs: nowMs - endedAtMs,
            cleared,
            ...(shared ? { shared } : {}),
            ...(completedAtMs === undefined ? {} : { completedAgeMs: nowMs - completedAtMs }),
          }
        },
      )
  }

  /** Takes what another host knows. */
  merge(statements: readonly CrashStatement[]): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const {
      request,
      target,
      startedAtEpochMs,
      hostName,
      sentAgeMs,
      endedAgeMs,
      cleared,
      completedAgeMs,
      shared = false,
    } of statements) {
      if (endedAgeMs >= lifetimeMs) continue
      if (completedAgeMs !== undefined) this.#completeTold(request, nowMs - completedAgeMs)
      const run = {
        target,
        startedAtEpochMs: startedAtEpochMs ?? undefined,
        hostName,
        sentAtMs: nowMs - sentAgeMs,
        endedAtMs: nowMs - endedAgeMs,
        cleared,
        shared,
      }
      this.#record(request, run, { isTold: true })
    }
  }

  #record(request: string, run: KnownRun, { isTold }: { readonly isTold: boolean }): void {
    const known = this.#known.get(request) ?? {
      runs: new Map(),
      crashes: 0,
      lastCrashAtMs: 0,
      clearedAtMs: 0,
    }
    const key = processKey(run.target, run.startedAtEpochMs)
    const earlier = known.runs.get(key)
    if (this.#isCleared(request, run)) run.cleared = true
    // The same run as told again is late by the time that the messages took.
    if (earlier === undefined) known.runs.set(key, run)
    else {
      const isToldAgain = isTold && run.hostName === earlier.hostName
      if (run.shared || (!isToldAgain && areOverlapping(earlier, run))) earlier.shared = true
      if (run.cleared) earlier.cleared = true
    }
    if (known.runs.size > maxRunsPerRequest) dropLeastTelling(known.runs)
    this.#known.set(request, known)
    this.#count(request, known)
    if (this.#known.size > maxRequests) this.#dropLeastSuspected()
  }

  /** Whether the request has run to its end since the run, or shortly before its end. */
  #isCleared(request: string, { endedAtMs }: CrashedRun): boolean {
    const completedAtMs = this.#completedAtMs.get(request) ?? Number.NEGATIVE_INFINITY
    return endedAtMs - completedAtMs < completionLifetimeMs
  }

  #count(request: string, known: KnownRequest): void {
    const { logger, clock } = this.#options
    const before = crashVerdict(known.crashes)
    const runs = [...known.runs.values()]
    known.crashes = successiveCrashes(runs.filter(({ cleared }) => !cleared)).length
    known.lastCrashAtMs = Math.max(...runs.map(({ endedAtMs }) => endedAtMs))
    if (known.crashes === 0) known.clearedAtMs = clock.monotonicMs()
    const after = crashVerdict(known.crashes)
    if (after !== before)
      logger.info('request.crash_verdict', { ...this.#describe(request).inputs, before, after })
  }

  #describe(request: string): {
    readonly inputs: Readonly<Record<string, unknown>>
    readonly lastCrashAtMs: number
  } {
    const { crashes = 0, lastCrashAtMs = 0, runs } = this.#known.get(request) ?? {}
    const nowMs = this.#options.clock.monotonicMs()
    const counted = [...(runs?.values() ?? [])].filter(({ cleared }) => !cleared)
    const inputs = {
      request,
      crashes,
      crashedTargets: counted.map(({ target }) => target),
      toldBy: [...new Set(counted.map(({ hostName }) => hostName))],
      lastCrashAgeMs: nowMs - lastCrashAtMs,
    }
    return { inputs, lastCrashAtMs }
  }

  /** Like `#hasEnded`, once for all runs that were lost there. */
  #examine(target: KnownTarget): Promise<boolean> {
    const key = processKey(target.id, target.startedAtEpochMs)
    const examination =
      this.#examinations.get(key) ??
      this.#hasEnded(target).finally(() => {
        this.#examinations.delete(key)
      })
    this.#examinations.set(key, examination)
    return examination
  }

  /** Whether the target's process has ended, as far as that can be told within a time limit. */
  async #hasEnded({ id, address, startedAtEpochMs }: KnownTarget): Promise<boolean> {
    const { clock, directory, probe } = this.#options
    const startedMs = clock.monotonicMs()
    while (clock.monotonicMs() - startedMs < maxExamineMs) {
      const state = await probe(address)
      if (state === ProcessState.running) return false
      const current = directory.target(id)
      if (state === ProcessState.ended || current?.startedAtEpochMs !== startedAtEpochMs) return true
      await clock.sleep(examineIntervalMs)
    }
    return false
  }

  #dropOld(): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [request, { crashes, lastCrashAtMs, clearedAtMs }] of this.#known) {
      const isOld =
        crashes > 0 ? nowMs - lastCrashAtMs >= lifetimeMs : nowMs - clearedAtMs >= clearedLifetimeMs
      if (isOld) this.#known.delete(request)
    }
  }

  #dropLeastSuspected(): void {
    const [least] = [...this.#known].sort(
      ([, a], [, b]) => a.crashes - b.crashes || a.lastCrashAtMs - b.lastCrashAtMs,
    )
    if (least !== undefined) this.#known.delete(least[0])
  }
}
