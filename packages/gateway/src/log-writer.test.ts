/**
 * Guards against logs that block the process or fill its memory when their reader is slow or an event is
 * frequent.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualTime } from '@pimentotally/core/testing'
import { LogWriter } from './log-writer.js'

const parse = (text: string): Record<string, unknown>[] =>
  text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Record<string, unknown>)

test('a reader that does not take lines neither blocks the process nor lets the buffer grow', async () => {
  const time = new VirtualTime()
  const writes: { text: string; done: () => void }[] = []
  const writer = new LogWriter({
    clock: time.clock(),
    sink: (text, done) => writes.push({ text, done }),
    maxBufferedBytes: 2000,
    maxLinesPerEvent: 1_000_000,
  })
  for (let index = 0; index < 10_000; index += 1) writer.info('request.refused', { index })
  // The first line is being written; nothing else has been passed to the sink.
  assert.equal(writes.length, 1)
  // The next line begins a new period of a second, in which the dropped lines are reported.
  await time.advance(1500)
  writes[0]?.done()
  // The line that exceeds the bound is still buffered, so the text may be a little longer than the bound.
  assert.ok((writes[1]?.text.length ?? 0) < 4000, 'the buffer is bounded')
  writes[1]?.done()
  writer.info('later')
  const lines = parse(writes[2]?.text ?? '')
  assert.equal(lines[0]?.event, 'log.dropped')
  const dropped = lines[0].dropped as Record<string, number>
  assert.ok((dropped['request.refused'] ?? 0) > 9000)
})

test('lines of one event are limited per second, and lines of other events are still written', async () => {
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

test('errors are written with their code, numbers with at most two decimals', () => {
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
