/**
 * A simulation, in virtual time, of hosts that assign the keys of one service to its targets: the real
 * replicas, elections and assignment controllers, over a store and targets in memory. Faults can delay or
 * lose calls, pause, stop and start hosts, and cut off and restart targets. After each step the simulation
 * checks that no key is held by two targets.
 */
import { Result } from 'true-myth'
import { Random, SilentLogger, type Logger } from '@pimentotally/core'
import { VirtualTime, type VirtualClock } from '@pimentotally/core/testing'
import {
  GrantOutcome,
  TargetControl,
  TargetSpeeds,
  decodeBlock,
  type ControlError,
  type GrantCall,
  type KeyRange,
  type ProbeAnswer,
  type ReleaseAnswer,
  type ReleaseCall,
  type TargetAddress,
} from '@pimentotally/assignment'
import { TargetState } from '@pimentotally/routing'
import { firstEra, type MemoryRowStoreCopy, type RowTransaction, type StoredRow } from '@pimentotally/storage'
import { storeTables } from '@pimentotally/platform'
import { configurationRow, targetRow } from '@pimentotally/platform/testing'
import { Directory } from './directory.js'
import { AssignmentController } from './assignment-controller.js'
import { Leadership } from './leadership.js'
import { decodeLeader, routerStateKeys } from './router-state-rows.js'
import { Replica, type ReplicaChange } from './replica.js'
import { SimulatedStoreClient, SimulatedStore, networkMs } from './testing-store.js'
import { SimulatedTarget, slowClockFactor } from './testing-target.js'

export const service = 'notes'
/** Interval at which each target writes its entry. */
const heartbeatMs = 900
/** An entry is removed when no heartbeat was written for this time. */
export const entryLapseMs = 3 * heartbeatMs
/** Longest hold that targets accept. */
const maxHoldMs = 10_000
/** The guarantees of the protocol don't cover a grant that arrives this soon after its sender was resumed. */
const resumeToleranceMs = 300

export class SimulatedHost {
  readonly clock: VirtualClock
  readonly store: SimulatedStoreClient
  readonly directory: Directory
  readonly leadership: Leadership
  readonly assignmentController: AssignmentController
  readonly #replicas: Replica[]
  /**
   * Releases that this host has requested; it must not renew the grants of these keys under the old fences.
   */
  readonly releases: { readonly id: string; readonly range: KeyRange; readonly fence: number }[] = []
  /** Processes of targets that this host has read as draining. */
  readonly #drainingProcesses = new Set<string>()
  /** The process has ended. */
  isStopped = false
  /** The host was asked to stop; its process ends soon. */
  isStopping = false
  /** When the process last resumed from a pause. */
  lastResumedAtMs = -resumeToleranceMs

  readonly name: string

  constructor(simulation: OwnershipSimulation, name: string, logger: Logger) {
    this.name = name
    this.clock = simulation.time.clock()
    const { clock } = this
    this.store = new SimulatedStoreClient(simulation.store, simulation.random, {
      clock,
      sent: (transaction) => {
        simulation.checkAssignmentWrite(this, transaction)
      },
    })
    this.directory = new Directory({ clock, logger })
    this.leadership = new Leadership({
      clock,
      logger,
      store: this.store,
      directory: this.directory,
      processId: name,
      peerAddress: `${name}:1`,
      takeoverOffset: simulation.random.float(),
      maxHoldMs,
      hasLargestCapacity: () => true,
    })
    this.assignmentController = new AssignmentController({
      clock,
      logger,
      store: this.store,
      directory: this.directory,
      leadership: this.leadership,
      targetControl: new SimulatedTargetControl(simulation, this),
      speeds: new TargetSpeeds(),
      maxHoldMs,
      workMs: () => 100,
      occupancy: (target) => simulation.occupancy.get(target) ?? 0,
      requestLimit: ({ id }) => simulation.requestLimits.get(id),
      stored: () => undefined,
    })
    const replicate = (table: string, apply: (change: ReplicaChange) => void): Replica =>
      new Replica({ store: this.store, table, clock, logger, waitMs: 500, listener: { onRefreshed: apply } })
    this.#replicas = [
      replicate(storeTables.operator, (change) => {
        this.directory.applyOperatorTable(change)
      }),
      replicate(storeTables.targetRegistry, (change) => {
        this.directory.applyTargetRegistry(change)
        for (const { id, state, startedAtEpochMs } of this.directory.targets(service)) {
          const processKey = processKeyOf(id, startedAtEpochMs)
          if (state === TargetState.draining) this.#drainingProcesses.add(processKey)
          else if (this.#drainingProcesses.has(processKey))
            simulation.recordViolation(`${name} treats ${id} as ready, which is draining`)
        }
      }),
      replicate(storeTables.routerState, (change) => {
        this.directory.applyRouterState(change)
      }),
    ]
  }

