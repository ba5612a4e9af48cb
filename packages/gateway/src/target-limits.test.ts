/** Limits on requests that targets name, over all hosts: in virtual time, and over real sockets. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { RateCheck } from '@pimentotally/core/testing'
import { answerHeaders, requestIdOf, targetRow } from '@pimentotally/platform/testing'
import { RequestLimiter } from '@pimentotally/routing'
import type { KnownTarget } from './directory.js'
import { LimitWorld, type WorldHost } from './testing-limits.js'
import { TestGateway, answerWith, startTarget, type TestResponse } from './testing-gateway.js'

/** A deployment of one host, and the target that owns all keys. */
const singleHost = (): {
  readonly world: LimitWorld
  readonly host: WorldHost
  readonly target: KnownTarget
} => {
  const world = new LimitWorld({ seed: 1, hosts: 1 })
  const host = world.hosts[0]
  const target = host?.directory.target('t0')
  if (host === undefined || target === undefined) throw new Error('the world has no host or no target')
  return { world, host, target }
}

/** The host gets a response of the target. */
const observe = (
  { targets, directory }: WorldHost,
  { requestLimit, sentAtMs }: { readonly requestLimit?: string; readonly sentAtMs: number },
): void => {
  const target = directory.target('t0')
  if (target !== undefined) {
    targets.limits.observe(target, { headers: answerHeaders('r', { requestLimit }), sentAtMs })
  }
}

test('the check of a limit finds requests beyond it', () => {
  const check = new RateCheck()
  check.limit(0, 1)
  check.told(100, 'h')
  // Twelve requests in four seconds, where the limit and the slack allow eleven.
  for (let index = 0; index < 12; index += 1) check.arrived(5000 + index * 300, 'h')
  assert.equal(check.excess(), 1)
})

for (const [hosts, limit] of [
  [10, 1],
  [10, 3.5],
  [10, 0.1],
  [10, 0],
  [195, 1],
  [195, 20],
] as const) {
  for (const isSharded of [true, false]) {
    const kind = isSharded ? 'an owner of keys' : 'a target without keys'
    test(`${String(hosts)} hosts together do not exceed the limit of ${String(limit)} a second that ${kind} names`, async () => {
      const world = new LimitWorld({ seed: hosts, hosts, isSharded, requestsPerSecond: 60 })
      await world.run(5000)
      world.limit(limit)
      await world.run(40_000)
      assert.ok(world.check.counted > 0, 'hosts that know the limit send requests')
      assert.ok(world.check.excess() <= 0, `${String(world.check.excess())} beyond what is allowed`)
    })
  }
}

test('a host does not send more to an owner of keys than the limit that it names', async (t) => {
  const arrivedAtMs: number[] = []
  const target = await startTarget(t, 'a', (request, response) => {
    arrivedAtMs.push(performance.now())
    response.writeHead(200, answerHeaders(requestIdOf(request), { requestLimit: '1' })).end('body')
  })
  const gateway = await TestGateway.start(t, [target], { isSharded: true })
  gateway.assign('a', { version: 1 })
  const statuses: number[] = []
  for (let index = 0; index < 60; index += 1) {
    const { status, headers } = await gateway.call('/notes/1', { fields: { key: 7 } })
    statuses.push(status)
    if (status === 503) assert.ok(Number(headers['retry-after']) > 0)
  }
  for (const fromMs of arrivedAtMs) {
    const inWindow = arrivedAtMs.filter((ms) => ms >= fromMs && ms < fromMs + 4000).length
    assert.ok(inWindow <= 11, `${String(inWindow)} requests within 4 s`)
  }
  assert.ok(statuses.includes(503), 'the others are refused at once')
})

test('requests that wait for a move do not exceed the limit of the new owner when it ends', async (t) => {
  const former = await startTarget(t, 'a', answerWith(200))
  const owner = await startTarget(t, 'b', (request, response) => {
    response.writeHead(200, answerHeaders(requestIdOf(request), { requestLimit: '1' })).end('body')
  })
  const gateway = await TestGateway.start(t, [former, owner], { isSharded: true })
  gateway.assign('b', { version: 1 })
  const call = (): Promise<TestResponse> => gateway.call('/notes/1', { fields: { key: 7 } })
  assert.equal((await call()).status, 200)
  // By the limit, there is room for one request after a second.
  await sleep(1050)
  gateway.assign('b', { version: 2, formerOwner: 'a' })
  const responses = Promise.all(Array.from({ length: 30 }, call))
  await sleep(100)
  gateway.assign('b', { version: 3 })
  const served = (await responses).filter(({ status }) => status === 200).length
  assert.ok(served > 0, 'the request for which there is room is served')
  assert.ok(owner.receivedIds.length <= 11, `${String(owner.receivedIds.length)} requests within 4 s`)
})

