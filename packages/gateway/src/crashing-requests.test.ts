/** Requests that crash each target that runs them, and innocent ones that ran beside them. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout } from 'node:timers/promises'
import { SilentLogger } from '@pimentotally/core'
import { VirtualTime, type VirtualClock } from '@pimentotally/core/testing'
import { targetRow } from '@pimentotally/platform/testing'
import { CrashVerdict, blockingCrashes } from '@pimentotally/routing'
import type { CrashStatement } from './crash-statements.js'
import { CrashingRequests, ProcessState, type RequestContent } from './crashing-requests.js'
import { Directory } from './directory.js'
import { routerStateKeys } from './router-state-rows.js'
import { TestGateway, startRawTarget, rawHead, type TestTarget } from './testing-gateway.js'

const request = 'crashing'
const names = [request]
const targetIds = ['t0', 't1', 't2', 't3', 't4'] as const
const runMs = 50

interface TestHost {
  readonly clock: VirtualClock
  readonly directory: Directory
  readonly crashes: CrashingRequests
  /** What connection attempts to any target show. */
  process: ProcessState
}

const startHost = (time: VirtualTime, hostName = 'h'): TestHost => {
  const clock = time.clock()
  const logger = new SilentLogger()
  const directory = new Directory({ clock, logger })
  const changed = targetIds.map((id, index) => targetRow({ id, address: `10.0.0.${String(index + 1)}:80` }))
  directory.applyTargetRegistry({ changed, removed: [], version: 1 })
  const probe = (): Promise<ProcessState> => Promise.resolve(host.process)
  const crashes = new CrashingRequests({ clock, logger, directory, hostName, probe })
  const host: TestHost = { clock, directory, crashes, process: ProcessState.ended }
  return host
}

/** The request runs on the target, whose connection is lost after `runMs`. */
const loseRun = async (
  time: VirtualTime,
  { clock, directory, crashes }: TestHost,
  id: string,
  name = request,
): Promise<void> => {
  const sentAtMs = clock.monotonicMs()
  await time.advance(runMs)
  const target = directory.target(id)
  assert.ok(target)
  void crashes.runLost({ names: [name], requestId: name, target, sentAtMs })
  await time.advance(1)
}

const tell = (from: TestHost, to: TestHost): void => {
  to.crashes.merge(from.crashes.statements())
}

test('a request that crashed three targets one after the other is refused, with the targets as the reason', async () => {
  const time = new VirtualTime()
  const host = startHost(time)
  const verdicts: CrashVerdict[] = []
  for (const id of targetIds.slice(0, blockingCrashes)) {
    assert.equal(host.crashes.refuse(names, 250), undefined)
    await loseRun(time, host, id)
    verdicts.push(host.crashes.verdict(names))
  }
  assert.deepEqual(verdicts, [CrashVerdict.suspected, CrashVerdict.runsAlone, CrashVerdict.blocked])
  assert.equal(host.crashes.refuse(names, 250)?.reason, 'crash_unconfirmed')
  await time.advance(3000)
  const refusal = host.crashes.refuse(names, 250)
  assert.equal(refusal?.reason, 'request_crashes_targets')
  assert.deepEqual(refusal.inputs.crashedTargets, ['t0', 't1', 't2'])
  assert.ok(refusal.retryAfterMs > 500_000)
  assert.equal(host.crashes.refuse(['other'], 250), undefined)
})

test('a request is not repeated at once when its lost runs may have crashed two targets', async () => {
  const time = new VirtualTime()
  const host = startHost(time)
  host.process = ProcessState.unknown
  await loseRun(time, host, 't0')
  assert.ok(host.crashes.mayRepeat(names))
  await loseRun(time, host, 't1')
  assert.ok(!host.crashes.mayRepeat(names), 'what became of the targets is not known yet')
})

test('a run to its end clears a request that ran beside one that crashes targets', async () => {
  const time = new VirtualTime()
  const host = startHost(time)
  await loseRun(time, host, 't0')
  await loseRun(time, host, 't1')
  host.crashes.runCompleted(names)
  assert.equal(host.crashes.verdict(names), CrashVerdict.unsuspected)
  for (const id of ['t2', 't3', 't4']) await loseRun(time, host, id)
  assert.equal(host.crashes.verdict(names), CrashVerdict.unsuspected, 'it has just run to its end')
})

