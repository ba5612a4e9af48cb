/**
 * Ownership of keys under random faults, in virtual time. Guards against two targets that hold the same key,
 * fences that do not rise, and keys that stay without an owner after the faults have ended. A failing run
 * prints its seed and faults; with FAULTS_SHRINK in the environment the faults are shrunk first. The last
 * test takes its seed and number of runs from FAULTS_SEED and FAULTS_RUNS.
 */
import { test } from 'node:test'
import fc from 'fast-check'
import { maxEffectMs, type Fault, type FaultKind } from './testing-faults.js'
import { assertOwnedUnderFaults, dayFault, endOnFailure } from './testing-random-faults.js'

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
