import assert from 'node:assert/strict'
import { test } from 'node:test'
import { respond, cell, run, send, service, until } from './fixtures.js'
import { type HostOptions, type TestHost, useTestHosts } from './test-host.js'

const { target, host } = useTestHosts()

const hedging = async (options: HostOptions): Promise<TestHost> => {
  const router = await host(options)
  router.permits.hedgeAfterMs = 10
  return router
}

test('a hedge answers for a straggler, whose permit waits for the confirmed cancel', async () => {
  const straggler = await target(() => undefined)
  straggler.cancelStatus = 500
  const quick = await target(run)
  const router = await hedging({
    targets: [straggler, quick],
    services: [service({ requestTimeoutMs: 60_000 })],
  })
  assert.equal((await send(router.address))?.body, '/notes/1')
  assert.deepEqual(
    router.permits.requests.map(({ attempt, excludedTargets }) => [attempt, excludedTargets.length]),
    [
      ['first', 0],
      ['hedge', 1],
    ],
  )
  await until(() => straggler.cancels.length > 1, 'the cancel')
  assert.deepEqual(router.permits.outcomes, ['ok'], 'the straggler may still hold its slot')
  straggler.cancelStatus = 200
  await until(() => router.permits.outstanding === 0, 'the release')
  assert.deepEqual(router.permits.outcomes, ['ok', 'cancelled'])
})

test('a keyed request is hedged on the owner over a fresh connection, which covers a silent one', async () => {
  const connections = new Set<unknown>()
  const owner = await target((request, response) => {
    const reused = connections.has(request.socket)
    connections.add(request.socket)
    if (!reused) respond(request, response)
  })
  const keyed = service({ keyed: { shardCount: 4, source: { kind: 'pathSegment', index: 0 } } })
  const router = await hedging({ targets: [owner], services: [keyed] })
  router.directory.cellList = [cell('a', { notes: 4 })]
  // A hedge of the first request would leave another connection than the one that falls silent.
  router.permits.hedgeAfterMs = undefined
  assert.equal((await send(router.address))?.status, 200)
  router.permits.hedgeAfterMs = 10
  assert.equal((await send(router.address))?.status, 200, 'the reused connection was silent')
  assert.equal(router.permits.requests.at(-1)?.attempt, 'hedge')
})

test('bookings and requests with a body are never hedged', async () => {
  const slow = await target((request, response) => {
    setTimeout(() => {
      respond(request, response)
    }, 40)
  })
  const router = await hedging({ targets: [slow, await target(run)] })
  await send(router.address, { method: 'POST', headers: { 'idempotency-key': 'k' } })
  await send(router.address, { method: 'PUT', body: 'x' })
  assert.deepEqual(
    router.permits.requests.map(({ attempt }) => attempt),
    ['first', 'first'],
  )
})

test('when the first attempt fails while its hedge runs, the hedge decides', async () => {
  const fails = await target((_request, response) => setTimeout(() => response.socket?.destroy(), 30))
  const slow = await target((request, response) => {
    setTimeout(() => {
      respond(request, response, 'from the hedge')
    }, 60)
  })
  const router = await hedging({ targets: [fails, slow] })
  assert.equal((await send(router.address))?.body, 'from the hedge')
  assert.equal(router.permits.requests.length, 2)
  await until(() => router.permits.outstanding === 0, 'the permits')
})
