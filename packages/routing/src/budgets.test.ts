/** Limits that apply to the sum over all hosts, although the hosts exchange no messages about them. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { ColdRequestLimiter, hostColdRate } from './cold-start.js'
import { RetryBudget } from './retry-budget.js'

const names = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => `host-${String(index)}`)

for (const hosts of [1, 10, 85, 1150]) {
  test(`${String(hosts)} hosts together do not send more requests to a cold target than it tolerates`, () => {
    const hostNames = names(hosts)
    for (const requestsPerSecond of [8, 12, 40.5]) {
      for (let target = 0; target < 20; target += 1) {
        const shares = hostNames.map((hostName) =>
          hostColdRate({ requestsPerSecond, targetId: `t${String(target)}`, hostName, hostNames }),
        )
        const sum = shares.reduce((total, share) => total + share, 0)
        assert.equal(sum, Math.floor(requestsPerSecond))
      }
    }
  })
}

test('a host does not exceed its rate for a cold target in any sliding second', () => {
  const random = new Random(1)
  const sends = new ColdRequestLimiter()
  const sentMs: number[] = []
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1 + random.integer(40)) {
    if (!sends.allows(nowMs, 3)) continue
    sends.record(nowMs)
    sentMs.push(nowMs)
  }
  for (const fromMs of sentMs) {
    const inSecond = sentMs.filter((ms) => ms >= fromMs && ms < fromMs + 1000).length
    assert.ok(inSecond <= 3, `${String(inSecond)} from ${String(fromMs)} ms`)
  }
})

for (const hosts of [10, 85]) {
  test(`${String(hosts)} unevenly loaded hosts do not exceed the retry budget in any window`, () => {
    const random = new Random(hosts)
    const windowMs = 10_000
    const options = { ratio: 0.2, windowMs, slack: 60 }
    const budgets = Array.from({ length: hosts }, () => new RetryBudget(options))
    const requests: number[] = []
    const retries: number[] = []
    for (let nowMs = 0; nowMs < 60_000; nowMs += 5) {
      // Every request fails and is retried as often as the budget allows; a few hosts get most of the
      // requests.
      const host = Math.floor(random.float() ** 2 * hosts)
      budgets[host]?.recordRequest(nowMs)
      requests.push(nowMs)
      while (budgets[host]?.trySpend(nowMs, hosts) === true) retries.push(nowMs)
    }
    for (let startMs = windowMs; startMs < 50_000; startMs += 500) {
      const within = (times: readonly number[], fromMs: number): number =>
        times.filter((ms) => ms > fromMs && ms <= fromMs + windowMs).length
      const allowed = options.ratio * within(requests, startMs) + options.slack
      assert.ok(
        within(retries, startMs) <= allowed,
        `${String(within(retries, startMs))} of ${String(allowed)}`,
      )
    }
  })
}
