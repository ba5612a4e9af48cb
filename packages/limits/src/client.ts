/**
 * One host's permits of one cell, requested from whichever host is the coordinator of the cell at the time.
 */
import {
  type Clock,
  type CoordinatorInfo,
  type Cancel,
  HeldLease,
  Instant,
  type Logger,
  type PeerDirectory,
  type Permit,
  type PermitRefusal,
  PermitRefusalCode,
  type PermitReport,
  type PermitRequest,
  PermitSource,
  type Random,
} from '@pimentotally/core'
import { Result } from 'true-myth'
import { cancelledRefusal } from './local-permit-source.js'
import type { PermitChannel } from './channel.js'
import type { PermitPool } from './pool.js'
import { ClientSink, CrashList } from './client-sink.js'
import type { CrashRecord, HeldPermit, HostSession } from './session.js'

export interface PermitClientOptions {
  readonly cellId: string
  readonly hostId: string
  readonly clock: Clock
  readonly random: Random
  readonly directory: PeerDirectory
  readonly channel: PermitChannel
  readonly logger: Logger
  /** This host's own pool of the cell, used without a stream while this host is the coordinator. */
  readonly local?: PermitPool
  /** When nothing was received from a coordinator for this long, calls are refused at once. */
  readonly coordinatorWaitMs?: number
  /** While this many calls wait for a response, further calls are refused. */
  readonly maxPending?: number
  readonly reconnectMs?: number
  readonly sweepIntervalMs?: number
}

/** A call that has got neither a permit nor a refusal. */
interface PendingCall {
  readonly callId: number
  readonly request: PermitRequest
  readonly deadlineAtMs: number
  /** When the acquire was sent, taken before the send; undefined while it has to be sent (again). */
  since: Instant | undefined
  readonly settle: (result: Result<Permit, PermitRefusal>) => void
}

interface OutstandingPermit {
  readonly permit: Permit
  readonly request: PermitRequest
  readonly since: Instant
  readonly deadlineAtMs: number
  /** The report that could not be sent; set when the permit was released while no session was open. */
  report: PermitReport | undefined
}

/** A report that could not be sent is kept for this long after its request's deadline, then dropped. */
const unsentReportTtlMs = 30_000

const noCoordinatorRefusal: PermitRefusal = {
  code: PermitRefusalCode.noCoordinator,
  message: 'no coordinator of the cell can be reached',
  retryAfterMs: 500,
}

export class PermitClient extends PermitSource {
  readonly #options: Required<Omit<PermitClientOptions, 'local'>> & Pick<PermitClientOptions, 'local'>
  readonly #clock: Clock
  readonly #pending = new Map<number, PendingCall>()
  readonly #held = new Map<string, OutstandingPermit>()
  /**
   * Released while no session was open. They are listed as held until the next session has sent their
   * reports.
   */
  readonly #unreported = new Map<string, OutstandingPermit>()
  readonly #blocked = new CrashList()
  readonly #suspects = new CrashList()
  readonly #unsubscribe: () => void
  #session: HostSession | undefined
  #coordinator: CoordinatorInfo | undefined
  /**
   * Rises with each session and with each disconnect, so that messages of an earlier session are recognised.
   */
  #sessions = 0
  #calls = 0
  /** Sessions lost since something was last heard of a coordinator. */
  #failures = 0
  /** Lost connections in a row since something was last heard of a coordinator. */
  #connectionsLost = 0
  #heardAtMs: number
  #cancelConnect: Cancel | undefined
  #cancelSweep: Cancel | undefined
  #closed = false

