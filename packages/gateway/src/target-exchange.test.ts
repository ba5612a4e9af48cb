/**
 * How the end of a target's response is distinguished from a broken connection, over real sockets. Guards
 * against responses that are forwarded although they are truncated or belong to another request.
 */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { exchangeRequestId, rawHead, startExchange } from './testing-gateway.js'

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
