/** Requests that wait for a connection while it becomes known that they may crash their targets. */
import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout } from 'node:timers/promises'
import { targetRow } from '@pimentotally/platform/testing'
import type { CrashStatement } from './crash-statements.js'
import { CrashingRequests } from './crashing-requests.js'
import { TestGateway, rawHead, startRawTarget, type RawTarget } from './testing-gateway.js'

interface FullOwner {
  readonly gateway: TestGateway
  readonly target: RawTarget
  /** Calls with the key that the target owns. */
  readonly call: (path: string) => ReturnType<TestGateway['call']>
  /** Name of the request to `/notes/crash`. */
  readonly name: string
  readonly crash: (index: number, more?: Partial<CrashStatement>) => CrashStatement
  /** Two runs of the request are lost, and whether their target has ended is not found out within the test. */
  readonly loseUnexplained: () => void
  /** Closes the connections on which the target received the request. */
  readonly breakOff: () => void
  /** Answers what the target has received and will receive. */
  readonly release: () => Promise<void>
}

/** Starts an owner of a key whose two connections carry requests until `release` is called. */
const startFullOwner = async (t: TestContext, paths = ['/notes/1', '/notes/2']): Promise<FullOwner> => {
  const pending: (() => void)[] = []
  const crashSockets: Socket[] = []
  let isReleased = false
  const target = await startRawTarget(t, 'a', (socket, requestId, _index, path) => {
    const respond = (): void => {
      socket.write(`${rawHead(requestId, ['Content-Length: 2'])}\r\nok`)
    }
    if (path === '/notes/crash') crashSockets.push(socket)
    if (isReleased) respond()
    else pending.push(respond)
  })
  const gateway = await TestGateway.start(t, [target], { isSharded: true, maxConnections: 2 })
  gateway.assign('a', { version: 1 })
  const call: FullOwner['call'] = (path) => gateway.call(path, { fields: { key: 7 } })
  const served = paths.map((path) => call(path))
  while (pending.length < paths.length) await setTimeout(1)
  const content = { method: 'GET', hostname: 'shop.example', path: '/notes/crash', body: undefined }
  const [, name = ''] = CrashingRequests.identify({ ...content, caller: '' })
  return {
    gateway,
    target,
    call,
    name,
    crash: (index, more = {}) => ({
      request: name,
      target: `t${String(index)}`,
      startedAtEpochMs: null,
      hostName: 'other',
      sentAgeMs: 1000 - index * 100,
      endedAgeMs: 950 - index * 100,
      cleared: false,
      ...more,
    }),
    loseUnexplained: () => {
      // A connection to the broadcast address of loopback fails at once without a refusal, so it tells nothing of the target.
      const row = targetRow({ id: 't8', address: '127.255.255.255:9' })
      gateway.directory.applyTargetRegistry({ changed: [row], removed: [], version: 2 })
      const lostTarget = gateway.directory.target('t8')
      assert.ok(lostTarget)
      for (const requestId of ['lost-1', 'lost-2'])
        void gateway.crashingRequests.runLost({
          names: [name],
          requestId,
          target: lostTarget,
          sentAtMs: performance.now() - 100,
        })
    },
    breakOff: () => {
      for (const socket of crashSockets.splice(0)) socket.destroy()
    },
    release: async () => {
      isReleased = true
      for (const respond of pending.splice(0)) respond()
      const responses = await Promise.all(served)
      for (const { status } of responses) assert.equal(status, 200)
    },
  }
}

test('a request that waits for a connection is not sent once its third crash is known', async (t) => {
  const { gateway, target, call, crash, release } = await startFullOwner(t)
  const waiting = call('/notes/crash')
  await setTimeout(50)
  gateway.crashingRequests.merge([1, 2, 3].map((index) => crash(index)))
  await release()
  const { status, body } = await waiting
  assert.deepEqual([status, body.includes('crash_unconfirmed')], [503, true], body)
  assert.equal(target.receivedIds.length, 2)
})

test('a request that waits for a connection runs alone when its second crash becomes known', async (t) => {
  const { gateway, target, call, crash, release } = await startFullOwner(t)
  const waiting = [call('/notes/crash'), call('/notes/crash')]
  await setTimeout(50)
  gateway.crashingRequests.merge([1, 2].map((index) => crash(index)))
  await release()
  const statuses = (await Promise.all(waiting)).map(({ status }) => status)
  assert.deepEqual(statuses.sort(), [200, 503], 'one of them runs, as when it had come now')
  assert.equal(target.receivedIds.length, 3)
})

test('a request that waits for a connection is sent when a run to the end has cleared it', async (t) => {
  const { gateway, call, crash, loseUnexplained, release } = await startFullOwner(t)
  gateway.crashingRequests.merge([crash(1)])
  const waiting = call('/notes/crash')
  await setTimeout(50)
  gateway.crashingRequests.merge([crash(1, { cleared: true, completedAgeMs: 5 })])
  loseUnexplained()
  await release()
  const { status, body } = await waiting
  assert.equal(status, 200, body)
})

test('a request that waits for a connection is sent after one crash while other targets are examined', async (t) => {
  const { gateway, call, crash, loseUnexplained, release } = await startFullOwner(t)
  loseUnexplained()
  const waiting = call('/notes/crash')
  await setTimeout(50)
  gateway.crashingRequests.merge([crash(1)])
  await release()
  const { status, body } = await waiting
  assert.equal(status, 200, body)
})

test('a repeat that waits for a connection is not sent once other lost runs of it are being examined', async (t) => {
  const { target, gateway, name, call, loseUnexplained, breakOff, release } = await startFullOwner(t, [
    '/notes/1',
  ])
  const repeated = call('/notes/crash')
  while (target.receivedIds.length < 2) await setTimeout(1)
  const other = call('/notes/2')
  await setTimeout(30)
  breakOff()
  // The other request gets the connection that becomes free, and the repeat waits.
  while (target.receivedIds.length < 3) await setTimeout(1)
  await setTimeout(30)
  loseUnexplained()
  assert.equal(gateway.crashingRequests.mayRepeat([name]), false)
  await release()
  const { status, body } = await repeated
  assert.equal(status, 502, body)
  assert.equal((await other).status, 200)
  assert.equal(target.receivedIds.length, 3)
})

test('a request that waits for a connection is not sent beside a later one when several of it were lost at once', async (t) => {
  const { gateway, target, call, crash, release } = await startFullOwner(t)
  const first = call('/notes/crash')
  await setTimeout(50)
  gateway.crashingRequests.merge([crash(1, { shared: true, endedAgeMs: 30_000, sentAgeMs: 30_050 })])
  const second = call('/notes/crash')
  await setTimeout(50)
  await release()
  const responses = await Promise.all([first, second])
  assert.deepEqual(
    responses.map(({ status, body }) => [status, body.includes('suspect_runs')]),
    [
      [503, true],
      [200, false],
    ],
  )
  assert.equal(target.receivedIds.length, 3)
})
