/** HTTP servers for the load balancer's readiness checks and for metrics, each on its own address. */
import { createServer, type Server } from 'node:http'
import { listenOn } from '@pimentotally/http'

export interface StatusPage {
  readonly status: number
  readonly body: string
}

/** Responds to requests for one path with the page that `read` returns, and with 404 to all others. */
export class StatusServer {
  readonly #server: Server

  constructor(path: string, read: () => StatusPage | Promise<StatusPage>) {
    this.#server = createServer((request, response) => {
      request.resume()
      if (request.url !== path) {
        response.writeHead(404).end()
        return
      }
      const page = async (): Promise<StatusPage> => read()
      page().then(
        ({ status, body }) => {
          response.writeHead(status, { 'content-type': 'text/plain' }).end(body)
        },
        (error: unknown) => {
          response.writeHead(500).end(error instanceof Error ? error.message : String(error))
        },
      )
    })
  }

  listen(host: string, port: number): Promise<number> {
    return listenOn(this.#server, { host, port })
  }

  close(): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
