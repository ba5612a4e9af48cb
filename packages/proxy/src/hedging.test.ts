import assert from 'node:assert/strict'
import { test } from 'node:test'
import { respond, cell, run, send, service, until } from './fixtures.js'
import { type HostOptions, type TestHost, useTestHosts } from './test-host.js'

const { target, host } = useTestHosts()

const hostWithHedging = async (options: HostOptions): Promise<TestHost> => {
  const router = await host(options)
  router.permits.hedgeAfterMs = 10
  return router
}

test('a hedge responds in place of a slow target, whose permit is kept until its cancel is confirmed', async () => {
  const slowTarget = await target(() => undefined)
  slowTarget.cancelStatus = 500
  const quick = await target(run)
  const router = await hostWithHedging({
    targets: [slowTarget, quick],
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
  await until(() => slowTarget.cancels.length > 1, 'the cancel')
  assert.deepEqual(
    router.permits.outcomes,
    ['ok'],
    'the slow target may still be running the request in its slot',
  )
  slowTarget.cancelStatus = 200
  await until(() => router.permits.outstanding === 0, 'the release')
  assert.deepEqual(router.permits.outcomes, ['ok', 'cancelled'])
})

test('a keyed request on a dead connection is hedged at its owner over a new connection', async () => {
  const connections = new Set<unknown>()
  const owner = await target((request, response) => {
    const reused = connections.has(request.socket)
    connections.add(request.socket)
    if (!reused) respond(request, response)
  })
  const keyed = service({ keyed: { shardCount: 4, source: { kind: 'pathSegment', index: 0 } } })
  const router = await hostWithHedging({ targets: [owner], services: [keyed] })
  router.directory.cellList = [cell('a', { notes: 4 })]
  // A hedge of the first request would leave an idle connection other than the one that gets no response.
  router.permits.hedgeAfterMs = undefined
  assert.equal((await send(router.address))?.status, 200)
  router.permits.hedgeAfterMs = 10
  assert.equal((await send(router.address))?.status, 200, 'the reused connection gave no response')
  assert.equal(router.permits.requests.at(-1)?.attempt, 'hedge')
})

test('bookings and requests with a body are not hedged', async () => {
  const slow = await target((request, response) => {
    setTimeout(() => {
      respond(request, response)
    }, 40)
  })
  const router = await hostWithHedging({ targets: [slow, await target(run)] })
  await send(router.address, { method: 'POST', headers: { 'idempotency-key': 'k' } })
  await send(router.address, { method: 'PUT', body: 'x' })
  assert.deepEqual(
    router.permits.requests.map(({ attempt }) => attempt),
    ['first', 'first'],
  )
})

test('when the first attempt fails while its hedge is running, the caller gets the response of the hedge', async () => {
  const fails = await target((_request, response) => setTimeout(() => response.socket?.destroy(), 30))
  const slow = await target((request, response) => {
    setTimeout(() => {
      respond(request, response, 'from the hedge')
    }, 60)
  })
  const router = await hostWithHedging({ targets: [fails, slow] })
  assert.equal((await send(router.address))?.body, 'from the hedge')
  assert.equal(router.permits.requests.length, 2)
  await until(() => router.permits.outstanding === 0, 'the permits')
})
