/** An HTTP/1.1 listener with limits and a graceful stop; the servers for callers and for peers are built on it. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '@pimentotally/core'
import { parseErrorResponse } from './framing.js'
import { GeneratedResponse } from './generated-response.js'
import type { ProxyLimits } from './proxy-limits.js'

/** A request that a forced stop cut. */
export interface CutRequest {
  readonly requestId: string
  readonly service: string
  readonly method: string
  readonly ageMs: number
}

export interface DrainOptions {
  /** New connections are still accepted this long, so that load balancers can notice; default 0. */
  readonly lameDuckMs?: number
  /** What is still in flight at this time is cut; without it the drain waits for all requests. */
  readonly timeoutMs?: number
  /** Cuts what is in flight at once, for example on a second signal. */
  readonly force?: AbortSignal
}

export interface DrainReport {
  readonly cut: readonly CutRequest[]
}

/** What the listener knows of a request in work; filled in as it becomes known. */
export interface RequestTrace {
  requestId: string
  service: string
  readonly method: string
  readonly startedAtMs: number
  /** Called when the response has ended or its connection has. */
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
  readonly #open = new Map<ServerResponse, RequestTrace>()
  #draining = false
  readonly #idle: (() => void)[] = []

  constructor(options: HttpListenerOptions) {
    this.#options = options
    const { limits } = options
    this.#server = createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: limits.headTimeoutMs,
        // Bodies have stall limits instead of one total limit.
        requestTimeout: 0,
        keepAliveTimeout: limits.callerIdleTimeoutMs,
        // Checked in framing.ts, so that the refusal states its outcome.
        requireHostHeader: false,
        insecureHTTPParser: false,
        noDelay: true,
        connectionsCheckingInterval: Math.min(1000, limits.headTimeoutMs),
      },
      (request, response) => {
        this.#accept(request, response)
      },
    )
    // The size of the head is limited instead; Node would silently drop the fields beyond a count.
    this.#server.maxHeadersCount = 0
    // Node would answer other expectations itself, without an outcome.
    this.#server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
      this.#accept(request, response)
    })
    this.#server.on('connection', (socket) => {
      this.#connected(socket)
    })
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      // A request in work on this connection may have run, and its answer may be half written.
      const busy = [...this.#open.keys()].some(({ req }) => req.socket === socket)
      if (busy || error.code === 'ECONNRESET' || !socket.writable) socket.destroy()
      else socket.end(GeneratedResponse.rawBytes(parseErrorResponse(error.code)))
    })
  }

  get inFlight(): number {
    return this.#open.size
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

  /** Stops keep-alive, finishes what is in flight, closes the listener and says what was cut. */
  async drain({ lameDuckMs = 0, timeoutMs, force }: DrainOptions = {}): Promise<DrainReport> {
    const { clock } = this.#options
    this.#draining = true
    for (const response of this.#open.keys()) if (!response.headersSent) response.shouldKeepAlive = false
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
      if (this.#open.size === 0) resolve()
      else this.#idle.push(resolve)
    })
    await Promise.race([finished, late])
    const nowMs = clock.monotonicMs()
    const cut = [...this.#open.values()].map(({ requestId, service, method, startedAtMs }) => ({
      requestId,
      service,
      method,
      ageMs: Math.round(nowMs - startedAtMs),
    }))
    stop.abort()
    if (cut.length > 0) for (const socket of this.#sockets) socket.destroy()
    else this.#server.closeIdleConnections()
    // A connection in the middle of a request head holds no request; it is closed with the rest.
    this.#server.closeAllConnections()
    await closed
    return { cut }
  }

  #connected(socket: Socket): void {
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
    // The parser reads on until a refused connection is closed.
    if (!this.#sockets.has(request.socket)) return
    const trace: RequestTrace = {
      requestId: '',
      service: '',
      method: request.method ?? '',
      startedAtMs: this.#options.clock.monotonicMs(),
    }
    this.#open.set(response, trace)
    if (this.#draining) response.shouldKeepAlive = false
    response.once('close', () => {
      this.#open.delete(response)
      trace.onClose?.()
      if (this.#open.size === 0) for (const resolve of this.#idle.splice(0)) resolve()
    })
    this.#options.onRequest(request, response, trace)
  }
}
