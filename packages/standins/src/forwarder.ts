/**
 * A TCP forwarder that can make connections fail as networks do: silently, in one direction, or at once. A silent
 * connection stays open at both ends while its bytes are dropped.
 */
import { createServer as createHttpServer, type Server as HttpServer } from 'node:http'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { splitAddress } from '@pimentotally/http'

export interface ForwarderOptions {
  /** IP address and port. */
  readonly target: string
  readonly host?: string
  readonly port?: number
  readonly adminPort?: number
}

/** `toTarget` drops what the connecting side sends, `toSource` what the target sends. */
export type Direction = 'toTarget' | 'toSource'

interface Link {
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

const closed = (server: Server | HttpServer): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
  })

export class Forwarder {
  readonly #target: string
  readonly #links = new Set<Link>()
  /** Directions that are dropped on new connections too. */
  readonly #cut = new Set<Direction>()
  #refusing = false
  readonly #server: Server
  readonly #admin: HttpServer
  #address = ''
  #adminAddress = ''

  private constructor({ target }: ForwarderOptions) {
    this.#target = target
    // Half-open connections are kept, as the ends decide when each direction closes.
    this.#server = createServer({ allowHalfOpen: true, noDelay: true }, (source) => {
      this.#link(source)
    })
    this.#admin = createHttpServer((request, response) => {
      const status = this.#control(`${request.method ?? ''} ${request.url ?? ''}`) ? 200 : 404
      response.writeHead(status, { 'content-type': 'application/json' })
      response.end(
        JSON.stringify({ connections: this.#links.size, cut: [...this.#cut], refusing: this.#refusing }),
      )
    })
  }

  /** Rejects when an address cannot be bound. Port 0 takes a free one. */
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

  /** Drops all further bytes of the open connections, for good; new connections work. */
  silence(): void {
    for (const { dropped } of this.#links) dropped.add('toTarget').add('toSource')
  }

  /** Closes the open connections and every new one until `restore`. */
  cutAll(): void {
    this.#refusing = true
    for (const { source, target } of this.#links) {
      source.resetAndDestroy()
      target.resetAndDestroy()
    }
  }

  /** Drops the bytes of one direction on open and new connections until `restore`. */
  cutDirection(direction: Direction): void {
    this.#cut.add(direction)
  }

  /** Ends `cutAll` and `cutDirection`; silent connections stay silent. */
  restore(): void {
    this.#refusing = false
    // A connection that lost bytes cannot be used any more, so it goes on losing them.
    for (const { dropped } of this.#links) for (const direction of this.#cut) dropped.add(direction)
    this.#cut.clear()
  }

  async close(): Promise<void> {
    const done = [closed(this.#server), closed(this.#admin)]
    for (const { source, target } of this.#links) {
      source.destroy()
      target.destroy()
    }
    this.#admin.closeAllConnections()
    await Promise.all(done)
  }

  #control(route: string): boolean {
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

  #link(source: Socket): void {
    if (this.#refusing) {
      source.resetAndDestroy()
      return
    }
    const target = connect({ ...splitAddress(this.#target), allowHalfOpen: true, noDelay: true })
    const link: Link = { source, target, dropped: new Set() }
    this.#links.add(link)
    this.#forward(link, source, target, 'toTarget')
    this.#forward(link, target, source, 'toSource')
  }

  #forward(link: Link, from: Socket, to: Socket, direction: Direction): void {
    const isDropped = (): boolean => link.dropped.has(direction) || this.#cut.has(direction)
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
      if (!isDropped()) to.end()
    })
    from.on('error', () => {
      if (!isDropped()) to.destroy()
    })
    from.on('close', (hadError) => {
      // Without an error both directions have ended, and bytes may still wait to be sent.
      if (!isDropped() && hadError) to.destroy()
      // A silent link is forgotten only when both ends have closed their side.
      if (link.source.destroyed && link.target.destroyed) this.#links.delete(link)
    })
  }
}