test('a host that ran the request to its end clears it of crashes at other hosts', async () => {
  const time = new VirtualTime()
  const [a, b] = [startHost(time, 'a'), startHost(time, 'b')] as const
  b.crashes.runCompleted(names)
  for (const id of ['t0', 't1', 't2']) await loseRun(time, a, id)
  tell(a, b)
  tell(b, a)
  assert.equal(a.crashes.verdict(names), CrashVerdict.unsuspected)
})

test('one message tells that a request has run to its end, however many crashed runs either host knows', () => {
  const time = new VirtualTime()
  const [a, b] = [startHost(time, 'a'), startHost(time, 'b')] as const
  const crashesAt = (prefix: string): CrashStatement[] =>
    Array.from({ length: 12 }, (_, index) => ({
      request,
      target: `${prefix}${String(index)}`,
      startedAtEpochMs: 1000,
      hostName: 'c',
      sentAgeMs: 2000 - 100 * index,
      endedAgeMs: 1950 - 100 * index,
      cleared: false,
    }))
  a.crashes.merge(crashesAt('s'))
  b.crashes.merge(crashesAt('t'))
  assert.equal(a.crashes.verdict(names), CrashVerdict.blocked)
  b.crashes.runCompleted(names)
  tell(b, a)
  assert.equal(a.crashes.verdict(names), CrashVerdict.unsuspected)
})

test('a run to the end that hosts tell to and fro clears later crashes for a limited time', async () => {
  const time = new VirtualTime()
  const [a, b] = [startHost(time, 'a'), startHost(time, 'b')] as const
  await loseRun(time, a, 't0')
  a.crashes.runCompleted(names)
  for (let round = 0; round < 30; round += 1) {
    const [told, answer] = [a.crashes.statements(), b.crashes.statements()]
    await time.advance(200)
    b.crashes.merge(told)
    a.crashes.merge(answer)
    await time.advance(150)
  }
  for (const id of ['t1', 't2', 't3']) {
    await time.advance(500)
    await loseRun(time, a, id)
  }
  tell(a, b)
  assert.equal(a.crashes.verdict(names), CrashVerdict.blocked)
  assert.equal(b.crashes.verdict(names), CrashVerdict.blocked)
})

/** Registers the hosts of these names with one of them. */
const registerHosts = ({ directory }: TestHost, hostNames: readonly string[]): void => {
  for (const [index, name] of hostNames.entries()) {
    const row = { key: routerStateKeys.host(name), version: index + 1, value: Buffer.from('{}') }
    directory.applyRouterStateRow(row)
  }
}

test('a request that several hosts lost at once is not sent by all of them at once again', async () => {
  const time = new VirtualTime()
  const hostNames = Array.from({ length: 10 }, (_, index) => `h${String(index)}`)
  const hosts = hostNames.map((name) => startHost(time, name))
  for (const host of hosts) registerHosts(host, hostNames)
  const [leader, ...others] = hosts
  assert.ok(leader)
  const report = (): void => {
    for (const host of others) {
      tell(host, leader)
      tell(leader, host)
    }
  }
  await Promise.all(hosts.slice(0, 3).map((host) => loseRun(time, host, 't0')))
  let arrivals = 0
  // Callers send it to all hosts without end; each target ends while it runs it, the next one serves the key later.
  for (const id of ['t1', 't2', 't3', 't4']) {
    await time.advance(3600)
    let senders: TestHost[] = []
    for (let elapsedMs = 0; elapsedMs < 20_000 && senders.length === 0; elapsedMs += 50) {
      if (elapsedMs % 350 === 0) report()
      await time.advance(50)
      senders = hosts.filter(({ crashes }) => crashes.refuse(names, 250) === undefined)
    }
    arrivals += senders.length
    await Promise.all(senders.map((host) => loseRun(time, host, id)))
  }
  assert.ok(arrivals > 0 && arrivals <= 3, `${String(arrivals)} arrivals after the third run was lost`)
})

