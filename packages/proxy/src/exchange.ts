/**
 * One request on one connection to a target or peer, up to the head of the answer. No byte is written before
 * `mayStart` agrees, which is asked when the connection is ready, so that a failure before it certainly did not run.
 */
import { request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Cancel, Clock } from '@pimentotally/core'
import { routerHeaders } from './generated-response.js'
import { ConnectionEvent } from './metrics.js'
import type { RequestBody } from './request-body.js'
import { scheduleStallTimeout } from './stall-timeout.js'
import type { Endpoint } from './connection-pool.js'

export type ExchangeResult =
  | { readonly kind: 'head'; readonly response: IncomingMessage; readonly latencyMs: number }
  /** Certainly no byte of the request reached the connection. */
  | { readonly kind: 'notSent'; readonly reason: 'connect' | 'notUsable' | 'cancelled' | 'deadline' }
  /** Bytes were written, and no whole head of an answer came back. */
  | { readonly kind: 'lost'; readonly reused: boolean }
  | { readonly kind: 'timedOut' }
  /** The answer belongs to another request, or does not say to which. */
  | { readonly kind: 'crossed' }
  /** The end of the answer's body could not be told from a lost connection. */
  | { readonly kind: 'unframed' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'bodyFailed'; readonly reason: 'tooLarge' | 'stalled' | 'callerGone' }

/** What one exchange sends, and its limits. */
export interface ExchangeSpec {
  readonly clock: Clock
  readonly endpoint: Endpoint
  /** Do not use a connection that served an earlier request. */
  readonly freshConnection: boolean
  readonly method: string
  readonly path: string
  /** Name and value in turn, with the framing of the body. */
  readonly headers: readonly string[]
  readonly body: RequestBody
  readonly requestId: string
  /** Time for the head of the answer, from now. */
  readonly timeoutMs: number
  readonly connectTimeoutMs: number
  readonly stallTimeoutMs: number
  readonly callerStallTimeoutMs: number
  readonly maxBodyBytes: number
}

export interface ExchangeListener {
  /** Asked once, when the connection is ready and nothing was written. */
  maySend(): boolean
  connectionClosed(event: ConnectionEvent): void
  /** Called exactly once. */
  onResult(result: ExchangeResult): void
}

export class Exchange {
  readonly #options: ExchangeSpec
  readonly #listener: ExchangeListener
  readonly #request: ClientRequest
  #cancelTimer: Cancel
  #cancelConnectTimer: Cancel | undefined
  #stopUpload: (() => void) | undefined
  #settled = false
  #sent = false
  #sentAtMs = 0
  #reused = false
  #socket: Socket | undefined

