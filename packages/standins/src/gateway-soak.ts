/**
 * A randomised soak test of the gateway daemons as real processes. Faults are injected one after another and may
 * overlap: processes are paused, killed or stopped by signals, and restarted; connections to the store and the targets
 * go silent, are reset, or lose the bytes of one direction; the store refuses, does not answer, answers slowly or loses
 * responses; targets name limits on their requests. Beside each of these, targets answer with faults: twice, without a
 * length, broken off, in segments, without a signature. Callers send all the time, some of them on keep-alive
 * connections. During the run it is checked that no two targets hold a key; afterwards, from what callers and targets
 * recorded, that the daemons recovered, that no unsafe request ran twice or ran although it was refused, and that each
 * caller got an answer that a target wrote for its request, whole, or a failure of the gateway's own. Where the
 * configuration has tenants, requests have valid, wrong or no API keys, one of which is withdrawn during the run.
 */
import { Agent } from 'node:http'
import { Random } from '@pimentotally/core'
import {
  AnswerRecord,
  FaultyAnswers,
  StoreFault,
  noAnswerFaults,
  type AnswerFaultShares,
} from '@pimentotally/platform/testing'
import { FailedAttempts, checkAnswer, describeWritten, laterSuccesses } from './answer-checks.js'
import { Forwarder } from './forwarder.js'
import { GatewayCluster } from './gateway-cluster.js'
import {
  callRaw,
  callThroughAgent,
  notesPath,
  ordersPath,
  type SoakRequest,
  type SoakResponse,
} from './soak-callers.js'
import { SoakTenants } from './soak-tenants.js'

export interface SoakOptions {
  readonly seed: number
  readonly hosts?: number
  readonly faults?: number
  /** The faults start within about this time. */
  readonly durationMs?: number
}

export interface SoakReport {
  readonly seed: number
  readonly faults: readonly string[]
  readonly answers: Readonly<Record<string, number>>
  /** What went wrong; empty when all checks passed. */
  readonly violations: readonly string[]
  /** Failures of an earlier attempt that callers got although a later one succeeded, whose answer was lost. */
  readonly earlierFailures: readonly string[]
  /** What the daemons wrote, one line each that begins with the name of the daemon; only if there are violations. */
  readonly log: readonly string[]
}

const agentCallerCount = 6
const pauseBetweenRequestsMs = 15
/** Requests that a caller sends at once on a connection, at most. */
const maxPipelined = 4
/** Most connections to a target in each run: plenty, or so few that requests wait for them. */
const connectionLimits = [120, 9]
/** Key hashes, spread over the whole range, that callers request and whose holders are checked. */
const sampleKeys = Array.from({ length: 32 }, (_, index) => index * 2048 + 7)
const ownershipCheckIntervalMs = 10
/**
 * For this long after a process was resumed or a link restored, two holders of a key are not a violation: grants that
 * were delayed by the fault may still arrive.
 */
const resumeGraceMs = 300
/** Events of log lines that no fault may cause. */
const unexpectedErrors = ['process.uncaught', 'process.unhandled_rejection', 'request.unexpected_error']
/** No fault lasts longer than this, so a violation that occurs later has another cause. */
const maxFaultMs = 2500
/** When all faults have ended, all hosts must be ready and the sample keys held again within this time. */
const recoveryMs = 20_000

/** Each fault of answers gets one of these shares; most faults are absent at a time. */
const answerFaultShares = [0, 0, 0, 0.1, 0.4]

interface SoakParts {
  readonly random: Random
  readonly cluster: GatewayCluster
  readonly forwarders: readonly Forwarder[]
  readonly record: AnswerRecord
  /** What writes the answers of each target. */
  readonly answers: readonly FaultyAnswers[]
  readonly tenants: SoakTenants
}

class Soak {
  readonly #random: Random
  readonly #cluster: GatewayCluster
  readonly #forwarders: readonly Forwarder[]
  readonly #record: AnswerRecord
  readonly #answers: readonly FaultyAnswers[]
  readonly #tenants: SoakTenants
  readonly #faults: string[] = []
  readonly #violations = new Set<string>()
  readonly #responses: SoakResponse[] = []
  readonly #pendingFaultEnds: Promise<void>[] = []
  #requests = 0
  #stopped = false
  /** When a paused process was resumed or a link restored for the last time. */
  #lastResumedAtMs = -Infinity

  constructor({ random, cluster, forwarders, record, answers, tenants }: SoakParts) {
    this.#random = random
    this.#cluster = cluster
    this.#forwarders = forwarders
    this.#record = record
    this.#answers = answers
    this.#tenants = tenants
  }

