/**
 * Sends one request to a target on one connection, and receives a small response completely, or the header
 * and the first part of a large one. A request whose connection never got ready has certainly not run.
 */
import {
  request as httpRequest,
  validateHeaderName,
  validateHeaderValue,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http'
import type { Socket } from 'node:net'
import {
  countHeader,
  isFinalStatus,
  splitAddress,
  waitForCleanClose,
  type ConnectionHistory,
  type KeepAliveAgent,
  type KeepAliveRequestOptions,
} from '@pimentotally/http'
import { platformHeaders, isMarkedNotExecuted, isProvenSuccess, readRequestId } from '@pimentotally/platform'
import { EmbeddedResponseScanner } from './embedded-response.js'

/**
 * Larger responses are forwarded while they arrive. Smaller ones are buffered, so that their request can
 * still be repeated when they break off.
 */
export const maxBufferedBytes = 64 * 1024

/** Limit on interim responses (1xx) before the final one; a faulty target may send them without end. */
const maxInterimResponses = 16

/**
 * Limit on the bytes in a row, after the header or a part of the body, that carry nothing of the body: far
 * more than chunk sizes and trailers take. Guards against a faulty target, as Node's parser accepts any
 * number of leading zeros in a chunk size.
 */
const maxFramingBytes = 256 * 1024

/** Why no byte of the request was sent. */
export const NotSentReason = {
  /** No connection to the target could be opened, or not in time. */
  connect: 'connect',
  /** A connection opened, and the target reset it before the request was written: it has as many as it accepts. */
  resetUnsent: 'reset-unsent',
  /** No connection became free in time: all that this host may have to the target are in use. */
  noConnection: 'no-connection',
  /** The request had ended, or must no longer run, before the connection was ready. */
  notWanted: 'not-wanted',
} as const
export type NotSentReason = (typeof NotSentReason)[keyof typeof NotSentReason]

/**
 * How an exchange failed without a complete response; `crossed`: the response belongs to another request, or another
 * one began within its body; `unproven`: it is a success that nothing proves to be the target's.
 */
export type LostReason = 'reset' | 'truncated' | 'crossed' | 'malformed' | 'unproven'

/** What is known of bytes that arrived where a response was expected and were not accepted as one. */
export interface DiscardedBytes {
  /** Undefined when the bytes are no response. */
  readonly status?: number | undefined
  /** The request id that the response repeats; undefined when it names none. */
  readonly seenId?: string | undefined
  readonly connection: ConnectionHistory
}

export type TargetResponse = ExchangeResult & { readonly kind: 'response' }

export type ExchangeResult =
  | {
      readonly kind: 'response'
      readonly status: number
      readonly incoming: IncomingMessage
      /** The complete body, or the first part of a large one. */
      readonly body: readonly Buffer[]
      readonly complete: boolean
      /** Checks the parts of the body that are still to come; those in `body` are checked. */
      readonly scanner: EmbeddedResponseScanner
      /**
       * Whether the body ended properly; only meaningful once it has ended. For a body that ends with its
       * connection, it settles when the connection has closed, and is false after a reset. For a body whose
       * end the header tells it is always true: there, `incoming.complete` tells whether all of it arrived.
       */
      readonly endsCleanly: Promise<boolean>
      /** The target states that it has not run the request. */
      readonly notExecuted: boolean
      readonly connection: ConnectionHistory | undefined
    }
  /** Certainly no byte of the request reached the target. */
  | { readonly kind: 'not_sent'; readonly reason: NotSentReason; readonly message: string }
  /** Bytes of the request were written, and no complete response came back, so it may have run. */
  | { readonly kind: 'lost'; readonly reason: LostReason; readonly discarded?: DiscardedBytes | undefined }

export interface ExchangeOptions {
  readonly agent: KeepAliveAgent
  readonly address: string
  readonly method: string
  readonly path: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  readonly requestId: string
  readonly connectTimeoutMs: number
  /**
   * Delay between opening a new connection and writing the request; within it, a full target resets the
   * connection.
   */
  readonly delayAfterConnectMs?: number
  /** Longest time for which a reused connection may have been idle; 0 for a new one only. */
  readonly maxIdleMs?: number
  /** Called once, before anything is written on the ready connection: whether the request is still wanted. */
  readonly mayStart: () => boolean
  /** Called exactly once, unless the exchange is cancelled. */
  readonly settled: (result: ExchangeResult) => void
}

/** Whether the header tells where the body ends; otherwise it ends with the connection. */
const isFramed = ({ headers, statusCode }: IncomingMessage, method: string): boolean =>
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined ||
  method === 'HEAD' ||
  statusCode === 204 ||
  statusCode === 304

/**
 * Whether the status and the field names and values are those of an HTTP response that can be forwarded. Node's
 * parser accepts others, such as a name with a space, which cannot be written to the caller, and codings of the
 * transfer other than chunks, whose end it takes for the end of the connection. Two signatures are those of two
 * responses, one of which was written into the head of the other.
 */
const isWellFormed = ({ statusCode = 0, headers, rawHeaders }: IncomingMessage): boolean => {
  if (!isFinalStatus(statusCode)) return false
  if (countHeader(rawHeaders, platformHeaders.signature) > 1) return false
  const coding = headers['transfer-encoding']
  if (coding !== undefined && coding.trim().toLowerCase() !== 'chunked') return false
  try {
    for (let index = 0; index < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] ?? ''
      validateHeaderName(name)
      validateHeaderValue(name, rawHeaders[index + 1] ?? '')
    }
    return true
  } catch {
    return false
  }
}