  /** Throws when Node could not write the header fields or the path. */
  constructor(options: ExchangeSpec, listener: ExchangeListener) {
    this.#options = options
    this.#listener = listener
    const { endpoint } = options
    if (options.freshConnection) endpoint.agent.dropIdle()
    this.#request = httpRequest({
      agent: endpoint.agent,
      host: endpoint.host,
      port: endpoint.port,
      method: options.method,
      path: options.path,
      headers: options.headers as string[],
      setHost: false,
    })
    this.#request.on('socket', (socket: Socket) => {
      this.#connected(socket)
    })
    this.#request.on('response', (response) => {
      this.#answered(response)
    })
    this.#request.on('error', () => {
      this.#failed()
    })
    this.#request.on('close', () => {
      this.#failed()
    })
    this.#cancelTimer = this.#awaitHead()
  }

  /** True once the first byte may have been written. */
  get sent(): boolean {
    return this.#sent
  }

  /** From the first byte written; 0 before it. */
  get elapsedMs(): number {
    return this.#sent ? this.#options.clock.monotonicMs() - this.#sentAtMs : 0
  }

  /** Destroys the connection, also in the middle of an answer. */
  cancel(): void {
    this.#settle(this.#sent ? { kind: 'cancelled' } : { kind: 'notSent', reason: 'cancelled' })
    this.#request.destroy()
  }

  /** After no progress on this connection: destroys it and drops all older idle ones. */
  destroySilentConnection(): void {
    this.#listener.connectionClosed(ConnectionEvent.silent)
    if (this.#socket !== undefined) this.#options.endpoint.agent.dropOlder(this.#socket)
    this.#request.destroy()
  }

  #awaitHead(): Cancel {
    return this.#options.clock.schedule(this.#options.timeoutMs, () => {
      this.#silent()
    })
  }

  #settle(result: ExchangeResult): void {
    if (this.#settled) return
    this.#settled = true
    this.#cancelTimer()
    this.#cancelConnectTimer?.()
    if (result.kind !== 'head') this.#stopUpload?.()
    this.#listener.onResult(result)
  }

  #connected(socket: Socket): void {
    this.#socket = socket
    if (!socket.connecting) {
      this.#start(socket)
      return
    }
    this.#cancelConnectTimer = this.#options.clock.schedule(this.#options.connectTimeoutMs, () => {
      this.#settle({ kind: 'notSent', reason: 'connect' })
      this.#request.destroy()
    })
    socket.once('connect', () => {
      this.#cancelConnectTimer?.()
      this.#start(socket)
    })
  }

  #start(socket: Socket): void {
    if (this.#settled) return
    if (socket.destroyed || !socket.writable) {
      this.#settle({ kind: 'notSent', reason: 'connect' })
      this.#request.destroy()
      return
    }
    this.#reused = this.#options.endpoint.agent.recordUse(socket)
    if (!this.#listener.maySend()) {
      this.#settle({ kind: 'notSent', reason: 'notUsable' })
      this.#request.destroy()
      return
    }
    this.#sent = true
    this.#sentAtMs = this.#options.clock.monotonicMs()
    const { body } = this.#options
    if (body.kind === 'none') this.#request.end()
    else if (body.kind === 'buffered') this.#request.end(body.bytes)
    else this.#upload(body)
  }

  /** Streams the rest of a large body with backpressure; both sides must make progress. */
  #upload({ source, prefix }: Extract<RequestBody, { kind: 'stream' }>): void {
    const { clock, stallTimeoutMs, callerStallTimeoutMs, maxBodyBytes } = this.#options
    const request = this.#request
    // A long upload has stall limits; the time for the head of the answer counts from its end.
    this.#cancelTimer()
    let size = prefix.length
    let stopTimer: Cancel = () => undefined
    const awaitCaller = (): void => {
      stopTimer()
      stopTimer = scheduleStallTimeout(clock, callerStallTimeoutMs, () => {
        fail('stalled')
      })
    }
    const awaitTarget = (): void => {
      stopTimer()
      source.pause()
      stopTimer = scheduleStallTimeout(clock, stallTimeoutMs, () => {
        this.#silent()
      })
    }
    const fail = (reason: 'tooLarge' | 'stalled' | 'callerGone'): void => {
      this.#settle({ kind: 'bodyFailed', reason })
      this.#stopUpload?.()
      request.destroy()
    }
    const onData = (chunk: Buffer): void => {
      size += chunk.length
      if (size > maxBodyBytes) fail('tooLarge')
      else if (request.write(chunk)) awaitCaller()
      else awaitTarget()
    }
    const onDrain = (): void => {
      awaitCaller()
      source.resume()
    }
    const onEnd = (): void => {
      stop()
      request.end()
      if (!this.#settled) this.#cancelTimer = this.#awaitHead()
    }
    const onClose = (): void => {
      fail('callerGone')
    }
    const stop = (): void => {
      stopTimer()
      request.off('drain', onDrain)
      source.off('data', onData).off('end', onEnd).off('close', onClose)
    }
    this.#stopUpload = stop
    source.on('data', onData).once('end', onEnd).once('close', onClose)
    request.on('drain', onDrain)
    if (request.write(prefix)) onDrain()
    else awaitTarget()
  }

  #answered(response: IncomingMessage): void {
    if (this.#settled) {
      response.on('error', () => undefined)
      this.#request.destroy()
      return
    }
    const { headers, statusCode = 0 } = response
    if (headers[routerHeaders.requestId] !== this.#options.requestId) {
      this.#listener.connectionClosed(ConnectionEvent.crossedAnswer)
      this.#refuseAnswer(response, { kind: 'crossed' })
      return
    }
    const bodiless = this.#options.method === 'HEAD' || statusCode === 204 || statusCode === 304
    const framed = headers['content-length'] !== undefined || headers['transfer-encoding'] === 'chunked'
    if (!bodiless && !framed) {
      this.#refuseAnswer(response, { kind: 'unframed' })
      return
    }
    this.#settle({ kind: 'head', response, latencyMs: this.elapsedMs })
  }

  #refuseAnswer(response: IncomingMessage, result: ExchangeResult): void {
    response.on('error', () => undefined)
    this.#settle(result)
    this.#request.destroy()
  }

  #failed(): void {
    this.#settle(this.#sent ? { kind: 'lost', reused: this.#reused } : { kind: 'notSent', reason: 'connect' })
  }

  #silent(): void {
    if (this.#settled) return
    this.#settle(this.#sent ? { kind: 'timedOut' } : { kind: 'notSent', reason: 'deadline' })
    if (this.#sent) this.destroySilentConnection()
    else this.#request.destroy()
  }
}
