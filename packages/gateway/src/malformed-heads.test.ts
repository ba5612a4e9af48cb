/**
 * What callers receive when a target's response head is not HTTP, over real sockets. Guards against requests that
 * are never answered, and errors that reach the process, because a head that Node's parser accepts cannot be
 * written again.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { TestGateway, rawHead, startRawTarget } from './testing-gateway.js'

const body = 'whole body'
/** Bounds each test, so that a request that is never answered fails it. */
const timeoutMs = 30_000
const soundResponse = (requestId: string): string =>
  `${rawHead(requestId, [`Content-Length: ${String(body.length)}`, 'X-Note: some text'])}\r\n${body}`

const spoilers: Readonly<Record<string, (response: string) => string>> = {
  'a space in a field name': (response) => response.replace('X-Note', 'X Note'),
  'a status below 100': (response) => response.replace(' 200 ', ' 020 '),
  'a status above 599': (response) => response.replace(' 200 ', ' 999 '),
  'a control character in a field value': (response) => response.replace('some text', 'some\x01text'),
}

for (const [name, spoil] of Object.entries(spoilers)) {
  test(
    `a response with ${name} does not leave its caller without an answer: a safe request runs at another target`,
    { timeout: timeoutMs },
    async (t) => {
      const spoiling = await startRawTarget(t, 'a', (socket, id) =>
        socket.write(spoil(soundResponse(id)), 'latin1'),
      )
      const sound = await startRawTarget(t, 'b', (socket, id) => socket.write(soundResponse(id)))
      const gateway = await TestGateway.start(t, [spoiling, sound])
      for (let index = 0; index < 8; index += 1) {
        const answer = await gateway.call('/notes/1')
        assert.deepEqual([answer.status, answer.body], [200, body])
      }
      assert.ok(spoiling.receivedIds.length > 0)
    },
  )

  test(
    `a response with ${name} does not leave its caller without an answer: an unsafe request has an unknown outcome and runs once`,
    { timeout: timeoutMs },
    async (t) => {
      const spoiling = await startRawTarget(t, 'a', (socket, id) =>
        socket.write(spoil(soundResponse(id)), 'latin1'),
      )
      const gateway = await TestGateway.start(t, [spoiling])
      const answer = await gateway.call('/orders/1', { method: 'POST', body: 'x' })
      assert.equal(answer.status, 502)
      assert.match(answer.body, /unknown/)
      assert.equal(spoiling.receivedIds.length, 1)
    },
  )
}

test(
  'a switch to another protocol does not leave its caller without an answer',
  { timeout: timeoutMs },
  async (t) => {
    const target = await startRawTarget(t, 'a', (socket) =>
      socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n'),
    )
    const gateway = await TestGateway.start(t, [target])
    const { status, body } = await gateway.call('/orders/1', { method: 'POST', body: 'x' })
    assert.deepEqual([status, JSON.parse(body)], [502, { code: 'malformed', outcome: 'unknown' }])
  },
)

/** Changes one byte of the head. */
const mutate = (response: string, random: Random): string => {
  const headBytes = response.indexOf('\r\n\r\n') + 4
  const at = random.integer(headBytes)
  const byte = String.fromCharCode(random.integer(256))
  switch (random.integer(4)) {
    case 0:
      return response.slice(0, at) + response.slice(at + 1)
    case 1:
      return response.slice(0, at) + byte + response.slice(at)
    case 2:
      return response.slice(0, at)
    default:
      return response.slice(0, at) + byte + response.slice(at + 1)
  }
}

/** More than the deadline that the calls of these tests set. */
const longestCallMs = 6000
const mutatedHeads = 4000

test('random changes of response heads: no request is left without an end, and no unsafe one runs twice', async (t) => {
  const random = new Random(38)
  const target = await startRawTarget(t, 'a', (socket, id) => {
    socket.write(mutate(soundResponse(id), random), 'latin1')
    // Ends heads and bodies that a mutation left open.
    setTimeout(() => socket.end(), 30)
  })
  const gateway = await TestGateway.start(t, [target])
  const call = async (index: number): Promise<void> => {
    const isUnsafe = index % 2 === 1
    const ended = gateway
      .call(isUnsafe ? '/orders/1' : '/notes/1', isUnsafe ? { method: 'POST', body: 'x' } : {})
      .catch(() => undefined)
    const answer = await Promise.race([
      ended.then(() => 'ended'),
      new Promise((resolve) => setTimeout(resolve, longestCallMs, 'open').unref()),
    ])
    assert.equal(answer, 'ended', `request ${String(index)}`)
  }
  for (let index = 0; index < mutatedHeads; index += 20) {
    await Promise.all(Array.from({ length: 20 }, (_, offset) => call(index + offset)))
  }
  const unsafeIds = target.receivedIds.filter((id) => Number(id.replace('r-', '')) % 2 === 0)
  assert.deepEqual(unsafeIds, [...new Set(unsafeIds)])
})
