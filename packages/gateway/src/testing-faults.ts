/**
 * Faults that the ownership tests inject into the simulation. Each kind is a function that starts the fault
 * and returns a function that ends it; `index` selects the host or target that is affected, and varies the
 * fault.
 */
import { storeTables } from '@pimentotally/platform'
import { Random } from '@pimentotally/core'
import type { MemoryRowStoreCopy } from '@pimentotally/storage'
import { entryLapseMs, type OwnershipSimulation, type SimulatedHost } from './testing-simulation.js'
import { routerStateKeys } from './router-state-rows.js'
import type { SimulatedTarget } from './testing-target.js'

/** Ends a fault; undefined for a fault that ends by itself, lasts, or could not be started. */
type EndFault = (() => void) | undefined
type StartFault = (simulation: OwnershipSimulation, index: number) => EndFault

const targetAt = ({ targets }: OwnershipSimulation, index: number): SimulatedTarget => {
  const target = targets[index % targets.length]
  if (target === undefined) throw new Error('the simulation has no targets')
  return target
}

const pause = (simulation: OwnershipSimulation, host: SimulatedHost | undefined): EndFault => {
  if (host === undefined || host.isStopped) return undefined
  host.clock.pause()
  return () => {
    host.resume(simulation.time.nowMs())
  }
}

/** Kills the leader, unless it is the only host that still runs. */
const killLeader: StartFault = (simulation) => {
  if (simulation.hosts.filter(({ isStopped }) => !isStopped).length > 1) simulation.leader()?.kill()
  return undefined
}

const pauseLeader: StartFault = (simulation) => pause(simulation, simulation.leader())

const pauseHost: StartFault = (simulation, index) =>
  pause(simulation, simulation.hosts[index % simulation.hosts.length])

const storeDown: StartFault = ({ store }) => {
  store.isDown = true
  return () => (store.isDown = false)
}

/**
 * The store is away for a moment at the end of the fault, and comes back from a copy of the fault's beginning.
 */
const storeRestored: StartFault = (simulation, index) => {
  const copy = simulation.store.copy()
  return () => {
    simulation.store.isSilent = true
    simulation.time.schedule(100 + (index % 5) * 600, () => {
      simulation.store.isSilent = false
      simulation.restoreStore(copy)
    })
  }
}

/** The copy without any assignment, as if it had been made before the first one. */
const withoutAssignments = (copy: MemoryRowStoreCopy, keepsLeader: boolean): MemoryRowStoreCopy => {
  const table = storeTables.routerState
  const isKept = ({ key }: { readonly key: string }): boolean =>
    !routerStateKeys.isAssignment(key) && (keepsLeader || key !== routerStateKeys.leader)
  const rows = [...(copy.tables.get(table)?.values() ?? [])].filter(isKept)
  return {
    tables: new Map(copy.tables).set(table, new Map(rows.map((row) => [row.key, row]))),
    changes: new Map(copy.changes).set(table, (copy.changes.get(table) ?? []).filter(isKept)),
    version: copy.version,
  }
}

/**
 * As `storeRestored`, from a copy that has no assignment. With an odd index it has the record of the leader.
 */
const storeRestoredToStart: StartFault = (simulation, index) => {
  const copy = withoutAssignments(simulation.store.copy(), index % 2 === 1)
  return () => {
    simulation.store.isSilent = true
    simulation.time.schedule(100 + (index % 5) * 600, () => {
      simulation.store.isSilent = false
      simulation.restoreStore(copy)
    })
  }
}

/** Assignments cannot be stored, while the lease can. */
const assignmentsRejected: StartFault = ({ store }) => {
  store.rejects = ({ writes }) => writes.some(({ key }) => routerStateKeys.isAssignment(key))
  return () => (store.rejects = () => false)
}

/** A host starts, and all others end at once when the fault ends. */
const hostReplacesOthers: StartFault = (simulation) => {
  const others = [...simulation.hosts]
  simulation.startHost()
  return () => {
    for (const host of others) host.kill()
  }
}

/** All host processes end and new ones start, which know only what the store has. */
const restartHosts: StartFault = (simulation) => {
  simulation.restartHosts()
  return undefined
}

