/** Logs stay bounded and never block, whatever their reader does. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualTime } from '@pimentotally/core/testing'
import { LogWriter } from './log-writer.js'

const parse = (text: string): Record<string, unknown>[] =>
  text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Record<string, unknown>)

test('a stuck reader stops neither the process nor lets the buffer grow', async () => {
  const time = new VirtualTime()
  const taken: { text: string; done: () => void }[] = []
  const writer = new LogWriter({
    clock: time.clock(),
    sink: (text, done) => taken.push({ text, done }),
    maxBufferedBytes: 2000,
    maxLinesPerEvent: 1_000_000,
  })
  for (let index = 0; index < 10_000; index += 1) writer.info('request.refused', { index })
  // The first line is being written; nothing else was handed over.
  assert.equal(taken.length, 1)
  await time.advance(1500)
  taken[0]?.done()
  assert.ok((taken[1]?.text.length ?? 0) < 4000, 'the buffer is bounded')
  taken[1]?.done()
  writer.info('later')
  const lines = parse(taken[2]?.text ?? '')
  assert.equal(lines[0]?.event, 'log.dropped')
  const dropped = lines[0].dropped as Record<string, number>
  assert.ok((dropped['request.refused'] ?? 0) > 9000)
})

test('lines of one event are limited in a second, and others still come through', async () => {
  const time = new VirtualTime()
  let text = ''
  const writer = new LogWriter({
    clock: time.clock(),
    sink: (part, done) => {
      text += part
      done()
    },
    maxLinesPerEvent: 5,
  })
  for (let index = 0; index < 100; index += 1) writer.info('attempt.failed', { index })
  writer.info('leader.elected', { term: 1 })
  await time.advance(1100)
  writer.info('attempt.failed', { index: 100 })
  const events = parse(text).map(({ event }) => event)
  assert.equal(events.filter((event) => event === 'attempt.failed').length, 6)
  assert.ok(events.includes('leader.elected') && events.includes('log.dropped'))
})

test('errors are written with their code, numbers without a tail', () => {
  let text = ''
  const writer = new LogWriter({
    clock: new VirtualTime().clock(),
    sink: (part, done) => {
      text += part
      done()
    },
  })
  writer.warn('x', { error: Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }), tookMs: 1.23456 })
  assert.deepEqual(parse(text)[0]?.error, { message: 'refused', code: 'ECONNREFUSED' })
  assert.equal(parse(text)[0]?.tookMs, 1.23)
})
