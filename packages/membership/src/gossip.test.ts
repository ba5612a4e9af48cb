import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Fence, Term, VoterKind } from '@pimentotally/core'
import { currentConfigurationKey } from '@pimentotally/storage'
import type { Membership, MembershipOptions } from './membership.js'
import { MembershipSimulation } from './testing.js'

/** Random one-way cuts, restarts, racing applies, terms, epochs and fences for 40 s of virtual time. */
const disturb = async (
  fleet: MembershipSimulation,
  hostCount: number,
  withPlatform: Partial<MembershipOptions>,
) => {
  const { random, peerNetwork: fabric } = fleet
  const highestTerm = new Map<string, string>()
  let ballot = 0
  for (let step = 0; step < 80; step += 1) {
    const cuts = new Set<string>()
    for (let cut = 0; cut < 150; cut += 1) {
      cuts.add(
        `10.0.0.${String(random.integer(hostCount))}:7000>10.0.0.${String(random.integer(hostCount))}:7000`,
      )
    }
    fabric.isDelivered = (from, to) => !cuts.has(`${from}>${to}`)
    if (random.float() < 0.3) void Promise.all([fleet.apply('a'), fleet.apply('b')])
    if (random.float() < 0.3) fleet.start(random.integer(hostCount), withPlatform)
    const host = random.pick([...fleet.hosts.values()])
    if (host !== undefined && random.float() < 0.4) {
      ballot += 1
      const { hostId, peerAddress, domain } = host.self()
      const term = Term.of({ epoch: ballot, ballot, hostSequence: 1 })
      host.announce({ cellId: domain, term, hostId, peerAddress })
      const record = { epoch: ballot, voters: { kind: VoterKind.host, ids: [] }, homes: {}, leaving: [] }
      const assignmentFence = Fence.of(term, 1)
      host.offerCell({
        cellId: domain,
        record,
        assignment: `{"fence":"${assignmentFence}"}`,
        assignmentFence,
      })
    }
    await fleet.time.advance(500)
    for (const member of fleet.hosts.values()) {
      for (const cellId of fleet.domains) {
        const at = `${member.self().hostId} ${cellId}`
        const term = member.coordinator(cellId)?.info.term ?? ''
        assert.ok(term >= (highestTerm.get(at) ?? ''), `term of ${at} fell`)
        highestTerm.set(at, term)
      }
    }
  }
  fabric.isDelivered = () => true
}

for (const seed of [11, 12, 13]) {
  test(`versions and terms never revert and converge in 9 s after cuts, restarts and races (seed ${String(seed)})`, async (context) => {
    const fleet = new MembershipSimulation(seed, 3)
    fleet.faults.policy = { ...fleet.faults.policy, maxDelayMs: 200, unavailable: 0.3, loseAnswer: 0.2 }
    const withPlatform = { table: fleet.table, objects: fleet.objects }
    for (let index = 0; index < 30; index += 1) fleet.start(index, withPlatform)
    await disturb(fleet, 30, withPlatform)
    fleet.faults.policy = { ...fleet.faults.policy, unavailable: 0, loseAnswer: 0 }
    void fleet.apply('last')
    await fleet.time.advance(1000)
    fleet.faults.policy = { ...fleet.faults.policy, maxDelayMs: 0 }
    const stored = (await fleet.table.read(currentConfigurationKey)).unwrapOr(undefined)
    const newest = (JSON.parse(stored?.value ?? '{}') as { version: number }).version
    let tookMs = 1000
    const all = [...fleet.hosts.values()]
    while (tookMs < 9000 && !all.every((host) => host.configuration().version === newest)) {
      await fleet.time.advance(100)
      tookMs += 100
    }
    context.diagnostic(
      `version ${String(newest)} in force on 30 hosts ${String(tookMs)} ms or less after the cuts ended`,
    )
    assert.deepEqual(new Set(all.map((host) => host.configuration().version)), new Set([newest]))
    await fleet.time.advance(9000 - tookMs)
    for (const domain of fleet.domains) {
      const views = all.map((host) =>
        JSON.stringify([host.coordinator(domain)?.info, recordOf(host, domain)]),
      )
      assert.equal(new Set(views).size, 1, `coordinator or record of ${domain} differs`)
      const inside = all.filter((host) => host.self().domain === domain)
      assert.equal(new Set(inside.map((host) => JSON.stringify(cellOf(host, domain)))).size, 1)
      for (const host of inside) assert.equal(host.peers(domain).length, 9)
    }
    assert.deepEqual(fleet.violations, [])
    for (const host of all) host.stop()
  })
}

