import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { test } from 'node:test'
import { sendRaw, run, until } from './fixtures.js'
import { useTestHosts } from './test-host.js'

const { target, host } = useTestHosts()

const get = 'GET /notes/1 HTTP/1.1\r\n'
const post = 'POST /notes/1 HTTP/1.1\r\nhost: a\r\n'

/** Request heads, by the status and code of their refusal. */
const refused: Record<string, Record<string, string>> = {
  '400 ambiguous_framing': {
    'both framings': `${post}content-length: 4\r\ntransfer-encoding: chunked`,
    'both framings, the other order': `${post}transfer-encoding: chunked\r\ncontent-length: 4`,
    'repeated content-length': `${post}content-length: 0\r\ncontent-length: 4`,
    'list in content-length': `${post}content-length: 0, 4`,
    'unknown coding': `${post}transfer-encoding: chunked, gzip`,
    'repeated coding': `${post}transfer-encoding: chunked\r\ntransfer-encoding: chunked`,
  },
  '400 bad_request': {
    'folded line': `${get}host: a\r\nx-a: b\r\n c`,
    'space before the colon': `${post}content-length : 4`,
  },
  '400 invalid_host': { 'no host': `${get}x-a: b`, 'two hosts': `${get}host: a\r\nhost: b` },
  '400 invalid_path': {
    'dot segments': 'GET /notes/%2e%2E/deposits HTTP/1.1\r\nhost: a',
    'absolute form': 'GET http://a/notes/1 HTTP/1.1\r\nhost: a',
  },
  '413 headers_too_large': { 'oversized headers': `${get}host: a\r\nx-a: ${'b'.repeat(20_000)}` },
  '413 body_too_large': { 'oversized body': `${post}content-length: 1000001` },
  '404 service_not_found': {
    'control endpoint of a target': 'POST /grants HTTP/1.1\r\nhost: a',
    'no service': 'GET /other HTTP/1.1\r\nhost: a',
  },
}
const cases = Object.entries(refused).flatMap(([refusal, heads]) =>
  Object.entries(heads).map(([name, head]) => ({ refusal: refusal.split(' '), name, head })),
)

for (const { refusal, name, head } of cases) {
  test(`an ambiguous or invalid request is refused before anything is sent to a target: ${name}`, async () => {
    const scripted = await target(run)
    const router = await host({ targets: [scripted] })
    const text = await sendRaw(router.address, `${head}\r\n\r\n`)
    assert.match(text, new RegExp(`^HTTP/1.1 ${refusal[0] ?? ''} `))
    assert.match(text, /pimentotally-outcome: not-run/)
    assert.match(text, new RegExp(`"code":"${refusal[1] ?? ''}"`))
    assert.equal(scripted.receivedRequests.length, 0)
  })
}

test('an upload whose framing breaks after a part was sent is not reported as "not run"', async () => {
  let started = false
  const scripted = await target((request) => {
    request.on('error', () => undefined)
    started = true
  })
  const router = await host({ targets: [scripted] })
  const [address, port] = router.address.split(':')
  const socket = connect(Number(port), address)
  let text = ''
  socket.on('data', (chunk) => (text += chunk.toString())).on('error', () => undefined)
  const chunk = `14000\r\n${'x'.repeat(0x14000)}\r\n`
  socket.write(`PUT /notes/1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`)
  await until(() => started, 'the upload at the target')
  socket.write('no chunk\r\n')
  await until(() => socket.closed, 'the end of the connection')
  assert.equal(text, '')
  await until(() => router.permits.outstanding === 0, 'the permit')
})
