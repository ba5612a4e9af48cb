/** What callers and targets see of one request, over real sockets. */
import assert from 'node:assert/strict'
import type { IncomingMessage } from 'node:http'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import {
  answerHeaders,
  deadlineMsOf,
  requestIdOf,
  signatureOf,
  targetIdOf,
} from '@pimentotally/platform/testing'
import { maxBufferedBytes } from './target-exchange.js'
import { routerStateKeys } from './router-state-rows.js'
import {
  TestGateway,
  answerWith,
  reset,
  refuseUnexecuted,
  startTarget,
  type Handler,
  type TestTarget,
} from './testing-gateway.js'

test('status, body and signature of the target are passed on, with what the target needs', async (t) => {
  let seen: IncomingMessage | undefined
  const target = await startTarget(t, 'a', (request, response) => {
    seen = request
    answerWith(404)(request, response)
  })
  const gateway = await TestGateway.start(t, [target])
  const result = await gateway.call('/notes/1?x=1', {
    fields: { forgedTargetId: 'forged' },
    headers: { other: 'kept' },
  })
  assert.deepEqual([result.status, result.body, signatureOf(result.headers)], [404, 'body', 'signed'])
  assert.ok(seen)
  assert.equal(targetIdOf(seen), 'a')
  assert.equal(seen.headers.other, 'kept')
  assert.ok(deadlineMsOf(seen) <= 2000, 'no more time than the route allows')
})

test('an unsafe request that may have run is not sent again', async (t) => {
  const targets = [await startTarget(t, 'a', reset), await startTarget(t, 'b', reset)]
  const gateway = await TestGateway.start(t, targets)
  const { status, headers } = await gateway.call('/orders/1', { method: 'POST', body: 'x' })
  assert.equal(status, 502)
  assert.equal(signatureOf(headers), undefined)
  assert.equal(targets.flatMap(({ receivedIds: seen }) => seen).length, 1)
})

test('an unsafe request that a target has not executed goes to another one', async (t) => {
  const targets = [await startTarget(t, 'a', refuseUnexecuted), await startTarget(t, 'b', refuseUnexecuted)]
  const gateway = await TestGateway.start(t, targets)
  const { status, headers } = await gateway.call('/orders/1', { method: 'POST', body: 'x' })
  assert.equal(status, 503, 'both refused, so it has certainly not run')
  assert.ok(Number(headers['retry-after']) > 0)
  assert.deepEqual(
    targets.map(({ receivedIds: seen }) => seen.length),
    [1, 1],
  )
})

test('a refusal of a target that does not say that nothing ran is no refusal towards the caller', async (t) => {
  for (const status of [503, 429, 408]) {
    const target = await startTarget(t, 'a', answerWith(status))
    const gateway = await TestGateway.start(t, [target])
    assert.equal((await gateway.call('/orders/1', { method: 'POST', body: 'x' })).status, 502)
  }
})

test('a safe request is repeated at another target after a reset or a failure', async (t) => {
  for (const failing of [reset, answerWith(500)]) {
    const targets = [await startTarget(t, 'a', failing), await startTarget(t, 'b', answerWith(200))]
    const gateway = await TestGateway.start(t, targets)
    for (let index = 0; index < 6; index += 1) assert.equal((await gateway.call('/notes/1')).status, 200)
  }
})

test('a failure of the target is passed on when no other target is left', async (t) => {
  const target = await startTarget(t, 'a', answerWith(500))
  const gateway = await TestGateway.start(t, [target])
  const { status, headers } = await gateway.call('/notes/1')
  assert.deepEqual([status, signatureOf(headers)], [500, 'signed'])
})

test('an answer to another request reaches nobody', async (t) => {
  const target = await startTarget(t, 'a', (_request, response) => {
    response.writeHead(200, answerHeaders('r-0')).end('not yours')
  })
  const gateway = await TestGateway.start(t, [target])
  assert.equal((await gateway.call('/orders/1', { method: 'POST', body: 'x' })).status, 502)
})

test('a request without an answer ends at its deadline, as one whose outcome is not known', async (t) => {
  const target = await startTarget(t, 'a', () => undefined)
  const gateway = await TestGateway.start(t, [target])
  const { status } = await gateway.call('/orders/1', {
    method: 'POST',
    body: 'x',
    fields: { deadlineMs: 200 },
  })
  assert.equal(status, 504)
})

test('a target whose caller has left learns it from its connection', async (t) => {
  let closed: () => void
  const left = new Promise<void>((resolve) => (closed = resolve))
  let arrived: () => void
  const arrival = new Promise<void>((resolve) => (arrived = resolve))
  const target = await startTarget(t, 'a', (request) => {
    request.socket.once('close', () => {
      closed()
    })
    arrived()
  })
  const gateway = await TestGateway.start(t, [target])
  const outgoing = gateway.call('/notes/1').catch(() => undefined)
  await arrival
  gateway.closeCallerConnection()
  await left
  await outgoing
})

test('no target: refused at once with the time to come back', async (t) => {
  const gateway = await TestGateway.start(t, [])
  const { status, headers } = await gateway.call('/notes/1')
  assert.equal(status, 503)
  assert.ok(Number(headers['retry-after']) > 0)
})

test('a path without a route is not found', async (t) => {
  const gateway = await TestGateway.start(t, [])
  assert.equal((await gateway.call('/other/1')).status, 404)
})

