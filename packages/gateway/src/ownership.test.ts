/**
 * Ownership of keys under single faults, in virtual time. Guards against two targets that hold the same key,
 * fences that do not rise, and keys that stay without an owner. Random faults are in ownership-faults.test.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { storeTables } from '@pimentotally/platform'
import { targetRow } from '@pimentotally/platform/testing'
import { OwnershipSimulation, service } from './testing-simulation.js'

/** After this time from the start all keys are held. */
const startupMs = 6000

/** Starts a simulation in which all keys are held. */
const startSimulation = async (seed: number, targets = 6): Promise<OwnershipSimulation> => {
  const simulation = new OwnershipSimulation({ seed, targets })
  await simulation.advance(startupMs)
  assert.deepEqual(simulation.keysWithoutHolder(), [], 'keys without an owner after the start')
  return simulation
}

const assertOwned = (simulation: OwnershipSimulation): void => {
  assert.deepEqual(simulation.violations, [])
  assert.deepEqual(simulation.keysWithoutHolder(), [], 'keys without an owner')
}

test('each key has one owner after the start', async () => {
  assertOwned(await startSimulation(1))
})

test('keys stay held while the store is down for nine seconds', async () => {
  const simulation = await startSimulation(2)
  simulation.store.isDown = true
  await simulation.advance(9000)
  assertOwned(simulation)
  simulation.store.isDown = false
  await simulation.advance(4000)
  assertOwned(simulation)
})

