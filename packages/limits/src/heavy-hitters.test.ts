import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { HeavyHitters } from './heavy-hitters.js'

const stream = fc.array(fc.nat(40), { maxLength: 300 })

const counts = (keys: readonly number[]): Map<string, number> => {
  const result = new Map<string, number>()
  for (const key of keys) result.set(String(key), (result.get(String(key)) ?? 0) + 1)
  return result
}

const sketch = (keys: readonly number[]): HeavyHitters => {
  const result = new HeavyHitters(8)
  for (const key of keys) result.add(String(key))
  return result
}

test('a key with more than 1/capacity of the stream is always tracked, and counts are too high by at most `error`', () => {
  fc.assert(
    fc.property(stream, stream, (left, right) => {
      for (const [keys, hitters] of [
        [left, sketch(left)],
        [[...left, ...right], sketch(left).merge(sketch(right))],
      ] as const) {
        const exact = counts(keys)
        const top = hitters.top()
        assert.ok(top.length <= 8)
        for (const { key, count, error } of top) {
          const real = exact.get(key) ?? 0
          assert.ok(count >= real && count - error <= real, `${key}: ${String(count)} for ${String(real)}`)
        }
        const tracked = new Set(top.map(({ key }) => key))
        for (const [key, real] of exact) if (real > keys.length / 8) assert.ok(tracked.has(key), key)
      }
    }),
    { seed: 3, numRuns: 300 },
  )
})