/** The store refuses the calls of the leader. */
const leaderRefused: StartFault = (simulation) => {
  const leader = simulation.leader()
  if (leader === undefined) return undefined
  leader.store.isRefused = true
  return () => (leader.store.isRefused = false)
}

/** Some writes get no response, and take effect at once or seconds later. */
const writesLost: StartFault = (simulation) => {
  for (const { store } of simulation.hosts) store.lossShare = 0.4
  return () => {
    for (const { store } of simulation.hosts) store.lossShare = 0
  }
}

/** Some grants and releases get no response, and are carried out seconds later. */
const ordersLate: StartFault = (simulation) => {
  for (const target of simulation.targets) target.lateShare = 0.4
  return () => {
    for (const target of simulation.targets) target.lateShare = 0
  }
}

/** A target answers no calls, so that they time out, and writes no heartbeats; its entry stays. */
const silent: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  target.isSilent = true
  return () => (target.isSilent = false)
}

const restartSameId: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  simulation.restart(target, target.id)
  return undefined
}

const restartNewId: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  simulation.restart(target, `${target.id}'`)
  return undefined
}

/** A target ends, its entry is removed, and it starts again under a new id when the fault ends. */
const crash: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  target.isUp = false
  simulation.removeEntry(target)
  return () => {
    simulation.restart(target, `${target.id}"`)
  }
}

/** A target drains, and is replaced by a new process when the fault ends. */
const drain: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  simulation.drain(target)
  return () => {
    simulation.restart(target, `${target.id}+`)
  }
}

/** The target's entry is removed from the target registry, and the target keeps running. */
const vanish: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  simulation.removeEntry(target)
  return () => {
    simulation.restart(target, `${target.id}-`)
  }
}

/**
 * A target cannot reach the store: its entry lapses, while a delayed write adds the entry of a process that
 * ran at its address earlier.
 */
const earlierEntry: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  const earlier = `${target.id}/earlier`
  simulation.targetsCutFromStore.add(target)
  simulation.writeEntryOfEarlierProcess(target, earlier, target.born - 1)
  simulation.removeEntry(target)
  return () => {
    simulation.store.remove(storeTables.targetRegistry, earlier)
    simulation.targetsCutFromStore.delete(target)
    simulation.restoreEntry(target)
  }
}

/**
 * The store is slow. With jitter, calls overtake each other and take effect at any moment of their duration.
 */
const storeSlow: StartFault = ({ store }, index) => {
  store.workMs = [150, 380, 550, 900][index % 4] ?? 0
  store.jitterMs = (index % 3) * 200
  return () => {
    store.workMs = 0
    store.jitterMs = 0
  }
}

/**
 * A renewal of the lease gets no response, and the next ones are answered late, around the end of the lease.
 * In most runs a target leaves meanwhile.
 */
const storeFalters: StartFault = (simulation, index) => {
  const { store, time } = simulation
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
  const target = targetAt(simulation, index)
  // Releases take so long that moves are still under way when the lease ends.
  if (random.float() < 0.6) {
    for (const each of simulation.targets) each.workMs = 3000
    time.schedule(silentMs + slowMs, () => {
      for (const each of simulation.targets) each.workMs = 80
    })
  }
  time.schedule(random.integer(1500), () => {
    simulation.drain(target)
  })
  return () => {
    simulation.restart(target, `${target.id}%`)
  }
}

/** Requests on released keys run for seconds, so that moves take as long. */
const workLong: StartFault = (simulation, index) => {
  for (const target of simulation.targets) target.workMs = 1000 + (index % 5) * 1500
  return () => {
    for (const target of simulation.targets) target.workMs = 80
  }
}

/** Running hosts whose bit is set in the index. */
const someHosts = ({ hosts }: OwnershipSimulation, index: number): SimulatedHost[] =>
  hosts.filter(({ isStopped }, position) => !isStopped && ((index >> (position % 8)) & 1) === 1)

/** The store refuses calls of some hosts. */
const someRefused: StartFault = (simulation, index) => {
  const affectedHosts = someHosts(simulation, index)
  for (const { store } of affectedHosts) store.isRefused = true
  return () => {
    for (const { store } of affectedHosts) store.isRefused = false
  }
}

