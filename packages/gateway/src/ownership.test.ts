/**
 * Ownership of keys under faults, in virtual time. Guards against two targets that hold one key, fences that do not
 * rise, and keys that stay without an owner. Random faults are in ownership-faults.test.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { storeTables } from '@pimentotally/platform'
import { targetRow } from '@pimentotally/platform/testing'
import { OwnershipSimulation, service } from './testing-simulation.js'

/** All targets hold their keys from here on. */
const settledMs = 6000

const settle = async (seed: number, targets = 6): Promise<OwnershipSimulation> => {
  const simulation = new OwnershipSimulation({ seed, targets })
  await simulation.advance(settledMs)
  assert.deepEqual(simulation.keysWithoutHolder(), [], 'keys without an owner after the start')
  return simulation
}

const assertOwned = (simulation: OwnershipSimulation): void => {
  assert.deepEqual(simulation.violations, [])
  assert.deepEqual(simulation.keysWithoutHolder(), [], 'keys without an owner')
}

test('each key has one owner after the start', async () => {
  assertOwned(await settle(1))
})

test('keys stay held while the store is down for nine seconds', async () => {
  const simulation = await settle(2)
  simulation.store.isDown = true
  await simulation.advance(9000)
  assertOwned(simulation)
  simulation.store.isDown = false
  await simulation.advance(4000)
  assertOwned(simulation)
})

test('keys stay held while the store gives no answer for nine seconds and a move is to be stored', async () => {
  // Whether a renewal falls into the end of the lease depends on when the store falls silent.
  for (let offsetMs = 0; offsetMs < 800; offsetMs += 100) {
    const simulation = await settle(10)
    await simulation.advance(offsetMs)
    const [target] = simulation.targets
    assert.ok(target)
    const { id, address } = target
    simulation.store.isSilent = true
    await simulation.advance(400)
    simulation.leader()?.directory.applyTargetRegistry({
      changed: [targetRow({ id, address, state: 'draining', rowVersion: 1e6 })],
      removed: [],
      version: 1e6,
    })
    for (let ms = 0; ms < 9000; ms += 500) {
      await simulation.advance(500)
      assert.deepEqual(
        simulation.keysWithoutHolder(),
        [],
        `offset ${String(offsetMs)}: keys without an owner after ${String(ms)} ms`,
      )
    }
    assert.deepEqual(simulation.violations, [])
  }
})

test('keys stay held when the leader is lost', async () => {
  const simulation = await settle(3)
  simulation.leader()?.kill()
  await simulation.advance(4000)
  assertOwned(simulation)
  assert.ok(simulation.leader() !== undefined)
})

test('a silent target keeps its keys until its grants have lapsed, then others have them', async () => {
  const simulation = await settle(4)
  const [target] = simulation.targets
  assert.ok(target)
  target.isSilent = true
  await simulation.advance(9000)
  assertOwned(simulation)
  assert.equal(
    target.holds.some(({ untilMs }) => untilMs > simulation.time.nowMs()),
    false,
  )
})

test('a target that starts again under its old id gets its keys with a higher fence', async () => {
  const simulation = await settle(5)
  const [target] = simulation.targets
  assert.ok(target)
  const before = Math.max(...target.holds.map(({ fence }) => fence))
  simulation.restart(target, target.id)
  await simulation.advance(3000)
  assertOwned(simulation)
  assert.ok(target.holds.every(({ fence }) => fence > before))
})

test('keys of a silent owner stay with it when a leader extended its grants and then gave the lease up', async () => {
  const simulation = await settle(12)
  const [target] = simulation.targets
  const leader = simulation.leader()
  assert.ok(target && leader)
  const longestHoldMs = (): number =>
    Math.max(...target.holds.map(({ untilMs }) => untilMs)) - simulation.time.nowMs()
  // The store falls silent until the lease is about to end, and is back before it has.
  simulation.store.isSilent = true
  for (let ms = 0; ms < 2000 && longestHoldMs() < 6000; ms += 25) await simulation.advance(25)
  assert.ok(longestHoldMs() > 6000, 'the grants are extended')
  target.isSilent = true
  simulation.store.isSilent = false
  await simulation.advance(100)
  leader.control.stop()
  void leader.leadership.stop()
  await simulation.advance(100)
  leader.kill()
  await simulation.advance(14_000)
  assertOwned(simulation)
})