  start(): void {
    for (const replica of this.#replicas) void replica.run()
    void this.leadership.run()
    void this.assignmentController.run()
  }

  /** Whether this host has read this process of the target as draining. */
  hasSeenDraining(id: string, startedAtEpochMs: number | undefined): boolean {
    return this.#drainingProcesses.has(processKeyOf(id, startedAtEpochMs))
  }

  /** Begins a planned stop: the host releases its lease; its process is ended later by `kill`. */
  stop(): void {
    this.isStopping = true
    this.assignmentController.stop()
    void this.leadership.stop()
  }

  /** Ends the process at once; calls that it sent may still arrive. */
  kill(): void {
    this.isStopped = true
    this.clock.pause()
  }

  resume(nowMs: number): void {
    if (this.isStopped) return
    this.lastResumedAtMs = nowMs
    this.clock.resume()
  }
}

const processKeyOf = (id: string, startedAtEpochMs: number | undefined): string =>
  `${id}/${String(startedAtEpochMs)}`

const overlap = (a: KeyRange, b: KeyRange): boolean => a.from <= b.to && b.from <= a.to

/** Calls from one host to the targets. */
class SimulatedTargetControl extends TargetControl {
  readonly #simulation: OwnershipSimulation
  readonly #host: SimulatedHost

  constructor(simulation: OwnershipSimulation, host: SimulatedHost) {
    super()
    this.#simulation = simulation
    this.#host = host
  }

  override probe(address: TargetAddress, _path: string, timeoutMs: number): Promise<ProbeAnswer | undefined> {
    return this.#deliver(this.#probe(address, timeoutMs))
  }

  override grant(address: TargetAddress, call: GrantCall): Promise<Result<GrantOutcome, ControlError>> {
    this.#simulation.checkGrant(this.#host, address, call)
    return this.#deliver(this.#grant(address, call))
  }

  override release(address: TargetAddress, call: ReleaseCall): Promise<Result<ReleaseAnswer, ControlError>> {
    this.#host.releases.push({ id: address.id, range: call, fence: call.fence })
    return this.#deliver(this.#release(address, call))
  }

  /** Answered by the process that runs at the address now, whatever its id. */
  async #probe(address: TargetAddress, timeoutMs: number): Promise<ProbeAnswer | undefined> {
    const target = await this.#reach(address, timeoutMs)
    return target === undefined || target.losesAnswers ? undefined : { id: target.id }
  }

