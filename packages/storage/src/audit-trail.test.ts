import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { AuditTrail } from './audit-trail.js'
import { RandomFaults } from './fault.js'
import { MemoryTable } from './memory-table.js'

const setup = (queueLimit = 1000) => {
  const time = new VirtualTime()
  const clock = time.clock()
  const faults = new RandomFaults(new Random(1))
  const table = new MemoryTable({ clock, faults })
  const trail = new AuditTrail({ table, hostId: 'here', clock, queueLimit })
  const list = async (): Promise<string[]> =>
    (await trail.list()).unwrapOr([]).map(({ who, details }) => `${who}: ${details}`)
  return { time, clock, faults, table, trail, list }
}

const entry = (who: string) => ({
  who,
  action: 'apply',
  subject: 'file',
  versionBefore: 1,
  versionAfter: 2,
  outcome: 'accepted',
  details: '',
})

test('entries are listed newest first and in pages, including one written in a transaction of the caller', async () => {
  const { time, table, trail } = setup()
  assert.equal(await trail.append(entry('a')), 'written')
  await time.advance(1)
  const row = trail.toRow(entry('b'))
  await table.transact({ writeId: 'w', conditions: [{ key: row.key, version: 0 }], puts: [row] })
  assert.equal(await trail.append(entry('c')), 'written')
  const [newest, ...rest] = (await trail.list()).unwrapOr([])
  assert.deepEqual([newest?.who, newest?.versionAfter, rest.map(({ who }) => who)], ['c', 2, ['b', 'a']])
  const older = (await trail.list({ before: newest?.key ?? '', limit: 1 })).unwrapOr([])
  assert.deepEqual(
    older.map(({ who }) => who),
    ['b'],
  )
})

test('entries made during an outage are written when it ends, and the number of dropped ones is recorded', async () => {
  const { time, faults, trail, list } = setup(3)
  faults.policy = { ...faults.policy, unavailable: 1 }
  const appended = Promise.all(['a', 'b', 'c', 'd', 'e'].map((who) => trail.append(entry(who))))
  await time.advance(5000)
  assert.deepEqual(await appended, ['queued', 'queued', 'queued', 'dropped', 'dropped'])
  faults.policy = { ...faults.policy, unavailable: 0 }
  await time.advance(2000)
  assert.equal(trail.queued, 0)
  assert.deepEqual(await list(), ['here: 2 entries dropped', 'c: ', 'b: ', 'a: '])
})

test('an entry is listed only once although the response to its write was lost', async () => {
  const { time, faults, trail, list } = setup()
  faults.policy = { ...faults.policy, loseAnswer: 0.6, unavailable: 0.3, maxDelayMs: 1500 }
  const names = Array.from({ length: 50 }, (_, index) => `user-${String(index)}`)
  for (const name of names) {
    void trail.append(entry(name))
    await time.advance(200)
  }
  faults.policy = { ...faults.policy, loseAnswer: 0, unavailable: 0, maxDelayMs: 0 }
  await time.advance(60_000)
  assert.deepEqual(
    (await list()).reverse(),
    names.map((name) => `${name}: `),
  )
})
