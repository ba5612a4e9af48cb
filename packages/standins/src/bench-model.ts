/**
 * Simulates only the policy that chooses targets: the real permit pools run in virtual time with simulated targets. The
 * load of the machine does not influence the figures, and the same seed gives the same figures. Network and daemons
 * take no time here.
 */
import {
  AttemptKind,
  AttemptOutcome,
  CellAuthority,
  Configuration,
  Random,
  SilentLogger,
  Term,
  ThrowingInvariantReporter,
  type Cancel,
  type Clock,
  type Deployment,
  type Permit,
  type PermitSource,
  type TargetSpec,
} from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { PermitPool } from '@pimentotally/limits'
import {
  SampleOutcome,
  sendOnSchedule,
  groupBy,
  createSchedule,
  type Arrival,
  type Sample,
  type Send,
} from './bench-load.js'
import { extraLoad, latencyFigures, type LatencyFigures } from './bench-results.js'
import { serviceLoads, router, type Policy } from './bench-run.js'
import { rotateStragglers } from './bench-scenarios.js'
import { createTargetChooser } from './bench-senders.js'

export interface ModelOptions {
  readonly deployment: Deployment
  readonly hostsPerDomain: number
  readonly policy: Policy
  readonly stragglers: boolean
  readonly seed: number
  readonly durationMs: number
  readonly rate: number
  /** Service times are uniformly distributed between 0 and twice this. */
  readonly meanServiceMs: number
}

export interface ModelResult {
  readonly deployment: string
  readonly policy: Policy
  readonly stragglers: boolean
  readonly seed: number
  readonly rate: number
  readonly byService: Readonly<Record<string, LatencyFigures>>
  readonly extraLoad: number
  readonly mostAtOnce: number
  readonly noSlot: number
}

interface SimulatedRun {
  /** Resolves to true when the run is done, to false when the target had no free slot and did not start it. */
  readonly answered: Promise<boolean>
  readonly cancel: () => void
}

/** A simulated target: runs at most `slots` requests at once and refuses others. */
class ModelTarget {
  factor = 1
  mostAtOnce = 0
  noSlot = 0
  #running = 0
  readonly #options: { clock: Clock; random: Random; slots: number; meanServiceMs: number }

  constructor(options: { clock: Clock; random: Random; slots: number; meanServiceMs: number }) {
    this.#options = options
  }

  start(): SimulatedRun {
    const { clock, random, slots, meanServiceMs } = this.#options
    this.mostAtOnce = Math.max(this.mostAtOnce, this.#running + 1)
    if (this.#running >= slots) {
      this.noSlot += 1
      return { answered: Promise.resolve(false), cancel: () => undefined }
    }
    this.#running += 1
    let running = true
    const end = (): void => {
      if (running) this.#running -= 1
      running = false
    }
    let stop: Cancel = () => undefined
    const answered = new Promise<boolean>((resolve) => {
      stop = clock.schedule(2 * meanServiceMs * random.float() * this.factor, () => {
        end()
        resolve(true)
      })
    })
    return {
      answered,
      cancel: () => {
        stop()
        end()
      },
    }
  }
}

/** A coordinator that keeps its term and its lease for the whole run. */
class ModelAuthority extends CellAuthority {
  override readonly cellId: string
  readonly #term = Term.of({ epoch: 1, ballot: 1, hostSequence: 1 })

  constructor(cellId: string) {
    super()
    this.cellId = cellId
  }

  override term(): Term {
    return this.#term
  }

  override validForMs(): number {
    return 900
  }

