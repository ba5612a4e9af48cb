/**
 * The store comes back from an older copy, in virtual time. Guards against two targets that hold the same
 * key, fences that are given out again, keys that stay without an owner as no host can lead, and hosts that go
 * back to what the copy says. Random faults beside it are in ownership-faults.test.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { storeTables } from '@pimentotally/platform'
import { configurationRow } from '@pimentotally/platform/testing'
import { routerStateKeys } from './router-state-rows.js'
import { OwnershipSimulation, service } from './testing-simulation.js'

/** After this time from the start all keys are held. */
const startupMs = 6000
/** Longer than a takeover and the longest hold of a grant that the copy lacks. */
const longestWaitMs = 18_000

const startSimulation = async (seed: number): Promise<OwnershipSimulation> => {
  const simulation = new OwnershipSimulation({ seed })
  await simulation.advance(startupMs)
  assert.deepEqual(simulation.keysWithoutHolder(), [], 'keys without an owner after the start')
  return simulation
}

/** Moves keys for some seconds, and brings the store back without these moves, or from an earlier copy. */
const loseMoves = async (
  simulation: OwnershipSimulation,
  outageMs: number,
  copy = simulation.store.copy(),
): Promise<void> => {
  const [first, second] = simulation.targets
  assert.ok(first && second)
  simulation.drain(first)
  await simulation.advance(3000)
  simulation.restart(first, `${first.id}+`)
  await simulation.advance(2000)
  simulation.drain(second)
  await simulation.advance(2500)
  assert.deepEqual(simulation.violations, [])
  simulation.store.isSilent = true
  await simulation.advance(outageMs)
  simulation.store.isSilent = false
  simulation.restoreStore(copy)
}

const assertOwned = (simulation: OwnershipSimulation): void => {
  assert.deepEqual(simulation.violations, [])
  assert.deepEqual(simulation.keysWithoutHolder(), [], 'keys without an owner')
  assert.deepEqual(simulation.staleFences(), [])
}

for (const outageMs of [100, 700, 2000, 6000]) {
  test(`two targets do not hold a key after hosts that know only the older copy have started, ${String(outageMs)} ms without the store`, async () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const simulation = await startSimulation(seed)
      await loseMoves(simulation, outageMs)
      simulation.restartHosts()
      await simulation.advance(longestWaitMs)
      assertOwned(simulation)
    }
  })

  test(`keys do not stay without an owner after the store came back and its leader was lost, ${String(outageMs)} ms without the store`, async () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const simulation = await startSimulation(seed)
      const leader = simulation.leader()
      await loseMoves(simulation, outageMs)
      await simulation.advance(600 * seed)
      leader?.kill()
      await simulation.advance(longestWaitMs)
      assertOwned(simulation)
    }
  })
}

for (const copiedAtMs of [0, 1200]) {
  test(`hosts that have just started do not take a copy without any assignment for a first start, copied after ${String(copiedAtMs)} ms`, async () => {
    for (const outageMs of [100, 700, 2000, 6000]) {
      const simulation = new OwnershipSimulation({ seed: outageMs })
      await simulation.advance(copiedAtMs)
      const copy = simulation.store.copy()
      assert.ok(!copy.tables.get(storeTables.routerState)?.has(routerStateKeys.assignment(service, 0)))
      await simulation.advance(startupMs)
      await loseMoves(simulation, outageMs, copy)
      simulation.restartHosts()
      await simulation.advance(longestWaitMs + startupMs)
      assertOwned(simulation)
    }
  })
}

test('a target that did not answer while its keys moved does not get them again under its earlier fence', async () => {
  for (let seed = 1; seed <= 3; seed += 1) {
    const simulation = await startSimulation(seed)
    const copy = simulation.store.copy()
    const [target] = simulation.targets
    assert.ok(target)
    target.isSilent = true
    await simulation.advance(9000)
    target.isSilent = false
    simulation.restoreStore(copy)
    simulation.restartHosts()
    await simulation.advance(longestWaitMs)
    assertOwned(simulation)
  }
})

