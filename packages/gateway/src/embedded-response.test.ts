/**
 * Guards against a response that reaches a caller as part of another one's body, whatever parts the bytes arrive in,
 * and against bodies that are changed or refused although they hold no such response.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { EmbeddedResponseScanner } from './embedded-response.js'
import { rawHead, rawRefusal } from './testing-gateway.js'

const carriedIds = new Set(['r-1', 'r-2'])

/** The body as it passes the scanner in parts of random lengths; undefined if a response was found in it. */
const scan = (body: string, random: Random, longestPart: number): string | undefined => {
  const scanner = new EmbeddedResponseScanner(carriedIds)
  let passed = ''
  for (let at = 0; at < body.length;) {
    const length = 1 + random.integer(longestPart)
    const checked = scanner.push(Buffer.from(body.slice(at, at + length), 'latin1'))
    if (checked === undefined) return undefined
    passed += checked.toString('latin1')
    at += length
  }
  const rest = scanner.end()
  return rest === undefined ? undefined : passed + rest.toString('latin1')
}

const response = (id: string): string => `${rawHead(id, ['Content-Length: 4'])}\r\nbody`
const withoutResponse = [
  '',
  'H',
  'HTTP/1.1',
  'HHTTP/1.',
  'HTTP/1.1 is a protocol',
  'HTTP/1.1 200 OK: what it means',
  'HTTP/1.1 999 OK\r\nX-Request-Id: r-1\r\n\r\n',
  'HTTP/1.1 200 OK\r\nno field\r\nX-Request-Id: r-1\r\n\r\n',
  'HTTP/1.1 200 OK\r\n\r\nX-Request-Id: r-1\r\n',
  response('of-another-connection'),
]

for (const [index, body] of withoutResponse.entries()) {
  test(`a body without a response of its connection is unchanged, body ${String(index)}`, () => {
    const random = new Random(index + 1)
    for (let round = 0; round < 200; round += 1) {
      const padded = `${'x'.repeat(random.integer(30))}${body}`
      assert.equal(scan(padded, random, 1 + random.integer(40)), padded)
    }
  })
}

test('a response of its connection is found at any place of a body, in any parts', () => {
  const random = new Random(7)
  for (let round = 0; round < 2000; round += 1) {
    const copy = random.integer(2) === 0 ? response('r-1') : rawRefusal('r-2')
    const before = random.pick(['', 'x', 'H', 'HTTP/1.', 'HTTP/1.1 200 OK\r\n', ...withoutResponse]) ?? ''
    const body = `${before}${copy}${random.pick(['', 'more']) ?? ''}`
    assert.equal(scan(body, random, 1 + random.integer(80)), undefined, JSON.stringify(body))
  }
})

test('a response of its connection whose head is cut off by the end of the body is found', () => {
  const random = new Random(8)
  const copy = response('r-1')
  const headBytes = copy.indexOf('\r\n\r\n')
  for (let cutAt = 'HTTP/1.1 200 OK\r\n'.length; cutAt < headBytes; cutAt += 1) {
    assert.equal(
      scan(`text${copy.slice(0, cutAt)}`, random, 1 + random.integer(40)),
      undefined,
      String(cutAt),
    )
  }
})

test('a head without end is held back only up to a limit', () => {
  const scanner = new EmbeddedResponseScanner(carriedIds)
  const part = Buffer.from('X-Field: value\r\n'.repeat(100))
  assert.equal(scanner.push(Buffer.from('HTTP/1.1 200 OK\r\n'))?.length, 0)
  let passed = 0
  for (let index = 0; index < 50; index += 1) passed += scanner.push(part)?.length ?? 0
  assert.ok(50 * part.length - passed <= 2 * 1024)
})

test('a body full of status lines takes no longer than its bytes justify', { timeout: 20_000 }, () => {
  const scanner = new EmbeddedResponseScanner(carriedIds)
  for (const line of ['HTTP/1.1 200 OK\r\n', 'x:HTTP/1.1 200 OK\n']) {
    const part = Buffer.from(line.repeat(4000))
    for (let index = 0; index < 10; index += 1) assert.notEqual(scanner.push(part), undefined)
  }
  for (let index = 0; index < 20_000; index += 1) assert.notEqual(scanner.push(Buffer.from('x')), undefined)
})
