import assert from 'node:assert/strict'
import { test } from 'node:test'
import { shardOf } from '@pimentotally/core'
import { respond, cell, run, type TargetScript, send, service } from './fixtures.js'
import { useTestHosts } from './test-host.js'

const { target, host } = useTestHosts()

const keyed = service({ keyed: { shardCount: 16, source: { kind: 'pathSegment', index: 0 } } })

test('a request for a key of another domain is served there, and no target sees the peer secret', async () => {
  const scripted = await target(run)
  const [here, there] = [
    await host({ domain: 'a', services: [keyed] }),
    await host({ domain: 'b', services: [keyed], targets: [scripted] }),
  ]
  for (const router of [here, there]) router.directory.cellList = [cell('b', { notes: 16 })]
  here.addPeer(there)
  const reply = await send(here.address, { path: '/notes/k%31/x' })
  assert.equal(reply?.body, '/notes/k%31/x')
  const got = scripted.receivedRequests[0]?.headers ?? {}
  assert.equal(got['pimentotally-shard'], String(shardOf('notes', 'k1', 16)), 'the key is decoded')
  assert.equal(JSON.stringify(got).includes('secret'), false)
  assert.equal(here.permits.requests.length, 0)
  const booked = await send(here.address, {
    method: 'POST',
    path: '/notes/k1',
    headers: { 'idempotency-key': 'k' },
  })
  assert.equal(booked?.status, 200)
  assert.equal(
    there.ledger.rows.get('notes/k')?.state,
    'done',
    'the host that uses the permit keeps the record',
  )
})

test('a request for a key whose domain cannot be reached is refused as not run', async () => {
  const here = await host({ domain: 'a', services: [keyed] })
  here.directory.cellList = [cell('b', { notes: 16 })]
  const alone = await send(here.address)
  assert.deepEqual([alone?.status, alone?.code, alone?.outcome], [503, 'owner_unreachable', 'not-run'])
  const there = await host({ domain: 'b', services: [keyed] })
  here.addPeer(there)
  await there.forwardServer.drain()
  assert.equal((await send(here.address))?.code, 'owner_unreachable')
})

test('hosts that disagree about a home cell do not forward a request in a loop or over more than two hops', async () => {
  const hosts = [
    await host({ domain: 'a', services: [keyed] }),
    await host({ domain: 'b', services: [keyed] }),
    await host({ domain: 'c', services: [keyed] }),
    await host({ domain: 'd', services: [keyed] }),
  ]
  // Each host takes the domain of the next one for the home of every shard, and the last one that of the
  // first.
  hosts.forEach((router, index) => {
    const next = hosts[(index + 1) % hosts.length]
    if (next === undefined) return
    router.directory.cellList = [cell(next.directory.self().domain, { notes: 16 })]
    router.addPeer(next)
  })
  const first = hosts[0]?.address ?? ''
  const reply = await send(first)
  assert.deepEqual([reply?.status, reply?.code, reply?.outcome], [421, 'too_many_hops', 'not-run'])
  const [a, b] = hosts
  if (a === undefined || b === undefined) return
  b.directory.cellList = [cell('a', { notes: 16 }, 2)]
  b.addPeer(a)
  await new Promise((resolve) => setTimeout(resolve, 25))
  const loop = await send(first)
  assert.deepEqual(
    [loop?.code, loop?.outcome],
    ['owner_unreachable', 'not-run'],
    'a visited host is not tried',
  )
})

test('an unkeyed request without local capacity, or in a domain that is out, is served by another domain', async () => {
  const scripted = await target(run)
  const here = await host({ domain: 'a', targetDomains: ['a', 'b'] })
  const there = await host({ domain: 'b', targetDomains: ['a', 'b'], targets: [scripted] })
  here.addPeer(there)
  assert.equal((await send(here.address))?.status, 200)
  assert.equal(here.permits.requests.length, 1)
  here.directory.settings = {
    ...here.directory.settings,
    version: 2,
    operations: { domains: { a: 'out' }, drainingTargets: [] },
  }
  assert.equal((await send(here.address))?.status, 200)
  assert.equal(here.permits.requests.length, 1, 'no permit is requested in a domain that is out')
})

