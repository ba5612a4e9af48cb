import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type CoordinatorInfo, type Permit, Random, SilentLogger } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { PermitChannel } from './channel.js'
import { PermitClient } from './client.js'
import type { HostSession, SessionOptions } from './session.js'
import { request, termOf } from './testing.js'
import { FakeDirectory } from './testing-net.js'

/** A session that records what the host says and lets the test answer. */
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

class ClientBench {
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
    const answer = await result
    assert.ok(answer.isOk)
    return answer.value
  }
}

test('a permit is usable only as long as the coordinator said, counted from before it was asked for', async () => {
  const bench = new ClientBench()
  bench.directory.setCoordinator(info(1))
  const result = bench.client.acquire(request(), bench.never)
  await bench.time.advance(200)
  bench.channel.last.lend('p1')
  const answer = await result
  assert.ok(answer.isOk && bench.client.isUsable(answer.value))
  await bench.time.advance(100)
  assert.equal(bench.client.isUsable(answer.value), false)
  assert.equal(bench.client.heldPermits().length, 1, 'it stays held until it is returned')
  bench.client.close()
})

test('an answer of an earlier session is dropped, as the next coordinator does not count it', async () => {
  const bench = new ClientBench()
  bench.directory.setCoordinator(info(1))
  const kept = await bench.lend('p1')
  const unanswered = bench.client.acquire(request(), bench.never)
  const old = bench.channel.last
  bench.directory.setCoordinator(info(2))
  assert.notEqual(bench.channel.last, old)
  assert.deepEqual(
    bench.channel.last.options.held.map(({ permitId }) => permitId),
    ['p1'],
  )
  old.lend('p2')
  assert.equal(bench.client.heldPermits().length, 1)
  bench.channel.last.lend('p3')
  const answer = await unanswered
  assert.ok(answer.isOk && answer.value.permitId === 'p3')
  bench.client.release(kept, { outcome: 'ok', latencyMs: 1 })
  assert.deepEqual(bench.channel.last.log, ['p1 ok'])
  bench.client.close()
})

test('a report made without a coordinator reaches the next one, which counts the permit until then', async () => {
  const bench = new ClientBench()
  bench.directory.setCoordinator(info(1))
  const permit = await bench.lend('p1')
  bench.channel.last.options.sink.closed()
  bench.client.release(permit, { outcome: 'connection-lost', latencyMs: 1 })
  bench.directory.setCoordinator(info(2))
  const { options, log } = bench.channel.last
  assert.deepEqual([options.held.length, log], [1, ['p1 connection-lost']])
  assert.deepEqual(bench.client.heldPermits(), [])
  bench.client.close()
})

test('permits that come after a cancel or the deadline are returned unused', async () => {
  const bench = new ClientBench()
  bench.directory.setCoordinator(info(1))
  const cancel = new AbortController()
  const cancelled = bench.client.acquire(request(), cancel.signal)
  const late = bench.client.acquire(request({ deadlineMs: 50 }), bench.never)
  cancel.abort()
  await bench.time.advance(100)
  const [first, second] = await Promise.all([cancelled, late])
  assert.ok(first.isErr && first.error.code === 'cancelled')
  assert.ok(second.isErr && second.error.code === 'deadline_too_short')
  bench.channel.last.lend('p1')
  bench.channel.last.lend('p2')
  assert.deepEqual(bench.channel.last.log, ['cancel 1', 'cancel 2', 'p1 unused', 'p2 unused'])
  bench.client.close()
})

test('calls wait for a coordinator up to 2 s, then are refused at once until there is one', async () => {
  const bench = new ClientBench()
  const waiting = bench.client.acquire(request({ deadlineMs: 60_000 }), bench.never)
  await bench.time.advance(2100)
  const first = await waiting
  assert.ok(first.isErr && first.error.code === 'no_coordinator')
  const second = await bench.client.acquire(request(), bench.never)
  assert.ok(second.isErr && second.error.code === 'no_coordinator')
  bench.directory.setCoordinator(info(1))
  bench.channel.last.options.sink.heard()
  await bench.lend('p1')
  bench.client.close()
})

test('a coordinator is unreachable once a fresh connection is lost too, and not when it only refuses the stream', async () => {
  const bench = new ClientBench()
  bench.directory.setCoordinator(info(1))
  const lose = async (isConnectionLost: boolean): Promise<boolean> => {
    const { last } = bench.channel
    last.open = false
    last.options.sink.closed(isConnectionLost)
    await bench.time.advance(300)
    return bench.client.isCoordinatorUnreachable
  }
  assert.equal(await lose(true), false, 'one lost stream may be a fault between the two ends')
  assert.equal(await lose(true), true)
  bench.channel.last.options.sink.heard()
  assert.equal(bench.client.isCoordinatorUnreachable, false)
  assert.deepEqual([await lose(false), await lose(false), await lose(false)], [false, false, false])
  bench.client.close()
})
