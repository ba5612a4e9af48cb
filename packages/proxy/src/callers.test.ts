import assert from 'node:assert/strict'
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http'
import { test } from 'node:test'
import { respond, booking, sendRaw, run, type TargetScript, send, service, until } from './fixtures.js'
import { useTestHosts } from './test-host.js'

const { target, host } = useTestHosts()

test('router and hop-by-hop fields are not passed on from callers to targets, nor from targets to callers', async () => {
  const scripted = await target((request, response) => {
    respond(request, response, 'ok', 200, {
      'pimentotally-outcome': 'not-run',
      'pimentotally-term': 'x',
      'proxy-authenticate': 'x',
      'x-kept': 'yes',
    })
  })
  const router = await host({ targets: [scripted] })
  const reply = await send(router.address, {
    headers: {
      'Pimentotally-Fence': 'forged',
      'pimentotally-hops': '1',
      pimentotally_term: 'forged',
      connection: 'x-secret, content-length',
      'x-secret': '1',
      te: 'trailers',
      authorization: 'Bearer of the caller',
    },
  })
  const got = scripted.receivedRequests[0]?.headers ?? {}
  const forged = Object.entries(got).filter(
    ([name, value]) => name.includes('pimentotally') && value === 'forged',
  )
  assert.deepEqual(forged, [])
  assert.deepEqual([got['pimentotally-hops'], got['x-secret'], got.te], [undefined, undefined, undefined])
  assert.equal(got.authorization, 'Bearer of the caller')
  assert.equal(got['pimentotally-service'], 'notes')
  assert.deepEqual(
    [reply?.outcome, reply?.headers['pimentotally-term'], reply?.headers['x-kept']],
    [undefined, undefined, 'yes'],
  )
})

test('a connection beyond the limit is refused with the outcome "not run"', async () => {
  const scripted = await target(() => undefined)
  const router = await host({ targets: [scripted], limits: { maxCallerConnections: 1 } })
  const agent = new Agent({ keepAlive: true })
  const first = send(router.address, { agent })
  await until(() => scripted.receivedRequests.length === 1, 'the first request')
  const refused = await sendRaw(router.address, '')
  assert.match(refused, /^HTTP\/1.1 503 /)
  assert.match(refused, /"code":"too_many_connections","outcome":"not-run"/)
  agent.destroy()
  await first
})

test('a booking whose caller has gone does not run twice: a resend to another host gets its response', async () => {
  let finish: (() => void) | undefined
  const scripted = await target((request, response, self) => {
    finish = () => {
      run(request, response, self)
    }
  })
  const first = await host({ targets: [scripted] })
  const second = await host({ targets: [scripted], ledger: first.ledger })
  const agent = new Agent()
  const lost = send(first.address, { ...booking('k'), agent })
  await until(() => finish !== undefined, 'the booking to start')
  agent.destroy()
  assert.equal(await lost, undefined)
  await until(() => first.server.inFlight === 0, 'the caller to be gone')
  const early = await send(second.address, booking('k'))
  assert.deepEqual([early?.status, early?.code], [504, 'outcome_unknown'])
  finish?.()
  await until(() => first.ledger.rows.get('notes/k')?.state === 'done', 'the stored response')
  const replay = await send(second.address, booking('k'))
  assert.deepEqual([replay?.status, replay?.body, replay?.outcome], [200, '/notes/book', undefined])
  const reused = await send(second.address, booking('k', 'seat 5'))
  assert.deepEqual([reused?.status, reused?.code], [409, 'idempotency_key_reused'])
  assert.deepEqual([...scripted.runs], [['k', 1]])
})

test('a booking without a key, without the ledger or whose response was not stored is refused and does not run', async () => {
  const scripted = await target((request, response, self) => {
    self.recordRun(request)
    respond(request, response, 'x'.repeat(5000))
  })
  const router = await host({ targets: [scripted] })
  const unkeyed = await send(router.address, { method: 'POST', body: 'x' })
  assert.deepEqual(
    [unkeyed?.status, unkeyed?.code, unkeyed?.outcome],
    [400, 'idempotency_key_required', 'not-run'],
  )
  router.ledger.available = false
  const down = await send(router.address, booking('k'))
  assert.deepEqual(
    [down?.status, down?.code, down?.outcome],
    [503, 'idempotency_store_unavailable', 'not-run'],
  )
  assert.equal(scripted.receivedRequests.length, 0)
  router.ledger.available = true
  assert.equal((await send(router.address, booking('k')))?.body.length, 5000)
  const again = await send(router.address, booking('k'))
  assert.deepEqual([again?.status, again?.code], [409, 'already_completed'])
  assert.equal(scripted.runs.get('k'), 1)
})

