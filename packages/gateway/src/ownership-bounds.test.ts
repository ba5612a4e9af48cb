/**
 * Ownership of keys at the bounds of holds and leases, in virtual time. Guards against grants that no bound
 * of a hold takes into account, so that keys get a second owner, and against two hosts that lead at the same
 * time.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Result } from 'true-myth'
import { storeTables } from '@pimentotally/platform'
import { decodeLeader, routerStateKeys } from './router-state-rows.js'
import { OwnershipSimulation } from './testing-simulation.js'

/** Advances time and returns each step of 25 ms after which two hosts lead at the same time. */
const stepsWithTwoLeaders = async (
  simulation: OwnershipSimulation,
  durationMs: number,
): Promise<string[]> => {
  const found: string[] = []
  for (let ms = 0; ms < durationMs; ms += 25) {
    await simulation.advance(25)
    const leaders = simulation.hosts.filter(
      ({ isStopped, leadership }) => !isStopped && leadership.tenure !== undefined,
    )
    if (leaders.length > 1) {
      const terms = leaders.map(({ leadership }) => String(leadership.term)).join(' and ')
      found.push(`${String(ms)} ms: terms ${terms}`)
    }
  }
  return found
}

test('one host leads at a time when the response to an election is lost with its connection', async () => {
  const failures: string[] = []
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = new OwnershipSimulation({ seed })
    await simulation.advance(6000)
    let lost = 0
    for (const host of simulation.hosts) {
      const commit = host.store.commit.bind(host.store)
      host.store.commit = async (transaction, options) => {
        const isElection = transaction.writes.some(
          ({ key, value }) => key === routerStateKeys.leader && decodeLeader(value)?.term === 2,
        )
        const result = await commit(transaction, options)
        if (!isElection || result.isErr || lost > 0) return result
        lost += 1
        return Result.err({ code: 'unknown', step: 'commit', message: 'connection reset' })
      }
    }
    simulation.leader()?.kill()
    const found = await stepsWithTwoLeaders(simulation, 9000)
    if (found.length > 0) {
      failures.push(`seed ${String(seed)}: ${String(found.length * 25)} ms, from ${found[0] ?? ''}`)
    }
  }
  assert.deepEqual(failures, [])
})

test('one host leads at a time after an outage of the store that began just after an election', async () => {
  const failures: string[] = []
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = new OwnershipSimulation({ seed, hosts: 5 })
    await simulation.advance(6000)
    simulation.leader()?.kill()
    for (let ms = 0; ms < 5000 && simulation.leader() === undefined; ms += 25) await simulation.advance(25)
    await simulation.advance(100)
    simulation.store.isDown = true
    await simulation.advance(3500)
    simulation.store.isDown = false
    const found = await stepsWithTwoLeaders(simulation, 6000)
    if (found.length > 0) {
      failures.push(`seed ${String(seed)}: ${String(found.length * 25)} ms, from ${found[0] ?? ''}`)
    }
  }
  assert.deepEqual(failures, [])
})

test('one host leads at a time when a leader whose first renewal the store refused takes the lease again', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const simulation = new OwnershipSimulation({ seed, targets: 5, hosts: 4 })
    await simulation.advance(6000)
    simulation.leader()?.kill()
    for (let ms = 0; ms < 4000 && simulation.leader() === undefined; ms += 25) await simulation.advance(25)
    const leader = simulation.leader()
    assert.ok(leader)
    leader.store.isRefused = true
    await simulation.advance(2000)
    leader.store.isRefused = false
    await simulation.advance(5000)
    assert.deepEqual(simulation.violations, [], `seed ${String(seed)}`)
  }
})

test('keys whose first grant is pending have one owner when that owner leaves', async () => {
  const failures: string[] = []
  for (let seed = 1; seed <= 40; seed += 1) {
    const simulation = new OwnershipSimulation({ seed })
    const [target] = simulation.targets
    assert.ok(target)
    // The first grant to the target gets no response and takes effect late.
    target.lateShare = 1
    const isAssigned = (): boolean =>
      simulation.store.rows(storeTables.routerState).some(({ key }) => key.startsWith('assignment/'))
    for (let ms = 0; ms < 9000 && !isAssigned(); ms += 25) await simulation.advance(25)
    await simulation.advance(100)
    simulation.drain(target)
    await simulation.advance(700)
    target.lateShare = 0
    await simulation.advance(9000)
    if (simulation.violations[0] !== undefined)
      failures.push(`seed ${String(seed)}: ${simulation.violations[0]}`)
  }
  assert.deepEqual(failures, [])
})

test('keys whose first grant is answered slowly have one owner when that owner leaves', async () => {
  const failures: string[] = []
  for (let seed = 1; seed <= 10; seed += 1) {
    const simulation = new OwnershipSimulation({ seed })
    const [target] = simulation.targets
    assert.ok(target)
    target.maxAnswerMs = 750
    const isAssigned = (): boolean =>
      simulation.store.rows(storeTables.routerState).some(({ key }) => key.startsWith('assignment/'))
    for (let ms = 0; ms < 9000 && !isAssigned(); ms += 25) await simulation.advance(25)
    await simulation.advance(100)
    simulation.drain(target)
    await simulation.advance(9000)
    if (simulation.violations[0] !== undefined)
      failures.push(`seed ${String(seed)}: ${simulation.violations[0]}`)
  }
  assert.deepEqual(failures, [])
})

test('keys of a silent owner that answers again while their move is being stored have one owner', async () => {
  const failures: string[] = []
  for (let offsetMs = 0; offsetMs < 900; offsetMs += 300) {
    for (let backAfterMs = 5000; backAfterMs <= 7000; backAfterMs += 100) {
      const simulation = new OwnershipSimulation({ seed: 1 })
      await simulation.advance(12_000 + offsetMs)
      const [target] = simulation.targets
      assert.ok(target)
      target.isSilent = true
      simulation.store.workMs = 600
      await simulation.advance(backAfterMs)
      target.isSilent = false
      target.maxAnswerMs = 750
      await simulation.advance(6000)
      if (simulation.violations[0] !== undefined) {
        failures.push(
          `offset ${String(offsetMs)}, back after ${String(backAfterMs)} ms: ${simulation.violations[0]}`,
        )
      }
    }
  }
  assert.deepEqual(failures, [])
})
