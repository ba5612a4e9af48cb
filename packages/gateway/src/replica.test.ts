/** Copies of the store's tables, directly and through the leader. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { gunzipSync } from 'node:zlib'
import { Result } from 'true-myth'
import { Random, SilentLogger } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { ChangeLog } from './change-log.js'
import { Relay, RelayedStore, type RelayedTable } from './relay.js'
import { Replica } from './replica.js'
import { SimulatedStoreClient, SimulatedStore } from './testing-store.js'

const table = 'servers'

interface Followed {
  readonly time: VirtualTime
  readonly store: SimulatedStore
  readonly view: SimulatedStoreClient
  readonly replica: Replica
  readonly log: ChangeLog
  readonly removed: string[]
  readonly relayed: RelayedTable
}

const follow = (): Followed => {
  const time = new VirtualTime()
  const store = new SimulatedStore(time)
  const view = new SimulatedStoreClient(store, new Random(1))
  const removed: string[] = []
  const log = new ChangeLog()
  const replica = new Replica({
    store: view,
    table,
    clock: time.clock(),
    logger: new SilentLogger(),
    waitMs: 500,
    listener: {
      onRefreshed: (change) => {
        removed.push(...change.removed)
        log.record(change)
      },
    },
  })
  void replica.run()
  return { time, store, view, replica, log, removed, relayed: { log, replica, maxAgeMs: 1500 } }
}

test('a row that vanished while the history was lost is noticed', async () => {
  const { time, store, replica, removed, view } = follow()
  store.write(table, 'a', Buffer.from('1'))
  store.write(table, 'b', Buffer.from('1'))
  await time.advance(1000)
  view.isRefused = true
  await time.advance(100)
  store.remove(table, 'a')
  store.discardHistory()
  view.isRefused = false
  await time.advance(2000)
  assert.deepEqual(removed, ['a'])
  assert.deepEqual([...replica.rows.keys()], ['b'])
})

test('a host that was cut off reads only what changed when it is back, soon after', async () => {
  const { time, store, view, replica } = follow()
  let wholeReads = 0
  const read = view.snapshot.bind(view)
  view.snapshot = (...args) => {
    wholeReads += 1
    return read(...args)
  }
  await time.advance(1000)
  store.isSilent = true
  await time.advance(8000)
  store.isSilent = false
  store.write(table, 'a', Buffer.from('1'))
  // A call under way, 500 + 800 ms, and the shortest pause.
  await time.advance(1500)
  assert.deepEqual([...replica.rows.keys()], ['a'])
  assert.equal(wholeReads, 0)
})

test('a copy knows its age and whether the store answers', async () => {
  const { time, replica, view } = follow()
  assert.equal(replica.ageMs(), undefined)
  await time.advance(1000)
  assert.ok((replica.ageMs() ?? Infinity) < 600)
  view.isRefused = true
  await time.advance(3000)
  assert.equal(replica.isFailing, true)
  assert.ok((replica.ageMs() ?? 0) > 2000)
})

const relayOf = ({ relayed, time }: Pick<Followed, 'relayed' | 'time'>): Relay =>
  new Relay(new Map([[table, relayed]]), time.clock())

const queryFor = (after: number, waitMs = 0): URLSearchParams =>
  new URLSearchParams({ after: `${table}:${String(after)}`, waitMs: String(waitMs) })

const ask = async (
  { relayed, time }: Followed,
  after: number,
  waitMs = 0,
): Promise<{ status: number; keys: string[]; isWhole: boolean }> => {
  const pending = relayOf({ relayed, time }).answer(queryFor(after, waitMs))
  await time.advance(waitMs + 10)
  const { status, body } = await pending
  const text = Buffer.isBuffer(body) ? gunzipSync(body).toString() : (body ?? '{}')
  const answer = JSON.parse(text) as Record<string, { rows: { key: string }[]; isWhole: boolean } | undefined>
  const { rows, isWhole } = answer[table] ?? { rows: [], isWhole: false }
  return { status, keys: rows.map(({ key }) => key), isWhole }
}

test('followers get changes since their version, and the whole table when the changes are not known', async () => {
  const followed = follow()
  const { store, time, log } = followed
  store.write(table, 'a', Buffer.from('1'))
  await time.advance(600)
  const first = log.version
  store.write(table, 'b', Buffer.from('1'))
  await time.advance(600)
  assert.deepEqual(await ask(followed, first), { status: 200, keys: ['b'], isWhole: false })
  const whole = await ask(followed, first - 1)
  assert.deepEqual({ ...whole, keys: whole.keys.sort() }, { status: 200, keys: ['a', 'b'], isWhole: true })
})

test('rows of a table that was read whole reach a follower, whatever the order of their keys', () => {
  const log = new ChangeLog()
  const row = (key: string, version: number) => ({ key, version, value: Buffer.from('') })
  log.record({ changed: [], removed: [], version: 1 })
  log.record({ changed: [row('a', 9), row('b', 5)], removed: [], version: 10 })
  assert.deepEqual(
    log.since(7)?.map(({ key }) => key),
    ['a'],
  )
})

test('a follower that was behind gets the last of several versions, in a tenth of its size', async () => {
  const followed = follow()
  const { store, time, log } = followed
  const routes = (version: number): Buffer =>
    Buffer.from(
      JSON.stringify(
        Array.from({ length: 1000 }, (_, index) => ({
          name: `route-${String(index)}`,
          prefix: `/service-${String(index)}/`,
          timeout: '1500ms',
          version,
        })),
      ),
    )
  await time.advance(600)
  const first = log.version
  for (let version = 1; version <= 3; version += 1) {
    store.write(table, 'config', routes(version))
    await time.advance(600)
  }
  const { body } = await relayOf(followed).answer(queryFor(first))
  assert.deepEqual((await ask(followed, first)).keys, ['config'])
  assert.ok((body?.length ?? Infinity) < routes(3).length / 10 + 1000, String(body?.length))
})

test('age adds up: a follower’s copy is as old as the copy that it was passed', async () => {
  const time = new VirtualTime()
  const store = new SimulatedStore(time)
  const passed = { rows: [], version: 1, ageMs: 700 }
  const source = new (class extends SimulatedStoreClient {
    override snapshot(): ReturnType<SimulatedStoreClient['snapshot']> {
      return Promise.resolve(Result.ok(passed))
    }
    override async changes(): ReturnType<SimulatedStoreClient['changes']> {
      await store.sleep(100)
      return Result.ok(passed)
    }
  })(store, new Random(1))
  const replica = new Replica({
    store: source,
    table,
    clock: time.clock(),
    logger: new SilentLogger(),
    waitMs: 500,
    listener: { onRefreshed: () => undefined },
  })
  void replica.run()
  await time.advance(1000)
  assert.ok((replica.ageMs() ?? 0) >= 700)
  assert.ok((replica.ageMs() ?? Infinity) <= 800)
})

test('a leader that has lost the store says so instead of passing on an old copy', async () => {
  const followed = follow()
  await followed.time.advance(600)
  followed.view.isRefused = true
  await followed.time.advance(1000)
  assert.equal((await ask(followed, followed.log.version)).status, 503)
})

test('a follower learns within the age limit that its leader’s store has gone silent', async () => {
  const followed = follow()
  const { time, store, relayed, log } = followed
  await time.advance(1000)
  store.isSilent = true
  const query = queryFor(log.version, 1000)
  const relay = relayOf(followed)
  // Asks again whenever it is answered, as a follower does.
  let refusedAtMs: number | undefined
  const silentAtMs = time.nowMs()
  const asking = (async () => {
    while ((await relay.answer(query)).status === 200);
    refusedAtMs = time.nowMs()
  })()
  await time.advance(4000)
  await asking
  assert.ok(
    refusedAtMs !== undefined && refusedAtMs - silentAtMs <= relayed.maxAgeMs + 10,
    String(refusedAtMs),
  )
})

test('rows that change in nothing that others need wake no follower', () => {
  const log = new ChangeLog({ isRelevant: (row, previous) => !previous?.value.equals(row.value) })
  const row = (version: number, text: string) => ({ key: 'a', version, value: Buffer.from(text) })
  let woken = 0
  log.record({ changed: [row(1, 'x')], removed: [], version: 1 })
  log.onUrgentChange(() => (woken += 1))
  log.record({ changed: [row(2, 'x')], removed: [], version: 2 })
  assert.equal(woken, 0)
  assert.deepEqual(log.since(1), [])
  log.record({ changed: [row(3, 'y')], removed: [], version: 3 })
  assert.equal(woken, 1)
  assert.equal(log.since(1)?.length, 1)
})

test('a renewal of a lease wakes no follower, and reaches it with the next confirmation', () => {
  const log = new ChangeLog({ isUrgent: ({ key }) => key !== 'leader' })
  const row = (key: string, version: number) => ({ key, version, value: Buffer.from('') })
  log.record({ changed: [row('leader', 1)], removed: [], version: 1 })
  const woken: string[] = []
  log.onUrgentChange(() => woken.push('change'))
  log.onConfirmed(() => woken.push('confirmation'))
  log.record({ changed: [row('leader', 2)], removed: [], version: 2 })
  assert.deepEqual(woken, ['confirmation'])
  assert.equal(log.hasUrgentSince(1), false)
  assert.deepEqual(log.since(1), [row('leader', 2)])
  log.record({ changed: [row('host', 3)], removed: [], version: 3 })
  assert.deepEqual(woken, ['confirmation', 'change'])
  assert.equal(log.hasUrgentSince(1), true)
})

test('an answer for several tables waits until all of them were confirmed, or one has an urgent change', async () => {
  const time = new VirtualTime()
  const replica = { ageMs: () => 0, isFailing: false } as unknown as Replica
  const logs = new Map(['a', 'b'].map((name) => [name, new ChangeLog()]))
  for (const log of logs.values()) log.record({ changed: [], removed: [], version: 1 })
  const relay = new Relay(
    new Map([...logs].map(([name, log]) => [name, { log, replica, maxAgeMs: 1000 }])),
    time.clock(),
  )
  const ask = async (after = 1): Promise<{ isAnswered: boolean }> => {
    const state = { isAnswered: false }
    const query = new URLSearchParams({ waitMs: '900' })
    query.append('after', 'a:1')
    query.append('after', `b:${String(after)}`)
    void relay.answer(query).then(() => (state.isAnswered = true))
    await time.advance(1)
    return state
  }
  const record = async (name: string, changed: { key: string; version: number; value: Buffer }[] = []) => {
    logs.get(name)?.record({ changed, removed: [], version: changed[0]?.version ?? 1 })
    await time.advance(1)
  }
  const first = await ask()
  await record('a')
  await record('a')
  assert.equal(first.isAnswered, false)
  await record('b')
  assert.equal(first.isAnswered, true)
  const second = await ask()
  await record('b', [{ key: 'k', version: 2, value: Buffer.from('') }])
  // The other table may be confirmed a moment later, and would grow old otherwise.
  await record('a')
  assert.equal(second.isAnswered, true)
  const third = await ask(2)
  await record('b', [{ key: 'k', version: 3, value: Buffer.from('') }])
  assert.equal(third.isAnswered, false)
  await time.advance(30)
  assert.equal(third.isAnswered, true)
})

test('a host that has not read a table yet answers its followers when it has', async () => {
  const followed = follow()
  const { store, time, log } = followed
  store.write(table, 'a', Buffer.from('1'))
  const pending = relayOf(followed).answer(queryFor(-1))
  await time.advance(50)
  assert.equal((await pending).status, 200)
  assert.ok(log.version > 0)
})

test('a table that is not confirmed with the others does not hold back their confirmation', async () => {
  const time = new VirtualTime()
  const replica = { ageMs: () => 0, isFailing: false } as unknown as Replica
  const logs = new Map(['a', 'b'].map((name) => [name, new ChangeLog()]))
  for (const log of logs.values()) log.record({ changed: [], removed: [], version: 1 })
  const tables = new Map([...logs].map(([name, log]) => [name, { log, replica, maxAgeMs: 1700 }]))
  const query = new URLSearchParams({ waitMs: '1400' })
  query.append('after', 'a:1')
  query.append('after', 'b:1')
  let isAnswered = false
  void new Relay(tables, time.clock()).answer(query).then(() => (isAnswered = true))
  await time.advance(10)
  // The other table has just been read, because of a change that this host made.
  logs.get('a')?.record({ changed: [], removed: [], version: 1 })
  await time.advance(100)
  assert.equal(isAnswered, true)
})

test('a host that reads the store itself reads a busy table at intervals, and at once after its own change', async () => {
  const time = new VirtualTime()
  const clock = time.clock()
  const world = new SimulatedStore(time)
  const view = new SimulatedStoreClient(world, new Random(1))
  const readAtMs: number[] = []
  const changes = view.changes.bind(view)
  view.changes = (...args) => {
    readAtMs.push(clock.monotonicMs())
    return changes(...args)
  }
  const store = new RelayedStore({
    store: view,
    clock,
    logger: new SilentLogger(),
    sources: () => [],
    confirmationIntervalMs: 800,
    mayLongPoll: () => false,
  })
  const read = async (): Promise<void> => {
    await store.changes(table, 0, 800)
  }
  const following = (async () => {
    for (let index = 0; index < 4; index += 1) await read()
  })()
  // A leader renews its lease twice a second.
  for (let ms = 0; ms < 2000; ms += 500) {
    world.write(table, 'leader', Buffer.from(String(ms)))
    await time.advance(500)
  }
  assert.equal(readAtMs.length, 2)
  store.expedite(table)
  await time.advance(50)
  assert.equal(readAtMs.length, 3)
  await time.advance(1000)
  await following
  assert.equal(readAtMs.length, 4)
})

test('an older copy of another host does not bring back a row that is known to be gone', async () => {
  const followed = follow()
  const { time, store, view, replica } = followed
  store.write(table, 'a', Buffer.from('1'))
  await time.advance(600)
  const older = { rows: [...replica.rows.values()], version: store.version }
  store.remove(table, 'a')
  await time.advance(600)
  assert.deepEqual([...replica.rows.keys()], [])
  // The history is lost, and the whole table comes from a host that is behind.
  let copies = 0
  view.snapshot = () => {
    copies += 1
    return Promise.resolve(Result.ok(older))
  }
  store.write('another', 'b', Buffer.from('1'))
  store.discardHistory()
  await time.advance(1000)
  assert.ok(copies > 0)
  assert.deepEqual([...replica.rows.keys()], [])
})
