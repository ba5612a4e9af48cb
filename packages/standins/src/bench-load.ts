/**
 * Open-loop load: requests are sent at times that are drawn from a seed before the run. Latency counts from the
 * scheduled time, so a stall shows in the latency of every request that was due in it (no coordinated omission).
 */
import { Random, type Clock, type ServiceSpec } from '@pimentotally/core'

/** The load of one service. */
export interface ServiceLoad {
  readonly service: ServiceSpec
  readonly ratePerSecond: number
}

/** A request of the schedule. */
export interface Arrival {
  /** When the request is due, counted from the start of the run. */
  readonly atMs: number
  readonly service: string
  /** Empty for a service without keys. */
  readonly key: string
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** Random number, uniform in [0, 1), that picks the entry host. */
  readonly draw: number
}

export const SampleOutcome = {
  ok: 'ok',
  /** The request has certainly not run. */
  refused: 'refused',
  /** The request may have run. */
  unknown: 'unknown',
  /** The target answered with an error of its own. */
  failed: 'failed',
} as const
export type SampleOutcome = (typeof SampleOutcome)[keyof typeof SampleOutcome]

export interface Sample {
  readonly arrival: Arrival
  readonly outcome: SampleOutcome
  /** Error code or reason in the response, the status, or the code of a transport error; empty for a success. */
  readonly code: string
  readonly latencyMs: number
  /** How long after its scheduled time the load tool sent the request; included in `latencyMs`. */
  readonly lateMs: number
}

export type Send = (arrival: Arrival) => Promise<{ readonly outcome: SampleOutcome; readonly code: string }>

/**
 * Services that are sent POST requests, which must run at most once; the others are sent GET requests. They are named
 * here because all services of the examples require idempotency keys for requests that are not idempotent, so the
 * deployment does not distinguish them.
 */
const atMostOnceServices = new Set(['deposits', 'bookings'])

export const isAtMostOnce = ({ name }: ServiceSpec): boolean => atMostOnceServices.has(name)

/** Number of keys of each keyed service; few, so that requests for a key are frequent enough to measure its outages. */
const keysPerService = 40

export interface ScheduleOptions {
  readonly seed: number
  readonly durationMs: number
  /** Part of the idempotency keys, so that different runs have different keys. */
  readonly run?: string
}

/** Draws Poisson arrivals for each load and sorts them by time; the same seed gives the same schedule. */
export const createSchedule = (
  loads: readonly ServiceLoad[],
  { seed, durationMs, run = 'run' }: ScheduleOptions,
): Arrival[] =>
  loads
    .flatMap((load, index) => {
      const random = new Random(seed * 101 + index)
      const arrivals: Arrival[] = []
      const gapMs = (): number => (-Math.log(1 - random.float()) * 1000) / load.ratePerSecond
      for (let atMs = gapMs(); atMs < durationMs; atMs += gapMs()) {
        arrivals.push(
          arrivalOf(load.service, atMs, random, `${run}-${String(index)}-${String(arrivals.length)}`),
        )
      }
      return arrivals
    })
    .sort((left, right) => left.atMs - right.atMs)

const arrivalOf = (service: ServiceSpec, atMs: number, random: Random, id: string): Arrival => {
  const draw = random.float()
  const { name, pathPrefix, keyed } = service
  const key = keyed === undefined ? '' : `key-${String(random.integer(keysPerService))}`
  const runsAtMostOnce = isAtMostOnce(service)
  const headers: Record<string, string> = {}
  if (runsAtMostOnce) headers['idempotency-key'] = id
  if (keyed?.source.kind === 'header') headers[keyed.source.name] = key
  const path = `${pathPrefix}${keyed?.source.kind === 'pathSegment' ? key : id}`
  return { atMs, service: name, key, method: runsAtMostOnce ? 'POST' : 'GET', path, headers, draw }
}

/** Resolves when the monotonic clock reaches `atMs`, as soon after it as timers allow. */
export type WaitUntil = (atMs: number) => Promise<void>

/** Sleeps until 1 to 2 ms before the time and then polls the clock, as timers fire up to 1 ms late. */
export const preciseWait =
  (clock: Clock): WaitUntil =>
  async (atMs) => {
    const leftMs = atMs - clock.monotonicMs()
    if (leftMs > 1.5) await clock.sleep(Math.floor(leftMs - 1))
    while (clock.monotonicMs() < atMs) await new Promise((resolve) => setImmediate(resolve))
  }

export interface DriveOptions {
  readonly clock: Clock
  readonly waitUntil?: WaitUntil
}

/** Sends each arrival when it is due, whether or not earlier ones have ended; resolves when all have ended. */
export const sendOnSchedule = async (
  arrivals: readonly Arrival[],
  send: Send,
  { clock, waitUntil = preciseWait(clock) }: DriveOptions,
): Promise<Sample[]> => {
  const startMs = clock.monotonicMs()
  const pending: Promise<Sample>[] = []
  for (const arrival of arrivals) {
    const dueMs = startMs + arrival.atMs
    if (clock.monotonicMs() < dueMs) await waitUntil(dueMs)
    const lateMs = clock.monotonicMs() - dueMs
    pending.push(
      send(arrival).then((sent) => ({ arrival, ...sent, lateMs, latencyMs: clock.monotonicMs() - dueMs })),
    )
  }
  return Promise.all(pending)
}

/** Groups items by key. Keys are in the order of their first item, and items keep their order. */
export const groupBy = <T>(items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> => {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item))
    if (group === undefined) groups.set(keyOf(item), [item])
    else group.push(item)
  }
  return groups
}
