/** The coordinator's side of the permit streams of other hosts. */
import { create } from '@bufbuild/protobuf'
import { Code, ConnectError, type HandlerContext } from '@connectrpc/connect'
import type { Clock, Logger, Permit, PermitRefusal } from '@pimentotally/core'
import { type PermitDown, PermitDownSchema, peerHeaders, type PermitUp } from '@pimentotally/wire'
import {
  crashMessage,
  crashRecord,
  heldPermitOf,
  lentMessage,
  permitReport,
  permitRequest,
  refusedMessage,
} from './messages.js'
import { type Defer, Outbox } from './outbox.js'
import type { PermitPool } from './pool.js'
import { type CrashRecord, type HostSession, PermitSink } from './session.js'
import { StreamHeartbeat } from './stream-heartbeat.js'

export interface PermitStreamOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly defer?: Defer
}

/** Collects the pool's messages to a host into one stream message per turn of the event loop. */
class StreamSink extends PermitSink {
  readonly outbox: Outbox<PermitDown>

  constructor(pool: PermitPool, defer: Defer | undefined) {
    super()
    this.outbox = new Outbox(() => create(PermitDownSchema, { term: pool.term ?? '' }), defer)
  }

  override lent(callId: number, permit: Permit): void {
    this.outbox.draft().lent.push(lentMessage(callId, permit))
  }

  override refused(callId: number, refusal: PermitRefusal): void {
    this.outbox.draft().refused.push(refusedMessage(callId, refusal))
  }

  override blocked(entries: readonly CrashRecord[]): void {
    this.outbox.draft().blocked.push(...entries.map(crashMessage))
  }

  override unblocked(identities: readonly string[]): void {
    this.outbox.draft().releasedIdentities.push(...identities)
  }

  override suspected(entries: readonly CrashRecord[]): void {
    this.outbox.draft().suspects.push(...entries.map(crashMessage))
  }

  override cleared(identities: readonly string[]): void {
    this.outbox.draft().clearedIdentities.push(...identities)
  }

  override closed(): void {
    this.outbox.close()
  }
}

const apply = (session: HostSession, { releases, cancels, acquires }: PermitUp): void => {
  for (const release of releases) session.release(release.permitId, permitReport(release))
  for (const { callId } of cancels) session.cancel(callId)
  for (const acquire of acquires) session.acquire(acquire.callId, permitRequest(acquire))
}

/**
 * Serves the RPC `PeerService.Permits` for the pools of this host. A stream fails with `failed_precondition`
 * when this host does not hold the term of the cell, and ends when the term ends or when nothing is received
 * from the other host.
 */
export const permitStreamHandler = (
  poolOf: (cellId: string) => PermitPool | undefined,
  { clock, logger, defer }: PermitStreamOptions,
): ((messages: AsyncIterable<PermitUp>, context: HandlerContext) => AsyncGenerator<PermitDown>) =>
  async function* (messages, context) {
    const hostId = context.requestHeader.get(peerHeaders.hostId) ?? ''
    if (hostId === '') throw new ConnectError('the host id is missing', Code.InvalidArgument)
    const incoming = messages[Symbol.asyncIterator]()
    const first = await incoming.next()
    if (first.done === true) return
    const hello = first.value
    const pool = poolOf(hello.cellId)
    if (pool?.active !== true) {
      throw new ConnectError(`not the coordinator of ${hello.cellId}`, Code.FailedPrecondition)
    }
    if (hello.term !== pool.term) {
      throw new ConnectError(`the term of ${hello.cellId} is not ${hello.term}`, Code.FailedPrecondition)
    }
    const sink = new StreamSink(pool, defer)
    const session = pool.connect({
      hostId,
      term: hello.term,
      session: hello.session,
      held: hello.heldPermits.map(heldPermitOf),
      suspects: hello.suspects.map(crashRecord),
      sink,
    })
    const heartbeat = new StreamHeartbeat({
      clock,
      sendHeartbeat: () => {
        sink.outbox.draft().heartbeat = true
      },
      onSilent: () => {
        logger.warn('permits.stream.silent', { step: 'permits.stream', peer: hostId, cellId: hello.cellId })
        sink.outbox.close()
      },
    })
    const read = async (): Promise<void> => {
      try {
        apply(session, hello)
        for (let next = await incoming.next(); next.done !== true; next = await incoming.next()) {
          heartbeat.recordMessage()
          apply(session, next.value)
        }
      } catch (cause) {
        logger.info('permits.stream.lost', { step: 'permits.stream', peer: hostId, cause })
      } finally {
        sink.outbox.close()
      }
    }
    const close = (): void => {
      sink.outbox.close()
    }
    context.signal.addEventListener('abort', close, { once: true })
    try {
      // The first message confirms the term before any permit is issued.
      sink.outbox.draft().heartbeat = true
      void read()
      yield* sink.outbox
    } finally {
      heartbeat.stop()
      session.end()
      context.signal.removeEventListener('abort', close)
    }
  }
