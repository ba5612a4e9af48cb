import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ShardSet, Term } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { GrantHolder, GrantRefusal, type GrantCheck } from './grant-holder.js'
import type { GrantRequest } from './grant.js'

const term = (ballot: number): Term => Term.of({ epoch: 1, ballot, hostSequence: 1 })
const fence = (ballot: number, sequence: number): string =>
  `${term(ballot)}.${String(sequence).padStart(8, '0')}`

const grant = (change: Partial<GrantRequest> = {}, shards = [1, 2]): GrantRequest => ({
  term: term(5),
  cellId: 'a',
  validUntilMs: 900,
  instanceId: 'i1',
  setVersion: 1,
  grants: [
    { service: 'notes', shardCount: 8, shards: ShardSet.of(8, shards).toBase64(), fence: fence(5, 1) },
  ],
  overrides: [],
  excluded: [],
  ...change,
})

const start: GrantCheck = {
  service: 'notes',
  shard: 1,
  keyHash: '00000000000000aa',
  fence: fence(5, 1),
  term: term(5),
}

const key = { service: 'notes', shard: 1, keyHash: start.keyHash, fence: fence(5, 2) }

const cases: {
  readonly guards: string
  readonly messages: readonly (GrantRequest | number)[]
  readonly check?: Partial<GrantCheck>
  readonly expected: 'ok' | GrantRefusal
}[] = [
  { guards: 'a granted shard runs', messages: [grant()], expected: 'ok' },
  { guards: 'nothing runs without a grant', messages: [], expected: GrantRefusal.leaseLapsed },
  {
    guards: 'nothing runs after the lease has lapsed',
    messages: [grant(), 900],
    expected: GrantRefusal.leaseLapsed,
  },
  {
    guards: 'a request under an earlier fence of the shard is refused',
    messages: [grant()],
    check: { fence: fence(4, 9) },
    expected: GrantRefusal.fenceStale,
  },
  {
    guards: 'a request under a fence that has not been granted yet is refused',
    messages: [grant()],
    check: { fence: fence(5, 2) },
    expected: GrantRefusal.notOwner,
  },
  {
    guards: 'a permit of a superseded coordinator is refused',
    messages: [grant(), grant({ term: term(6), claim: true })],
    expected: GrantRefusal.termStale,
  },
  {
    guards: 'a claim keeps the lease for the present grants',
    messages: [grant(), grant({ term: term(6), claim: true })],
    check: { term: term(6) },
    expected: 'ok',
  },
  {
    guards: 'a renewal of a lower term extends nothing',
    messages: [grant(), grant({ term: term(6), claim: true }), 500, grant({ validUntilMs: 1400 }), 500],
    check: { term: term(6) },
    expected: GrantRefusal.leaseLapsed,
  },
  {
    guards: 'a grant of a lower term adds nothing',
    messages: [
      grant({ term: term(6), grants: [], claim: false }),
      grant({ setVersion: 2, validUntilMs: 2000 }),
    ],
    check: { term: term(6) },
    expected: GrantRefusal.notOwner,
  },
  {
    guards: 'a renewal that was delayed beyond its lease does not revive it',
    messages: [grant(), 1000, grant()],
    expected: GrantRefusal.leaseLapsed,
  },
  {
    guards: 'a delayed set does not replace a newer one',
    messages: [grant({ setVersion: 2 }, [2]), grant({ setVersion: 1 })],
    expected: GrantRefusal.notOwner,
  },
  {
    guards: 'a set of the same version with other content is ignored',
    messages: [grant({}, [2]), grant()],
    expected: GrantRefusal.notOwner,
  },
  {
    guards: 'a duplicate message changes nothing',
    messages: [grant(), 100, grant(), grant()],
    expected: 'ok',
  },
  {
    guards: 'a renewal for an earlier instance, whose clock was ahead, gives no lease',
    messages: [grant({ instanceId: 'i0', validUntilMs: 100_000 })],
    expected: GrantRefusal.leaseLapsed,
  },
  {
    guards: 'a renewal that names a set that this instance does not have gives no lease',
    messages: [grant({ grants: undefined, setVersion: 3 })],
    expected: GrantRefusal.leaseLapsed,
  },
  {
    guards: 'a message without an end of the lease gives no lease',
    messages: [grant({ validUntilMs: null })],
    expected: GrantRefusal.leaseLapsed,
  },
  {
    guards: 'an older renewal does not shorten the lease',
    messages: [grant(), grant({ validUntilMs: 10 }), 100],
    expected: 'ok',
  },
  {
    guards: 'a key of the shard that another target owns is refused',
    messages: [grant({ excluded: [key] })],
    expected: GrantRefusal.notOwner,
  },
  {
    guards: 'a key that is granted separately from its shard runs',
    messages: [grant({ overrides: [key] }, [3])],
    check: { fence: key.fence },
    expected: 'ok',
  },
  {
    guards: "a permit under the shard's fence is refused for a key that has a fence of its own",
    messages: [grant({ overrides: [key] })],
    expected: GrantRefusal.fenceStale,
  },
]

for (const { guards, messages, check, expected } of cases) {
  test(`grant holder: ${guards}`, async () => {
    const time = new VirtualTime()
    const holder = new GrantHolder({ clock: time.clock(), instanceId: 'i1' })
    for (const message of messages) {
      if (typeof message === 'number') await time.advance(message)
      else holder.handle(message)
    }
    assert.equal(holder.check({ ...start, ...check }), expected)
  })
}

test('grant holder: responses to a claim have the held set, the lapsed lease and the last earlier renewal', async () => {
  const time = new VirtualTime()
  const holder = new GrantHolder({ clock: time.clock(), instanceId: 'i1', inFlight: () => 3 })
  holder.handle(grant())
  await time.advance(1000)
  const claim = grant({ term: term(6), claim: true })
  holder.handle(claim)
  await time.advance(50)
  const response = holder.handle({ ...claim, term: term(7) })
  assert.deepEqual(
    [response.accepted, response.highestTerm, response.previousTerm, response.setVersion, response.inFlight],
    [true, term(7), term(6), 0, 3],
  )
  // The claim of term 6 is no renewal: it cannot have confirmed the term of a coordinator that moves shards.
  assert.equal(response.earlierRenewalAgoMs, 1050)
  assert.equal(response.leaseRemainingMs, -150)
  assert.equal(response.held?.grants[0]?.fence, fence(5, 1))
  assert.equal(holder.handle(grant()).accepted, false)
})

test('grant holder: a step back of the wall clock extends no lease, and a suspended machine finds it lapsed', async () => {
  const time = new VirtualTime()
  const clock = time.clock()
  let stepMs = 0
  const wallMs = clock.wallMs.bind(clock)
  clock.wallMs = () => wallMs() + stepMs
  const holder = new GrantHolder({ clock, instanceId: 'i1' })
  holder.handle(grant())
  stepMs = -3_600_000
  await time.advance(850)
  assert.equal(holder.hasLease(), true)
  await time.advance(50)
  assert.equal(holder.hasLease(), false)
  holder.handle(grant({ validUntilMs: 1800 }))
  assert.equal(holder.hasLease(), true)
  stepMs += 1000
  assert.equal(holder.hasLease(), false)
  // The uptime must not include the step forward, or a restarted voter's vote would count too early.
  assert.equal(Math.round(holder.handle(grant()).uptimeMs) <= 900, true)
})
