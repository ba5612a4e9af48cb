/** Copies of the store's tables, directly and through the leader. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { gunzipSync } from 'node:zlib'
import { Result } from 'true-myth'
import { Random, SilentLogger } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { ChangeLog } from './change-log.js'
import { answerRelay, type RelayedTable } from './relay.js'
import { Replica } from './replica.js'
import { StoreView, WorldStore } from './testing-world.js'

const table = 'servers'

interface Followed {
  readonly time: VirtualTime
  readonly store: WorldStore
  readonly view: StoreView
  readonly replica: Replica
  readonly log: ChangeLog
  readonly removed: string[]
  readonly relayed: RelayedTable
}

const follow = (): Followed => {
  const time = new VirtualTime()
  const store = new WorldStore(time)
  const view = new StoreView(store, new Random(1))
  const removed: string[] = []
  const log = new ChangeLog()
  const replica = new Replica({
    store: view,
    table,
    clock: time.clock(),
    logger: new SilentLogger(),
    waitMs: 500,
    listener: {
      confirmed: (change) => {
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
  store.forgetHistory()
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

const ask = async (
  { relayed, time }: Followed,
  after: number,
  waitMs = 0,
): Promise<{ status: number; keys: string[]; isWhole: boolean }> => {
  const query = new URLSearchParams({ after: String(after), waitMs: String(waitMs) })
  const pending = answerRelay(relayed, query, time.clock())
  await time.advance(waitMs + 10)
  const { status, body } = await pending
  const text = Buffer.isBuffer(body) ? gunzipSync(body).toString() : (body ?? '{"rows":[],"isWhole":false}')
  const { rows, isWhole } = JSON.parse(text) as { rows: { key: string }[]; isWhole: boolean }
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
  const query = new URLSearchParams({ after: String(first) })
  const { body } = await answerRelay(followed.relayed, query, time.clock())
  assert.deepEqual((await ask(followed, first)).keys, ['config'])
  assert.ok((body?.length ?? Infinity) < routes(3).length / 10 + 1000, String(body?.length))
})

test('age adds up: a follower’s copy is as old as the copy that it was passed', async () => {
  const time = new VirtualTime()
  const store = new WorldStore(time)
  const passed = { rows: [], version: 1, ageMs: 700 }
  const source = new (class extends StoreView {
    override snapshot(): ReturnType<StoreView['snapshot']> {
      return Promise.resolve(Result.ok(passed))
    }
    override async changes(): ReturnType<StoreView['changes']> {
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
    listener: { confirmed: () => undefined },
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
  const query = new URLSearchParams({ after: String(log.version), waitMs: '1000' })
  // Asks again whenever it is answered, as a follower does.
  let refusedAtMs: number | undefined
  const silentAtMs = time.nowMs()
  const asking = (async () => {
    while ((await answerRelay(relayed, query, time.clock())).status === 200);
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
  log.onChange(() => (woken += 1))
  log.record({ changed: [row(2, 'x')], removed: [], version: 2 })
  assert.equal(woken, 0)
  assert.deepEqual(log.since(1), [])
  log.record({ changed: [row(3, 'y')], removed: [], version: 3 })
  assert.equal(woken, 1)
  assert.equal(log.since(1)?.length, 1)
})
