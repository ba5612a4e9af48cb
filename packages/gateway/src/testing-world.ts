/**
 * Hosts that own the keys of one service together, in virtual time: the real replicas, elections and key keepers, over
 * a store and targets in memory. The world can make calls late or lost, pause hosts, silence and restart targets, and
 * checks after each event that no key is held by two targets.
 */
import { Result } from 'true-myth'
import { Random, SilentLogger, type Logger } from '@pimentotally/core'
import { VirtualTime, type VirtualClock } from '@pimentotally/core/testing'
import {
  GrantOutcome,
  TargetControl,
  TargetSpeeds,
  type ControlError,
  type GrantCall,
  type KeyRange,
  type ReleaseAnswer,
  type ReleaseCall,
  type TargetAddress,
} from '@pimentotally/assignment'
import {
  MemoryRowStore,
  RowStore,
  type RowTransaction,
  type StoreCallOptions,
  type StoreError,
  type StoreResult,
  type TableChanges,
  type TableSnapshot,
} from '@pimentotally/storage'
import { storeTables } from '@pimentotally/platform'
import { configurationRow, targetRow } from '@pimentotally/platform/testing'
import { Directory } from './directory.js'
import { KeyControl } from './key-control.js'
import { Leadership } from './leadership.js'
import { Replica } from './replica.js'
import { FakeTarget, slowClock } from './testing-target.js'

export const service = 'notes'
const networkMs = 2
const heartbeatMs = 900
const maxHoldMs = 10_000
/** Grants that arrive this soon after their sender was paused don't count for the promises. */
const thawSlackMs = 300

/** The store of all hosts, with the time that calls take. */
export class WorldStore extends MemoryRowStore {
  readonly #time: VirtualTime
  isDown = false
  /** Calls get no response, and end with their timeout. */
  isSilent = false
  /** Writes take effect, but get no response. */
  losesAnswers = false
  /** Time that each call takes beyond the network's; a write takes effect in the middle of it. */
  workMs = 0

  constructor(time: VirtualTime) {
    super()
    this.#time = time
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.#time.schedule(delayMs, resolve))
  }
}

/** How one host reaches the store. */
export class StoreView extends RowStore {
  readonly #store: WorldStore
  readonly #random: Random
  isRefused = false
  /** Share of writes whose response is lost, or that are performed late. */
  lossShare = 0

  constructor(store: WorldStore, random: Random) {
    super()
    this.#store = store
    this.#random = random
  }