test('a booking without a key is sent only once, even when the target refused it', async () => {
  const refuses: TargetScript = (request, response) => {
    respond(request, response, '', 503, { 'pimentotally-target-refused': 'true' })
  }
  const targets = [await target(refuses), await target(run)]
  const router = await host({ targets, services: [service({ idempotencyKey: 'optional' })] })
  const reply = await send(router.address, { method: 'POST', body: 'x' })
  assert.deepEqual([reply?.code, reply?.outcome], ['target_refused', 'not-run'])
  assert.equal(targets[1]?.receivedRequests.length, 0)
})

const megabyte = Buffer.alloc(1 << 20, 'x')

/** Responds with `megabytes` MiB, with backpressure, and counts the bytes that were handed to the socket. */
const largeResponse =
  (megabytes: number, written: { bytes: number }): TargetScript =>
  (request, response) => {
    response.writeHead(200, { 'pimentotally-request-id': String(request.headers['pimentotally-request-id']) })
    const more = (): void => {
      while (written.bytes < megabytes * megabyte.length) {
        written.bytes += megabyte.length
        if (!response.write(megabyte)) {
          response.once('drain', more)
          return
        }
      }
      response.end()
    }
    more()
  }

/** Starts a download and resolves to its paused response. */
const download = (address: string): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':')
    const request = httpRequest({ host, port, path: '/notes/big', agent: false }, resolve)
    request.on('error', reject)
    request.end()
  })

test('a download of 100 MB arrives complete without being buffered in the router', async () => {
  const written = { bytes: 0 }
  const scripted = await target(largeResponse(100, written))
  const router = await host({ targets: [scripted], services: [service({ callerStallTimeoutMs: 5000 })] })
  const response = await download(router.address)
  // The caller reads nothing yet, so the bytes that the target could write are in the buffers on the way.
  let before = -1
  while (before !== written.bytes) {
    before = written.bytes
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  assert.ok(written.bytes < 40 << 20, `${String(written.bytes)} bytes are buffered on the way`)
  let size = 0
  let peak = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    size += chunk.length
    peak = Math.max(peak, written.bytes - size)
  }
  assert.equal(size, 100 << 20)
  // The memory of the process is not measured, as it includes chunks that wait for garbage collection.
  assert.ok(peak < 40 << 20, `${String(peak)} bytes were on the way at once`)
})

test('a caller that stops reading does not hold its slot: its connection is closed, its permit released', async () => {
  const scripted = await target(largeResponse(100, { bytes: 0 }))
  const router = await host({ targets: [scripted], services: [service({ callerStallTimeoutMs: 60 })] })
  const response = await download(router.address)
  response.on('error', () => undefined)
  await until(() => router.permits.outstanding === 0, 'the release of the permit')
  assert.deepEqual(router.permits.outcomes, ['cancelled'])
  // On a busy machine a cancel can be repeated, but only for this one request.
  assert.equal(new Set(scripted.cancels).size, 1)
  response.destroy()
})

test('a graceful stop does not cut a long download, and a forced stop reports what it cut', async () => {
  let more: (() => void) | undefined
  const scripted = await target((request, response) => {
    response.writeHead(200, { 'pimentotally-request-id': String(request.headers['pimentotally-request-id']) })
    response.write('first,')
    more = () => response.end('last')
  })
  const graceful = await host({ targets: [scripted] })
  const agent = new Agent({ keepAlive: true })
  const whole = send(graceful.address, { agent })
  await until(() => graceful.server.inFlight === 1 && more !== undefined, 'the download')
  const drained = graceful.server.drain()
  assert.equal(await send(graceful.address), undefined, 'the listener is closed')
  more?.()
  assert.equal((await whole)?.body, 'first,last')
  assert.deepEqual(await drained, { cut: [] })

  more = undefined
  const forced = await host({ targets: [scripted] })
  const cut = send(forced.address)
  await until(() => more !== undefined, 'the second download')
  const force = new AbortController()
  const report = forced.server.drain({ force: force.signal })
  force.abort()
  assert.deepEqual(
    (await report).cut.map(({ service: name, method }) => [name, method]),
    [['notes', 'GET']],
  )
  assert.equal((await cut)?.isComplete ?? false, false)
})

