/**
 * The store comes back from older copies beside other random faults, in virtual time. Guards against two
 * targets that hold the same key, fences that do not rise, and keys that stay without an owner after the
 * faults have ended. FAULTS_SEED and FAULTS_RUNS in the environment set the seed and number of runs.
 */
import { test } from 'node:test'
import fc from 'fast-check'
import { maxEffectMs, type Fault, type FaultKind } from './testing-faults.js'
import { assertOwnedUnderFaults, dayFault, endOnFailure } from './testing-random-faults.js'

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

/** Keys move, the store comes back without any assignment, and all hosts restart; beside one other fault. */
const lostStart: fc.Arbitrary<readonly Fault[]> = fc
  .tuple(lostMoves, dayFault)
  .map(([faults, other]) => [
    ...faults.map((fault) =>
      fault.kind === 'storeRestored' ? { ...fault, kind: 'storeRestoredToStart' as const } : fault,
    ),
    other,
  ])

test('random returns of the store from before the first assignment: one owner for each key, and owners again after the faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(1e6), lostStart, async (seed, faults) => {
      await assertOwnedUnderFaults(seed, faults, maxEffectMs)
    }),
    { seed: 39, numRuns: 16, endOnFailure },
  )
})

/**
 * Moves are lost, the leader goes on and cannot store its assignment again, and a host that knows only the copy
 * takes over.
 */
const unstoredAssignment: fc.Arbitrary<readonly Fault[]> = fc
  .record({
    forMs: fc.integer({ min: 4500, max: 6500 }),
    leavesAtMs: fc.integer({ min: 0, max: 1000 }),
    index: fc.nat(4),
    replacedAfterMs: fc.integer({ min: 12_000, max: 16_000 }),
  })
  .map(({ forMs, leavesAtMs, index, replacedAfterMs }) => [
    { kind: 'storeRestored', atMs: 0, forMs, index: 0 },
    // It still runs when the host that knows only the copy leads.
    { kind: 'drain', atMs: leavesAtMs, forMs: 22_000, index },
    { kind: 'assignmentsRejected', atMs: forMs, forMs: replacedAfterMs, index: 0 },
    { kind: 'hostReplacesOthers', atMs: forMs + 200, forMs: replacedAfterMs - 200, index: 0 },
  ])

test('random returns of the store after which the assignment is not stored again: one owner for each key, and owners again after the faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(1e6), unstoredAssignment, async (seed, faults) => {
      await assertOwnedUnderFaults(seed, faults, maxEffectMs)
    }),
    { seed: 41, numRuns: 16, endOnFailure },
  )
})
