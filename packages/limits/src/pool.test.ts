import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AttemptOutcome, PermitRequest, PermitSource } from '@pimentotally/core'
import { PoolFixture, RecordingSink, request, termOf } from './testing.js'

const prices = { name: 'prices', slots: 6 }

const pass = async (fixture: PoolFixture, source: PermitSource, times: number): Promise<void> => {
  for (let time = 0; time < times; time += 1) {
    source.release(await fixture.acquirePermit(source), { outcome: 'ok', latencyMs: 5 })
  }
}

const free = (fixture: PoolFixture): number => fixture.pool.inspect()[0]?.allowedSlots ?? 0

test('one target never gets more requests than its slots, and a freed slot goes to the one that waits', async () => {
  const fixture = new PoolFixture({ services: [{ name: 'prices', slots: 2 }], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  const first = await fixture.acquirePermit(source)
  await fixture.acquirePermit(source)
  const third = source.acquire(request(), fixture.never)
  await fixture.time.advance(10)
  assert.equal(fixture.pool.counters().waiting, 1)
  source.release(first, { outcome: 'ok', latencyMs: 5 })
  assert.ok((await third).isOk)
  fixture.close()
})

test('with a second host known, one host cannot take all slots of a target', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 }, hosts: () => ['a', 'b'] })
  const [a, b] = [fixture.pool.attach('a'), fixture.pool.attach('b')]
  for (let slot = 0; slot < 4; slot += 1) await fixture.acquirePermit(a)
  const waiting = a.acquire(request(), fixture.never)
  await fixture.acquirePermit(b)
  await fixture.acquirePermit(b)
  assert.equal(fixture.pool.inspect()[0]?.inFlight, 6)
  await fixture.time.advance(1100)
  assert.ok((await waiting).isErr)
  fixture.close()
})

test('a restarted target takes one request, and one more after each 8 successes', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  fixture.pool.targetAnswered('prices-1', { instanceId: 'two', uptimeMs: 10 })
  assert.equal(free(fixture), 1)
  await pass(fixture, source, 7)
  assert.equal(free(fixture), 1)
  await pass(fixture, source, 1)
  assert.equal(free(fixture), 2)
  await pass(fixture, source, 32)
  assert.equal(free(fixture), 6)
  fixture.close()
})

test('after a lost connection only one slot is used until the target reports, as it may have restarted', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  source.release(await fixture.acquirePermit(source), { outcome: 'connection-lost', latencyMs: 1 })
  assert.equal(free(fixture), 1)
  fixture.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000 })
  assert.equal(free(fixture), 1, 'this report may have been sent before the connection was lost')
  await fixture.time.advance(300)
  fixture.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_300 })
  assert.equal(free(fixture), 6)
  fixture.close()
})

test('a target that refuses three requests in a row restarts slow start', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  for (let time = 0; time < 3; time += 1) {
    source.release(await fixture.acquirePermit(source), { outcome: 'refused', latencyMs: 1 })
  }
  assert.equal(free(fixture), 1)
  fixture.close()
})

test('permits of a silent host of the earlier term stay counted until its last request must have ended', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 }, hosts: () => ['a', 'b'] })
  fixture.pool.endTerm()
  fixture.authority.held = termOf(2)
  fixture.pool.startTerm(termOf(2), ['b'])
  const source = fixture.pool.attach('a')
  await fixture.acquirePermit(source)
  await fixture.acquirePermit(source)
  const third = source.acquire(request({ deadlineMs: 5000 }), fixture.never)
  await fixture.time.advance(900 + 2000 + 200)
  assert.equal(fixture.pool.counters().waiting, 1)
  await fixture.time.advance(100)
  assert.ok((await third).isOk)
  fixture.close()
})

