import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { Agent, request as httpRequest, type IncomingHttpHeaders } from 'node:http'
import { createInterface } from 'node:readline'
import { afterEach, test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { Random, SystemClock } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { TargetServer, type TargetServerOptions } from './target-server.js'
import type { TargetRecord } from './target-settings.js'

const open: TargetServer[] = []
afterEach(() => {
  for (const server of open.splice(0)) server.close()
})

interface TestResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  readonly isComplete: boolean
}

/** Sends a request; resolves to undefined when the connection ended before a response. */
const send = (
  address: string,
  route: string,
  headers: Record<string, string> = {},
  { body, agent }: { body?: unknown; agent?: Agent } = {},
): Promise<TestResponse | undefined> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':')
    const [method, path] = route.split(' ')
    const request = httpRequest({ host, port, method, path, headers, agent: agent ?? false })
    request.on('error', () => {
      resolve(undefined)
    })
    request.on('response', (response) => {
      let text = ''
      response.on('error', () => undefined).on('data', (chunk: Buffer) => (text += chunk.toString()))
      response.on('close', () => {
        const { statusCode: status = 0, complete: isComplete } = response
        resolve({ status, headers: response.headers, body: text, isComplete })
      })
    })
    request.end(body === undefined ? undefined : JSON.stringify(body))
  })

const start = async (
  over: Partial<TargetServerOptions> = {},
): Promise<{ server: TargetServer; address: string; adminAddress: string; time: VirtualTime }> => {
  const time = new VirtualTime()
  const options = { name: 't1', service: 'notes', clock: time.clock(), random: new Random(1), ...over }
  const server = new TargetServer(options)
  open.push(server)
  return { server, time, ...(await server.listen()) }
}

/** Waits in real time until the condition holds, so that sockets can deliver their bytes. */
const until = async (condition: () => boolean): Promise<void> => {
  for (let tries = 0; !condition(); tries += 1) {
    if (tries > 1000) throw new Error('the condition did not hold in time')
    await new Promise((resolve) => setTimeout(resolve, 2))
  }
}

test('requests for which no slot is free are refused before they start, and counted in the record', async () => {
  const { server, address, adminAddress, time } = await start({ behaviour: { slots: 2 } })
  const sent = [1, 2, 3].map((number) =>
    send(address, 'POST /notes/a', { 'idempotency-key': 'k', 'pimentotally-request-id': String(number) }),
  )
  await until(() => server.record.mostAtOnce === 3)
  await time.advance(1)
  const replies = await Promise.all(sent)
  assert.deepEqual(replies.map((reply) => reply?.status).sort(), [200, 200, 503])
  assert.deepEqual(
    new Set(replies.map((reply) => reply?.headers['pimentotally-request-id'])),
    new Set(['1', '2', '3']),
  )
  const refused = replies.find((reply) => reply?.status === 503)
  assert.equal(refused?.headers['pimentotally-target-refused'], 'true')
  const record = JSON.parse((await send(adminAddress, 'GET /record'))?.body ?? '') as TargetRecord
  assert.deepEqual(
    [record.runs.k, record.refusals.no_slot, record.mostAtOnce, record.mostRunning],
    [2, 1, 3, 2],
  )
})

test('cancelling a request ends it at once, and cancelling an unknown one gives 404', async () => {
  const { server, address } = await start()
  const pending = send(address, 'GET /notes/a', { 'pimentotally-request-id': 'r1' })
  await until(() => server.inFlight === 1)
  assert.equal((await send(address, 'DELETE /requests/r1'))?.status, 200)
  assert.equal((await pending)?.status, 499)
  assert.equal((await send(address, 'DELETE /requests/r1'))?.status, 404)
})

test('a run that is longer than the deadline of its request ends at the deadline with 504', async () => {
  const { server, address, time } = await start({ behaviour: { serviceTime: { kind: 'fixed', ms: 50 } } })
  const pending = send(address, 'GET /notes/a', { 'pimentotally-deadline-ms': '10' })
  await until(() => server.inFlight === 1)
  await time.advance(10)
  assert.equal((await pending)?.status, 504)
})

test('a cold target is slower, and fails requests beyond its cold slots with 500', async () => {
  const { server, address, time } = await start({ coldMs: 1000, behaviour: { coldFactor: 4 } })
  const first = send(address, 'GET /notes/a')
  await until(() => server.inFlight === 1)
  assert.equal((await send(address, 'GET /notes/a'))?.status, 500)
  await time.advance(3)
  assert.equal(server.inFlight, 1, 'one millisecond of work takes four')
  await time.advance(1)
  assert.equal((await first)?.status, 200)
})