test('a leader whose writes take effect without a response goes on leading', async () => {
  const simulation = await settle(17)
  const [target] = simulation.targets
  const leader = simulation.leader()
  assert.ok(target && leader)
  simulation.store.losesAnswers = true
  simulation.drain(target)
  for (let ms = 0; ms < 8000; ms += 25) {
    await simulation.advance(25)
    assert.equal(leader.leadership.tenure?.term, 1, `after ${String(ms)} ms`)
  }
  assertOwned(simulation)
  assert.deepEqual(target.holds, [], 'the target has given its keys up')
})

test('a host whose election takes effect without a response leads', async () => {
  const simulation = await settle(18)
  simulation.leader()?.kill()
  simulation.store.losesAnswers = true
  await simulation.advance(4500)
  assert.equal(simulation.leader()?.leadership.tenure?.term, 2)
  assertOwned(simulation)
})

test('keys of a silent owner stay with it through a leader that followed a lapsed one and gave the lease up', async () => {
  const simulation = await settle(15)
  const [target] = simulation.targets
  const first = simulation.leader()
  assert.ok(target && first)
  const longestHoldMs = (): number =>
    Math.max(...target.holds.map(({ untilMs }) => untilMs)) - simulation.time.nowMs()
  // The first leader extends its grants, and is lost.
  simulation.store.isSilent = true
  for (let ms = 0; ms < 2500 && longestHoldMs() < 9500; ms += 25) await simulation.advance(25)
  assert.ok(longestHoldMs() > 9500, 'the grants are extended')
  first.kill()
  target.isSilent = true
  simulation.store.isSilent = false
  // The second one follows it, and gives the lease up.
  for (let ms = 0; ms < 4000 && simulation.leader() === undefined; ms += 25) await simulation.advance(25)
  const second = simulation.leader()
  assert.ok(second)
  assert.equal(second.leadership.tenure?.predecessor, 'lapsed')
  await simulation.advance(300)
  second.control.stop()
  void second.leadership.stop()
  await simulation.advance(100)
  second.kill()
  await simulation.advance(14_000)
  assert.equal(simulation.leader()?.leadership.tenure?.term, 3)
  assertOwned(simulation)
})

test('a host that stops while its election or a renewal is under way leaves no lease behind', async () => {
  for (let offsetMs = 0; offsetMs < 2400; offsetMs += 100) {
    const simulation = new OwnershipSimulation({ seed: 16 })
    simulation.store.workMs = 400
    await simulation.advance(offsetMs)
    const stopped = simulation.hosts.filter((_, index) => index > 0)
    for (const { control, leadership } of stopped) {
      control.stop()
      void leadership.stop()
    }
    await simulation.advance(2000)
    const [last] = simulation.hosts
    const leader = last?.directory.leader?.record
    const isFree = leader === undefined || leader.released || leader.leader === 'h0'
    assert.ok(isFree, `after ${String(offsetMs)} ms: ${JSON.stringify(leader)}`)
  }
})

test('keys stay with their owner when a move is stored while the leader’s lease has ended and is renewed late', async () => {
  let lateRenewals = 0
  // Whether the move is stored between the end of the lease and its renewal depends on when the target leaves.
  for (let leavesAfterMs = 0; leavesAfterMs < 2000; leavesAfterMs += 100) {
    const simulation = await settle(14)
    // No grant of the settling lasts any more.
    await simulation.advance(6000)
    const leader = simulation.leader()
    const [target] = simulation.targets
    assert.ok(leader && target)
    const term = leader.leadership.tenure?.term
    simulation.time.schedule(leavesAfterMs, () => {
      simulation.drain(target)
    })
    // One renewal gets no response, and the answer to the next one comes after the end of the lease.
    simulation.store.isSilent = true
    await simulation.advance(550)
    simulation.store.isSilent = false
    simulation.store.workMs = 380
    let hasEnded = false
    for (let ms = 0; ms < 3500; ms += 25) {
      await simulation.advance(25)
      const now = leader.leadership.tenure?.term
      if (hasEnded && now === term) lateRenewals += 1
      hasEnded = now === undefined
    }
    simulation.store.workMs = 0
    await simulation.advance(4000)
    assert.deepEqual(simulation.violations, [], `the target leaves after ${String(leavesAfterMs)} ms`)
  }
  assert.ok(lateRenewals > 0, 'a renewal was answered late')
})

