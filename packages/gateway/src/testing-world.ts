/**
 * Hosts that own the keys of one service together, in virtual time: the real replicas, elections and key
 * keepers, over a store and targets in memory. The world can make calls late or lost, pause, stop and start
 * hosts, silence and restart targets, and checks after each event that no key is held by two targets.
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
import type { RowTransaction, StoredRow } from '@pimentotally/storage'
import { storeTables } from '@pimentotally/platform'
import { configurationRow, targetRow } from '@pimentotally/platform/testing'
import { Directory } from './directory.js'
import { KeyControl } from './key-control.js'
import { Leadership } from './leadership.js'
import { decodeLeader, ownKeys } from './own-rows.js'
import { Replica, type ReplicaChange } from './replica.js'
import { StoreView, WorldStore, networkMs } from './testing-store.js'
import { FakeTarget, slowClock } from './testing-target.js'

export const service = 'notes'
const heartbeatMs = 900
/** An entry without heartbeats is removed after this time. */
export const entryLapseMs = 3 * heartbeatMs
const maxHoldMs = 10_000
/** Grants that arrive this soon after their sender was paused don't count for the promises. */
const thawSlackMs = 300

export class WorldHost {
  readonly clock: VirtualClock
  readonly store: StoreView
  readonly directory: Directory
  readonly leadership: Leadership
  readonly control: KeyControl
  readonly #replicas: Replica[]
  /** Releases that this host asked for; it must not renew what it gave away. */
  readonly releases: { readonly id: string; readonly range: KeyRange; readonly fence: number }[] = []
  /** Processes of targets that this host has read to be leaving. */
  readonly #leaving = new Set<string>()
  isStopped = false
  /** It was asked to stop, and ends soon. */
  isStopping = false
  resumedAtMs = -thawSlackMs

  readonly name: string