test('a request with a key goes to its owner alone', async (t) => {
  const targets = [await startTarget(t, 'a', answerWith(200)), await startTarget(t, 'b', answerWith(200))]
  const gateway = await TestGateway.start(t, targets, { isSharded: true })
  const keyed = { fields: { key: 7 } }
  assert.equal((await gateway.call('/notes/1', keyed)).status, 503, 'no owner yet')
  gateway.assign('a', { version: 1 })
  for (let index = 0; index < 5; index += 1) assert.equal((await gateway.call('/notes/1', keyed)).status, 200)
  gateway.assign('b', { version: 2, formerOwner: 'a' })
  assert.equal((await gateway.call('/notes/1', keyed)).status, 503, 'refused while the key moves')
  const waiting = gateway.call('/notes/1', keyed)
  gateway.assign('b', { version: 3 })
  assert.equal((await waiting).status, 200)
  assert.deepEqual(
    targets.map(({ receivedIds: seen }) => seen.length),
    [5, 1],
  )
})

test('a large answer is passed on to its end though its target leaves the register meanwhile', async (t) => {
  // More than is kept in memory, so that the rest is passed on while it arrives.
  const half = 'x'.repeat(2 * maxBufferedBytes)
  let finish: () => void = () => undefined
  const target = await startTarget(t, 'a', (request, response) => {
    response.writeHead(200, { ...answerHeaders(requestIdOf(request)), 'content-length': 2 * half.length })
    response.write(half)
    finish = () => response.end(half)
  })
  const gateway = await TestGateway.start(t, [target])
  const pending = gateway.call('/notes/1')
  while (target.receivedIds.length === 0) await sleep(1)
  // The first half is on its way to the caller by then.
  await sleep(50)
  gateway.remove('a')
  finish()
  assert.equal((await pending).body.length, 2 * half.length)
})

test('an owner in a domain that is taken out serves its keys until they move', async (t) => {
  const target = await startTarget(t, 'a', answerWith(200))
  const gateway = await TestGateway.start(t, [target], { isSharded: true })
  gateway.assign('a', { version: 1 })
  gateway.evacuate('a')
  assert.equal((await gateway.call('/notes/1', { fields: { key: 7 } })).status, 200)
})

test('a key that its owner has given up already is served by the next owner, once that is known', async (t) => {
  const notHeld: Handler = (request, response) => {
    response.writeHead(421, answerHeaders(requestIdOf(request), { notExecuted: true })).end()
  }
  const targets = [await startTarget(t, 'a', notHeld), await startTarget(t, 'b', answerWith(200))]
  const gateway = await TestGateway.start(t, targets, { isSharded: true })
  gateway.assign('a', { version: 1 })
  const waiting = gateway.call('/notes/1', { fields: { key: 7 } })
  while (targets[0]?.receivedIds.length === 0) await sleep(1)
  await sleep(20)
  gateway.assign('b', { version: 2 })
  assert.equal((await waiting).status, 200)
})

test('a safe request with a key is repeated at its owner after a failure', async (t) => {
  for (const failing of [reset, answerWith(500), refuseUnexecuted]) {
    let calls = 0
    const target = await startTarget(t, 'a', (request, response) => {
      calls += 1
      if (calls % 2 === 1) failing(request, response)
      else answerWith(200)(request, response)
    })
    const gateway = await TestGateway.start(t, [target], { isSharded: true })
    gateway.assign('a', { version: 1 })
    assert.equal((await gateway.call('/notes/1', { fields: { key: 7 } })).status, 200)
    assert.equal(target.receivedIds.length, 2)
  }
})

test('a request with a key runs on no more targets than its route allows, though its key moves on', async (t) => {
  const targets: TestTarget[] = []
  for (const id of ['a', 'b', 'c']) {
    const next = { a: 'b', b: 'c', c: 'a' }[id] ?? ''
    targets.push(
      await startTarget(t, id, (request) => {
        gateway.assign(next, { version: targets.length + id.charCodeAt(0) })
        request.socket.resetAndDestroy()
      }),
    )
  }
  const gateway = await TestGateway.start(t, targets, { isSharded: true })
  gateway.assign('a', { version: 1 })
  // The route allows two targets.
  assert.equal((await gateway.call('/notes/1', { fields: { key: 7 } })).status, 502)
  assert.deepEqual(
    targets.map(({ receivedIds: seen }) => seen.length),
    [1, 1, 0],
  )
})

test('an owner that resets one connection after the other is full, and callers are told when to come back', async (t) => {
  const target = await startTarget(t, 'a', reset)
  const gateway = await TestGateway.start(t, [target], { isSharded: true })
  gateway.assign('a', { version: 1 })
  assert.equal((await gateway.call('/notes/1', { fields: { key: 7 } })).status, 502, 'it may have run')
  const { status, headers } = await gateway.call('/notes/1', { fields: { key: 7 } })
  assert.deepEqual([status, Number(headers['retry-after']) > 1], [503, true])
  assert.equal(target.receivedIds.length, 2, 'the second request was not sent')
})

test('a target whose connections are all in use by this host is not taken for unreachable', async (t) => {
  const target = await startTarget(t, 'a', () => undefined)
  const gateway = await TestGateway.start(t, [target])
  // With forty hosts each has two of the target's connections, and the target has four slots.
  for (let host = 0; host < 40; host += 1) {
    gateway.directory.applyRouterStateRow({
      key: routerStateKeys.host(`h${String(host)}`),
      version: 1,
      value: Buffer.from('{}'),
    })
  }
  const fields = { deadlineMs: 900 }
  await Promise.all(Array.from({ length: 4 }, () => gateway.call('/notes/1', { fields })))
  assert.equal(gateway.connectFailures('a'), 0)
})
