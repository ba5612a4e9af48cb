/**
 * What a caller reads from its connection, byte by byte, over real sockets. Guards against an answer that was
 * broken off but looks complete, bytes on a connection on which no request waits, and an answer that takes the
 * place of another request's.
 */
import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { SilentLogger, SystemClock } from '@pimentotally/core'
import { configurationRow } from '@pimentotally/platform/testing'
import { CallerServer } from './caller-server.js'
import { Directory } from './directory.js'
import type { Dispatcher, InboundRequest } from './dispatcher.js'
import { maxBufferedBytes } from './target-exchange.js'
import { TestGateway, rawHead, startRawTarget } from './testing-gateway.js'

const timeout = 20_000

/** What a connection has received, and how it ended. */
interface Received {
  readonly socket: Socket
  text: string
  end: 'open' | 'closed' | 'reset'
  readonly ended: Promise<void>
}

const openConnection = async (t: TestContext, port: number): Promise<Received> => {
  const socket = connect({ port, host: '127.0.0.1' })
  t.after(() => socket.destroy())
  let resolveEnded: () => void = () => undefined
  const ended = new Promise<void>((resolve) => {
    resolveEnded = resolve
  })
  const received: Received = { socket, text: '', end: 'open', ended }
  socket.on('data', (chunk: Buffer) => (received.text += chunk.toString('latin1')))
  socket.on('error', () => (received.end = 'reset'))
  socket.once('close', () => {
    if (received.end === 'open') received.end = 'closed'
    resolveEnded()
  })
  await new Promise<void>((resolve) => socket.once('connect', resolve))
  return received
}

/** Resolves when the condition holds; rejects when it does not hold for long. */
const until = async (condition: () => boolean): Promise<void> => {
  for (let round = 0; !condition(); round += 1) {
    assert.ok(round < 2000, `the condition did not hold: ${String(condition)}`)
    await sleep(2)
  }
}

const startServer = async (
  t: TestContext,
  dispatch: (inbound: InboundRequest) => void,
): Promise<{ readonly server: CallerServer; readonly port: number }> => {
  const clock = new SystemClock()
  const logger = new SilentLogger()
  const directory = new Directory({ clock, logger })
  directory.applyOperatorTable({ changed: [configurationRow()], removed: [], version: 1 })
  const dispatcher = { dispatch } as unknown as Dispatcher
  const server = new CallerServer({ clock, logger, directory, dispatcher })
  t.after(() => server.closeWhenDrained(0))
  return { server, port: await server.listen('127.0.0.1:0') }
}

const requestText = (
  requestId: string,
  {
    method = 'GET',
    version = '1.1',
    path = '/notes/1',
    fields = '',
  }: {
    readonly method?: string
    readonly version?: string
    readonly path?: string
    readonly fields?: string
  } = {},
): string =>
  `${method} ${path} HTTP/${version}\r\nHost: shop.example\r\nX-Request-Id: ${requestId}\r\n${fields}\r\n`

const large = 'x'.repeat(2 * maxBufferedBytes)

for (const [name, fields] of [
  ['a body in chunks', ['Transfer-Encoding: chunked']],
  ['a body without a length', ['Connection: close']],
] as const) {
  test(
    `${name} that the target breaks off does not look complete to a caller that reads to the end of the connection`,
    { timeout },
    async (t) => {
      const isChunked = name === 'a body in chunks'
      const body = isChunked ? `${large.length.toString(16)}\r\n${large}\r\n` : large
      const target = await startRawTarget(t, 'a', (socket, requestId) => {
        socket.write(`${rawHead(requestId, fields)}\r\n${body}`)
        setTimeout(() => socket.resetAndDestroy(), 50)
      })
      const gateway = await TestGateway.start(t, [target])
      const caller = await openConnection(t, gateway.port)
      caller.socket.write(requestText('r-1', { version: '1.0' }))
      await caller.ended
      assert.equal(caller.end, 'reset')
    },
  )
}

test('malformed bytes behind a request do not cut off its answer', { timeout }, async (t) => {
  let answer: InboundRequest['response'] | undefined
  const { port } = await startServer(t, ({ response }) => {
    answer = response
    response.writeHead(200).write('first part')
  })
  const caller = await openConnection(t, port)
  caller.socket.write(requestText('r-1', { version: '1.0', fields: 'Connection: keep-alive\r\n' }))
  await until(() => caller.text.endsWith('first part'))
  caller.socket.write('no request\r\n\r\n')
  await sleep(50)
  answer?.end(' and the rest')
  await caller.ended
  assert.match(caller.text, /first part and the rest$/)
})

