/** The listener for callers: it reads requests, finds their routes and hands them to the dispatcher. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as TcpServer, type Socket } from 'node:net'
import type { Clock, Logger } from '@pimentotally/core'
import { listenOn, splitAddress } from '@pimentotally/http'
import { generatedHeaders, readDeadlineMs, readKey, readRequestId } from '@pimentotally/platform'
import type { CallerLimits } from '@pimentotally/routing'
import type { Directory } from './directory.js'
import type { Dispatcher } from './dispatcher.js'

/** Node fixes this limit at creation; the operator's own limit may be lower. */
const maxHeaderBytes = 64 * 1024
/** Until the first configuration. */
const defaultIdleTimeoutMs = 15_000
/** Until the first configuration. */
const defaultHeaderTimeoutMs = 10_000
/** A host that starts reads the store within this time. */
const notReadyRetryAfterMs = 500
/** A burst of new connections must not be dropped while the process is busy. */
const acceptBacklog = 1024

export interface CallerServerOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly dispatcher: Dispatcher
  /** Whether callers are better served by another host, so that answers close their connections. */
  readonly sendsAway?: () => boolean
}

export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #server: Server
  readonly #open = new Set<ServerResponse>()
  readonly #sockets = new Set<Socket>()
  /** Closed by this side; a request that arrives on one now has not been read, as far as its caller can tell. */
  readonly #ended = new WeakSet<Socket>()
  #draining = false

  constructor(options: CallerServerOptions) {
    this.#options = options
    this.#server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: defaultHeaderTimeoutMs,
        requestTimeout: 0,
        keepAliveTimeout: defaultIdleTimeoutMs,
        noDelay: true,
        connectionsCheckingInterval: 2000,
      },
      (request, response) => {
        this.#accept(request, response)
      },
    )
    this.#server.maxHeadersCount = 0
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
    })
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.#refuseMalformed(error, socket as Socket)
    })
  }

  get inFlight(): number {
    return this.#open.size
  }

  get connections(): number {
    return this.#sockets.size
  }

  listen(address: string): Promise<void> {
    return listenOn(this.#server, { ...splitAddress(address), backlog: acceptBacklog })
  }

  /** Takes the operator's limits over; open connections keep theirs. */
  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeoutMs
    this.#server.keepAliveTimeout = idleTimeoutMs
  }

  /** Answers close their connections from now on; new connections are still accepted. */
  startDraining(): void {
    this.#draining = true
    for (const response of this.#open) if (!response.headersSent) response.shouldKeepAlive = false
  }

  /** Accepts no more connections and resolves when nothing is in flight, or after `timeoutMs`; says what is left. */
  async finish(timeoutMs: number): Promise<number> {
    const { clock } = this.#options
    // Node's own close counts a connection as idle while the end of its answer is still to be written.
    TcpServer.prototype.close.call(this.#server)
    this.#closeIdle()
    const endsAtMs = clock.monotonicMs() + timeoutMs
    while (this.#open.size > 0 && clock.monotonicMs() < endsAtMs) await clock.sleep(20)
    return this.#open.size
  }

  #closeIdle(): void {
    const busy = new Set([...this.#open].map(({ req }) => req.socket))
    for (const socket of this.#sockets) {
      if (busy.has(socket)) continue
      this.#ended.add(socket)
      socket.end()
    }
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    if (this.#ended.has(request.socket)) {
      request.socket.destroy()
      return
    }
    const arrivedAtMs = this.#options.clock.monotonicMs()
    this.#open.add(response)
    response.once('close', () => this.#open.delete(response))
    response.on('error', () => undefined)
    request.on('error', () => undefined)
    if (this.#draining || this.#options.sendsAway?.() === true) response.shouldKeepAlive = false
    const { directory } = this.#options
    const requestId = readRequestId(request.headers) ?? ''
    if (directory.routes === undefined) {
      this.#refuse(request, response, 503, 'not_ready')
      return
    }
    const match = directory.routes.match(request.headers.host ?? '', request.url ?? '/')
    if (match === undefined) {
      this.#refuse(request, response, 404, 'no_route')
      return
    }
    this.#readBody(request, response, (body) => {
      this.#options.dispatcher.dispatch({
        request,
        response,
        requestId,
        match,
        body,
        key: readKey(request.headers),
        arrivedAtMs,
        callerDeadlineMs: readDeadlineMs(request.headers),
      })
    })
  }

  /** Bodies are read whole, so that a request that certainly did not run can be sent to another target. */
  #readBody(
    request: IncomingMessage,
    response: ServerResponse,
    done: (body: Buffer | undefined) => void,
  ): void {
    const { headers } = request
    if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
      done(undefined)
      return
    }
    const maxBodyBytes = this.#options.directory.routes?.configuration.limits.maxBodyBytes ?? 0
    const chunks: Buffer[] = []
    let bytes = 0
    let refused = false
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (refused) return
      if (bytes <= maxBodyBytes) {
        chunks.push(chunk)
        return
      }
      refused = true
      response.shouldKeepAlive = false
      this.#refuse(request, response, 413, 'body_too_large')
    })
    request.once('end', () => {
      if (!refused) done(Buffer.concat(chunks))
    })
  }

  #refuse(request: IncomingMessage, response: ServerResponse, status: number, code: string): void {
    const { logger, directory } = this.#options
    const requestId = readRequestId(request.headers)
    logger.info('request.refused', {
      requestId,
      status,
      code,
      host: request.headers.host,
      configurationVersion: directory.routes?.configuration.version,
    })
    request.resume()
    response.writeHead(status, {
      'content-type': 'application/json',
      ...generatedHeaders(requestId, status === 503 ? notReadyRetryAfterMs : undefined),
    })
    response.end(JSON.stringify({ code, outcome: 'not-run' }))
  }

  #refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    const busy = [...this.#open].some(({ req }) => req.socket === socket)
    this.#options.logger.info('connection.malformed', { code: error.code, busy })
    // An answer may be half written on a busy connection.
    if (busy || error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const status =
      error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}
