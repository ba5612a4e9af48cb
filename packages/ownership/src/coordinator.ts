/**
 * The task that a host runs for one cell: it follows the cell's coordinator, campaigns for the role when the
 * coordinator is not heard of any more, and leads the cell while it is the coordinator. Whatever a tenure
 * grants to targets (items) or issues to hosts (permits) is checked against the validity of its term at that
 * moment, as this process may have been paused at any `await`.
 */
import {
  CellAuthority,
  DomainState,
  Configuration,
  Instant,
  Term,
  domainOfCell,
  type CellRecord,
  type CoordinatorInfo,
  type ShardOwner,
} from '@pimentotally/core'
import { AssignmentItem } from './assignment.js'
import { ensureRecord } from './homes.js'
import { CellAssignmentController } from './cell-assignment-controller.js'
import { coordinatorDefaults, type CellCoordinatorOptions, type CoordinatorSettings } from './options.js'
import { CellRecordRow } from './cell-record-row.js'
import { RecordStep } from './record-step.js'
import { describeCell, type CellStatus } from './status.js'
import { AssignmentRow } from './assignment-row.js'
import { Tenure } from './tenure.js'
import { TransferStep } from './transfer.js'
import { Wakeup } from './wakeup.js'

export const CellRole = { following: 'following', campaigning: 'campaigning', leading: 'leading' } as const
export type CellRole = (typeof CellRole)[keyof typeof CellRole]

/** A claim that no majority has accepted within this time is given up. */
const claimTimeoutMs = 300
/**
 * Time limit for asking the peers whether they hear the coordinator, and longest wait before they are asked
 * again.
 */
const peerQueryTimeoutMs = 100
/**
 * Extra wait before a claim by a candidate that reaches none of its peers, as this host is then probably the
 * one that is cut off. It is short enough for the only surviving host to serve again within 2 s. It doubles
 * with each claim, so that two hosts that do not hear each other but both reach the targets do not keep
 * taking the cell over from each other.
 */
const isolationWaitMs = 700
const maxIsolationWaitMs = 60_000
/** Interval at which a candidate asks its peers again during that wait. */
const isolationCheckMs = 100

export class CellCoordinator extends CellAuthority {
  readonly cellId: string
  readonly #settings: CoordinatorSettings
  readonly #wakeup: Wakeup
  readonly #stop = new AbortController()
  #role: CellRole = CellRole.following
  #tenure: Tenure | undefined
  #assignmentController: CellAssignmentController | undefined
  #assignmentRow: AssignmentRow | undefined
  #record: CellRecord | undefined
  #highestTerm: Term = Term.none
  /**
   * When this host began to wait for a coordinator to be announced: at its start, or at the end of its
   * tenure.
   */
  #waitingSince: Instant
  /** True until a coordinator was heard after `#waitingSince`. */
  #isCoordinatorUnknown = true
  #recordRetryAtMs = -Infinity
  /** True once another host was known as a peer; until then this host does not count as isolated. */
  #hasKnownPeers = false
  /** When this host first found that no peer responds, or when it made its last claim since then. */
  #isolatedSince: Instant | undefined
  /** Claims that this host has made since no peer responds. */
  #isolatedClaims = 0
  #done: Promise<void> = Promise.resolve()

  constructor(options: CellCoordinatorOptions) {
    super()
    this.#settings = { ...coordinatorDefaults, ...options }
    this.cellId = options.cellId
    this.#wakeup = new Wakeup(options.clock)
    this.#waitingSince = Instant.now(options.clock)
  }

  override term(): Term | undefined {
    return this.validForMs() > 0 ? this.#tenure?.term : undefined
  }

  override validForMs(): number {
    return this.#role === CellRole.leading ? (this.#tenure?.validForMs() ?? 0) : 0
  }