test('an answer that a stop cuts off does not look complete', { timeout }, async (t) => {
  const { server, port } = await startServer(t, ({ response }) => {
    response.writeHead(200).write('first part')
  })
  const caller = await openConnection(t, port)
  caller.socket.write(requestText('r-1', { version: '1.0' }))
  await until(() => caller.text.endsWith('first part'))
  server.startDraining()
  assert.equal(await server.closeWhenDrained(50), 1)
  await caller.ended
  assert.equal(caller.end, 'reset')
})

const idleLimits = { headerTimeoutMs: 100, idleTimeoutMs: 60_000, maxHeaderBytes: 65_536, maxBodyBytes: 1000 }

test('a connection that has sent no byte is closed without an answer', { timeout }, async (t) => {
  const { server, port } = await startServer(t, () => undefined)
  server.applyLimits(idleLimits)
  const caller = await openConnection(t, port)
  await caller.ended
  assert.equal(caller.text, '')
})

test('a request whose head does not arrive in time is answered with 408', { timeout }, async (t) => {
  const { server, port } = await startServer(t, () => undefined)
  server.applyLimits(idleLimits)
  const caller = await openConnection(t, port)
  caller.socket.write('GET /notes/1 HTTP/1.1\r\nHost: sho')
  await caller.ended
  assert.match(caller.text, /^HTTP\/1.1 408 /)
})

test(
  'the next head that does not arrive in time is answered with 408, an idle connection with nothing',
  { timeout },
  async (t) => {
    const { server, port } = await startServer(t, ({ response }) => response.end('one'))
    server.applyLimits(idleLimits)
    const partial = await openConnection(t, port)
    const idle = await openConnection(t, port)
    for (const caller of [partial, idle]) caller.socket.write(requestText('r-1'))
    await until(() => partial.text.endsWith('one') && idle.text.endsWith('one'))
    partial.socket.write('GET /notes/1 HT')
    await partial.ended
    assert.match(partial.text, /oneHTTP\/1.1 408 /)
    assert.match(idle.text, /one$/)
  },
)

test('no answer follows one that closes the connection', { timeout }, async (t) => {
  const { port } = await startServer(t, ({ response }) => response.end('one'))
  const caller = await openConnection(t, port)
  caller.socket.write(`${requestText('r-1', { fields: 'Connection: close\r\n' })}no request\r\n\r\n`)
  await caller.ended
  assert.ok((caller.text.match(/HTTP\/1.1 /g) ?? []).length <= 1, caller.text)
})

test(
  'a request behind one without a host, whose answer closes the connection, is not dispatched',
  { timeout },
  async (t) => {
    const dispatched: InboundRequest[] = []
    const { port } = await startServer(t, (inbound) => dispatched.push(inbound))
    const caller = await openConnection(t, port)
    caller.socket.write(
      `${requestText('r-1')}GET /notes/1 HTTP/1.1\r\nX-Request-Id: r-2\r\n\r\n${requestText('r-3')}`,
    )
    await until(() => dispatched.length > 0)
    await sleep(50)
    assert.deepEqual(
      dispatched.map(({ requestId }) => requestId),
      ['r-1'],
    )
    dispatched[0]?.response.end('one')
    await caller.ended
    assert.match(caller.text, /^HTTP\/1.1 200 .*oneHTTP\/1.1 400 /s)
  },
)

test('a request that was read whole is answered though malformed bytes follow it', { timeout }, async (t) => {
  const dispatched: InboundRequest[] = []
  const { port } = await startServer(t, (inbound) => dispatched.push(inbound))
  const caller = await openConnection(t, port)
  caller.socket.write(`${requestText('r-1')}${requestText('r-2')}no request\r\n\r\n`)
  await until(() => dispatched.length === 2)
  await sleep(50)
  caller.socket.write('more bytes')
  // The second request is answered first; its caller must get it second.
  for (const { response, requestId } of dispatched.toReversed()) response.end(`answer to ${requestId}`)
  await caller.ended
  assert.match(caller.text, /answer to r-1HTTP\/1.1 200 .*answer to r-2/s)
  assert.equal((caller.text.match(/HTTP\/1.1 /g) ?? []).length, 2, caller.text)
})