/** Writes of all hosts, or of the leader alone, get no response and may take effect seconds later. */
const writesLate: StartFault = (simulation, index) => {
  const leader = simulation.leader()
  const affectedHosts = index % 2 === 0 && leader !== undefined ? [leader] : [...simulation.hosts]
  for (const { store } of affectedHosts) store.lateShare = 0.6
  return () => {
    for (const { store } of affectedHosts) store.lateShare = 0
  }
}

/** A planned stop: the process ends up to 5.2 s later, and a new host starts when the fault ends. */
const stop = (simulation: OwnershipSimulation, host: SimulatedHost | undefined, index: number): EndFault => {
  if (host === undefined || simulation.running().length < 2) return undefined
  host.stop()
  simulation.time.schedule(200 + (index % 6) * 1000, () => {
    host.kill()
  })
  return () => {
    simulation.startHost()
  }
}

/** The process ends at once, and a new host starts when the fault ends. */
const kill = (simulation: OwnershipSimulation, host: SimulatedHost | undefined): EndFault => {
  if (host === undefined || simulation.running().length < 2) return undefined
  host.kill()
  return () => {
    simulation.startHost()
  }
}

const stopLeader: StartFault = (simulation, index) => stop(simulation, simulation.leader(), index)

const stopHost: StartFault = (simulation, index) => {
  const running = simulation.running()
  return stop(simulation, running[index % running.length], index)
}

const restartLeader: StartFault = (simulation) => kill(simulation, simulation.leader())

/**
 * Up to three leaders in a row are stopped, killed or paused within seconds of their election, some of them
 * after the store refused their calls for so long that they extended their grants. In most runs one target
 * stops answering meanwhile, so that its keys become free only when the bounds of its holds have passed. The
 * last leader stays long enough to move these keys.
 */
const leaderChain: StartFault = (simulation, index) => {
  const random = new Random(index)
  const takeDown = (leader: SimulatedHost): void => {
    const choice = random.float()
    const end =
      choice < 0.1
        ? pause(simulation, leader)
        : choice < 0.6
          ? stop(simulation, leader, random.integer(6))
          : kill(simulation, leader)
    if (end !== undefined) simulation.time.schedule(1500 + random.integer(2500), end)
  }
  const silenceTarget = (): void => {
    const target = random.pick(simulation.targets)
    if (target === undefined) return
    target.isSilent = true
    simulation.time.schedule(7000 + random.integer(6000), () => (target.isSilent = false))
  }
  const takeDownNext = (link: number, links: number): void => {
    if (link === links) return
    simulation.onceLeaderElected((leader) => {
      const isFirst = link === 0
      const refusedMs = random.float() < (isFirst ? 0.8 : 0.15) ? 1250 + random.integer(650) : 0
      if (refusedMs > 0) leader.store.isRefused = true
      simulation.time.schedule(refusedMs, () => {
        leader.store.isRefused = false
        if (isFirst && random.float() < 0.8) silenceTarget()
        takeDown(leader)
        simulation.time.schedule(100 + random.integer(1500), () => {
          takeDownNext(link + 1, links)
        })
      })
    })
  }
  takeDownNext(0, 1 + random.integer(3))
  return undefined
}

/** The wall clocks of some hosts are set forward or back for the duration of the fault. */
const clocksSet: StartFault = (simulation, index) => {
  const affectedHosts = someHosts(simulation, index)
  const stepMs = ((index % 5) - 2.5) * 1500
  for (const { clock } of affectedHosts) clock.wallOffsetMs += stepMs
  return () => {
    for (const { clock } of affectedHosts) clock.wallOffsetMs -= stepMs
  }
}

/** Some heartbeats are written late, after newer ones. */
const heartbeatsLate: StartFault = (simulation) => {
  simulation.lateHeartbeatShare = 0.4
  return () => (simulation.lateHeartbeatShare = 0)
}

/**
 * A target leaves, and an earlier heartbeat, in which it is still ready, is written after the entry that says
 * so.
 */
const leavesWithLateEntry: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  simulation.writeEntryLate(target, 300 + (index % 7) * 200)
  simulation.writeEntryLate(target, 1300 + (index % 11) * 200)
  return drain(simulation, index)
}

