/** An HTTP/1.1 listener with limits and a graceful stop, used by the servers for callers and for peers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '@pimentotally/core'
import { breakOffResponse } from '@pimentotally/http'
import { parseErrorResponse } from './framing.js'
import { GeneratedResponse } from './generated-response.js'
import type { ProxyLimits } from './proxy-limits.js'

/** A request that was still in flight when a stop closed its connection. */
export interface CutRequest {
  readonly requestId: string
  readonly service: string
  readonly method: string
  readonly ageMs: number
}

export interface DrainOptions {
  /** New connections are still accepted this long, so that load balancers notice the stop; default 0. */
  readonly lameDuckMs?: number
  /** Requests that are in flight after this time are cut; without it the drain waits for all of them. */
  readonly timeoutMs?: number
  /** When aborted, requests in flight are cut at once, for example on a second signal. */
  readonly force?: AbortSignal
}

export interface DrainReport {
  readonly cut: readonly CutRequest[]
}

/** What the listener knows of a request in progress; the handler fills in id and service. */
export interface RequestTrace {
  requestId: string
  service: string
  readonly method: string
  /** On the monotonic clock. */
  readonly startedAtMs: number
  /** Called when the response or its connection has ended. */
  onClose?: () => void
}

export interface HttpListenerOptions {
  readonly host: string
  readonly port: number
  readonly limits: ProxyLimits
  readonly maxConnections: number
  readonly clock: Clock
  readonly onRequest: (request: IncomingMessage, response: ServerResponse, trace: RequestTrace) => void
}

export class HttpListener {
  readonly #options: HttpListenerOptions
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #openResponses = new Map<ServerResponse, RequestTrace>()
  #draining = false
  readonly #drainWaiters: (() => void)[] = []

  constructor(options: HttpListenerOptions) {
    this.#options = options
    const { limits } = options
    this.#server = createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: limits.headTimeoutMs,
        // Bodies have stall timeouts instead of one limit for the whole request.
        requestTimeout: 0,
        keepAliveTimeout: limits.callerIdleTimeoutMs,
        // framing.ts checks the host field instead, so that the refusal states its outcome.
        requireHostHeader: false,
        insecureHTTPParser: false,
        noDelay: true,
        connectionsCheckingInterval: Math.min(1000, limits.headTimeoutMs),
      },
      (request, response) => {
        this.#accept(request, response)
      },
    )
    // 0: no limit, as Node would silently drop the fields beyond it; `maxHeaderSize` limits the head instead.
    this.#server.maxHeadersCount = 0
    // Node itself would refuse an unknown `expect` field, without stating an outcome.
    this.#server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
      this.#accept(request, response)
    })
    this.#server.on('connection', (socket) => {
      this.#onConnection(socket)
    })
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      // A request in progress on this connection may have run, and its response may be partly written.
      const busy = [...this.#openResponses.keys()].some(({ req }) => req.socket === socket)
      // An answer on a connection that sent no byte would be taken for that to its first request.
      const hasNoRequest = error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && (socket as Socket).bytesRead === 0
      if (busy || hasNoRequest || error.code === 'ECONNRESET' || !socket.writable) socket.destroy()
      else socket.end(GeneratedResponse.rawBytes(parseErrorResponse(error.code)))
    })
  }

  get inFlight(): number {
    return this.#openResponses.size
  }

  get draining(): boolean {
    return this.#draining
  }

  /** Resolves to the bound IP address and port. Rejects when the address cannot be bound. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#options.port, this.#options.host, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
    const { address, port } = this.#server.address() as AddressInfo
    return `${address}:${String(port)}`
  }

  /** Ends keep-alive, closes the listener, waits for the requests in flight and reports those that it cut. */
  async drain({ lameDuckMs = 0, timeoutMs, force }: DrainOptions = {}): Promise<DrainReport> {
    const { clock } = this.#options
    this.#draining = true
    for (const response of this.#openResponses.keys())
      if (!response.headersSent) response.shouldKeepAlive = false
    const forced = new Promise<void>((resolve) => {
      if (force?.aborted === true) resolve()
      force?.addEventListener(
        'abort',
        () => {
          resolve()
        },
        { once: true },
      )
    })
    const stop = new AbortController()
    const late =
      timeoutMs === undefined ? forced : Promise.race([forced, clock.sleep(timeoutMs, stop.signal)])
    if (lameDuckMs > 0) await Promise.race([late, clock.sleep(lameDuckMs, stop.signal)])
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve()
      })
    })
    this.#server.closeIdleConnections()
    const finished = new Promise<void>((resolve) => {
      if (this.#openResponses.size === 0) resolve()
      else this.#drainWaiters.push(resolve)
    })
    await Promise.race([finished, late])
    const nowMs = clock.monotonicMs()
    const cut = [...this.#openResponses.values()].map(({ requestId, service, method, startedAtMs }) => ({
      requestId,
      service,
      method,
      ageMs: Math.round(nowMs - startedAtMs),
    }))
    stop.abort()
    for (const response of this.#openResponses.keys()) breakOffResponse(response)
    if (cut.length > 0) for (const socket of this.#sockets) socket.destroy()
    else this.#server.closeIdleConnections()
    // Also closes connections on which a request head is incomplete; they hold no request.
    this.#server.closeAllConnections()
    await closed
    return { cut }
  }

  #onConnection(socket: Socket): void {
    if (this.#sockets.size >= this.#options.maxConnections) {
      socket.on('error', () => socket.destroy())
      socket.end(
        GeneratedResponse.rawBytes(
          GeneratedResponse.notRun(503, 'too_many_connections', 'the host has too many connections'),
        ),
        () => socket.destroy(),
      )
      return
    }
    this.#sockets.add(socket)
    socket.once('close', () => this.#sockets.delete(socket))
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    // Until a refused connection is closed, the parser still delivers requests that arrive on it.
    if (!this.#sockets.has(request.socket)) return
    const trace: RequestTrace = {
      requestId: '',
      service: '',
      method: request.method ?? '',
      startedAtMs: this.#options.clock.monotonicMs(),
    }
    this.#openResponses.set(response, trace)
    if (this.#draining) response.shouldKeepAlive = false
    response.once('close', () => {
      this.#openResponses.delete(response)
      trace.onClose?.()
      if (this.#openResponses.size === 0) for (const resolve of this.#drainWaiters.splice(0)) resolve()
    })
    this.#options.onRequest(request, response, trace)
  }
}
