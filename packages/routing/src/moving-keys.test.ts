/**
 * Simulates moves of keys whose release waits for the running requests, and checks that the wait and the
 * retry delay let nearly all callers be served.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { moveRetryAfterMs, moveWaitMs } from './moving-keys.js'

const workMs = 600
const timeoutMs = 4000
const deadlineMs = 8000

interface Policy {
  readonly waitMs: (leftMs: number) => number
  readonly retryAfterMs: number
}

/** Time until the longest of six running requests ends; their work times are exponentially distributed. */
const releaseMs = (random: Random): number =>
  Math.max(...Array.from({ length: 6 }, () => -workMs * Math.log(1 - random.float())))

/** Share of the callers that are served; each retries once, if its deadline allows. */
const servedShare = ({ waitMs, retryAfterMs }: Policy): number => {
  const random = new Random(7)
  const callers = 4000
  let served = 0
  for (let index = 0; index < callers; index += 1) {
    // Time until the move ends, for a request that arrives at a random moment during the move.
    let restMs = releaseMs(random) * random.float()
    let leftMs = deadlineMs
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const waitedMs = waitMs(Math.min(timeoutMs, leftMs))
      if (restMs <= waitedMs) {
        served += 1
        break
      }
      restMs -= waitedMs + retryAfterMs
      leftMs -= waitedMs + retryAfterMs
    }
  }
  return served / callers
}

test('fewer than half as many requests for moving keys fail as with a short wait and early retry', () => {
  const chosen = servedShare({ waitMs: moveWaitMs, retryAfterMs: moveRetryAfterMs(workMs) })
  const short = servedShare({ waitMs: () => 900, retryAfterMs: 250 })
  assert.ok(chosen > 0.97, String(chosen))
  assert.ok(1 - chosen < (1 - short) / 2, `${String(chosen)} against ${String(short)}`)
})

test('a request that has no time left does not wait', () => {
  assert.equal(moveWaitMs(-5), 0)
})