  constructor(world: OwnershipWorld, name: string, logger: Logger) {
    this.name = name
    this.clock = world.time.clock()
    const { clock } = this
    this.store = new StoreView(world.store, world.random, {
      clock,
      sent: (transaction) => {
        world.checkDecision(this, transaction)
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
      turn: world.random.float(),
      maxHoldMs,
      isLarge: () => true,
    })
    this.control = new KeyControl({
      clock,
      logger,
      store: this.store,
      directory: this.directory,
      leadership: this.leadership,
      calls: new WorldCalls(world, this),
      speeds: new TargetSpeeds(),
      maxHoldMs,
      workMs: () => 100,
      occupancy: (target) => world.occupancy.get(target) ?? 0,
      stored: () => undefined,
    })
    const follow = (table: string, apply: (change: ReplicaChange) => void): Replica =>
      new Replica({ store: this.store, table, clock, logger, waitMs: 500, listener: { confirmed: apply } })
    this.#replicas = [
      follow(storeTables.operator, (change) => {
        this.directory.applyOperator(change)
      }),
      follow(storeTables.register, (change) => {
        this.directory.applyRegister(change)
        for (const { id, state, startedAtEpochMs } of this.directory.targets(service)) {
          const life = lifeOf(id, startedAtEpochMs)
          if (state === TargetState.draining) this.#leaving.add(life)
          else if (this.#leaving.has(life)) world.violate(`${name} takes ${id} for ready, which is leaving`)
        }
      }),
      follow(storeTables.own, (change) => {
        this.directory.applyOwn(change)
      }),
    ]
  }

  start(): void {
    for (const replica of this.#replicas) void replica.run()
    void this.leadership.run()
    void this.control.run()
  }

  /** Whether this host has read that the target's process is leaving. */
  hasSeenLeaving(id: string, startedAtEpochMs: number | undefined): boolean {
    return this.#leaving.has(lifeOf(id, startedAtEpochMs))
  }

  /** A planned stop: it gives its lease up, and its process ends later. */
  stop(): void {
    this.isStopping = true
    this.control.stop()
    void this.leadership.stop()
  }

  /** The process ends at once; what it sent may still arrive. */
  kill(): void {
    this.isStopped = true
    this.clock.pause()
  }

  resume(nowMs: number): void {
    if (this.isStopped) return
    this.resumedAtMs = nowMs
    this.clock.resume()
  }
}

const lifeOf = (id: string, startedAtEpochMs: number | undefined): string =>
  `${id}/${String(startedAtEpochMs)}`

const overlap = (a: KeyRange, b: KeyRange): boolean => a.from <= b.to && b.from <= a.to

/** Orders from one host to the targets. */
class WorldCalls extends TargetControl {
  readonly #world: OwnershipWorld
  readonly #host: WorldHost

  constructor(world: OwnershipWorld, host: WorldHost) {
    super()
    this.#world = world
    this.#host = host
  }

  override probe(address: TargetAddress, _path: string, timeoutMs: number): Promise<ProbeAnswer | undefined> {
    return this.#deliver(this.#probe(address, timeoutMs))
  }

  override grant(address: TargetAddress, call: GrantCall): Promise<Result<GrantOutcome, ControlError>> {
    this.#world.checkOrder(this.#host, address, call)
    return this.#deliver(this.#grant(address, call))
  }

  override release(address: TargetAddress, call: ReleaseCall): Promise<Result<ReleaseAnswer, ControlError>> {
    this.#host.releases.push({ id: address.id, range: call, fence: call.fence })
    return this.#deliver(this.#release(address, call))
  }

  /** Whoever runs at the address answers. */
  async #probe(address: TargetAddress, timeoutMs: number): Promise<ProbeAnswer | undefined> {
    const target = await this.#reach(address, timeoutMs)
    return target === undefined || target.isMute ? undefined : { id: target.id }
  }

  async #grant(address: TargetAddress, call: GrantCall): Promise<Result<GrantOutcome, ControlError>> {
    const target = await this.#reach(address, call.timeoutMs)
    if (target === undefined) return Result.err(lost('grant', address))
    // A target of another id answers 421.
    if (target.id !== address.id) return Result.ok(GrantOutcome.refused)
    const arrivedAtMs = this.#world.time.nowMs()
    // The world does not tell the sender's pause from the way, so such grants are left out as the promises
    // do.
    if (arrivedAtMs - this.#host.resumedAtMs < thawSlackMs)
      return this.#timeOut('grant', address, call.timeoutMs)
    if (this.#world.random.float() < target.lateShare) {
      const { born } = target
      this.#world.time.schedule(2000 + this.#world.random.integer(8000), () => {
        if (target.born === born && target.isUp) this.#world.apply(target, call, arrivedAtMs)
      })
      return this.#timeOut('grant', address, call.timeoutMs)
    }
    const outcome = this.#world.apply(target, call, arrivedAtMs)
    const answerMs = target.answerMs === 0 ? 0 : this.#world.random.integer(target.answerMs)
    if (target.isMute || answerMs >= call.timeoutMs) return this.#timeOut('grant', address, call.timeoutMs)
    await this.#world.sleep(answerMs + networkMs)
    return Result.ok(outcome)
  }

  async #release(address: TargetAddress, call: ReleaseCall): Promise<Result<ReleaseAnswer, ControlError>> {
    const target = await this.#reach(address, call.timeoutMs)
    if (target === undefined) return Result.err(lost('release', address))
    if (target.id !== address.id) return Result.ok({ released: false, handover: undefined })
    if (this.#world.random.float() < target.lateShare) {
      const { born } = target
      this.#world.time.schedule(2000 + this.#world.random.integer(8000), () => {
        if (target.born === born && target.isUp) target.release(call, this.#world.time.nowMs(), 0)
      })
      return this.#timeOut('release', address, call.timeoutMs)
    }
    const drawnMs = this.#world.random.integer(target.workMs)
    const workMs = target.release(call, this.#world.time.nowMs(), drawnMs)
    if (target.restartsAfterRelease) {
      target.restartsAfterRelease = false
      this.#world.time.schedule(workMs + 3 * networkMs, () => {
        if (target.isUp) this.#world.restart(target, target.id)
      })
    }
    if (target.isMute || workMs >= call.timeoutMs) return this.#timeOut('release', address, call.timeoutMs)
    await this.#world.sleep(workMs + networkMs)
    return Result.ok({ released: true, handover: 'h' })
  }

  async #reach({ address }: TargetAddress, timeoutMs: number): Promise<FakeTarget | undefined> {
    await this.#world.sleep(networkMs)
    const target = this.#world.targets.find((candidate) => candidate.address === address)
    if (target?.isUp === true && !target.isSilent && !this.#host.isStopped) return target
    if (target?.isSilent === true) await this.#world.sleep(timeoutMs)
    return undefined
  }

  async #timeOut<T>(
    step: string,
    address: TargetAddress,
    timeoutMs: number,
  ): Promise<Result<T, ControlError>> {
    await this.#world.sleep(timeoutMs)
    return Result.err(lost(step, address))
  }

  /** A paused process takes its answers when it goes on. */
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

