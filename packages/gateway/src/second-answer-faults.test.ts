/**
 * Targets that answer at random and write answers a second time, over real sockets. Guards against any answer that
 * reaches a caller and is not what a target wrote for that exchange;
 * `scripts/check-defences.mjs` shows that each defence is found.
 */
import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Logger, type LogFields, type LogLevel } from '@pimentotally/core'
import { signatureOf } from '@pimentotally/platform/testing'
import { TestGateway } from './testing-gateway.js'
import { RepeatingTarget, type WrittenAnswer } from './testing-second-answers.js'

const seeds = 4
const callers = 8
const requestsPerCaller = 30
/** So many answers of targets must reach callers for a run to say anything. */
const minPassedOn = (callers * requestsPerCaller) / 4
/** Bounds each test, so that a request that is never answered fails it. */
const timeoutMs = 120_000

/** Names an exchange by the target, the number of the connection to it, and its number on the connection. */
const exchangeKey = ({ target, connection, exchanges }: LogFields): string =>
  [target, connection, exchanges].map(String).join('/')

/** Records which exchange of a connection the gateway takes an answer for. */
class ExchangeLogger extends Logger {
  readonly answered = new Map<string, LogFields>()
  /** Exchanges whose answer the gateway did not accept; see `exchangeKey`. */
  readonly discarded = new Set<string>()

  override log(_level: LogLevel, event: string, fields: LogFields = {}): void {
    if (event === 'request.answered') this.answered.set(String(fields['requestId']), fields)
    if (event === 'response.discarded') this.discarded.add(exchangeKey(fields))
  }
}

interface RunOptions {
  readonly seed: number
  readonly isSharded: boolean
}

const run = async (t: TestContext, { seed, isSharded }: RunOptions): Promise<readonly string[]> => {
  const ids = isSharded ? ['a'] : ['a', 'b', 'c']
  const targets = await Promise.all(
    ids.map((id, index) => RepeatingTarget.start(t, id, { seed: seed * 10 + index, breaksOff: !isSharded })),
  )
  const logger = new ExchangeLogger()
  // Few connections, so that requests wait for one and connections are reused at once.
  const gateway = await TestGateway.start(
    t,
    targets.map(({ raw }) => raw),
    { isSharded, maxConnections: 6, logger },
  )
  if (isSharded) gateway.assign('a', { version: 1 })
  const violations: string[] = []
  let passedOn = 0
  const check = async (caller: number, index: number): Promise<void> => {
    const requestId = `r-${String(seed)}-${String(caller)}-${String(index)}`
    const isUnsafe = (caller + index) % 4 === 0
    const fields = { requestId, ...(isSharded ? { key: 7 } : {}) }
    const answer = await gateway
      .call(
        isUnsafe ? '/orders/1' : '/notes/1',
        isUnsafe ? { method: 'POST', body: 'x', fields } : { fields },
      )
      .catch(() => undefined)
    const runs = targets.reduce((sum, target) => sum + target.runs(requestId), 0)
    if (isUnsafe && runs > 1) violations.push(`${requestId} ran ${String(runs)} times`)
    if (answer === undefined) return
    const { status, body, headers } = answer
    const signature = signatureOf(headers)
    const isRefusal = status === 503 && signature === undefined
    if (isUnsafe && isRefusal && runs > 0) violations.push(`${requestId} was refused and ran`)
    if (signature === undefined) {
      if (status < 300) violations.push(`${requestId} got ${String(status)} without a signature`)
      return
    }
    passedOn += 1
    const written = targets
      .map((target) => target.written.get(signature))
      .find((found) => found !== undefined)
    if (written?.requestId !== requestId) violations.push(`${requestId} got the answer ${signature}`)
    else if (written.status !== status || written.body !== body)
      violations.push(`${requestId} got another status or body than ${signature} had`)
    else checkExchange(requestId, written)
  }
  /** The target's name of each connection by the gateway's name of it, and the reverse. */
  const connections = new Map<string, string>()
  let compared = 0
  /** A connection carries bytes in order, so the number of the exchange on it tells which answer is meant. */
  const checkExchange = (
    requestId: string,
    { exchange, receipt, target, connection }: WrittenAnswer,
  ): void => {
    const answered = logger.answered.get(requestId)
    // Not logged for the answer to an earlier attempt, which is passed on when no later one has a better answer.
    if (answered?.['exchanges'] === undefined) return
    compared += 1
    const expected = exchangeKey(answered)
    const opened = `${target}/${String(answered['connection'])}`
    const accepted = `${target}:${String(connection)}`
    if (!connections.has(opened)) connections.set(opened, accepted)
    if (!connections.has(accepted)) connections.set(accepted, opened)
    if (expected !== `${opened}/${String(exchange)}`)
      violations.push(
        `${requestId} got the answer to exchange ${String(exchange)} of ${target} for ${expected}`,
      )
    if (connections.get(opened) !== accepted || connections.get(accepted) !== opened)
      violations.push(
        `${requestId} got an answer of connection ${accepted} for ${expected}, which is another connection`,
      )
    if (logger.discarded.has(expected))
      violations.push(`${requestId} got the answer to ${expected}, which had been discarded`)
    // The owner gets all attempts of a request in their order, unless one of them was not sent.
    if (!isSharded || targets[0]?.receipts.get(requestId) !== answered['sends']) return
    if (receipt !== answered['attempt'])
      violations.push(
        `${requestId} got the answer to attempt ${String(receipt)} for attempt ${String(answered['attempt'])}`,
      )
  }
  const send = async (caller: number): Promise<void> => {
    for (let index = 0; index < requestsPerCaller; index += 1) await check(caller, index)
  }
  await Promise.all(Array.from({ length: callers }, (_, caller) => send(caller)))
  assert.ok(passedOn >= minPassedOn, `only ${String(passedOn)} answers of targets reached callers`)
  assert.ok(compared >= minPassedOn, `only ${String(compared)} answers were compared with their exchange`)
  return violations
}

for (let seed = 1; seed <= seeds; seed += 1) {
  for (const isSharded of [true, false]) {
    const name = isSharded ? 'the owner of a key' : 'the targets of a service'
    test(
      `each caller gets what was written for its attempt when ${name} may answer twice, seed ${String(seed)}`,
      { timeout: timeoutMs },
      async (t) => {
        assert.deepEqual(await run(t, { seed, isSharded }), [])
      },
    )
  }
}
