/** Load reports between hosts, and the shares that the leader answers with. */
import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { KeyLoad } from '@pimentotally/assignment'
import { SilentLogger } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { Directory } from './directory.js'
import { KeyReports } from './key-reports.js'
import { encodeLeader, ownKeys } from './own-rows.js'

interface Reporting {
  readonly time: VirtualTime
  readonly reports: KeyReports
  readonly keyLoad: KeyLoad
  readonly speeds: string[]
  shares: Record<string, number>
}

/** A host that leads, so that it takes its own reports. */
const lead = (t: TestContext): Reporting => {
  const time = new VirtualTime()
  const clock = time.clock()
  const logger = new SilentLogger()
  const directory = new Directory({ clock, logger })
  const record = { leader: 'h', peerAddress: '127.0.0.1:1', term: 1, renewal: 1, released: false }
  directory.applyOwnRow({ key: ownKeys.leader, version: 1, value: encodeLeader(record) })
  const keyLoad = new KeyLoad()
  const state: Reporting = {
    time,
    keyLoad,
    speeds: [],
    shares: {},
    reports: new KeyReports({
      clock,
      logger,
      directory,
      processId: 'h',
      sources: () => [],
      keyLoad: (service) => (service === 'notes' ? keyLoad : undefined),
      addSpeed: (target, sum, count) => state.speeds.push(`${target} ${String(sum)}/${String(count)}`),
      shares: () => state.shares,
    }),
  }
  void state.reports.run()
  t.after(() => {
    state.reports.stop()
  })
  return state
}

test('requests by key and observed speeds reach the leader’s balance', async (t) => {
  const { time, reports, keyLoad, speeds } = lead(t)
  for (let index = 0; index < 20; index += 1) reports.count('notes', 7)
  reports.count('other', 7)
  reports.observeSpeed('t', 2)
  reports.observeSpeed('t', 4)
  await time.advance(600)
  assert.ok(keyLoad.rate(7) > 8)
  assert.deepEqual(speeds, ['t 6/2'])
})

test('a share ends when the leader is not heard of any more', async (t) => {
  const state = lead(t)
  state.shares = { hot: 0.25 }
  await state.time.advance(600)
  assert.equal(state.reports.share('hot'), 0.25)
  assert.equal(state.reports.share('other'), 1)
  state.reports.stop()
  await state.time.advance(3000)
  assert.equal(state.reports.share('hot'), 1)
})

test('a malformed report changes nothing', (t) => {
  const { reports, keyLoad, speeds } = lead(t)
  for (const text of [
    '',
    '[]',
    '{"keys":{"notes":[[1]]},"speeds":{}}',
    '{"keys":{},"speeds":{"t":["x",1]}}',
    'null',
  ]) {
    assert.equal(reports.receive(text).status, 400, text)
  }
  assert.equal(keyLoad.sum(0, 65_535), 0)
  assert.deepEqual(speeds, [])
  assert.equal(reports.receive('{"keys":{"notes":[[1,3]]},"speeds":{}}').status, 200)
})