test('keys stay held while the store does not respond for nine seconds and a move is to be stored', async () => {
  // When the store stops responding determines whether the lease is being renewed just before its end.
  for (let offsetMs = 0; offsetMs < 800; offsetMs += 100) {
    const simulation = await startSimulation(10)
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

test('keys stay held when the leader is killed, and another host leads', async () => {
  const simulation = await startSimulation(3)
  simulation.leader()?.kill()
  await simulation.advance(4000)
  assertOwned(simulation)
  assert.ok(simulation.leader() !== undefined)
})

test('the keys of a silent target go to others, but only after its grants have lapsed', async () => {
  const simulation = await startSimulation(4)
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

test('a target that restarts under its old id gets its keys under a higher fence', async () => {
  const simulation = await startSimulation(5)
  const [target] = simulation.targets
  assert.ok(target)
  const before = Math.max(...target.holds.map(({ fence }) => fence))
  simulation.restart(target, target.id)
  await simulation.advance(3000)
  assertOwned(simulation)
  assert.ok(target.holds.every(({ fence }) => fence > before))
})

test('keys of a silent owner stay with it until its holds lapse when a leader extended its grants and then released the lease', async () => {
  const simulation = await startSimulation(12)
  const [target] = simulation.targets
  const leader = simulation.leader()
  assert.ok(target && leader)
  const longestHoldMs = (): number =>
    Math.max(...target.holds.map(({ untilMs }) => untilMs)) - simulation.time.nowMs()
  // The store does not respond until the lease is about to end, and responds again before it has ended.
  simulation.store.isSilent = true
  for (let ms = 0; ms < 2000 && longestHoldMs() < 6000; ms += 25) await simulation.advance(25)
  assert.ok(longestHoldMs() > 6000, 'the grants are extended')
  target.isSilent = true
  simulation.store.isSilent = false
  await simulation.advance(100)
  leader.assignmentController.stop()
  void leader.leadership.stop()
  await simulation.advance(100)
  leader.kill()
  await simulation.advance(14_000)
  assertOwned(simulation)
})

test('a leader whose writes take effect without a response keeps leading', async () => {
  const simulation = await startSimulation(17)
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
  assert.deepEqual(target.holds, [], 'the target has released its keys')
})

test('a host whose election takes effect without a response becomes the leader', async () => {
  const simulation = await startSimulation(18)
  simulation.leader()?.kill()
  simulation.store.losesAnswers = true
  await simulation.advance(4500)
  assert.equal(simulation.leader()?.leadership.tenure?.term, 2)
  assertOwned(simulation)
})

test('keys of a silent owner stay with it until its holds lapse when the leader after a lapsed one releases the lease', async () => {
  const simulation = await startSimulation(15)
  const [target] = simulation.targets
  const first = simulation.leader()
  assert.ok(target && first)
  const longestHoldMs = (): number =>
    Math.max(...target.holds.map(({ untilMs }) => untilMs)) - simulation.time.nowMs()
  // The first leader extends its grants and is killed.
  simulation.store.isSilent = true
  for (let ms = 0; ms < 2500 && longestHoldMs() < 9500; ms += 25) await simulation.advance(25)
  assert.ok(longestHoldMs() > 9500, 'the grants are extended')
  first.kill()
  target.isSilent = true
  simulation.store.isSilent = false
  // The second leader takes the lease and then releases it.
  for (let ms = 0; ms < 4000 && simulation.leader() === undefined; ms += 25) await simulation.advance(25)
  const second = simulation.leader()
  assert.ok(second)
  assert.equal(second.leadership.tenure?.predecessor, 'lapsed')
  await simulation.advance(300)
  second.assignmentController.stop()
  void second.leadership.stop()
  await simulation.advance(100)
  second.kill()
  await simulation.advance(14_000)
  assert.equal(simulation.leader()?.leadership.tenure?.term, 3)
  assertOwned(simulation)
})

test('a host that stops during its election or a renewal of its lease leaves no held lease behind', async () => {
  for (let offsetMs = 0; offsetMs < 2400; offsetMs += 100) {
    const simulation = new OwnershipSimulation({ seed: 16 })
    simulation.store.workMs = 400
    await simulation.advance(offsetMs)
    const stopped = simulation.hosts.filter((_, index) => index > 0)
    for (const { assignmentController: control, leadership } of stopped) {
      control.stop()
      void leadership.stop()
    }
    await simulation.advance(2000)
    const [remaining] = simulation.hosts
    const leader = remaining?.directory.leader?.record
    const isFree = leader === undefined || leader.released || leader.leader === 'h0'
    assert.ok(isFree, `after ${String(offsetMs)} ms: ${JSON.stringify(leader)}`)
  }
})

test('keys have one owner when a move is stored between the end of the leader’s lease and its late renewal', async () => {
  let lateRenewals = 0
  // When the target leaves determines whether the move is stored between the end of the lease and its
  // renewal.
  for (let leavesAfterMs = 0; leavesAfterMs < 2000; leavesAfterMs += 100) {
    const simulation = await startSimulation(14)
    // By now all grants from the start of the simulation have lapsed.
    await simulation.advance(6000)
    const leader = simulation.leader()
    const [target] = simulation.targets
    assert.ok(leader && target)
    const term = leader.leadership.tenure?.term
    simulation.time.schedule(leavesAfterMs, () => {
      simulation.drain(target)
    })
    // One renewal gets no response, and the response to the next one arrives after the end of the lease.
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
  assert.ok(lateRenewals > 0, 'a renewal was answered after the end of the lease')
})

test('the keys of a draining target move before it ends', async () => {
  const simulation = await startSimulation(6)
  const [target] = simulation.targets
  assert.ok(target)
  simulation.drain(target)
  await simulation.advance(2000)
  assertOwned(simulation)
  assert.equal(target.holdsKey(target.holds[0]?.from ?? 0, simulation.time.nowMs()), false)
})

test('a new leader moves the keys of a draining target at once, even if its predecessor’s lease lapsed', async () => {
  const simulation = await startSimulation(9)
  const [target] = simulation.targets
  assert.ok(target)
  simulation.leader()?.kill()
  await simulation.advance(3500)
  assert.ok(simulation.leader() !== undefined)
  simulation.drain(target)
  await simulation.advance(2500)
  assertOwned(simulation)
  assert.deepEqual(target.holds, [], 'the target has released its keys')
})

test('neighbouring keys that turn hot are divided among targets while other moves still wait for running requests', async () => {
  const simulation = await startSimulation(11, 12)
  for (const target of simulation.targets) target.workMs = 60_000
  const ownersOf = (first: number): number => {
    const directory = simulation.leader()?.directory
    const keys = Array.from({ length: 200 }, (_, index) => first + index)
    return new Set(keys.map((key) => directory?.range(service, key)?.owner)).size
  }
  /**
   * Counts requests for 200 neighbouring keys, at ten times the rate of those for all other keys together.
   */
  const countRequests = async (first: number, durationMs: number): Promise<void> => {
    for (let ms = 0; ms < durationMs; ms += 100) {
      const keyLoad = simulation.leader()?.assignmentController.keyLoad(service)
      for (let key = 0; key < 65_536; key += 656) keyLoad?.add(key, 0.2)
      for (let key = first; key < first + 200; key += 1) keyLoad?.add(key, 1)
      await simulation.advance(100)
    }
  }
  await countRequests(1000, 1500)
  assert.ok(ownersOf(1000) > 4, 'the first 200 keys are divided')
  await countRequests(40_000, 2500)
  assert.ok(ownersOf(40_000) > 4, 'the second 200 keys are divided while releases of the first ones wait')
  assert.deepEqual(simulation.violations, [])
})

test('after a restart of all hosts the same targets own the same keys', async () => {
  const simulation = await startSimulation(7)
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
  const simulation = await startSimulation(8)
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

test('an owner that responds keeps its keys although the target registry shows a later process at its address', async () => {
  const simulation = await startSimulation(19)
  const [target] = simulation.targets
  assert.ok(target)
  // The target is cut off from the store, and the entry of a different target names its address.
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
  const simulation = await startSimulation(13)
  const [target] = simulation.targets
  assert.ok(target)
  simulation.restart(target, 'later')
  await simulation.advance(9000)
  assertOwned(simulation)
  // The target is cut off from the store; a late write adds the entry of the process that ran there before.
  simulation.targetsCutFromStore.add(target)
  simulation.removeEntry(target)
  simulation.writeEntryOfEarlierProcess(target, 't0', 1000)
  await simulation.advance(2000)
  simulation.store.remove(storeTables.targetRegistry, 't0')
  await simulation.advance(12_000)
  assert.deepEqual(simulation.violations, [])
})

test('keys whose owner names a limit below their demand move to other targets', async () => {
  for (const limit of [0, 1, 3.5]) {
    const simulation = await startSimulation(31)
    const [target] = simulation.targets
    assert.ok(target)
    const loadOf = (): number => {
      const leader = simulation.leader()
      const load = leader?.assignmentController.keyLoad(service)
      const ranges = leader?.directory.assignment(service)?.assignment?.ranges ?? []
      return ranges
        .filter(({ owner }) => owner === target.id)
        .reduce((sum, { from, to }) => sum + (load?.sum(from, to) ?? 0), 0)
    }
    const run = async (): Promise<void> => {
      for (let round = 0; round < 40; round += 1) {
        const load = simulation.leader()?.assignmentController.keyLoad(service)
        // About 100 requests a second over all keys.
        for (let key = 0; key < 65_536; key += 656) load?.add(key, 0.25)
        await simulation.advance(250)
      }
    }
    await run()
    assert.ok(loadOf() > 10, 'the target has its part of the load')
    simulation.requestLimits.set(target.id, limit)
    await run()
    assert.ok(
      loadOf() < 2 * limit + 4,
      `${String(loadOf())} requests a second at a limit of ${String(limit)}`,
    )
    assertOwned(simulation)
  }
})
