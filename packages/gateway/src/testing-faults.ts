/**
 * Kinds of faults for the worlds of the ownership tests. Each one is a function that starts the fault, and returns what
 * ends it; `index` chooses its victim.
 */
import { storeTables } from '@pimentotally/platform'
import type { OwnershipWorld, WorldHost } from './testing-world.js'
import type { FakeTarget } from './testing-target.js'

type End = (() => void) | undefined
type Start = (world: OwnershipWorld, index: number) => End

const targetAt = ({ targets }: OwnershipWorld, index: number): FakeTarget => {
  const target = targets[index % targets.length]
  if (target === undefined) throw new Error('the world has no targets')
  return target
}

const pause = (world: OwnershipWorld, victim: WorldHost | undefined): End => {
  if (victim === undefined || victim.isStopped) return undefined
  victim.clock.pause()
  return () => {
    victim.resume(world.time.nowMs())
  }
}

/** At least one host goes on. */
const killLeader: Start = (world) => {
  if (world.hosts.filter(({ isStopped }) => !isStopped).length > 1) world.leader()?.kill()
  return undefined
}

const pauseLeader: Start = (world) => pause(world, world.leader())

const pauseHost: Start = (world, index) => pause(world, world.hosts[index % world.hosts.length])

const storeDown: Start = ({ store }) => {
  store.isDown = true
  return () => (store.isDown = false)
}

const leaderRefused: Start = (world) => {
  const victim = world.leader()
  if (victim === undefined) return undefined
  victim.store.isRefused = true
  return () => (victim.store.isRefused = false)
}

const writesLost: Start = (world) => {
  for (const { store } of world.hosts) store.lossShare = 0.4
  return () => {
    for (const { store } of world.hosts) store.lossShare = 0
  }
}

const ordersLate: Start = (world) => {
  for (const target of world.targets) target.lateShare = 0.4
  return () => {
    for (const target of world.targets) target.lateShare = 0
  }
}

const silent: Start = (world, index) => {
  const target = targetAt(world, index)
  target.isSilent = true
  return () => (target.isSilent = false)
}

const restartSameId: Start = (world, index) => {
  const target = targetAt(world, index)
  world.restart(target, target.id)
  return undefined
}

const restartNewId: Start = (world, index) => {
  const target = targetAt(world, index)
  world.restart(target, `${target.id}'`)
  return undefined
}

const crash: Start = (world, index) => {
  const target = targetAt(world, index)
  target.isUp = false
  world.vanish(target)
  return () => {
    world.restart(target, `${target.id}"`)
  }
}

const drain: Start = (world, index) => {
  const target = targetAt(world, index)
  world.drain(target)
  return () => {
    world.restart(target, `${target.id}+`)
  }
}

const vanish: Start = (world, index) => {
  const target = targetAt(world, index)
  world.vanish(target)
  return () => {
    world.restart(target, `${target.id}-`)
  }
}

/** A target that the store cannot be reached from, and whose predecessor's entry is written late. */
const earlierEntry: Start = (world, index) => {
  const target = targetAt(world, index)
  const earlier = `${target.id}/earlier`
  world.isCutFromStore.add(target)
  world.writeEarlierEntry(target, earlier, target.born - 1)
  world.vanish(target)
  return () => {
    world.store.remove(storeTables.register, earlier)
    world.isCutFromStore.delete(target)
    world.reappear(target)
  }
}

export const faultStarts = {
  killLeader,
  pauseLeader,
  pauseHost,
  storeDown,
  leaderRefused,
  writesLost,
  ordersLate,
  silent,
  restartSameId,
  restartNewId,
  crash,
  drain,
  vanish,
  earlierEntry,
} as const satisfies Readonly<Record<string, Start>>
export type FaultKind = keyof typeof faultStarts

export interface Fault {
  readonly kind: FaultKind
  readonly atMs: number
  /** Until its end, for kinds that have one. */
  readonly forMs: number
  readonly index: number
}

/** Schedules the fault and its end. */
export const inject = (world: OwnershipWorld, { kind, atMs, forMs, index }: Fault): void => {
  world.time.schedule(atMs, () => {
    const end = faultStarts[kind](world, index)
    if (end !== undefined) world.time.schedule(forMs, end)
  })
}
