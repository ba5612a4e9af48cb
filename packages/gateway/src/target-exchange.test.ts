/**
 * How the end of a target's response is distinguished from a broken connection, and an unreachable target from a
 * host that was blocked, over real sockets. Guards against responses that are forwarded although they are truncated
 * or belong to another request, and against requests that are refused although their target accepts connections.
 */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { exchangeRequestId, rawHead, singleConnectionAgent, startExchange } from './testing-gateway.js'

const listen = async (t: TestContext, answer: (socket: Socket) => void): Promise<string> => {
  const sockets = new Set<Socket>()
  const server: Server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.once('data', () => {
      answer(socket)
    })
  })
  t.after(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${String((server.address() as AddressInfo).port)}`
}

const headFor = (id: string): string => rawHead(id, [])

const head = headFor(exchangeRequestId)

test('a body without a length that ends with its connection is complete', async (t) => {
  const address = await listen(t, (socket) => {
    socket.end(`${head}Connection: close\r\n\r\nwhole`)
  })
  const result = await startExchange(t, address)
  assert.equal(result.kind, 'response')
  assert.equal(result.kind === 'response' && Buffer.concat(result.body).toString(), 'whole')
})

test('a body without a length on a connection that is reset is not forwarded as complete', async (t) => {
  const address = await listen(t, (socket) => {
    socket.write(`${head}Connection: close\r\n\r\npart`, () => {
      setTimeout(() => socket.resetAndDestroy(), 20)
    })
  })
  const result = await startExchange(t, address)
  assert.equal(result.kind, 'lost')
})

test('a reset that arrives together with the bytes before it is noticed', async (t) => {
  const address = await listen(t, (socket) => {
    socket.write(`${head}Connection: close\r\n\r\npart`)
    socket.resetAndDestroy()
  })
  const result = await startExchange(t, address)
  assert.equal(result.kind, 'lost')
})

test('a body that is shorter than its length is lost', async (t) => {
  const address = await listen(t, (socket) => {
    socket.end(`${head}Content-Length: 10\r\n\r\npart`)
  })
  const result = await startExchange(t, address)
  assert.equal(result.kind, 'lost')
})

test('a response to another request is not forwarded', async (t) => {
  const address = await listen(t, (socket) => {
    socket.end(`${headFor('r-0')}Content-Length: 2\r\n\r\nok`)
  })
  const result = await startExchange(t, address)
  assert.equal(result.kind === 'lost' && result.reason, 'crossed')
})

test('bytes that are not a response are not forwarded', async (t) => {
  const address = await listen(t, (socket) => {
    socket.end('garbage\r\n\r\n')
  })
  const result = await startExchange(t, address)
  assert.equal(result.kind === 'lost' && result.reason, 'malformed')
})

test('a request whose connection was refused certainly has not run', async (t) => {
  const result = await startExchange(t, '127.0.0.1:1')
  assert.equal(result.kind, 'not_sent')
})

/** Blocks this process, as when it gets no processor time. */
const block = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms)
}

test('a target that accepts a connection while this process is blocked does not count as unreachable', async (t) => {
  const address = await listen(t, (socket) => {
    socket.end(`${head}Content-Length: 2\r\n\r\nok`)
  })
  const result = startExchange(t, address, { connectTimeoutMs: 100 })
  // By then the connection is being opened; the kernel completes it during the block.
  process.nextTick(block, 300)
  assert.equal((await result).kind, 'response')
})

test('nothing is written on a connection that was reset while this process was blocked', async (t) => {
  const server = createServer((socket) => {
    setTimeout(() => {
      // After a block in an immediate, due timers run before events of sockets.
      setImmediate(() => {
        socket.resetAndDestroy()
        block(100)
      })
    }, 20)
  })
  t.after(() => server.close())
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`
  const result = await startExchange(t, address, { delayAfterConnectMs: 60 })
  assert.equal(result.kind, 'not_sent')
})

test('a request gets the connection that becomes free while this process is blocked', async (t) => {
  const ok = 'Content-Length: 2\r\n\r\nok'
  const address = await listen(t, (socket) => {
    socket.once('data', () => {
      socket.end(`${headFor('r-2')}${ok}`)
    })
    socket.write(`${head}${ok}`)
    block(300)
  })
  const agent = singleConnectionAgent(t)
  const first = startExchange(t, address, { agent })
  const second = startExchange(t, address, { agent, requestId: 'r-2', connectTimeoutMs: 100 })
  assert.equal((await first).kind, 'response')
  assert.equal((await second).kind, 'response')
})

test('a request that gets no connection ends after its time limit, also when this process was blocked', async (t) => {
  const address = await listen(t, () => undefined)
  const agent = singleConnectionAgent(t)
  void startExchange(t, address, { agent })
  const startedMs = performance.now()
  const second = startExchange(t, address, { agent, requestId: 'r-2', connectTimeoutMs: 100 })
  process.nextTick(block, 300)
  const result = await second
  assert.equal(result.kind === 'not_sent' && result.reason, 'no-connection')
  const tookMs = performance.now() - startedMs
  assert.ok(tookMs < 2000, `took ${String(tookMs)} ms`)
})
