/**
 * Authenticated HTTP/2 connections: between hosts, and from operators to hosts. A host sends its host id and
 * the peer secret with every call. A server accepts each of several peer secrets, so that they can be
 * rotated.
 */
import { timingSafeEqual, createHash } from 'node:crypto'
import { createServer, type Http2Server } from 'node:http2'
import type { AddressInfo } from 'node:net'
import {
  Code,
  ConnectError,
  createClient,
  type Client,
  type ConnectRouter,
  type Interceptor,
} from '@connectrpc/connect'
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import type { DescService } from '@bufbuild/protobuf'
import { PeerService } from './gen/pimentotally/v1/peer_pb.js'

export const peerHeaders = { hostId: 'pimentotally-host-id', authorization: 'authorization' } as const

/** Secrets are compared by their hashes, as the comparison needs buffers of equal length. */
const sha256 = (text: string): Buffer => createHash('sha256').update(text).digest()

/** Whether the given secret is one of the accepted ones; the time taken does not reveal which. */
export const matchesSecret = (given: string, accepted: readonly string[]): boolean =>
  accepted.map((secret) => timingSafeEqual(sha256(given), sha256(secret))).includes(true)

/** The bearer credential in the authorization header of a call; empty when there is none. */
export const bearerOf = (header: Headers): string =>
  /^Bearer (.+)$/.exec(header.get('authorization') ?? '')?.[1] ?? ''

/** Refuses calls without one of the accepted peer secrets. */
export const requirePeerSecret =
  (acceptedSecrets: readonly string[]): Interceptor =>
  (next) =>
  (request) => {
    if (!matchesSecret(bearerOf(request.header), acceptedSecrets)) {
      throw new ConnectError('peer secret not accepted', Code.Unauthenticated)
    }
    return next(request)
  }

export interface ClientOptions {
  /** IP address and port. */
  readonly address: string
  readonly credential: string
  readonly hostId?: string
  readonly defaultTimeoutMs?: number
}

/** A client with its connection; `close` ends the connection and every call on it. */
export interface ManagedClient<S extends DescService> {
  readonly client: Client<S>
  close(): void
}

export const openClient = <S extends DescService>(
  service: S,
  { address, credential, hostId = '', defaultTimeoutMs }: ClientOptions,
): ManagedClient<S> => {
  const baseUrl = `http://${address}`
  // HTTP/2 pings stay off: a timer of connect-node 2.1.2 may ping a session that was just destroyed, and that
  // error ends the process. Lost connections are noticed without pings: streams send heartbeats, and a caller
  // whose call timed out drops the connection.
  const sessionManager = new Http2SessionManager(baseUrl)
  const authenticate: Interceptor = (next) => (request) => {
    request.header.set('authorization', `Bearer ${credential}`)
    if (hostId !== '') request.header.set(peerHeaders.hostId, hostId)
    return next(request)
  }
  const transport = createConnectTransport({
    httpVersion: '2',
    baseUrl,
    sessionManager,
    interceptors: [authenticate],
    // Not compressed: compression took more than half of the processor time of permit streams, whose messages
    // are small.
    acceptCompression: [],
    defaultTimeoutMs,
  })
  return {
    client: createClient(service, transport),
    close: () => {
      sessionManager.abort()
    },
  }
}

export interface ServerOptions {
  readonly routes: (router: ConnectRouter) => void
  readonly interceptors?: readonly Interceptor[]
  readonly host: string
  readonly port: number
}

export interface RunningServer {
  /** IP address and port. */
  readonly address: string
  close(): Promise<void>
}

/** Serves Connect over HTTP/2 without TLS. Rejects when the address cannot be bound. */
export const serveRpc = async ({
  routes,
  interceptors = [],
  host,
  port,
}: ServerOptions): Promise<RunningServer> => {
  const server: Http2Server = createServer(
    connectNodeAdapter({ routes, interceptors: [...interceptors], acceptCompression: [] }),
  )
  const sessions = new Set<{ destroy(): void }>()
  server.on('session', (session) => {
    sessions.add(session)
    session.on('close', () => sessions.delete(session))
    session.on('error', () => {
      session.destroy()
    })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
  const bound = server.address() as AddressInfo
  return {
    address: `${bound.address}:${String(bound.port)}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve()
        })
        for (const session of sessions) session.destroy()
      }),
  }
}

/** Keeps one client for each peer address. */
export class PeerClients {
  readonly #clients = new Map<string, ManagedClient<typeof PeerService>>()
  readonly #options: Omit<ClientOptions, 'address'>

  constructor(options: Omit<ClientOptions, 'address'>) {
    this.#options = options
  }

  get(address: string): Client<typeof PeerService> {
    let managed = this.#clients.get(address)
    if (managed === undefined) {
      managed = openClient(PeerService, { ...this.#options, address })
      this.#clients.set(address, managed)
    }
    return managed.client
  }

  /** Closes the connection to an address and ends every call on it; the next call opens a new one. */
  drop(address: string): void {
    this.#clients.get(address)?.close()
    this.#clients.delete(address)
  }

  close(): void {
    for (const address of [...this.#clients.keys()]) this.drop(address)
  }
}
