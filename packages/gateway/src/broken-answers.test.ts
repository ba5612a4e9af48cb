/**
 * What callers receive when a target responds twice, late or only in part, over real sockets. Guards against
 * a response that reaches the caller of another request, a truncated response that looks complete, and a
 * request that runs again after its response was lost.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { maxBufferedBytes } from './target-exchange.js'
import { TestGateway, rawHead, startRawTarget } from './testing-gateway.js'

const fullResponse = (requestId: string, body: string): string =>
  `${rawHead(requestId, [`Content-Length: ${String(body.length)}`])}\r\n${body}`

test('a second copy of a response right behind the first one reaches no other caller', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId, index) => {
    socket.write(
      index === 0
        ? fullResponse(requestId, 'one') + fullResponse(requestId, 'one')
        : fullResponse(requestId, 'two'),
    )
  })
  const gateway = await TestGateway.start(t, [target])
  assert.equal((await gateway.call('/notes/1')).body, 'one')
  assert.equal((await gateway.call('/notes/2')).body, 'two')
  assert.equal(target.connections(), 2, 'the connection that carried the copy is not reused')
})

test('a second copy of a response on an idle connection reaches no other caller', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId, index) => {
    socket.write(fullResponse(requestId, index === 0 ? 'one' : 'two'))
    if (index === 0) setTimeout(() => socket.write(fullResponse(requestId, 'one')), 20)
  })
  const gateway = await TestGateway.start(t, [target])
  assert.equal((await gateway.call('/notes/1')).body, 'one')
  await sleep(60)
  assert.equal((await gateway.call('/notes/2')).body, 'two')
  assert.equal(target.connections(), 2)
})

const respondWithCopy = (
  socket: { write: (text: string) => unknown },
  requestId: string,
  index: number,
): void => {
  // A copy of the first response arrives where the second response is expected.
  if (index === 0) socket.write(fullResponse(requestId, 'one'))
  else if (index === 1) socket.write(fullResponse('r-1', 'one') + fullResponse(requestId, 'two'))
  else socket.write(fullResponse(requestId, 'again'))
}

test('a second copy of a response on a connection in use: a safe request is sent again', async (t) => {
  const target = await startRawTarget(t, 'a', respondWithCopy)
  const other = await startRawTarget(t, 'b', (socket, requestId) =>
    socket.write(fullResponse(requestId, 'other')),
  )
  const gateway = await TestGateway.start(t, [target])
  assert.equal((await gateway.call('/notes/1')).body, 'one')
  gateway.addTarget(other)
  const { status, body } = await gateway.call('/notes/2')
  assert.equal(status, 200)
  assert.ok(body === 'other' || body === 'again', body)
})

test('a second copy of a response on a connection in use: an unsafe request has an unknown outcome and runs once', async (t) => {
  const target = await startRawTarget(t, 'a', respondWithCopy)
  const gateway = await TestGateway.start(t, [target])
  const post = { method: 'POST', body: 'x' }
  assert.equal((await gateway.call('/orders/1', post)).body, 'one')
  const { status, body } = await gateway.call('/orders/2', post)
  assert.equal(status, 502)
  assert.match(body, /unknown/)
  assert.equal(target.receivedIds.length, 2)
})

test('a response that is lost after its request has run: the request is not run again, nor reported as not run', async (t) => {
  const target = await startRawTarget(t, 'a', (socket) => socket.destroy())
  const other = await startRawTarget(t, 'b', (socket) => socket.resetAndDestroy())
  const gateway = await TestGateway.start(t, [target, other])
  const { status, body } = await gateway.call('/orders/1', { method: 'POST', body: 'x' })
  assert.equal(status, 502)
  assert.match(body, /unknown/)
  assert.equal(target.receivedIds.length + other.receivedIds.length, 1)
})

test('an unsafe request is not sent to a target that resets each new connection, and runs at another one', async (t) => {
  const resetting = await startRawTarget(
    t,
    'a',
    (socket) => socket.destroy(),
    (socket) => socket.resetAndDestroy(),
  )
  const other = await startRawTarget(t, 'b', (socket, requestId) =>
    socket.write(fullResponse(requestId, 'ran')),
  )
  const gateway = await TestGateway.start(t, [resetting, other])
  const statuses: number[] = []
  for (let index = 0; index < 10; index += 1) {
    statuses.push((await gateway.call('/orders/1', { method: 'POST', body: 'x' })).status)
  }
  assert.deepEqual(new Set(statuses), new Set([200]))
  assert.ok(resetting.connections() > 0)
  assert.deepEqual(resetting.receivedIds, [])
})

const large = 'x'.repeat(2 * maxBufferedBytes)
const framings = [
  ['a length', [`Content-Length: ${String(2 * large.length)}`], large],
  ['chunks', ['Transfer-Encoding: chunked'], `${large.length.toString(16)}\r\n${large}\r\n`],
  ['the end of its connection', ['Connection: close'], large],
] as const

for (const [name, fields, body] of framings) {
  test(`a large response that is framed by ${name} and reset midway does not look complete`, async (t) => {
    const target = await startRawTarget(t, 'a', (socket, requestId) => {
      socket.write(`${rawHead(requestId, fields)}\r\n${body}`)
      setTimeout(() => socket.resetAndDestroy(), 50)
    })
    const gateway = await TestGateway.start(t, [target])
    await assert.rejects(gateway.call('/notes/1'))
  })
}

test('a large response that is framed by the end of its connection arrives complete', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId) => {
    socket.write(`${rawHead(requestId, ['Connection: close'])}\r\n${large}`)
    setTimeout(() => socket.end(large), 50)
  })
  const gateway = await TestGateway.start(t, [target])
  const { status, body } = await gateway.call('/notes/1')
  assert.deepEqual([status, body.length], [200, 2 * large.length])
})

test('a large response that ends without its last chunk does not look complete', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId) => {
    socket.end(`${rawHead(requestId, ['Transfer-Encoding: chunked'])}\r\n${framings[1][2]}`)
  })
  const gateway = await TestGateway.start(t, [target])
  await assert.rejects(gateway.call('/notes/1'))
})

test('a response without end is stopped at the deadline of its caller', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId) => {
    socket.write(`${rawHead(requestId, ['Connection: close'])}\r\n`)
    const next = (): void => {
      if (socket.destroyed) return
      if (socket.write(large)) setImmediate(next)
      else socket.once('drain', next)
    }
    next()
  })
  const gateway = await TestGateway.start(t, [target])
  await assert.rejects(gateway.call('/notes/1', { fields: { deadlineMs: 300 } }))
})