test('the keys of a draining target move before it ends', async () => {
  const simulation = await settle(6)
  const [target] = simulation.targets
  assert.ok(target)
  simulation.drain(target)
  await simulation.advance(2000)
  assertOwned(simulation)
  assert.equal(target.holdsKey(target.holds[0]?.from ?? 0, simulation.time.nowMs()), false)
})

test('a new leader moves the keys of a leaving target at once, though its predecessor’s lease lapsed', async () => {
  const simulation = await settle(9)
  const [target] = simulation.targets
  assert.ok(target)
  simulation.leader()?.kill()
  await simulation.advance(3500)
  assert.ok(simulation.leader() !== undefined)
  simulation.drain(target)
  await simulation.advance(2500)
  assertOwned(simulation)
  assert.deepEqual(target.holds, [], 'the target has given its keys up')
})

test('neighbours that turn hot are divided while moves of others still wait for work under way', async () => {
  const simulation = await settle(11, 12)
  for (const target of simulation.targets) target.workMs = 60_000
  const ownersOf = (first: number): number => {
    const directory = simulation.leader()?.directory
    const keys = Array.from({ length: 200 }, (_, index) => first + index)
    return new Set(keys.map((key) => directory?.range(service, key)?.owner)).size
  }
  /** Requests for 200 neighbours at ten times the rate of all others. */
  const heat = async (first: number, durationMs: number): Promise<void> => {
    for (let ms = 0; ms < durationMs; ms += 100) {
      const keyLoad = simulation.leader()?.control.keyLoad(service)
      for (let key = 0; key < 65_536; key += 656) keyLoad?.add(key, 0.2)
      for (let key = first; key < first + 200; key += 1) keyLoad?.add(key, 1)
      await simulation.advance(100)
    }
  }
  await heat(1000, 1500)
  assert.ok(ownersOf(1000) > 4, 'the first are divided')
  await heat(40_000, 2500)
  assert.ok(ownersOf(40_000) > 4, 'the second are divided while releases of the first wait')
  assert.deepEqual(simulation.violations, [])
})

test('all hosts restart: the same targets get the same keys', async () => {
  const simulation = await settle(7)
  const stored = (): string[] =>
    simulation.store
      .rows(storeTables.routerState)
      .filter(({ key }) => key.startsWith('assignment/'))
      .map(({ value }) => value.toString())
  const before = stored()
  assert.ok(before.length > 0)
  simulation.restartHosts()
  await simulation.advance(4500)
  assert.deepEqual(stored(), before)
  assertOwned(simulation)
})

test('a target that is cut off for some seconds keeps its keys and serves them when it is back', async () => {
  const simulation = await settle(8)
  const [target] = simulation.targets
  assert.ok(target)
  const held = target.holds.map(({ from, to }) => [from, to])
  target.isSilent = true
  simulation.removeEntry(target)
  await simulation.advance(3500)
  target.isSilent = false
  simulation.restoreEntry(target)
  await simulation.advance(2500)
  assertOwned(simulation)
  assert.deepEqual(
    target.holds.map(({ from, to }) => [from, to]),
    held,
  )
})

test('an owner that answers keeps its keys though the register shows a later process at its address', async () => {
  const simulation = await settle(19)
  const [target] = simulation.targets
  assert.ok(target)
  // The target is cut off from the store, and the entry of another writer names its address.
  simulation.targetsCutFromStore.add(target)
  simulation.removeEntry(target)
  target.workMs = 60_000
  simulation.writeEntryOfEarlierProcess(target, 'other', target.born + 5000)
  simulation.time.schedule(100, () => {
    simulation.store.remove(storeTables.targetRegistry, 'other')
  })
  for (let ms = 0; ms < 6000; ms += 25) {
    await simulation.advance(25)
    assert.deepEqual(simulation.violations, [], `after ${String(ms)} ms`)
  }
})

test('the entry of an earlier process at an owner’s address does not free the owner’s keys', async () => {
  const simulation = await settle(13)
  const [target] = simulation.targets
  assert.ok(target)
  simulation.restart(target, 'later')
  await simulation.advance(9000)
  assertOwned(simulation)
  // The target is cut off from the store; a late write shows the process that ran at its address before.
  simulation.targetsCutFromStore.add(target)
  simulation.removeEntry(target)
  simulation.writeEntryOfEarlierProcess(target, 't0', 1000)
  await simulation.advance(2000)
  simulation.store.remove(storeTables.targetRegistry, 't0')
  await simulation.advance(12_000)
  assert.deepEqual(simulation.violations, [])
})
