import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { respond, send, service, until, type TestResponse, type TargetScript } from './fixtures.js'
import { useTestHosts } from './test-host.js'

const { target, host } = useTestHosts()

const refuse: TargetScript = (request, response) => {
  respond(request, response, '', 503, { 'pimentotally-target-refused': 'true' })
}

/** What a target may do with a request; the test draws one at random. */
const behaviours: ((...args: [...Parameters<TargetScript>, ran: () => string]) => void)[] = [
  (request, response, _target, ran) => {
    respond(request, response, ran())
  },
  (request, response, _target, ran) => {
    setTimeout(() => {
      respond(request, response, ran())
    }, 20)
  },
  (_request, response) => response.socket?.destroy(),
  (_request, response, _target, ran) => {
    ran()
    response.socket?.destroy()
  },
  (request, response, _target, ran) => {
    const id = String(request.headers['pimentotally-request-id'])
    response.writeHead(200, { 'pimentotally-request-id': id, 'content-length': '500' }).write(ran())
    setTimeout(() => response.socket?.destroy(), 5)
  },
  (_request, response, _target, ran) => {
    response.writeHead(200, { 'pimentotally-request-id': 'other', 'content-length': '4' })
    ran()
    response.end('leak')
  },
  (_request, _response, _target, ran) => {
    ran()
  },
  (request, response, _target, ran) => {
    const { socket } = response
    respond(request, response, ran())
    setTimeout(() => socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate'), 2)
  },
]

for (const seed of [1, 2, 3, 4, 5]) {
  test(`random target faults never cause a foreign response, a false "not run" or a second run of a booking (seed ${String(seed)})`, async () => {
    const random = new Random(seed)
    const runsOfSend = new Map<string, number>()
    const script: TargetScript = (request, response, scripted) => {
      const ran = (): string => {
        scripted.recordRun(request)
        const id = String(request.headers['x-send'])
        runsOfSend.set(id, (runsOfSend.get(id) ?? 0) + 1)
        return String(request.headers['x-request-identity'])
      }
      request.resume().on('end', () => {
        // Successes come between faults, so that faults hit reused connections. Two refusals in a row reach
        // a caller.
        const drawn = random.float()
        const behaviour = drawn < 0.4 ? behaviours[0] : drawn < 0.7 ? refuse : random.pick(behaviours)
        behaviour?.(request, response, scripted, ran)
      })
    }
    const targets = [await target(script), await target(script), await target(script)]
    const services = [service({ requestTimeoutMs: 80, stallTimeoutMs: 80 })]
    // With at most two sends of each request, some refusals reach the callers.
    const limits = { maxAttempts: 2 }
    const first = await host({ targets, services, limits })
    const second = await host({ targets, services, limits, ledger: first.ledger })
    for (const { permits } of [first, second]) {
      permits.hedgeAfterMs = 15
      permits.choose = ({ excludedTargets }) =>
        random.pick(targets.filter(({ address }) => !excludedTargets.includes(address)))?.address ?? {
          code: 'no_target',
          message: 'every target is excluded',
        }
    }
    let sends = 0
    let answered = 0
    const notRun: string[] = []
    const sendOnce = async (identity: string, isBooking: boolean): Promise<TestResponse | undefined> => {
      sends += 1
      const id = String(sends)
      const reply = await send((random.pick([first, second]) ?? first).address, {
        method: isBooking ? 'POST' : 'GET',
        path: `/notes/${identity}`,
        headers: {
          'x-send': id,
          'x-request-identity': identity,
          ...(isBooking ? { 'idempotency-key': identity } : {}),
        },
      })
      if (reply?.outcome === 'not-run') notRun.push(id)
      if (reply?.outcome === undefined && reply?.isComplete === true) {
        assert.equal(reply.status, 200)
        assert.equal(reply.body, identity, 'a caller gets its own response')
        answered += 1
      }
      return reply
    }
    const caller = async (name: number): Promise<void> => {
      for (let count = 0; count < 25; count += 1) {
        const isBooking = random.float() < 0.5
        const identity = `${isBooking ? 'booking' : 'read'}-${String(name)}-${String(count)}`
        for (let tries = 0; tries < 3; tries += 1) {
          const reply = await sendOnce(identity, isBooking)
          if (reply?.isComplete === true && reply.outcome === undefined) break
        }
      }
    }
    await Promise.all(Array.from({ length: 8 }, (_, name) => caller(name)))
    await until(() => first.permits.outstanding + second.permits.outstanding === 0, 'all permits')
    for (const id of notRun) assert.equal(runsOfSend.get(id) ?? 0, 0, `send ${id} was reported as not run`)
    assert.ok(
      notRun.length > 0 && answered > 100,
      `${String(notRun.length)} refusals, ${String(answered)} responses`,
    )
    const runs = new Map<string, number>()
    for (const { runs: ofTarget } of targets) {
      for (const [identity, count] of ofTarget) runs.set(identity, (runs.get(identity) ?? 0) + count)
    }
    const twice = [...runs].filter(([identity, count]) => identity.startsWith('booking') && count > 1)
    assert.deepEqual(twice, [])
  })
}