interface FenceTaken {
  readonly range: KeyRange
  readonly fence: number
  readonly id: string
  readonly born: number
}

export interface OwnershipWorldOptions {
  readonly seed: number
  readonly hosts?: number
  readonly targets?: number
  readonly logger?: Logger
}

export class OwnershipWorld {
  readonly time = new VirtualTime()
  readonly random: Random
  readonly store = new WorldStore(this.time)
  readonly hosts: WorldHost[]
  readonly targets: FakeTarget[]
  readonly violations: string[] = []
  readonly #seen = new Set<string>()
  /** Targets that write no heartbeats, though hosts still reach them. */
  readonly isCutFromStore = new Set<FakeTarget>()
  /** Requests that run or wait at a target, as hosts report it. */
  readonly occupancy = new Map<string, number>()
  /** When each leader took the lease. */
  readonly takeoversAtMs: number[] = []
  /** Share of heartbeats whose entries are written seconds later, after newer ones. */
  lateBeatShare = 0
  #configurationVersion = 1
  #lastTerm = 0
  /** The fences with which each process of a target had each part of the keys. */
  readonly #fences = new Map<string, FenceTaken>()

  readonly #logger: Logger

  constructor({ seed, hosts = 3, targets = 6, logger = new SilentLogger() }: OwnershipWorldOptions) {
    this.#logger = logger
    this.random = new Random(seed)
    this.targets = Array.from({ length: targets }, (_, index) => new FakeTarget(`t${String(index)}`, index))
    this.#configure()
    this.hosts = Array.from({ length: hosts }, (_, index) => new WorldHost(this, `h${String(index)}`, logger))
    for (const target of this.targets) this.#beat(target)
    for (const host of this.hosts) host.start()
  }

  sleep(delayMs: number): Promise<void> {
    return this.store.sleep(delayMs)
  }

  /** Advances in small steps and checks ownership after each. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.time.nowMs() + durationMs
    while (this.time.nowMs() < endMs) {
      await this.time.advance(Math.min(25, endMs - this.time.nowMs()))
      this.#check()
    }
  }

  apply(target: FakeTarget, call: GrantCall, arrivedAtMs: number): GrantOutcome {
    const outcome = target.apply(call, arrivedAtMs)
    if (outcome === GrantOutcome.granted && arrivedAtMs + call.holdMs * slowClock > this.time.nowMs()) {
      const { from, to, fence } = call
      const { id, born } = target
      const above = [...this.#fences.values()].find(
        (taken) => taken.id !== id && taken.fence >= fence && overlap(taken.range, call),
      )
      if (above !== undefined) {
        this.violate(`${id} took ${String(from)} with fence ${String(fence)} after ${above.id}`)
      }
      const range = { from, to }
      this.#fences.set(`${lifeOf(id, born)}:${String(from)}-${String(to)}:${String(fence)}`, {
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

  leader(): WorldHost | undefined {
    return this.hosts.find(({ leadership, isStopped }) => !isStopped && leadership.tenure !== undefined)
  }

  /** Hosts that run and were not asked to stop. */
  running(): WorldHost[] {
    return this.hosts.filter(({ isStopped, isStopping }) => !isStopped && !isStopping)
  }

