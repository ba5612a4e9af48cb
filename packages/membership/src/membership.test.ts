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

test('a lost host is forgotten 10 s after its last sign of life, a leaving one is marked at once', async () => {
  const fleet = new MembershipSimulation(41, 2)
  for (let index = 0; index < 10; index += 1) fleet.start(index)
  await fleet.time.advance(8000)
  const [first, second] = [...fleet.hosts.values()]
  second?.leave()
  await fleet.time.advance(500)
  const watcher = fleet.hosts.get('10.0.0.3:7000')
  assert.ok(watcher?.peers().some((peer) => peer.hostId === second?.self().hostId && peer.leaving))
  fleet.stop('10.0.0.0:7000')
  const near = fleet.hosts.get('10.0.0.2:7000')
  const knows = () => near?.peers().some(({ hostId }) => hostId === first?.self().hostId)
  await fleet.time.advance(5000)
  assert.ok(knows())
  await fleet.time.advance(6500)
  assert.ok(!knows())
  for (const host of fleet.hosts.values()) host.stop()
})

test('an earlier identity neither gets nor gives messages once a later one is known', async () => {
  const fleet = new MembershipSimulation(51, 1)
  const old = fleet.start(1)
  const peer = fleet.start(2)
  await fleet.time.advance(3000)
  const oldId = old.self().hostId
  assert.equal(peer.peers()[0]?.hostId, oldId)
  const now = fleet.start(1)
  await fleet.time.advance(2000)
  assert.deepEqual(
    peer.peers().map(({ hostId }) => hostId),
    [now.self().hostId],
  )
  const message = (from: Membership, to: string) =>
    create(NotifyRequestSchema, { self: { ...from.self(), revision: 9, startedAtMs: 1 }, toHostId: to })
  assert.throws(
    () => {
      peer.handleNotify(message(old, peer.self().hostId))
    },
    { code: IdentityRefusal.sender },
  )
  assert.throws(
    () => {
      now.handleNotify(message(peer, oldId))
    },
    { code: IdentityRefusal.recipient },
  )
  for (const host of fleet.hosts.values()) host.stop()
})

test('a document whose SHA-256 is not the announced one is refused, and a second one of a version is reported', () => {
  const fleet = new MembershipSimulation(61, 1)
  const host = fleet.start(1)
  const { hash, bytes } = encodeConfiguration({ version: 3, deployment: fleet.deployment, operations })
  const forged = encodeConfiguration({
    version: 3,
    deployment: { ...fleet.deployment, name: 'x' },
    operations,
  })
  assert.ok(host.offerConfiguration(forged.bytes, hash).isErr)
  assert.equal(host.configuration().version, 0)
  assert.ok(host.offerConfiguration(bytes, hash).isOk)
  assert.deepEqual(decodeConfiguration(bytes, hash), host.configuration())
  assert.equal(host.offerConfiguration(forged.bytes, forged.hash).unwrapOr(true), false)
  assert.deepEqual(host.configuration().hash, hash)
  assert.match(fleet.violations.join(), /^one document for each version/)
  host.stop()
})

test('the domain reads the platform once in 2 s, through its coordinator or at about that rate without one', async (context) => {
  for (const coordinated of [true, false]) {
    const fleet = new MembershipSimulation(71, 1)
    const seen = { reads: 0 }
    const faults = new (class extends FaultSource {
      override next() {
        seen.reads += 1
        return { effect: FaultEffect.none, delayMs: 0 }
      }
    })()
    const table = new MemoryTable({ clock: fleet.clock, faults })
    for (let index = 0; index < 10; index += 1) fleet.start(index, { table, objects: fleet.objects })
    await fleet.time.advance(5000)
    seen.reads = 0
    const [leader] = fleet.hosts.values()
    const { hostId = '', peerAddress = '', domain: cellId = '' } = leader?.self() ?? {}
    for (let second = 0; second < 40; second += 1) {
      if (coordinated)
        leader?.announce({
          cellId,
          term: Term.of({ epoch: 1, ballot: 1, hostSequence: 1 }),
          hostId,
          peerAddress,
        })
      await fleet.time.advance(1000)
    }
    context.diagnostic(
      `${coordinated ? 'with' : 'without'} a coordinator: ${String(seen.reads)} reads in 40 s`,
    )
    assert.ok(seen.reads >= 15 && seen.reads <= (coordinated ? 25 : 60), `${String(seen.reads)} reads`)
    for (const host of fleet.hosts.values()) host.stop()
  }
})

test('a coordinator whose host refuses connections counts as silent until there is another sign of life', () => {
  const fleet = new MembershipSimulation(72, 1)
  const host = fleet.start(0)
  const { domain: cellId, hostId, peerAddress } = host.self()
  const info = { cellId, term: Term.of({ epoch: 1, ballot: 1, hostSequence: 1 }), hostId, peerAddress }
  const told: string[] = []
  host.onCoordinator(({ term }) => told.push(term))
  host.announce(info)
  host.markCoordinatorUnreachable(info)
  assert.equal(host.coordinator(cellId)?.heardAgoMs, Infinity)
  host.markCoordinatorUnreachable(info)
  assert.equal(told.length, 2, 'followers are woken once for the news and once for the loss')
  host.confirmCoordinator(info, 50)
  assert.ok((host.coordinator(cellId)?.heardAgoMs ?? Infinity) < 100)
  host.stop()
})
