import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AttemptOutcome, PermitRequest, PermitSource } from '@pimentotally/core'
import { PoolFixture, RecordingSink, request, termOf } from './testing.js'

const prices = { name: 'prices', slots: 6 }

const pass = async (bench: PoolFixture, source: PermitSource, times: number): Promise<void> => {
  for (let time = 0; time < times; time += 1) {
    source.release(await bench.acquirePermit(source), { outcome: 'ok', latencyMs: 5 })
  }
}

const free = (bench: PoolFixture): number => bench.pool.inspect()[0]?.allowedSlots ?? 0

test('one target never gets more requests than its slots, and a freed slot goes to the one that waits', async () => {
  const bench = new PoolFixture({ services: [{ name: 'prices', slots: 2 }], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  const first = await bench.acquirePermit(source)
  await bench.acquirePermit(source)
  const third = source.acquire(request(), bench.never)
  await bench.time.advance(10)
  assert.equal(bench.pool.counters().waiting, 1)
  source.release(first, { outcome: 'ok', latencyMs: 5 })
  assert.ok((await third).isOk)
  bench.close()
})

test('with a second host known, one host cannot take all slots of a target', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 }, hosts: () => ['a', 'b'] })
  const [a, b] = [bench.pool.attach('a'), bench.pool.attach('b')]
  for (let slot = 0; slot < 4; slot += 1) await bench.acquirePermit(a)
  const waiting = a.acquire(request(), bench.never)
  await bench.acquirePermit(b)
  await bench.acquirePermit(b)
  assert.equal(bench.pool.inspect()[0]?.inFlight, 6)
  await bench.time.advance(1100)
  assert.ok((await waiting).isErr)
  bench.close()
})

test('a restarted target takes one request, and one more after each 8 successes', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  bench.pool.targetAnswered('prices-1', { instanceId: 'two', uptimeMs: 10 })
  assert.equal(free(bench), 1)
  await pass(bench, source, 7)
  assert.equal(free(bench), 1)
  await pass(bench, source, 1)
  assert.equal(free(bench), 2)
  await pass(bench, source, 32)
  assert.equal(free(bench), 6)
  bench.close()
})

test('after a lost connection one slot is used until the target was seen, as it may have restarted', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  source.release(await bench.acquirePermit(source), { outcome: 'connection-lost', latencyMs: 1 })
  assert.equal(free(bench), 1)
  bench.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000 })
  assert.equal(free(bench), 1, 'this answer may have been sent before the connection was lost')
  await bench.time.advance(300)
  bench.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_300 })
  assert.equal(free(bench), 6)
  bench.close()
})

test('a target that sheds load three times in a row starts slowly again', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  for (let time = 0; time < 3; time += 1) {
    source.release(await bench.acquirePermit(source), { outcome: 'refused', latencyMs: 1 })
  }
  assert.equal(free(bench), 1)
  bench.close()
})

test('permits of a silent host of the earlier term stay counted until its last request must have ended', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 }, hosts: () => ['a', 'b'] })
  bench.pool.endTerm()
  bench.authority.held = termOf(2)
  bench.pool.startTerm(termOf(2), ['b'])
  const source = bench.pool.attach('a')
  await bench.acquirePermit(source)
  await bench.acquirePermit(source)
  const third = source.acquire(request({ deadlineMs: 5000 }), bench.never)
  await bench.time.advance(900 + 2000 + 200)
  assert.equal(bench.pool.counters().waiting, 1)
  await bench.time.advance(100)
  assert.ok((await third).isOk)
  bench.close()
})

test('a host that reconnects keeps exactly the permits it lists, and its older stream is ignored', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 }, hosts: () => ['a', 'b'] })
  const [old, fresh] = [new RecordingSink(), new RecordingSink()]
  const stale = bench.pool.connect({ hostId: 'b', term: termOf(1), session: 1, held: [], sink: old })
  stale.acquire(1, request())
  stale.acquire(2, request())
  const [kept, unknown] = old.permits
  assert.ok(kept && unknown)
  const held = {
    permitId: kept.permitId,
    target: kept.target,
    service: 'prices',
    deadlineMs: 900,
    identity: 'i',
  }
  const session = bench.pool.connect({ hostId: 'b', term: termOf(1), session: 3, held: [held], sink: fresh })
  assert.equal(bench.pool.inspect()[0]?.inFlight, 1)
  assert.ok(old.ended)
  stale.acquire(3, request())
  stale.release(kept.permitId, { outcome: 'ok', latencyMs: 1 })
  assert.equal(bench.pool.inspect()[0]?.inFlight, 1)
  const late = new RecordingSink()
  assert.equal(
    bench.pool.connect({ hostId: 'b', term: termOf(1), session: 2, held: [], sink: late }).open,
    false,
  )
  assert.ok(late.ended && session.open)
  bench.close()
})

