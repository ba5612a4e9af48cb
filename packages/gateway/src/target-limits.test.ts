/** Limits on requests that targets name, over all hosts: in virtual time, and over real sockets. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RateCheck } from '@pimentotally/core/testing'
import { answerHeaders, requestIdOf } from '@pimentotally/platform/testing'
import { LimitWorld } from './testing-limits.js'
import { TestGateway, startTarget } from './testing-gateway.js'

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