for (const [hosts, limit] of [
  [10, 1],
  [10, 3.5],
  [195, 1],
] as const) {
  test(`${String(hosts)} hosts that know only some of the others, and restart, do not exceed a limit of ${String(limit)} a second`, async () => {
    const world = new LimitWorld({ seed: hosts + 1, hosts, requestsPerSecond: 60, missingHostShare: 0.05 })
    world.limit(limit)
    for (let round = 0; round < 8; round += 1) {
      await world.run(5000)
      const host = world.hosts[round % hosts]
      if (host !== undefined) world.restart(host)
    }
    assert.ok(world.check.excess() <= 0, `${String(world.check.excess())} beyond what is allowed`)
  })
}

for (const [hosts, limit, isSharded] of [
  [195, 20, true],
  [195, 5, true],
  [39, 10, false],
] as const) {
  test(`${String(hosts)} hosts that hear nothing from each other do not exceed a limit of ${String(limit)} a second under many requests`, async () => {
    const world = new LimitWorld({ seed: 8, hosts, isSharded, requestsPerSecond: 1000 })
    await world.run(1000)
    world.limit(limit)
    await world.run(40_000)
    assert.ok(world.check.excess() <= 0, `${String(world.check.excess())} beyond what is allowed`)
  })
}

for (const reports of [true, false]) {
  test(`a limited target that stops responding to hosts ${reports ? 'with' : 'without'} reports gets no more than its limit`, async () => {
    const world = new LimitWorld({ seed: 9, hosts: 40, requestsPerSecond: 600, reports })
    await world.run(1000)
    world.limit(5)
    await world.run(5000)
    world.isResponding = false
    await world.run(40_000)
    assert.ok(world.check.excess() <= 0, `${String(world.check.excess())} beyond what is allowed`)
  })
}

for (const limit of [0.5, 1, 3.5, 20]) {
  test(`an owner of keys gets most of the requests that its limit of ${String(limit)} a second allows`, async () => {
    const world = new LimitWorld({ seed: 3, hosts: 10, requestsPerSecond: 60, reports: true })
    world.limit(limit)
    await world.run(10_000)
    const before = world.received.limited
    await world.run(20_000)
    const share = (world.received.limited - before) / (20 * limit)
    assert.ok(share > 0.6 && share < 1.3, `${String(share)} of the limit`)
  })
}

for (const [name, reports, untilKnownMs] of [
  ['requests are sent without limit again once a target names none any more', true, 2000],
  ['hosts that hear nothing from the others still learn that a limit has ended', false, 60_000],
] as const) {
  test(name, async () => {
    const world = new LimitWorld({ seed: 4, hosts: 10, requestsPerSecond: 60, reports })
    world.limit(2)
    await world.run(10_000)
    world.limit(undefined)
    await world.run(untilKnownMs)
    const before = world.received.limited
    await world.run(5000)
    assert.ok(world.received.limited - before > 200, 'almost all of 60 requests a second')
  })
}

test('keys are served although the hosts that may send to their limited owner are gone', async () => {
  const world = new LimitWorld({ seed: 5, hosts: 10, requestsPerSecond: 60 })
  world.limit(1)
  await world.run(5000)
  const sending = world.hosts.filter(({ targets, directory }) => {
    const target = directory.target('t0')
    return target !== undefined && Number.isFinite(targets.limits.waitMs(target, 0))
  })
  assert.equal(sending.length, 1)
  for (const host of sending) host.clock.pause()
  const before = world.received.limited
  await world.run(30_000)
  assert.ok(world.received.limited - before >= 3, 'other hosts take their place')
  assert.ok(world.check.excess() <= 0)
})

