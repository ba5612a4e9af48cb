import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { planHotKeys, planLoadCorrection, planPlacement } from './placement.js'

const targets = (count: number): { name: string; weight: number }[] =>
  Array.from({ length: count }, (_, index) => ({ name: `t${String(index)}`, weight: 1 + (index % 3) }))

test('placement is within 10% of each share, empties removed targets, and keeps a balanced placement', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 300 }),
      fc.integer({ min: 1, max: 9 }),
      fc.integer({ min: 1, max: 9 }),
      (shards, before, after) => {
        const empty = new Map(Array.from({ length: shards }, (_, shard) => [shard, undefined]))
        const first = planPlacement({ owners: empty, targets: targets(before) })
        const plan = planPlacement({ owners: first, targets: targets(after) })
        const owners = new Map([...first, ...plan])
        const weights = targets(after).reduce((sum, { weight }) => sum + weight, 0)
        for (const { name, weight } of targets(after)) {
          const share = (shards * weight) / weights
          const count = [...owners.values()].filter((owner) => owner === name).length
          assert.ok(Math.abs(count - share) <= Math.max(1, share * 0.1), `${name}: ${String(count)}`)
        }
        assert.equal(planPlacement({ owners, targets: targets(after) }).size, 0)
        if (after < before) {
          const homeless = [...first.values()].filter((name) => Number(name.slice(1)) >= after).length
          assert.ok(plan.size >= homeless)
        }
      },
    ),
    { seed: 3 },
  )
})

test('load correction moves at most 2% of shards off the loaded target, and placement does not undo it', () => {
  const even = targets(4).map(({ name }) => ({ name, weight: 1 }))
  const owners = planPlacement({
    owners: new Map(Array.from({ length: 200 }, (_, shard) => [shard, undefined])),
    targets: even,
  })
  const load = new Map([...owners].map(([shard, owner]) => [shard, owner === 't0' ? 30 : 10]))
  const plan = planLoadCorrection({ owners, targets: even, load })
  assert.ok(plan.size > 0 && plan.size <= 4, String(plan.size))
  assert.ok([...plan].every(([shard, to]) => owners.get(shard) === 't0' && to !== 't0'))
  assert.equal(planPlacement({ owners: new Map([...owners, ...plan]), targets: even }).size, 0)
})

test('a hot key leaves an overloaded target only when that narrows the difference', () => {
  const even = targets(3).map(({ name }) => ({ name, weight: 1 }))
  const hot = (count: number): { keyHash: string; shard: number; count: number; target: string }[] => [
    { keyHash: 'k', shard: 0, count, target: 't0' },
  ]
  const requests = new Map([
    ['t0', 200],
    ['t1', 50],
    ['t2', 60],
  ])
  assert.deepEqual([...planHotKeys({ hot: hot(80), requests, targets: even })], [['k', 't1']])
  assert.equal(planHotKeys({ hot: hot(160), requests, targets: even }).size, 0)
})
