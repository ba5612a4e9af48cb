/**
 * Answers that are broken off, late or belong to another call, over real sockets. Guards against a broken-off answer
 * that looks complete, an answer on a connection on which no request waits, and the copy of the answer to a cancel.
 */
import assert from 'node:assert/strict'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { test } from 'node:test'
import { SystemClock } from '@pimentotally/core'
import { ConnectionPool } from './connection-pool.js'
import { run, until } from './fixtures.js'
import { NoMetrics } from './metrics.js'
import { ProxyLimits } from './proxy-limits.js'
import { useTestHosts } from './test-host.js'

const timeout = 20_000
const { target, host } = useTestHosts()

interface Received {
  text: string
  isReset: boolean
  isClosed: boolean
}

const openConnection = (address: string, bytes: string): Received => {
  const [ip, port] = address.split(':')
  const socket = connect(Number(port), ip)
  const received: Received = { text: '', isReset: false, isClosed: false }
  socket.on('data', (chunk: Buffer) => (received.text += chunk.toString()))
  socket.on('error', () => (received.isReset = true))
  socket.on('close', () => (received.isClosed = true))
  if (bytes !== '') socket.write(bytes)
  return received
}

test(
  'a body in chunks that a target breaks off does not look complete to a caller with HTTP/1.0',
  { timeout },
  async () => {
    const scripted = await target((request, response) => {
      const id = String(request.headers['pimentotally-request-id'])
      response.socket?.end(
        `HTTP/1.1 200 OK\r\npimentotally-request-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`,
      )
    })
    const router = await host({ targets: [scripted] })
    const caller = openConnection(router.address, 'GET /notes/1 HTTP/1.0\r\n\r\n')
    await until(() => caller.isClosed, 'the end of the connection')
    assert.equal(caller.isReset, true)
  },
)

test('a connection that has sent no byte is closed without an answer', { timeout }, async () => {
  const scripted = await target(run)
  const router = await host({ targets: [scripted], limits: { headTimeoutMs: 50 } })
  const caller = openConnection(router.address, '')
  await until(() => caller.isClosed, 'the end of the connection')
  assert.equal(caller.text, '')
})

test('a second copy of the answer to a cancel does not end another request', { timeout }, async (t) => {
  const sockets = new Set<Socket>()
  let cancels = 0
  const server = createServer((socket) => {
    sockets.add(socket)
    let used = false
    socket.on('error', () => undefined)
    socket.on('data', () => {
      cancels += 1
      // The second request goes on; on a connection in use, a copy of the answer to the first cancel arrives.
      const status = cancels === 1 || used ? '200 OK' : '409 Conflict'
      used = true
      socket.write(`HTTP/1.1 ${status}\r\ncontent-length: 0\r\n\r\n`)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`
  const pool = new ConnectionPool({
    clock: new SystemClock(),
    limits: ProxyLimits.default,
    metrics: new NoMetrics(),
  })
  t.after(() => {
    pool.close()
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  pool.forTarget(address, 20)
  assert.equal(await pool.cancel(address, 'r.1'), true)
  assert.equal(await pool.cancel(address, 'r.2'), false)
})
