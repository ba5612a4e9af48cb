/**
 * One request on one connection to a target, up to the end of a small response or the head of a large one. A failure
 * before the connection was ready certainly did not run.
 */
import { request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { splitAddress, type KeepAliveAgent } from '@pimentotally/http'
import { platformHeaders, isMarkedNotExecuted } from '@pimentotally/platform'

/** Larger responses are passed on while they arrive; smaller ones can still be repeated when they break off. */
export const maxBufferedBytes = 64 * 1024

/** Interim answers (1xx) that a target may send before the final one; a broken target may send them without end. */
const maxInterimAnswers = 16

/**
 * Bytes of framing without any of the body: far more than chunk sizes and trailers take. Node's parser accepts any number
 * of leading zeros in a chunk size.
 */
const maxFramingBytes = 256 * 1024

/** Why no byte was sent. */
export const NotSentReason = {
  /** The target could not be connected to. */
  connect: 'connect',
  /** All connections that this host may have to the target are in use. */
  noConnection: 'no-connection',
  /** The request had ended meanwhile. */
  notWanted: 'not-wanted',
} as const
export type NotSentReason = (typeof NotSentReason)[keyof typeof NotSentReason]

/** How a connection ended without a whole response; `crossed` is an answer to another request. */
export type LostReason = 'reset' | 'truncated' | 'crossed' | 'malformed'

export type TargetResponse = ExchangeResult & { readonly kind: 'response' }

export type ExchangeResult =
  | {
      readonly kind: 'response'
      readonly status: number
      readonly incoming: IncomingMessage
      /** The whole body, or what has arrived of a large one. */
      readonly body: readonly Buffer[]
      readonly complete: boolean
      /** Settles when the rest of an incomplete body has arrived: whether it ended as its framing says. */
      readonly endsCleanly: Promise<boolean>
      /** The target states that it has not run the request. */
      readonly notExecuted: boolean
    }
  /** Certainly no byte of the request reached the target. */
  | { readonly kind: 'not_sent'; readonly reason: NotSentReason; readonly message: string }
  /** Bytes were written, and no whole response came back. */
  | { readonly kind: 'lost'; readonly reason: LostReason }

export interface ExchangeOptions {
  readonly agent: KeepAliveAgent
  readonly address: string
  readonly method: string
  readonly path: string
  /** Name and value in turn. */
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  readonly requestId: string
  readonly connectTimeoutMs: number
  /** How long a new connection must stand before the request is written. */
  readonly delayAfterConnectMs?: number
  /** Asked once, when the connection is ready and nothing was written. */
  readonly mayStart: () => boolean
  /** Called exactly once, unless the exchange was cancelled. */
  readonly settled: (result: ExchangeResult) => void
}

const isFramed = ({ headers, statusCode }: IncomingMessage): boolean =>
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined ||
  statusCode === 204 ||
  statusCode === 304

export class TargetExchange {
  readonly #options: ExchangeOptions
  readonly #request: ClientRequest
  #socket: Socket | undefined
  #settled = false
  #sent = false
  #connectTimer: NodeJS.Timeout | undefined
  #interimAnswers = 0

  constructor(options: ExchangeOptions) {
    this.#options = options
    const { agent, address, method, path, headers } = options
    this.#request = httpRequest({
      agent,
      ...splitAddress(address),
      method,
      path,
      headers: headers as string[],
      setHost: false,
    })
    this.#connectTimer = setTimeout(() => {
      const reason = this.#socket === undefined ? NotSentReason.noConnection : NotSentReason.connect
      this.#settle({ kind: 'not_sent', reason, message: 'no connection in time' })
      this.#request.destroy()
    }, options.connectTimeoutMs)
    this.#request.on('socket', (socket: Socket) => {
      this.#socket = socket
      if (!socket.connecting) this.#start()
      else socket.once('connect', () => this.#settleConnection(options.delayAfterConnectMs ?? 0))
    })
    this.#request.on('information', () => {
      this.#interimAnswers += 1
      if (this.#interimAnswers > maxInterimAnswers) this.#lose('malformed')
    })
    this.#request.on('response', (response) => this.#respond(response))
    this.#request.on('error', (error: NodeJS.ErrnoException) => this.#fail(error))
  }

  /** Whether bytes may have reached the target. */
  get sent(): boolean {
    return this.#sent
  }

  /** Ends the exchange; the target drops the request when its connection closes. */
  cancel(): void {
    this.#settled = true
    clearTimeout(this.#connectTimer)
    this.#request.destroy()
    if (this.#sent) this.#socket?.destroy()
  }

  #settleConnection(settleMs: number): void {
    if (settleMs === 0) {
      this.#start()
      return
    }
    clearTimeout(this.#connectTimer)
    this.#connectTimer = setTimeout(() => {
      this.#start()
    }, settleMs)
  }

  #start(): void {
    clearTimeout(this.#connectTimer)
    if (this.#settled) return
    if (!this.#options.mayStart()) {
      this.#settle({ kind: 'not_sent', reason: NotSentReason.notWanted, message: 'no longer wanted' })
      this.#request.destroy()
      return
    }
    this.#sent = true
    this.#request.end(this.#options.body)
  }

  #respond(incoming: IncomingMessage): void {
    const status = incoming.statusCode ?? 0
    const notExecuted = isMarkedNotExecuted(status, incoming.headers)
    const echoed = incoming.headers[platformHeaders.requestId]
    if (this.#settled || (echoed !== this.#options.requestId && !(notExecuted && echoed === undefined))) {
      incoming.on('error', () => undefined)
      this.#lose('crossed')
      return
    }
    const body: Buffer[] = []
    let bytes = 0
    const endsCleanly = isFramed(incoming) ? Promise.resolve(true) : this.#closedCleanly()
    const respond = (complete: boolean): void => {
      // A target that answers before it has read the body may read on later; nothing else may follow on the connection.
      if (complete && !this.#request.writableFinished) this.#socket?.destroy()
      this.#settle({ kind: 'response', status, incoming, body, complete, endsCleanly, notExecuted })
    }
    const socket = this.#socket
    let bodyAtBytes = socket?.bytesRead ?? 0
    const checkFraming = (): void => {
      if ((socket?.bytesRead ?? 0) - bodyAtBytes <= maxFramingBytes) return
      socket?.off('data', checkFraming)
      // Also when the body is being passed on already.
      if (this.#settled) incoming.destroy()
      else this.#lose('malformed')
    }
    socket?.on('data', checkFraming)
    incoming.on('data', () => {
      bodyAtBytes = socket?.bytesRead ?? 0
    })
    incoming.once('end', () => socket?.off('data', checkFraming))
    const onData = (chunk: Buffer): void => {
      body.push(chunk)
      bytes += chunk.length
      if (bytes <= maxBufferedBytes) return
      stop()
      incoming.pause()
      respond(false)
    }
    const onEnd = (): void => {
      stop()
      if (!incoming.complete) this.#lose('truncated')
      else if (isFramed(incoming)) respond(true)
      else
        endsCleanly.then((clean) => {
          if (clean) respond(true)
          else this.#lose('truncated')
        }, onFailure)
    }
    const onFailure = (): void => {
      stop()
      this.#lose('truncated')
    }
    const stop = (): void => {
      incoming.off('data', onData).off('end', onEnd).off('aborted', onFailure).off('close', onFailure)
    }
    incoming.on('error', () => undefined)
    incoming.on('data', onData).once('end', onEnd).once('aborted', onFailure).once('close', onFailure)
  }

  /**
   * A body without a length ends with its connection. Node reports an end for some reset connections as well; a
   * connection that was reset has no peer any more, while one that was closed still has.
   */
  #closedCleanly(): Promise<boolean> {
    const socket = this.#socket
    return new Promise((resolve) => {
      if (socket === undefined || socket.closed) {
        resolve(false)
        return
      }
      let peerKnown = false
      socket.prependOnceListener('end', () => {
        peerKnown = socket.remotePort !== undefined
      })
      socket.once('close', (hadError) => {
        resolve(peerKnown && !hadError)
      })
    })
  }

  #fail(error: NodeJS.ErrnoException): void {
    if (!this.#sent) {
      this.#settle({ kind: 'not_sent', reason: NotSentReason.connect, message: error.message })
    } else if (error.code?.startsWith('HPE_') === true) {
      this.#lose('malformed')
    } else {
      this.#lose('reset')
    }
  }

  #lose(reason: LostReason): void {
    this.#settle({ kind: 'lost', reason })
    this.#request.destroy()
    this.#socket?.destroy()
  }

  #settle(result: ExchangeResult): void {
    if (this.#settled) return
    this.#settled = true
    clearTimeout(this.#connectTimer)
    this.#options.settled(result)
  }
}
