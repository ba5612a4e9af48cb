import assert from 'node:assert/strict'
import { afterEach, test } from 'node:test'
import { type Permit, type PermitSource, Random } from '@pimentotally/core'
import { PoolFixture, request } from './testing.js'

const open: PoolFixture[] = []
afterEach(() => {
  for (const bench of open.splice(0)) bench.close()
})

const start = (targets: number): { bench: PoolFixture; source: PermitSource } => {
  const bench = new PoolFixture({ services: [{ name: 'prices', slots: 60 }], targets: { prices: targets } })
  open.push(bench)
  return { bench, source: bench.pool.attach('a') }
}

/** Requests one after the other; `latencyMs` says how long each target takes. */
const serve = async (
  { bench, source }: { bench: PoolFixture; source: PermitSource },
  count: number,
  latencyMs: (permit: Permit) => number,
): Promise<void> => {
  for (let served = 0; served < count; served += 1) {
    const permit = await bench.acquirePermit(source)
    source.release(permit, { outcome: 'ok', latencyMs: latencyMs(permit) })
    await bench.time.advance(5)
  }
}

const uniform = (): (() => number) => {
  const random = new Random(1)
  return () => 20 * random.float()
}

test('one straggler of two targets is hedged, and two of two are not', async () => {
  // The limit of a quarter of the targets once ended all hedging in cells of two or three targets.
  const started = start(2)
  const { bench, source } = started
  await serve(started, 600, uniform())
  const first = await bench.acquirePermit(source)
  await bench.time.advance(100)
  const second = await bench.acquirePermit(source)
  assert.notEqual(second.target, first.target)
  assert.ok(second.hedgeAfterMs !== undefined)
  await bench.time.advance(100)
  assert.equal((await bench.acquirePermit(source)).hedgeAfterMs, undefined)
})

test("a straggler's answers do not put off hedges", async () => {
  // They are more than 5 in 100 requests in a small cell, so a p95 taken over them is the straggler's own latency.
  const started = start(3)
  const fast = uniform()
  await serve(started, 600, fast)
  await serve(started, 600, ({ target }) => (target === 'prices-1' ? 10 * fast() : fast()))
  const { hedgeAfterMs = Infinity } = await started.bench.acquirePermit(started.source)
  assert.ok(hedgeAfterMs < 26, `hedged after ${String(hedgeAfterMs)} ms`)
})

test('a service that is slow as a whole gets later hedges', async () => {
  // Leaving out slow answers must not keep the delay of faster days, which would spend the budget for nothing.
  const started = start(3)
  const fast = uniform()
  await serve(started, 600, fast)
  await serve(started, 3000, () => 10 * fast())
  const { hedgeAfterMs = Infinity } = await started.bench.acquirePermit(started.source)
  assert.ok(hedgeAfterMs > 150, `hedged after ${String(hedgeAfterMs)} ms`)
})

test('requests whose hedge was faster count as slow ones', async () => {
  // Without them the p95 sinks with each hedge, until the budget is spent on requests that are not late.
  const started = start(3)
  const { bench, source } = started
  const latency = uniform()
  for (let served = 0; served < 3000; served += 1) {
    const permit = await bench.acquirePermit(source)
    const latencyMs = latency()
    const delayMs = permit.hedgeAfterMs ?? Infinity
    const late = latencyMs > delayMs
    source.release(permit, { outcome: late ? 'cancelled' : 'ok', latencyMs: late ? delayMs + 1 : latencyMs })
    await bench.time.advance(5)
  }
  const { hedgeAfterMs = 0 } = await bench.acquirePermit(source)
  assert.ok(hedgeAfterMs > 18, `hedged after ${String(hedgeAfterMs)} ms`)
})

test('hedges come later when the reserve for stragglers would be touched', async () => {
  // 5 in 100 requests outlast the p95; hedging all of them left no token when a target became slow.
  const started = start(3)
  const { bench, source } = started
  await serve(started, 1000, uniform())
  const { hedgeAfterMs: early = 0 } = await bench.acquirePermit(source)
  for (let hedges = 0; hedges < 6; hedges += 1) {
    const permit = await bench.acquirePermit(source, { attempt: 'hedge' })
    source.release(permit, { outcome: 'ok', latencyMs: 5 })
  }
  const { hedgeAfterMs: late = 0 } = await bench.acquirePermit(source)
  assert.ok(late > 1.2 * early && early > 0, `${String(early)} ms, then ${String(late)} ms`)
  // The reserve itself is there to be used.
  for (let hedges = 0; hedges < 14; hedges += 1) await bench.acquirePermit(source, { attempt: 'hedge' })
  const refused = await source.acquire(request({ attempt: 'hedge' }), bench.never)
  assert.ok(refused.isErr)
})
