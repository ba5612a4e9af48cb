/** The faulty answers of the soak's targets are those that the protocol's page allows, and are recorded as written. */
import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Random } from '@pimentotally/core'
import {
  AnswerRecord,
  FaultyAnswers,
  KeyTargetServer,
  callerHeaders,
  noAnswerFaults,
  readAnswerFields,
  type AnswerFaultShares,
} from '@pimentotally/platform/testing'
import { exchangeRaw, type ReadAnswers } from './raw-answers.js'

interface Exchange extends ReadAnswers {
  readonly record: AnswerRecord
}

/** Sends one request to a target with these faults, and reads all that arrives within `silenceMs`. */
const exchangeWith = async (
  t: TestContext,
  shares: Partial<AnswerFaultShares>,
  silenceMs = 100,
): Promise<Exchange> => {
  const record = new AnswerRecord()
  const answers = new FaultyAnswers({ target: 'orders-0', record, random: new Random(1) })
  answers.shares = { ...noAnswerFaults, ...shares }
  const server = await KeyTargetServer.start({ id: 'orders-0', service: 'orders', domain: 'a', answers })
  t.after(() => {
    server.close()
  })
  const fields = { ...callerHeaders({ requestId: 'r-1', forgedTargetId: 'orders-0' }), host: 'shop.example' }
  const request = `GET /orders/1 HTTP/1.1\r\n${Object.entries(fields)
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('')}\r\n`
  const port = Number(server.address.split(':')[1])
  return { ...(await exchangeRaw({ port, requests: [request], timeoutMs: 2000, silenceMs })), record }
}

for (const fault of ['copied', 'copiedLate'] as const) {
  test(`a target with the fault ${fault} writes an answer once more, byte for byte in body and signature`, async (t) => {
    const { answers, rest, record } = await exchangeWith(t, { [fault]: 1 })
    assert.match(rest, /^HTTP\/1\.1 200 /)
    const { signature } = readAnswerFields(answers[0]?.headers ?? {})
    assert.ok(rest.includes(signature ?? 'none'))
    assert.ok(rest.endsWith(answers[0]?.body ?? 'none'))
    assert.equal(record.ofRequest('r-1').length, 1)
  })
}

test('the copies of failures and refusals have the status of the first answer', async (t) => {
  for (const [share, status] of [
    ['failed', 500],
    ['refused', 503],
  ] as const) {
    const { answers, rest, record } = await exchangeWith(t, { [share]: 1, copied: 1 })
    assert.equal(answers[0]?.status, status)
    assert.ok(rest.startsWith(`HTTP/1.1 ${String(status)} `))
    assert.equal(record.ofRequest('r-1')[0]?.status, status)
  }
})

test('an answer without a length ends with its connection and is whole', async (t) => {
  const { answers, record } = await exchangeWith(t, { unframed: 1 })
  assert.equal(answers[0]?.headers['content-length'], undefined)
  assert.equal(answers[0]?.body, record.ofRequest('r-1')[0]?.body)
})

test('an answer in segments arrives whole, and one that breaks off does not', async (t) => {
  const segmented = await exchangeWith(t, { segmented: 1 })
  assert.equal(segmented.answers[0]?.body, segmented.record.ofRequest('r-1')[0]?.body)
  const brokenOff = await exchangeWith(t, { brokenOff: 1 })
  assert.deepEqual(brokenOff.answers, [])
})

test('a success without proof has no signature, or says that its body is encoded', async (t) => {
  const { answers } = await exchangeWith(t, { unproven: 1 })
  const { signature, isEncoded } = readAnswerFields(answers[0]?.headers ?? {})
  assert.ok(signature === undefined || isEncoded)
})
