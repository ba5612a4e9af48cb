import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AttemptKind } from '@pimentotally/core'
import { PoolFixture, RecordingSink, request, termOf } from './testing.js'

const prices = { name: 'prices', slots: 6 }

test('100 requests earn exactly two retries and three hedges', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 4 } })
  const source = bench.pool.attach('a')
  const count = async (attempt: AttemptKind, times: number): Promise<number> => {
    let lent = 0
    for (let time = 0; time < times; time += 1) {
      const result = await source.acquire(request({ attempt }), bench.never)
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
  bench.close()
})

test('a suspicion outlives the coordinator through the hosts that know of it', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  const sink = new RecordingSink()
  const suspects = [{ identity: 'x', service: 'prices', crashes: 1 }]
  bench.pool.connect({ hostId: 'b', term: termOf(1), session: 1, held: [], suspects, sink })
  const permit = await bench.acquirePermit(source, { identity: 'x' })
  source.release(permit, { outcome: 'connection-lost', latencyMs: 1 })
  bench.pool.targetAnswered('prices-1', { instanceId: 'two', uptimeMs: 0 })
  assert.deepEqual(
    bench.pool.blocked().map(({ identity }) => identity),
    ['x'],
  )
  bench.close()
})

test('a draining owner serves its keys only until the hand-off must be over', async () => {
  const keyed = { shardCount: 4, source: { kind: 'header', name: 'k' } } as const
  const bench = new PoolFixture({ services: [{ ...prices, keyed }], targets: { prices: 2 } })
  const source = bench.pool.attach('a')
  bench.authority.owners.set(1, { target: 'prices-1', fence: 'f1' })
  const operations = { domains: {}, drainingTargets: ['prices-1'] }
  bench.configuration = { ...bench.configuration, operations }
  await bench.acquirePermit(source, { shard: 1, keyHash: 'abc' })
  await bench.time.advance(3100)
  const late = source.acquire(request({ shard: 1, keyHash: 'abc', deadlineMs: 500 }), bench.never)
  await bench.time.advance(600)
  const result = await late
  assert.ok(result.isErr && result.error.code === 'shard_moving')
  bench.close()
})

test('a young load report outweighs own latency by at most a quarter, an old one not at all', async () => {
  const preferred = async (ownMs: readonly [number, number], reportAgeMs: number): Promise<string> => {
    const bench = new PoolFixture({ services: [prices], targets: { prices: 2 } })
    const source = bench.pool.attach('a')
    for (let time = 0; time < 2; time += 1) {
      const permits = [await bench.acquirePermit(source), await bench.acquirePermit(source)]
      for (const permit of permits) {
        const latencyMs = permit.target === 'prices-1' ? ownMs[0] : ownMs[1]
        source.release(permit, { outcome: 'ok', latencyMs })
      }
    }
    bench.pool.reportLoad('prices-1', { inFlight: 50, queued: 50, reportAgeMs })
    const { target } = await bench.acquirePermit(source)
    bench.close()
    return target
  }
  assert.equal(await preferred([10, 11], 0), 'prices-2', 'a report tips the balance')
  assert.equal(await preferred([10, 11], 2000), 'prices-1', 'an old report is ignored')
  assert.equal(await preferred([10, 14], 0), 'prices-1', 'a misleading report is not decisive')
})

test('a slot that a reconnect frees is not lent before all that the host holds is counted', async () => {
  const services = [{ name: 'prices', slots: 2 }]
  const bench = new PoolFixture({ services, targets: { prices: 1 }, hosts: () => ['a', 'b', 'c'] })
  const term = termOf(1)
  await bench.acquirePermit(bench.pool.attach('a'))
  const old = bench.pool.connect({ hostId: 'b', term, session: 1, held: [], sink: new RecordingSink() })
  old.acquire(1, request())
  old.end()
  const waiting = bench.pool.attach('c').acquire(request(), bench.never)
  const entry = { permitId: 'other', target: 'prices-1', service: 'prices', deadlineMs: 500, identity: 'i' }
  bench.pool.connect({ hostId: 'b', term, session: 2, held: [entry], sink: new RecordingSink() })
  assert.equal(bench.pool.inspect()[0]?.inFlight, 2)
  assert.equal(bench.pool.counters().waiting, 1)
  bench.close()
  assert.ok((await waiting).isErr)
})
