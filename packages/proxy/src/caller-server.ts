/** The HTTP/1.1 listener for callers. */
import { HttpListener, type DrainOptions, type DrainReport } from './http-listener.js'
import type { RequestHandler } from './request-handler.js'

export interface CallerServerOptions {
  readonly handler: RequestHandler
  /** IP address; default 127.0.0.1. */
  readonly host?: string
  /** 0 takes any free port. */
  readonly port?: number
}

export class CallerServer {
  readonly #handler: RequestHandler
  readonly #listener: HttpListener

  constructor({ handler, host = '127.0.0.1', port = 0 }: CallerServerOptions) {
    this.#handler = handler
    const { limits, clock } = handler
    this.#listener = new HttpListener({
      host,
      port,
      limits,
      clock,
      maxConnections: limits.maxCallerConnections,
      onRequest: (request, response, trace) => {
        handler.handleCaller(request, response, trace)
      },
    })
  }

  get inFlight(): number {
    return this.#listener.inFlight
  }

  /** Resolves to the bound IP address and port. Rejects when the address cannot be bound. */
  listen(): Promise<string> {
    return this.#listener.listen()
  }

  /** Stops as `HttpListener.drain`, and waits for writes to the ledger unless requests were cut. */
  async drain(options?: DrainOptions): Promise<DrainReport> {
    const report = await this.#listener.drain(options)
    if (report.cut.length === 0) await this.#handler.ledgerWritesSettled()
    return report
  }
}