test('responses during a graceful stop tell their callers to close the connection', async () => {
  let waiting: (() => void) | undefined
  const scripted = await target((request, response) => {
    waiting = () => {
      respond(request, response)
    }
  })
  const router = await host({ targets: [scripted] })
  const reply = send(router.address, { agent: new Agent({ keepAlive: true }) })
  await until(() => waiting !== undefined, 'the request')
  const drained = router.server.drain({ lameDuckMs: 20 })
  waiting?.()
  assert.equal((await reply)?.headers.connection, 'close')
  assert.deepEqual(await drained, { cut: [] })
})

test('a large upload arrives complete, and is not repeated after a part of it was sent', async () => {
  const sizes: number[] = []
  const reads: TargetScript = (request, response) => {
    let size = 0
    request.on('data', (chunk: Buffer) => (size += chunk.length))
    request.on('end', () => {
      sizes.push(size)
      respond(request, response, String(size))
    })
  }
  const bad = await target((request) => {
    request.once('data', () => request.socket.destroy())
  })
  const good = await target(reads)
  const longStallTimeouts = service({ callerStallTimeoutMs: 5000, stallTimeoutMs: 5000 })
  const router = await host({ targets: [good, bad], services: [longStallTimeouts] })
  const body = Buffer.alloc(900_000, 'y')
  assert.equal((await send(router.address, { method: 'PUT', body }))?.body, '900000')
  const chunked = await send(router.address, {
    method: 'PUT',
    body,
    headers: { 'transfer-encoding': 'chunked' },
  })
  assert.equal(chunked?.body, '900000')
  router.permits.choose = () => bad.address
  const failed = await send(router.address, { method: 'PUT', body })
  assert.deepEqual([failed?.status, failed?.outcome], [504, 'unknown'])
  assert.equal(router.permits.requests.length, 3)
  router.permits.choose = () => good.address
  const tooLarge = await send(router.address, {
    method: 'PUT',
    body: Buffer.alloc(1_500_000),
    headers: { 'transfer-encoding': 'chunked' },
  })
  assert.equal(tooLarge?.outcome ?? 'unknown', 'unknown', 'part of it had reached the target')
  assert.deepEqual(sizes, [900_000, 900_000])
})

test('a request whose small body stalls is refused, and nothing is sent to a target', async () => {
  const scripted = await target(run)
  const router = await host({ targets: [scripted], services: [service({ callerStallTimeoutMs: 40 })] })
  const text = await sendRaw(
    router.address,
    'PUT /notes/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf',
  )
  assert.match(text, /"code":"body_stalled","outcome":"not-run"/)
  assert.equal(scripted.receivedRequests.length, 0)
})

test('a booking is refused as not run when the ledger hangs, and a row obtained late is marked so', async () => {
  const scripted = await target(run)
  const router = await host({ targets: [scripted], services: [service({ requestTimeoutMs: 40 })] })
  let open: (() => void) | undefined
  const begin = router.ledger.begin.bind(router.ledger)
  router.ledger.begin = async (request) => {
    await new Promise<void>((resolve) => (open = resolve))
    return begin(request)
  }
  const reply = await send(router.address, booking('k'))
  assert.deepEqual([reply?.code, reply?.outcome], ['idempotency_store_unavailable', 'not-run'])
  open?.()
  await router.handler.ledgerWritesSettled()
  assert.equal(router.ledger.rows.get('notes/k')?.state, 'notRun')
  assert.equal(scripted.receivedRequests.length, 0)
})

test('an HTTP/1.0 request without a host field gets a complete response', async () => {
  const scripted = await target(run)
  const router = await host({ targets: [scripted] })
  const text = await sendRaw(router.address, 'GET /notes/1 HTTP/1.0\r\n\r\n')
  assert.match(text, /^HTTP\/1.1 200 /)
  assert.match(text, /\r\n\r\n\/notes\/1$/)
})
