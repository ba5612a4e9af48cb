import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { DeploymentFile } from '@pimentotally/config'
import type { CallResult } from './caller.js'
import { checkRun, type TargetFigures } from './demo-report.js'
import type { SentRequest } from './traffic.js'

const example = join(import.meta.dirname, '../../../examples/atap-batu.toml')
const deployment = DeploymentFile.parse(readFileSync(example, 'utf8'))
const complete: CallResult = { kind: 'answer', status: 200, body: Buffer.from('') }
const notRun: CallResult = { kind: 'notRun', status: 503, code: 'no_target', message: '' }

const sentTo = (
  service: string,
  identity: string,
  endedMs: number,
  callResult: CallResult = complete,
): SentRequest => ({
  service,
  key: service === 'survey-notes' ? 'a' : '',
  identity,
  startedMs: endedMs,
  endedMs,
  callResult,
})

const target = (
  name: string,
  runs: Readonly<Record<string, number>>,
  mostAtOnce = 6,
  span: readonly [number, number] = [0, 0],
): TargetFigures => ({
  name,
  service: 'survey-notes',
  slots: 6,
  runs: new Map(Object.entries(runs)),
  record: {
    instanceId: name,
    runs,
    mostAtOnce,
    mostRunning: 0,
    mostConnections: 0,
    refusals: {},
    cancelled: 0,
    fences: { a: [{ fence: '1', firstMs: span[0], lastMs: span[1] }] },
  },
})

const sound = deployment.services.flatMap(({ name }) =>
  [1000, 2500].map((atMs) => sentTo(name, `${name}-${String(atMs)}`, atMs)),
)

const failedChecks = (sent: readonly SentRequest[], targets: readonly TargetFigures[]): string[] =>
  checkRun({ deployment, sent, targets, startedMs: 0, endedMs: 4000, recoveryMs: 2000 })
    .filter(({ faults }) => faults.length > 0)
    .map(({ name }) => name)

const ran = target('one', { 'deposits-1000': 1, 'deposits-2500': 1 })

// Guards against checks of the demo that pass whatever happened.
test('each kind of fault fails its own check only, and a run without faults passes all checks', () => {
  assert.deepEqual(failedChecks(sound, [ran]), [])
  assert.deepEqual(failedChecks(sound, [ran, target('two', { 'deposits-1000': 1 })]), [
    'no booking ran twice',
  ])
  assert.deepEqual(failedChecks(sound, [target('one', { 'deposits-1000': 1 })]), [
    'every acknowledged booking ran',
  ])
  const refused = sentTo('prices', 'refused', 3000, notRun)
  assert.deepEqual(failedChecks([...sound, refused], [ran]), [])
  assert.deepEqual(failedChecks([...sound, refused], [ran, target('two', { refused: 1 })]), [
    'what was refused as not run did not run',
  ])
  assert.deepEqual(failedChecks([...sound, { ...sentTo('prices', 'x', 1), fault: 'truncated' }], [ran]), [
    "every complete answer was the caller's own and whole",
  ])
  assert.deepEqual(failedChecks(sound, [ran, target('two', {}, 7)]), ['no target got more than its slots'])
  assert.deepEqual(
    failedChecks(sound, [ran, target('two', {}, 6, [10, 30]), target('three', {}, 6, [20, 25])]),
    ['no key was served by two targets at once'],
  )
  assert.deepEqual(
    failedChecks(
      sound.filter(({ identity }) => identity !== 'survey-notes-2500'),
      [ran],
    ),
    ['every sampled key was served again within 2000 ms'],
  )
  assert.deepEqual(
    failedChecks(
      sound.filter(({ service }) => service !== 'prices'),
      [ran],
    ),
    ['every service answered'],
  )
})
