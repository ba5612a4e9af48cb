/** What the tests of random faults share: faults of whole days, and a run of the simulation with its checks. */
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { scheduleFault, type Fault, type FaultKind } from './testing-faults.js'
import { OwnershipSimulation } from './testing-simulation.js'

/** After this time from the start all keys are held. */
const startupMs = 6000
/** Longer than the longest hold, a takeover of the lease and the moves after it together. */
const recoveryMs = 16_000

/** Shrinking takes minutes, so it is only done when a run by hand asks for it. */
export const endOnFailure = process.env['FAULTS_SHRINK'] === undefined

/** Weights of the faults that may occur over days of operation; chains of leaders are frequent. */
const dayFaultWeights: Readonly<Partial<Record<FaultKind, number>>> = {
  leaderChain: 8,
  stopLeader: 2,
  restartLeader: 2,
  stopHost: 1,
  pauseLeader: 2,
  pauseHost: 1,
  clocksSet: 2,
  storeSlow: 3,
  storeFalters: 5,
  workLong: 3,
  storeDown: 1,
  leaderRefused: 1,
  someRefused: 2,
  writesLost: 1,
  writesLate: 2,
  feedBehind: 2,
  rowsHidden: 2,
  historyLost: 1,
  heartbeatsLate: 2,
  ordersLate: 2,
  answersSlow: 2,
  silent: 2,
  cutOff: 2,
  mute: 3,
  crash: 1,
  restartSameId: 2,
  restartNewId: 1,
  restartAfterRelease: 2,
  drain: 2,
  vanish: 1,
  leaveWithLeader: 2,
  leavesWithLateEntry: 2,
  earlierEntry: 2,
  addressReused: 2,
}

export const dayFault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.oneof(
    ...Object.entries(dayFaultWeights).map(([kind, weight]) => ({
      weight,
      arbitrary: fc.constant(kind as FaultKind),
    })),
  ),
  atMs: fc.integer({ min: 0, max: 8000 }),
  forMs: fc.integer({ min: 100, max: 9000 }),
  index: fc.nat(0xffff),
})

export const assertOwnedUnderFaults = async (
  seed: number,
  faults: readonly Fault[],
  minEffectMs = 0,
): Promise<OwnershipSimulation> => {
  const simulation = new OwnershipSimulation({ seed, targets: 5 })
  await simulation.advance(startupMs)
  assert.deepEqual(simulation.keysWithoutHolder(), [], 'keys without an owner after the start')
  for (const fault of faults) scheduleFault(simulation, fault)
  const lastMs = Math.max(...faults.map(({ atMs, forMs }) => atMs + Math.max(forMs, minEffectMs)))
  await simulation.advance(lastMs + recoveryMs)
  assert.deepEqual(simulation.violations, [])
  assert.deepEqual(simulation.keysWithoutHolder(), [], 'keys without an owner')
  assert.deepEqual(
    simulation.staleFences(),
    [],
    'a new process holds keys under a fence no higher than that of the process before it',
  )
  return simulation
}
