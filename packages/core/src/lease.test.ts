import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Clock, type Cancel } from './clock.js'
import { HeldLease, Instant } from './lease.js'
import { VirtualTime } from './testing.js'

/** A clock whose two readings are set by hand. */
class SteppedClock extends Clock {
  mono = 0
  wall = 0
  override monotonicMs(): number {
    return this.mono
  }
  override wallMs(): number {
    return this.wall
  }
  override schedule(): Cancel {
    throw new Error('not used')
  }
}

test('a lease lapses while the machine of its holder is suspended, even if its monotonic clock stood still', () => {
  const clock = new SteppedClock()
  const lease: HeldLease = { since: Instant.now(clock), durationMs: 900 }
  clock.wall = 5000
  assert.equal(HeldLease.remainingMs(lease, clock), 0)
})

test('a host that waits for a lease to lapse does not act early when the wall clock jumps forward', () => {
  const clock = new SteppedClock()
  const since = Instant.now(clock)
  clock.mono = 100
  clock.wall = 60_000
  assert.equal(Instant.waiterElapsedMs(since, clock), 100)
})

test('callbacks of a paused virtual clock run after it resumes', async () => {
  const time = new VirtualTime()
  const clock = time.clock()
  let fired = 0
  clock.schedule(10, () => (fired += 1))
  clock.pause()
  await time.advance(50)
  assert.equal(fired, 0)
  clock.resume()
  assert.equal(fired, 1)
})