const cellOf = (host: Membership, cellId: string) => host.cells().find((cell) => cell.cellId === cellId)

test('domains that forgot each other during a long partition find each other and the newest version in 9 s', async () => {
  const fleet = new MembershipSimulation(31, 3)
  for (let index = 0; index < 12; index += 1) {
    // Only one domain reaches the platform, and no seed leads into another domain.
    const own = `10.0.0.${String(index % 3)}:7000`
    const platform = index % 3 === 0 ? { table: fleet.table, objects: fleet.objects } : {}
    fleet.start(index, { ...platform, seeds: [own, '10.0.0.0:7000'] })
  }
  await fleet.apply('a')
  await fleet.time.advance(5000)
  const domainOf = (address: string) => Number(/\.(\d+):/.exec(address)?.[1]) % 3
  fleet.peerNetwork.isDelivered = (from, to) => domainOf(from) === domainOf(to)
  await fleet.time.advance(30_000)
  await fleet.apply('b')
  await fleet.time.advance(5000)
  const all = [...fleet.hosts.values()]
  assert.deepEqual(
    all.map((host) => host.configuration().version),
    all.map((_, index) => (index % 3 === 0 ? 2 : 1)),
  )
  for (const host of all) assert.equal(host.peers().length, 3)
  fleet.peerNetwork.isDelivered = () => true
  await fleet.time.advance(9000)
  for (const host of all) {
    assert.equal(host.configuration().version, 2)
    assert.equal(host.peers().length, 11)
    host.stop()
  }
})

test('when a third of a domain falls silent at once, no live host is forgotten', async () => {
  const fleet = new MembershipSimulation(42, 2)
  for (let index = 0; index < 24; index += 1) fleet.start(index)
  await fleet.time.advance(8000)
  const isLost = (address: string) => /\.(2|4|6|8):/.test(address)
  fleet.peerNetwork.isDelivered = (from, to) => !isLost(from) && !isLost(to)
  const live = [...fleet.hosts.values()].filter((host) => !isLost(host.self().peerAddress))
  for (let step = 0; step < 40; step += 1) {
    await fleet.time.advance(500)
    for (const host of live) {
      const { domain, hostId } = host.self()
      const expected = live.filter(
        (other) => other.self().domain === domain && other.self().hostId !== hostId,
      )
      const known = new Set(host.peers(domain).map((peer) => peer.hostId))
      assert.ok(
        expected.every((other) => known.has(other.self().hostId)),
        `${hostId} forgot a live host`,
      )
      if (step >= 30) assert.equal(known.size, expected.length, `${hostId} keeps a lost host`)
    }
  }
  for (const host of fleet.hosts.values()) host.stop()
})

const recordOf = (host: Membership, cellId: string) => cellOf(host, cellId)?.record

test('gossip costs a bounded number of messages and bytes at 10 to 120 hosts', async (context: TestContext) => {
  const perHost: number[] = []
  for (const hostCount of [10, 30, 60, 120]) {
    const fleet = new MembershipSimulation(21, 3)
    for (let index = 0; index < hostCount; index += 1) fleet.start(index)
    for (const domain of fleet.domains) {
      const host = [...fleet.hosts.values()].find((member) => member.self().domain === domain)
      if (host === undefined) continue
      const { hostId, peerAddress } = host.self()
      host.announce({
        cellId: domain,
        term: Term.of({ epoch: 1, ballot: 1, hostSequence: 1 }),
        hostId,
        peerAddress,
      })
    }
    await fleet.time.advance(12_000)
    fleet.peerNetwork.traffic.clear()
    await fleet.time.advance(10_000)
    const traffic = [...fleet.peerNetwork.traffic.values()]
    const rate = (values: number[]) => values.reduce((a, b) => a + b, 0) / hostCount / 10
    const [messages, bytes] = [rate(traffic.map((of) => of.messages)), rate(traffic.map((of) => of.bytes))]
    context.diagnostic(
      `${String(hostCount)} hosts: ${messages.toFixed(2)} messages/s, ${bytes.toFixed(0)} bytes/s sent per host`,
    )
    perHost.push(bytes)
    for (const host of fleet.hosts.values()) {
      const { domain } = host.self()
      const inside = [...fleet.hosts.values()].filter((other) => other.self().domain === domain)
      assert.equal(host.peers(domain).length, inside.length - 1)
      for (const other of fleet.domains) if (other !== domain) assert.ok(host.peers(other).length <= 8)
      host.stop()
    }
  }
  assert.ok(Math.max(...perHost) < 4096, `bytes/s per host: ${perHost.join(' ')}`)
})
