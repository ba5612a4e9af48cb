import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ServiceSpec, TargetSpec } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import {
  sendOnSchedule,
  createSchedule,
  type Arrival,
  type Sample,
  type SampleOutcome,
} from './bench-load.js'
import { attemptFigures, extraLoad, latencyFigures, longestGapMs, targetFigures } from './bench-results.js'
import { Baseline, createTargetChooser } from './bench-senders.js'
import type { TargetRecord } from './target-settings.js'

const service: ServiceSpec = {
  name: 'deposits',
  pathPrefix: '/deposits/',
  verifiesGrants: false,
  slots: 6,
  connections: 120,
  idempotentMethods: ['GET'],
  routes: [],
  idempotencyKey: 'required',
  requestTimeoutMs: 1000,
  stallTimeoutMs: 1000,
  callerStallTimeoutMs: 1000,
  maxRequestBodyBytes: 1000,
  retryBudget: 0.02,
  hedgeBudget: 0.03,
  crashLimit: 2,
}

const arrivalAt = (atMs: number, key = ''): Arrival => ({
  ...{ atMs, service: 'prices', key, method: 'GET', path: '/', headers: {}, draw: 0 },
})

const sample = (atMs: number, outcome: SampleOutcome, latencyMs = 1, key = ''): Sample => ({
  ...{ arrival: arrivalAt(atMs, key), outcome, code: '', latencyMs, lateMs: 0 },
})

test('the same seed gives the same schedule, and each booking has its own idempotency key', () => {
  const flows = [{ service, ratePerSecond: 100 }]
  const options = { seed: 7, durationMs: 10_000 }
  const arrivals = createSchedule(flows, options)
  assert.deepEqual(createSchedule(flows, options), arrivals)
  assert.ok(Math.abs(arrivals.length - 1000) < 100)
  assert.equal(new Set(arrivals.map(({ headers }) => headers['idempotency-key'])).size, arrivals.length)
})

test('the latency of requests that were due while the load tool was paused includes the pause', async () => {
  // If latency counted from the time of sending, only one request would show the pause (coordinated omission).
  const time = new VirtualTime()
  const clock = time.clock()
  const waitUntil = (atMs: number): Promise<void> => clock.sleep(atMs - clock.monotonicMs())
  const send = async (): Promise<{ outcome: SampleOutcome; code: string }> => {
    await clock.sleep(5)
    return { outcome: 'ok', code: '' }
  }
  const driven = sendOnSchedule(
    [10, 20, 30, 400].map((atMs) => arrivalAt(atMs)),
    send,
    { clock, waitUntil },
  )
  clock.pause()
  await time.advance(200)
  clock.resume()
  await time.advance(500)
  const samples = await driven
  assert.deepEqual(
    samples.map(({ latencyMs, lateMs }) => [latencyMs, lateMs]),
    [
      [195, 190],
      [185, 180],
      [175, 170],
      [5, 0],
    ],
  )
})

test('the longest gap is found for each key, from its first failure to the end of its next response', () => {
  // Requests for other keys that are served in the meantime must not hide the gap.
  const samples = [
    ...[sample(0, 'ok', 1, 'a'), sample(100, 'refused', 1, 'a'), sample(150, 'ok', 1, 'b')],
    ...[sample(400, 'unknown', 1, 'a'), sample(900, 'ok', 30, 'a'), sample(1000, 'refused', 1, 'b')],
  ]
  assert.equal(longestGapMs(samples), 830)
  assert.equal(longestGapMs(samples.filter(({ outcome }) => outcome === 'ok')), 0)
  // Never served again.
  assert.equal(longestGapMs([sample(100, 'failed'), sample(700, 'refused')]), 600)
  const { requests, refused, unknown } = latencyFigures(samples)
  assert.deepEqual([requests, refused, unknown], [6, 2, 1])
})

test('double runs are counted over all targets, and too many requests at once for each target by its own slots', () => {
  const record = (part: Partial<TargetRecord>): TargetRecord => ({
    ...{ instanceId: 'i', runs: {}, mostAtOnce: 0, mostRunning: 0, mostConnections: 0 },
    ...{ refusals: {}, cancelled: 0, fences: {} },
    ...part,
  })
  const figures = targetFigures([
    { record: record({ runs: { a: 1, b: 1, '': 9 }, mostAtOnce: 6, refusals: { draining: 2 } }), slots: 6 },
    { record: record({ runs: { a: 1, c: 2 }, mostAtOnce: 5, refusals: { no_slot: 1 } }), slots: 4 },
  ])
  assert.deepEqual(
    [figures.doubleRuns, figures.targetsOverSlots, figures.noSlot, figures.otherRefusals],
    [2, 1, 1, 2],
  )
})

test('attempts are summed over services and outcomes from the metrics of a daemon', () => {
  const figures = attemptFigures(
    [
      'process_cpu_seconds_total 1.5',
      'pimentotally_attempts_total{service="prices",kind="first",outcome="ok"} 190',
      'pimentotally_attempts_total{service="prices",kind="first",outcome="cancelled"} 10',
      'pimentotally_attempts_total{service="prices",kind="hedge",outcome="ok"} 3',
      'pimentotally_attempts_total{service="notes",kind="retry",outcome="refused"} 1',
    ].join('\n'),
  )
  assert.deepEqual(figures, { first: 200, hedge: 3, retry: 1, cpuSeconds: 1.5 })
  assert.equal(extraLoad(figures), 0.02)
})

test('a simulated host of a baseline policy counts only the requests that it sent itself', () => {
  const targets = ['t1', 't2'].map((name): TargetSpec => ({
    ...{ name, service: 'prices', domain: 'd', address: '' },
  }))
  const choose = createTargetChooser(targets, { policy: Baseline.leastInFlight, hostCount: 2 })
  const [first, other] = [arrivalAt(0), { ...arrivalAt(0), draw: 0.9 }]
  const chosen = [choose(first), choose(first)]
  assert.deepEqual(
    chosen.map((entry) => entry?.target.name),
    ['t1', 't2'],
  )
  chosen[1]?.end()
  assert.equal(choose(first)?.target.name, 't2')
  assert.equal(choose(other)?.target.name, 't2')
})
