import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Fence, Term, VoterKind } from '@pimentotally/core'
import { currentConfigurationKey } from '@pimentotally/storage'
import type { Membership, MembershipOptions } from './membership.js'
import { MembershipSimulation } from './testing.js'

/**
 * For 40 s of virtual time cuts connections at random in one direction, restarts hosts, lets operators apply
 * at the same time, and announces new terms, epochs and fences. Fails when a term known to a host falls.
 */
const injectRandomFaults = async (
  simulation: MembershipSimulation,
  hostCount: number,
  withPlatform: Partial<MembershipOptions>,
) => {
  const { random, peerNetwork: network } = simulation
  const highestTerm = new Map<string, string>()
  let ballot = 0
  for (let step = 0; step < 80; step += 1) {
    const cuts = new Set<string>()
    for (let cut = 0; cut < 150; cut += 1) {
      cuts.add(
        `10.0.0.${String(random.integer(hostCount))}:7000>10.0.0.${String(random.integer(hostCount))}:7000`,
      )
    }
    network.isDelivered = (from, to) => !cuts.has(`${from}>${to}`)
    if (random.float() < 0.3) void Promise.all([simulation.apply('a'), simulation.apply('b')])
    if (random.float() < 0.3) simulation.start(random.integer(hostCount), withPlatform)
    const host = random.pick([...simulation.hosts.values()])
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
    await simulation.time.advance(500)
    for (const member of simulation.hosts.values()) {
      for (const cellId of simulation.domains) {
        const at = `${member.self().hostId} ${cellId}`
        const term = member.coordinator(cellId)?.info.term ?? ''
        assert.ok(term >= (highestTerm.get(at) ?? ''), `term of ${at} fell`)
        highestTerm.set(at, term)
      }
    }
  }
  network.isDelivered = () => true
}

for (const seed of [11, 12, 13]) {
  test(`cuts, restarts and racing operators revert no version or term, and all hosts agree within 9 s afterwards (seed ${String(seed)})`, async (context) => {
    const simulation = new MembershipSimulation(seed, 3)
    simulation.faults.policy = {
      ...simulation.faults.policy,
      maxDelayMs: 200,
      unavailable: 0.3,
      loseAnswer: 0.2,
    }
    const withPlatform = { table: simulation.table, objects: simulation.objects }
    for (let index = 0; index < 30; index += 1) simulation.start(index, withPlatform)
    await injectRandomFaults(simulation, 30, withPlatform)
    simulation.faults.policy = { ...simulation.faults.policy, unavailable: 0, loseAnswer: 0 }
    void simulation.apply('last')
    await simulation.time.advance(1000)
    simulation.faults.policy = { ...simulation.faults.policy, maxDelayMs: 0 }
    const stored = (await simulation.table.read(currentConfigurationKey)).unwrapOr(undefined)
    const newest = (JSON.parse(stored?.value ?? '{}') as { version: number }).version
    let tookMs = 1000
    const all = [...simulation.hosts.values()]
    while (tookMs < 9000 && !all.every((host) => host.configuration().version === newest)) {
      await simulation.time.advance(100)
      tookMs += 100
    }
    context.diagnostic(
      `version ${String(newest)} in force on 30 hosts at most ${String(tookMs)} ms after the cuts ended`,
    )
    assert.deepEqual(new Set(all.map((host) => host.configuration().version)), new Set([newest]))
    await simulation.time.advance(9000 - tookMs)
    for (const domain of simulation.domains) {
      const views = all.map((host) =>
        JSON.stringify([host.coordinator(domain)?.info, recordOf(host, domain)]),
      )
      assert.equal(new Set(views).size, 1, `coordinator or record of ${domain} differs`)
      const inside = all.filter((host) => host.self().domain === domain)
      assert.equal(new Set(inside.map((host) => JSON.stringify(cellOf(host, domain)))).size, 1)
      for (const host of inside) assert.equal(host.peers(domain).length, 9)
    }
    assert.deepEqual(simulation.violations, [])
    for (const host of all) host.stop()
  })
}

const cellOf = (host: Membership, cellId: string) => host.cells().find((cell) => cell.cellId === cellId)

