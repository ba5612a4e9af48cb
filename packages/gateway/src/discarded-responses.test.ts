/** What the log tells of responses that are not accepted. Guards against incidents that it cannot explain. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Logger, type LogFields, type LogLevel } from '@pimentotally/core'
import { TestGateway, rawHead, startRawTarget } from './testing-gateway.js'

/** Bounds each test, so that a request that is never answered fails it. */
const timeoutMs = 30_000

class CollectingLogger extends Logger {
  readonly lines: { readonly event: string; readonly fields: LogFields }[] = []

  override log(_level: LogLevel, event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields })
  }
}

test(
  'the log tells which response was discarded, and what its connection had carried',
  { timeout: timeoutMs },
  async (t) => {
    const target = await startRawTarget(t, 'a', (socket, id, index) => {
      socket.write(`${rawHead(index === 1 ? 'r-1' : id, ['Content-Length: 4'])}\r\nbody`)
    })
    const logger = new CollectingLogger()
    const gateway = await TestGateway.start(t, [target], { logger })
    await gateway.call('/orders/1', { method: 'POST', body: 'x' })
    await gateway.call('/orders/2', { method: 'POST', body: 'x' })
    const [discarded] = logger.lines.filter(({ event }) => event === 'response.discarded')
    const { idleMs, ...fields } = discarded?.fields ?? {}
    assert.deepEqual(fields, {
      requestId: 'r-2',
      target: 'a',
      attempt: 1,
      reason: 'crossed',
      status: 200,
      seenId: 'r-1',
      connection: 1,
      exchanges: 2,
    })
    assert.equal(typeof idleMs, 'number')
  },
)
