import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type CoordinatorInfo, type Permit, Random, SilentLogger } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { PermitChannel } from './channel.js'
import { PermitClient } from './client.js'
import type { HostSession, SessionOptions } from './session.js'
import { request, termOf } from './testing.js'
import { FakeDirectory } from './testing-network.js'

/** A session that records the host's messages; the test issues the permits. */
class ScriptedSession implements HostSession {
  open = true
  readonly calls: number[] = []
  readonly log: string[] = []

  constructor(
    readonly coordinator: CoordinatorInfo,
    readonly options: SessionOptions,
  ) {}

  acquire(callId: number): void {
    this.calls.push(callId)
  }
  cancel(callId: number): void {
    this.log.push(`cancel ${String(callId)}`)
  }
  release(permitId: string, { outcome }: Parameters<HostSession['release']>[1]): void {
    this.log.push(`${permitId} ${outcome}`)
  }
  end(): void {
    this.open = false
  }

  lend(permitId: string): void {
    const { term, cellId } = this.coordinator
    const permit: Permit = { permitId, cellId, term, target: 't', address: '127.0.0.1:1', sendWithinMs: 300 }
    const callId = this.calls.shift()
    assert.ok(callId !== undefined)
    this.options.sink.lent(callId, permit)
  }
}

class ScriptedChannel extends PermitChannel {
  readonly sessions: ScriptedSession[] = []

  get last(): ScriptedSession {
    const session = this.sessions.at(-1)
    assert.ok(session)
    return session
  }

  override open(coordinator: CoordinatorInfo, options: SessionOptions): HostSession {
    this.sessions.push(new ScriptedSession(coordinator, options))
    return this.last
  }
}

const info = (ballot: number): CoordinatorInfo => ({
  cellId: 'north',
  term: termOf(ballot),
  hostId: `c${String(ballot)}`,
  peerAddress: '127.0.0.1:1',
})

class ClientFixture {
  readonly time = new VirtualTime()
  readonly clock = this.time.clock()
  readonly directory = new FakeDirectory()
  readonly channel = new ScriptedChannel()
  readonly never: AbortSignal = new AbortController().signal
  readonly client = new PermitClient({
    cellId: 'north',
    hostId: 'a',
    clock: this.clock,
    random: new Random(1),
    directory: this.directory,
    channel: this.channel,
    logger: new SilentLogger(),
  })

  async lend(permitId: string): Promise<Permit> {
    const result = this.client.acquire(request(), this.never)
    this.channel.last.lend(permitId)
    const settled = await result
    assert.ok(settled.isOk)
    return settled.value
  }
}

test('a permit is usable only for the time that the coordinator set, counted from before the acquire was sent', async () => {
  const fixture = new ClientFixture()
  fixture.directory.setCoordinator(info(1))
  const result = fixture.client.acquire(request(), fixture.never)
  await fixture.time.advance(200)
  fixture.channel.last.lend('p1')
  const settled = await result
  assert.ok(settled.isOk && fixture.client.isUsable(settled.value))
  await fixture.time.advance(100)
  assert.equal(fixture.client.isUsable(settled.value), false)
  assert.equal(fixture.client.heldPermits().length, 1, 'it stays held until it is returned')
  fixture.client.close()
})

test('a permit that arrives in an earlier session is dropped, as the next coordinator does not count it', async () => {
  const fixture = new ClientFixture()
  fixture.directory.setCoordinator(info(1))
  const kept = await fixture.lend('p1')
  const unanswered = fixture.client.acquire(request(), fixture.never)
  const old = fixture.channel.last
  fixture.directory.setCoordinator(info(2))
  assert.notEqual(fixture.channel.last, old)
  assert.deepEqual(
    fixture.channel.last.options.held.map(({ permitId }) => permitId),
    ['p1'],
  )
  old.lend('p2')
  assert.equal(fixture.client.heldPermits().length, 1)
  fixture.channel.last.lend('p3')
  const settled = await unanswered
  assert.ok(settled.isOk && settled.value.permitId === 'p3')
  fixture.client.release(kept, { outcome: 'ok', latencyMs: 1 })
  assert.deepEqual(fixture.channel.last.log, ['p1 ok'])
  fixture.client.close()
})

test('a permit released without a coordinator counts as held at the next one until its report arrives there', async () => {
  const fixture = new ClientFixture()
  fixture.directory.setCoordinator(info(1))
  const permit = await fixture.lend('p1')
  fixture.channel.last.options.sink.closed()
  fixture.client.release(permit, { outcome: 'connection-lost', latencyMs: 1 })
  fixture.directory.setCoordinator(info(2))
  const { options, log } = fixture.channel.last
  assert.deepEqual([options.held.length, log], [1, ['p1 connection-lost']])
  assert.deepEqual(fixture.client.heldPermits(), [])
  fixture.client.close()
})

test('permits that arrive after a cancel or after the deadline are released unused', async () => {
  const fixture = new ClientFixture()
  fixture.directory.setCoordinator(info(1))
  const cancel = new AbortController()
  const cancelled = fixture.client.acquire(request(), cancel.signal)
  const late = fixture.client.acquire(request({ deadlineMs: 50 }), fixture.never)
  cancel.abort()
  await fixture.time.advance(100)
  const [first, second] = await Promise.all([cancelled, late])
  assert.ok(first.isErr && first.error.code === 'cancelled')
  assert.ok(second.isErr && second.error.code === 'deadline_too_short')
  fixture.channel.last.lend('p1')
  fixture.channel.last.lend('p2')
  assert.deepEqual(fixture.channel.last.log, ['cancel 1', 'cancel 2', 'p1 unused', 'p2 unused'])
  fixture.client.close()
})

test('calls wait for a coordinator up to 2 s, then are refused at once until there is one', async () => {
  const fixture = new ClientFixture()
  const waiting = fixture.client.acquire(request({ deadlineMs: 60_000 }), fixture.never)
  await fixture.time.advance(2100)
  const first = await waiting
  assert.ok(first.isErr && first.error.code === 'no_coordinator')
  const second = await fixture.client.acquire(request(), fixture.never)
  assert.ok(second.isErr && second.error.code === 'no_coordinator')
  fixture.directory.setCoordinator(info(1))
  fixture.channel.last.options.sink.heard()
  await fixture.lend('p1')
  fixture.client.close()
})

test('a coordinator is unreachable once a new connection is lost too, and not when it only refuses the stream', async () => {
  const fixture = new ClientFixture()
  fixture.directory.setCoordinator(info(1))
  const lose = async (isConnectionLost: boolean): Promise<boolean> => {
    const { last } = fixture.channel
    last.open = false
    last.options.sink.closed(isConnectionLost)
    await fixture.time.advance(300)
    return fixture.client.isCoordinatorUnreachable
  }
  assert.equal(await lose(true), false, 'one lost stream may be a fault between the two ends')
  assert.equal(await lose(true), true)
  fixture.channel.last.options.sink.heard()
  assert.equal(fixture.client.isCoordinatorUnreachable, false)
  assert.deepEqual([await lose(false), await lose(false), await lose(false)], [false, false, false])
  fixture.client.close()
})
