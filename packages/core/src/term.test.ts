import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { Fence, Term } from './term.js'

const parts = fc.record({
  epoch: fc.nat(0xffffffff),
  ballot: fc.nat(0xffffffff),
  hostSequence: fc.nat(0xffffffff),
})

test('string order of terms is the order of epoch, ballot and host sequence', () => {
  fc.assert(
    fc.property(parts, parts, (left, right) => {
      const numeric =
        left.epoch - right.epoch || left.ballot - right.ballot || left.hostSequence - right.hostSequence
      assert.equal(
        Math.sign(numeric),
        Term.of(left) < Term.of(right) ? -1 : Term.of(left) > Term.of(right) ? 1 : 0,
      )
    }),
    { seed: 1 },
  )
})

test('a fence carries its term and sequence', () => {
  const term = Term.of({ epoch: 2, ballot: 3, hostSequence: 10 })
  const fence = Fence.of(term, 7)
  assert.equal(Fence.term(fence), term)
  assert.equal(Fence.sequence(fence), 7)
  assert.ok(Fence.isValid(fence) && fence > Fence.none)
})

test('a component of more than 32 bits, which would break the order of terms, is refused', () => {
  assert.throws(() => Term.of({ epoch: 2 ** 32, ballot: 0, hostSequence: 0 }), RangeError)
})
