/**
 * The requests that wait on this host for room: one line for each owner of keys, and one for each service without keys.
 * A line is looked at when a result comes back from its target, when a request joins it, and at short
 * intervals. A waiting request has sent nothing to a target, so one that leaves costs the target nothing.
 */
import type { Cancel, Clock, Logger } from '@pimentotally/core'
import {
  KindShares,
  LineBounds,
  ReturnSchedule,
  WaitingLine,
  type LineRefusal,
  type ReturnInput,
  type WaitingEntry,
} from '@pimentotally/routing'
import type { GatewayMetrics } from './metrics.js'

/**
 * Interval at which lines are looked at while requests wait. Room also appears without a result: as a report gets
 * older, or as a pause ends. Much shorter than any objective.
 */
const lookIntervalMs = 20
/**
 * A look ends after this many requests in a row have found no room, as those behind them would hardly find
 * any. Several are tried because some wait for a moment of their own to pass.
 */
const maxTriesInVain = 3
/** Waiting requests of a host; more than a host of one core sends within an objective. */
const maxEntries = 512
/** Bodies of waiting requests; a small part of the memory of the smallest hosts. */
const maxBytes = 16 * 1024 * 1024
/** An empty line that was not used for this long is dropped. */
const idleLineMs = 10_000

/** What a look at a waiting request has led to. */
export const StartResult = {
  sent: 'sent',
  waits: 'waits',
  /** It was refused, or goes on elsewhere. */
  left: 'left',
} as const
export type StartResult = (typeof StartResult)[keyof typeof StartResult]

export interface WaitingRequest extends WaitingEntry {
  /** Chooses a target again and acts on it. */
  readonly start: () => StartResult
  readonly refused: (reason: LineRefusal) => void
}

/** Where a request waits. */
export interface LinePlace {
  /** The owner's id, or the name of the service. */
  readonly line: string
  readonly service: string
  /** Mean time between two requests of this host that the target or service can take. */
  readonly initialIntervalMs: number
}

export interface RequestLinesOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: GatewayMetrics
}

interface KnownLine {
  readonly service: string
  readonly line: WaitingLine<WaitingRequest>
  readonly returns: ReturnSchedule
  usedAtMs: number
  /** Whether a look at the line is in progress. */
  isServed: boolean
}

export class RequestLines {
  readonly #options: RequestLinesOptions
  readonly #lines = new Map<string, KnownLine>()
  readonly #shares = new Map<string, KindShares>()
  readonly #bounds = new LineBounds({ maxEntries, maxBytes })
  #cancelLook: Cancel | undefined

  constructor(options: RequestLinesOptions) {
    this.#options = options
  }

  /** Requests that wait. */
  get entries(): number {
    return this.#bounds.entries
  }

  hasWaiting(line: string): boolean {
    return (this.#lines.get(line)?.line.size ?? 0) > 0
  }

  /** Counts a request towards the balance of the ranks of its service. */
  arrived(service: string, rank: number): void {
    this.#sharesOf(service).arrived(this.#nowMs(), rank)
  }

  /** Counts a request that was sent without waiting. */
  sentAtOnce(service: string, rank: number): void {
    this.#sharesOf(service).started(this.#nowMs(), rank)
  }

  /** Lets the request wait; returns why not, if it is not held. `roomInMs` is the expected time until there is room. */
  wait(place: LinePlace, request: WaitingRequest, roomInMs: number): LineRefusal | undefined {
    const known = this.#lineOf(place)
    const { refusal, displaced } = known.line.offer(this.#nowMs(), request, roomInMs)
    if (displaced !== undefined) this.#refuse(known, displaced, 'displaced')
    if (refusal !== undefined) {
      this.#options.metrics.lineRefused(place.service, refusal)
      return refusal
    }
    this.#scheduleLook()
    return undefined
  }

  /** Removes a request that has ended otherwise. */
  leave(line: string, request: WaitingRequest): void {
    this.#lines.get(line)?.line.remove(request)
  }

  /** Starts the requests of the line for which there is room. */
  serve(line: string): void {
    const known = this.#lines.get(line)
    if (known === undefined || known.isServed || known.line.size === 0) return
    known.isServed = true
    try {
      for (const { entry, reason } of known.line.expire(this.#nowMs())) this.#refuse(known, entry, reason)
      let inVain = 0
      for (const request of known.line.inOrder(this.#nowMs())) {
        if (!known.line.has(request)) continue
        const result = request.start()
        if (result === StartResult.sent) this.#started(known, request)
        else if (result === StartResult.left) known.line.remove(request)
        else if ((inVain += 1) >= maxTriesInVain) break
      }
    } finally {
      known.isServed = false
    }
  }

  /** Time after which a caller that is refused may return. */
  returnAfterMs(place: LinePlace, input: Omit<ReturnInput, 'nowMs' | 'intervalMs'>): number {
    const { returns, line } = this.#lineOf(place)
    return returns.place({ ...input, nowMs: this.#nowMs(), intervalMs: line.intervalMs })
  }

  #started(known: KnownLine, request: WaitingRequest): void {
    const nowMs = this.#nowMs()
    known.usedAtMs = nowMs
    known.line.started(nowMs, request)
    this.#options.metrics.lineLeft(known.service, nowMs - request.enteredAtMs)
  }

  #refuse(known: KnownLine, request: WaitingRequest, reason: LineRefusal): void {
    this.#options.metrics.lineRefused(known.service, reason)
    request.refused(reason)
  }

  #scheduleLook(): void {
    this.#cancelLook ??= this.#options.clock.schedule(lookIntervalMs, () => {
      this.#cancelLook = undefined
      for (const name of this.#lines.keys()) this.serve(name)
      if (this.#bounds.entries > 0) this.#scheduleLook()
    })
  }

  #lineOf({ line: name, service, initialIntervalMs }: LinePlace): KnownLine {
    let known = this.#lines.get(name)
    if (known === undefined) {
      this.#dropIdleLines()
      const line = new WaitingLine<WaitingRequest>({
        shares: this.#sharesOf(service),
        bounds: this.#bounds,
        initialIntervalMs,
      })
      known = { service, line, returns: new ReturnSchedule(), usedAtMs: 0, isServed: false }
      this.#lines.set(name, known)
    }
    known.usedAtMs = this.#nowMs()
    return known
  }

  #dropIdleLines(): void {
    const nowMs = this.#nowMs()
    for (const [name, { line, usedAtMs }] of this.#lines) {
      if (line.size === 0 && nowMs - usedAtMs > idleLineMs) this.#lines.delete(name)
    }
  }

  #sharesOf(service: string): KindShares {
    let shares = this.#shares.get(service)
    if (shares === undefined) {
      shares = new KindShares()
      this.#shares.set(service, shares)
    }
    return shares
  }

  #nowMs(): number {
    return this.#options.clock.monotonicMs()
  }
}