test('the permits of a host that is gone are reclaimed only after deadline and grace', async () => {
  let hosts = ['a', 'b']
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 }, hosts: () => hosts })
  const sink = new RecordingSink()
  const session = bench.pool.connect({ hostId: 'b', term: termOf(1), session: 1, held: [], sink })
  session.acquire(1, request({ deadlineMs: 1000 }))
  session.end()
  await bench.time.advance(5000)
  assert.equal(bench.pool.inspect()[0]?.inFlight, 1, 'a host that is still known may still run it')
  session.release(sink.permits[0]?.permitId ?? '', { outcome: 'ok', latencyMs: 1 })
  hosts = ['a']
  await bench.time.advance(100)
  assert.equal(bench.pool.inspect()[0]?.inFlight, 0)
  assert.equal(bench.pool.counters().reclaimed, 1)
  bench.close()
})

test('no permit outlives the term, and the time spent waiting is not taken from it', async () => {
  const bench = new PoolFixture({ services: [{ name: 'prices', slots: 1 }], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  const first = await bench.acquirePermit(source)
  const second = source.acquire(request({ deadlineMs: 3000 }), bench.never)
  await bench.time.advance(500)
  bench.authority.validMs = 300
  source.release(first, { outcome: 'ok', latencyMs: 5 })
  const result = await second
  assert.ok(result.isOk && result.value.sendWithinMs === 800, JSON.stringify(result))
  assert.ok(source.isUsable(result.value))
  bench.authority.held = undefined
  assert.ok(!source.isUsable(result.value))
  await bench.refused(source, 'no_coordinator')
  bench.close()
})

test('a keyed request goes to the owner only, and a move waits for its return', async () => {
  const keyed = { shardCount: 4, source: { kind: 'header', name: 'k' } } as const
  const bench = new PoolFixture({ services: [{ ...prices, keyed }], targets: { prices: 3 } })
  const source = bench.pool.attach('a')
  bench.authority.owners.set(1, { target: 'prices-2', fence: 'f1' })
  const part: Partial<PermitRequest> = { shard: 1, keyHash: 'abc' }
  const permit = await bench.acquirePermit(source, part)
  assert.equal(permit.target, 'prices-2')
  assert.equal(permit.fence, 'f1')
  bench.authority.owners.delete(1)
  let returned = false
  void bench.pool.whenNoPermitOutstanding('prices', [1], bench.never).then(() => (returned = true))
  const moved = source.acquire(request(part), bench.never)
  await bench.time.advance(100)
  assert.equal(returned, false)
  source.release(permit, { outcome: 'ok', latencyMs: 5 })
  await bench.time.advance(1)
  assert.equal(returned, true)
  bench.authority.owners.set(1, { target: 'prices-3', fence: 'f2' })
  bench.pool.ownersChanged()
  const result = await moved
  assert.ok(result.isOk && result.value.target === 'prices-3')
  assert.deepEqual([...bench.pool.takeShardLoad('prices')], [[1, 2]])
  assert.deepEqual(bench.pool.takeHotKeys('prices', 5), [{ keyHash: 'abc', shard: 1, count: 2 }])
  bench.close()
})

test('draining targets and domains that are out get no new permits', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 2 } })
  const source = bench.pool.attach('a')
  const operations = { domains: {}, drainingTargets: ['prices-1'] }
  bench.configuration = { ...bench.configuration, operations }
  for (let time = 0; time < 6; time += 1) assert.equal((await bench.acquirePermit(source)).target, 'prices-2')
  bench.configuration = {
    ...bench.configuration,
    operations: { domains: { north: 'out' }, drainingTargets: [] },
  }
  await bench.refused(source, 'no_target')
  bench.close()
})

test('a target that fails fast does not attract work', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 2 } })
  const source = bench.pool.attach('a')
  let failing = 0
  for (let time = 0; time < 200; time += 1) {
    const permit = await bench.acquirePermit(source)
    const fails = permit.target === 'prices-1'
    if (fails) failing += 1
    await bench.time.advance(fails ? 1 : 5)
    source.release(permit, fails ? { outcome: 'failed', latencyMs: 1 } : { outcome: 'ok', latencyMs: 5 })
  }
  assert.ok(failing < 40, `${String(failing)} of 200 requests went to the failing target`)
  bench.close()
})

test('a straggler is avoided and hedges stop when too many targets are slow', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 5 } })
  const source = bench.pool.attach('a')
  await pass(bench, source, 100)
  const stuck = await bench.acquirePermit(source)
  await bench.time.advance(50)
  const permits = await Promise.all(Array.from({ length: 24 }, () => bench.acquirePermit(source)))
  assert.ok(permits.every(({ target }) => target !== stuck.target))
  const delayMs = permits[0]?.hedgeAfterMs ?? 0
  assert.ok(
    Math.abs(delayMs - 6.25) < 0.1,
    'with little reserve, hedges come after 1.25 times the p95 of 5 ms',
  )
  await bench.refused(source, 'queue_full', { attempt: 'hedge' })
  await bench.time.advance(50)
  await bench.refused(source, 'budget_exhausted', { attempt: 'hedge' })
  bench.close()
})