test('a host that reconnects keeps exactly the permits it lists, and its older stream is ignored', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 }, hosts: () => ['a', 'b'] })
  const [old, fresh] = [new RecordingSink(), new RecordingSink()]
  const stale = fixture.pool.connect({ hostId: 'b', term: termOf(1), session: 1, held: [], sink: old })
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
  const session = fixture.pool.connect({
    hostId: 'b',
    term: termOf(1),
    session: 3,
    held: [held],
    sink: fresh,
  })
  assert.equal(fixture.pool.inspect()[0]?.inFlight, 1)
  assert.ok(old.ended)
  stale.acquire(3, request())
  stale.release(kept.permitId, { outcome: 'ok', latencyMs: 1 })
  assert.equal(fixture.pool.inspect()[0]?.inFlight, 1)
  const late = new RecordingSink()
  assert.equal(
    fixture.pool.connect({ hostId: 'b', term: termOf(1), session: 2, held: [], sink: late }).open,
    false,
  )
  assert.ok(late.ended && session.open)
  fixture.close()
})

test('the permits of a host that is gone are reclaimed only after their deadline and the cancellation grace', async () => {
  let hosts = ['a', 'b']
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 }, hosts: () => hosts })
  const sink = new RecordingSink()
  const session = fixture.pool.connect({ hostId: 'b', term: termOf(1), session: 1, held: [], sink })
  session.acquire(1, request({ deadlineMs: 1000 }))
  session.end()
  await fixture.time.advance(5000)
  assert.equal(fixture.pool.inspect()[0]?.inFlight, 1, 'a host that is still known may still run it')
  session.release(sink.permits[0]?.permitId ?? '', { outcome: 'ok', latencyMs: 1 })
  hosts = ['a']
  await fixture.time.advance(100)
  assert.equal(fixture.pool.inspect()[0]?.inFlight, 0)
  assert.equal(fixture.pool.counters().reclaimed, 1)
  fixture.close()
})

test('no permit is usable after the term, and the time that a call waited does not shorten its permit', async () => {
  const fixture = new PoolFixture({ services: [{ name: 'prices', slots: 1 }], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  const first = await fixture.acquirePermit(source)
  const second = source.acquire(request({ deadlineMs: 3000 }), fixture.never)
  await fixture.time.advance(500)
  fixture.authority.validMs = 300
  source.release(first, { outcome: 'ok', latencyMs: 5 })
  const result = await second
  assert.ok(result.isOk && result.value.sendWithinMs === 800, JSON.stringify(result))
  assert.ok(source.isUsable(result.value))
  fixture.authority.held = undefined
  assert.ok(!source.isUsable(result.value))
  await fixture.refused(source, 'no_coordinator')
  fixture.close()
})

test('a keyed request goes to the owner only, and a move waits until its permit is released', async () => {
  const keyed = { shardCount: 4, source: { kind: 'header', name: 'k' } } as const
  const fixture = new PoolFixture({ services: [{ ...prices, keyed }], targets: { prices: 3 } })
  const source = fixture.pool.attach('a')
  fixture.authority.owners.set(1, { target: 'prices-2', fence: 'f1' })
  const part: Partial<PermitRequest> = { shard: 1, keyHash: 'abc' }
  const permit = await fixture.acquirePermit(source, part)
  assert.equal(permit.target, 'prices-2')
  assert.equal(permit.fence, 'f1')
  fixture.authority.owners.delete(1)
  let returned = false
  void fixture.pool.whenNoPermitOutstanding('prices', [1], fixture.never).then(() => (returned = true))
  const moved = source.acquire(request(part), fixture.never)
  await fixture.time.advance(100)
  assert.equal(returned, false)
  source.release(permit, { outcome: 'ok', latencyMs: 5 })
  await fixture.time.advance(1)
  assert.equal(returned, true)
  fixture.authority.owners.set(1, { target: 'prices-3', fence: 'f2' })
  fixture.pool.ownersChanged()
  const result = await moved
  assert.ok(result.isOk && result.value.target === 'prices-3')
  assert.deepEqual([...fixture.pool.takeShardLoad('prices')], [[1, 2]])
  assert.deepEqual(fixture.pool.takeHotKeys('prices', 5), [{ keyHash: 'abc', shard: 1, count: 2 }])
  fixture.close()
})

test('draining targets and domains that are out get no new permits', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 2 } })
  const source = fixture.pool.attach('a')
  const operations = { domains: {}, drainingTargets: ['prices-1'] }
  fixture.configuration = { ...fixture.configuration, operations }
  for (let time = 0; time < 6; time += 1)
    assert.equal((await fixture.acquirePermit(source)).target, 'prices-2')
  fixture.configuration = {
    ...fixture.configuration,
    operations: { domains: { north: 'out' }, drainingTargets: [] },
  }
  await fixture.refused(source, 'no_target')
  fixture.close()
})

