/**
 * Targets that say in their responses that they are leaving, over real sockets, while the target registry does
 * not tell it. Guards against requests that are sent to such a target, and lost when it ends.
 */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { SilentLogger } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { TargetCalls } from '@pimentotally/platform'
import { answerHeaders, requestIdOf, targetRow } from '@pimentotally/platform/testing'
import { TargetState } from '@pimentotally/routing'
import { Directory } from './directory.js'
import { LeavingTargets } from './leaving-targets.js'
import { TestGateway, answerWith, startTarget, type Handler } from './testing-gateway.js'

/** Responds to the n-th request, counted from 0, as a target that is leaving if `isLeaving` says so. */
const answerLeaving = (isLeaving: (index: number) => boolean, status = 200, notExecuted = false): Handler => {
  let count = 0
  return (request, response) => {
    const leaving = isLeaving(count)
    count += 1
    response.writeHead(status, answerHeaders(requestIdOf(request), { leaving, notExecuted })).end('body')
  }
}

const always = (): boolean => true
const post = { method: 'POST', body: 'x' }

for (const [name, handler] of [
  ['a response', answerLeaving(always)],
  ['a refusal', answerLeaving(always, 503, true)],
  ['a server error', answerLeaving(always, 500)],
] as const) {
  test(`no request reaches a target that has said in ${name} that it leaves`, async (t) => {
    const leaving = await startTarget(t, 'a', handler)
    const other = await startTarget(t, 'b', answerWith(200))
    const gateway = await TestGateway.start(t, [leaving, other])
    for (let index = 0; index < 20 && leaving.receivedIds.length === 0; index += 1)
      await gateway.call('/orders/1', post)
    const before = leaving.receivedIds.length
    assert.ok(before > 0)
    for (let index = 0; index < 30; index += 1) {
      assert.equal((await gateway.call(index % 2 === 0 ? '/orders/1' : '/notes/1', post)).status, 200)
    }
    assert.equal(leaving.receivedIds.length, before)
  })
}

test('a request is refused as not run when all targets of its service have said that they leave', async (t) => {
  const target = await startTarget(t, 'a', answerLeaving(always))
  const gateway = await TestGateway.start(t, [target])
  assert.equal((await gateway.call('/orders/1', post)).status, 200)
  const refused = await gateway.call('/orders/1', post)
  assert.equal(refused.status, 503)
  assert.match(refused.body, /not-run/)
  assert.ok(Number(refused.headers['retry-after']) > 0)
})

test('a target that answers for another one, as its address was given away, does not make that one leave', async (t) => {
  const target = await startTarget(t, 'a', answerLeaving(always, 421, true))
  const gateway = await TestGateway.start(t, [target])
  await gateway.call('/orders/1', post)
  assert.equal(gateway.directory.target('a')?.state, TargetState.ready)
})

const startDirectory = (): {
  directory: Directory
  apply: (changed: ReturnType<typeof targetRow>[]) => void
} => {
  const directory = new Directory({ clock: new VirtualTime().clock(), logger: new SilentLogger() })
  let version = 0
  const apply = (changed: ReturnType<typeof targetRow>[]): void => {
    version += 1
    directory.applyTargetRegistry({ changed, removed: [], version })
  }
  return { directory, apply }
}

const address = '10.0.0.1:80'

test('a later heartbeat that says ready does not bring a leaving target back, a later process does', () => {
  const { directory, apply } = startDirectory()
  apply([targetRow({ id: 'a', address, sequence: 1 })])
  directory.recordLeaving('a', 1000)
  assert.equal(directory.target('a')?.state, TargetState.draining)
  apply([targetRow({ id: 'a', address, sequence: 2, rowVersion: 2 })])
  assert.equal(directory.target('a')?.state, TargetState.draining)
  apply([targetRow({ id: 'a', address, sequence: 1, startedAtEpochMs: 2000, rowVersion: 3 })])
  assert.equal(directory.target('a')?.state, TargetState.ready)
})

test('a response of an earlier process does not make a later one leave', () => {
  const { directory, apply } = startDirectory()
  apply([targetRow({ id: 'a', address, startedAtEpochMs: 2000 })])
  directory.recordLeaving('a', 1000)
  assert.equal(directory.target('a')?.state, TargetState.ready)
})

test('a host does not go on sending to a target of which another host has heard that it leaves', () => {
  const first = startDirectory()
  const second = startDirectory()
  for (const { apply } of [first, second])
    apply([targetRow({ id: 'a', address }), targetRow({ id: 'b', address })])
  first.directory.recordLeaving('a', 1000)
  second.directory.mergeLeaving(first.directory.leavingStatements())
  assert.equal(second.directory.target('a')?.state, TargetState.draining)
  assert.equal(second.directory.target('b')?.state, TargetState.ready)
})

test('statements of leaving targets do not fill the memory', () => {
  const leaving = new LeavingTargets()
  for (let index = 0; index < 5000; index += 1) leaving.add(String(index), 1000)
  assert.ok(leaving.statements().length <= 500)
  assert.equal(leaving.has('4999', 1000), true)
})

test('the response to a grant, a release or a probe that says that the target leaves is not overlooked', async (t) => {
  const server = createServer((request, response) => {
    response.writeHead(200, answerHeaders(requestIdOf(request), { leaving: true })).end()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.after(() => {
    server.close()
    server.closeAllConnections()
  })
  const heard: string[] = []
  const calls = new TargetCalls({ leaving: ({ id }) => heard.push(id) })
  const at = `127.0.0.1:${String((server.address() as AddressInfo).port)}`
  const range = { from: 0, to: 9, fence: 1, timeoutMs: 2000 }
  await calls.grant({ id: 'granted', address: at }, { ...range, holdMs: 1000, handover: undefined })
  await calls.release({ id: 'released', address: at }, range)
  // A probe's response does not say whose it is here, so it tells nothing of the target.
  await calls.probe({ id: 'probed', address: at }, '/healthz', 2000)
  assert.deepEqual(heard, ['granted', 'released'])
})
