/**
 * What reaches callers when a target answers twice, late or in part, over real sockets. Guards against an answer that
 * belongs to another request, an answer in part that looks whole, and work that runs again after its answer was lost.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { maxBufferedBytes } from './target-exchange.js'
import { TestGateway, rawHead, startRawTarget } from './testing-gateway.js'

const whole = (requestId: string, body: string): string =>
  `${rawHead(requestId, [`Content-Length: ${String(body.length)}`])}\r\n${body}`

test('a second copy right behind an answer reaches no other caller', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId, index) => {
    socket.write(index === 0 ? whole(requestId, 'one') + whole(requestId, 'one') : whole(requestId, 'two'))
  })
  const gateway = await TestGateway.start(t, [target])
  assert.equal((await gateway.call('/notes/1')).body, 'one')
  assert.equal((await gateway.call('/notes/2')).body, 'two')
  assert.equal(target.connections(), 2, 'the connection with the copy is not used again')
})

test('a second copy on an idle connection reaches no other caller', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId, index) => {
    socket.write(whole(requestId, index === 0 ? 'one' : 'two'))
    if (index === 0) setTimeout(() => socket.write(whole(requestId, 'one')), 20)
  })
  const gateway = await TestGateway.start(t, [target])
  assert.equal((await gateway.call('/notes/1')).body, 'one')
  await sleep(60)
  assert.equal((await gateway.call('/notes/2')).body, 'two')
  assert.equal(target.connections(), 2)
})

const copyInUse = (socket: { write: (text: string) => unknown }, requestId: string, index: number): void => {
  // The copy of the first answer arrives where the second is due.
  if (index === 0) socket.write(whole(requestId, 'one'))
  else if (index === 1) socket.write(whole('r-1', 'one') + whole(requestId, 'two'))
  else socket.write(whole(requestId, 'again'))
}

test('a second copy on a connection in use: a safe request is sent again', async (t) => {
  const target = await startRawTarget(t, 'a', copyInUse)
  const other = await startRawTarget(t, 'b', (socket, requestId) => socket.write(whole(requestId, 'other')))
  const gateway = await TestGateway.start(t, [target])
  assert.equal((await gateway.call('/notes/1')).body, 'one')
  gateway.addTarget(other)
  const { status, body } = await gateway.call('/notes/2')
  assert.equal(status, 200)
  assert.ok(body === 'other' || body === 'again', body)
})

test('a second copy on a connection in use: an unsafe request has no known outcome, and runs once', async (t) => {
  const target = await startRawTarget(t, 'a', copyInUse)
  const gateway = await TestGateway.start(t, [target])
  const post = { method: 'POST', body: 'x' }
  assert.equal((await gateway.call('/orders/1', post)).body, 'one')
  const { status, body } = await gateway.call('/orders/2', post)
  assert.equal(status, 502)
  assert.match(body, /unknown/)
  assert.equal(target.receivedIds.length, 2)
})

test('an answer that is lost after the work has run: the work is not run again, nor said not to have run', async (t) => {
  const target = await startRawTarget(t, 'a', (socket) => socket.destroy())
  const other = await startRawTarget(t, 'b', (socket) => socket.resetAndDestroy())
  const gateway = await TestGateway.start(t, [target, other])
  const { status, body } = await gateway.call('/orders/1', { method: 'POST', body: 'x' })
  assert.equal(status, 502)
  assert.match(body, /unknown/)
  assert.equal(target.receivedIds.length + other.receivedIds.length, 1)
})

test('a target that resets each new connection gets no unsafe request, which runs at another target', async (t) => {
  const overCap = await startRawTarget(
    t,
    'a',
    (socket) => socket.destroy(),
    (socket) => socket.resetAndDestroy(),
  )
  const other = await startRawTarget(t, 'b', (socket, requestId) => socket.write(whole(requestId, 'ran')))
  const gateway = await TestGateway.start(t, [overCap, other])
  const statuses: number[] = []
  for (let index = 0; index < 10; index += 1) {
    statuses.push((await gateway.call('/orders/1', { method: 'POST', body: 'x' })).status)
  }
  assert.deepEqual(new Set(statuses), new Set([200]))
  assert.ok(overCap.connections() > 0)
  assert.deepEqual(overCap.receivedIds, [])
})

const large = 'x'.repeat(2 * maxBufferedBytes)
const framings = [
  ['a length', [`Content-Length: ${String(2 * large.length)}`], large],
  ['chunks', ['Transfer-Encoding: chunked'], `${large.length.toString(16)}\r\n${large}\r\n`],
  ['the end of its connection', ['Connection: close'], large],
] as const

for (const [name, fields, body] of framings) {
  test(`a large answer that is framed by ${name} and reset on the way does not look whole`, async (t) => {
    const target = await startRawTarget(t, 'a', (socket, requestId) => {
      socket.write(`${rawHead(requestId, fields)}\r\n${body}`)
      setTimeout(() => socket.resetAndDestroy(), 50)
    })
    const gateway = await TestGateway.start(t, [target])
    await assert.rejects(gateway.call('/notes/1'))
  })
}

test('a large answer that is framed by the end of its connection arrives whole', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId) => {
    socket.write(`${rawHead(requestId, ['Connection: close'])}\r\n${large}`)
    setTimeout(() => socket.end(large), 50)
  })
  const gateway = await TestGateway.start(t, [target])
  const { status, body } = await gateway.call('/notes/1')
  assert.deepEqual([status, body.length], [200, 2 * large.length])
})

test('a large answer that ends without its last chunk does not look whole', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId) => {
    socket.end(`${rawHead(requestId, ['Transfer-Encoding: chunked'])}\r\n${framings[1][2]}`)
  })
  const gateway = await TestGateway.start(t, [target])
  await assert.rejects(gateway.call('/notes/1'))
})

test('an answer without end stops when its caller cannot wait any more', async (t) => {
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