test('a target that fails fast does not attract more requests', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 2 } })
  const source = fixture.pool.attach('a')
  let failing = 0
  for (let time = 0; time < 200; time += 1) {
    const permit = await fixture.acquirePermit(source)
    const fails = permit.target === 'prices-1'
    if (fails) failing += 1
    await fixture.time.advance(fails ? 1 : 5)
    source.release(permit, fails ? { outcome: 'failed', latencyMs: 1 } : { outcome: 'ok', latencyMs: 5 })
  }
  assert.ok(failing < 40, `${String(failing)} of 200 requests went to the failing target`)
  fixture.close()
})

test('a straggler is avoided and hedges stop when too many targets are slow', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 5 } })
  const source = fixture.pool.attach('a')
  await pass(fixture, source, 100)
  const stuck = await fixture.acquirePermit(source)
  await fixture.time.advance(50)
  const permits = await Promise.all(Array.from({ length: 24 }, () => fixture.acquirePermit(source)))
  assert.ok(permits.every(({ target }) => target !== stuck.target))
  const delayMs = permits[0]?.hedgeAfterMs ?? 0
  assert.ok(
    Math.abs(delayMs - 6.25) < 0.1,
    'with little reserve, hedges come after 1.25 times the p95 of 5 ms',
  )
  await fixture.refused(source, 'queue_full', { attempt: 'hedge' })
  await fixture.time.advance(50)
  await fixture.refused(source, 'budget_exhausted', { attempt: 'hedge' })
  fixture.close()
})

test('a request that cannot finish in time is refused at once, and a full queue refuses with a retry delay', async () => {
  const fixture = new PoolFixture({ services: [{ name: 'prices', slots: 1 }], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  for (let time = 0; time < 9; time += 1) {
    source.release(await fixture.acquirePermit(source), { outcome: 'ok', latencyMs: 100 })
  }
  await fixture.acquirePermit(source)
  await fixture.refused(source, 'deadline_too_short', { deadlineMs: 150 })
  for (let time = 0; time < 4; time += 1) void source.acquire(request({ deadlineMs: 5000 }), fixture.never)
  const full = await source.acquire(request({ deadlineMs: 5000 }), fixture.never)
  assert.ok(full.isErr && full.error.code === 'queue_full' && (full.error.retryAfterMs ?? 0) >= 400)
  fixture.close()
})

const suspectTable: readonly (readonly [AttemptOutcome, string | undefined, boolean])[] = [
  ['connection-lost', 'two', true],
  ['connection-lost', undefined, true],
  ['connection-lost', 'one', false],
  ['ok', 'two', false],
]

for (const [outcome, instance, suspect] of suspectTable) {
  const seen = instance === undefined ? 'no response' : `a response of instance ${instance}`
  test(`a request of instance one is ${suspect ? '' : 'not '}a suspect after ${outcome} and ${seen}`, async () => {
    const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 } })
    const source = fixture.pool.attach('a')
    source.release(await fixture.acquirePermit(source, { identity: 'x' }), { outcome, latencyMs: 1 })
    await fixture.time.advance(1200)
    if (instance === undefined) fixture.pool.targetLost('prices-1')
    else fixture.pool.targetAnswered('prices-1', { instanceId: instance, uptimeMs: 0 })
    assert.equal(fixture.pool.suspects().length, suspect ? 1 : 0)
    fixture.close()
  })
}

