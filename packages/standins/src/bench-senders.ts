/** Ways to send a scheduled request: through the entry hosts, or directly to the targets as the baselines do. */
import { Agent, request as httpRequest } from 'node:http'
import type { Clock, TargetSpec } from '@pimentotally/core'
import { SampleOutcome, groupBy, type Arrival, type Send } from './bench-load.js'

export interface BenchResponse {
  readonly outcome: SampleOutcome
  readonly code: string
  readonly text: string
}

/** The HTTP client of one run, with keep-alive connections. */
export class BenchClient {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 256 })

  /** Sends a request and resolves to its outcome and code; never rejects. */
  call(
    address: string,
    { method, path, headers }: Pick<Arrival, 'method' | 'path' | 'headers'>,
  ): Promise<BenchResponse> {
    const [host, port] = address.split(':')
    return new Promise((resolve) => {
      const fail = (error: NodeJS.ErrnoException): void => {
        const code = error.code ?? 'connection_error'
        resolve({
          outcome: code === 'ECONNREFUSED' ? SampleOutcome.refused : SampleOutcome.unknown,
          code,
          text: '',
        })
      }
      const call = httpRequest({ host, port, method, path, headers, agent: this.#agent }, (response) => {
        const chunks: Buffer[] = []
        response.on('data', (chunk: Buffer) => chunks.push(chunk)).on('error', fail)
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString()
          resolve({ ...classify(response.statusCode ?? 0, response.headers, text), text })
        })
      })
      call.setTimeout(12_000, () => call.destroy(Object.assign(new Error('timeout'), { code: 'ETIMEDOUT' })))
      call.on('error', fail)
      call.end()
    })
  }

  close(): void {
    this.#agent.destroy()
  }
}

/** The outcome and code that a response tells; the code is found in the body of the router or of a stand-in target. */
const classify = (
  status: number,
  headers: Readonly<Record<string, unknown>>,
  text: string,
): { outcome: SampleOutcome; code: string } => {
  if (status < 400) return { outcome: SampleOutcome.ok, code: '' }
  const found = /"(?:code|reason)":"([^"]+)"/.exec(text)?.[1]
  const code = found ?? String(status)
  if (headers['pimentotally-outcome'] === 'not-run' || headers['pimentotally-target-refused'] === 'true') {
    return { outcome: SampleOutcome.refused, code }
  }
  if (headers['pimentotally-outcome'] === 'unknown') return { outcome: SampleOutcome.unknown, code }
  return { outcome: SampleOutcome.failed, code }
}

/** The load balancer sends a host no requests for this long after the host refused a connection. */
const hostExclusionMs = 1000

/** Sends as the platform's load balancer does: to a random entry host, and to another when it refuses to connect. */
export const throughHosts = (client: BenchClient, hosts: readonly string[], clock: Clock): Send => {
  const excludedUntilMs = new Map<string, number>()
  return async (arrival) => {
    for (;;) {
      const usable = hosts.filter((host) => (excludedUntilMs.get(host) ?? 0) <= clock.monotonicMs())
      const host = usable[Math.floor(arrival.draw * usable.length)]
      if (host === undefined) return { outcome: SampleOutcome.refused, code: 'no_host' }
      const response = await client.call(host, arrival)
      if (response.code !== 'ECONNREFUSED') return response
      excludedUntilMs.set(host, clock.monotonicMs() + hostExclusionMs)
    }
  }
}

export const Baseline = { roundRobin: 'round robin', leastInFlight: 'least in flight' } as const
export type Baseline = (typeof Baseline)[keyof typeof Baseline]

export interface BaselineOptions {
  readonly policy: Baseline
  readonly hostCount: number
}

/**
 * Chooses the target of an arrival; undefined when there is none. `end` is to be called when the request has ended: it
 * removes the request from the in-flight counts of the simulated host that sent it.
 */
export type ChooseTarget = (
  arrival: Arrival,
) => { readonly target: TargetSpec; readonly end: () => void } | undefined

/**
 * Simulates `hostCount` hosts that choose targets by a baseline policy. Each host counts only its own requests, and
 * nothing limits the sum over all hosts.
 */
export const createTargetChooser = (
  targets: readonly TargetSpec[],
  { policy, hostCount }: BaselineOptions,
): ChooseTarget => {
  const hosts = Array.from({ length: hostCount }, () => ({
    next: new Map<string, number>(),
    inFlight: new Map<string, number>(),
  }))
  const byService = groupBy(targets, ({ service }) => service)
  return ({ service, draw }) => {
    const index = Math.floor(draw * hostCount)
    const host = hosts[index]
    const candidates = byService.get(service)
    if (host === undefined || candidates === undefined) return undefined
    const { next, inFlight } = host
    // Each host starts at another target; otherwise all hosts would send to the same target at the same time.
    const turn = next.get(service) ?? index
    next.set(service, turn + 1)
    const load = ({ name }: TargetSpec): number => inFlight.get(name) ?? 0
    let target = candidates[turn % candidates.length] as TargetSpec
    if (policy === Baseline.leastInFlight) {
      for (let step = 1; step < candidates.length; step += 1) {
        const other = candidates[(turn + step) % candidates.length] as TargetSpec
        if (load(other) < load(target)) target = other
      }
    }
    const { name } = target
    inFlight.set(name, (inFlight.get(name) ?? 0) + 1)
    return {
      target,
      end: () => inFlight.set(name, (inFlight.get(name) ?? 0) - 1),
    }
  }
}

export const directToTargets = (
  client: BenchClient,
  targets: readonly TargetSpec[],
  options: BaselineOptions,
): Send => {
  const chooseTarget = createTargetChooser(targets, options)
  return async (arrival) => {
    const choice = chooseTarget(arrival)
    if (choice === undefined) return { outcome: SampleOutcome.refused, code: 'no_target' }
    const response = await client.call(choice.target.address, arrival)
    choice.end()
    return response
  }
}

/** Bounds on resends: the delay before each, and the number of times that a request is sent, the first one included. */
const resendDelayMs = 200
const maxSends = 8

/**
 * Wraps `send` so that a booking is sent again with its idempotency key until it has succeeded or was sent `maxSends`
 * times; about 1 in 10 bookings is also sent twice at the same time.
 */
export const withResends = (send: Send, clock: Clock): Send => {
  return async (arrival) => {
    const isBooking = arrival.headers['idempotency-key'] !== undefined
    if (!isBooking) return send(arrival)
    const duplicate = arrival.draw * 1000 - Math.floor(arrival.draw * 1000) < 0.1
    if (duplicate) void send({ ...arrival, draw: 1 - arrival.draw - Number.EPSILON })
    let last = await send(arrival)
    for (let sent = 1; sent < maxSends && last.outcome !== SampleOutcome.ok; sent += 1) {
      if (last.code === 'already_completed') return { ...last, outcome: SampleOutcome.ok }
      await clock.sleep(resendDelayMs)
      last = await send({ ...arrival, draw: (arrival.draw + sent / maxSends) % 1 })
    }
    return last
  }
}
