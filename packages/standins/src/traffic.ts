/** Callers of all services of a deployment, against all hosts, with a record of every request. */
import { Agent } from 'node:http'
import { Random, type ServiceSpec } from '@pimentotally/core'
import { callHost, nowMs, type CallResult } from './caller.js'
import type { Cluster, ClusterHost } from './cluster.js'

export interface SentRequest {
  readonly service: string
  readonly key: string
  /** Of the request: the idempotency key, or one that no other request has. */
  readonly identity: string
  readonly startedMs: number
  readonly endedMs: number
  readonly callResult: CallResult
  /** Set when an answer that was passed as complete is not the caller's own or not whole. */
  readonly defect?: string
}

export interface TrafficOptions {
  readonly cluster: Cluster
  readonly seed?: number
  /** Sampled keys of each keyed service, each sent a request every `keyIntervalMs`. */
  readonly keys?: number
  readonly keyIntervalMs?: number
  /** Callers of each other service. */
  readonly callers?: number
  /** Traffic before the time that is measured: targets that have just started get few requests at once. */
  readonly warmUpMs?: number
}

interface Draft {
  readonly service: ServiceSpec
  readonly key: string
  readonly identity: string
  readonly path: string
  readonly method?: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
  /** Length of a download; other answers are JSON that names the request. */
  readonly bytes?: number
}

/** Services from which large bodies are read. */
const downloads = new Set(['report-files', 'manifests'])

/** Services that are sent requests with idempotency keys. */
export const bookingServices: ReadonlySet<string> = new Set(['deposits', 'bookings'])

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

const defectOf = ({ identity, path, bytes }: Draft, callResult: CallResult): string | undefined => {
  if (callResult.kind !== 'answer' || callResult.status !== 200) return undefined
  if (bytes !== undefined) {
    if (callResult.body.length !== bytes)
      return `${String(callResult.body.length)} bytes instead of ${String(bytes)}`
    return callResult.body.every((byte) => byte === 0x78) ? undefined : 'bytes of another answer'
  }
  try {
    const own = JSON.parse(callResult.body.toString()) as { identity?: string; url?: string }
    return own.identity === identity && own.url === path ? undefined : `the answer of ${String(own.identity)}`
  } catch {
    return 'not the JSON that the target made'
  }
}

export class Traffic {
  readonly sent: SentRequest[] = []
  readonly #cluster: Cluster
  readonly #options: Required<Omit<TrafficOptions, 'cluster'>>
  readonly #random: Random
  readonly #agent = new Agent({ keepAlive: true })
  readonly #pending = new Set<Promise<void>>()
  readonly #runId: string
  #count = 0
  #ended = false
  startedMs = 0
  endedMs = 0

  constructor({
    cluster,
    seed = 1,
    keys = 24,
    keyIntervalMs = 100,
    callers = 3,
    warmUpMs = 2000,
  }: TrafficOptions) {
    this.#cluster = cluster
    this.#options = { seed, keys, keyIntervalMs, callers, warmUpMs }
    this.#random = new Random(seed)
    this.#runId = `${cluster.deployment.name}-${String(seed)}`
  }

  keyNames(): string[] {
    return Array.from({ length: this.#options.keys }, (_, index) => `key-${String(index)}`)
  }

  /** Measured for `durationMs` after the warm-up. Resolves when the time is over and every request has ended. */
  async run(durationMs: number): Promise<void> {
    const { warmUpMs } = this.#options
    this.startedMs = nowMs() + warmUpMs
    const loops = this.#cluster.deployment.services.flatMap((service) =>
      service.keyed !== undefined
        ? this.keyNames().map((key) => this.#sample(service, key))
        : Array.from({ length: this.#options.callers }, () => this.#repeat(service)),
    )
    await wait(warmUpMs + durationMs)
    this.#ended = true
    this.endedMs = nowMs()
    await Promise.all(loops)
    await Promise.all(this.#pending)
    this.#agent.destroy()
  }

  /** Sends at fixed times, so that a request that waits delays no other one. */
  async #sample(service: ServiceSpec, key: string): Promise<void> {
    await wait(this.#random.float() * this.#options.keyIntervalMs)
    while (!this.#ended) {
      this.#track(this.#send(this.#draft(service, key)).then(() => undefined))
      await wait(this.#options.keyIntervalMs)
    }
  }

  async #repeat(service: ServiceSpec): Promise<void> {
    while (!this.#ended) {
      const draft = this.#draft(service, '')
      if (bookingServices.has(service.name)) await this.#book(draft)
      else await this.#send(draft)
      await wait(10 + this.#random.float() * 20)
    }
  }

  /** One of three bookings is sent twice, at once or one after the other; a lost one is sent again. */
  async #book(draft: Draft): Promise<void> {
    const kind = this.#random.float()
    const first = this.#host()
    if (kind < 1 / 6) {
      await Promise.all([this.#send(draft, first), this.#send(draft, this.#host(first))])
      return
    }
    const { callResult } = await this.#send(draft, first)
    const lost = callResult.kind === 'cut' || callResult.kind === 'unknown'
    if (lost || kind < 1 / 3) await this.#send(draft, this.#host(first))
  }

  #track(work: Promise<void>): void {
    const tracked = work.finally(() => this.#pending.delete(tracked))
    this.#pending.add(tracked)
  }

  /** As a load balancer chooses: any host, another than `except`. */
  #host(except?: ClusterHost): ClusterHost {
    const hosts = this.#cluster.hosts.filter((host) => host !== except)
    return hosts[Math.floor(this.#random.float() * hosts.length)] as ClusterHost
  }

  #draft(service: ServiceSpec, key: string): Draft {
    this.#count += 1
    const number = String(this.#count)
    const identity = `${this.#runId}-${number}`
    const { pathPrefix, keyed } = service
    const headers = { 'x-request-identity': identity, ...(key === '' ? {} : { 'x-key': key }) }
    const common = { service, key, identity, headers }
    if (keyed !== undefined) {
      if (keyed.source.kind === 'pathSegment') return { ...common, path: `${pathPrefix}${key}/${number}` }
      return {
        ...common,
        path: `${pathPrefix}items/${number}`,
        headers: { ...headers, [keyed.source.name]: key },
      }
    }
    if (bookingServices.has(service.name)) {
      return {
        ...common,
        path: `${pathPrefix}account-${number}`,
        method: 'POST',
        headers: { 'idempotency-key': identity, 'content-type': 'application/json' },
        body: JSON.stringify({ amount: this.#count }),
      }
    }
    if (!downloads.has(service.name)) return { ...common, path: `${pathPrefix}${number}` }
    const bytes = 300_000 + this.#count
    return { ...common, bytes, path: `${pathPrefix}${number}/big?bytes=${String(bytes)}` }
  }

  /** A host that cannot be connected to was sent nothing, so the caller goes to the next one. */
  async #send(draft: Draft, host = this.#host()): Promise<SentRequest> {
    const { service, key, identity, path, method, headers, body } = draft
    const startedMs = nowMs()
    const { callers: address } = host.addresses
    const callResult = await callHost({ address, path, method, headers, body, agent: this.#agent })
    const defect = defectOf(draft, callResult)
    const sent = {
      service: service.name,
      key,
      identity,
      startedMs,
      endedMs: nowMs(),
      callResult,
      defect,
    }
    this.sent.push(sent)
    return callResult.kind === 'unreachable' && !this.#ended ? this.#send(draft, this.#host(host)) : sent
  }
}
