/**
 * Targets that send bytes without end, or more than they should, over real sockets. Guards against memory
 * that grows with what a broken target sends, requests that never get an outcome, and responses that reach
 * another caller.
 */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { TargetCalls } from '@pimentotally/platform'
import { maxBufferedBytes } from './target-exchange.js'
import { exchangeRequestId, rawHead, startExchange } from './testing-gateway.js'

const block = Buffer.alloc(16 * 1024, 'x')

interface EndlessTarget {
  readonly address: string
  /** Bytes that the target has written to its socket; it pauses while its peer does not read. */
  readonly written: () => number
  readonly closed: Promise<void>
}

/** Writes `head` and then `piece` until the connection is closed. */
const startEndlessTarget = async (
  t: TestContext,
  head: string,
  piece: Buffer | string,
): Promise<EndlessTarget> => {
  const sockets = new Set<Socket>()
  let written = 0
  let close = (): void => undefined
  const closed = new Promise<void>((resolve) => (close = resolve))
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.once('close', () => {
      close()
    })
    socket.once('data', () => {
      socket.write(head)
      const next = (): void => {
        if (socket.destroyed) return
        written += piece.length
        if (socket.write(piece)) setImmediate(next)
        else socket.once('drain', next)
      }
      next()
    })
  })
  t.after(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${String((server.address() as AddressInfo).port)}`,
    written: () => written,
    closed,
  }
}

const head = rawHead(exchangeRequestId, [])

/**
 * Bound of the bytes that a target can write in a head: far more than Node accepts and the sockets buffer.
 */
const maxHeadBytes = 8 * 1024 * 1024

/** Several times what the sockets of both sides buffer while nobody reads. */
const maxUnreadBytes = 64 * 1024 * 1024

const heads: readonly (readonly [name: string, start: string, piece: Buffer | string])[] = [
  ['a status line', 'HTTP/1.1 200 ', block],
  ['a header field', `${head}X-Long: `, block],
  ['header fields', head, 'X-More: 1\r\n'.repeat(1000)],
  ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1000)],
  ['a chunk size', `${head}Transfer-Encoding: chunked\r\n\r\n`, '0'.repeat(16 * 1024)],
  ['a chunk extension', `${head}Transfer-Encoding: chunked\r\n\r\n4;`, block],
  ['trailers', `${head}Transfer-Encoding: chunked\r\n\r\n0\r\n`, 'X-More: 1\r\n'.repeat(1000)],
]

for (const [name, start, piece] of heads) {
  test(`${name} without end: the exchange ends as lost and its connection is closed`, async (t) => {
    const target = await startEndlessTarget(t, start, piece)
    const result = await startExchange(t, target.address)
    assert.equal(result.kind, 'lost')
    await target.closed
    assert.ok(target.written() < maxHeadBytes, String(target.written()))
  })
}

test('a body without a length and without end is forwarded while it arrives, not collected in memory', async (t) => {
  const target = await startEndlessTarget(t, `${head}Connection: close\r\n\r\n`, block)
  const result = await startExchange(t, target.address)
  assert.ok(result.kind === 'response' && !result.complete)
  const collected = result.body.reduce((sum, { length }) => sum + length, 0)
  assert.ok(collected <= maxBufferedBytes * 2, String(collected))
  // Nobody reads, so the target stops writing when the socket buffers are full.
  for (let before = -1; before !== target.written();) {
    before = target.written()
    assert.ok(before < maxUnreadBytes, String(before))
    await sleep(50)
  }
  result.incoming.destroy()
  await target.closed
})

for (const [name, start] of [
  ['a grant', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n'],
  ['a grant, with a body without a length,', 'HTTP/1.1 200 OK\r\n\r\n'],
] as const) {
  test(`the response to ${name} does not end: the call is given up after a bounded number of bytes`, async (t) => {
    const target = await startEndlessTarget(t, start, block)
    const call = { from: 0, to: 1, fence: 1, holdMs: 1000, handover: undefined, timeoutMs: 60_000 }
    const result = await new TargetCalls().grant({ id: 't', address: target.address }, call)
    assert.equal(result.isErr && result.error.code, 'lost')
    await target.closed
    assert.ok(target.written() < maxHeadBytes, String(target.written()))
  })
}

for (const [name, start, piece] of heads) {
  test(`${name} without end in the response to a grant: the call is given up after a bounded number of bytes`, async (t) => {
    const target = await startEndlessTarget(t, start, piece)
    const call = { from: 0, to: 1, fence: 1, holdMs: 1000, handover: undefined, timeoutMs: 5000 }
    const result = await new TargetCalls().grant({ id: 't', address: target.address }, call)
    assert.equal(result.isErr && result.error.code, 'lost')
    await target.closed
    assert.ok(target.written() < maxHeadBytes, String(target.written()))
  })
}
