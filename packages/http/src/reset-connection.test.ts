/** Guards against sockets that stay open, and processes that do not end, after a reset of a connection. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { test } from 'node:test'
import { resetConnection } from './reset-connection.js'

const resetAfter = async (prepare: (socket: Socket) => void): Promise<string> => {
  const server = createServer({ allowHalfOpen: true })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const caller = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  const [accepted] = (await once(server, 'connection')) as [Socket]
  const errors: string[] = []
  accepted.on('error', (error: NodeJS.ErrnoException) => errors.push(error.code ?? ''))
  caller.on('error', () => undefined)
  const closed = once(accepted, 'close')
  prepare(accepted)
  resetConnection(accepted)
  caller.resume()
  await closed
  caller.destroy()
  server.close()
  return errors.join()
}

test('a connection that is reset while its end is being sent is closed', async () => {
  assert.equal(await resetAfter((socket) => socket.end('last bytes')), '')
})

test('a connection that is reset while it is open or has bytes to send is closed', async () => {
  assert.equal(await resetAfter(() => undefined), '')
  assert.equal(await resetAfter((socket) => socket.write(Buffer.alloc(5_000_000))), '')
  assert.equal(await resetAfter((socket) => socket.end(Buffer.alloc(5_000_000))), '')
})
