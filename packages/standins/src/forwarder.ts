/**
 * A TCP forwarder that makes connections fail as in real networks: silently, in one direction only, or by a
 * reset. A silent connection stays open at both ends while its bytes are dropped.
 */
import { createServer as createHttpServer, type Server as HttpServer } from 'node:http'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { resetConnection, splitAddress } from '@pimentotally/http'

export interface ForwarderOptions {
  /** IP address and port to which connections are forwarded. */
  readonly target: string
  readonly host?: string
  readonly port?: number
  readonly adminPort?: number
}

/** `toTarget`: the bytes that the connecting side sends. `toSource`: the bytes that the target sends. */
export type Direction = 'toTarget' | 'toSource'

interface ForwardedConnection {
  readonly source: Socket
  readonly target: Socket
  readonly dropped: Set<Direction>
}

const listen = async (server: Server | HttpServer, host: string, port: number): Promise<string> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return `${host}:${String((server.address() as AddressInfo).port)}`
}

const closeServer = (server: Server | HttpServer): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
  })

export class Forwarder {
  readonly #target: string
  readonly #links = new Set<ForwardedConnection>()
  /** Directions whose bytes are dropped on all connections, new ones too, until `restore`. */
  readonly #cutDirections = new Set<Direction>()
  #refusing = false
  readonly #server: Server
  readonly #admin: HttpServer
  #address = ''
  #adminAddress = ''

  private constructor({ target }: ForwarderOptions) {
    this.#target = target
    // Half-open connections stay open: the two ends decide when each direction closes.
    this.#server = createServer({ allowHalfOpen: true, noDelay: true }, (source) => {
      this.#open(source)
    })
    this.#admin = createHttpServer((request, response) => {
      const status = this.#handleControl(`${request.method ?? ''} ${request.url ?? ''}`) ? 200 : 404
      response.writeHead(status, { 'content-type': 'application/json' })
      response.end(
        JSON.stringify({
          connections: this.#links.size,
          cut: [...this.#cutDirections],
          refusing: this.#refusing,
        }),
      )
    })
  }

  /** Starts to listen. Port 0 takes a free port. Rejects when an address cannot be bound. */
  static async start(options: ForwarderOptions): Promise<Forwarder> {
    const { host = '127.0.0.1', port = 0, adminPort = 0 } = options
    const forwarder = new Forwarder(options)
    forwarder.#address = await listen(forwarder.#server, host, port)
    forwarder.#adminAddress = await listen(forwarder.#admin, host, adminPort)
    return forwarder
  }

  get address(): string {
    return this.#address
  }

  get adminAddress(): string {
    return this.#adminAddress
  }

  /** Drops all further bytes of the connections that are open now, permanently. New connections work. */
  silence(): void {
    for (const { dropped } of this.#links) dropped.add('toTarget').add('toSource')
  }

  /** Resets all open connections, and every new one until `restore`. */
  cutAll(): void {
    this.#refusing = true
    for (const { source, target } of this.#links) {
      resetConnection(source)
      resetConnection(target)
    }
  }

  /** Drops the bytes of one direction on open and new connections until `restore`. */
  cutDirection(direction: Direction): void {
    this.#cutDirections.add(direction)
  }

  /** Ends the effect of `cutAll` and `cutDirection` on new connections. Silent connections stay silent. */
  restore(): void {
    this.#refusing = false
    // An open connection may have lost bytes and cannot be used any more, so its bytes stay dropped.
    for (const { dropped } of this.#links) for (const direction of this.#cutDirections) dropped.add(direction)
    this.#cutDirections.clear()
  }

  async close(): Promise<void> {
    const done = [closeServer(this.#server), closeServer(this.#admin)]
    for (const { source, target } of this.#links) {
      source.destroy()
      target.destroy()
    }
    this.#admin.closeAllConnections()
    await Promise.all(done)
  }

  #handleControl(route: string): boolean {
    switch (route) {
      case 'GET /':
        break
      case 'POST /silence':
        this.silence()
        break
      case 'POST /cut':
        this.cutAll()
        break
      case 'POST /cut/toTarget':
        this.cutDirection('toTarget')
        break
      case 'POST /cut/toSource':
        this.cutDirection('toSource')
        break
      case 'POST /restore':
        this.restore()
        break
      default:
        return false
    }
    return true
  }

  #open(source: Socket): void {
    if (this.#refusing) {
      resetConnection(source)
      return
    }
    const target = connect({ ...splitAddress(this.#target), allowHalfOpen: true, noDelay: true })
    const link: ForwardedConnection = { source, target, dropped: new Set() }
    this.#links.add(link)
    this.#forward(link, source, target, 'toTarget')
    this.#forward(link, target, source, 'toSource')
  }

  #forward(link: ForwardedConnection, from: Socket, to: Socket, direction: Direction): void {
    const isDropped = (): boolean => link.dropped.has(direction) || this.#cutDirections.has(direction)
    from.on('data', (chunk: Buffer) => {
      if (isDropped()) {
        link.dropped.add(direction)
        return
      }
      if (!to.write(chunk)) {
        from.pause()
        to.once('drain', () => from.resume())
      }
    })
    from.on('end', () => {
      if (isDropped()) return
      // Node reports an end for some reset connections; such a one has no remote port any more. Nor has one whose
      // own direction was closed before, as both are closed now.
      if (from.remotePort === undefined && !from.writableEnded) resetConnection(to)
      else to.end()
    })
    // A reset is passed on as one: after an end, a response without a length would look complete.
    from.on('error', () => {
      if (!isDropped()) resetConnection(to)
    })
    from.on('close', (hadError) => {
      // Without an error both directions have ended in order, and `to` may still have bytes to send.
      if (!isDropped() && hadError) to.destroy()
      // A silent connection is removed only when both of its sockets are destroyed.
      if (link.source.destroyed && link.target.destroyed) this.#links.delete(link)
    })
  }
}
