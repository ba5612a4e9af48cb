/**
 * What bounds an owner's hold, and for how long one host leads. Guards against grants that no bound counts, and against
 * two hosts that lead at the same time.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Result } from 'true-myth'
import { storeTables } from '@pimentotally/platform'
import { decodeLeader, ownKeys } from './own-rows.js'
import { OwnershipSimulation } from './testing-world.js'

/** Two hosts that lead at the same time; each advance is a step of the test. */
const doubleLeaders = async (world: OwnershipSimulation, durationMs: number): Promise<string[]> => {
  const found: string[] = []
  for (let ms = 0; ms < durationMs; ms += 25) {
    await world.advance(25)
    const leaders = world.hosts.filter(
      ({ isStopped, leadership }) => !isStopped && leadership.tenure !== undefined,
    )
    if (leaders.length > 1) {
      const terms = leaders.map(({ leadership }) => String(leadership.term)).join(' and ')
      found.push(`${String(ms)} ms: terms ${terms}`)
    }
  }
  return found
}

test('one host leads at a time when the answer to an election is lost with its connection', async () => {
  const failures: string[] = []
  for (let seed = 1; seed <= 20; seed += 1) {
    const world = new OwnershipSimulation({ seed })
    await world.advance(6000)
    let lost = 0
    for (const host of world.hosts) {
      const commit = host.store.commit.bind(host.store)
      host.store.commit = async (transaction, options) => {
        const isElection = transaction.writes.some(
          ({ key, value }) => key === ownKeys.leader && decodeLeader(value)?.term === 2,
        )
        const result = await commit(transaction, options)
        if (!isElection || result.isErr || lost > 0) return result
        lost += 1
        return Result.err({ code: 'unknown', step: 'commit', message: 'connection reset' })
      }
    }
    world.leader()?.kill()
    const found = await doubleLeaders(world, 9000)
    if (found.length > 0) {
      failures.push(`seed ${String(seed)}: ${String(found.length * 25)} ms, from ${found[0] ?? ''}`)
    }
  }
  assert.deepEqual(failures, [])
})

test('one host leads at a time after an outage of the store that began just after an election', async () => {
  const failures: string[] = []
  for (let seed = 1; seed <= 20; seed += 1) {
    const world = new OwnershipSimulation({ seed, hosts: 5 })
    await world.advance(6000)
    world.leader()?.kill()
    for (let ms = 0; ms < 5000 && world.leader() === undefined; ms += 25) await world.advance(25)
    await world.advance(100)
    world.store.isDown = true
    await world.advance(3500)
    world.store.isDown = false
    const found = await doubleLeaders(world, 6000)
    if (found.length > 0) {
      failures.push(`seed ${String(seed)}: ${String(found.length * 25)} ms, from ${found[0] ?? ''}`)
    }
  }
  assert.deepEqual(failures, [])
})

test('one host leads at a time when a leader that was turned away before its first renewal takes the lease again', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const world = new OwnershipSimulation({ seed, targets: 5, hosts: 4 })
    await world.advance(6000)
    world.leader()?.kill()
    for (let ms = 0; ms < 4000 && world.leader() === undefined; ms += 25) await world.advance(25)
    const leader = world.leader()
    assert.ok(leader)
    leader.store.isRefused = true
    await world.advance(2000)
    leader.store.isRefused = false
    await world.advance(5000)
    assert.deepEqual(world.violations, [], `seed ${String(seed)}`)
  }
})

test('keys whose first grant is under way have one owner when that owner leaves', async () => {
  const failures: string[] = []
  for (let seed = 1; seed <= 40; seed += 1) {
    const world = new OwnershipSimulation({ seed })
    const [target] = world.targets
    assert.ok(target)
    // The first grant to the target gets no answer and takes effect late.
    target.lateShare = 1
    const isAssigned = (): boolean =>
      world.store.rows(storeTables.own).some(({ key }) => key.startsWith('assignment/'))
    for (let ms = 0; ms < 9000 && !isAssigned(); ms += 25) await world.advance(25)
    await world.advance(100)
    world.drain(target)
    await world.advance(700)
    target.lateShare = 0
    await world.advance(9000)
    if (world.violations[0] !== undefined) failures.push(`seed ${String(seed)}: ${world.violations[0]}`)
  }
  assert.deepEqual(failures, [])
})

test('keys whose first grant is answered slowly have one owner when that owner leaves', async () => {
  const failures: string[] = []
  for (let seed = 1; seed <= 10; seed += 1) {
    const world = new OwnershipSimulation({ seed })
    const [target] = world.targets
    assert.ok(target)
    target.maxAnswerMs = 750
    const isAssigned = (): boolean =>
      world.store.rows(storeTables.own).some(({ key }) => key.startsWith('assignment/'))
    for (let ms = 0; ms < 9000 && !isAssigned(); ms += 25) await world.advance(25)
    await world.advance(100)
    world.drain(target)
    await world.advance(9000)
    if (world.violations[0] !== undefined) failures.push(`seed ${String(seed)}: ${world.violations[0]}`)
  }
  assert.deepEqual(failures, [])
})

test('keys of a silent owner that answers while their move is being stored have one owner', async () => {
  const failures: string[] = []
  for (let offsetMs = 0; offsetMs < 900; offsetMs += 300) {
    for (let backAfterMs = 5000; backAfterMs <= 7000; backAfterMs += 100) {
      const world = new OwnershipSimulation({ seed: 1 })
      await world.advance(12_000 + offsetMs)
      const [target] = world.targets
      assert.ok(target)
      target.isSilent = true
      world.store.workMs = 600
      await world.advance(backAfterMs)
      target.isSilent = false
      target.maxAnswerMs = 750
      await world.advance(6000)
      if (world.violations[0] !== undefined) {
        failures.push(
          `offset ${String(offsetMs)}, back after ${String(backAfterMs)} ms: ${world.violations[0]}`,
        )
      }
    }
  }
  assert.deepEqual(failures, [])
})
