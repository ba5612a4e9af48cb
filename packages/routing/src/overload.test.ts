/** Simulates the worst load patterns and checks the decisions on admission, placement and hedging. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { admit, spreadRetryAfterMs } from './admission.js'
import { hedgeDelayMs } from './hedging.js'
import { TargetLoad } from './load.js'
import { chooseTarget } from './placement.js'

const objectiveMs = 500
const workMs = 100
const slots = 6

interface Outcome {
  inTime: number
  late: number
  refused: number
}

/**
 * Simulates one hot key that gets twice as many requests as its owner can serve. Requests arrive at even
 * intervals, the owner runs them in its slots, and the length of its queue is known exactly. `decide` says
 * whether a request is sent.
 */
const simulateHotKey = (decide: (waitMs: number) => boolean): Outcome => {
  const outcome: Outcome = { inTime: 0, late: 0, refused: 0 }
  const freeAtMs = Array.from({ length: slots }, () => 0)
  for (let nowMs = 0; nowMs < 5000; nowMs += workMs / slots / 2) {
    const slot = freeAtMs.indexOf(Math.min(...freeAtMs))
    const waitMs = Math.max(0, (freeAtMs[slot] ?? 0) - nowMs)
    if (!decide(waitMs)) {
      outcome.refused += 1
      continue
    }
    freeAtMs[slot] = nowMs + waitMs + workMs
    if (waitMs + workMs <= objectiveMs) outcome.inTime += 1
    else outcome.late += 1
  }
  return outcome
}

/** To the users a late response is worth three tenths of one in time. */
const valueOf = ({ inTime, late }: Outcome): number => inTime + 0.3 * late

test('at twice the capacity, no request that is sent is answered late, and the target stays busy', () => {
  const all = simulateHotKey(() => true)
  const admitted = simulateHotKey(
    (waitMs) =>
      admit({ workMs, waitMs, elapsedMs: 0, objectiveMs, leftMs: 1000, rank: 0, isOwner: false }).admitted,
  )
  assert.equal(admitted.late, 0)
  assert.ok(valueOf(admitted) > valueOf(all), `${String(valueOf(admitted))} against ${String(valueOf(all))}`)
  const capacity = (5000 / workMs) * slots
  assert.ok(admitted.inTime >= capacity * 0.95, `${String(admitted.inTime)} of ${String(capacity)}`)
})

test('at twice the capacity of a hot key’s owner, the leader’s share keeps late responses rare', () => {
  const random = new Random(4)
  const share = 0.5 * 0.85
  const lent = simulateHotKey(
    (waitMs) =>
      random.float() < share &&
      admit({ workMs, waitMs, elapsedMs: 0, objectiveMs, leftMs: 1000, rank: 0, isOwner: true }).admitted,
  )
  const local = simulateHotKey(
    (waitMs) =>
      admit({ workMs, waitMs, elapsedMs: 0, objectiveMs, leftMs: 1000, rank: 0, isOwner: true }).admitted,
  )
  assert.ok(lent.late <= 0.02 * lent.inTime, `${String(lent.late)} late of ${String(lent.inTime)}`)
  assert.ok(valueOf(lent) > valueOf(local), `${String(valueOf(lent))} against ${String(valueOf(local))}`)
})

test('a slow target with a free slot is not refused, as no other request waits for the slot', () => {
  assert.deepEqual(
    admit({ workMs: 800, waitMs: 0, elapsedMs: 0, objectiveMs, leftMs: 1000, rank: 2, isOwner: false }),
    {
      admitted: true,
    },
  )
})

test('urgent requests are not refused while less urgent ones are still sent', () => {
  const longestWait = (rank: number): number => {
    let waitMs = 0
    while (
      admit({ workMs, waitMs: waitMs + 1, elapsedMs: 0, objectiveMs, leftMs: 5000, rank, isOwner: false })
        .admitted
    )
      waitMs += 1
    return waitMs
  }
  assert.ok(longestWait(0) > longestWait(1))
  assert.ok(longestWait(1) > longestWait(2))
})

