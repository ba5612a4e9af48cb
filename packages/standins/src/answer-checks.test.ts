/** The checks of the soak test find each way in which an answer is not the caller's own, or not whole. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AnswerRecord, type WrittenAnswer } from '@pimentotally/platform/testing'
import { FailedAttempts, checkAnswer, laterSuccesses } from './answer-checks.js'
import { readAnswers } from './raw-answers.js'
import type { SoakResponse } from './soak-callers.js'

const written = (signature: string, fields: Partial<WrittenAnswer> = {}): WrittenAnswer => ({
  signature,
  requestId: 'r-1',
  target: 'notes-0',
  status: 200,
  body: 'whole body',
  form: 'plain',
  writtenAtMs: 10,
  ...fields,
})

const received = (fields: Partial<SoakResponse> = {}): SoakResponse => ({
  caller: 'agent',
  requestId: 'r-1',
  path: '/notes/1',
  status: 200,
  echoedId: 'r-1',
  signature: 'first',
  isEncoded: false,
  body: 'whole body',
  receivedAtMs: 20,
  ...fields,
})

const recordOf = (...answers: readonly WrittenAnswer[]): AnswerRecord => {
  const record = new AnswerRecord()
  for (const answer of answers) record.add(answer)
  return record
}

const record = recordOf(
  written('first'),
  written('failure', { status: 500 }),
  written('foreign', { requestId: 'r-2' }),
)

const faults: readonly (readonly [name: string, fields: Partial<SoakResponse>])[] = [
  ['a success without a signature', { signature: undefined }],
  ['a signature that no target wrote', { signature: 'unknown' }],
  ['the body of another answer', { body: 'other body' }],
  ['a part of the body', { body: 'whole' }],
  ['a body that a second answer follows', { body: 'whole bodyHTTP/1.1 200 OK' }],
  ['an encoded body', { isEncoded: true }],
  ['an answer to another request', { signature: 'foreign' }],
  ['the id of another request', { echoedId: 'r-2' }],
  ['a failure with the signature of a success', { status: 502 }],
  ['a success with the signature of a failure', { signature: 'failure' }],
  ['a part of the body of a failure', { status: 500, signature: 'failure', body: 'whole' }],
  ['bytes behind the last answer', { unasked: 'HTTP/1.1 200 OK' }],
]

for (const [name, fields] of faults) {
  test(`the soak reports ${name}`, () => {
    assert.equal(checkAnswer(received(fields), record).length, 1)
  })
}

test('the soak accepts whole answers of the target, and failures of the gateway that bear no signature', () => {
  const sound: readonly Partial<SoakResponse>[] = [
    {},
    { echoedId: undefined },
    { status: 500, signature: 'failure' },
    { status: 503, signature: undefined, body: '{}' },
    { status: 0, signature: undefined, body: '' },
  ]
  for (const fields of sound) assert.deepEqual(checkAnswer(received(fields), record), [])
})

test('the soak reports the failure of an earlier attempt where the same target answered a later one', () => {
  const failure = received({ status: 500, signature: 'failed' })
  const earlier = written('failed', { status: 500 })
  const signaturesOf = (later: WrittenAnswer): string[] =>
    laterSuccesses(failure, recordOf(earlier, later)).map(({ signature }) => signature)
  assert.deepEqual(signaturesOf(written('later')), ['later'])
  assert.deepEqual(signaturesOf(written('elsewhere', { target: 'notes-1' })), [])
  assert.deepEqual(signaturesOf(written('broken', { form: 'brokenOff' })), [])
  assert.deepEqual(signaturesOf(written('too late', { writtenAtMs: 30 })), [])
})

test('the soak accepts the failure of an earlier attempt only if the log shows that the later success was lost', () => {
  const later = written('later')
  const answers = recordOf(written('failed', { status: 500 }), later)
  const explained = (...causes: readonly string[]): boolean =>
    new FailedAttempts(
      causes.map(
        (cause) =>
          `{"event":"attempt.failed","requestId":"r-1","service":"notes","target":"notes-0","cause":"${cause}"}`,
      ),
    ).explain(later, answers)
  assert.equal(explained('status_500', 'reset'), true)
  assert.equal(explained('status_500'), false)
  assert.equal(explained('status_500', 'status_500'), false)
  // The second attempt got a copy; only the third one was lost.
  assert.equal(explained('status_500', 'status_500', 'reset'), false)
})

test('a caller that reads its socket takes no incomplete answer for a whole one, and keeps what follows', () => {
  const framed = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'
  const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'
  const unframed = 'HTTP/1.0 200 OK\r\n\r\nbody'
  const bodiesOf = (text: string, isEnded = false): string[] =>
    readAnswers(text, 2, isEnded).answers.map(({ body }) => body)
  assert.deepEqual(bodiesOf(framed + chunked), ['body', 'body'])
  assert.deepEqual(bodiesOf(framed.slice(0, -1), true), [])
  assert.deepEqual(bodiesOf(chunked.slice(0, -3), true), [])
  assert.deepEqual(bodiesOf(unframed), [])
  assert.deepEqual(bodiesOf(unframed, true), ['body'])
  assert.equal(readAnswers(framed + chunked, 1, false).rest, chunked)
})
