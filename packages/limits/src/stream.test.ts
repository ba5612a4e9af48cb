/**
 * Client and pool over real HTTP/2 streams on loopback. Guards the conversion of messages and the end of a
 * stream.
 */
import assert from 'node:assert/strict'
import { type TestContext, test } from 'node:test'
import {
  type CoordinatorInfo,
  type PermitReport,
  Random,
  SilentLogger,
  SystemClock,
  ThrowingInvariantReporter,
} from '@pimentotally/core'
import { PeerClients, PeerService, requirePeerSecret, type RunningServer, serveRpc } from '@pimentotally/wire'
import { StreamChannel } from './channel.js'
import { PermitClient } from './client.js'
import { PermitPool } from './pool.js'
import { permitStreamHandler } from './stream.js'
import { configurationOf, FakeAuthority, request, serviceSpec, termOf } from './testing.js'
import { FakeDirectory } from './testing-network.js'

const clock = new SystemClock()
const logger = new SilentLogger()
const never = new AbortController().signal
const ok: PermitReport = { outcome: 'ok', latencyMs: 3 }

interface Coordinator {
  readonly pool: PermitPool
  readonly server: RunningServer
  readonly info: CoordinatorInfo
}

const coordinator = async (context: TestContext, ballot: number, earlier: string[]): Promise<Coordinator> => {
  const configuration = configurationOf([serviceSpec({ name: 'prices' })], { prices: 1 })
  const authority = new FakeAuthority()
  const term = termOf(ballot)
  authority.held = term
  const pool = new PermitPool({
    cellId: 'north',
    clock,
    random: new Random(1),
    authority,
    configuration: () => configuration,
    hosts: () => ['a', 'b'],
    invariants: new ThrowingInvariantReporter(),
    logger,
  })
  pool.targetAnswered('prices-1', { instanceId: 'one', uptimeMs: 60_000 })
  pool.startTerm(term, earlier)
  const server = await serveRpc({
    routes: (router) =>
      router.rpc(
        PeerService.method.permits,
        permitStreamHandler(() => pool, { clock, logger }),
      ),
    interceptors: [requirePeerSecret(['secret'])],
    host: '127.0.0.1',
    port: 0,
  })
  context.after(async () => {
    pool.close()
    await server.close()
  })
  const hostId = `coordinator-${String(ballot)}`
  return { pool, server, info: { cellId: 'north', term, hostId, peerAddress: server.address } }
}

const until = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5))
}

test('permits stay valid when the coordinator is lost, and are counted and released at the next one', async (context) => {
  const first = await coordinator(context, 1, [])
  const directory = new FakeDirectory()
  const clients = new PeerClients({ credential: 'secret', hostId: 'a' })
  const client = new PermitClient({
    cellId: 'north',
    hostId: 'a',
    clock,
    random: new Random(2),
    directory,
    channel: new StreamChannel({ clients, clock, logger }),
    logger,
  })
  context.after(() => {
    client.close()
    clients.close()
  })
  directory.setCoordinator(first.info)
  const results = await Promise.all(
    Array.from({ length: 4 }, () => client.acquire(request({ deadlineMs: 20_000 }), never)),
  )
  const permits = results.map((result) => {
    assert.ok(result.isOk)
    return result.value
  })
  assert.ok(permits.every((permit) => client.isUsable(permit) && permit.address === '127.0.0.1:9000'))
  assert.equal(first.pool.inspect()[0]?.inFlight, 4)
  assert.deepEqual(
    client.heldPermits().map(({ permitId }) => permitId),
    permits.map(({ permitId }) => permitId),
  )
  const unanswered = client.acquire(request({ deadlineMs: 20_000 }), never)
  await until(() => first.pool.counters().waiting === 1)

  const second = await coordinator(context, 2, ['a'])
  assert.equal(second.pool.inspect()[0]?.reserved, 4)
  await first.server.close()
  directory.setCoordinator(second.info)
  await until(() => second.pool.counters().waiting === 1)
  assert.equal(second.pool.inspect()[0]?.inFlight, 4)
  assert.equal(second.pool.inspect()[0]?.reserved, 0)
  for (const permit of permits) client.release(permit, ok)
  const repeated = await unanswered
  assert.ok(repeated.isOk && repeated.value.term === second.info.term)
  client.release(repeated.value, ok)
  await until(() => second.pool.inspect()[0]?.inFlight === 0)
})