  /** A new process, which knows nothing of the one before. */
  startHost(): void {
    const host = new WorldHost(this, `h${String(this.hosts.length)}`, this.#logger)
    this.hosts.push(host)
    host.start()
  }

  /** The operator writes another version of the configuration, with the same routes. */
  reconfigure(): void {
    this.#configurationVersion += 1
    this.#configure()
  }

  /** Whether three hosts took the lease one after the other within this time. */
  hasLeaderChain(withinMs: number): boolean {
    return this.takeoversAtMs.some((atMs, index) => {
      const third = this.takeoversAtMs[index + 2]
      return third !== undefined && third - atMs <= withinMs
    })
  }

  /** All hosts lose power and start anew. */
  restartHosts(): void {
    for (const host of this.hosts) host.kill()
    const count = this.hosts.length
    for (let index = 0; index < count; index += 1) this.startHost()
  }

  /** Keys of a sample that no target holds now. */
  unheld(): number[] {
    const nowMs = this.time.nowMs()
    const keys = Array.from({ length: 256 }, (_, index) => index * 256)
    return keys.filter((key) => !this.targets.some((target) => target.holdsKey(key, nowMs)))
  }

  /** The target starts again at its address, under its old id or a new one. */
  restart(target: FakeTarget, id: string): void {
    this.store.remove(storeTables.register, target.id)
    target.restart(id, this.time.nowMs() + 2000)
    this.#register(target)
  }

  /** The entry says that the target is leaving. */
  drain(target: FakeTarget): void {
    target.sequence += 1
    target.state = 'draining'
    this.#register(target)
  }

  /** The target's entry as it is now is written again later, after newer ones. */
  writeEntryLate(target: FakeTarget, delayMs: number): void {
    const { id, born } = target
    const { value } = this.#entry(target)
    this.time.schedule(delayMs, () => {
      this.store.write(storeTables.register, id, value)
      // Nobody keeps the entry of a process that has ended.
      this.time.schedule(entryLapseMs, () => {
        if (!this.targets.some((each) => each.isUp && each.id === id && each.born === born)) {
          if (this.store.row(storeTables.register, id)?.value.equals(value) === true)
            this.store.remove(storeTables.register, id)
        }
      })
    })
  }

  /** The process at the target's address is another service's from now on, or the service's own again. */
  reuseAddress(target: FakeTarget, id: string, ofService: string): void {
    this.store.remove(storeTables.register, target.id)
    target.restart(id, this.time.nowMs() + 2000)
    target.service = ofService
    this.#register(target)
  }

  /** Calls back with the host that leads, as soon as one does. */
  whenLed(callback: (leader: WorldHost) => void, patienceMs = 5000): void {
    const leader = this.running().find(({ leadership }) => leadership.tenure !== undefined)
    if (leader !== undefined) callback(leader)
    else if (patienceMs > 0) {
      this.time.schedule(50, () => {
        this.whenLed(callback, patienceMs - 50)
      })
    }
  }

  /** Each range that is given to a target goes to one that the host has not read to be leaving. */
  checkDecision(host: WorldHost, { writes }: RowTransaction): void {
    for (const { key, value } of writes) {
      if (!ownKeys.isAssignment(key)) continue
      const stored = this.store.row(storeTables.own, key)?.value.toString('utf8')
      const before = stored === undefined ? undefined : decodeBlock(stored)
      for (const { from, owner, fence, formerOwner, ownerStartedAtEpochMs } of decodeBlock(
        value.toString('utf8'),
      )?.ranges ?? []) {
        if (formerOwner === undefined || formerOwner === owner || fence <= (before?.lastFence ?? 0)) continue
        if (host.hasSeenLeaving(owner, ownerStartedAtEpochMs))
          this.violate(`${host.name} gives ${String(from)} to ${owner}, which is leaving`)
      }
    }
  }

  /**
   * A host that has asked a target to give keys up does not renew them there under the old fence: only the
   * target's memory would stop such an order, and a restart loses that.
   */
  checkOrder({ name, releases }: WorldHost, { id }: TargetAddress, call: GrantCall): void {
    const later = releases.find(
      (release) => release.id === id && release.fence > call.fence && overlap(release.range, call),
    )
    if (later !== undefined)
      this.violate(`${name} renews ${String(call.from)} at ${id} after it asked for a release`)
  }

  /** Targets that hold keys under a fence that an earlier process of the same id had. */
  staleFences(): string[] {
    const nowMs = this.time.nowMs()
    return this.targets.flatMap((target) => {
      const { id, born } = target
      const earlier = [...this.#fences.values()].filter((taken) => taken.id === id && taken.born !== born)
      return target.holds
        .filter((hold) => target.isUp && hold.untilMs > nowMs)
        .filter((hold) => earlier.some(({ range, fence }) => fence >= hold.fence && overlap(range, hold)))
        .map(({ from, fence }) => `${id} holds ${String(from)} under fence ${String(fence)}`)
    })
  }

  vanish(target: FakeTarget): void {
    this.store.remove(storeTables.register, target.id)
  }

  /** A write that was held up: the entry of a process that ran at the target's address before it. */
  writeEarlierEntry({ address }: FakeTarget, id: string, born: number): void {
    const { value } = targetRow({ id, address, startedAtEpochMs: born, sequence: 9 })
    this.store.write(storeTables.register, id, value)
  }

  /** The entry of a target that was cut off is back. */
  reappear(target: FakeTarget): void {
    target.sequence += 1
    this.#register(target)
  }

  #beat(target: FakeTarget): void {
    this.#register(target)
    const beat = (): void => {
      this.time.schedule(heartbeatMs, beat)
      if (!target.isUp || target.isSilent || this.isCutFromStore.has(target)) return
      target.sequence += 1
      if (this.store.row(storeTables.register, target.id) === undefined) return
      if (this.lateBeatShare > 0 && this.random.float() < this.lateBeatShare)
        this.writeEntryLate(target, this.random.integer(6000))
      else this.#register(target)
    }
    this.time.schedule(heartbeatMs, beat)
  }

  #register(target: FakeTarget): void {
    const { key, value } = this.#entry(target)
    this.store.write(storeTables.register, key, value)
  }

