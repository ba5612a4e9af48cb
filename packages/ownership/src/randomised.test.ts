/** Random faults on whole cells in virtual time. A failing run prints its seed and shrinks to few faults. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { Random } from '@pimentotally/core'
import { faultArbitrary, scheduleFault, type Fault, type FaultKind } from './testing/faults.js'
import { CellSimulation } from './testing/simulation.js'

const settings = {
  hotKeyIntervalMs: 700,
  balanceIntervalMs: 500,
  recordPollIntervalMs: 1000,
  voterSettleMs: 500,
}

/**
 * Faults that are more than the loss of one host, target or link, and to which the bound on time without
 * service does not apply: many links fail at once, or each call may time out during the fault.
 */
const exemptFromServiceBound: ReadonlySet<FaultKind> = new Set(['delays', 'longDelays', 'split', 'cutSome'])

/** Runs a simulation that has settled through the faults, and returns it some time after all have ended. */
const runFaults = async (
  seed: number,
  faults: readonly Fault[],
  cellCount = 1,
  verifies = true,
): Promise<CellSimulation> => {
  const random = new Random(seed)
  const simulation = new CellSimulation({
    seed,
    cells: ['a', 'b'].slice(0, cellCount),
    targets: 5 + random.integer(3),
    hotKeys: random.float() < 0.5,
    verifies,
    settings,
  })
  await simulation.advance(2500)
  simulation.resetLongestGap()
  for (const fault of faults) scheduleFault(simulation, fault)
  const lastMs = Math.max(...faults.map(({ atMs, durationMs }) => atMs + durationMs))
  await simulation.advance(lastMs + 4000)
  return simulation
}

const assertRecovered = (simulation: CellSimulation): void => {
  assert.deepEqual(simulation.failures, [], 'violations that the checks of the simulation found')
  assert.deepEqual(simulation.unservedShards(), [], 'shards without service after all faults have ended')
  for (const cellId of simulation.options.cells) {
    assert.equal(simulation.leader(cellId)?.coordinator?.status().isStored, true, `${cellId} is stored`)
  }
}

test('random faults, one at a time: one owner, rising fences, and service again within 2000 ms', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(1e6), faultArbitrary(4000), async (seed, fault) => {
      const simulation = await runFaults(seed, [fault])
      assertRecovered(simulation)
      if (!exemptFromServiceBound.has(fault.kind))
        assert.ok(simulation.longestGapMs <= 2000, `${String(simulation.longestGapMs)} ms`)
    }),
    { seed: 11, numRuns: 100 },
  )
})

test('random faults, two at a time: one owner, rising fences, and everything owned and stored at the end', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.nat(1e6),
      faultArbitrary(3000),
      faultArbitrary(3000),
      fc.integer({ min: 1, max: 2 }),
      async (seed, first, second, cellCount) => {
        assertRecovered(await runFaults(seed, [first, second], cellCount))
      },
    ),
    { seed: 12, numRuns: 90 },
  )
})

test('random faults without verifying targets: coordinators whose terms overlap name the same owner', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.nat(1e6),
      fc.array(faultArbitrary(3000), { minLength: 1, maxLength: 2 }),
      async (seed, faults) => {
        assertRecovered(await runFaults(seed, faults, 1, false))
      },
    ),
    { seed: 13, numRuns: 50 },
  )
})

/** Runs that have found a fault of the software, with their seeds. */
const knownFailures: readonly {
  readonly fault: string
  readonly seed: number
  readonly faults: readonly Fault[]
}[] = [
  {
    fault: 'a new coordinator undid a stored move of an earlier one whose term had not lapsed (split)',
    seed: 646798749,
    faults: [
      { kind: 'split', atMs: 182, durationMs: 2844, node: 18, other: 4, atLeader: false },
      { kind: 'losing', atMs: 417, durationMs: 1753, node: 18, other: 17, atLeader: false },
    ],
  },
  {
    fault: 'a new coordinator undid a stored move of an earlier one whose term had not lapsed (drain)',
    seed: 999999981,
    faults: [
      { kind: 'cutFromHosts', atMs: 4, durationMs: 3992, node: 0, other: 10, atLeader: false },
      { kind: 'drain', atMs: 545, durationMs: 3240, node: 0, other: 11, atLeader: false },
      { kind: 'isolateTarget', atMs: 1163, durationMs: 3996, node: 1, other: 4, atLeader: true },
    ],
  },
]

for (const { fault, seed, faults } of knownFailures) {
  test(`seed ${String(seed)}: ${fault}`, async () => {
    assertRecovered(await runFaults(seed, faults, 1, false))
  })
}