  override async snapshot(
    table: string,
    { timeoutMs = 800 }: StoreCallOptions = {},
  ): Promise<StoreResult<TableSnapshot>> {
    await this.#store.sleep(Math.min(timeoutMs, 2 * networkMs + this.#store.workMs))
    if (this.#store.workMs >= timeoutMs) return Result.err(away('snapshot'))
    if (this.#store.isSilent) await this.#store.sleep(timeoutMs)
    if (this.#isAway()) return Result.err(away('snapshot'))
    return Result.ok({ rows: this.#store.rows(table), version: this.#store.version })
  }

  override async changes(table: string, after: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    let waitedMs = 0
    for (;;) {
      await this.#store.sleep(2 * networkMs + (waitedMs === 0 ? this.#store.workMs : 0))
      if (this.#store.isSilent) await this.#store.sleep(waitMs + 800)
      if (this.#isAway()) return Result.err(away('changes'))
      const rows = this.#store.changes(table, after)
      if (rows === undefined)
        return Result.err({ code: 'history_lost', step: 'changes', message: 'forgotten' })
      if (rows.length > 0 || waitedMs >= waitMs) return Result.ok({ rows, version: this.#store.version })
      const stepMs = Math.max(1, Math.min(50, waitMs - waitedMs))
      await this.#store.sleep(stepMs)
      waitedMs += stepMs
    }
  }

  override async commit(
    transaction: RowTransaction,
    { timeoutMs = 600 }: StoreCallOptions = {},
  ): Promise<StoreResult<number>> {
    await this.#store.sleep(networkMs)
    if (this.#store.isSilent) {
      await this.#store.sleep(timeoutMs)
      return Result.err({ code: 'unknown', step: 'commit', message: 'no response' })
    }
    if (this.#isAway()) return Result.err(away('commit'))
    if (this.#random.float() < this.lossShare) {
      if (this.#random.float() < 0.5) {
        void this.#store.sleep(this.#random.integer(6000)).then(() => this.#store.commit(transaction))
      } else {
        this.#store.commit(transaction)
      }
      await this.#store.sleep(timeoutMs)
      return Result.err({ code: 'unknown', step: 'commit', message: 'no response' })
    }
    const { workMs, losesAnswers } = this.#store
    const answeredAfterMs = losesAnswers ? Infinity : workMs + 2 * networkMs
    if (answeredAfterMs > timeoutMs) {
      void this.#store.sleep(workMs / 2).then(() => this.#store.commit(transaction))
      await this.#store.sleep(timeoutMs)
      return Result.err({ code: 'unknown', step: 'commit', message: 'no response' })
    }
    await this.#store.sleep(workMs / 2)
    const version = this.#store.commit(transaction)
    await this.#store.sleep(workMs / 2 + networkMs)
    return version === undefined
      ? Result.err({ code: 'conflict', step: 'commit', message: 'another version' })
      : Result.ok(version)
  }

  #isAway(): boolean {
    return this.#store.isDown || this.#store.isSilent || this.isRefused
  }
}

const away = (step: string): StoreError => ({ code: 'unavailable', step, message: 'status 503' })

export class WorldHost {
  readonly clock: VirtualClock
  readonly store: StoreView
  readonly directory: Directory
  readonly leadership: Leadership
  readonly control: KeyControl
  readonly #replicas: Replica[]
  isStopped = false
  resumedAtMs = -thawSlackMs

  constructor(world: OwnershipWorld, name: string, logger: Logger) {
    this.clock = world.time.clock()
    const { clock } = this
    this.store = new StoreView(world.store, world.random)
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
    const follow = (table: string, apply: (change: Parameters<Directory['applyOwn']>[0]) => void): Replica =>
      new Replica({ store: this.store, table, clock, logger, waitMs: 500, listener: { confirmed: apply } })
    this.#replicas = [
      follow(storeTables.operator, (change) => {
        this.directory.applyOperator(change)
      }),
      follow(storeTables.register, (change) => {
        this.directory.applyRegister(change)
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

/** Orders from one host to the targets. */
class WorldCalls extends TargetControl {
  readonly #world: OwnershipWorld
  readonly #host: WorldHost

  constructor(world: OwnershipWorld, host: WorldHost) {
    super()
    this.#world = world
    this.#host = host
  }

  override async probe(address: TargetAddress, _path: string, timeoutMs: number): Promise<boolean> {
    return (await this.#reach(address, timeoutMs)) !== undefined
  }

  override async grant(address: TargetAddress, call: GrantCall): Promise<Result<GrantOutcome, ControlError>> {
    const target = await this.#reach(address, call.timeoutMs)
    if (target === undefined) return Result.err(lost('grant', address))
    const arrivedAtMs = this.#world.time.nowMs()
    // The world does not tell the sender's pause from the way, so such grants are left out as the promises do.
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
    await this.#world.sleep(networkMs)
    return Result.ok(outcome)
  }

  override async release(
    address: TargetAddress,
    call: ReleaseCall,
  ): Promise<Result<ReleaseAnswer, ControlError>> {
    const target = await this.#reach(address, call.timeoutMs)
    if (target === undefined) return Result.err(lost('release', address))
    if (this.#world.random.float() < target.lateShare) {
      this.#world.time.schedule(2000 + this.#world.random.integer(8000), () => {
        target.release(call)
      })
      return this.#timeOut('release', address, call.timeoutMs)
    }
    target.release(call)
    await this.#world.sleep(this.#world.random.integer(target.workMs) + networkMs)
    return Result.ok({ released: true, handover: 'h' })
  }

  async #reach({ id, address }: TargetAddress, timeoutMs: number): Promise<FakeTarget | undefined> {
    await this.#world.sleep(networkMs)
    const target = this.#world.targets.find((candidate) => candidate.address === address)
    if (target?.isUp === true && !target.isSilent && target.id === id && !this.#host.isStopped) return target
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
}

const lost = (step: string, { address }: TargetAddress): ControlError => ({
  code: 'timed_out',
  step,
  peer: address,
  message: 'no response',
})

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
  /** Targets that write no heartbeats, though hosts still reach them. */
  readonly isCutFromStore = new Set<FakeTarget>()
  /** Requests that run or wait at a target, as hosts report it. */
  readonly occupancy = new Map<string, number>()
  /** Highest fence with which any target had each part of the keys. */
  readonly #fences: { readonly range: KeyRange; readonly fence: number; readonly id: string }[] = []

  constructor({ seed, hosts = 3, targets = 6, logger = new SilentLogger() }: OwnershipWorldOptions) {
    this.random = new Random(seed)
    this.targets = Array.from({ length: targets }, (_, index) => new FakeTarget(`t${String(index)}`, index))
    const { key, value } = configurationRow({ isSharded: true })
    this.store.write(storeTables.operator, key, value)
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
      const above = this.#fences.find(
        ({ range, fence, id }) =>
          id !== target.id && fence >= call.fence && range.from <= call.to && call.from <= range.to,
      )
      if (above !== undefined) {
        this.violations.push(
          `${target.id} took ${String(call.from)} with fence ${String(call.fence)} after ${above.id}`,
        )
      }
      this.#fences.push({ range: call, fence: call.fence, id: target.id })
    }
    this.#check()
    return outcome
  }

  leader(): WorldHost | undefined {
    return this.hosts.find(({ leadership, isStopped }) => !isStopped && leadership.tenure !== undefined)
  }

  /** All hosts lose power and start anew. */
  restartHosts(): void {
    for (const host of this.hosts) host.kill()
    const count = this.hosts.length
    for (let index = 0; index < count; index += 1) {
      const host = new WorldHost(this, `h${String(this.hosts.length)}`, new SilentLogger())
      this.hosts.push(host)
      host.start()
    }
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
    this.#register(target, 'draining')
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
      const row = this.store.rows(storeTables.register).find(({ key }) => key === target.id)
      if (row !== undefined && !row.value.includes('draining')) this.#register(target)
    }
    this.time.schedule(heartbeatMs, beat)
  }

  #register({ id, address, born, sequence }: FakeTarget, state = 'ready'): void {
    const { value } = targetRow({ id, address, startedAtEpochMs: born, sequence, state })
    this.store.write(storeTables.register, id, value)
  }

  #check(): void {
    const nowMs = this.time.nowMs()
    const up = this.targets.filter(({ isUp }) => isUp)
    for (const [index, target] of up.entries()) {
      for (const other of up.slice(index + 1)) {
        for (const a of target.holds) {
          if (a.untilMs <= nowMs) continue
          const b = other.holds.find((hold) => hold.untilMs > nowMs && hold.from <= a.to && a.from <= hold.to)
          if (b === undefined) continue
          this.violations.push(
            `${String(nowMs)} ms: ${target.id} holds ${String(a.from)}-${String(a.to)} and ${other.id} ${String(b.from)}-${String(b.to)}`,
          )
        }
      }
    }
  }
}