  async #grant(address: TargetAddress, call: GrantCall): Promise<Result<GrantOutcome, ControlError>> {
    const target = await this.#reach(address, call.timeoutMs)
    if (target === undefined) return Result.err(lost('grant', address))
    // A process with another id answers 421.
    if (target.id !== address.id) return Result.ok(GrantOutcome.refused)
    const arrivedAtMs = this.#simulation.time.nowMs()
    // The simulation cannot tell a pause of the sender from a delay in the network. The guarantees don't
    // cover such a grant, so it is not applied.
    if (arrivedAtMs - this.#host.lastResumedAtMs < resumeToleranceMs)
      return this.#timeOut('grant', address, call.timeoutMs)
    if (this.#simulation.random.float() < target.lateShare) {
      const { born } = target
      this.#simulation.time.schedule(2000 + this.#simulation.random.integer(8000), () => {
        if (target.born === born && target.isUp) this.#simulation.apply(target, call, arrivedAtMs)
      })
      return this.#timeOut('grant', address, call.timeoutMs)
    }
    const outcome = this.#simulation.apply(target, call, arrivedAtMs)
    const answerMs = target.maxAnswerMs === 0 ? 0 : this.#simulation.random.integer(target.maxAnswerMs)
    if (target.losesAnswers || answerMs >= call.timeoutMs)
      return this.#timeOut('grant', address, call.timeoutMs)
    await this.#simulation.sleep(answerMs + networkMs)
    return Result.ok(outcome)
  }

  async #release(address: TargetAddress, call: ReleaseCall): Promise<Result<ReleaseAnswer, ControlError>> {
    const target = await this.#reach(address, call.timeoutMs)
    if (target === undefined) return Result.err(lost('release', address))
    if (target.id !== address.id) return Result.ok({ released: false, handover: undefined })
    if (this.#simulation.random.float() < target.lateShare) {
      const { born } = target
      this.#simulation.time.schedule(2000 + this.#simulation.random.integer(8000), () => {
        if (target.born === born && target.isUp) target.release(call, this.#simulation.time.nowMs(), 0)
      })
      return this.#timeOut('release', address, call.timeoutMs)
    }
    const drawnMs = this.#simulation.random.integer(target.workMs)
    const workMs = target.release(call, this.#simulation.time.nowMs(), drawnMs)
    if (target.restartsAfterRelease) {
      target.restartsAfterRelease = false
      this.#simulation.time.schedule(workMs + 3 * networkMs, () => {
        if (target.isUp) this.#simulation.restart(target, target.id)
      })
    }
    if (target.losesAnswers || workMs >= call.timeoutMs)
      return this.#timeOut('release', address, call.timeoutMs)
    await this.#simulation.sleep(workMs + networkMs)
    return Result.ok({ released: true, handover: 'h' })
  }

  async #reach({ address }: TargetAddress, timeoutMs: number): Promise<SimulatedTarget | undefined> {
    await this.#simulation.sleep(networkMs)
    const target = this.#simulation.targets.find((candidate) => candidate.address === address)
    if (target?.isUp === true && !target.isSilent && !this.#host.isStopped) return target
    if (target?.isSilent === true) await this.#simulation.sleep(timeoutMs)
    return undefined
  }

  async #timeOut<T>(
    step: string,
    address: TargetAddress,
    timeoutMs: number,
  ): Promise<Result<T, ControlError>> {
    await this.#simulation.sleep(timeoutMs)
    return Result.err(lost(step, address))
  }

  /** A paused process receives a response only after it has resumed. */
  async #deliver<T>(answer: Promise<T>): Promise<T> {
    const result = await answer
    if (!this.#host.clock.paused) return result
    return new Promise((resolve) => {
      this.#host.clock.run(() => {
        resolve(result)
      })
    })
  }
}

const lost = (step: string, { address }: TargetAddress): ControlError => ({
  code: 'timed_out',
  step,
  peer: address,
  message: 'no response',
})

/** A grant that one process of a target accepted. */
interface AcceptedGrant {
  readonly range: KeyRange
  readonly fence: number
  readonly id: string
  /** Start of the process, in milliseconds since the epoch. */
  readonly born: number
}

export interface OwnershipSimulationOptions {
  readonly seed: number
  readonly hosts?: number
  readonly targets?: number
  readonly logger?: Logger
}

export class OwnershipSimulation {
  readonly time = new VirtualTime()
  readonly random: Random
  readonly store = new SimulatedStore(this.time)
  readonly hosts: SimulatedHost[]
  readonly targets: SimulatedTarget[]
  readonly violations: string[] = []
  readonly #recorded = new Set<string>()
  /** Targets that cannot write heartbeats, while hosts still reach them. */
  readonly targetsCutFromStore = new Set<SimulatedTarget>()
  /** Requests that run or wait at each target, as reported by the hosts. */
  readonly occupancy = new Map<string, number>()
  /** Limits that targets have named for a while, in requests a second. */
  readonly requestLimits = new Map<string, number>()
  /** When the lease was taken, once for each term. */
  readonly leaseTakenAtMs: number[] = []
  /** Share of heartbeats that are written up to 6 s late, after newer ones. */
  lateHeartbeatShare = 0
  #configurationVersion = 1
  #lastTerm = 0
  /** Grants that targets accepted, by process, range of keys and fence. */
  readonly #acceptedGrants = new Map<string, AcceptedGrant>()

  readonly #logger: Logger

