/** A short seeded run of the soak; seeds that ever failed stay here, each with its cause. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { runSoak } from './gateway-soak.js'

const seeds: readonly (readonly [seed: number, reason: string])[] = [[1, 'the short run of CI']]

for (const [seed, reason] of seeds) {
  test(`soak with seed ${String(seed)} keeps all promises: ${reason}`, async () => {
    const { violations, answers, faults } = await runSoak({ seed, faults: 5, durationMs: 5000 })
    assert.deepEqual(violations, [], faults.join(', '))
    assert.ok((answers['200'] ?? 0) > 0)
  })
}
