/**
 * A randomised soak test of the gateway daemons as real processes. Faults are injected one after another and may
 * overlap: processes are paused, killed or stopped by signals, and restarted; connections to the store and the targets
 * go silent, are reset, or lose the bytes of one direction; the store refuses, does not answer, answers slowly or loses
 * responses; targets name limits on their requests. Callers send all the time, some of them on keep-alive connections.
 * During the run it is checked that no two targets hold a key; afterwards, from what callers and targets recorded, that
 * the daemons recovered, that no unsafe request ran twice or ran although it was refused, and that each caller got its
 * own response.
 */
import { Agent, request as httpRequest } from 'node:http'
import { Random } from '@pimentotally/core'
import { StoreFault, callerHeaders } from '@pimentotally/platform/testing'
import { Forwarder } from './forwarder.js'
import { GatewayCluster, type GatewayProcess } from './gateway-cluster.js'

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
}

interface SoakResponse {
  readonly requestId: string
  readonly path: string
  /** The HTTP status; 0 when there was no complete response before the connection or the waiting time ended. */
  readonly status: number
  readonly body: string
}

const callerCount = 6
const pauseBetweenRequestsMs = 15
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

class Soak {
  readonly #random: Random
  readonly #cluster: GatewayCluster
  readonly #forwarders: readonly Forwarder[]
  readonly #faults: string[] = []
  readonly #violations = new Set<string>()
  readonly #responses: SoakResponse[] = []
  readonly #pendingFaultEnds: Promise<void>[] = []
  #requests = 0
  #stopped = false
  /** When a paused process was resumed or a link restored for the last time. */
  #lastResumedAtMs = -Infinity

  constructor(random: Random, cluster: GatewayCluster, forwarders: readonly Forwarder[]) {
    this.#random = random
    this.#cluster = cluster
    this.#forwarders = forwarders
  }

  async run({ seed, faults = 8, durationMs = 8000 }: SoakOptions): Promise<SoakReport> {
    const sending = Array.from({ length: callerCount }, (_, caller) => this.#runCaller(caller))
    const checking = this.#checkOwnership()
    const gapMs = durationMs / faults
    for (let index = 0; index < faults; index += 1) {
      this.#startFault()
      await sleep(this.#random.float() * 2 * gapMs)
    }
    await Promise.all(this.#pendingFaultEnds)
    await this.#awaitRecovery()
    this.#stopped = true
    await Promise.all([...sending, checking])
    this.#checkRuns()
    const answers: Record<string, number> = {}
    for (const { status } of this.#responses) answers[status] = (answers[status] ?? 0) + 1
    return { seed, faults: this.#faults, answers, violations: [...this.#violations] }
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

  async #runCaller(caller: number): Promise<void> {
    const agent = new Agent({ keepAlive: caller % 2 === 0 })
    while (!this.#stopped) {
      const host = this.#pick(this.#cluster.hosts)
      this.#responses.push(await this.#request(host, agent))
      await sleep(pauseBetweenRequestsMs)
    }
    agent.destroy()
  }

  #request(host: GatewayProcess, agent: Agent): Promise<SoakResponse> {
    this.#requests += 1
    const requestId = `r-${String(this.#requests)}`
    const path = this.#random.float() < 0.4 ? '/orders/1' : '/notes/1'
    return new Promise((resolve) => {
      const settle = (status: number, body = ''): void => {
        clearTimeout(timer)
        resolve({ requestId, path, status, body })
      }
      const outgoing = httpRequest(
        {
          host: '127.0.0.1',
          port: host.port,
          path,
          agent,
          method: path === '/orders/1' ? 'POST' : 'GET',
          headers: {
            host: 'shop.example',
            ...callerHeaders({ requestId, deadlineMs: 2000, key: this.#pick(sampleKeys) }),
          },
        },
        (incoming) => {
          const chunks: Buffer[] = []
          incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
          incoming.on('error', () => {
            settle(0)
          })
          incoming.on('end', () => {
            if (incoming.complete) settle(incoming.statusCode ?? 0, Buffer.concat(chunks).toString())
            else settle(0)
          })
        },
      )
      const timer = setTimeout(() => {
        outgoing.destroy()
        settle(0)
      }, 2500)
      outgoing.on('error', () => {
        settle(0)
      })
      outgoing.end()
    })
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
    for (const { options, outputLines } of this.#cluster.hosts) {
      const unexpected = outputLines.find((line) => unexpectedErrors.some((event) => line.includes(event)))
      if (unexpected !== undefined) this.#violations.add(`${options.name}: ${unexpected}`)
    }
    for (const { requestId, path, status, body } of this.#responses) {
      if (status === 200 && body !== `answer to ${requestId}`)
        this.#violations.add(`${requestId} got "${body}"`)
      const refused = status === 503 || status === 429
      if (refused && path === '/orders/1' && runs.has(requestId)) {
        this.#violations.add(`${requestId} was refused and ran`)
      }
    }
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
  const cluster = await GatewayCluster.start({
    hosts: options.hosts ?? 3,
    forwardedAddress: async (target) => {
      const forwarder = await Forwarder.start({ target })
      forwarders.push(forwarder)
      return forwarder.address
    },
  })
  try {
    return await new Soak(new Random(options.seed), cluster, forwarders).run(options)
  } finally {
    await cluster.stop()
    await Promise.all(forwarders.map((forwarder) => forwarder.close()))
  }
}