  constructor({ seed, hosts = 3, targets = 6, logger = new SilentLogger() }: OwnershipSimulationOptions) {
    this.#logger = logger
    this.random = new Random(seed)
    this.store.era = firstEra
    this.targets = Array.from(
      { length: targets },
      (_, index) => new SimulatedTarget(`t${String(index)}`, index),
    )
    this.#configure()
    this.hosts = Array.from(
      { length: hosts },
      (_, index) => new SimulatedHost(this, `h${String(index)}`, logger),
    )
    for (const target of this.targets) this.#startHeartbeats(target)
    for (const host of this.hosts) host.start()
  }

  sleep(delayMs: number): Promise<void> {
    return this.store.sleep(delayMs)
  }

  /** Advances time in steps of at most 25 ms and checks ownership after each of them. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.time.nowMs() + durationMs
    while (this.time.nowMs() < endMs) {
      await this.time.advance(Math.min(25, endMs - this.time.nowMs()))
      this.#check()
    }
  }

  /**
   * Applies a grant to a target. Records a violation when another target was granted some of the keys under
   * the same or a higher fence, or still runs requests on them.
   */
  apply(target: SimulatedTarget, call: GrantCall, arrivedAtMs: number): GrantOutcome {
    const outcome = target.apply(call, arrivedAtMs)
    // A grant that is applied late may have lapsed already, even by a slow clock; it then gives no hold.
    if (outcome === GrantOutcome.granted && arrivedAtMs + call.holdMs * slowClockFactor > this.time.nowMs()) {
      const { from, to, fence } = call
      const { id, born } = target
      const conflicting = [...this.#acceptedGrants.values()].find(
        (accepted) => accepted.id !== id && accepted.fence >= fence && overlap(accepted.range, call),
      )
      if (conflicting !== undefined) {
        this.recordViolation(
          `${id} was granted ${String(from)} with fence ${String(fence)} after ${conflicting.id} had the same or a higher one`,
        )
      }
      const range = { from, to }
      this.#acceptedGrants.set(`${processKeyOf(id, born)}:${String(from)}-${String(to)}:${String(fence)}`, {
        range,
        fence,
        id,
        born,
      })
      this.#checkWork(target, call)
    }
    this.#check()
    return outcome
  }

  /** The running host that leads now. */
  leader(): SimulatedHost | undefined {
    return this.hosts.find(({ leadership, isStopped }) => !isStopped && leadership.tenure !== undefined)
  }

  /** Hosts that run and were not asked to stop. */
  running(): SimulatedHost[] {
    return this.hosts.filter(({ isStopped, isStopping }) => !isStopped && !isStopping)
  }

  /** Starts a new host, which knows nothing of those that ran before. */
  startHost(): void {
    const host = new SimulatedHost(this, `h${String(this.hosts.length)}`, this.#logger)
    this.hosts.push(host)
    host.start()
  }

  /** Writes another version of the configuration, with the same routes. */
  reconfigure(): void {
    this.#configurationVersion += 1
    this.#configure()
  }

  /**
   * The store comes back from a copy, without what the hosts wrote since. The operator and the living targets
   * write their rows again.
   */
  restoreStore(copy: MemoryRowStoreCopy): void {
    this.store.restore(copy)
    this.#lastTerm = 0
    this.time.schedule(this.random.integer(1500), () => {
      this.#configure()
    })
    for (const target of this.targets) {
      this.time.schedule(this.random.integer(1500), () => {
        if (target.isUp && !target.isSilent && !this.targetsCutFromStore.has(target)) this.#register(target)
      })
    }
    // The entries of processes that have ended lapse.
    this.time.schedule(entryLapseMs, () => {
      for (const { key } of this.store.rows(storeTables.targetRegistry)) {
        if (!this.targets.some(({ id, isUp }) => isUp && id === key))
          this.store.remove(storeTables.targetRegistry, key)
      }
    })
  }

  /** Whether the lease was taken three times within this time. */
  hasLeaderChain(withinMs: number): boolean {
    return this.leaseTakenAtMs.some((atMs, index) => {
      const third = this.leaseTakenAtMs[index + 2]
      return third !== undefined && third - atMs <= withinMs
    })
  }

  /** Ends all host processes at once and starts as many new ones. */
  restartHosts(): void {
    for (const host of this.hosts) host.kill()
    const count = this.hosts.length
    for (let index = 0; index < count; index += 1) this.startHost()
  }

  /** Keys that no target holds now, out of a sample of 256. */
  keysWithoutHolder(): number[] {
    const nowMs = this.time.nowMs()
    const keys = Array.from({ length: 256 }, (_, index) => index * 256)
    return keys.filter((key) => !this.targets.some((target) => target.holdsKey(key, nowMs)))
  }

  /** Starts a new process of the target at its address, under its old id or another one. */
  restart(target: SimulatedTarget, id: string): void {
    this.store.remove(storeTables.targetRegistry, target.id)
    // The first processes have the start time 1000; the sum is later than that from the beginning.
    target.restart(id, this.time.nowMs() + 2000)
    this.#register(target)
  }

  /** Writes an entry that says that the target is draining. */
  drain(target: SimulatedTarget): void {
    target.sequence += 1
    target.state = 'draining'
    this.#register(target)
  }

  /** Writes the target's present entry again after a delay, when newer ones have been written. */
  writeEntryLate(target: SimulatedTarget, delayMs: number): void {
    const { id, born } = target
    const { value } = this.#entry(target)
    this.time.schedule(delayMs, () => {
      this.store.write(storeTables.targetRegistry, id, value)
      // The entry of a process that has ended gets no heartbeats, so it lapses.
      this.time.schedule(entryLapseMs, () => {
        if (!this.targets.some((each) => each.isUp && each.id === id && each.born === born)) {
          if (this.store.row(storeTables.targetRegistry, id)?.value.equals(value) === true)
            this.store.remove(storeTables.targetRegistry, id)
        }
      })
    })
  }

  /** Starts a process of the given service, with another id, at the target's address. */
  reuseAddress(target: SimulatedTarget, id: string, ofService: string): void {
    this.store.remove(storeTables.targetRegistry, target.id)
    // The first processes have the start time 1000; the sum is later than that from the beginning.
    target.restart(id, this.time.nowMs() + 2000)
    target.service = ofService
    this.#register(target)
  }

  /** Calls back with the leading host as soon as there is one, unless that takes longer than `maxWaitMs`. */
  onceLeaderElected(callback: (leader: SimulatedHost) => void, maxWaitMs = 5000): void {
    const leader = this.running().find(({ leadership }) => leadership.tenure !== undefined)
    if (leader !== undefined) callback(leader)
    else if (maxWaitMs > 0) {
      this.time.schedule(50, () => {
        this.onceLeaderElected(callback, maxWaitMs - 50)
      })
    }
  }

  /** Records a violation when a host assigns a range to a target that it has read as draining. */
  checkAssignmentWrite(host: SimulatedHost, { writes }: RowTransaction): void {
    for (const { key, value } of writes) {
      if (!routerStateKeys.isAssignment(key)) continue
      const stored = this.store.row(storeTables.routerState, key)?.value.toString('utf8')
      const before = stored === undefined ? undefined : decodeBlock(stored)
      for (const { from, owner, fence, formerOwner, ownerStartedAtEpochMs } of decodeBlock(
        value.toString('utf8'),
      )?.ranges ?? []) {
        // Only a range that has another former owner and a new fence is given to its owner by this write.
        if (formerOwner === undefined || formerOwner === owner || fence <= (before?.lastFence ?? 0)) continue
        if (host.hasSeenDraining(owner, ownerStartedAtEpochMs))
          this.recordViolation(`${host.name} assigns ${String(from)} to ${owner}, which is draining`)
      }
    }
  }

  /**
   * Records a violation when a host grants keys to a target under a fence below that of a release which it
   * has requested there. The target rejects such a grant only as long as it remembers the fence of the
   * release, and a restart loses that.
   */
  checkGrant({ name, releases }: SimulatedHost, { id }: TargetAddress, call: GrantCall): void {
    const later = releases.find(
      (release) => release.id === id && release.fence > call.fence && overlap(release.range, call),
    )
    if (later !== undefined)
      this.recordViolation(`${name} renews ${String(call.from)} at ${id} after it has requested a release`)
  }

  /**
   * Holds whose fence is not above all fences under which an earlier process with the same id held the
   * keys.
   */
  staleFences(): string[] {
    const nowMs = this.time.nowMs()
    return this.targets.flatMap((target) => {
      const { id, born } = target
      const earlier = [...this.#acceptedGrants.values()].filter(
        (accepted) => accepted.id === id && accepted.born !== born,
      )
      return target.holds
        .filter((hold) => target.isUp && hold.untilMs > nowMs)
        .filter((hold) => earlier.some(({ range, fence }) => fence >= hold.fence && overlap(range, hold)))
        .map(({ from, fence }) => `${id} holds ${String(from)} under fence ${String(fence)}`)
    })
  }

  /** Removes the target's entry; the target keeps running. */
  removeEntry(target: SimulatedTarget): void {
    this.store.remove(storeTables.targetRegistry, target.id)
  }

  /**
   * Writes, as if the write had been delayed, the entry of a process that ran at the target's address before.
   */
  writeEntryOfEarlierProcess({ address }: SimulatedTarget, id: string, born: number): void {
    const { value } = targetRow({ id, address, startedAtEpochMs: born, sequence: 9 })
    this.store.write(storeTables.targetRegistry, id, value)
  }

  /** Writes the target's entry again after the entry was removed while the target was cut off. */
  restoreEntry(target: SimulatedTarget): void {
    target.sequence += 1
    this.#register(target)
  }

  /** Writes the target's first entry, and a heartbeat at each interval while it can reach the store. */
  #startHeartbeats(target: SimulatedTarget): void {
    this.#register(target)
    const writeHeartbeat = (): void => {
      this.time.schedule(heartbeatMs, writeHeartbeat)
      if (!target.isUp || target.isSilent || this.targetsCutFromStore.has(target)) return
      target.sequence += 1
      if (this.store.row(storeTables.targetRegistry, target.id) === undefined) return
      if (this.lateHeartbeatShare > 0 && this.random.float() < this.lateHeartbeatShare)
        this.writeEntryLate(target, this.random.integer(6000))
      else this.#register(target)
    }
    this.time.schedule(heartbeatMs, writeHeartbeat)
  }

  #register(target: SimulatedTarget): void {
    const { key, value } = this.#entry(target)
    this.store.write(storeTables.targetRegistry, key, value)
  }

  #entry({ id, address, born, sequence, state, service: ofService }: SimulatedTarget): StoredRow {
    return targetRow({ id, address, startedAtEpochMs: born, sequence, state, service: ofService })
  }

  #configure(): void {
    const { key, value } = configurationRow({ isSharded: true, version: this.#configurationVersion })
    this.store.write(storeTables.operator, key, value)
  }

  /** Records a violation, unless the same one was recorded before. */
  recordViolation(message: string): void {
    if (this.#recorded.has(message)) return
    this.#recorded.add(message)
    this.violations.push(`${String(this.time.nowMs())} ms: ${message}`)
  }

  /**
   * Records a violation when a target is granted keys on which another one still runs requests, before the
   * hold of that one would have lapsed.
   */
  #checkWork(target: SimulatedTarget, call: GrantCall): void {
    const nowMs = this.time.nowMs()
    for (const other of this.targets) {
      if (other === target || !other.isUp) continue
      if (other.work.some((work) => work.endsAtMs > nowMs && work.untilMs > nowMs && overlap(work, call)))
        this.recordViolation(
          `${target.id} is granted ${String(call.from)} while ${other.id} still runs requests on it`,
        )
    }
  }

  #checkLeaders(): void {
    const row = this.store.row(storeTables.routerState, routerStateKeys.leader)
    const term = row === undefined ? undefined : decodeLeader(row.value)?.term
    if (term !== undefined && term > this.#lastTerm) {
      this.#lastTerm = term
      this.leaseTakenAtMs.push(this.time.nowMs())
    }
    const leading = this.hosts.filter(
      ({ isStopped, clock, leadership }) => !isStopped && !clock.paused && leadership.tenure !== undefined,
    )
    if (leading.length > 1)
      this.recordViolation(`${leading.map(({ name }) => name).join(' and ')} lead at the same time`)
  }

  #check(): void {
    const nowMs = this.time.nowMs()
    this.#checkLeaders()
    const up = this.targets.filter(({ isUp }) => isUp)
    for (const [index, target] of up.entries()) {
      for (const other of up.slice(index + 1)) {
        for (const a of target.holds) {
          if (a.untilMs <= nowMs) continue
          const b = other.holds.find((hold) => hold.untilMs > nowMs && hold.from <= a.to && a.from <= hold.to)
          if (b === undefined) continue
          this.recordViolation(
            `${target.id} holds ${String(a.from)}-${String(a.to)} and ${other.id} ${String(b.from)}-${String(b.to)}`,
          )
        }
      }
    }
  }
}