test('a forwarded request is repeated only by the first host, and only after the outcome "not run"', async () => {
  let refusals = 0
  const refuses: TargetScript = (request, response) => {
    refusals += 1
    respond(request, response, '', 503, { 'pimentotally-target-refused': 'true' })
  }
  const [busy, lost, good] = [
    await target(refuses),
    await target((_request, response) => response.socket?.destroy()),
    await target(run),
  ]
  const first = await host({ domain: 'a', targetDomains: ['b'] })
  const second = await host({ domain: 'b', targets: [busy, good] })
  const third = await host({ domain: 'b', targets: [good] })
  first.addPeer(second)
  const refused = await send(first.address)
  assert.deepEqual([refused?.code, refused?.outcome], ['target_refused', 'not-run'])
  assert.equal(refusals, 1, 'the second host did not repeat it')
  first.directory.peerList = []
  first.addPeer(second)
  first.addPeer(third)
  for (let count = 0; count < 6; count += 1) assert.equal((await send(first.address))?.status, 200)
  assert.ok(third.permits.requests.some(({ attempt }) => attempt === 'retry'))
  second.permits.choose = () => lost.address
  first.directory.peerList = []
  first.addPeer(second)
  const unknown = await send(first.address)
  assert.deepEqual([unknown?.status, unknown?.outcome, unknown?.code], [504, 'unknown', 'connection_lost'])
  assert.equal(lost.receivedRequests.length, 1)
})

test('a forwarded request with a wrong peer secret is refused, and the response does not repeat the secret', async () => {
  const scripted = await target(run)
  const router = await host({ targets: [scripted] })
  const reply = await send(router.forwardAddress, {
    headers: {
      'pimentotally-peer-secret': 'guess-7f',
      'pimentotally-hops': '1',
      'pimentotally-request-id': 'x',
      'pimentotally-deadline-ms': '100',
      'pimentotally-attempt': 'first',
    },
  })
  assert.deepEqual([reply?.status, reply?.code], [400, 'peer_secret_not_accepted'])
  assert.equal(reply?.body.includes('guess-7f'), false)
  assert.equal(scripted.receivedRequests.length, 0)
})

test('after a transfer, an outdated cell record that still claims a shard does not misroute its requests', async () => {
  const scripted = await target(run)
  const router = await host({ domain: 'b', services: [keyed], targets: [scripted] })
  const old = cell('a', { notes: 16 })
  const shards = old.record.homes.notes?.shards ?? ''
  const leaving = { ...old, record: { ...old.record, leaving: [{ service: 'notes', shards, toCell: 'b' }] } }
  router.directory.cellList = [cell('b', { notes: 16 }), leaving]
  assert.equal((await send(router.address))?.status, 200)
})

test('a host that knows no coordinator forwards a request for its own domain to a peer host that does', async () => {
  const scripted = await target(run)
  const here = await host({ domain: 'a', services: [keyed] })
  const there = await host({ domain: 'a', services: [keyed], targets: [scripted] })
  for (const router of [here, there]) router.directory.cellList = [cell('a', { notes: 16 })]
  here.permits.choose = () => ({ code: 'no_coordinator', message: 'none is known' })
  const alone = await send(here.address)
  assert.deepEqual([alone?.status, alone?.code, alone?.outcome], [503, 'no_coordinator', 'not-run'])
  here.directory.peerList.push({
    ...there.directory.self(),
    hostId: 'host-a2',
    forwardAddress: there.forwardAddress,
  })
  Object.assign(there.directory.self(), { hostId: 'host-a2' })
  assert.equal((await send(here.address))?.status, 200)
})