test('a target that drains or whose grant checker rejects a request refuses it with the reason', async () => {
  const { server, address } = await start({
    createGrantChecker: () => ({
      handle: () => ({ accepted: false }),
      check: ({ fence, shard }) =>
        fence === 'f2' && shard === 7 ? { ok: true } : { ok: false, reason: 'fence_too_low' },
    }),
  })
  const stale = await send(address, 'GET /notes/a', { 'pimentotally-fence': 'f1', 'pimentotally-shard': '7' })
  assert.deepEqual([stale?.status, stale?.body], [503, '{"reason":"fence_too_low"}'])
  assert.equal((await send(address, 'POST /grants', {}, { body: {} }))?.body, '{"accepted":false}')
  await send(address, 'POST /drain')
  assert.equal((await send(address, 'GET /notes/a'))?.body, '{"reason":"draining"}')
  assert.deepEqual(server.record.refusals, { fence_too_low: 1, draining: 1 })
  assert.deepEqual(server.record.runs, {})
})

test('the admin listener changes the faults of a running target', async () => {
  const { server, address, adminAddress } = await start({ clock: new SystemClock() })
  await send(address, 'GET /notes/a', { 'pimentotally-request-id': 'r0', 'pimentotally-fence': 'f1' })
  const setBehaviour = (behaviour: unknown): Promise<unknown> =>
    send(adminAddress, 'POST /behaviour', {}, { body: behaviour })
  await setBehaviour({ crossAnswer: 1 })
  const crossed = await send(address, 'GET /notes/a', { 'pimentotally-request-id': 'r1' })
  assert.equal(crossed?.headers['pimentotally-request-id'], 'r0')
  await setBehaviour({ crossAnswer: 0, truncateBody: 1 })
  assert.equal((await send(address, 'GET /notes/a'))?.isComplete, false)
  await setBehaviour({ truncateBody: 0 })
  assert.equal((await send(address, 'GET /notes/a/big?bytes=200000'))?.body.length, 200_000)
  assert.deepEqual(
    server.record.fences.a?.map(({ fence }) => fence),
    ['f1'],
  )
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  await send(address, 'GET /notes/a', {}, { agent })
  await send(adminAddress, 'POST /silence')
  let answered = false
  void send(address, 'GET /notes/a', {}, { agent }).then((reply) => (answered = reply !== undefined))
  assert.equal((await send(address, 'GET /notes/a'))?.status, 200, 'new connections work')
  assert.equal(answered, false)
  agent.destroy()
})

test('load reports give the load of `loadLagMs` ago times `loadFactor`', async () => {
  const { server, address, time } = await start({
    behaviour: { loadLagMs: 100, loadFactor: 2, serviceTime: { kind: 'fixed', ms: 500 } },
  })
  const pending = send(address, 'GET /notes/a')
  await until(() => server.inFlight === 1)
  assert.deepEqual(JSON.parse((await send(address, 'GET /load'))?.body ?? ''), {
    inFlight: 0,
    queued: 0,
    reportAgeMs: 100,
  })
  await time.advance(100)
  assert.equal(
    (JSON.parse((await send(address, 'GET /load'))?.body ?? '') as { inFlight: number }).inFlight,
    2,
  )
  await time.advance(500)
  await pending
})

test('the process prints its addresses, exits with 0 on SIGTERM and with 1 on a request with x-crash', async () => {
  const main = fileURLToPath(new URL('target-main.js', import.meta.url))
  const spawned = async (): Promise<{ address: string; exited: Promise<unknown[]>; stop: () => void }> => {
    const child = spawn(process.execPath, [main, '--name', 't1', '--service', 'notes'])
    const [line] = (await once(createInterface(child.stdout), 'line')) as [string]
    const ready = JSON.parse(line) as { event: string; address: string }
    assert.equal(ready.event, 'listening')
    return { address: ready.address, exited: once(child, 'exit'), stop: () => child.kill('SIGTERM') }
  }
  const crashing = await spawned()
  assert.equal(await send(crashing.address, 'GET /notes/a', { 'x-crash': '1' }), undefined)
  assert.deepEqual(await crashing.exited, [1, null])
  const stopped = await spawned()
  assert.equal((await send(stopped.address, 'GET /health'))?.status, 200)
  stopped.stop()
  assert.deepEqual(await stopped.exited, [0, null])
})
