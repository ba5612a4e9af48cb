/**
 * Kinds of faults for the worlds of the ownership tests. Each one is a function that starts the fault, and returns what
 * ends it; `index` chooses its victim.
 */
import { storeTables } from '@pimentotally/platform'
import { Random } from '@pimentotally/core'
import { entryLapseMs, type OwnershipWorld, type WorldHost } from './testing-world.js'
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

/** The store answers late; with jitter, calls overtake each other and take effect at any moment of their time. */
const storeSlow: Start = ({ store }, index) => {
  store.workMs = [150, 380, 550, 900][index % 4] ?? 0
  store.jitterMs = (index % 3) * 200
  return () => {
    store.workMs = 0
    store.jitterMs = 0
  }
}

/** A renewal gets no response, and the next ones are answered late, around the end of the lease; a target may leave. */
const storeFalters: Start = (world, index) => {
  const { store, time } = world
  const random = new Random(index)
  const silentMs = 400 + random.integer(400)
  const slowMs = 1500 + random.integer(2500)
  store.isSilent = true
  time.schedule(silentMs, () => {
    store.isSilent = false
    store.workMs = 300 + random.integer(200)
  })
  time.schedule(silentMs + slowMs, () => (store.workMs = 0))
  if (random.float() < 0.3) return undefined
  const target = targetAt(world, index)
  // Moves are still under way when the lease ends.
  if (random.float() < 0.6) {
    for (const each of world.targets) each.workMs = 3000
    time.schedule(silentMs + slowMs, () => {
      for (const each of world.targets) each.workMs = 80
    })
  }
  time.schedule(random.integer(1500), () => {
    world.drain(target)
  })
  return () => {
    world.restart(target, `${target.id}%`)
  }
}

/** Work on released keys lasts for seconds, so that moves do. */
const workLong: Start = (world, index) => {
  for (const target of world.targets) target.workMs = 1000 + (index % 5) * 1500
  return () => {
    for (const target of world.targets) target.workMs = 80
  }
}

/** Hosts whose bit is set in the index. */
const someHosts = ({ hosts }: OwnershipWorld, index: number): WorldHost[] =>
  hosts.filter(({ isStopped }, position) => !isStopped && ((index >> (position % 8)) & 1) === 1)

const someRefused: Start = (world, index) => {
  const victims = someHosts(world, index)
  for (const { store } of victims) store.isRefused = true
  return () => {
    for (const { store } of victims) store.isRefused = false
  }
}

/** Writes of all hosts, or of the leader alone. */
const writesLate: Start = (world, index) => {
  const leader = world.leader()
  const victims = index % 2 === 0 && leader !== undefined ? [leader] : [...world.hosts]
  for (const { store } of victims) store.lateShare = 0.6
  return () => {
    for (const { store } of victims) store.lateShare = 0
  }
}

/** A planned stop; the process ends within five seconds, and another starts. */
const stop = (world: OwnershipWorld, victim: WorldHost | undefined, index: number): End => {
  if (victim === undefined || world.running().length < 2) return undefined
  victim.stop()
  world.time.schedule(200 + (index % 6) * 1000, () => {
    victim.kill()
  })
  return () => {
    world.startHost()
  }
}

const kill = (world: OwnershipWorld, victim: WorldHost | undefined): End => {
  if (victim === undefined || world.running().length < 2) return undefined
  victim.kill()
  return () => {
    world.startHost()
  }
}

const stopLeader: Start = (world, index) => stop(world, world.leader(), index)

const stopHost: Start = (world, index) => {
  const running = world.running()
  return stop(world, running[index % running.length], index)
}

const restartLeader: Start = (world) => kill(world, world.leader())

/**
 * Leaders follow each other within seconds: each one is stopped, killed or paused, some after the store turned them away
 * for so long that they extended their grants. Targets fall silent meanwhile, so that only the bounds of their holds can
 * free their keys; the last leader stays long enough to do so.
 */
const leaderChain: Start = (world, index) => {
  const random = new Random(index)
  const takeDown = (leader: WorldHost): void => {
    const way = random.float()
    const end =
      way < 0.1
        ? pause(world, leader)
        : way < 0.6
          ? stop(world, leader, random.integer(6))
          : kill(world, leader)
    if (end !== undefined) world.time.schedule(1500 + random.integer(2500), end)
  }
  const silence = (): void => {
    const target = random.pick(world.targets)
    if (target === undefined) return
    target.isSilent = true
    world.time.schedule(7000 + random.integer(6000), () => (target.isSilent = false))
  }
  const follow = (link: number, links: number): void => {
    if (link === links) return
    world.whenLed((leader) => {
      const isFirst = link === 0
      const starvedMs = random.float() < (isFirst ? 0.8 : 0.15) ? 1250 + random.integer(650) : 0
      if (starvedMs > 0) leader.store.isRefused = true
      world.time.schedule(starvedMs, () => {
        leader.store.isRefused = false
        if (isFirst && random.float() < 0.8) silence()
        takeDown(leader)
        world.time.schedule(100 + random.integer(1500), () => {
          follow(link + 1, links)
        })
      })
    })
  }
  follow(0, 1 + random.integer(3))
  return undefined
}

