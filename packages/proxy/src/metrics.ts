/**
 * Callbacks for counters and histograms of the request path; the daemon connects them to its metrics library.
 */
import type { AttemptKind, AttemptOutcome } from '@pimentotally/core'

/** How a request ended for its caller. */
export const RequestOutcome = {
  answered: 'answered',
  /** The caller got the stored response of an earlier run with the same idempotency key. */
  replayed: 'replayed',
  notRun: 'not-run',
  unknown: 'unknown',
  /** The router closed the caller's connection in the middle of a response. */
  truncated: 'truncated',
  callerGone: 'caller-gone',
} as const
export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome]

export interface RequestRecord {
  /** Empty when no service matched. */
  readonly service: string
  readonly outcome: RequestOutcome
  /** The code of a response that the router generated. */
  readonly code?: string
  readonly status?: number
  /** From the head of the request to the end of the response. */
  readonly latencyMs: number
  /** True when a peer forwarded the request to this host. */
  readonly isForwarded: boolean
}

export interface AttemptRecord {
  readonly service: string
  readonly target: string
  readonly kind: AttemptKind
  readonly outcome: AttemptOutcome
  /** From the first byte written to the head of the response, or to the failure. */
  readonly latencyMs: number
}

/** Why the router closed a connection to a target or peer. */
export const ConnectionEvent = {
  /** Bytes arrived on an idle connection, where no request waits for them. */
  unsolicitedBytes: 'unsolicited-bytes',
  /** The response belonged to another request, or did not say to which. */
  crossedAnswer: 'crossed-answer',
  /** The connection made no progress in time. */
  silent: 'silent',
  /** An idle connection was closed so that no request uses it again. */
  droppedIdle: 'dropped-idle',
} as const
export type ConnectionEvent = (typeof ConnectionEvent)[keyof typeof ConnectionEvent]

export abstract class ProxyMetrics {
  abstract requestEnded(record: RequestRecord): void
  abstract attemptEnded(record: AttemptRecord): void
  abstract connectionClosed(address: string, event: ConnectionEvent): void
}

export class NoMetrics extends ProxyMetrics {
  override requestEnded(): void {
    return
  }
  override attemptEnded(): void {
    return
  }
  override connectionClosed(): void {
    return
  }
}