test('what cannot finish in time is refused early, and a full queue with a hint', async () => {
  const bench = new PoolFixture({ services: [{ name: 'prices', slots: 1 }], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  for (let time = 0; time < 9; time += 1) {
    source.release(await bench.acquirePermit(source), { outcome: 'ok', latencyMs: 100 })
  }
  await bench.acquirePermit(source)
  await bench.refused(source, 'deadline_too_short', { deadlineMs: 150 })
  for (let time = 0; time < 4; time += 1) void source.acquire(request({ deadlineMs: 5000 }), bench.never)
  const full = await source.acquire(request({ deadlineMs: 5000 }), bench.never)
  assert.ok(full.isErr && full.error.code === 'queue_full' && (full.error.retryAfterMs ?? 0) >= 400)
  bench.close()
})

const suspectTable: readonly (readonly [AttemptOutcome, string | undefined, boolean])[] = [
  ['connection-lost', 'two', true],
  ['connection-lost', undefined, true],
  ['connection-lost', 'one', false],
  ['ok', 'two', false],
]

for (const [outcome, instance, suspect] of suspectTable) {
  const seen = instance === undefined ? 'no answer' : `an answer of instance ${instance}`
  test(`a request of instance one is ${suspect ? '' : 'not '}a suspect after ${outcome} and ${seen}`, async () => {
    const bench = new PoolFixture({ services: [prices], targets: { prices: 1 } })
    const source = bench.pool.attach('a')
    source.release(await bench.acquirePermit(source, { identity: 'x' }), { outcome, latencyMs: 1 })
    await bench.time.advance(1200)
    if (instance === undefined) bench.pool.targetLost('prices-1')
    else bench.pool.targetAnswered('prices-1', { instanceId: instance, uptimeMs: 0 })
    assert.equal(bench.pool.suspects().length, suspect ? 1 : 0)
    bench.close()
  })
}

test('a suspect runs alone; its second lone crash blocks it until an operator releases it', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  const events: string[] = []
  bench.pool.onBlocked(({ identity, crashes }) => events.push(`${identity} ${String(crashes)}`))
  const crash = async (instanceId: string): Promise<void> => {
    source.release(await bench.acquirePermit(source, { identity: 'x' }), {
      outcome: 'connection-lost',
      latencyMs: 1,
    })
    bench.pool.targetAnswered('prices-1', { instanceId, uptimeMs: 0 })
  }
  const innocent = await bench.acquirePermit(source, { identity: 'y' })
  await crash('two')
  source.release(innocent, { outcome: 'connection-lost', latencyMs: 1 })
  source.release(await bench.acquirePermit(source, { identity: 'y' }), { outcome: 'ok', latencyMs: 1 })
  assert.deepEqual(
    bench.pool.suspects().map(({ identity }) => identity),
    ['x'],
  )
  const alone = await bench.acquirePermit(source, { identity: 'x' })
  const other = source.acquire(request(), bench.never)
  assert.equal(bench.pool.counters().waiting, 1, 'nothing else may run beside a suspect')
  source.release(alone, { outcome: 'unused', latencyMs: 0 })
  const admitted = await other
  assert.ok(admitted.isOk)
  source.release(admitted.value, { outcome: 'ok', latencyMs: 1 })
  await crash('three')
  await crash('four')
  assert.deepEqual(events, ['x 2'])
  await bench.refused(source, 'request_blocked', { identity: 'x' })
  assert.ok(bench.pool.unblock('x'))
  await bench.acquirePermit(source, { identity: 'x' })
  bench.close()
})

test('slots kept back for a lost coordinator are freed by what a verifying target says runs there', () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const term = bench.pool.term ?? ''
  bench.pool.endTerm()
  bench.pool.startTerm(term, ['lost-host'])
  const reserved = (): number => bench.pool.inspect()[0]?.reserved ?? -1
  const before = reserved()
  assert.ok(before > 0, 'the lost host may hold slots')
  bench.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000 })
  assert.equal(reserved(), before, 'an answer without a count proves nothing')
  bench.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000, inFlight: 1 })
  assert.equal(reserved(), 1)
  bench.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000, inFlight: 5 })
  assert.equal(reserved(), 1, 'requests of earlier terms cannot become more')
  bench.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000, inFlight: 0 })
  assert.equal(reserved(), 0)
  bench.close()
})

test('copies of one request on a target that crashes count once, and do not convict it', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  for (let copy = 0; copy < 3; copy += 1) await bench.acquirePermit(source, { identity: 'popular' })
  await bench.time.advance(10)
  bench.pool.targetAnswered('prices-1', { instanceId: 'two', uptimeMs: 0 })
  assert.deepEqual(bench.pool.suspects(), [{ identity: 'popular', service: 'prices', crashes: 0 }])
  bench.close()
})

test('a suspect is not lent to a target that has not answered since it lost a connection', async () => {
  const bench = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = bench.pool.attach('a')
  source.release(await bench.acquirePermit(source, { identity: 'x' }), {
    outcome: 'connection-lost',
    latencyMs: 1,
  })
  let isLent = false
  void source.acquire(request({ identity: 'x', deadlineMs: 5000 }), bench.never).then((answer) => {
    isLent = answer.isOk
  })
  await bench.time.advance(1500)
  assert.equal(isLent, false)
  bench.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000 })
  await bench.time.advance(100)
  assert.equal(isLent, true)
  bench.close()
})