  #entry({ id, address, born, sequence, state, service: ofService }: FakeTarget): StoredRow {
    return targetRow({ id, address, startedAtEpochMs: born, sequence, state, service: ofService })
  }

  #configure(): void {
    const { key, value } = configurationRow({ isSharded: true, version: this.#configurationVersion })
    this.store.write(storeTables.operator, key, value)
  }

  /** Records a violation once. */
  violate(message: string): void {
    if (this.#seen.has(message)) return
    this.#seen.add(message)
    this.violations.push(`${String(this.time.nowMs())} ms: ${message}`)
  }

  /** No target takes keys on which another is still at work, before that one's hold would have run out. */
  #checkWork(target: FakeTarget, call: GrantCall): void {
    const nowMs = this.time.nowMs()
    for (const other of this.targets) {
      if (other === target || !other.isUp) continue
      if (other.work.some((work) => work.endsAtMs > nowMs && work.untilMs > nowMs && overlap(work, call)))
        this.violate(`${target.id} is given ${String(call.from)} while ${other.id} is at work on it`)
    }
  }

  #checkLeaders(): void {
    const row = this.store.row(storeTables.own, ownKeys.leader)
    const term = row === undefined ? undefined : decodeLeader(row.value)?.term
    if (term !== undefined && term > this.#lastTerm) {
      this.#lastTerm = term
      this.takeoversAtMs.push(this.time.nowMs())
    }
    const leading = this.hosts.filter(
      ({ isStopped, clock, leadership }) => !isStopped && !clock.paused && leadership.tenure !== undefined,
    )
    if (leading.length > 1) this.violate(`${leading.map(({ name }) => name).join(' and ')} lead`)
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
          this.violate(
            `${target.id} holds ${String(a.from)}-${String(a.to)} and ${other.id} ${String(b.from)}-${String(b.to)}`,
          )
        }
      }
    }
  }
}