test('a suspect runs alone; its second lone crash blocks it until an operator releases it', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  const events: string[] = []
  fixture.pool.onBlocked(({ identity, crashes }) => events.push(`${identity} ${String(crashes)}`))
  const crash = async (instanceId: string): Promise<void> => {
    source.release(await fixture.acquirePermit(source, { identity: 'x' }), {
      outcome: 'connection-lost',
      latencyMs: 1,
    })
    fixture.pool.targetAnswered('prices-1', { instanceId, uptimeMs: 0 })
  }
  const innocent = await fixture.acquirePermit(source, { identity: 'y' })
  await crash('two')
  source.release(innocent, { outcome: 'connection-lost', latencyMs: 1 })
  source.release(await fixture.acquirePermit(source, { identity: 'y' }), { outcome: 'ok', latencyMs: 1 })
  assert.deepEqual(
    fixture.pool.suspects().map(({ identity }) => identity),
    ['x'],
  )
  const alone = await fixture.acquirePermit(source, { identity: 'x' })
  const other = source.acquire(request(), fixture.never)
  assert.equal(fixture.pool.counters().waiting, 1, 'nothing else may run beside a suspect')
  source.release(alone, { outcome: 'unused', latencyMs: 0 })
  const admitted = await other
  assert.ok(admitted.isOk)
  source.release(admitted.value, { outcome: 'ok', latencyMs: 1 })
  await crash('three')
  await crash('four')
  assert.deepEqual(events, ['x 2'])
  await fixture.refused(source, 'request_blocked', { identity: 'x' })
  assert.ok(fixture.pool.unblock('x'))
  await fixture.acquirePermit(source, { identity: 'x' })
  fixture.close()
})

test('slots reserved for a lost host are freed when a target that verifies grants reports how many requests run', () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const term = fixture.pool.term ?? ''
  fixture.pool.endTerm()
  fixture.pool.startTerm(term, ['lost-host'])
  const reserved = (): number => fixture.pool.inspect()[0]?.reserved ?? -1
  const before = reserved()
  assert.ok(before > 0, 'the lost host may hold slots')
  fixture.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000 })
  assert.equal(reserved(), before, 'a report without a count does not lower the number of reserved slots')
  fixture.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000, inFlight: 1 })
  assert.equal(reserved(), 1)
  fixture.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000, inFlight: 5 })
  assert.equal(reserved(), 1, 'requests of earlier terms cannot become more')
  fixture.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000, inFlight: 0 })
  assert.equal(reserved(), 0)
  fixture.close()
})

test('copies of one request on a target that crashes count as one, and do not block the request', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  for (let copy = 0; copy < 3; copy += 1) await fixture.acquirePermit(source, { identity: 'popular' })
  await fixture.time.advance(10)
  fixture.pool.targetAnswered('prices-1', { instanceId: 'two', uptimeMs: 0 })
  assert.deepEqual(fixture.pool.suspects(), [{ identity: 'popular', service: 'prices', crashes: 0 }])
  fixture.close()
})

test('a suspect gets no permit for a target that has not reported since it lost a connection', async () => {
  const fixture = new PoolFixture({ services: [prices], targets: { prices: 1 } })
  const source = fixture.pool.attach('a')
  source.release(await fixture.acquirePermit(source, { identity: 'x' }), {
    outcome: 'connection-lost',
    latencyMs: 1,
  })
  let isLent = false
  void source.acquire(request({ identity: 'x', deadlineMs: 5000 }), fixture.never).then((result) => {
    isLent = result.isOk
  })
  await fixture.time.advance(1500)
  assert.equal(isLent, false)
  fixture.pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000 })
  await fixture.time.advance(100)
  assert.equal(isLent, true)
  fixture.close()
})