test('a limit of an earlier process of the target does not bind the next one', async () => {
  const world = new LimitWorld({ seed: 6, hosts: 3, requestsPerSecond: 60 })
  world.limit(0.1)
  await world.run(5000)
  world.limit(undefined)
  world.restartTarget()
  const before = world.received.limited
  await world.run(2000)
  assert.ok(world.received.limited - before > 80, 'almost all of 60 requests a second')
})

test('the limit of a target whose entry is missing for a while still binds when the entry is back', () => {
  const { host, target } = singleHost()
  observe(host, { requestLimit: '1', sentAtMs: 0 })
  host.directory.applyTargetRegistry({ changed: [], removed: ['t0'], version: 20 })
  host.targets.dropRemovedTargets()
  const changed = [targetRow({ id: 't0', address: target.address })]
  host.directory.applyTargetRegistry({ changed, removed: [], version: 21 })
  assert.equal(host.targets.limits.requestsPerSecond(target), 1)
})

test('the limit of a target that has left is forgotten after some time', async () => {
  const { world, host } = singleHost()
  observe(host, { requestLimit: '1', sentAtMs: 0 })
  host.directory.applyTargetRegistry({ changed: [], removed: ['t0'], version: 20 })
  await world.time.advance(60_000)
  host.targets.dropRemovedTargets()
  assert.equal(host.targets.limits.limitedTargets, 0)
})

test('what two hosts tell each other again and again does not look as if it had just been heard', async () => {
  const world = new LimitWorld({ seed: 7, hosts: 2 })
  const [first, second] = world.hosts
  assert.ok(first !== undefined && second !== undefined)
  observe(first, { requestLimit: '1', sentAtMs: 0 })
  // Each report takes 150 ms to arrive.
  for (let round = 0; round < 50; round += 1) {
    const [from, to] = round % 2 === 0 ? [first, second] : [second, first]
    const statements = from.targets.limits.statements()
    await world.time.advance(150)
    to.targets.limits.merge(statements)
    await world.time.advance(250)
  }
  const [statement] = first.targets.limits.statements()
  assert.ok((statement?.ageMs ?? 0) > 18_000, `${String(statement?.ageMs)} ms after 20 s`)
})

test('a response to a request that was sent before the limit was named does not end the limit', () => {
  const { host, target } = singleHost()
  observe(host, { requestLimit: '1', sentAtMs: 0 })
  observe(host, { sentAtMs: -1 })
  assert.equal(host.targets.limits.requestsPerSecond(target), 1)
  observe(host, { sentAtMs: 0 })
  assert.equal(host.targets.limits.requestsPerSecond(target), undefined)
})

test('a limit that is not a number changes nothing and is counted', () => {
  const { host, target } = singleHost()
  observe(host, { requestLimit: '2', sentAtMs: 0 })
  for (const requestLimit of ['', '-1', 'NaN', '1, 2', '9'.repeat(400)]) {
    observe(host, { requestLimit, sentAtMs: 1 })
  }
  assert.equal(host.targets.limits.requestsPerSecond(target), 2)
  assert.equal(host.targets.limits.unusableLimits, 5)
})

test('a target at a reused address neither sets nor ends the limit of a target without keys', async (t) => {
  const limited = await startTarget(t, 'a', (request, response) => {
    response
      .writeHead(421, answerHeaders(requestIdOf(request), { notExecuted: true, requestLimit: '1' }))
      .end()
  })
  const gateway = await TestGateway.start(t, [limited])
  assert.equal((await gateway.call('/notes/1')).status, 503)
  assert.equal(gateway.requestLimit('a'), undefined)
})

test('callers that are refused for a limit are told to come back one after another', () => {
  const { world, host } = singleHost()
  observe(host, { requestLimit: '2', sentAtMs: 0 })
  for (let index = 0; index < 5; index += 1) world.request(host)
  assert.deepEqual(world.retryAfterMs, [500, 1000, 1500, 2000, 2500])
})

test('a limited target is left to urgent requests while they are refused', () => {
  const limiter = new RequestLimiter(0)
  assert.equal(Math.round(limiter.waitMs(400, 2, 0)), 100)
  limiter.refuse(400, 2, { waitMs: 100, rank: 0, maxMs: 4000 })
  assert.equal(limiter.waitMs(600, 2, 0), 0)
  assert.equal(
    limiter.waitMs(600, 2, 1),
    800,
    'until a second has passed since an urgent request was refused',
  )
})