test('a request that several hosts lost at once is sent by each of them in turn until it runs to its end', async () => {
  const time = new VirtualTime()
  const [a, b] = [startHost(time, 'a'), startHost(time, 'b')] as const
  for (const host of [a, b]) registerHosts(host, ['a', 'b'])
  await Promise.all([a, b].map((host) => loseRun(time, host, 't0')))
  tell(a, b)
  tell(b, a)
  const waiting = new Set([a, b])
  for (let elapsedMs = 0; elapsedMs < 5000; elapsedMs += 50) {
    await time.advance(50)
    const free = [a, b].filter(({ crashes }) => crashes.refuse(names, 250) === undefined)
    assert.ok(free.length <= 1)
    for (const host of free) waiting.delete(host)
  }
  assert.equal(waiting.size, 0)
  b.crashes.runCompleted(names)
  tell(b, a)
  for (const { crashes } of [a, b]) assert.equal(crashes.refuse(names, 250), undefined)
})

test('a request that is told to and fro, or repeated after its loss, is not taken for several at once', async () => {
  const time = new VirtualTime()
  const [a, b] = [startHost(time, 'a'), startHost(time, 'b')] as const
  for (const host of [a, b]) registerHosts(host, ['a', 'b'])
  await loseRun(time, a, 't0')
  const target = a.directory.target('t0')
  assert.ok(target)
  void a.crashes.runLost({ names, requestId: 'r', target, sentAtMs: time.nowMs() - 1 })
  await time.advance(1)
  for (let round = 0; round < 5; round += 1) {
    tell(a, b)
    await time.advance(30)
    tell(b, a)
  }
  for (const { crashes } of [a, b]) assert.equal(crashes.refuse(names, 250), undefined)
})

test('a busy request that runs on all targets of a rack when it is lost is not refused', async () => {
  const time = new VirtualTime()
  const hosts = [startHost(time, 'a'), startHost(time, 'b')] as const
  await Promise.all(hosts.flatMap((host) => targetIds.map((id) => loseRun(time, host, id))))
  tell(hosts[0], hosts[1])
  tell(hosts[1], hosts[0])
  for (const { crashes } of hosts) assert.equal(crashes.verdict(names), CrashVerdict.suspected)
})

test('a connection that a running target resets is no crash', async () => {
  const time = new VirtualTime()
  const host = startHost(time)
  host.process = ProcessState.running
  for (const id of targetIds) await loseRun(time, host, id)
  assert.equal(host.crashes.verdict(names), CrashVerdict.unsuspected)
  assert.ok(host.crashes.isEmpty)
})

test('a target that cannot be reached has crashed once the registry shows another process or none', async () => {
  const time = new VirtualTime()
  const host = startHost(time)
  host.process = ProcessState.unknown
  for (const id of ['t0', 't1', 't2']) await loseRun(time, host, id)
  await time.advance(1500)
  assert.equal(host.crashes.verdict(names), CrashVerdict.unsuspected)
  const restarted = targetRow({ id: 't1', address: '10.0.0.2:80', startedAtEpochMs: 2000 })
  host.directory.applyTargetRegistry({ changed: [restarted], removed: ['t0'], version: 2 })
  await time.advance(1000)
  assert.equal(host.crashes.verdict(names), CrashVerdict.runsAlone)
  await time.advance(10_000)
  assert.equal(host.crashes.verdict(names), CrashVerdict.runsAlone, 't2 was only cut off')
})

test('crashes at one host count at the others, and so does a run to the end', async () => {
  const time = new VirtualTime()
  const [a, b, c] = [startHost(time, 'a'), startHost(time, 'b'), startHost(time, 'c')] as const
  await loseRun(time, a, 't0')
  await loseRun(time, b, 't1')
  await loseRun(time, c, 't2')
  tell(a, b)
  tell(b, c)
  assert.equal(c.crashes.verdict(names), CrashVerdict.blocked)
  tell(c, a)
  assert.equal(a.crashes.verdict(names), CrashVerdict.blocked)
  a.crashes.runCompleted(names)
  tell(a, b)
  tell(b, c)
  assert.equal(c.crashes.verdict(names), CrashVerdict.unsuspected)
  tell(c, a)
  assert.equal(a.crashes.verdict(names), CrashVerdict.unsuspected)
})

