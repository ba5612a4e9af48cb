/**
 * Random faults of hosts, reports and a target that names a limit, in virtual time. Guards against more requests
 * from all hosts together than the limit allows; `scripts/check-defences.mjs` shows that they find each defence.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { LimitWorld } from './testing-limits.js'

const rounds = 10
const roundMs = 4000

/** A fault that lasts from the first seconds to the end of the run, and the number of seeds. */
const lastingFaults = { none: 12, noReports: 3, noResponses: 3 } as const
type LastingFault = keyof typeof lastingFaults

const runWithFaults = async (seed: number, lasting: LastingFault): Promise<LimitWorld> => {
  const random = new Random(seed)
  const pick = <T>(values: readonly [T, ...T[]]): T => random.pick(values) ?? values[0]
  const hosts = { none: pick([3, 10, 40, 120]), noReports: 195, noResponses: 40 }[lasting]
  const world = new LimitWorld({
    seed,
    hosts,
    isSharded: lasting === 'none' ? pick([true, false]) : true,
    requestsPerSecond: lasting === 'none' ? pick([60, 300, 900]) : 900,
    missingHostShare: pick([0, 0.05]),
    reports: lasting !== 'noReports' && pick([true, true, false]),
  })
  const hostFaults: readonly [() => void, ...(() => void)[]] = [
    (): void => {
      const host = random.pick(world.hosts)
      if (host !== undefined) world.restart(host)
    },
    (): void => {
      for (const host of world.hosts.slice(0, Math.ceil(hosts / 10))) host.clock.pause()
    },
    (): void => undefined,
  ]
  const faults: typeof hostFaults = [
    ...hostFaults,
    (): void => {
      world.isResponding = false
    },
    (): void => {
      world.losesReports = true
    },
    (): void => {
      world.setRegistered(false)
    },
    (): void => {
      // A limit that ends and comes back is named anew, also for the check.
      world.limit(undefined)
      world.limit(pick([0, 0.5, 1, 2.4, 7, 20]))
    },
  ]
  await world.run(1000)
  world.limit({ none: pick([0.5, 1, 3.5, 10, 20]), noReports: 20, noResponses: 5 }[lasting])
  await world.run(roundMs)
  for (let round = 0; round < rounds; round += 1) {
    world.isResponding = lasting !== 'noResponses'
    pick(lasting === 'none' ? faults : hostFaults)()
    await world.run(roundMs)
    world.isResponding = true
    world.losesReports = false
    world.setRegistered(true)
    for (const { clock, name } of world.hosts) {
      if (!clock.paused) continue
      world.check.excuse(name)
      clock.resume()
    }
  }
  return world
}

for (const [lasting, seeds] of Object.entries(lastingFaults) as [LastingFault, number][]) {
  for (const seed of Array.from({ length: seeds }, (_, index) => index + 1)) {
    test(`hosts keep within the limits that a target names: lasting fault ${lasting}, random faults of seed ${String(seed)}`, async () => {
      const { check } = await runWithFaults(seed, lasting)
      assert.ok(check.counted > 0, 'hosts that know a limit send requests')
      assert.ok(check.excess() <= 0, `${String(check.excess())} beyond what is allowed`)
    })
  }
}