export class TargetExchange {
  readonly #options: ExchangeOptions
  readonly #request: ClientRequest
  #socket: Socket | undefined
  #incoming: IncomingMessage | undefined
  #settled = false
  #sent = false
  /** Limits the wait for a connection; after a new one is open, runs for the delay before the request. */
  #connectTimer: NodeJS.Timeout | undefined
  #interimResponses = 0

  constructor(options: ExchangeOptions) {
    this.#options = options
    const { agent, address, method, path, headers } = options
    const requestOptions: KeepAliveRequestOptions = {
      agent,
      ...splitAddress(address),
      method,
      path,
      headers: headers as string[],
      setHost: false,
      exchangeId: options.requestId,
      ...(options.maxIdleMs === undefined ? {} : { maxIdleMs: options.maxIdleMs }),
    }
    this.#request = httpRequest(requestOptions)
    this.#connectTimer = setTimeout(() => {
      // Timers run before events of sockets: a connection that opened or became free while this process was blocked
      // is noticed first.
      setImmediate(() => {
        this.#endWait()
      })
    }, options.connectTimeoutMs)
    this.#request.on('socket', (socket: Socket) => {
      this.#socket = socket
      if (!socket.connecting) this.#writeRequest()
      else socket.once('connect', () => this.#writeAfterDelay(options.delayAfterConnectMs ?? 0))
    })
    this.#request.on('information', () => {
      this.#interimResponses += 1
      if (this.#interimResponses > maxInterimResponses) this.#settleLost('malformed')
    })
    // Nobody asked for another protocol; without a listener, Node would leave the request pending.
    this.#request.on('upgrade', () => {
      this.#settleLost('malformed')
    })
    this.#request.on('response', (response) => this.#receiveResponse(response))
    this.#request.on('error', (error: NodeJS.ErrnoException) => this.#handleError(error))
  }

  /** Whether bytes may have reached the target. */
  get sent(): boolean {
    return this.#sent
  }

  /** Ends the exchange without a result. A target drops a request when its connection closes. */
  cancel(): void {
    this.#settled = true
    clearTimeout(this.#connectTimer)
    this.#request.destroy()
    if (this.#sent) this.#socket?.destroy()
  }

  /** Ends the exchange when no connection is ready in time. */
  #endWait(): void {
    if (this.#settled || (this.#socket !== undefined && !this.#socket.connecting)) return
    const reason = this.#socket === undefined ? NotSentReason.noConnection : NotSentReason.connect
    this.#settle({ kind: 'not_sent', reason, message: 'no connection within the time limit' })
    this.#request.destroy()
  }

  #writeAfterDelay(delayMs: number): void {
    if (delayMs === 0) {
      this.#writeRequest()
      return
    }
    clearTimeout(this.#connectTimer)
    this.#connectTimer = setTimeout(() => {
      // Timers run before events of sockets: a reset that arrived while this process was blocked is handled first.
      setImmediate(() => {
        this.#writeRequest()
      })
    }, delayMs)
  }

  #writeRequest(): void {
    clearTimeout(this.#connectTimer)
    if (this.#settled) return
    if (!this.#options.mayStart()) {
      this.#settle({
        kind: 'not_sent',
        reason: NotSentReason.notWanted,
        message: 'the request was no longer wanted when the connection was ready',
      })
      this.#request.destroy()
      return
    }
    this.#sent = true
    this.#request.end(this.#options.body)
  }

  #receiveResponse(incoming: IncomingMessage): void {
    this.#incoming = incoming
    if (!isWellFormed(incoming)) {
      incoming.on('error', () => undefined)
      this.#settleLost('malformed')
      return
    }
    const status = incoming.statusCode ?? 0
    const notExecuted = isMarkedNotExecuted(status, incoming.headers)
    // A response that does not repeat the request's id belongs to another request. One without any id is
    // accepted only if it states that the request has not run, on a connection that carried no other request:
    // else it may be a copy of an earlier one.
    const echoed = incoming.headers[platformHeaders.requestId]
    const isAnonymousRefusal = notExecuted && echoed === undefined && !this.#request.reusedSocket
    if (this.#settled || (echoed !== this.#options.requestId && !isAnonymousRefusal)) {
      incoming.on('error', () => undefined)
      this.#settleLost('crossed')
      return
    }
    if (status < 300 && !isProvenSuccess(incoming.headers)) {
      incoming.on('error', () => undefined)
      this.#settleLost('unproven')
      return
    }
    const body: Buffer[] = []
    let bytes = 0
    const socket = this.#socket
    const carriedIds = socket && this.#options.agent.historyOf(socket).exchangeIds
    const scanner = new EmbeddedResponseScanner(carriedIds ?? new Set([this.#options.requestId]))
    const hasFraming = isFramed(incoming, this.#options.method)
    const endsCleanly =
      hasFraming || socket === undefined ? Promise.resolve(hasFraming) : waitForCleanClose(socket)
    const settleResponse = (complete: boolean): void => {
      // A target that responds before it has read the whole request may read the rest later, so the connection must
      // not be used for another request. Nor after a response without an id, whose copy could not be recognised.
      if (complete && (!this.#request.writableFinished || isAnonymousRefusal)) this.#socket?.destroy()
      const connection = socket && this.#options.agent.historyOf(socket)
      this.#settle({
        kind: 'response',
        status,
        incoming,
        body,
        complete,
        scanner,
        endsCleanly,
        notExecuted,
        connection,
      })
    }
    let bytesReadAtBody = socket?.bytesRead ?? 0
    let hasCompleted = false
    // Counts the bytes since the last part of the body, or since the header. It is called after Node's parser.
    const checkFraming = (): void => {
      // Nobody reads the bytes behind a response that waits for a slow caller; the rest of what they begin could
      // arrive during the next exchange.
      if (hasCompleted) socket?.destroy()
      hasCompleted = incoming.complete
      if ((socket?.bytesRead ?? 0) - bytesReadAtBody <= maxFramingBytes) return
      socket?.off('data', checkFraming)
      // Once the result was given, the body is being forwarded, and only its rest can be cut off.
      if (this.#settled) incoming.destroy()
      else this.#settleLost('malformed')
    }
    socket?.on('data', checkFraming)
    incoming.on('data', () => {
      bytesReadAtBody = socket?.bytesRead ?? 0
    })
    incoming.once('end', () => socket?.off('data', checkFraming))
    const onData = (chunk: Buffer): void => {
      const checked = scanner.push(chunk)
      if (checked === undefined) {
        removeListeners()
        this.#settleLost('crossed')
        return
      }
      body.push(checked)
      bytes += chunk.length
      if (bytes <= maxBufferedBytes) return
      removeListeners()
      incoming.pause()
      settleResponse(false)
    }
    const onEnd = (): void => {
      removeListeners()
      const rest = scanner.end()
      if (rest !== undefined) body.push(rest)
      if (!incoming.complete) this.#settleLost('truncated')
      else if (rest === undefined) this.#settleLost('crossed')
      else if (hasFraming) settleResponse(true)
      else
        endsCleanly.then((clean) => {
          if (clean) settleResponse(true)
          else this.#settleLost('truncated')
        }, onFailure)
    }
    const onFailure = (): void => {
      removeListeners()
      this.#settleLost('truncated')
    }
    const removeListeners = (): void => {
      incoming.off('data', onData).off('end', onEnd).off('aborted', onFailure).off('close', onFailure)
    }
    incoming.on('error', () => undefined)
    incoming.on('data', onData).once('end', onEnd).once('aborted', onFailure).once('close', onFailure)
  }

  #handleError(error: NodeJS.ErrnoException): void {
    if (!this.#sent) {
      const hasOpened = this.#socket !== undefined && !this.#socket.connecting && error.code === 'ECONNRESET'
      const reason = hasOpened ? NotSentReason.resetUnsent : NotSentReason.connect
      this.#settle({ kind: 'not_sent', reason, message: error.message })
    } else if (error.code?.startsWith('HPE_') === true) {
      this.#settleLost('malformed')
    } else {
      this.#settleLost('reset')
    }
  }

  #settleLost(reason: LostReason): void {
    const isDiscarded = reason !== 'reset' && reason !== 'truncated'
    const wasSettled = this.#settled
    this.#settle({ kind: 'lost', reason, discarded: isDiscarded ? this.#describeDiscarded() : undefined })
    // Node's request would discard the part of a forwarded response that waits for its caller, and report its end.
    if (!wasSettled) this.#request.destroy()
    this.#socket?.destroy()
  }

  #describeDiscarded(): DiscardedBytes | undefined {
    if (this.#socket === undefined) return undefined
    return {
      status: this.#incoming?.statusCode,
      seenId: this.#incoming === undefined ? undefined : readRequestId(this.#incoming.headers),
      connection: this.#options.agent.historyOf(this.#socket),
    }
  }

  #settle(result: ExchangeResult): void {
    if (this.#settled) return
    this.#settled = true
    clearTimeout(this.#connectTimer)
    this.#options.settled(result)
  }
}