test('what is told to and fro is neither counted twice nor remembered for longer', async () => {
  const time = new VirtualTime()
  const [a, b] = [startHost(time, 'a'), startHost(time, 'b')] as const
  await loseRun(time, a, 't0')
  for (let round = 0; round < 100; round += 1) {
    tell(a, b)
    await time.advance(100)
    tell(b, a)
  }
  assert.equal(a.crashes.verdict(names), CrashVerdict.suspected)
  const [statement] = a.crashes.statements()
  assert.ok(statement && statement.endedAgeMs >= 10_000)
  await time.advance(3_600_000)
  assert.deepEqual(a.crashes.statements(), [])
  tell(b, a)
  assert.ok(a.crashes.isEmpty)
})

test('a suspect runs apart from other suspects, and after a second crash only once at a time', async () => {
  const time = new VirtualTime()
  const host = startHost(time)
  const { crashes } = host
  await loseRun(time, host, 't0', 'one')
  await loseRun(time, host, 't0', 'other')
  const end = crashes.runStarted(['one'], 't3')
  assert.deepEqual([...crashes.occupiedTargets(['other'])], ['t3'])
  assert.deepEqual([...crashes.occupiedTargets(['one'])], [])
  assert.equal(crashes.refuse(['one'], 250), undefined, 'a busy request is not held up by one crash')
  await loseRun(time, host, 't1', 'one')
  assert.equal(crashes.refuse(['one'], 250)?.reason, 'suspect_runs')
  end()
  end()
  assert.equal(crashes.refuse(['one'], 250), undefined)
  assert.deepEqual([...crashes.occupiedTargets(['other'])], [])
})

test('a blocked request runs alone once the block has ended, and is blocked again after one more crash', async () => {
  const time = new VirtualTime()
  const host = startHost(time)
  for (const id of ['t0', 't1', 't2']) await loseRun(time, host, id)
  await time.advance(600_000)
  assert.equal(host.crashes.verdict(names), CrashVerdict.runsAlone)
  await loseRun(time, host, 't3')
  assert.equal(host.crashes.verdict(names), CrashVerdict.blocked)
  await time.advance(600_000)
  host.crashes.runCompleted(names)
  assert.equal(host.crashes.verdict(names), CrashVerdict.unsuspected)
})

test('many requests with one crash each do not displace a blocked one', async () => {
  const time = new VirtualTime()
  const host = startHost(time)
  for (const id of ['t0', 't1', 't2']) await loseRun(time, host, id)
  for (let index = 0; index < 3000; index += 1) {
    const target = host.directory.target('t4')
    assert.ok(target)
    const name = `r${String(index)}`
    void host.crashes.runLost({ names: [name], requestId: name, target, sentAtMs: 0 })
  }
  await time.advance(1)
  assert.equal(host.crashes.verdict(names), CrashVerdict.blocked)
  assert.ok(host.crashes.suspects <= 1000)
  const statements = host.crashes.statements()
  assert.ok(statements.length <= 100)
  assert.equal(statements.filter((statement) => statement.request === request).length, 3)
})

test('a request is the same one when method, host, path, caller and body are the same', () => {
  const content: RequestContent = {
    method: 'POST',
    hostname: 'shop.example',
    path: '/orders/1?a=b',
    caller: '10.9.0.1',
    body: Buffer.from('body'),
  }
  const own = (of: RequestContent): string | undefined => CrashingRequests.identify(of)[0]
  const common = (of: RequestContent): string | undefined => CrashingRequests.identify(of)[1]
  assert.equal(own({ ...content, body: Buffer.from('body') }), own(content))
  const others: RequestContent[] = [
    { ...content, method: 'PUT' },
    { ...content, hostname: 'other.example' },
    { ...content, path: '/orders/1' },
    { ...content, body: Buffer.from('Body') },
    { ...content, body: undefined },
    { ...content, body: Buffer.alloc(0) },
    { ...content, body: Buffer.alloc(200_000) },
    { ...content, body: Buffer.alloc(200_001) },
  ]
  const otherCaller = { ...content, caller: '10.9.0.2' }
  for (const of of [own, common]) assert.equal(new Set([content, ...others].map(of)).size, others.length + 1)
  assert.notEqual(own(otherCaller), own(content))
  assert.equal(common(otherCaller), common(content))
})

