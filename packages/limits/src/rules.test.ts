import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AttemptKind } from '@pimentotally/core'
import { PoolFixture, RecordingSink, request, termOf } from './testing.js'

const prices = { name: 'prices', slots: 6 }

test('100 requests earn exactly two retries and three hedges', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 4 } })
  const source = fixture.pool.attach('a')
  const count = async (attempt: AttemptKind, times: number): Promise<number> => {
    let lent = 0
    for (let time = 0; time < times; time += 1) {
      const result = await source.acquire(request({ attempt }), fixture.never)
      if (result.isErr) continue
      lent += 1
      source.release(result.value, { outcome: 'ok', latencyMs: 5 })
    }
    return lent
  }
  assert.equal(await count('retry', 5), 0, 'nothing is spent in advance')
  await count('first', 100)
  assert.equal(await count('retry', 10), 2)
  assert.equal(await count('hedge', 10), 3)
  fixture.close()
})

test('a new coordinator learns the suspects of an earlier one from the lists of the hosts', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  const sink = new RecordingSink()
  const suspects = [{ identity: 'x', service: 'prices', crashes: 1 }]
  fixture.pool.connect({ hostId: 'b', term: termOf(1), session: 1, held: [], suspects, sink })
  const permit = await fixture.acquirePermit(source, { identity: 'x' })
  source.release(permit, { outcome: 'connection-lost', latencyMs: 1 })
  fixture.pool.targetAnswered('prices-1', { instanceId: 'two', uptimeMs: 0 })
  assert.deepEqual(
    fixture.pool.blocked().map(({ identity }) => identity),
    ['x'],
  )
  fixture.close()
})

test('a draining owner gets keyed requests only until the time for moving its shards is over', async () => {
  const keyed = { shardCount: 4, source: { kind: 'header', name: 'k' } } as const
  const fixture = new PoolFixture({ services: [{ ...prices, keyed }], targets: { prices: 2 } })
  const source = fixture.pool.attach('a')
  fixture.authority.owners.set(1, { target: 'prices-1', fence: 'f1' })
  const operations = { domains: {}, drainingTargets: ['prices-1'] }
  fixture.configuration = { ...fixture.configuration, operations }
  await fixture.acquirePermit(source, { shard: 1, keyHash: 'abc' })
  await fixture.time.advance(3100)
  const late = source.acquire(request({ shard: 1, keyHash: 'abc', deadlineMs: 500 }), fixture.never)
  await fixture.time.advance(600)
  const result = await late
  assert.ok(result.isErr && result.error.code === 'shard_moving')
  fixture.close()
})

test('a recent load report changes the score by at most a quarter, an old one not at all', async () => {
  const preferred = async (ownMs: readonly [number, number], reportAgeMs: number): Promise<string> => {
    const fixture = new PoolFixture({ services: [prices], targets: { prices: 2 } })
    const source = fixture.pool.attach('a')
    for (let time = 0; time < 2; time += 1) {
      const permits = [await fixture.acquirePermit(source), await fixture.acquirePermit(source)]
      for (const permit of permits) {
        const latencyMs = permit.target === 'prices-1' ? ownMs[0] : ownMs[1]
        source.release(permit, { outcome: 'ok', latencyMs })
      }
    }
    fixture.pool.reportLoad('prices-1', { inFlight: 50, queued: 50, reportAgeMs })
    const { target } = await fixture.acquirePermit(source)
    fixture.close()
    return target
  }
  assert.equal(await preferred([10, 11], 0), 'prices-2', 'a report tips the balance')
  assert.equal(await preferred([10, 11], 2000), 'prices-1', 'an old report is ignored')
  assert.equal(await preferred([10, 14], 0), 'prices-1', 'a misleading report is not decisive')
})

test('a slot that a reconnect frees is not given away before all permits that the host holds are counted', async () => {
  const services = [{ name: 'prices', slots: 2 }]
  const fixture = new PoolFixture({ services, targets: { prices: 1 }, hosts: () => ['a', 'b', 'c'] })
  const term = termOf(1)
  await fixture.acquirePermit(fixture.pool.attach('a'))
  const old = fixture.pool.connect({ hostId: 'b', term, session: 1, held: [], sink: new RecordingSink() })
  old.acquire(1, request())
  old.end()
  const waiting = fixture.pool.attach('c').acquire(request(), fixture.never)
  const entry = { permitId: 'other', target: 'prices-1', service: 'prices', deadlineMs: 500, identity: 'i' }
  fixture.pool.connect({ hostId: 'b', term, session: 2, held: [entry], sink: new RecordingSink() })
  assert.equal(fixture.pool.inspect()[0]?.inFlight, 2)
  assert.equal(fixture.pool.counters().waiting, 1)
  fixture.close()
  assert.ok((await waiting).isErr)
})
