/**
 * One request on one connection to a target or peer, up to the head of the response. No byte is written
 * before `maySend`, called when the connection is ready, returns true: a request that fails before
 * that has certainly not run.
 */
import { request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Cancel, Clock } from '@pimentotally/core'
import { isFinalStatus } from '@pimentotally/http'
import { routerHeaders } from './generated-response.js'
import { ConnectionEvent } from './metrics.js'
import type { RequestBody } from './request-body.js'
import { scheduleStallTimeout } from './stall-timeout.js'
import type { Endpoint } from './connection-pool.js'

export type ExchangeResult =
  | { readonly kind: 'head'; readonly response: IncomingMessage; readonly latencyMs: number }
  /** Certainly no byte of the request was written to the connection. */
  | { readonly kind: 'notSent'; readonly reason: 'connect' | 'notUsable' | 'cancelled' | 'deadline' }
  /** Bytes may have been written, and the connection ended before the whole head of a response arrived. */
  | { readonly kind: 'lost'; readonly reused: boolean }
  /** Bytes may have been written, and no head of a response arrived in time. */
  | { readonly kind: 'timedOut' }
  /** The response belongs to another request, or does not say to which. */
  | { readonly kind: 'crossed' }
  /** The response has no framing, so the end of its body could not be told from a lost connection. */
  | { readonly kind: 'unframed' }
  /** The status is none of HTTP, so the response can be neither passed on nor believed. */
  | { readonly kind: 'malformed' }
  /** Bytes may have been written before the exchange was cancelled. */
  | { readonly kind: 'cancelled' }
  /** Bytes may have been written before the streamed body of the request was given up. */
  | { readonly kind: 'bodyFailed'; readonly reason: 'tooLarge' | 'stalled' | 'callerGone' }

/** What one exchange sends, and the limits that apply to it. */
export interface ExchangeSpec {
  readonly clock: Clock
  readonly endpoint: Endpoint
  /** Do not use a connection that served an earlier request. */
  readonly freshConnection: boolean
  readonly method: string
  readonly path: string
  /** Alternating names and values, including the framing of the body. */
  readonly headers: readonly string[]
  readonly body: RequestBody
  readonly requestId: string
  /** Time until the head of the response, counted from the start or from the end of a streamed body. */
  readonly timeoutMs: number
  readonly connectTimeoutMs: number
  /** How long the receiver may accept nothing more of a streamed body. */
  readonly stallTimeoutMs: number
  /** How long the caller may send nothing more of a streamed body. */
  readonly callerStallTimeoutMs: number
  readonly maxBodyBytes: number
}

export interface ExchangeListener {
  /** Called at most once, when the connection is ready and nothing has been written to it. */
  maySend(): boolean
  connectionClosed(event: ConnectionEvent): void
  /** Called exactly once. */
  onResult(result: ExchangeResult): void
}

export class Exchange {
  readonly #spec: ExchangeSpec
  readonly #listener: ExchangeListener
  readonly #request: ClientRequest
  #cancelHeadTimer: Cancel
  #cancelConnectTimer: Cancel | undefined
  #stopUpload: (() => void) | undefined
  #settled = false
  #sent = false
  #sentAtMs = 0
  #reused = false
  #socket: Socket | undefined

