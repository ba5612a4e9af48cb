/**
 * A randomised soak of the gateway daemons as real processes. Faults come in series and overlap: processes are paused,
 * killed, stopped and restarted by signals; connections to the store and the targets are silenced, cut or cut one way;
 * the store refuses, stays silent, answers slowly or loses answers. Callers keep sending on kept connections. Meanwhile
 * and afterwards the promises are checked from what callers and targets saw.
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
  /** Time over which the faults are spread. */
  readonly durationMs?: number
}

export interface SoakReport {
  readonly seed: number
  readonly faults: readonly string[]
  readonly answers: Readonly<Record<string, number>>
  /** Broken promises; empty when all were kept. */
  readonly violations: readonly string[]
}

interface SoakAnswer {
  readonly requestId: string
  readonly path: string
  /** 0 when the connection ended without an answer. */
  readonly status: number
  readonly body: string
}

const callers = 6
const pauseBetweenRequestsMs = 15
const sampleKeys = Array.from({ length: 32 }, (_, index) => index * 2048 + 7)
const ownershipCheckMs = 10
/** Grants that arrive this soon after their sender was paused or a link healed don't count. */
const thawSlackMs = 300
/** Longer than any fault, so that a violation after it has another cause. */
const maxFaultMs = 2500
const recoveryMs = 20_000

class Soak {
  readonly #random: Random
  readonly #cluster: GatewayCluster
  readonly #forwarders: readonly Forwarder[]
  readonly #faults: string[] = []
  readonly #violations = new Set<string>()
  readonly #answers: SoakAnswer[] = []
  readonly #ending: Promise<void>[] = []
  #requests = 0
  #stopped = false
  #lastThawMs = -Infinity

  constructor(random: Random, cluster: GatewayCluster, forwarders: readonly Forwarder[]) {
    this.#random = random
    this.#cluster = cluster
    this.#forwarders = forwarders
  }

  async run({ seed, faults = 8, durationMs = 8000 }: SoakOptions): Promise<SoakReport> {
    const sending = Array.from({ length: callers }, (_, caller) => this.#call(caller))
    const checking = this.#checkOwnership()
    const gapMs = durationMs / faults
    for (let index = 0; index < faults; index += 1) {
      this.#inject()
      await sleep(this.#random.float() * 2 * gapMs)
    }
    await Promise.all(this.#ending)
    await this.#awaitRecovery()
    this.#stopped = true
    await Promise.all([...sending, checking])
    this.#checkRuns()
    const answers: Record<string, number> = {}
    for (const { status } of this.#answers) answers[status] = (answers[status] ?? 0) + 1
    return { seed, faults: this.#faults, answers, violations: [...this.#violations] }
  }

  /** Starts one fault; it ends by itself. */
  #inject(): void {
    const durationMs = 200 + this.#random.integer(maxFaultMs - 200)
    const faults: readonly (readonly [name: string, start: () => () => void | Promise<void>])[] = [
      ['pause', () => this.#pause()],
      ['kill', () => this.#end('SIGKILL')],
      ['stop', () => this.#end('SIGTERM')],
      ['store refuses', () => this.#storeFault(StoreFault.refuse)],
      ['store slow', () => this.#storeFault(StoreFault.slow)],
      ['store silent', () => this.#storeFault(StoreFault.silent)],
      ['store loses answers', () => this.#storeFault(StoreFault.loseWrites)],
      ['connections silent', () => this.#link((forwarder) => forwarder.silence())],
      ['link cut', () => this.#link((forwarder) => forwarder.cutAll())],
      [
        'one way',
        () => this.#link((forwarder) => forwarder.cutDirection(this.#oneOf(['toTarget', 'toSource']))),
      ],
    ]
    const [name, start] = this.#oneOf(faults)
    this.#faults.push(`${name} ${String(durationMs)} ms`)
    const end = start()
    this.#ending.push(sleep(durationMs).then(end))
  }

  #pause(): () => void {
    const host = this.#oneOf(this.#cluster.hosts)
    host.signal('SIGSTOP')
    return () => {
      host.signal('SIGCONT')
      this.#lastThawMs = performance.now()
    }
  }

  #end(signal: NodeJS.Signals): () => Promise<void> {
    const host = this.#oneOf(this.#cluster.hosts)
    host.signal(signal)
    return async () => {
      // A paused process takes its signal when it goes on.
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

  #link(cut: (forwarder: Forwarder) => void): () => void {
    const forwarder = this.#oneOf(this.#forwarders)
    cut(forwarder)
    return () => {
      forwarder.restore()
      this.#lastThawMs = performance.now()
    }
  }

  async #call(caller: number): Promise<void> {
    const agent = new Agent({ keepAlive: caller % 2 === 0 })
    while (!this.#stopped) {
      const host = this.#oneOf(this.#cluster.hosts)
      this.#answers.push(await this.#request(host, agent))
      await sleep(pauseBetweenRequestsMs)
    }
    agent.destroy()
  }

  #request(host: GatewayProcess, agent: Agent): Promise<SoakAnswer> {
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
            ...callerHeaders({ requestId, deadlineMs: 2000, key: this.#oneOf(sampleKeys) }),
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
      await sleep(ownershipCheckMs)
      if (performance.now() - this.#lastThawMs < thawSlackMs) continue
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
    for (const { requestId, path, status, body } of this.#answers) {
      if (status === 200 && body !== `answer to ${requestId}`)
        this.#violations.add(`${requestId} got "${body}"`)
      const refused = status === 503 || status === 429
      if (refused && path === '/orders/1' && runs.has(requestId)) {
        this.#violations.add(`${requestId} was refused and ran`)
      }
    }
  }

  #oneOf<T>(items: readonly T[]): T {
    const item = this.#random.pick(items)
    if (item === undefined) throw new Error('nothing to choose from')
    return item
  }
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Runs one seed; the order of faults follows from it, their exact times from the machine. */
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
