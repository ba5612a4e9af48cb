/** The HTTP/1.1 listener for requests that peer hosts forward. */
import { matchesSecret } from '@pimentotally/wire'
import { forwardHeaders, readOrigin } from './forwarder.js'
import { GeneratedResponse, routerHeaders } from './generated-response.js'
import { HttpListener, type DrainOptions, type DrainReport } from './http-listener.js'
import type { RequestHandler } from './request-handler.js'

export interface ForwardServerOptions {
  readonly handler: RequestHandler
  /** Two secrets are valid while the peer secret is being rotated. */
  readonly acceptedSecrets: readonly string[]
  /** IP address; default 127.0.0.1. */
  readonly host?: string
  /** 0 takes any free port. */
  readonly port?: number
}

export class ForwardServer {
  readonly #handler: RequestHandler
  readonly #listener: HttpListener

  constructor({ handler, acceptedSecrets, host = '127.0.0.1', port = 0 }: ForwardServerOptions) {
    this.#handler = handler
    const { limits, clock } = handler
    this.#listener = new HttpListener({
      host,
      port,
      limits,
      clock,
      maxConnections: limits.maxCallerConnections,
      onRequest: (request, response, trace) => {
        const secret = String(request.headers[forwardHeaders.secret] ?? '')
        const origin = matchesSecret(secret, acceptedSecrets)
          ? readOrigin(request, handler.directory.self().hostId)
          : GeneratedResponse.notRun(400, 'peer_secret_not_accepted', 'the peer secret is not accepted')
        if ('forwarded' in origin) {
          handler.handle(request, response, trace, origin)
          return
        }
        response.on('error', () => undefined)
        const requestId = String(request.headers[routerHeaders.requestId] ?? '')
        GeneratedResponse.write(response, { ...origin, close: true }, requestId)
      },
    })
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