  async run({ seed, faults = 8, durationMs = 8000 }: SoakOptions): Promise<SoakReport> {
    const sending = [
      ...Array.from({ length: agentCallerCount }, (_, caller) => this.#runAgentCaller(caller)),
      this.#runRawCaller('1.1'),
      this.#runRawCaller('1.0'),
    ]
    const checking = this.#checkOwnership()
    const gapMs = durationMs / faults
    for (let index = 0; index < faults; index += 1) {
      this.#startFault()
      this.#startAnswerFaults()
      await sleep(this.#random.float() * 2 * gapMs)
      this.#tenants.withdraw((tenants) => {
        this.#cluster.replaceTenants(tenants)
      })
    }
    await Promise.all(this.#pendingFaultEnds)
    await this.#awaitRecovery()
    await this.#tenants.awaitWithdrawal(sleep)
    this.#stopped = true
    await Promise.all([...sending, checking])
    this.#checkRuns()
    this.#checkTenants()
    const earlierFailures = this.#checkAnswers()
    const answers: Record<string, number> = {}
    for (const { status } of this.#responses) answers[status] = (answers[status] ?? 0) + 1
    const violations = [...this.#violations]
    const log = violations.length === 0 ? [] : this.#logLines()
    return { seed, faults: this.#faults, answers, violations, earlierFailures, log }
  }

  /** Starts random faults of the answers of some targets, which replace theirs, and schedules their end. */
  #startAnswerFaults(): void {
    const durationMs = 500 + this.#random.integer(maxFaultMs - 500)
    const shares: AnswerFaultShares = {
      failed: this.#share(),
      refused: this.#share(),
      copied: this.#share(),
      copiedLate: this.#share(),
      unframed: this.#share(),
      brokenOff: this.#share(),
      segmented: this.#share(),
      unproven: this.#share(),
    }
    const faulty = this.#answers.filter(() => this.#random.float() < 0.6)
    for (const answers of faulty) answers.shares = shares
    const named = Object.entries(shares).filter(([, share]) => share > 0)
    const kinds = named.map(([name, share]) => `${name} ${String(share)}`).join(', ')
    this.#faults.push(`answers of ${String(faulty.length)} targets (${kinds}) ${String(durationMs)} ms`)
    this.#pendingFaultEnds.push(
      sleep(durationMs).then(() => {
        for (const answers of faulty) if (answers.shares === shares) answers.shares = noAnswerFaults
      }),
    )
  }

  #share(): number {
    return this.#pick(answerFaultShares)
  }

  /** Starts a random fault and schedules its end. */
  #startFault(): void {
    const durationMs = 200 + this.#random.integer(maxFaultMs - 200)
    const faults: readonly (readonly [name: string, start: () => () => void | Promise<void>])[] = [
      ['pause', () => this.#pause()],
      ['kill', () => this.#terminate('SIGKILL')],
      ['stop', () => this.#terminate('SIGTERM')],
      ['store refuses', () => this.#storeFault(StoreFault.refuse)],
      ['store slow', () => this.#storeFault(StoreFault.slow)],
      ['store silent', () => this.#storeFault(StoreFault.silent)],
      ['store loses answers', () => this.#storeFault(StoreFault.loseWrites)],
      ['target limited', () => this.#limitTarget()],
      ['connections silent', () => this.#failLink((forwarder) => forwarder.silence())],
      ['link cut', () => this.#failLink((forwarder) => forwarder.cutAll())],
      [
        'one way',
        () => this.#failLink((forwarder) => forwarder.cutDirection(this.#pick(['toTarget', 'toSource']))),
      ],
    ]
    const [name, start] = this.#pick(faults)
    this.#faults.push(`${name} ${String(durationMs)} ms`)
    const end = start()
    this.#pendingFaultEnds.push(sleep(durationMs).then(end))
  }

  #pause(): () => void {
    const host = this.#pick(this.#cluster.hosts)
    host.signal('SIGSTOP')
    return () => {
      host.signal('SIGCONT')
      this.#lastResumedAtMs = performance.now()
    }
  }

  #terminate(signal: NodeJS.Signals): () => Promise<void> {
    const host = this.#pick(this.#cluster.hosts)
    host.signal(signal)
    return async () => {
      // A paused process handles the signal only after SIGCONT.
      host.signal('SIGCONT')
      if (!this.#cluster.hosts.includes(host)) return
      await host.exited
      if (this.#cluster.hosts.includes(host)) this.#cluster.restart(host)
    }
  }

  #storeFault(fault: StoreFault): () => void {
    this.#cluster.store.fault = fault
    return () => {
      this.#cluster.store.fault = StoreFault.none
    }
  }

  #limitTarget(): () => void {
    const target = this.#pick(this.#cluster.targets)
    target.requestLimit = this.#random.integer(40) / 10
    return () => {
      target.requestLimit = undefined
    }
  }

  #failLink(cut: (forwarder: Forwarder) => void): () => void {
    const forwarder = this.#pick(this.#forwarders)
    cut(forwarder)
    return () => {
      forwarder.restore()
      this.#lastResumedAtMs = performance.now()
    }
  }

  async #runAgentCaller(caller: number): Promise<void> {
    const agent = new Agent({ keepAlive: caller % 2 === 0 })
    while (!this.#stopped) {
      const path = this.#random.float() < 0.4 ? ordersPath : notesPath
      this.#responses.push(await callThroughAgent(this.#nextRequest(path, this.#pickPort()), agent))
      await sleep(pauseBetweenRequestsMs)
    }
    agent.destroy()
  }

  async #runRawCaller(version: '1.0' | '1.1'): Promise<void> {
    while (!this.#stopped) {
      const port = this.#pickPort()
      const length = version === '1.0' ? 1 : 1 + this.#random.integer(maxPipelined)
      const requests = Array.from({ length }, () => this.#nextRequest(notesPath, port))
      this.#responses.push(...(await callRaw(requests, version)))
      await sleep(pauseBetweenRequestsMs)
    }
  }

  #nextRequest(path: string, port: number): SoakRequest {
    this.#requests += 1
    const requestId = `r-${String(this.#requests)}`
    return { requestId, path, key: this.#pick(sampleKeys), port, apiKey: this.#tenants.nextKey(requestId) }
  }

  #pickPort(): number {
    return this.#pick(this.#cluster.hosts).port
  }

  async #checkOwnership(): Promise<void> {
    while (!this.#stopped) {
      await sleep(ownershipCheckIntervalMs)
      if (performance.now() - this.#lastResumedAtMs < resumeGraceMs) continue
      for (const key of sampleKeys) {
        const owners = this.#cluster.notes.filter((target) => target.holdsKey(key)).map(({ id }) => id)
        if (owners.length > 1) this.#violations.add(`key ${String(key)} is held by ${owners.join(' and ')}`)
      }
    }
  }

  async #awaitRecovery(): Promise<void> {
    const endMs = performance.now() + recoveryMs
    const served = async (): Promise<boolean> => {
      for (const host of this.#cluster.hosts) {
        if (!(await host.isReady())) return false
      }
      return this.#cluster.areSampleKeysHeld()
    }
    while (!(await served())) {
      if (performance.now() > endMs) {
        this.#violations.add('not served again after all faults had ended')
        return
      }
      await sleep(100)
    }
  }

  #checkRuns(): void {
    const runs = new Map<string, number>()
    for (const target of this.#cluster.orders) {
      for (const { requestId } of target.runs) runs.set(requestId, (runs.get(requestId) ?? 0) + 1)
    }
    for (const [requestId, count] of runs) {
      if (count > 1) this.#violations.add(`${requestId} ran ${String(count)} times`)
    }
    for (const { options, outputLines } of this.#cluster.processes) {
      const unexpected = outputLines.find((line) => unexpectedErrors.some((event) => line.includes(event)))
      if (unexpected !== undefined) this.#violations.add(`${options.name}: ${unexpected}`)
    }
    for (const { requestId, path, status } of this.#responses) {
      const refused = status === 503 || status === 429
      if (refused && path === ordersPath && runs.has(requestId)) {
        this.#violations.add(`${requestId} was refused and ran`)
      }
    }
  }

  #checkTenants(): void {
    const received = this.#cluster.targets.flatMap(({ receivedTenants }) => receivedTenants)
    const found = this.#tenants.check(received, this.#responses, this.#logLines())
    for (const violation of found) this.#violations.add(violation)
  }

  /** Returns the failures of an earlier attempt that are no violation, as the success of the later one was lost. */
  #checkAnswers(): string[] {
    const attempts = new FailedAttempts(this.#logLines())
    const earlierFailures: string[] = []
    for (const response of this.#responses) {
      for (const violation of checkAnswer(response, this.#record)) this.#violations.add(violation)
      const [later] = laterSuccesses(response, this.#record)
      if (later === undefined) continue
      const { requestId, status, signature = '' } = response
      const written = describeWritten(response, this.#record)
      const found = `${requestId} got status ${String(status)} of ${signature}; the targets wrote ${written}`
      if (attempts.explain(later, this.#record)) earlierFailures.push(found)
      else this.#violations.add(`earlier attempt: ${found}`)
    }
    return earlierFailures
  }

  #logLines(): string[] {
    return this.#cluster.processes.flatMap(({ options, outputLines }) =>
      outputLines.map((line) => `${options.name} ${line}`),
    )
  }

  #pick<T>(items: readonly T[]): T {
    const item = this.#random.pick(items)
    if (item === undefined) throw new Error('cannot pick from an empty list')
    return item
  }
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Runs the soak test with one seed. The seed determines the order of faults, but not their exact times. */
export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
  const forwarders: Forwarder[] = []
  const random = new Random(options.seed)
  const record = new AnswerRecord()
  const answers: FaultyAnswers[] = []
  const tenants = new SoakTenants(options.seed)
  const cluster = await GatewayCluster.start({
    hosts: options.hosts ?? 3,
    maxConnections: random.pick(connectionLimits),
    tenants: tenants.tenants,
    faultyAnswers: (target) => {
      // Each target has random numbers of its own, so that the number of requests does not alter the order of faults.
      const faulty = new FaultyAnswers({ target, record, random: new Random(random.integer(2 ** 31)) })
      answers.push(faulty)
      return faulty
    },
    forwardedAddress: async (target) => {
      const forwarder = await Forwarder.start({ target })
      forwarders.push(forwarder)
      return forwarder.address
    },
  })
  try {
    return await new Soak({ random, cluster, forwarders, record, answers, tenants }).run(options)
  } finally {
    await cluster.stop()
    await Promise.all(forwarders.map((forwarder) => forwarder.close()))
  }
}
