import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Instant, Term } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { HostVoterState, TargetVoter, majoritySince, type VoteResponse } from './voter.js'

const term = (ballot: number): Term => Term.of({ epoch: 1, ballot, hostSequence: 1 })
const at = (ms: number): Instant => ({ monotonicMs: ms, wallMs: ms })
const accepted: VoteResponse = {
  accepted: true,
  highestTerm: term(2),
  previousTerm: term(1),
  uptimeMs: 5000,
}

test('a voting host rejects lower terms by cell, and reports the last renewal of an earlier term', async () => {
  const time = new VirtualTime()
  const state = new HostVoterState(time.clock())
  const vote = (ballot: number, claim = false, cellId = 'a'): VoteResponse =>
    state.vote({ cellId, term: term(ballot), claim })
  assert.equal(vote(2).accepted, true)
  await time.advance(100)
  assert.equal(vote(3, true).earlierRenewalAgoMs, 100)
  assert.equal(vote(2).accepted, false)
  assert.equal(vote(2, false, 'b').accepted, true)
  await time.advance(100)
  const response = vote(4, true)
  assert.deepEqual(
    [response.previousTerm, response.earlierRenewalAgoMs, response.uptimeMs],
    [term(3), 200, 200],
  )
})

const exchanges: readonly {
  readonly guards: string
  readonly response: Partial<VoteResponse>
  readonly counts: boolean
}[] = [
  { guards: 'an accepted message counts', response: {}, counts: true },
  { guards: 'a rejected message does not count', response: { accepted: false }, counts: false },
  {
    guards: 'a voter that restarted less than a lease ago does not count',
    response: { uptimeMs: 899 },
    counts: false,
  },
  { guards: 'a voter that restarted a lease ago counts', response: { uptimeMs: 900 }, counts: true },
]

for (const { guards, response, counts } of exchanges) {
  test(`voter: ${guards}`, () => {
    const voter = new TargetVoter('t', 900)
    voter.recordVote({
      term: term(2),
      claim: false,
      sentAt: at(10),
      receivedAt: at(20),
      response: { ...accepted, ...response },
    })
    assert.deepEqual(voter.acceptedSince(term(2)), counts ? at(10) : undefined)
    assert.equal(voter.acceptedSince(term(3)), undefined)
  })
}

test('voter: claims are no renewals, older responses do not replace newer ones, restarts hide renewals', () => {
  const voter = new TargetVoter('t', 900)
  const observe = (sentMs: number, claim: boolean, response: Partial<VoteResponse> = {}): void => {
    const exchange = { sentAt: at(sentMs), receivedAt: at(sentMs + 5), term: term(2), claim }
    voter.recordVote({ ...exchange, response: { ...accepted, ...response } })
  }
  observe(100, true, { earlierRenewalAgoMs: 50 })
  assert.equal(voter.renewedSince(term(2)), undefined)
  assert.equal(voter.earlierRenewedAtMs, 55)
  observe(300, false)
  observe(200, false)
  assert.deepEqual(voter.renewedSince(term(2)), at(300))
  // Without a recorded renewal there may have been one until the voter's process started.
  observe(5000, false, { uptimeMs: 1000 })
  assert.equal(voter.earlierRenewedAtMs, 4005)
})

test('a majority is more than half of the voters, and dates from the oldest message that it needs', () => {
  const since = new Map([
    ['a', at(30)],
    ['b', at(10)],
    ['c', at(20)],
  ])
  const majority = (...ids: string[]): Instant | undefined => majoritySince(ids, (id) => since.get(id))
  assert.deepEqual(majority('a', 'b', 'c'), at(20))
  assert.deepEqual(majority('a', 'b', 'c', 'd', 'e'), at(10))
  assert.equal(majority('a', 'b', 'd', 'e'), undefined)
  assert.equal(majority(), undefined)
})
