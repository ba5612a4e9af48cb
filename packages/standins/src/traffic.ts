/** Simulated callers of all services of a deployment: sends requests through all hosts and records each of them. */
import { Agent } from 'node:http'
import { Random, type ServiceSpec } from '@pimentotally/core'
import { callHost, nowMs, type CallResult } from './caller.js'
import type { Cluster, ClusterHost } from './cluster.js'

export interface SentRequest {
  readonly service: string
  readonly key: string
  /** Identifies the request: its idempotency key, or the header `x-request-identity`; resends of a request share it. */
  readonly identity: string
  readonly startedMs: number
  readonly endedMs: number
  readonly callResult: CallResult
  /** Set when a response with status 200 is truncated or belongs to another request; says what is wrong with it. */
  readonly fault?: string
}

export interface TrafficOptions {
  readonly cluster: Cluster
  readonly seed?: number
  /** Number of keys of each keyed service; a request is sent for each of them every `keyIntervalMs`. */
  readonly keys?: number
  readonly keyIntervalMs?: number
  /** Number of callers of each service without keys. */
  readonly callers?: number
  /** Duration of the traffic before the measured time: targets that have just started get few requests at once. */
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
  /** Expected length of the response of a download; other responses are JSON that names the request. */
  readonly bytes?: number
}

/** Names of the services from which large response bodies are read. */
const downloadServices = new Set(['report-files', 'manifests'])

/** Names of the services to which requests with idempotency keys (bookings) are sent. */
export const bookingServices: ReadonlySet<string> = new Set(['deposits', 'bookings'])

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** What is wrong with a response with status 200; undefined when it is complete and the caller's own. */
const faultOf = ({ identity, path, bytes }: Draft, callResult: CallResult): string | undefined => {
  if (callResult.kind !== 'answer' || callResult.status !== 200) return undefined
  if (bytes !== undefined) {
    if (callResult.body.length !== bytes)
      return `${String(callResult.body.length)} bytes instead of ${String(bytes)}`
    return callResult.body.every((byte) => byte === 0x78) ? undefined : 'bytes of another answer'
  }
  try {
    const echo = JSON.parse(callResult.body.toString()) as { identity?: string; url?: string }
    return echo.identity === identity && echo.url === path
      ? undefined
      : `the answer of ${String(echo.identity)}`
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

  /** Sends requests for `warmUpMs` and the measured `durationMs`; resolves when every request has ended. */
  async run(durationMs: number): Promise<void> {
    const { warmUpMs } = this.#options
    this.startedMs = nowMs() + warmUpMs
    const loops = this.#cluster.deployment.services.flatMap((service) =>
      service.keyed !== undefined
        ? this.keyNames().map((key) => this.#sendForKey(service, key))
        : Array.from({ length: this.#options.callers }, () => this.#sendRepeatedly(service)),
    )
    await wait(warmUpMs + durationMs)
    this.#ended = true
    this.endedMs = nowMs()
    await Promise.all(loops)
    await Promise.all(this.#pending)
    this.#agent.destroy()
  }

  /** Sends requests for one key at a fixed interval, whether or not earlier ones have ended. */
  async #sendForKey(service: ServiceSpec, key: string): Promise<void> {
    await wait(this.#random.float() * this.#options.keyIntervalMs)
    while (!this.#ended) {
      this.#track(this.#send(this.#draft(service, key)).then(() => undefined))
      await wait(this.#options.keyIntervalMs)
    }
  }

  async #sendRepeatedly(service: ServiceSpec): Promise<void> {
    while (!this.#ended) {
      const draft = this.#draft(service, '')
      if (bookingServices.has(service.name)) await this.#sendBooking(draft)
      else await this.#send(draft)
      await wait(10 + this.#random.float() * 20)
    }
  }

  /**
   * Sends a booking. One in three is sent twice, half of these at the same time through two hosts; one whose outcome is
   * unknown to the caller is sent again through another host.
   */
  async #sendBooking(draft: Draft): Promise<void> {
    const kind = this.#random.float()
    const first = this.#pickHost()
    if (kind < 1 / 6) {
      await Promise.all([this.#send(draft, first), this.#send(draft, this.#pickHost(first))])
      return
    }
    const { callResult } = await this.#send(draft, first)
    const lost = callResult.kind === 'cut' || callResult.kind === 'unknown'
    if (lost || kind < 1 / 3) await this.#send(draft, this.#pickHost(first))
  }

  #track(work: Promise<void>): void {
    const tracked = work.finally(() => this.#pending.delete(tracked))
    this.#pending.add(tracked)
  }

  /** Picks a random host other than `except`, as a load balancer does. */
  #pickHost(except?: ClusterHost): ClusterHost {
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
    if (!downloadServices.has(service.name)) return { ...common, path: `${pathPrefix}${number}` }
    const bytes = 300_000 + this.#count
    return { ...common, bytes, path: `${pathPrefix}${number}/big?bytes=${String(bytes)}` }
  }

  /** Sends a request; when the host refuses the connection, nothing was sent, and another host is tried. */
  async #send(draft: Draft, host = this.#pickHost()): Promise<SentRequest> {
    const { service, key, identity, path, method, headers, body } = draft
    const startedMs = nowMs()
    const { callers: address } = host.addresses
    const callResult = await callHost({ address, path, method, headers, body, agent: this.#agent })
    const fault = faultOf(draft, callResult)
    const sent = {
      service: service.name,
      key,
      identity,
      startedMs,
      endedMs: nowMs(),
      callResult,
      fault,
    }
    this.sent.push(sent)
    return callResult.kind === 'unreachable' && !this.#ended ? this.#send(draft, this.#pickHost(host)) : sent
  }
}
