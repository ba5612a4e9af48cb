/**
 * Open-loop load: arrivals follow a schedule that is drawn from a seed before the run, and latency counts from the
 * scheduled time, so a stall delays every request that was due in it (no coordinated omission).
 */
import { Random, type Clock, type ServiceSpec } from '@pimentotally/core'

/** One service's share of the load. */
export interface ServiceLoad {
  readonly service: ServiceSpec
  readonly ratePerSecond: number
}

export interface Arrival {
  /** From the start of the run. */
  readonly atMs: number
  readonly service: string
  /** Empty for a service without keys. */
  readonly key: string
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** Uniform in [0, 1): picks the entry host. */
  readonly draw: number
}

export const SampleOutcome = {
  ok: 'ok',
  /** Certainly not run. */
  refused: 'refused',
  /** May have run. */
  unknown: 'unknown',
  /** The target's own error. */
  failed: 'failed',
} as const
export type SampleOutcome = (typeof SampleOutcome)[keyof typeof SampleOutcome]

export interface Sample {
  readonly arrival: Arrival
  readonly outcome: SampleOutcome
  /** Code of a response that the router generated, or of a transport error. */
  readonly code: string
  readonly latencyMs: number
  /** How late the load tool itself was; part of the latency. */
  readonly lateMs: number
}

export type Send = (arrival: Arrival) => Promise<{ readonly outcome: SampleOutcome; readonly code: string }>

/**
 * Services whose load is POSTs that run at most once; the others are read. All services of the examples require
 * idempotency keys for requests that are not idempotent, so that setting does not tell.
 */
const onceServices = new Set(['deposits', 'bookings'])

export const isAtMostOnce = ({ name }: ServiceSpec): boolean => onceServices.has(name)

/** Keys of each keyed service; few enough that the time without service of each key can be measured. */
const keyCount = 40

export interface ScheduleOptions {
  readonly seed: number
  readonly durationMs: number
  /** Distinguishes the idempotency keys of one run from those of another. */
  readonly run?: string
}

/** Poisson arrivals of all flows in the order of time; the same seed gives the same schedule. */
export const createSchedule = (
  flows: readonly ServiceLoad[],
  { seed, durationMs, run = 'run' }: ScheduleOptions,
): Arrival[] =>
  flows
    .flatMap((flow, index) => {
      const random = new Random(seed * 101 + index)
      const arrivals: Arrival[] = []
      const gapMs = (): number => (-Math.log(1 - random.float()) * 1000) / flow.ratePerSecond
      for (let atMs = gapMs(); atMs < durationMs; atMs += gapMs()) {
        arrivals.push(
          arrivalOf(flow.service, atMs, random, `${run}-${String(index)}-${String(arrivals.length)}`),
        )
      }
      return arrivals
    })
    .sort((left, right) => left.atMs - right.atMs)

const arrivalOf = (service: ServiceSpec, atMs: number, random: Random, id: string): Arrival => {
  const draw = random.float()
  const { name, pathPrefix, keyed } = service
  const key = keyed === undefined ? '' : `key-${String(random.integer(keyCount))}`
  const once = isAtMostOnce(service)
  const headers: Record<string, string> = {}
  if (once) headers['idempotency-key'] = id
  if (keyed?.source.kind === 'header') headers[keyed.source.name] = key
  const path = `${pathPrefix}${keyed?.source.kind === 'pathSegment' ? key : id}`
  return { atMs, service: name, key, method: once ? 'POST' : 'GET', path, headers, draw }
}

/** Resolves at a time of the clock, as close to it as timers allow. */
export type WaitUntil = (atMs: number) => Promise<void>

/** Sleeps through the whole milliseconds and polls through the rest, as timers are up to 1 ms late. */
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

/** Sends each arrival when it is due, whatever became of earlier ones; resolves when all have ended. */
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

/** Items by key, both in the order of first appearance. */
export const groupBy = <T>(items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> => {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item))
    if (group === undefined) groups.set(keyOf(item), [item])
    else group.push(item)
  }
  return groups
}
