/** Tests that `explain` finds the log lines that tell why a request failed. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { explainRequest } from './explain.js'

const line = (timeMs: number, event: string, fields: object, host = 'h1'): string =>
  `12.5 ${host} ${JSON.stringify({ level: 'info', timeMs, event, host, ...fields })}`

const logs = [
  line(1000, 'target.silent', { target: 't1', service: 'notes' }),
  line(2100, 'request.refused', { requestId: 'r-1', service: 'notes', code: 'owner_unreachable' }),
  line(2000, 'attempt.failed', { requestId: 'r-1', service: 'notes', target: 't1', cause: 'not_sent' }),
  line(2050, 'target.connect_failed', { target: 't1' }),
  line(2060, 'target.connect_failed', { target: 't9' }),
  line(2070, 'replica.lost', { table: 'op' }),
  line(2080, 'replica.lost', { table: 'op' }, 'h2'),
  line(2090, 'attempt.failed', { requestId: 'r-2', service: 'notes' }),
  'not a log line {',
].join('\n')

test('the lines of a request are shown in order of time, with related events of the same host only', () => {
  const { found, text } = explainRequest('r-1', logs)
  assert.equal(found, true)
  const events = [...text.matchAll(/ms {2}(\S+)/g)].map((match) => match[1])
  assert.deepEqual(events, [
    'attempt.failed',
    'request.refused',
    'target.silent',
    'target.connect_failed',
    'replica.lost',
  ])
  assert.ok(text.includes('code=owner_unreachable'))
})

test('for a request without a line, the text says so and how many lines tell of dropped lines', () => {
  const { found, text } = explainRequest('r-9', `${logs}\n${line(1, 'log.dropped', { dropped: { x: 1 } })}`)
  assert.equal(found, false)
  assert.ok(text.includes('1 lines say'))
})
