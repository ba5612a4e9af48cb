/** The HTTP server for calls from other hosts; requests carry JSON and are small. */
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { Logger } from '@pimentotally/core'
import { listenOn } from '@pimentotally/http'

export interface PeerResponse {
  readonly status: number
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Buffer
}

/** Answers requests for one method and path. */
export type PeerHandler = (query: URLSearchParams, body: string) => PeerResponse | Promise<PeerResponse>

/** Only serves to parse the path of a request as a URL. */
const baseUrl = 'http://peer'
/** Limit on the body of a request; far above a report in the largest deployment. */
const maxBodyBytes = 1024 * 1024

export class PeerServer {
  readonly #handlers: ReadonlyMap<string, PeerHandler>
  readonly #server: Server

  /** Handlers by method and path, for example `GET /changes`. */
  constructor(handlers: ReadonlyMap<string, PeerHandler>, logger: Logger) {
    this.#handlers = handlers
    this.#server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
      const chunks: Buffer[] = []
      let bytes = 0
      request.on('error', () => undefined)
      response.on('error', () => undefined)
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length
        if (bytes > maxBodyBytes) request.destroy()
        else chunks.push(chunk)
      })
      request.on('end', () => {
        this.#handle(request, Buffer.concat(chunks).toString('utf8')).then(
          ({ status, headers, body }) => {
            if (!response.destroyed)
              response.writeHead(status, { 'content-type': 'application/json', ...headers }).end(body)
          },
          (error: unknown) => {
            logger.error('peer.handler_failed', { path: request.url, error })
            response.destroy()
          },
        )
      })
    })
  }

  async #handle({ method = '', url = '/' }: IncomingMessage, body: string): Promise<PeerResponse> {
    if (!URL.canParse(url, baseUrl)) return { status: 400 }
    const { pathname, searchParams } = new URL(url, baseUrl)
    return (await this.#handlers.get(`${method} ${pathname}`)?.(searchParams, body)) ?? { status: 404 }
  }

  listen(host: string, port: number): Promise<number> {
    return listenOn(this.#server, { host, port })
  }

  close(): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