  override owner(service: string, shard: number, keyHash: string): ShardOwner | undefined {
    if (this.#role !== CellRole.leading) return undefined
    const id = AssignmentItem.shardId(service, shard)
    const isVerifying = this.#settings.directory
      .configuration()
      .deployment.services.some((spec) => spec.name === service && spec.verifiesGrants)
    if (
      !isVerifying &&
      (this.#assignmentController?.isAssignmentKnown !== true ||
        this.#assignmentController.isAwaitingPermits(id))
    )
      return undefined
    return this.#tenure?.owner(service, shard, keyHash)
  }

  status(): CellStatus {
    return describeCell({
      cellId: this.cellId,
      role: this.#role,
      clock: this.#settings.clock,
      ...(this.#role === CellRole.leading && this.#tenure !== undefined ? { tenure: this.#tenure } : {}),
      isStored: this.#assignmentRow?.isStored ?? false,
      unstoredMoves: this.#assignmentController?.unstoredMoves ?? 0,
      movedItems: this.#assignmentController?.movedItems ?? 0,
    })
  }

  /** Runs until `stop` is called, which hands the term over, or until `signal` aborts, which does not. */
  run(signal: AbortSignal): Promise<void> {
    const either = AbortSignal.any([signal, this.#stop.signal])
    this.#done = this.#run(either)
    return this.#done
  }

  /** Releases the term, so that a peer takes the cell over at once; resolves when the task has ended. */
  async stop(): Promise<void> {
    const tenure = this.#tenure
    const assignmentController = this.#assignmentController
    const wasValid = this.validForMs() > 0
    this.#stop.abort()
    if (tenure !== undefined && assignmentController !== undefined && wasValid) {
      tenure.end('handed over')
      assignmentController.publish()
      this.#settings.directory.announce({ ...this.#coordinatorInfo(tenure.term), released: true })
    }
    await this.#done
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { directory } = this.#settings
    const stopListening = directory.onCoordinator((info) => {
      if (info.cellId !== this.cellId) return
      if (info.term > this.#highestTerm) this.#highestTerm = info.term
      this.#wakeup.wake()
    })
    try {
      while (!signal.aborted) {
        this.#role = CellRole.following
        const hostSequence = await this.#follow(signal)
        if (hostSequence !== undefined && !isAborted(signal)) await this.#campaign(hostSequence, signal)
      }
    } finally {
      stopListening()
    }
  }

  /**
   * Resolves to this host's sequence number when it should claim the cell; undefined when `signal` has
   * aborted.
   */
  async #follow(signal: AbortSignal): Promise<number | undefined> {
    const { clock, random, coordinatorTimeoutMs, rankDelayMs, rankJitterMs, directory } = this.#settings
    while (!signal.aborted) {
      const hostSequence = this.#settings.hostSequence()
      const state = Configuration.domainState(directory.configuration(), domainOfCell(this.cellId))
      const record =
        hostSequence === undefined || state === DomainState.lost ? undefined : await this.#findRecord()
      if (isAborted(signal)) return undefined
      if (record === undefined || hostSequence === undefined) {
        await this.#wakeup.wait(this.#settings.renewIntervalMs, signal)
        continue
      }
      const silentMs = this.#coordinatorSilentMs()
      if (silentMs < coordinatorTimeoutMs) {
        await this.#wakeup.wait(coordinatorTimeoutMs - silentMs + 1, signal)
        continue
      }
      const heardMs = await this.#sinceHeardByPeersMs(signal)
      if (heardMs < coordinatorTimeoutMs) {
        // Peers may notice a lost connection slightly later than this host, so they are asked again soon.
        await this.#wakeup.wait(Math.min(peerQueryTimeoutMs, coordinatorTimeoutMs - heardMs + 1), signal)
        continue
      }
      if (this.#isIsolationWaitRunning()) {
        await clock.sleep(isolationCheckMs, signal)
        continue
      }
      const termBefore = this.#highestTerm
      await clock.sleep(this.#rank() * rankDelayMs + random.float() * rankJitterMs, signal)
      if (isAborted(signal)) return undefined
      if (this.#highestTerm !== termBefore || this.#coordinatorSilentMs() < coordinatorTimeoutMs) continue
      if (this.#isolatedSince !== undefined) {
        this.#isolatedClaims += 1
        this.#isolatedSince = Instant.now(clock)
      }
      return hostSequence
    }
    return undefined
  }

  /**
   * Time since this host last heard of a coordinator; infinite when the coordinator has released its term.
   */
  #coordinatorSilentMs(): number {
    const { directory, clock } = this.#settings
    const known = directory.coordinator(this.cellId)
    if (known?.info.released === true) return Infinity
    const waitingMs = Instant.holderElapsedMs(this.#waitingSince, clock)
    if (known === undefined || known.info.hostId === directory.self().hostId) return waitingMs
    if (known.heardAgoMs < waitingMs) this.#isCoordinatorUnknown = false
    return this.#isCoordinatorUnknown ? Math.min(waitingMs, known.heardAgoMs) : known.heardAgoMs
  }

  #isIsolationWaitRunning(): boolean {
    if (this.#isolatedSince === undefined) return false
    const waitMs = Math.min(maxIsolationWaitMs, isolationWaitMs * 2 ** this.#isolatedClaims)
    return Instant.waiterElapsedMs(this.#isolatedSince, this.#settings.clock) < waitMs
  }

  #recordPeerContact(isReached: boolean): void {
    if (!isReached) {
      this.#isolatedSince ??= Instant.now(this.#settings.clock)
      return
    }
    this.#isolatedSince = undefined
    this.#isolatedClaims = 0
  }

  /**
   * The shortest time since any peer heard the coordinator; infinite when no peer reports one or it has
   * released its term.
   */
  async #sinceHeardByPeersMs(signal: AbortSignal): Promise<number> {
    const { directory, peers, clock } = this.#settings
    const known = directory.coordinator(this.cellId)
    if (known === undefined || known.info.released === true) return Infinity
    const others = directory
      .peers(directory.self().domain)
      .filter(({ hostId }) => hostId !== known.info.hostId)
    if (others.length > 0) this.#hasKnownPeers = true
    let isReached = !this.#hasKnownPeers
    let shortestMs = Infinity
    const heardRecently = new AbortController()
    const queries = others.map(async (peer) => {
      const view = await peers.cellView(peer, this.cellId)
      if (view !== undefined) isReached = true
      const coordinator = view?.coordinator
      if (coordinator === undefined || coordinator.term < known.info.term) return
      if (coordinator.hostId === directory.self().hostId) return
      shortestMs = Math.min(shortestMs, coordinator.heardAgoMs)
      if (shortestMs < this.#settings.coordinatorTimeoutMs) heardRecently.abort()
    })
    const limit = AbortSignal.any([signal, heardRecently.signal])
    await Promise.race([Promise.all(queries), clock.sleep(peerQueryTimeoutMs, limit)])
    heardRecently.abort()
    this.#recordPeerContact(isReached)
    return shortestMs
  }

  /** The number of candidates among the peers that have a lower host sequence number than this host. */
  #rank(): number {
    const { directory } = this.#settings
    const self = directory.self()
    const ownSequence = this.#settings.hostSequence() ?? Infinity
    const silentHostId = directory.coordinator(this.cellId)?.info.hostId
    return directory
      .peers(self.domain)
      .filter(({ hostId, leaving }) => hostId !== silentHostId && !leaving)
      .filter(({ hostSequence }) => hostSequence !== undefined && hostSequence < ownSequence).length
  }

  /**
   * The newest cell record that this host knows. It is read from the platform only when no record is known or
   * a term of a newer epoch was seen; undefined if the record is still missing or outdated then.
   */
  async #findRecord(): Promise<CellRecord | undefined> {
    const { directory, store, clock, platformRetryMs } = this.#settings
    const gossiped = directory.cells().find(({ cellId }) => cellId === this.cellId)?.record
    if (gossiped !== undefined && gossiped.epoch > (this.#record?.epoch ?? 0)) this.#record = gossiped
    const isOutdated = (): boolean =>
      this.#record === undefined || this.#record.epoch < Term.parts(this.#highestTerm).epoch
    if (!isOutdated()) return this.#record
    if (clock.monotonicMs() < this.#recordRetryAtMs) return undefined
    this.#recordRetryAtMs = clock.monotonicMs() + platformRetryMs
    const configuration = directory.configuration()
    if (configuration.version === 0) return undefined
    const hosts = [directory.self(), ...directory.peers(directory.self().domain)]
    const record = await ensureRecord(store, configuration, this.cellId, hosts)
    if (record !== undefined && record.epoch > (this.#record?.epoch ?? 0)) {
      this.#record = record
      directory.offerCell({ cellId: this.cellId, record })
    }
    return isOutdated() ? undefined : this.#record
  }

  async #campaign(hostSequence: number, signal: AbortSignal): Promise<void> {
    const { directory, clock, logger, random } = this.#settings
    const record = this.#record
    if (record === undefined) return
    this.#role = CellRole.campaigning
    const announced = directory.coordinator(this.cellId)?.info.term ?? Term.none
    const highestSeen = Term.parts(announced > this.#highestTerm ? announced : this.#highestTerm)
    if (highestSeen.epoch > record.epoch) return
    const ballot = highestSeen.epoch === record.epoch ? highestSeen.ballot + 1 : 1
    const tenure: Tenure = new Tenure({
      settings: this.#settings,
      record,
      term: Term.of({ epoch: record.epoch, ballot, hostSequence }),
      onChange: () => this.#assignmentController?.wake(),
      onTermAccepted: () => {
        this.#onTermAccepted(tenure)
      },
    })
    this.#tenure = tenure
    const stopListening = directory.onConfiguration(() => {
      tenure.syncTargets()
    })
    const endOnAbort = (): void => {
      tenure.end('stopped')
    }
    signal.addEventListener('abort', endOnAbort, { once: true })
    try {
      const running = tenure.run()
      await clock.sleep(claimTimeoutMs, AbortSignal.any([tenure.signal, this.#leadingStarted.signal]))
      if (!tenure.isElected) tenure.end('claim not accepted in time')
      await running
    } finally {
      stopListening()
      signal.removeEventListener('abort', endOnAbort)
    }
    if (tenure.highestTerm > this.#highestTerm) this.#highestTerm = tenure.highestTerm
    if (tenure.record.epoch > record.epoch) this.#record = tenure.record
    logger.info('tenure_ended', { step: 'ownership.lead', cellId: this.cellId, reason: tenure.endReason })
    if (tenure.isElected) {
      this.#settings.ledger.endTerm()
      this.#waitingSince = Instant.now(clock)
      this.#isCoordinatorUnknown = true
    } else await clock.sleep(50 + random.float() * 100, signal)
    this.#leadingStarted = new AbortController()
    this.#assignmentController = undefined
    this.#assignmentRow = undefined
  }

  /** Aborted when the tenure of the present campaign starts to lead the cell. */
  #leadingStarted = new AbortController()

  /**
   * Called when a majority has accepted a term. With the tenure's first term this host starts to lead the
   * cell.
   */
  #onTermAccepted(tenure: Tenure): void {
    const { directory, ledger, logger, clock } = this.#settings
    const self = directory.self()
    const previousHostId = directory.coordinator(this.cellId)?.info.hostId
    logger.info('term_held', { step: 'ownership.lead', cellId: this.cellId, term: tenure.term })
    if (tenure.term > this.#highestTerm) this.#highestTerm = tenure.term
    if (this.#role === CellRole.leading) {
      ledger.startTerm(tenure.term, [])
      directory.announce(this.#coordinatorInfo(tenure.term))
      return
    }
    this.#role = CellRole.leading
    const hosts = directory.peers(self.domain).map(({ hostId }) => hostId)
    const earlierHostIds = new Set(
      previousHostId === undefined || previousHostId === self.hostId ? hosts : [...hosts, previousHostId],
    )
    ledger.startTerm(tenure.term, [...earlierHostIds])
    directory.announce(this.#coordinatorInfo(tenure.term))
    const assignmentRow = new AssignmentRow(this.#settings, tenure)
    const recordRow = new CellRecordRow(this.#settings, tenure, assignmentRow)
    const assignmentController: CellAssignmentController = new CellAssignmentController({
      settings: this.#settings,
      tenure,
      assignmentRow,
      steps: [
        new RecordStep({ settings: this.#settings, tenure, recordRow, assignmentRow }),
        new TransferStep({ settings: this.#settings, tenure, recordRow }),
      ],
    })
    this.#assignmentRow = assignmentRow
    this.#assignmentController = assignmentController
    this.#leadingStarted.abort()
    for (const task of [assignmentController.run(), this.#heartbeat(tenure, clock)]) {
      task.catch((cause: unknown) => {
        logger.error('task_failed', { step: 'ownership.lead', cellId: this.cellId, cause })
        tenure.end('a task failed')
      })
    }
  }

  /** Announces this host as the coordinator to its peers at regular intervals while its term is valid. */
  async #heartbeat(tenure: Tenure, clock: CoordinatorSettings['clock']): Promise<void> {
    while (tenure.mayContinue()) {
      if (tenure.validForMs() > 0) this.#settings.directory.announce(this.#coordinatorInfo(tenure.term))
      await clock.sleep(this.#settings.renewIntervalMs, tenure.signal)
    }
  }

  #coordinatorInfo(term: Term): CoordinatorInfo {
    const { hostId, peerAddress } = this.#settings.directory.self()
    return { cellId: this.cellId, term, hostId, peerAddress }
  }
}

/** Read through a function, as the compiler takes the property to be unchanged after an `await`. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted
