/**
 * What callers see when the daemon stops, over real sockets. Guards against requests that run on a connection
 * which the daemon has closed, and against responses that the stop cuts off.
 */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { test } from 'node:test'
import { SilentLogger, SystemClock } from '@pimentotally/core'
import { configurationRow } from '@pimentotally/platform/testing'
import { CallerServer } from './caller-server.js'
import { Directory } from './directory.js'
import type { Dispatcher, InboundRequest } from './dispatcher.js'
import { freePort } from './testing.js'

const start = async (
  dispatch: (inbound: InboundRequest) => void,
): Promise<{ server: CallerServer; port: number }> => {
  const clock = new SystemClock()
  const logger = new SilentLogger()
  const directory = new Directory({ clock, logger })
  directory.applyOperatorTable({ changed: [configurationRow()], removed: [], version: 1 })
  const server = new CallerServer({
    clock,
    logger,
    directory,
    dispatcher: { dispatch } as unknown as Dispatcher,
  })
  const port = await freePort()
  await server.listen(`127.0.0.1:${String(port)}`)
  return { server, port }
}

const requestHead = 'GET /notes/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n'

test('a request that arrives on an idle connection while the daemon closes it is not dispatched', async (t) => {
  let dispatched = 0
  const { server, port } = await start(({ response }) => {
    dispatched += 1
    response.end()
  })
  const caller = connect(port, '127.0.0.1')
  t.after(() => caller.destroy())
  caller.on('error', () => undefined)
  await new Promise<void>((resolve) => caller.once('connect', resolve))
  await new Promise((resolve) => setTimeout(resolve, 50))
  server.startDraining()
  const finished = server.closeWhenDrained(1000)
  caller.write(requestHead)
  await new Promise<void>((resolve) => {
    caller.once('close', () => {
      resolve()
    })
    caller.resume()
  })
  await finished
  assert.equal(dispatched, 0)
})

test('a stop does not cut off a response that a slow caller is still reading', async (t) => {
  const answer = Buffer.alloc(8 * 1024 * 1024, 'x')
  const { server, port } = await start(({ response }) => {
    response.writeHead(200, { 'content-length': answer.length })
    response.end(answer)
  })
  const caller = connect(port, '127.0.0.1')
  t.after(() => caller.destroy())
  caller.write(requestHead)
  let bytes = 0
  // Reads nothing until the stop has begun.
  await new Promise((resolve) => setTimeout(resolve, 100))
  server.startDraining()
  const finished = server.closeWhenDrained(20_000)
  await new Promise<void>((resolve) => {
    caller.on('data', (chunk) => (bytes += chunk.length))
    caller.on('error', () => undefined)
    caller.once('close', () => {
      resolve()
    })
  })
  assert.equal(await finished, 0)
  assert.ok(bytes > answer.length, `the caller got ${String(bytes)} bytes`)
})