  /** Throws when Node refuses the header fields or the path as invalid. */
  constructor(spec: ExchangeSpec, listener: ExchangeListener) {
    this.#spec = spec
    this.#listener = listener
    const { endpoint } = spec
    if (spec.freshConnection) endpoint.agent.dropIdle()
    this.#request = httpRequest({
      agent: endpoint.agent,
      host: endpoint.host,
      port: endpoint.port,
      method: spec.method,
      path: spec.path,
      headers: spec.headers as string[],
      setHost: false,
    })
    this.#request.on('socket', (socket: Socket) => {
      this.#onSocket(socket)
    })
    this.#request.on('response', (response) => {
      this.#onResponse(response)
    })
    this.#request.on('error', () => {
      this.#onConnectionEnd()
    })
    this.#request.on('close', () => {
      this.#onConnectionEnd()
    })
    this.#cancelHeadTimer = this.#awaitHead()
  }

  /** True once the first byte may have been written. */
  get sent(): boolean {
    return this.#sent
  }

  /** Time since the first byte was written; 0 before. */
  get elapsedMs(): number {
    return this.#sent ? this.#spec.clock.monotonicMs() - this.#sentAtMs : 0
  }

  /** Destroys the connection, even in the middle of a response. */
  cancel(): void {
    this.#settle(this.#sent ? { kind: 'cancelled' } : { kind: 'notSent', reason: 'cancelled' })
    this.#request.destroy()
  }

  /** To be called when the connection made no progress: destroys it and closes all older idle ones. */
  destroySilentConnection(): void {
    this.#listener.connectionClosed(ConnectionEvent.silent)
    if (this.#socket !== undefined) this.#spec.endpoint.agent.dropOlder(this.#socket)
    this.#request.destroy()
  }

  #awaitHead(): Cancel {
    return this.#spec.clock.schedule(this.#spec.timeoutMs, () => {
      this.#onTimeout()
    })
  }

  #settle(result: ExchangeResult): void {
    if (this.#settled) return
    this.#settled = true
    this.#cancelHeadTimer()
    this.#cancelConnectTimer?.()
    if (result.kind !== 'head') this.#stopUpload?.()
    this.#listener.onResult(result)
  }

  #onSocket(socket: Socket): void {
    this.#socket = socket
    if (!socket.connecting) {
      this.#send(socket)
      return
    }
    this.#cancelConnectTimer = this.#spec.clock.schedule(this.#spec.connectTimeoutMs, () => {
      this.#settle({ kind: 'notSent', reason: 'connect' })
      this.#request.destroy()
    })
    socket.once('connect', () => {
      this.#cancelConnectTimer?.()
      this.#send(socket)
    })
  }

  #send(socket: Socket): void {
    if (this.#settled) return
    if (socket.destroyed || !socket.writable) {
      this.#settle({ kind: 'notSent', reason: 'connect' })
      this.#request.destroy()
      return
    }
    this.#reused = this.#request.reusedSocket
    if (!this.#listener.maySend()) {
      this.#settle({ kind: 'notSent', reason: 'notUsable' })
      this.#request.destroy()
      return
    }
    this.#sent = true
    this.#sentAtMs = this.#spec.clock.monotonicMs()
    const { body } = this.#spec
    if (body.kind === 'none') this.#request.end()
    else if (body.kind === 'buffered') this.#request.end(body.bytes)
    else this.#upload(body)
  }

  /** Streams a large body with backpressure and with stall timeouts for the caller and for the target. */
  #upload({ source, prefix }: Extract<RequestBody, { kind: 'stream' }>): void {
    const { clock, stallTimeoutMs, callerStallTimeoutMs, maxBodyBytes } = this.#spec
    const request = this.#request
    // A long upload is limited by stall timeouts; the time for the head of the response counts from its end.
    this.#cancelHeadTimer()
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
        this.#onTimeout()
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
      if (!this.#settled) this.#cancelHeadTimer = this.#awaitHead()
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

  #onResponse(response: IncomingMessage): void {
    if (this.#settled) {
      response.on('error', () => undefined)
      this.#request.destroy()
      return
    }
    const { headers, statusCode = 0 } = response
    if (headers[routerHeaders.requestId] !== this.#spec.requestId) {
      this.#listener.connectionClosed(ConnectionEvent.crossedAnswer)
      this.#rejectResponse(response, { kind: 'crossed' })
      return
    }
    if (!isFinalStatus(statusCode)) {
      this.#rejectResponse(response, { kind: 'malformed' })
      return
    }
    const bodiless = this.#spec.method === 'HEAD' || statusCode === 204 || statusCode === 304
    const framed = headers['content-length'] !== undefined || headers['transfer-encoding'] === 'chunked'
    if (!bodiless && !framed) {
      this.#rejectResponse(response, { kind: 'unframed' })
      return
    }
    this.#settle({ kind: 'head', response, latencyMs: this.elapsedMs })
  }

  #rejectResponse(response: IncomingMessage, result: ExchangeResult): void {
    response.on('error', () => undefined)
    this.#settle(result)
    this.#request.destroy()
  }

  #onConnectionEnd(): void {
    this.#settle(this.#sent ? { kind: 'lost', reused: this.#reused } : { kind: 'notSent', reason: 'connect' })
  }

  #onTimeout(): void {
    if (this.#settled) return
    this.#settle(this.#sent ? { kind: 'timedOut' } : { kind: 'notSent', reason: 'deadline' })
    if (this.#sent) this.destroySilentConnection()
    else this.#request.destroy()
  }
}
