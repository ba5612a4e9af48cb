/** The HTTP server for callers: reads requests, matches their routes and hands them to the dispatcher. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as TcpServer, type Socket } from 'node:net'
import type { Clock, Logger } from '@pimentotally/core'
import { breakOffResponse, listenOn, splitAddress } from '@pimentotally/http'
import {
  challengeHeaders,
  generatedResponseHeaders,
  readDeadlineMs,
  readKey,
  readRequestId,
} from '@pimentotally/platform'
import {
  UnreadAnswers,
  callerRoom,
  type BodyRefusal,
  type CallerLimits,
  type CallerRoomOptions,
} from '@pimentotally/routing'
import { BodyReader } from './body-reader.js'
import { ConnectionLimit } from './connection-limit.js'
import type { Directory } from './directory.js'
import type { Dispatcher } from './dispatcher.js'
import type { GatewayMetrics } from './metrics.js'
import { decideAccess, decideAccessAgain } from './tenant-access.js'

/**
 * Limit on the header of a request. Node takes it only when the server is created, which is before the
 * operator's limit is known; that limit may be lower, and is not applied.
 */
const maxHeaderBytes = 64 * 1024
/** Closes idle connections of callers after this time, until the first configuration sets another. */
const defaultIdleTimeoutMs = 15_000
/** Time within which the header of a request must arrive, until the first configuration sets another. */
const defaultHeaderTimeoutMs = 10_000
/**
 * Retry-After of requests that arrive during start-up, within which the host reads the store, or whose body
 * ends late in a stop; callers retry at other hosts.
 */
const unavailableRetryAfterMs = 500
/** Connections that wait to be accepted; enough that a burst is not dropped while the process is busy. */
const acceptBacklog = 1024

/**
 * Requests of one connection that may be without an answer. The one at the limit closes the connection after its
 * answer, and those behind it are not read.
 */
const maxRequestsAhead = 100
/** The answers that callers have not read are summed up each time that this many requests were dispatched. */
const dispatchesPerCheck = 32

export interface CallerServerOptions extends CallerRoomOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Directory
  readonly dispatcher: Dispatcher
  readonly metrics?: GatewayMetrics
  /** Whether each response closes its connection, so that callers turn to a host that serves them better. */
  readonly shouldCloseConnections?: () => boolean
}

