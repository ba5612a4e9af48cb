/** Scenarios of the load tool: the faults and operator commands that the deployment goes through under load. */
import { Random, type Clock, type TargetSpec } from '@pimentotally/core'
import type { BenchDeployment } from './bench-deployment.js'
import { groupBy } from './bench-load.js'

export interface Scenario {
  readonly name: string
  readonly title: string
  /** The scenario is run with the baseline policies too; possible only for scenarios that need no daemon. */
  readonly baselines?: boolean
  /** Callers send bookings again until they know the outcome. */
  readonly resends?: boolean
  /** Disturbs the deployment while the load runs; started together with the load. */
  readonly disturb?: (context: DisturbContext) => Promise<void>
  /** Undoes what the disturbance left behind. */
  readonly restore?: (deployment: BenchDeployment) => Promise<void>
}

export interface DisturbContext {
  readonly deployment: BenchDeployment
  readonly clock: Clock
  readonly seed: number
  readonly durationMs: number
}

/** Service times of a slow target (a straggler) are this many times longer. */
const stragglerFactor = 10

/** One in this many targets of each service, but at least one, is slow at a time. */
const stragglerEvery = 5

export interface StragglerOptions extends Omit<DisturbContext, 'deployment'> {
  readonly targets: readonly TargetSpec[]
  readonly setFactor: (target: string, stragglerFactor: number) => Promise<void>
}

/**
 * Makes 1 in 5 targets of each service slow for 1 to 2 s at a time, then other ones, until `durationMs` have passed.
 * All targets have their normal speed at the end.
 */
export const rotateStragglers = async ({
  targets,
  setFactor,
  clock,
  seed,
  durationMs,
}: StragglerOptions): Promise<void> => {
  const random = new Random(seed)
  const byService = [...groupBy(targets, ({ service }) => service).values()]
  const endMs = clock.monotonicMs() + durationMs
  let slow: TargetSpec[] = []
  for (let turn = random.integer(stragglerEvery); ; turn += 1) {
    const next = byService.flatMap((group) => {
      const count = Math.max(1, Math.round(group.length / stragglerEvery))
      return Array.from(
        { length: count },
        (_, index) => group[(turn * count + index) % group.length] as TargetSpec,
      )
    })
    await Promise.all(slow.map(({ name }) => setFactor(name, 1)))
    slow = []
    const holdMs = 1000 + 1000 * random.float()
    if (clock.monotonicMs() >= endMs) return
    await Promise.all(next.map(({ name }) => setFactor(name, stragglerFactor)))
    slow = next
    await clock.sleep(Math.min(holdMs, Math.max(0, endMs - clock.monotonicMs())))
  }
}

export const scenarios: readonly Scenario[] = [
  { name: 'steady', title: 'Steady load', baselines: true },
  {
    name: 'stragglers',
    title: '1 in 5 targets ten times slower for 1 to 2 s at a time, rotating',
    baselines: true,
    disturb: ({ deployment, ...rest }) =>
      rotateStragglers({
        ...rest,
        targets: deployment.targetSpecs,
        setFactor: (name, factor) => deployment.setBehaviour(name, { stragglerFactor: factor }),
      }),
  },
  {
    name: 'cold',
    title: 'One target of each service cold again for 3 s',
    baselines: true,
    disturb: async ({ deployment, clock, durationMs }) => {
      await clock.sleep(durationMs / 4)
      await Promise.all(
        deployment.services.map(({ name }) =>
          deployment.turnCold(deployment.targetsOf(name)[0]?.name ?? '', 3000),
        ),
      )
    },
  },
  {
    name: 'losses',
    title: 'A target of the keyed service, then an entry host killed with SIGKILL',
    disturb: async ({ deployment, clock, durationMs }) => {
      await clock.sleep(durationMs / 5)
      await deployment.killTarget(deployment.keyedTargetName)
      await clock.sleep(durationMs / 3)
      // The first host of a domain may be its coordinator or not; which one is reported with the run.
      await deployment.killHost(0)
    },
    restore: (deployment) => deployment.restartKilled(),
  },
  {
    name: 'domain',
    title: 'A failure domain out, and in again',
    disturb: async ({ deployment, clock, durationMs }) => {
      await clock.sleep(durationMs / 8)
      await deployment.runOperatorCommand('domain', 'out', deployment.lastDomainName)
      await clock.sleep(durationMs / 2)
      await deployment.runOperatorCommand('domain', 'in', deployment.lastDomainName)
    },
    // A domain that returns gets its shards back over 20 s, so moves go on after the load has ended.
    restore: (deployment) => deployment.settle(8000),
  },
  {
    name: 'platform',
    title: 'The platform down for half of the time',
    disturb: async ({ deployment, clock, durationMs }) => {
      await clock.sleep(durationMs / 4)
      await deployment.setPlatformFaults({ unavailable: 1 })
      await clock.sleep(durationMs / 2)
      await deployment.setPlatformFaults({ unavailable: 0 })
    },
    restore: (deployment) => deployment.setPlatformFaults({ unavailable: 0 }),
  },
  {
    name: 'resends',
    title:
      'Bookings sent again, 1 in 10 twice at once, while responses are cut off and the platform loses answers',
    resends: true,
    disturb: async ({ deployment, clock, durationMs }) => {
      const { atMostOnceTargets } = deployment
      await deployment.setPlatformFaults({ loseAnswer: 0.02 })
      await Promise.all(
        atMostOnceTargets.map((name) => deployment.setBehaviour(name, { truncateBody: 0.05 })),
      )
      await clock.sleep(durationMs / 2)
      const silent = atMostOnceTargets[0]
      if (silent !== undefined) await deployment.silence(silent)
      await clock.sleep(durationMs / 4)
      await deployment.killHost(1)
    },
    restore: async (deployment) => {
      await deployment.setPlatformFaults({ loseAnswer: 0 })
      await Promise.all(
        deployment.atMostOnceTargets.map((name) => deployment.setBehaviour(name, { truncateBody: 0 })),
      )
      await deployment.restartKilled()
    },
  },
]