/** The wall clocks of some hosts are set forward or back. */
const clocksSet: Start = (world, index) => {
  const victims = someHosts(world, index)
  const stepMs = ((index % 5) - 2.5) * 1500
  for (const { clock } of victims) clock.wallOffsetMs += stepMs
  return () => {
    for (const { clock } of victims) clock.wallOffsetMs -= stepMs
  }
}

const heartbeatsLate: Start = (world) => {
  world.lateBeatShare = 0.4
  return () => (world.lateBeatShare = 0)
}

/** A target leaves, and its last heartbeat before that is written after the message that says so. */
const leavesWithLateEntry: Start = (world, index) => {
  const target = targetAt(world, index)
  world.writeEntryLate(target, 300 + (index % 7) * 200)
  world.writeEntryLate(target, 1300 + (index % 11) * 200)
  return drain(world, index)
}

const rowsHidden: Start = (world, index) => {
  const { id } = targetAt(world, index)
  const victims = someHosts(world, index >> 3)
  for (const { store } of victims) store.hide(storeTables.register, id)
  return () => {
    for (const { store } of victims) store.reveal(storeTables.register, id)
  }
}

/** What some hosts read is seconds behind. */
const feedBehind: Start = (world, index) => {
  const victims = someHosts(world, index)
  for (const { store } of victims) store.feedLagMs = 300 + (index % 4) * 800
  return () => {
    for (const { store } of victims) store.feedLagMs = 0
  }
}

const historyLost: Start = ({ store }) => {
  store.forgetHistory()
  return undefined
}

/** The target leaves the register and ends; its address is then another service's. */
const addressReused: Start = (world, index) => {
  const target = targetAt(world, index)
  const { born, id } = target
  world.vanish(target)
  const endsAfterMs = (index % 4) * 700
  world.time.schedule(endsAfterMs, () => {
    if (target.born === born) target.isUp = false
  })
  world.time.schedule(endsAfterMs + 2000, () => {
    if (target.born === born) world.reuseAddress(target, `${id}~`, 'other')
  })
  return () => {
    world.restart(target, `${id}=`)
  }
}

/** The way back from a target is cut. */
const mute: Start = (world, index) => {
  const target = targetAt(world, index)
  target.isMute = true
  return () => (target.isMute = false)
}

/** A target cannot be reached, and its entry lapses. */
const cutOff: Start = (world, index) => {
  const target = targetAt(world, index)
  const { born } = target
  target.isSilent = true
  world.time.schedule(entryLapseMs, () => {
    if (target.isSilent && target.born === born) world.vanish(target)
  })
  return () => {
    target.isSilent = false
    if (target.isUp) world.reappear(target)
  }
}

/** Grants are answered slowly, so that a round of renewals lasts, and moves and restarts fall into it. */
const answersSlow: Start = (world, index) => {
  for (const target of world.targets) target.answerMs = [200, 500, 900][index % 3] ?? 0
  return () => {
    for (const target of world.targets) target.answerMs = 0
  }
}

const restartAfterRelease: Start = (world, index) => {
  const target = targetAt(world, index)
  target.restartsAfterRelease = true
  world.drain(target)
  return () => {
    target.restartsAfterRelease = false
    world.restart(target, `${target.id}*`)
  }
}

/** A target leaves and the configuration changes in the second in which the leader stops or is lost. */
const leaveWithLeader: Start = (world, index) => {
  const random = new Random(index)
  world.time.schedule(random.integer(1000), () => {
    world.drain(targetAt(world, index))
  })
  world.time.schedule(random.integer(1000), () => {
    world.reconfigure()
  })
  const leader = world.leader()
  const end = random.float() < 0.5 ? stop(world, leader, index) : kill(world, leader)
  return () => {
    end?.()
    world.restart(targetAt(world, index), `${targetAt(world, index).id}!`)
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
  storeSlow,
  storeFalters,
  workLong,
  someRefused,
  writesLate,
  stopLeader,
  stopHost,
  restartLeader,
  leaderChain,
  clocksSet,
  heartbeatsLate,
  leavesWithLateEntry,
  rowsHidden,
  feedBehind,
  historyLost,
  addressReused,
  cutOff,
  mute,
  answersSlow,
  restartAfterRelease,
  leaveWithLeader,
} as const satisfies Readonly<Record<string, Start>>
export type FaultKind = keyof typeof faultStarts

export interface Fault {
  readonly kind: FaultKind
  readonly atMs: number
  /** Until its end, for kinds that have one. */
  readonly forMs: number
  readonly index: number
}

/** No fault without an end of its own has effects for longer. */
export const longestEffectMs = 18_000

/** Schedules the fault and its end. */
export const inject = (world: OwnershipWorld, { kind, atMs, forMs, index }: Fault): void => {
  world.time.schedule(atMs, () => {
    const end = faultStarts[kind](world, index)
    if (end !== undefined) world.time.schedule(forMs, end)
  })
}
