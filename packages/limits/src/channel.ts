/** The host's side of permit streams: opens sessions at the coordinator of a cell. */
import { create } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import type { Clock, CoordinatorInfo, Logger, PermitReport, PermitRequest } from '@pimentotally/core'
import { type PeerClients, type PermitDown, type PermitUp, PermitUpSchema } from '@pimentotally/wire'
import {
  acquireMessage,
  crashMessage,
  crashRecord,
  heldMessage,
  permitOf,
  permitRefusal,
  releaseMessage,
} from './messages.js'
import { type Defer, Outbox } from './outbox.js'
import type { HostSession, SessionOptions } from './session.js'
import { StreamHeartbeat } from './stream-heartbeat.js'

export abstract class PermitChannel {
  /**
   * Opens a session at a coordinator. `sink.closed` is called once it failed or ended, never from within
   * `open`.
   */
  abstract open(coordinator: CoordinatorInfo, options: SessionOptions): HostSession
}

export interface StreamChannelOptions {
  readonly clients: PeerClients
  readonly clock: Clock
  readonly logger: Logger
  readonly defer?: Defer
}

/** Opens sessions as streams of the RPC `PeerService.Permits`. */
export class StreamChannel extends PermitChannel {
  readonly #options: StreamChannelOptions

  constructor(options: StreamChannelOptions) {
    super()
    this.#options = options
  }

  override open(coordinator: CoordinatorInfo, options: SessionOptions): HostSession {
    return new StreamSession(coordinator, options, this.#options)
  }
}

class StreamSession implements HostSession {
  readonly #coordinator: CoordinatorInfo
  readonly #options: SessionOptions
  readonly #channel: StreamChannelOptions
  readonly #outbox: Outbox<PermitUp>
  readonly #abort = new AbortController()
  readonly #heartbeat: StreamHeartbeat
  #open = true

  constructor(coordinator: CoordinatorInfo, options: SessionOptions, channel: StreamChannelOptions) {
    this.#coordinator = coordinator
    this.#options = options
    this.#channel = channel
    const { cellId } = coordinator
    this.#outbox = new Outbox(() => create(PermitUpSchema, { cellId }), channel.defer)
    const hello = this.#outbox.draft()
    hello.session = options.session
    hello.term = options.term
    hello.heldPermits = options.held.map(heldMessage)
    hello.suspects = (options.suspects ?? []).map(crashMessage)
    this.#heartbeat = new StreamHeartbeat({
      clock: channel.clock,
      sendHeartbeat: () => {
        this.#outbox.draft()
      },
      onSilent: () => {
        // The connection may never deliver anything again, so it is dropped and the next stream opens a new
        // one.
        this.#channel.clients.drop(coordinator.peerAddress)
        this.#close('silent')
      },
    })
    void this.#run()
  }

  get open(): boolean {
    return this.#open
  }

  acquire(callId: number, request: PermitRequest): void {
    if (this.#open) this.#outbox.draft().acquires.push(acquireMessage(callId, request))
  }

  cancel(callId: number): void {
    if (this.#open) this.#outbox.draft().cancels.push({ $typeName: 'pimentotally.v1.Cancel', callId })
  }

  release(permitId: string, report: PermitReport): void {
    if (this.#open) this.#outbox.draft().releases.push(releaseMessage(permitId, report))
  }

  end(): void {
    this.#open = false
    this.#heartbeat.stop()
    this.#outbox.close()
    this.#abort.abort()
  }

  async #run(): Promise<void> {
    try {
      const client = this.#channel.clients.get(this.#coordinator.peerAddress)
      for await (const down of client.permits(this.#outbox, { signal: this.#abort.signal })) {
        if (!this.#open) return
        this.#heartbeat.recordMessage()
        this.#take(down)
      }
      this.#close('ended')
    } catch (cause) {
      this.#close('failed', cause)
    }
  }

  #take(down: PermitDown): void {
    const { sink } = this.#options
    const { cellId } = this.#coordinator
    sink.heard()
    if (down.blocked.length > 0) sink.blocked(down.blocked.map(crashRecord))
    if (down.releasedIdentities.length > 0) sink.unblocked(down.releasedIdentities)
    if (down.suspects.length > 0) sink.suspected(down.suspects.map(crashRecord))
    if (down.clearedIdentities.length > 0) sink.cleared(down.clearedIdentities)
    for (const lent of down.lent) sink.lent(lent.callId, permitOf(lent, cellId, down.term))
    for (const refused of down.refused) sink.refused(refused.callId, permitRefusal(refused))
  }

  #close(reason: string, cause?: unknown): void {
    if (!this.#open) return
    const { cellId, hostId } = this.#coordinator
    this.#channel.logger.info('permits.stream.closed', {
      step: 'permits.client',
      peer: hostId,
      cellId,
      reason,
      cause,
    })
    this.end()
    this.#options.sink.closed(reason === 'failed' && isConnectionError(cause))
  }
}

/**
 * False for the codes with which a running coordinator refuses a stream: these are no loss of the connection.
 */
const isConnectionError = (cause: unknown): boolean =>
  ![Code.FailedPrecondition, Code.Unauthenticated, Code.InvalidArgument].includes(
    ConnectError.from(cause).code,
  )
