import assert from 'node:assert/strict'
import { test } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { Term } from '@pimentotally/core'
import { FaultEffect, FaultSource, MemoryTable } from '@pimentotally/storage'
import { NotifyRequestSchema } from '@pimentotally/wire'
import { decodeConfiguration, encodeConfiguration } from '@pimentotally/storage'
import type { Membership } from './membership.js'
import { IdentityRefusal } from './peer-network.js'
import { MembershipSimulation, operations } from './testing.js'

test('a lost host is removed 10 s after it was last confirmed, and a leaving host is marked at once', async () => {
  // Two domains: hosts with an even index are in one, those with an odd index in the other.
  const simulation = new MembershipSimulation(41, 2)
  for (let index = 0; index < 10; index += 1) simulation.start(index)
  await simulation.time.advance(8000)
  const [first, second] = [...simulation.hosts.values()]
  second?.leave()
  await simulation.time.advance(500)
  const peerOfSecond = simulation.hosts.get('10.0.0.3:7000')
  assert.ok(peerOfSecond?.peers().some((peer) => peer.hostId === second?.self().hostId && peer.leaving))
  simulation.stop('10.0.0.0:7000')
  const peerOfFirst = simulation.hosts.get('10.0.0.2:7000')
  const knows = () => peerOfFirst?.peers().some(({ hostId }) => hostId === first?.self().hostId)
  await simulation.time.advance(5000)
  assert.ok(knows())
  await simulation.time.advance(6500)
  assert.ok(!knows())
  for (const host of simulation.hosts.values()) host.stop()
})

test('messages from and for an earlier identity are refused once a later one is known', async () => {
  const simulation = new MembershipSimulation(51, 1)
  const earlier = simulation.start(1)
  const peer = simulation.start(2)
  await simulation.time.advance(3000)
  const earlierId = earlier.self().hostId
  assert.equal(peer.peers()[0]?.hostId, earlierId)
  const later = simulation.start(1)
  await simulation.time.advance(2000)
  assert.deepEqual(
    peer.peers().map(({ hostId }) => hostId),
    [later.self().hostId],
  )
  // `self()` lacks the revision and the start time. Even a revision that the peer has not seen yet does not
  // make an earlier identity valid.
  const message = (from: Membership, to: string) =>
    create(NotifyRequestSchema, { self: { ...from.self(), revision: 9, startedAtMs: 1 }, toHostId: to })
  assert.throws(
    () => {
      peer.handleNotify(message(earlier, peer.self().hostId))
    },
    { code: IdentityRefusal.sender },
  )
  assert.throws(
    () => {
      later.handleNotify(message(peer, earlierId))
    },
    { code: IdentityRefusal.recipient },
  )
  for (const host of simulation.hosts.values()) host.stop()
})

test('a document with another SHA-256 than announced is refused, and a second document of one version is reported', () => {
  const simulation = new MembershipSimulation(61, 1)
  const host = simulation.start(1)
  const { hash, bytes } = encodeConfiguration({ version: 3, deployment: simulation.deployment, operations })
  const other = encodeConfiguration({
    version: 3,
    deployment: { ...simulation.deployment, name: 'x' },
    operations,
  })
  assert.ok(host.offerConfiguration(other.bytes, hash).isErr)
  assert.equal(host.configuration().version, 0)
  assert.ok(host.offerConfiguration(bytes, hash).isOk)
  assert.deepEqual(decodeConfiguration(bytes, hash), host.configuration())
  assert.equal(host.offerConfiguration(other.bytes, other.hash).unwrapOr(true), false)
  assert.deepEqual(host.configuration().hash, hash)
  assert.match(simulation.violations.join(), /^one document for each version/)
  host.stop()
})

test('a domain of 10 hosts reads the platform about once in 2 s, and no more than three times as often without a coordinator', async (context) => {
  for (const coordinated of [true, false]) {
    const simulation = new MembershipSimulation(71, 1)
    const seen = { reads: 0 }
    const faults = new (class extends FaultSource {
      override next() {
        seen.reads += 1
        return { effect: FaultEffect.none, delayMs: 0 }
      }
    })()
    const table = new MemoryTable({ clock: simulation.clock, faults })
    for (let index = 0; index < 10; index += 1)
      simulation.start(index, { table, objects: simulation.objects })
    await simulation.time.advance(5000)
    seen.reads = 0
    const [leader] = simulation.hosts.values()
    // The domain of a cell is the part of its id before the first slash, if any, so the name of a domain can
    // serve as a cell id.
    const { hostId = '', peerAddress = '', domain: cellId = '' } = leader?.self() ?? {}
    for (let second = 0; second < 40; second += 1) {
      if (coordinated)
        leader?.announce({
          cellId,
          term: Term.of({ epoch: 1, ballot: 1, hostSequence: 1 }),
          hostId,
          peerAddress,
        })
      await simulation.time.advance(1000)
    }
    context.diagnostic(
      `${coordinated ? 'with' : 'without'} a coordinator: ${String(seen.reads)} reads in 40 s`,
    )
    assert.ok(seen.reads >= 15 && seen.reads <= (coordinated ? 25 : 60), `${String(seen.reads)} reads`)
    for (const host of simulation.hosts.values()) host.stop()
  }
})

test('a coordinator whose host refuses connections counts as never heard from until it is heard from again', () => {
  const simulation = new MembershipSimulation(72, 1)
  const host = simulation.start(0)
  const { domain: cellId, hostId, peerAddress } = host.self()
  const info = { cellId, term: Term.of({ epoch: 1, ballot: 1, hostSequence: 1 }), hostId, peerAddress }
  const notifiedTerms: string[] = []
  host.onCoordinator(({ term }) => notifiedTerms.push(term))
  host.announce(info)
  host.markCoordinatorUnreachable(info)
  assert.equal(host.coordinator(cellId)?.heardAgoMs, Infinity)
  host.markCoordinatorUnreachable(info)
  assert.equal(
    notifiedTerms.length,
    2,
    'listeners are called once for the new coordinator and once for its loss',
  )
  host.confirmCoordinator(info, 50)
  assert.ok((host.coordinator(cellId)?.heardAgoMs ?? Infinity) < 100)
  host.stop()
})
