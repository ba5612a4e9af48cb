/** Ways to send a scheduled request: through the entry hosts, or straight at the targets as the baselines do. */
import { Agent, request as httpRequest } from 'node:http'
import type { Clock, TargetSpec } from '@pimentotally/core'
import { SampleOutcome, groupBy, type Arrival, type Send } from './bench-load.js'

export interface BenchResponse {
  readonly outcome: SampleOutcome
  readonly code: string
  readonly text: string
}

/** A client of one run; its connections are kept alive. */
export class BenchClient {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 256 })

  /** Resolves with outcome and code of whatever happened; never rejects. */
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

/** A balancer takes a host out for this long after a connection to it was refused. */
const hostOutMs = 1000

/** The platform's load balancer: a random entry host, and another one when the connection is refused. */
export const throughHosts = (client: BenchClient, hosts: readonly string[], clock: Clock): Send => {
  const outUntilMs = new Map<string, number>()
  return async (arrival) => {
    for (;;) {
      const usable = hosts.filter((host) => (outUntilMs.get(host) ?? 0) <= clock.monotonicMs())
      const host = usable[Math.floor(arrival.draw * usable.length)]
      if (host === undefined) return { outcome: SampleOutcome.refused, code: 'no_host' }
      const reply = await client.call(host, arrival)
      if (reply.code !== 'ECONNREFUSED') return reply
      outUntilMs.set(host, clock.monotonicMs() + hostOutMs)
    }
  }
}

export const Baseline = { roundRobin: 'round robin', leastInFlight: 'least in flight' } as const
export type Baseline = (typeof Baseline)[keyof typeof Baseline]

export interface BaselineOptions {
  readonly policy: Baseline
  readonly hostCount: number
}

/** The target of each arrival; `end` takes the request off the counters of the host that sent it. */
export type ChooseTarget = (
  arrival: Arrival,
) => { readonly target: TargetSpec; readonly end: () => void } | undefined

/** `hostCount` simulated hosts, each with counters of its own and no limit over all of them. */
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
    // Hosts that all began at the first target would send in step.
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
  const choose = createTargetChooser(targets, options)
  return async (arrival) => {
    const chosen = choose(arrival)
    if (chosen === undefined) return { outcome: SampleOutcome.refused, code: 'no_target' }
    const reply = await client.call(chosen.target.address, arrival)
    chosen.end()
    return reply
  }
}

/** A resend waits this long, and a request is sent at most this often. */
const resendAfterMs = 200
const resendLimit = 8

/** A caller that sends a booking again with its key until it learns the outcome, and sometimes twice at once. */
export const withResends = (send: Send, clock: Clock): Send => {
  return async (arrival) => {
    const once = arrival.headers['idempotency-key'] !== undefined
    if (!once) return send(arrival)
    const duplicate = arrival.draw * 1000 - Math.floor(arrival.draw * 1000) < 0.1
    if (duplicate) void send({ ...arrival, draw: 1 - arrival.draw - Number.EPSILON })
    let last = await send(arrival)
    for (let sent = 1; sent < resendLimit && last.outcome !== SampleOutcome.ok; sent += 1) {
      if (last.code === 'already_completed') return { ...last, outcome: SampleOutcome.ok }
      await clock.sleep(resendAfterMs)
      last = await send({ ...arrival, draw: (arrival.draw + sent / resendLimit) % 1 })
    }
    return last
  }
}
