/**
 * Which connection a request gets when more requests wait than there are connections. Guards against requests that run
 * on a connection that must not be reused, and against a reused connection that looks new.
 */
import assert from 'node:assert/strict'
import { createServer, request, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { KeepAliveAgent, type KeepAliveRequestOptions } from './keep-alive-agent.js'

interface Fixture {
  readonly agent: KeepAliveAgent
  /** The connections that requests arrived on, in order. */
  readonly arrivedOn: Socket[]
  /** Responses that the test has yet to end, in the order of their requests. */
  readonly open: ServerResponse[]
  readonly send: (exchangeId?: string, maxIdleMs?: number) => Exchange
  readonly arrived: (count: number) => Promise<void>
}

interface Exchange {
  readonly reused: () => boolean
  readonly done: Promise<string>
  readonly abort: () => void
}

const start = async (t: TestContext, connections = 1): Promise<Fixture> => {
  const arrivedOn: Socket[] = []
  const open: ServerResponse[] = []
  const server: Server = createServer((incoming, response) => {
    arrivedOn.push(incoming.socket)
    open.push(response)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const agent = new KeepAliveAgent({ connections, idleTimeoutMs: 5000, onIdleClosed: () => undefined })
  t.after(() => {
    agent.destroy()
    server.close()
    server.closeAllConnections()
  })
  const { port } = server.address() as AddressInfo
  const send = (exchangeId?: string, maxIdleMs?: number): Exchange => {
    const options: KeepAliveRequestOptions = {
      agent,
      host: '127.0.0.1',
      port,
      ...(exchangeId === undefined ? {} : { exchangeId }),
      ...(maxIdleMs === undefined ? {} : { maxIdleMs }),
    }
    const outgoing = request(options)
    const done = new Promise<string>((resolve) => {
      outgoing.on('response', (incoming) => {
        incoming.resume()
        incoming.on('end', () => {
          resolve('answered')
        })
      })
      outgoing.on('error', ({ message }) => {
        resolve(message)
      })
    })
    outgoing.end()
    return { reused: () => outgoing.reusedSocket, done, abort: () => outgoing.destroy() }
  }
  const arrived = async (count: number): Promise<void> => {
    while (arrivedOn.length < count) await new Promise((resolve) => setTimeout(resolve, 1))
  }
  return { agent, arrivedOn, open, send, arrived }
}

const timeoutMs = 10_000

test('a waiting request does not run on a connection that was retired', { timeout: timeoutMs }, async (t) => {
  const { agent, arrivedOn, open, send, arrived } = await start(t)
  const first = send()
  await arrived(1)
  const second = send()
  agent.dropIdle()
  open[0]?.end()
  assert.equal(await first.done, 'answered')
  await arrived(2)
  assert.notEqual(arrivedOn[0], arrivedOn[1])
  open[1]?.end()
  assert.equal(await second.done, 'answered')
})

test('a waiting request that gets a used connection is told so', { timeout: timeoutMs }, async (t) => {
  const { arrivedOn, open, send, arrived } = await start(t)
  const first = send()
  await arrived(1)
  const second = send()
  open[0]?.end()
  await first.done
  await arrived(2)
  assert.equal(arrivedOn[0], arrivedOn[1])
  assert.equal(second.reused(), true)
  open[1]?.end()
  await second.done
})

test('a connection does not carry the same exchange id again', { timeout: timeoutMs }, async (t) => {
  const { arrivedOn, open, send, arrived } = await start(t)
  for (const [index, id] of ['r-1', 'r-2', 'r-1'].entries()) {
    const { done } = send(id)
    await arrived(index + 1)
    open[index]?.end()
    assert.equal(await done, 'answered')
  }
  assert.equal(arrivedOn[0], arrivedOn[1])
  assert.notEqual(arrivedOn[1], arrivedOn[2])
})

test(
  'a waiting request with an id that the connection has carried gets another one',
  { timeout: timeoutMs },
  async (t) => {
    const { arrivedOn, open, send, arrived } = await start(t)
    const first = send('r-1')
    await arrived(1)
    const second = send('r-1')
    open[0]?.end()
    await first.done
    await arrived(2)
    assert.notEqual(arrivedOn[0], arrivedOn[1])
    open[1]?.end()
    assert.equal(await second.done, 'answered')
  },
)

test(
  'no more connections are open than allowed, and every waiting request gets one',
  { timeout: timeoutMs },
  async (t) => {
    const { agent, arrivedOn, open, send, arrived } = await start(t, 2)
    const exchanges = Array.from({ length: 12 }, (_, index) => send(`r-${String(index % 5)}`))
    exchanges[4]?.abort()
    for (let index = 0; index < 11; index += 1) {
      await arrived(index + 1)
      const inUse = Object.values(agent.sockets).flat().length
      const idle = Object.values(agent.freeSockets).flat().length
      assert.ok(inUse + idle <= 2, `${String(inUse)} in use and ${String(idle)} idle`)
      if (index % 4 === 3) arrivedOn[index]?.destroy()
      else open[index]?.end()
    }
    const outcomes = await Promise.all(exchanges.map(({ done }) => done))
    assert.equal(outcomes.filter((outcome) => outcome === 'answered').length, 9)
  },
)

test('a request does not get a connection that was closed just before', { timeout: timeoutMs }, async (t) => {
  const { agent, arrivedOn, open, send, arrived } = await start(t, 2)
  const pair = [send(), send()]
  await arrived(2)
  for (const response of open) response.end()
  await Promise.all(pair.map(({ done }) => done))
  const idle = Object.values(agent.freeSockets).flat()
  idle.at(-1)?.destroy()
  const third = send()
  await arrived(3)
  open[2]?.end()
  assert.equal(await third.done, 'answered')
  assert.ok(arrivedOn.slice(0, 2).includes(arrivedOn[2] as Socket))
})

test('a connection that was idle for too long is not reused', { timeout: timeoutMs }, async (t) => {
  const { arrivedOn, open, send, arrived } = await start(t)
  for (const [index, maxIdleMs] of [undefined, 5000, 0, 1].entries()) {
    const { done } = send(`r-${String(index)}`, maxIdleMs)
    await arrived(index + 1)
    open[index]?.end()
    assert.equal(await done, 'answered')
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
  assert.equal(arrivedOn[0], arrivedOn[1])
  assert.equal(new Set(arrivedOn).size, 3)
})

test('a connection is closed after a number of exchanges', { timeout: timeoutMs }, async (t) => {
  const { agent, arrivedOn, open, send, arrived } = await start(t)
  for (let index = 0; index < 300; index += 1) {
    const { done } = send(`r-${String(index)}`)
    await arrived(index + 1)
    open[index]?.end()
    assert.equal(await done, 'answered')
    for (const socket of Object.values(agent.sockets).flat())
      if (socket !== undefined) assert.ok(agent.historyOf(socket).exchangeIds.size <= 250)
  }
  assert.equal(new Set(arrivedOn).size, 2)
})
