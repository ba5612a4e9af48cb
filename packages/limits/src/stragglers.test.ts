import assert from 'node:assert/strict'
import { afterEach, test } from 'node:test'
import { type Permit, type PermitSource, Random } from '@pimentotally/core'
import { PoolFixture, request } from './testing.js'

const open: PoolFixture[] = []
afterEach(() => {
  for (const fixture of open.splice(0)) fixture.close()
})

const start = (targets: number): { fixture: PoolFixture; source: PermitSource } => {
  const fixture = new PoolFixture({ services: [{ name: 'prices', slots: 60 }], targets: { prices: targets } })
  open.push(fixture)
  return { fixture, source: fixture.pool.attach('a') }
}

/** Sends requests one after the other; `latencyMs` returns the latency that each is reported with. */
const serve = async (
  { fixture, source }: { fixture: PoolFixture; source: PermitSource },
  count: number,
  latencyMs: (permit: Permit) => number,
): Promise<void> => {
  for (let served = 0; served < count; served += 1) {
    const permit = await fixture.acquirePermit(source)
    source.release(permit, { outcome: 'ok', latencyMs: latencyMs(permit) })
    await fixture.time.advance(5)
  }
}

const uniform = (): (() => number) => {
  const random = new Random(1)
  return () => 20 * random.float()
}

test('one straggler of two targets is hedged, and two of two are not', async () => {
  // With a limit of a quarter of the targets alone, one straggler ended all hedging in cells of two or three
  // targets.
  const started = start(2)
  const { fixture, source } = started
  await serve(started, 600, uniform())
  const first = await fixture.acquirePermit(source)
  await fixture.time.advance(100)
  const second = await fixture.acquirePermit(source)
  assert.notEqual(second.target, first.target)
  assert.ok(second.hedgeAfterMs !== undefined)
  await fixture.time.advance(100)
  assert.equal((await fixture.acquirePermit(source)).hedgeAfterMs, undefined)
})

test("a straggler's responses do not delay hedges", async () => {
  // In a small cell they are more than 5 in 100 requests, so a p95 that includes them is the straggler's own
  // latency.
  const started = start(3)
  const fast = uniform()
  await serve(started, 600, fast)
  await serve(started, 600, ({ target }) => (target === 'prices-1' ? 10 * fast() : fast()))
  const { hedgeAfterMs = Infinity } = await started.fixture.acquirePermit(started.source)
  assert.ok(hedgeAfterMs < 26, `hedged after ${String(hedgeAfterMs)} ms`)
})

test('a service that is slow as a whole gets later hedges', async () => {
  // If all slow responses were left out, the hedge delay would stay that of the faster time before, and the
  // budget would be spent on requests that are not late.
  const started = start(3)
  const fast = uniform()
  await serve(started, 600, fast)
  await serve(started, 3000, () => 10 * fast())
  const { hedgeAfterMs = Infinity } = await started.fixture.acquirePermit(started.source)
  assert.ok(hedgeAfterMs > 150, `hedged after ${String(hedgeAfterMs)} ms`)
})

test('requests that were cancelled because their hedge was faster count as slow', async () => {
  // Without them each hedge lowers the p95, until the budget is spent on requests that are not late.
  const started = start(3)
  const { fixture, source } = started
  const latency = uniform()
  for (let served = 0; served < 3000; served += 1) {
    const permit = await fixture.acquirePermit(source)
    const latencyMs = latency()
    const delayMs = permit.hedgeAfterMs ?? Infinity
    const late = latencyMs > delayMs
    source.release(permit, { outcome: late ? 'cancelled' : 'ok', latencyMs: late ? delayMs + 1 : latencyMs })
    await fixture.time.advance(5)
  }
  const { hedgeAfterMs = 0 } = await fixture.acquirePermit(source)
  assert.ok(hedgeAfterMs > 18, `hedged after ${String(hedgeAfterMs)} ms`)
})

test('the hedge delay is longer when hedges would use up the reserve for stragglers', async () => {
  // 5 in 100 requests take longer than the p95; hedging all of them left no token when a target became slow.
  const started = start(3)
  const { fixture, source } = started
  await serve(started, 1000, uniform())
  const { hedgeAfterMs: early = 0 } = await fixture.acquirePermit(source)
  for (let hedges = 0; hedges < 6; hedges += 1) {
    const permit = await fixture.acquirePermit(source, { attempt: 'hedge' })
    source.release(permit, { outcome: 'ok', latencyMs: 5 })
  }
  const { hedgeAfterMs: late = 0 } = await fixture.acquirePermit(source)
  assert.ok(late > 1.2 * early && early > 0, `${String(early)} ms, then ${String(late)} ms`)
  // The reserve itself can be used.
  for (let hedges = 0; hedges < 14; hedges += 1) await fixture.acquirePermit(source, { attempt: 'hedge' })
  const refused = await source.acquire(request({ attempt: 'hedge' }), fixture.never)
  assert.ok(refused.isErr)
})
