/**
 * What callers receive when a target responds twice, late or only in part, over real sockets. Guards against
 * a response that reaches the caller of another request, a truncated response that looks complete, and a
 * request that runs again after its response was lost.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { maxBufferedBytes } from './target-exchange.js'
import { TestGateway, rawHead, rawRefusal, startRawTarget } from './testing-gateway.js'

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

test('an earlier refusal that is written once more does not make an owner’s unsafe request look refused', async (t) => {
  let refused: unknown
  const target = await startRawTarget(t, 'a', (socket, requestId, index) => {
    // On a connection that carried the refusal, a copy of it arrives where the next response is expected.
    if (index === 0 || socket === refused) socket.write(rawRefusal(requestId))
    if (index === 0) refused = socket
    else socket.write(fullResponse(requestId, 'ran'))
  })
  const gateway = await TestGateway.start(t, [target], { isSharded: true })
  gateway.assign('a', { version: 1 })
  const { status } = await gateway.call('/orders/1', { method: 'POST', body: 'x', fields: { key: 7 } })
  assert.equal(status, 200)
  assert.equal(target.connections(), 2, 'each attempt has a connection of its own')
})

test('a refusal without a request id on a kept connection does not make an unsafe request look refused', async (t) => {
  const target = await startRawTarget(t, 'a', (socket, requestId, index) => {
    if (index === 0) socket.write(fullResponse(requestId, 'one'))
    else socket.write(rawRefusal(undefined))
  })
  const other = await startRawTarget(t, 'b', (socket, requestId) =>
    socket.write(fullResponse(requestId, 'other')),
  )
  const gateway = await TestGateway.start(t, [target])
  const post = { method: 'POST', body: 'x' }
  assert.equal((await gateway.call('/orders/1', post)).status, 200)
  gateway.addTarget(other)
  gateway.remove('b')
  assert.equal((await gateway.call('/orders/2', post)).status, 502)
  assert.equal(other.receivedIds.length, 0, 'the request is not sent to another target')
})

test('a refusal without a request id on a new connection is believed', async (t) => {
  const target = await startRawTarget(t, 'a', (socket) => socket.write(rawRefusal(undefined)))
  const gateway = await TestGateway.start(t, [target])
  assert.equal((await gateway.call('/orders/1', { method: 'POST', body: 'x' })).status, 503)
})

test('a response whose head is cut off anywhere reaches no caller as a success', async (t) => {
  let cutAt = 0
  const response = (requestId: string): string => fullResponse(requestId, 'whole')
  const target = await startRawTarget(t, 'a', (socket, requestId) => {
    socket.end(response(requestId).slice(0, cutAt))
  })
  const gateway = await TestGateway.start(t, [target])
  const headBytes = response('r-1').length - 'whole'.length
  for (cutAt = 0; cutAt < headBytes + 'whole'.length; cutAt += 3) {
    const { status, body } = await gateway.call('/orders/1', { method: 'POST', body: 'x' })
    assert.notEqual(status, 200, `cut at byte ${String(cutAt)}: "${body}"`)
  }
})

test('a response without a length whose head is cut off reaches no caller as a success', async (t) => {
  let cutAt = 0
  const target = await startRawTarget(t, 'a', (socket, requestId) => {
    socket.end(`${rawHead(requestId, ['Connection: close'])}\r\n`.slice(0, cutAt))
  })
  const gateway = await TestGateway.start(t, [target])
  const headBytes = rawHead('r-1', ['Connection: close']).length + 2
  for (cutAt = 0; cutAt < headBytes; cutAt += 3) {
    assert.notEqual((await gateway.call('/orders/1', { method: 'POST', body: 'x' })).status, 200)
  }
})
