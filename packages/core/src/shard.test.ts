import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { ShardSet, shardOf } from './shard.js'

test('a shard set is unchanged after encoding to Base64 and decoding', () => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.nat(999)), (shards) => {
      const set = ShardSet.fromBase64(1000, ShardSet.of(1000, shards).toBase64())
      assert.deepEqual(
        [...set],
        [...shards].sort((a, b) => a - b),
      )
      assert.equal(set.count(), shards.length)
    }),
    { seed: 2 },
  )
})

test('decoding refuses a bitmap whose length does not match the shard count', () => {
  assert.throws(() => ShardSet.fromBase64(1000, ShardSet.all(64).toBase64()), RangeError)
})

test('keys are spread evenly over the shards, and a key always has the same shard', () => {
  const counts = Array<number>(64).fill(0)
  for (let key = 0; key < 64_000; key += 1) {
    const shard = shardOf('notes', `key-${String(key)}`, 64)
    counts[shard] = (counts[shard] ?? 0) + 1
  }
  assert.ok(Math.max(...counts) < 1200 && Math.min(...counts) > 800, counts.join(' '))
  assert.equal(shardOf('notes', 'key-1', 64), shardOf('notes', 'key-1', 64))
})
