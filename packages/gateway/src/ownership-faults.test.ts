/**
 * Ownership of keys under random faults, in virtual time. Guards against two targets that hold one key, fences that do
 * not rise, and keys that stay without an owner after the faults have ended. A failing run prints its seed and faults.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { inject, type Fault, type FaultKind } from './testing-faults.js'
import { OwnershipWorld } from './testing-world.js'

/** All targets hold their keys from here on. */
const settledMs = 6000
/** Longer than the longest hold, a takeover and the moves after it. */
const healingMs = 16_000

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

const assertOwnedUnderFaults = async (seed: number, faults: readonly Fault[]): Promise<void> => {
  const world = new OwnershipWorld({ seed, targets: 5 })
  await world.advance(settledMs)
  assert.deepEqual(world.unheld(), [], 'keys without an owner after the start')
  for (const fault of faults) inject(world, fault)
  const lastMs = Math.max(...faults.map(({ atMs, forMs }) => atMs + forMs))
  await world.advance(lastMs + healingMs)
  assert.deepEqual(world.violations, [])
  assert.deepEqual(world.unheld(), [], 'keys without an owner')
}

test('random faults together: one owner for each key, rising fences, and owners again after all healed', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.nat(1e6),
      fc.array(faultsOf(kinds), { minLength: 1, maxLength: 4 }),
      assertOwnedUnderFaults,
    ),
    { seed: 5, numRuns: 60 },
  )
})

test('random faults with entries of earlier processes: one owner for each key, and owners again', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.nat(1e6),
      fc.array(faultsOf([...kinds, 'earlierEntry', 'earlierEntry', 'earlierEntry']), {
        minLength: 2,
        maxLength: 4,
      }),
      assertOwnedUnderFaults,
    ),
    { seed: 7, numRuns: 60 },
  )
})