  constructor(options: PermitClientOptions) {
    super()
    this.#options = {
      coordinatorWaitMs: 2000,
      maxPending: 10_000,
      reconnectMs: 20,
      sweepIntervalMs: 25,
      ...options,
    }
    this.#clock = options.clock
    this.#heardAtMs = options.clock.monotonicMs()
    this.#unsubscribe = options.directory.onCoordinator((info) => {
      this.#coordinatorChanged(info)
    })
    this.#connect()
  }

  /** The coordinator of the latest session, which may have ended. */
  get coordinator(): CoordinatorInfo | undefined {
    return this.#coordinator
  }

  /**
   * True when the stream and at least one new connection were lost: the coordinator's process has probably
   * ended.
   */
  get isCoordinatorUnreachable(): boolean {
    return this.#connectionsLost >= 2
  }

  /** Time since a message of the coordinator was received; 0 while this host is the coordinator itself. */
  get heardAgoMs(): number {
    const isLocal = this.#session !== undefined && this.#coordinator?.hostId === this.#options.hostId
    return isLocal ? 0 : this.#clock.monotonicMs() - this.#heardAtMs
  }

  override acquire(request: PermitRequest, signal: AbortSignal): Promise<Result<Permit, PermitRefusal>> {
    if (signal.aborted) return Promise.resolve(Result.err(cancelledRefusal))
    const refusal = this.#refusal(request)
    if (refusal !== undefined) return Promise.resolve(Result.err(refusal))
    return new Promise((resolve) => {
      this.#calls = (this.#calls + 1) >>> 0
      const callId = this.#calls
      const abort = (): void => {
        if (!this.#pending.delete(callId)) return
        this.#session?.cancel(callId)
        resolve(Result.err(cancelledRefusal))
      }
      const pending: PendingCall = {
        callId,
        request,
        deadlineAtMs: this.#clock.monotonicMs() + request.deadlineMs,
        since: undefined,
        settle: (result) => {
          signal.removeEventListener('abort', abort)
          resolve(result)
        },
      }
      this.#pending.set(callId, pending)
      if (this.#session !== undefined) this.#send(this.#session, pending)
      if (!this.#pending.has(callId)) return
      signal.addEventListener('abort', abort, { once: true })
      this.#sweepLater()
    })
  }

  override release(permit: Permit, report: PermitReport): void {
    const held = this.#held.get(permit.permitId)
    if (held === undefined) {
      this.#options.logger.error('permits.release.unknown', {
        step: 'permits.release',
        permitId: permit.permitId,
      })
      return
    }
    this.#held.delete(permit.permitId)
    if (this.#session !== undefined) {
      this.#session.release(permit.permitId, report)
      return
    }
    held.report = report
    this.#unreported.set(permit.permitId, held)
  }

  /**
   * To be checked just before the first byte is written: false once the coordinator may rely on no request
   * being sent with this permit any more.
   */
  isUsable(permit: Permit): boolean {
    const held = this.#held.get(permit.permitId)
    if (held === undefined) return false
    return HeldLease.remainingMs({ since: held.since, durationMs: permit.sendWithinMs }, this.#clock) > 0
  }

  /**
   * All permits that the coordinator has to count for this host: held ones, and those with an unsent report.
   */
  heldPermits(): HeldPermit[] {
    const nowMs = this.#clock.monotonicMs()
    return [...this.#held.values(), ...this.#unreported.values()].map(
      ({ permit, request, deadlineAtMs }) => ({
        permitId: permit.permitId,
        target: permit.target,
        service: request.service,
        shard: request.shard,
        deadlineMs: Math.max(0, deadlineAtMs - nowMs),
        identity: request.identity,
      }),
    )
  }

  blocked(): readonly CrashRecord[] {
    return this.#blocked.list()
  }

  /** Ends the session and refuses the pending calls; all permits must have been released before. */
  close(): void {
    this.#closed = true
    this.#unsubscribe()
    this.#cancelConnect?.()
    this.#cancelSweep?.()
    this.#disconnect()
    for (const pending of [...this.#pending.values()]) this.#refuse(pending, noCoordinatorRefusal)
  }

  #refusal({ identity, deadlineMs }: PermitRequest): PermitRefusal | undefined {
    if (this.#closed) return noCoordinatorRefusal
    if (this.#blocked.has(identity)) {
      return {
        code: PermitRefusalCode.requestBlocked,
        message: 'the request crashed its targets and is blocked',
      }
    }
    if (deadlineMs <= 0)
      return { code: PermitRefusalCode.deadlineTooShort, message: 'the deadline has passed' }
    if (this.#pending.size >= this.#options.maxPending) {
      return {
        code: PermitRefusalCode.queueFull,
        message: 'too many calls wait for permits',
        retryAfterMs: 100,
      }
    }
    return this.#isCutOff() ? noCoordinatorRefusal : undefined
  }

  #isCutOff(): boolean {
    return this.heardAgoMs >= this.#options.coordinatorWaitMs
  }

  #send(session: HostSession, pending: PendingCall): void {
    pending.since = Instant.now(this.#clock)
    const deadlineMs = pending.deadlineAtMs - pending.since.monotonicMs
    session.acquire(pending.callId, { ...pending.request, deadlineMs })
  }

  #refuse(pending: PendingCall, refusal: PermitRefusal): void {
    if (this.#pending.delete(pending.callId)) pending.settle(Result.err(refusal))
  }

  /** Connects to the coordinator that is known after the delay; replaces an earlier schedule. */
  #connectLater(delayMs: number): void {
    if (this.#closed) return
    this.#cancelConnect?.()
    this.#cancelConnect = this.#clock.schedule(delayMs, () => {
      this.#cancelConnect = undefined
      this.#connect()
    })
  }

  #connect(): void {
    if (this.#closed || this.#session !== undefined) return
    const { directory, cellId, hostId, channel, local } = this.#options
    const info = directory.coordinator(cellId)?.info
    const isOwn = info?.hostId === hostId
    const isKnown = info !== undefined && info.term >= (this.#coordinator?.term ?? '')
    if (!isKnown || (isOwn && local?.active !== true)) {
      this.#connectLater(4 * this.#options.reconnectMs)
      return
    }
    this.#cancelConnect?.()
    this.#cancelConnect = undefined
    this.#sessions += 1
    const number = this.#sessions
    const options = {
      hostId,
      term: info.term,
      session: number,
      held: this.heldPermits(),
      suspects: this.#suspects.list(),
      sink: new ClientSink({
        isCurrent: () => this.#sessions === number,
        lent: (callId, permit) => {
          this.#lent(callId, permit)
        },
        refused: (callId, refusal) => {
          this.#refused(callId, refusal)
        },
        heard: () => {
          this.#heard()
        },
        closed: (isConnectionLost) => {
          this.#sessionLost(isConnectionLost)
        },
        blockedList: this.#blocked,
        suspectList: this.#suspects,
      }),
    }
    this.#coordinator = info
    // The coordinator lists all blocked identities at the start of a session; some may have been released
    // meanwhile.
    this.#blocked.clear()
    const session = isOwn && local !== undefined ? local.connect(options) : channel.open(info, options)
    if (!session.open) return
    this.#session = session
    for (const [permitId, { report }] of this.#unreported) {
      if (report !== undefined) session.release(permitId, report)
    }
    this.#unreported.clear()
    for (const pending of this.#pending.values()) this.#send(session, pending)
  }

  #disconnect(): void {
    const session = this.#session
    this.#session = undefined
    // With a new number, ClientSink drops messages of the ended session that arrive later.
    this.#sessions += 1
    session?.end()
  }

  #sessionLost(isConnectionLost: boolean): void {
    this.#session = undefined
    this.#connectionsLost = isConnectionLost ? this.#connectionsLost + 1 : 0
    this.#failures += 1
    const { reconnectMs, random } = this.#options
    const backoffMs = reconnectMs * 2 ** Math.min(this.#failures - 1, 3)
    this.#connectLater(backoffMs * (0.5 + random.float() / 2))
  }

  #coordinatorChanged(info: CoordinatorInfo): void {
    if (info.cellId !== this.#options.cellId || this.#closed) return
    if (this.#session !== undefined) {
      if (this.#coordinator !== undefined && info.term <= this.#coordinator.term) return
      this.#disconnect()
    }
    this.#connect()
  }

  #heard(): void {
    this.#heardAtMs = this.#clock.monotonicMs()
    this.#failures = 0
    this.#connectionsLost = 0
  }

  #lent(callId: number, permit: Permit): void {
    this.#heard()
    const pending = this.#pending.get(callId)
    const { since } = pending ?? {}
    if (pending === undefined || since === undefined || this.#clock.monotonicMs() >= pending.deadlineAtMs) {
      this.#session?.release(permit.permitId, { outcome: 'unused', latencyMs: 0 })
      return
    }
    this.#pending.delete(callId)
    const { request, deadlineAtMs } = pending
    this.#held.set(permit.permitId, { permit, request, since, deadlineAtMs, report: undefined })
    pending.settle(Result.ok(permit))
  }

  #refused(callId: number, refusal: PermitRefusal): void {
    this.#heard()
    const pending = this.#pending.get(callId)
    if (pending === undefined) return
    // The call waits for the next coordinator, up to its deadline.
    if (refusal.code === PermitRefusalCode.noCoordinator) pending.since = undefined
    else this.#refuse(pending, refusal)
  }

  #sweepLater(): void {
    if (this.#cancelSweep !== undefined || this.#closed) return
    this.#cancelSweep = this.#clock.schedule(this.#options.sweepIntervalMs, () => {
      this.#cancelSweep = undefined
      this.#sweep()
      if (this.#pending.size > 0) this.#sweepLater()
    })
  }

  #sweep(): void {
    const nowMs = this.#clock.monotonicMs()
    const session = this.#session
    const cutOff = this.#isCutOff()
    for (const pending of this.#pending.values()) {
      if (cutOff || nowMs >= pending.deadlineAtMs) {
        session?.cancel(pending.callId)
        const late = {
          code: PermitRefusalCode.deadlineTooShort,
          message: 'the deadline passed without a permit',
        }
        this.#refuse(pending, cutOff ? noCoordinatorRefusal : late)
      } else if (session !== undefined && pending.since === undefined) {
        this.#send(session, pending)
      }
    }
    for (const [permitId, { deadlineAtMs }] of this.#unreported) {
      if (nowMs - deadlineAtMs > unsentReportTtlMs) this.#unreported.delete(permitId)
    }
  }
}