test('keys are not left by a leader whose lease has not ended when the store came back', async () => {
  const simulation = await startSimulation(3)
  const leader = simulation.leader()
  await loseMoves(simulation, 600)
  for (let ms = 0; ms < longestWaitMs; ms += 250) {
    await simulation.advance(250)
    assert.deepEqual(simulation.keysWithoutHolder(), [], `keys without an owner after ${String(ms)} ms`)
  }
  assert.equal(simulation.leader(), leader)
  assert.equal(leader?.leadership.isOfPresentEra, true)
  assertOwned(simulation)
})

test('a leader that goes on after the store came back grants nothing more until its assignment is stored again', async () => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const simulation = await startSimulation(seed)
    await loseMoves(simulation, 400)
    const hosts = [...simulation.hosts]
    // Knows only the copy, and waits for as long as grants of the earlier era may last.
    simulation.startHost()
    simulation.store.rejects = ({ writes }) => writes.some(({ key }) => routerStateKeys.isAssignment(key))
    await simulation.advance(14_500)
    for (const host of hosts) host.kill()
    simulation.store.rejects = () => false
    await simulation.advance(longestWaitMs)
    assertOwned(simulation)
  }
})

test('two returns of the store within one hold do not give a key to two targets', async () => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const simulation = await startSimulation(seed)
    const copy = simulation.store.copy()
    await loseMoves(simulation, 300 * seed)
    await simulation.advance(2500)
    simulation.store.isDown = true
    await simulation.advance(400 * seed)
    simulation.store.isDown = false
    simulation.restoreStore(copy)
    await simulation.advance(700 * seed)
    simulation.restartHosts()
    await simulation.advance(longestWaitMs)
    assertOwned(simulation)
  }
})

test('a host that was cut off while the store came back does not lead beside another one', async () => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const simulation = await startSimulation(seed)
    const leader = simulation.leader()
    assert.ok(leader)
    leader.store.isRefused = true
    await simulation.advance(2900)
    await loseMoves(simulation, 500 * seed)
    await simulation.advance(200 * seed)
    leader.store.isRefused = false
    await simulation.advance(longestWaitMs)
    assertOwned(simulation)
  }
})

test('a write of the leader that takes effect late, after the store came back, gives no key to two targets', async () => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const simulation = await startSimulation(seed)
    for (const { store } of simulation.hosts) store.lateShare = 0.4
    await loseMoves(simulation, 400 * seed)
    await simulation.advance(5000)
    for (const { store } of simulation.hosts) store.lateShare = 0
    await simulation.advance(longestWaitMs + 8000)
    assertOwned(simulation)
  }
})

test('a host does not go back to an older configuration, nor keep an older one when it is written again', async () => {
  const simulation = await startSimulation(5)
  const copy = simulation.store.copy()
  simulation.reconfigure()
  await simulation.advance(1000)
  const versions = (): (number | undefined)[] =>
    simulation.running().map(({ directory }) => directory.routes?.configuration.version)
  assert.deepEqual(versions(), [2, 2, 2])
  simulation.store.restore(copy)
  await simulation.advance(1000)
  assert.deepEqual(versions(), [2, 2, 2])
  const { key, value } = configurationRow({ isSharded: true, version: 3 })
  simulation.store.write(storeTables.operator, key, value)
  await simulation.advance(1000)
  assert.deepEqual(versions(), [3, 3, 3])
})

test('a target that the older copy lacks is kept until it has written its entry again, or for two and a half seconds', async () => {
  const simulation = await startSimulation(6)
  const [host] = simulation.running()
  const [target] = simulation.targets
  assert.ok(host && target)
  simulation.removeEntry(target)
  await simulation.advance(500)
  const copy = simulation.store.copy()
  simulation.restoreEntry(target)
  await simulation.advance(500)
  simulation.store.restore(copy)
  simulation.targetsCutFromStore.add(target)
  await simulation.advance(1800)
  const isKnown = (): boolean => host.directory.targets(service).some(({ id }) => id === target.id)
  assert.equal(isKnown(), true)
  await simulation.advance(1500)
  assert.equal(isKnown(), false)
})