test(
  'a request with a malformed body is not answered in the place of the one before it',
  { timeout },
  async (t) => {
    const dispatched: InboundRequest[] = []
    const { port } = await startServer(t, (inbound) => dispatched.push(inbound))
    const caller = await openConnection(t, port)
    const chunked = { method: 'POST', path: '/orders/1', fields: 'Transfer-Encoding: chunked\r\n' }
    caller.socket.write(`${requestText('r-1')}${requestText('r-2', chunked)}zz\r\n`)
    await until(() => dispatched.length === 1)
    await sleep(50)
    dispatched[0]?.response.end('answer to r-1')
    await caller.ended
    assert.match(caller.text, /^HTTP\/1.1 200 .*answer to r-1/s)
    assert.equal(dispatched.length, 1)
  },
)

test(
  'requests on one connection, answered by a target, refused, and broken off: each gets its own',
  { timeout },
  async (t) => {
    const target = await startRawTarget(t, 'a', (socket, requestId, _index, path) => {
      if (path === '/notes/broken') {
        socket.write(`${rawHead(requestId, [`Content-Length: ${String(2 * large.length)}`])}\r\n${large}`)
        setTimeout(() => socket.resetAndDestroy(), 300)
        return
      }
      const body = `answer to ${requestId}`
      // The answer to the first request comes after those to the others.
      setTimeout(
        () => socket.write(`${rawHead(requestId, [`Content-Length: ${String(body.length)}`])}\r\n${body}`),
        requestId === 'r-1' ? 100 : 0,
      )
    })
    const gateway = await TestGateway.start(t, [target])
    const caller = await openConnection(t, gateway.port)
    const requests = [
      requestText('r-1'),
      requestText('r-2', { path: '/unknown/1' }),
      requestText('r-3'),
      requestText('r-4', { path: '/notes/broken' }),
      requestText('r-5'),
    ]
    caller.socket.write(requests.join(''))
    await caller.ended
    const answers = caller.text.split('HTTP/1.1 ').slice(1)
    assert.equal(answers.length, 4, caller.text.slice(0, 2000))
    assert.match(answers[0] ?? '', /^200 .*answer to r-1$/s)
    assert.match(answers[1] ?? '', /^404 .*X-Request-Id: r-2/is)
    assert.match(answers[2] ?? '', /^200 .*answer to r-3$/s)
    assert.match(answers[3] ?? '', /^200 .*X-Request-Id: r-4/is)
    assert.ok((answers[3] ?? '').length < 2 * large.length)
  },
)

test(
  'a HEAD request gets the header fields of the target, its length included, and no body',
  { timeout },
  async (t) => {
    const target = await startRawTarget(t, 'a', (socket, requestId) => {
      socket.write(`${rawHead(requestId, ['Content-Length: 1234'])}\r\n`)
    })
    const gateway = await TestGateway.start(t, [target])
    const caller = await openConnection(t, gateway.port)
    caller.socket.write(
      `${requestText('r-1', { method: 'HEAD' })}${requestText('r-2', { method: 'HEAD', fields: 'Connection: close\r\n' })}`,
    )
    await caller.ended
    const heads = caller.text.split('\r\n\r\n')
    assert.equal(heads.length, 3)
    for (const head of heads.slice(0, 2)) {
      assert.match(head, /^HTTP\/1.1 200 /)
      assert.deepEqual(head.match(/content-length: .*/gi), ['Content-Length: 1234'])
    }
    assert.equal(heads[2], '')
  },
)

for (const status of ['204 No Content', '304 Not Modified']) {
  test(`an answer with ${status} has no body, and the next one follows it`, { timeout }, async (t) => {
    const target = await startRawTarget(t, 'a', (socket, requestId, index) => {
      const fields = index === 0 ? [] : ['Content-Length: 3']
      const head = rawHead(requestId, fields).replace('200 OK', index === 0 ? status : '200 OK')
      socket.write(
        `${index === 0 ? 'HTTP/1.1 102 Processing\r\n\r\n' : ''}${head}\r\n${index === 0 ? '' : 'two'}`,
      )
    })
    const gateway = await TestGateway.start(t, [target])
    const caller = await openConnection(t, gateway.port)
    caller.socket.write(requestText('r-1') + requestText('r-2', { fields: 'Connection: close\r\n' }))
    await caller.ended
    const answers = caller.text.split('HTTP/1.1 ').slice(1)
    assert.equal(answers.length, 2)
    assert.ok(answers[0]?.startsWith(`${status}\r\n`) === true && answers[0].endsWith('\r\n\r\n'))
    assert.match(answers[1] ?? '', /^200 .*two$/s)
  })
}