test('a caller whose requests crash targets is refused although others are served at the same path', async () => {
  const time = new VirtualTime()
  const { crashes, ...host } = startHost(time)
  const [ofCaller, ofOther] = [
    ['caller', 'content'],
    ['other', 'content'],
  ] as const
  for (const id of ['t0', 't1', 't2']) {
    const target = host.directory.target(id)
    assert.ok(target)
    void crashes.runLost({ names: ofCaller, requestId: 'r', target, sentAtMs: time.nowMs() })
    await time.advance(1)
    crashes.runCompleted(ofOther)
  }
  assert.equal(crashes.verdict(ofCaller), CrashVerdict.blocked)
  assert.equal(crashes.verdict(ofOther), CrashVerdict.unsuspected)
})

test('a crashing request is recognised when each attempt comes from another address', async () => {
  const time = new VirtualTime()
  const { crashes, directory } = startHost(time)
  for (const id of ['t0', 't1', 't2']) {
    const target = directory.target(id)
    assert.ok(target)
    void crashes.runLost({
      names: [`caller of ${id}`, 'content'],
      requestId: 'r',
      target,
      sentAtMs: time.nowMs(),
    })
    await time.advance(1)
  }
  assert.equal(crashes.verdict(['new caller', 'content']), CrashVerdict.blocked)
})

/** A target that ends when a request with `/crash` in its path arrives, and serves any other. */
const startCrashingTarget = (t: Parameters<typeof startRawTarget>[0], id: string): Promise<TestTarget> => {
  const starting = startRawTarget(t, id, (socket, requestId, _index, path) => {
    if (path.includes('/crash'))
      void starting.then((target) => {
        target.end()
      })
    else socket.write(`${rawHead(requestId, ['Content-Length: 2'])}\r\nok`)
  })
  return starting
}

test('a crashing request ends no more than three targets of a host, and others are served by the rest', async (t) => {
  const targets = await Promise.all(['t0', 't1', 't2', 't3', 't4'].map((id) => startCrashingTarget(t, id)))
  const gateway = await TestGateway.start(t, targets)
  const statuses: number[] = []
  for (let index = 0; index < 8; index += 1) statuses.push((await gateway.call('/notes/crash')).status)
  const crashes = targets.flatMap(({ receivedIds }) => receivedIds).length
  assert.equal(crashes, blockingCrashes)
  assert.equal(statuses[0], 502, 'the first attempt may have run')
  assert.equal(statuses.at(-1), 503)
  const { status, body } = await gateway.call('/notes/1')
  assert.deepEqual([status, body], [200, 'ok'])
})

test('a request that full targets reset again and again is not taken for one that crashes them', async (t) => {
  const targets = await Promise.all(
    ['t0', 't1'].map((id) =>
      startRawTarget(t, id, (socket) => {
        socket.resetAndDestroy()
      }),
    ),
  )
  const gateway = await TestGateway.start(t, targets)
  for (let index = 0; index < 6; index += 1) {
    const { body } = await gateway.call('/notes/1')
    assert.ok(!body.includes('request_crashes_targets'), body)
  }
})

test('a request that was served shortly before the first crash of its targets is not suspected', async (t) => {
  /** A request is counted under two names. */
  const suspectsOfNew = 2
  const isCrashing = { current: false }
  const targets = await Promise.all(
    ['t0', 't1', 't2', 't3'].map((id) => {
      const starting = startRawTarget(t, id, (socket, requestId) => {
        if (isCrashing.current)
          void starting.then((target) => {
            target.end()
          })
        else socket.write(`${rawHead(requestId, ['Content-Length: 2'])}\r\nok`)
      })
      return starting
    }),
  )
  const gateway = await TestGateway.start(t, targets)
  assert.equal((await gateway.call('/notes/busy')).status, 200)
  isCrashing.current = true
  await gateway.call('/notes/busy')
  await gateway.call('/notes/new')
  await setTimeout(100)
  assert.equal(gateway.crashingRequests.suspects, suspectsOfNew)
})
