/**
 * The interface between one host and a coordinator, the same for the stream server and for the coordinator's
 * own host: a sink receives the messages of the coordinator, a session those of the host.
 */
import type { Permit, PermitRefusal, PermitReport, PermitRequest, Term } from '@pimentotally/core'

/** A permit that a host holds, as the host lists it when it connects. */
export interface HeldPermit {
  readonly permitId: string
  readonly target: string
  readonly service: string
  readonly shard?: number
  /** Time left until the request's deadline. */
  readonly deadlineMs: number
  readonly identity: string
}

/** A blocked or suspected identity, with the number of crashes that are counted against it. */
export interface CrashRecord {
  readonly identity: string
  readonly service: string
  readonly crashes: number
}

/** Receives the coordinator's messages to one host. */
export abstract class PermitSink {
  abstract lent(callId: number, permit: Permit): void

  abstract refused(callId: number, refusal: PermitRefusal): void

  abstract blocked(entries: readonly CrashRecord[]): void

  abstract unblocked(identities: readonly string[]): void

  abstract suspected(entries: readonly CrashRecord[]): void

  abstract cleared(identities: readonly string[]): void

  /** A message of the coordinator was received, possibly only a heartbeat. */
  heard(): void {
    return
  }

  /** The session has ended; no further call follows. */
  abstract closed(isConnectionLost?: boolean): void
}

export interface SessionOptions {
  readonly hostId: string
  /** The term that the host accepts from now on; it opens no session for a lower one. */
  readonly term: Term
  /** Number of the session; rises with each session that this process of the host opens. */
  readonly session: number
  /** All permits of the cell that the host holds. Any other permit that is counted for it has ended. */
  readonly held: readonly HeldPermit[]
  readonly suspects?: readonly CrashRecord[]
  readonly sink: PermitSink
}

/**
 * Receives one host's messages to the coordinator. Calls on a session that was replaced or has ended have no
 * effect.
 */
export interface HostSession {
  readonly open: boolean
  acquire(callId: number, request: PermitRequest): void
  cancel(callId: number): void
  release(permitId: string, report: PermitReport): void
  /** Ends the session. Its permits stay counted until the host reconnects or is gone. */
  end(): void
}