/** Some hosts read the target registry without the entry of one target. */
const rowsHidden: StartFault = (simulation, index) => {
  const { id } = targetAt(simulation, index)
  const affectedHosts = someHosts(simulation, index >> 3)
  for (const { store } of affectedHosts) store.hide(storeTables.targetRegistry, id)
  return () => {
    for (const { store } of affectedHosts) store.reveal(storeTables.targetRegistry, id)
  }
}

/** The feed of some hosts is up to 2.7 s behind the store. */
const feedBehind: StartFault = (simulation, index) => {
  const affectedHosts = someHosts(simulation, index)
  for (const { store } of affectedHosts) store.feedLagMs = 300 + (index % 4) * 800
  return () => {
    for (const { store } of affectedHosts) store.feedLagMs = 0
  }
}

/** The store forgets its history of changes, so that all hosts must read whole tables. */
const historyLost: StartFault = ({ store }) => {
  store.discardHistory()
  return undefined
}

/**
 * A target's entry is removed, its process ends, and a target of another service then starts at its address.
 */
const addressReused: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  const { born, id } = target
  simulation.removeEntry(target)
  const endsAfterMs = (index % 4) * 700
  simulation.time.schedule(endsAfterMs, () => {
    if (target.born === born) target.isUp = false
  })
  simulation.time.schedule(endsAfterMs + 2000, () => {
    if (target.born === born) simulation.reuseAddress(target, `${id}~`, 'other')
  })
  return () => {
    simulation.restart(target, `${id}=`)
  }
}

/** A target receives calls and carries them out, but its responses are lost. */
const mute: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  target.losesAnswers = true
  return () => (target.losesAnswers = false)
}

/** A target can reach neither hosts nor the store, and its entry lapses. */
const cutOff: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  const { born } = target
  target.isSilent = true
  simulation.time.schedule(entryLapseMs, () => {
    if (target.isSilent && target.born === born) simulation.removeEntry(target)
  })
  return () => {
    target.isSilent = false
    if (target.isUp) simulation.restoreEntry(target)
  }
}

/**
 * Grants are answered slowly, so that moves and restarts begin while a round of renewals is still under way.
 */
const answersSlow: StartFault = (simulation, index) => {
  for (const target of simulation.targets) target.maxAnswerMs = [200, 500, 900][index % 3] ?? 0
  return () => {
    for (const target of simulation.targets) target.maxAnswerMs = 0
  }
}

/** A draining target restarts under its id right after its first release. */
const restartAfterRelease: StartFault = (simulation, index) => {
  const target = targetAt(simulation, index)
  target.restartsAfterRelease = true
  simulation.drain(target)
  return () => {
    target.restartsAfterRelease = false
    simulation.restart(target, `${target.id}*`)
  }
}

/** The leader stops or is killed, and within one second a target leaves and the configuration changes. */
const leaveWithLeader: StartFault = (simulation, index) => {
  const random = new Random(index)
  simulation.time.schedule(random.integer(1000), () => {
    simulation.drain(targetAt(simulation, index))
  })
  simulation.time.schedule(random.integer(1000), () => {
    simulation.reconfigure()
  })
  const leader = simulation.leader()
  const end = random.float() < 0.5 ? stop(simulation, leader, index) : kill(simulation, leader)
  return () => {
    end?.()
    simulation.restart(targetAt(simulation, index), `${targetAt(simulation, index).id}!`)
  }
}

export const faultInjectors = {
  killLeader,
  pauseLeader,
  pauseHost,
  storeDown,
  storeRestored,
  storeRestoredToStart,
  assignmentsRejected,
  hostReplacesOthers,
  restartHosts,
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
} as const satisfies Readonly<Record<string, StartFault>>
export type FaultKind = keyof typeof faultInjectors

export interface Fault {
  readonly kind: FaultKind
  readonly atMs: number
  /** Time from the start of the fault to its end; without effect for a kind that ends by itself. */
  readonly forMs: number
  readonly index: number
}

/** Upper bound for the effects of a fault that ends by itself and not after `forMs`. */
export const maxEffectMs = 18_000

/** Schedules the fault and its end. */
export const scheduleFault = (simulation: OwnershipSimulation, { kind, atMs, forMs, index }: Fault): void => {
  simulation.time.schedule(atMs, () => {
    const end = faultInjectors[kind](simulation, index)
    if (end !== undefined) simulation.time.schedule(forMs, end)
  })
}