test('after a partition so long that domains removed each other, all hosts and the newest version are known again within 9 s', async () => {
  const simulation = new MembershipSimulation(31, 3)
  for (let index = 0; index < 12; index += 1) {
    // Only the first domain reaches the platform. The seeds of a host are in its own domain, and one in the
    // first.
    const own = `10.0.0.${String(index % 3)}:7000`
    const platform = index % 3 === 0 ? { table: simulation.table, objects: simulation.objects } : {}
    simulation.start(index, { ...platform, seeds: [own, '10.0.0.0:7000'] })
  }
  await simulation.apply('a')
  await simulation.time.advance(5000)
  const domainOf = (address: string) => Number(/\.(\d+):/.exec(address)?.[1]) % 3
  simulation.peerNetwork.isDelivered = (from, to) => domainOf(from) === domainOf(to)
  await simulation.time.advance(30_000)
  await simulation.apply('b')
  await simulation.time.advance(5000)
  const all = [...simulation.hosts.values()]
  assert.deepEqual(
    all.map((host) => host.configuration().version),
    all.map((_, index) => (index % 3 === 0 ? 2 : 1)),
  )
  for (const host of all) assert.equal(host.peers().length, 3)
  simulation.peerNetwork.isDelivered = () => true
  await simulation.time.advance(9000)
  for (const host of all) {
    assert.equal(host.configuration().version, 2)
    assert.equal(host.peers().length, 11)
    host.stop()
  }
})

test('when a third of a domain stops responding at once, no live host is removed and the lost ones are', async () => {
  const simulation = new MembershipSimulation(42, 2)
  for (let index = 0; index < 24; index += 1) simulation.start(index)
  await simulation.time.advance(8000)
  const isLost = (address: string) => /\.(2|4|6|8):/.test(address)
  simulation.peerNetwork.isDelivered = (from, to) => !isLost(from) && !isLost(to)
  const live = [...simulation.hosts.values()].filter((host) => !isLost(host.self().peerAddress))
  for (let step = 0; step < 40; step += 1) {
    await simulation.time.advance(500)
    for (const host of live) {
      const { domain, hostId } = host.self()
      const expected = live.filter(
        (other) => other.self().domain === domain && other.self().hostId !== hostId,
      )
      const known = new Set(host.peers(domain).map((peer) => peer.hostId))
      assert.ok(
        expected.every((other) => known.has(other.self().hostId)),
        `${hostId} removed a live host`,
      )
      if (step >= 30) assert.equal(known.size, expected.length, `${hostId} still knows a lost host`)
    }
  }
  for (const host of simulation.hosts.values()) host.stop()
})

const recordOf = (host: Membership, cellId: string) => cellOf(host, cellId)?.record

test('gossip at 10 to 120 hosts sends less than 4 KiB/s per host, and a host knows at most 8 members of each other domain', async (context: TestContext) => {
  const perHost: number[] = []
  for (const hostCount of [10, 30, 60, 120]) {
    const simulation = new MembershipSimulation(21, 3)
    for (let index = 0; index < hostCount; index += 1) simulation.start(index)
    for (const domain of simulation.domains) {
      const host = [...simulation.hosts.values()].find((member) => member.self().domain === domain)
      if (host === undefined) continue
      const { hostId, peerAddress } = host.self()
      host.announce({
        cellId: domain,
        term: Term.of({ epoch: 1, ballot: 1, hostSequence: 1 }),
        hostId,
        peerAddress,
      })
    }
    await simulation.time.advance(12_000)
    simulation.peerNetwork.traffic.clear()
    await simulation.time.advance(10_000)
    const traffic = [...simulation.peerNetwork.traffic.values()]
    const rate = (values: number[]) => values.reduce((a, b) => a + b, 0) / hostCount / 10
    const [messages, bytes] = [rate(traffic.map((of) => of.messages)), rate(traffic.map((of) => of.bytes))]
    context.diagnostic(
      `${String(hostCount)} hosts: ${messages.toFixed(2)} messages/s, ${bytes.toFixed(0)} bytes/s sent per host`,
    )
    perHost.push(bytes)
    for (const host of simulation.hosts.values()) {
      const { domain } = host.self()
      const inside = [...simulation.hosts.values()].filter((other) => other.self().domain === domain)
      assert.equal(host.peers(domain).length, inside.length - 1)
      for (const other of simulation.domains) if (other !== domain) assert.ok(host.peers(other).length <= 8)
      host.stop()
    }
  }
  assert.ok(Math.max(...perHost) < 4096, `bytes/s per host: ${perHost.join(' ')}`)
})