export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #server: Server
  readonly #openResponses = new Set<ServerResponse>()
  readonly #sockets = new Set<Socket>()
  /**
   * Connections that this host has ended. A request that still arrives on one is discarded: its caller sees a
   * closed connection and no response, as for a request that was never read.
   */
  readonly #endedSockets = new WeakSet<Socket>()
  /**
   * Connections that a pending response will close. Requests behind it are not dispatched: they would get no
   * response, and their callers may send them again as long as they were not read.
   */
  readonly #endingSockets = new WeakSet<Socket>()
  /** Connections of which an answer did not announce, as its header was sent before the stop, that they will close. */
  readonly #unannouncedSockets = new WeakSet<Socket>()
  /** Connections on which malformed bytes have arrived, or a head that was not complete in time. */
  readonly #malformedSockets = new WeakSet<Socket>()
  readonly #bodies: BodyReader
  readonly #connectionLimit: ConnectionLimit
  readonly #unreadAnswers: UnreadAnswers<Socket>
  #dispatches = 0
  #unreadClosed = 0
  #draining = false
  /** Set when the server no longer dispatches requests. */
  #closing = false

  constructor(options: CallerServerOptions) {
    this.#options = options
    const { maxBodyBytes, maxUnreadBytes, ...limits } = callerRoom(options)
    this.#unreadAnswers = new UnreadAnswers({ maxBytes: maxUnreadBytes })
    this.#bodies = new BodyReader({
      clock: options.clock,
      maxBytes: maxBodyBytes,
      refuse: ({ request, response }, status, code) => {
        this.#closeAfter(response)
        this.#refuse(request, response, status, code)
      },
    })
    this.#connectionLimit = new ConnectionLimit(limits)
    this.#server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: defaultHeaderTimeoutMs,
        requestTimeout: 0,
        keepAliveTimeout: defaultIdleTimeoutMs,
        noDelay: true,
        // Node would answer such a request itself, and dispatch those behind an answer that closes the connection.
        requireHostHeader: false,
        connectionsCheckingInterval: 2000,
      },
      (request, response) => {
        try {
          this.#handleRequest(request, response)
        } catch (error) {
          options.logger.error('request.unexpected_error', {
            requestId: readRequestId(request.headers),
            error,
          })
          breakOffResponse(response)
        }
      },
    )
    // No limit on the number of header fields; their size together is limited.
    this.#server.maxHeadersCount = 0
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.once('close', () => {
        this.#connectionClosed(socket)
      })
      if (this.#connectionLimit.add(socket))
        options.logger.info('connection.closed_for_room', { connections: this.#sockets.size })
      // Was accepted just before the stop closed the listening socket.
      if (this.#closing) socket.destroy()
    })
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.#handleClientError(error, socket as Socket)
    })
  }

  get inFlight(): number {
    return this.#openResponses.size
  }

  get connections(): number {
    return this.#sockets.size
  }

  /** Bytes of the bodies of requests that are arriving or in flight. */
  get heldBodyBytes(): number {
    return this.#bodies.heldBytes
  }

  /** Connections that were closed because there were too many. */
  get closedConnections(): number {
    return this.#connectionLimit.closed
  }

  /** Connections that were closed because their callers did not read, while the room for answers was short. */
  get unreadConnectionsClosed(): number {
    return this.#unreadClosed
  }

  /** Requests that were refused while their bodies arrived. */
  refusedBodies(reason: BodyRefusal): number {
    return this.#bodies.refusedFor(reason)
  }

  /** Resolves to the port. */
  listen(address: string): Promise<number> {
    return listenOn(this.#server, { ...splitAddress(address), backlog: acceptBacklog })
  }

  /** Applies the operator's limits; connections that are already open keep the earlier ones. */
  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeoutMs
    this.#server.keepAliveTimeout = idleTimeoutMs
  }

  /** Resolves when requests that arrived while the process was busy with other work have been read. */
  async readArrived(): Promise<void> {
    // Node reads the sockets that have bytes before it runs immediates; the first may run in a turn that has read.
    for (let turn = 0; turn < 2; turn += 1) await new Promise((resolve) => setImmediate(resolve))
  }

  /** Makes each connection close after its last response from now on; new connections are still accepted. */
  startDraining(): void {
    this.#draining = true
    const lastResponses = new Map([...this.#openResponses].map((response) => [response.req.socket, response]))
    for (const response of lastResponses.values()) if (!response.headersSent) this.#closeAfter(response)
  }

  /**
   * Accepts no more connections and dispatches no more requests, ends idle connections, and resolves when no
   * request is in flight, or after `timeoutMs`. Returns the number of requests that are still in flight then; an
   * answer that has begun is broken off, as the end of the process would make it look complete.
   */
  async closeWhenDrained(timeoutMs: number): Promise<number> {
    const { clock } = this.#options
    // The close method of Node's HTTP server also closes idle connections, and counts a connection as idle
    // while the end of its response is still to be written. So only the listening socket is closed here.
    TcpServer.prototype.close.call(this.#server)
    this.#closing = true
    this.#closeIdle()
    const endsAtMs = clock.monotonicMs() + timeoutMs
    while (this.#openResponses.size > 0 && clock.monotonicMs() < endsAtMs) await clock.sleep(20)
    const cut = this.#openResponses.size
    for (const response of this.#openResponses) if (response.headersSent) breakOffResponse(response)
    return cut
  }

  #closeIdle(): void {
    const busy = new Set([...this.#openResponses].map(({ req }) => req.socket))
    for (const socket of this.#sockets) {
      if (busy.has(socket)) continue
      // Closing a connection with unread bytes resets it. That would lose the end of an answer that is still on its
      // way; without one, it shows the caller of a request that has just arrived that it was not read.
      if (this.#unannouncedSockets.has(socket) || socket.writableLength > 0) this.#end(socket)
      else socket.destroy()
    }
  }

  #end(socket: Socket): void {
    this.#endedSockets.add(socket)
    socket.end()
  }

  #closeAfter(response: ServerResponse): void {
    response.shouldKeepAlive = false
    this.#endingSockets.add(response.req.socket)
  }

  /** Of several requests on a connection, only the response that is next in turn is told that it has closed. */
  #connectionClosed(socket: Socket): void {
    this.#sockets.delete(socket)
    for (const response of this.#openResponses)
      if (response.req.socket === socket) this.#openResponses.delete(response)
  }

  #responseClosed(response: ServerResponse): void {
    this.#openResponses.delete(response)
    const { socket } = response.req
    const open = [...this.#openResponses].filter(({ req }) => req.socket === socket)
    if (this.#draining && !this.#endingSockets.has(socket)) this.#unannouncedSockets.add(socket)
    // A header that was sent before the stop did not announce that the connection closes.
    if (this.#closing && open.length === 0) this.#end(socket)
    // A request whose body is malformed stays open, and is not answered.
    else if (this.#malformedSockets.has(socket) && !open.some((other) => isRead(other))) socket.destroySoon()
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    if (this.#endedSockets.has(request.socket)) {
      request.socket.destroy()
      return
    }
    if (this.#closing || this.#endingSockets.has(request.socket)) {
      this.#bodies.discard(request)
      return
    }
    const arrivedAtMs = this.#options.clock.monotonicMs()
    this.#openResponses.add(response)
    response.once('close', () => {
      this.#responseClosed(response)
    })
    response.on('error', () => undefined)
    request.on('error', () => undefined)
    if (this.#draining || this.#options.shouldCloseConnections?.() === true) this.#closeAfter(response)
    const { directory } = this.#options
    const requestId = readRequestId(request.headers) ?? ''
    if (request.headers.host === undefined && request.httpVersion === '1.1') {
      this.#closeAfter(response)
      this.#refuse(request, response, 400, 'no_host')
      return
    }
    if (directory.routes === undefined) {
      this.#refuse(request, response, 503, 'not_ready')
      return
    }
    const match = directory.routes.match(request.headers.host ?? '', request.url ?? '/')
    if (match === undefined) {
      this.#refuse(request, response, 404, 'no_route')
      return
    }
    const decided = decideAccess(directory.routes, match.route, request)
    if (decided.refusal !== undefined) {
      this.#refuse(request, response, 401, decided.refusal)
      return
    }
    this.#readBody(request, response, (body) => {
      if (this.#closing) {
        this.#refuse(request, response, 503, 'stopping')
        return
      }
      const { refusal, tenant, hasTenants } = decideAccessAgain(
        decided,
        directory.routes ?? decided.routes,
        match.route,
        request,
      )
      if (refusal !== undefined) {
        this.#refuse(request, response, 401, refusal)
        return
      }
      this.#options.dispatcher.dispatch({
        request,
        response,
        requestId,
        match,
        body,
        tenant,
        hasTenants: hasTenants || decided.hasTenants,
        key: readKey(request.headers),
        arrivedAtMs,
        callerDeadlineMs: readDeadlineMs(request.headers),
      })
    })
  }

  #closeUnread(): void {
    const unreadBytes = new Map<Socket, number>()
    // The length of a response that is next in turn includes that of its connection.
    for (const { req, writableLength } of this.#openResponses)
      unreadBytes.set(req.socket, (unreadBytes.get(req.socket) ?? 0) + writableLength)
    const connections = [...unreadBytes].map(([connection, bytes]) => ({
      connection,
      unreadBytes: bytes,
      sentBytes: connection.bytesWritten - connection.writableLength,
    }))
    for (const socket of this.#unreadAnswers.check(connections, this.#options.clock.monotonicMs())) {
      this.#unreadClosed += 1
      this.#options.logger.info('connection.closed_unread', { unreadBytes: unreadBytes.get(socket) })
      socket.destroy()
    }
  }

  /** Calls `done` when the request has arrived completely, unless it is refused before. */
  #readBody(
    request: IncomingMessage,
    response: ServerResponse,
    done: (body: Buffer | undefined) => void,
  ): void {
    const { headers, socket } = request
    const limit = this.#connectionLimit
    const dispatch = (body: Buffer | undefined): void => {
      if (!limit.dispatch(socket)) {
        this.#refuse(request, response, 503, 'too_many_in_flight')
        return
      }
      this.#dispatches += 1
      if (this.#dispatches % dispatchesPerCheck === 0) this.#closeUnread()
      response.once('close', () => {
        limit.responded(socket)
      })
      if (limit.dispatchedOf(socket) >= maxRequestsAhead) this.#closeAfter(response)
      done(body)
    }
    if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
      dispatch(undefined)
      return
    }
    const maxBodyBytes = this.#options.directory.routes?.configuration.limits.maxBodyBytes ?? 0
    const grown = (): void => {
      limit.touch(socket)
    }
    this.#bodies.read({ request, response }, maxBodyBytes, { grown, done: dispatch })
  }

  #refuse(request: IncomingMessage, response: ServerResponse, status: number, code: string): void {
    const { logger, directory, metrics } = this.#options
    const requestId = readRequestId(request.headers)
    if (status === 401) metrics?.unauthorized(code)
    logger.info('request.refused', {
      requestId,
      status,
      code,
      host: request.headers.host,
      configurationVersion: directory.routes?.configuration.version,
    })
    const maxBodyBytes = directory.routes?.configuration.limits.maxBodyBytes ?? 0
    this.#bodies.discard(request, maxBodyBytes, () => {
      // Requests before it are still answered; the answer to the refused one has been given.
      if (this.#connectionLimit.dispatchedOf(request.socket) === 0) request.socket.destroySoon()
    })
    response.writeHead(status, {
      'content-type': 'application/json',
      ...generatedResponseHeaders(requestId, status === 503 ? unavailableRetryAfterMs : undefined),
      ...(status === 401 ? challengeHeaders : {}),
    })
    response.end(JSON.stringify({ code, outcome: 'not-run' }))
  }

  /** Node calls this again for bytes that follow the malformed ones, and at each check of a late head. */
  #handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const open = [...this.#openResponses].filter(({ req }) => req.socket === socket)
    const isFirst = !this.#malformedSockets.has(socket)
    this.#malformedSockets.add(socket)
    if (isFirst)
      this.#options.logger.info('connection.malformed', { code: error.code, busy: open.length > 0 })
    const last = open.findLast((response) => isRead(response))
    if (error.code === 'ECONNRESET' || !socket.writable || (open.length > 0 && last === undefined)) {
      for (const response of open) breakOffResponse(response)
      socket.destroy()
    } else if (last !== undefined) {
      // Requests that were read before the malformed bytes are still answered, and no request behind these.
      if (isFirst) this.#closeAfter(last)
    } else if (this.#endingSockets.has(socket)) {
      // An answer that closes the connection has been given, and no other follows it.
      socket.destroySoon()
    } else {
      const status = statusOfClientError(error.code, socket)
      if (status === undefined) socket.destroy()
      else socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
    }
  }
}

/** Whether the request of an open response has arrived completely, or was refused before it had. */
const isRead = ({ req, writableEnded }: ServerResponse): boolean => req.complete || writableEnded

/** Undefined when no request has begun: an answer would be taken for that to the first request. */
const statusOfClientError = (code: string | undefined, { bytesRead }: Socket): string | undefined => {
  if (code !== 'ERR_HTTP_REQUEST_TIMEOUT')
    return code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
  return bytesRead === 0 ? undefined : '408 Request Timeout'
}