  override owner(): undefined {
    return undefined
  }
}

/** Requests of this first part are not counted: the averages and retry budgets of the pools settle in it. */
const warmUpMs = 10_000

type Attempts = Record<AttemptKind, number>

/** Sends a request with a permit and hedges it at most once, as the daemon's request path does. */
const sendWithPermit = async (
  source: PermitSource,
  { service }: Arrival,
  context: {
    clock: Clock
    targets: ReadonlyMap<string, ModelTarget>
    attempts: Attempts
    deadlineMs: number
  },
): Promise<{ outcome: SampleOutcome; code: string }> => {
  const { clock, targets, attempts, deadlineMs } = context
  const stop = new AbortController()
  const acquire = (
    attempt: AttemptKind,
    excludedTargets: readonly string[],
  ): ReturnType<PermitSource['acquire']> =>
    source.acquire(
      { requestId: '', service, excludedTargets, deadlineMs, identity: '', attempt, idempotent: true },
      stop.signal,
    )
  const granted = await acquire(AttemptKind.first, [])
  if (granted.isErr) return { outcome: SampleOutcome.refused, code: granted.error.code }
  return new Promise((resolve) => {
    const running = new Map<SimulatedRun, { permit: Permit; sinceMs: number }>()
    const run = (permit: Permit, kind: AttemptKind): void => {
      attempts[kind] += 1
      const sinceMs = clock.monotonicMs()
      const work = targets.get(permit.target)?.start()
      if (work === undefined) throw new RangeError(`the permit is for the unknown target "${permit.target}"`)
      running.set(work, { permit, sinceMs })
      void work.answered.then((ok) => {
        if (!running.delete(work)) return
        const latencyMs = clock.monotonicMs() - sinceMs
        source.release(permit, { outcome: ok ? AttemptOutcome.ok : AttemptOutcome.refused, latencyMs })
        if (!ok && running.size > 0) return
        stopTimer()
        stop.abort()
        for (const [loser, attempt] of running) {
          loser.cancel()
          const elapsedMs = clock.monotonicMs() - attempt.sinceMs
          source.release(attempt.permit, { outcome: AttemptOutcome.cancelled, latencyMs: elapsedMs })
        }
        running.clear()
        resolve(
          ok ? { outcome: SampleOutcome.ok, code: '' } : { outcome: SampleOutcome.refused, code: 'no_slot' },
        )
      })
    }
    const { target, hedgeAfterMs } = granted.value
    const hedge = async (): Promise<void> => {
      const second = await acquire(AttemptKind.hedge, [target])
      if (second.isErr) return
      if (running.size > 0) run(second.value, AttemptKind.hedge)
      else source.release(second.value, { outcome: AttemptOutcome.unused, latencyMs: 0 })
    }
    const stopTimer =
      hedgeAfterMs === undefined
        ? (): void => undefined
        : clock.schedule(hedgeAfterMs, () => {
            void hedge()
          })
    run(granted.value, AttemptKind.first)
  })
}

/** Simulates the services without keys of a deployment. */
export const runModel = async (options: ModelOptions): Promise<ModelResult> => {
  const { hostsPerDomain, policy, stragglers, seed, durationMs, rate, meanServiceMs } = options
  const services = options.deployment.services.filter(({ keyed }) => keyed === undefined)
  const specs = options.deployment.targets.filter(({ service }) =>
    services.some(({ name }) => name === service),
  )
  const deployment: Deployment = { ...options.deployment, services, targets: specs }
  const configuration: Configuration = { ...Configuration.empty, version: 1, deployment }
  const time = new VirtualTime()
  const clock = time.clock()
  const targets = new Map(
    specs.map(({ name, service }, index) => {
      const slots = services.find((spec) => spec.name === service)?.slots ?? 1
      const random = new Random(seed * 1009 + index)
      return [name, new ModelTarget({ clock, random, slots, meanServiceMs })]
    }),
  )
  const attempts: Attempts = { first: 0, hedge: 0, retry: 0 }
  const pools: PermitPool[] = []
  const send =
    policy === router
      ? senderThroughPools(deployment, configuration, {
          clock,
          seed,
          hostsPerDomain,
          targets,
          attempts,
          pools,
        })
      : directSender(specs, policy, deployment.domains.length * hostsPerDomain, targets)
  const arrivals = createSchedule(serviceLoads(services, rate), { seed, durationMs })
  const waitUntil = (atMs: number): Promise<void> => clock.sleep(atMs - clock.monotonicMs())
  const driven = sendOnSchedule(arrivals, send, { clock, waitUntil })
  if (stragglers) {
    const setFactor = (name: string, factor: number): Promise<void> => {
      const target = targets.get(name)
      if (target !== undefined) target.factor = factor
      return Promise.resolve()
    }
    void rotateStragglers({ targets: specs, setFactor, clock, seed, durationMs })
  }
  await time.advance(durationMs + 20_000)
  const samples = (await driven).filter(({ arrival }) => arrival.atMs >= warmUpMs)
  for (const pool of pools) pool.close()
  return {
    deployment: deployment.name,
    policy,
    stragglers,
    seed,
    rate,
    byService: figuresByService(samples),
    extraLoad: extraLoad(attempts),
    mostAtOnce: Math.max(...[...targets.values()].map(({ mostAtOnce }) => mostAtOnce)),
    noSlot: [...targets.values()].reduce((sum, { noSlot }) => sum + noSlot, 0),
  }
}

const figuresByService = (samples: readonly Sample[]): Record<string, LatencyFigures> =>
  Object.fromEntries(
    [...groupBy(samples, ({ arrival }) => arrival.service)].map(([name, part]) => [
      name,
      latencyFigures(part),
    ]),
  )

/** Sends as the router does: each host gets its permits from the permit pool of its failure domain. */
const senderThroughPools = (
  deployment: Deployment,
  configuration: Configuration,
  context: {
    clock: Clock
    seed: number
    hostsPerDomain: number
    targets: ReadonlyMap<string, ModelTarget>
    attempts: Attempts
    pools: PermitPool[]
  },
): Send => {
  const { clock, seed, hostsPerDomain, pools } = context
  const invariants = new ThrowingInvariantReporter()
  const logger = new SilentLogger()
  const hosts = deployment.domains.flatMap(({ name: domain }, index) => {
    const names = Array.from({ length: hostsPerDomain }, (_, number) => `${domain}-${String(number + 1)}`)
    const authority = new ModelAuthority(domain)
    const pool = new PermitPool({
      cellId: domain,
      clock,
      random: new Random(seed * 17 + index),
      authority,
      configuration: () => configuration,
      hosts: () => names,
      invariants,
      logger,
    })
    pool.startTerm(authority.term(), [])
    for (const target of deployment.targets) {
      if (target.domain === domain) pool.targetAnswered(target.name, { instanceId: 'one', uptimeMs: 60_000 })
    }
    pools.push(pool)
    return names.map((name) => ({ domain, source: pool.attach(name) }))
  })
  return (arrival) => {
    const service = deployment.services.find(({ name }) => name === arrival.service)
    const domains = new Set(
      deployment.targets.flatMap((t) => (t.service === arrival.service ? [t.domain] : [])),
    )
    // A host without targets of the service in its domain would forward the request to a host that has some.
    const usable = hosts.filter(({ domain }) => domains.has(domain))
    const host = usable[Math.floor(arrival.draw * usable.length)]
    if (host === undefined || service === undefined)
      throw new RangeError(`no host can serve the service "${arrival.service}"`)
    return sendWithPermit(host.source, arrival, { ...context, deadlineMs: service.requestTimeoutMs })
  }
}

/** Sends directly to the targets that a baseline policy chooses. */
const directSender = (
  specs: readonly TargetSpec[],
  policy: Exclude<Policy, typeof router>,
  hostCount: number,
  targets: ReadonlyMap<string, ModelTarget>,
): Send => {
  const chooseTarget = createTargetChooser(specs, { policy, hostCount })
  return async (arrival) => {
    const choice = chooseTarget(arrival)
    const answered = await targets.get(choice?.target.name ?? '')?.start().answered
    choice?.end()
    return answered === true
      ? { outcome: SampleOutcome.ok, code: '' }
      : { outcome: SampleOutcome.refused, code: 'no_slot' }
  }
}
