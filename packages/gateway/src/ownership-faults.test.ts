/**
 * Ownership of keys under random faults, in virtual time. Guards against two targets that hold the same key,
 * fences that do not rise, and keys that stay without an owner after the faults have ended. A failing run
 * prints its seed and faults; with FAULTS_SHRINK in the environment the faults are shrunk first. The last
 * test takes its seed and number of runs from FAULTS_SEED and FAULTS_RUNS.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { scheduleFault, maxEffectMs, type Fault, type FaultKind } from './testing-faults.js'
import { OwnershipSimulation } from './testing-simulation.js'

/** After this time from the start all keys are held. */
const startupMs = 6000
/** Longer than the longest hold, a takeover of the lease and the moves after it together. */
const recoveryMs = 16_000

/** Shrinking takes minutes, so it is only done when a run by hand asks for it. */
const endOnFailure = process.env['FAULTS_SHRINK'] === undefined

const kinds: readonly FaultKind[] = [
  'killLeader',
  'pauseLeader',
  'pauseHost',
  'storeDown',
  'leaderRefused',
  'writesLost',
  'ordersLate',
  'silent',
  'restartSameId',
  'restartNewId',
  'crash',
  'drain',
  'vanish',
]

const faultsOf = (from: readonly FaultKind[]): fc.Arbitrary<Fault> =>
  fc.record({
    kind: fc.constantFrom(...from),
    atMs: fc.integer({ min: 0, max: 8000 }),
    forMs: fc.integer({ min: 100, max: 9000 }),
    index: fc.nat(5),
  })

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

const dayFault: fc.Arbitrary<Fault> = fc.record({
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

const firstFault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom('leaderChain', 'leaderChain', 'storeFalters'),
  atMs: fc.integer({ min: 0, max: 4000 }),
  forMs: fc.constant(6000),
  index: fc.integer({ min: 0, max: 0xffff }),
})

/**
 * With many faults few holds outlast a chain of leaders, so most runs have a chain or a late renewal and few
 * other faults.
 */
const dayFaults = fc.oneof(
  { weight: 2, arbitrary: fc.array(dayFault, { minLength: 2, maxLength: 8 }) },
  {
    weight: 3,
    arbitrary: fc
      .tuple(firstFault, fc.array(dayFault, { maxLength: 2 }))
      .map(([first, others]): readonly Fault[] => [first, ...others]),
  },
)

const assertOwnedUnderFaults = async (
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

test('random faults together: one owner for each key, rising fences, and owners again after all faults have ended', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.nat(1e6),
      fc.array(faultsOf(kinds), { minLength: 1, maxLength: 4 }),
      async (seed, faults) => {
        await assertOwnedUnderFaults(seed, faults)
      },
    ),
    { seed: 5, numRuns: 60, endOnFailure },
  )
})

test('random faults with entries of earlier processes: one owner for each key, and owners again after the faults', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.nat(1e6),
      fc.array(faultsOf([...kinds, 'earlierEntry', 'earlierEntry', 'earlierEntry']), {
        minLength: 2,
        maxLength: 4,
      }),
      async (seed, faults) => {
        await assertOwnedUnderFaults(seed, faults)
      },
    ),
    { seed: 7, numRuns: 60, endOnFailure },
  )
})

/**
 * A target is silent until its keys have moved, the store comes back without these moves, and all hosts
 * restart.
 */
const lostMoves: fc.Arbitrary<readonly Fault[]> = fc
  .record({
    index: fc.nat(4),
    silentForMs: fc.integer({ min: 7000, max: 9000 }),
    restoreIndex: fc.nat(4),
    restartAfterMs: fc.integer({ min: 0, max: 1500 }),
  })
  .map(({ index, silentForMs, restoreIndex, restartAfterMs }) => [
    { kind: 'storeRestored', atMs: 0, forMs: silentForMs, index: restoreIndex },
    { kind: 'silent', atMs: 0, forMs: silentForMs, index },
    { kind: 'restartHosts', atMs: silentForMs + 2600 + restartAfterMs, forMs: 0, index: 0 },
  ])

/** The store comes back from older copies, beside other faults; in half of the runs all hosts restart later. */
const returns: fc.Arbitrary<readonly Fault[]> = fc
  .tuple(
    fc.array(
      fc.record({
        kind: fc.constant<FaultKind>('storeRestored'),
        atMs: fc.integer({ min: 0, max: 6000 }),
        forMs: fc.integer({ min: 500, max: 9000 }),
        index: fc.nat(5),
      }),
      { minLength: 1, maxLength: 2 },
    ),
    fc.array(dayFault, { minLength: 1, maxLength: 4 }),
    fc.option(
      fc.record({
        kind: fc.constant<FaultKind>('restartHosts'),
        atMs: fc.integer({ min: 500, max: 16_000 }),
        forMs: fc.constant(0),
        index: fc.constant(0),
      }),
      { freq: 1 },
    ),
  )
  .map(([restored, others, restart]) => [...restored, ...others, ...(restart === null ? [] : [restart])])

/**
 * One target is silent until about the end of its holds, and then responds slowly to grants, while the store
 * is slow.
 */
const slowReturn: fc.Arbitrary<readonly Fault[]> = fc
  .record({ index: fc.nat(4), silentForMs: fc.integer({ min: 4800, max: 7200 }), storeIndex: fc.nat(0xffff) })
  .map(({ index, silentForMs, storeIndex }) => [
    { kind: 'silent', atMs: 0, forMs: silentForMs, index },
    { kind: 'storeSlow', atMs: 3000, forMs: 8000, index: storeIndex },
    { kind: 'answersSlow', atMs: 4500, forMs: 6000, index },
  ])

test('random returns of a silent owner that responds slowly: one owner for each key, and owners again after the faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(1e6), slowReturn, async (seed, faults) => {
      await assertOwnedUnderFaults(seed, faults)
    }),
    { seed: 29, numRuns: 20, endOnFailure },
  )
})

test('random returns of the store from an older copy: one owner for each key, and owners again after the faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(1e6), fc.oneof(returns, lostMoves), async (seed, faults) => {
      await assertOwnedUnderFaults(seed, faults, maxEffectMs)
    }),
    {
      seed: Number(process.env['FAULTS_SEED'] ?? 38),
      numRuns: Number(process.env['FAULTS_RUNS'] ?? 60),
      endOnFailure,
    },
  )
})

test('faults of whole days, with chains of leaders: one owner for each key, and owners again after the faults', async (context) => {
  let runs = 0
  let chains = 0
  await fc.assert(
    fc.asyncProperty(fc.nat(1e6), dayFaults, async (seed, faults) => {
      const simulation = await assertOwnedUnderFaults(seed, faults, maxEffectMs)
      runs += 1
      if (simulation.hasLeaderChain(10_000)) chains += 1
    }),
    {
      seed: Number(process.env['FAULTS_SEED'] ?? 22),
      numRuns: Number(process.env['FAULTS_RUNS'] ?? 100),
      endOnFailure,
    },
  )
  context.diagnostic(`three leaders within 10 s in ${String(chains)} of ${String(runs)} runs`)
})