test('a request that cannot end before its deadline is refused at once, with a time to retry after', () => {
  const admission = admit({
    workMs,
    waitMs: 400,
    elapsedMs: 600,
    objectiveMs,
    leftMs: 300,
    rank: 0,
    isOwner: false,
  })
  assert.equal(admission.admitted, false)
  assert.ok(!admission.admitted && admission.reason === 'deadline' && admission.retryAfterMs > 0)
})

test('callers that are refused together do not retry together', () => {
  const random = new Random(1)
  const times = Array.from({ length: 100 }, () => spreadRetryAfterMs(200, random.float()))
  assert.ok(Math.min(...times) >= 200)
  assert.ok(Math.max(...times) - Math.min(...times) > 80)
})

test('hosts with the same reports do not all choose the same target', () => {
  const random = new Random(2)
  const candidates = Array.from({ length: 8 }, (_, index) => ({
    target: index,
    predictedMs: 100 + index,
    distancePenaltyMs: 0,
    failureLevel: 0,
  }))
  const counts = Array.from({ length: 8 }, () => 0)
  for (let host = 0; host < 1000; host += 1) {
    const chosen = chooseTarget(candidates, random)?.target ?? 0
    counts[chosen] = (counts[chosen] ?? 0) + 1
  }
  assert.ok(Math.max(...counts) < 600, counts.join(' '))
})

test('a target that fails fast does not attract requests', () => {
  const random = new Random(3)
  const load = new TargetLoad()
  for (let failure = 0; failure < 4; failure += 1) load.failed(failure * 10)
  const candidates = [
    { target: 'failing', predictedMs: 5, distancePenaltyMs: 0, failureLevel: load.failureLevel(40) },
    { target: 'sound', predictedMs: 20, distancePenaltyMs: 0, failureLevel: 0 },
  ]
  assert.equal(chooseTarget(candidates, random)?.target, 'sound')
})

test('an old report of a queue and a slowdown does not count any more', () => {
  const load = new TargetLoad()
  load.reported(0, { running: 6, waiting: 20, slots, slowdown: 4 })
  const input = { workMs, slots, expectedOccupancy: 2 }
  const fresh = load.predict(0, input)
  const old = load.predict(5000, input)
  assert.ok(fresh.waitMs > 400)
  assert.equal(old.waitMs, 0)
  assert.ok(old.workMs < 1.01 * workMs)
})

test('a momentary slowdown is not taken to last for the whole time in the queue', () => {
  const load = new TargetLoad()
  load.reported(0, { running: 6, waiting: 6, slots, slowdown: 4 })
  const { workMs: work, waitMs } = load.predict(0, { workMs, slots, expectedOccupancy: 2 })
  assert.ok(work + waitMs < 4 * 2 * workMs, 'the slowdown does not apply to all of the work')
  assert.ok(work + waitMs > 2 * workMs, 'the slowdown applies to some of the work')
})

test('a hedge is not sent while the retry budget is low or when it could not respond in time', () => {
  assert.equal(
    hedgeDelayMs({ predictedMs: 50, objectiveMs, leftMs: 1000, remainingBudgetShare: 0.1 }),
    undefined,
  )
  assert.equal(
    hedgeDelayMs({ predictedMs: 400, objectiveMs, leftMs: 200, remainingBudgetShare: 1 }),
    undefined,
  )
  assert.equal(hedgeDelayMs({ predictedMs: 50, objectiveMs, leftMs: 1000, remainingBudgetShare: 1 }), 100)
})

test('requests go to an owner again some seconds after a burst, although it has sent no report since', () => {
  const load = new TargetLoad()
  for (let index = 0; index < 20; index += 1) {
    load.reported(index, { running: 6, waiting: 22, slots, slowdown: 1 })
  }
  const waitMs = (nowMs: number): number =>
    load.predict(nowMs, { workMs, slots, expectedOccupancy: load.averageOccupancy(nowMs) }).waitMs
  assert.ok(waitMs(100) > 200, 'the queue counts while the reports are recent')
  assert.equal(waitMs(8000), 0)
})
