/** Cases that random faults found, as directed tests. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ObservedLease, type LeaderRecord } from '@pimentotally/assignment'
import { leaseTimes } from './leadership.js'
import { OwnershipWorld } from './testing-world.js'

// A takeover always writes renewal 1. A host whose lease ended before its first renewal, and that takes the lease again,
// changes only the term of the record; whoever does not see that as a change takes the lease over while it lasts.
test('a lease that its last holder takes again, under a new term, is observed as a new one', () => {
  const record: LeaderRecord = {
    leader: 'a',
    peerAddress: 'a:1',
    term: 5,
    renewal: 1,
    released: false,
    hasLongGrants: false,
  }
  const lease = new ObservedLease(leaseTimes, 0)
  lease.observe(record, 0)
  const takenAgainAtMs = leaseTimes.leaseMs + leaseTimes.marginMs
  assert.equal(lease.waitMs(takenAgainAtMs), 0)
  lease.observe({ ...record, term: 6 }, takenAgainAtMs)
  assert.ok(lease.waitMs(takenAgainAtMs) > 0)
})

test('one host leads at a time when a leader that was turned away before its first renewal takes the lease again', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const world = new OwnershipWorld({ seed, targets: 5, hosts: 4 })
    await world.advance(6000)
    world.leader()?.kill()
    for (let ms = 0; ms < 4000 && world.leader() === undefined; ms += 25) await world.advance(25)
    const leader = world.leader()
    assert.ok(leader)
    leader.store.isRefused = true
    await world.advance(2000)
    leader.store.isRefused = false
    await world.advance(5000)
    assert.deepEqual(world.violations, [], `seed ${String(seed)}`)
  }
})
