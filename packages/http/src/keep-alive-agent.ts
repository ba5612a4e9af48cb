/**
 * Keep-alive connections to one address. This class limits their number and decides which one a request gets;
 * Node's agent opens and keeps them. Node's own queue is not used: it hands a connection that becomes free to
 * the next request without any check. A request gets no connection that was retired, on which bytes arrived
 * while it was idle, or that has carried the request's id before, as a late second copy of the earlier response
 * could not be told from the response to this request. Connections are numbered in the order of their creation,
 * so that when one does not respond, the idle ones that are as old or older can be closed too.
 */
import { Agent, type AgentOptions, type ClientRequest, type RequestOptions } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Why the agent closed an idle connection. */
export const IdleCloseReason = { unsolicitedBytes: 'unsolicited-bytes', droppedIdle: 'dropped-idle' } as const
export type IdleCloseReason = (typeof IdleCloseReason)[keyof typeof IdleCloseReason]

/** What a connection has carried, the present exchange included. */
export interface ConnectionHistory {
  /** Number of the connection, counted from 1 in the order of creation. */
  readonly serial: number
  readonly exchanges: number
  /** Ids of the exchanges that have one. */
  readonly exchangeIds: ReadonlySet<string>
  /** How long the connection was idle before the last exchange; undefined if that was the first. */
  readonly idleMs: number | undefined
}

export interface KeepAliveAgentOptions {
  /** Most connections, idle ones and those in use together. */
  readonly connections: number
  readonly idleTimeoutMs: number
  readonly onIdleClosed: (event: IdleCloseReason, history: ConnectionHistory) => void
}

/** Options of a request to this agent, besides those of Node. */
export interface KeepAliveRequestOptions extends RequestOptions {
  /** Id that the response repeats. */
  readonly exchangeId?: string
  /** Longest time for which a connection may have been idle that the request gets; 0 for a new one only. */
  readonly maxIdleMs?: number
}

/** Bounds the memory for the ids that a connection has carried; the connection is closed afterwards. */
const maxExchangesPerConnection = 250

interface WaitingRequest {
  readonly request: ClientRequest
  readonly options: KeepAliveRequestOptions
}

/** What the agent keeps about a connection; instants are on the monotonic clock. */
class Connection implements ConnectionHistory {
  exchanges = 0
  readonly exchangeIds = new Set<string>()
  idleMs: number | undefined
  idleSinceMs: number | undefined
  /** Closes the idle connection when bytes arrive. */
  closeOnData: (() => void) | undefined

  constructor(readonly serial: number) {}

  recordExchange(id: string | undefined): void {
    this.exchanges += 1
    this.idleMs = this.idleSinceMs === undefined ? undefined : performance.now() - this.idleSinceMs
    if (id !== undefined) this.exchangeIds.add(id)
  }

  /** Whether the idle connection may carry the request. */
  accepts({ exchangeId, maxIdleMs = Infinity }: KeepAliveRequestOptions): boolean {
    if (exchangeId !== undefined && this.exchangeIds.has(exchangeId)) return false
    return maxIdleMs > 0 && performance.now() - (this.idleSinceMs ?? 0) <= maxIdleMs
  }
}

/** Node calls this method for each request of an agent; the type declarations lack it. */
type AddRequest = (this: Agent, request: ClientRequest, options: KeepAliveRequestOptions) => void
const { addRequest } = Agent.prototype as unknown as { readonly addRequest: AddRequest }

/** Lets a destroyed request that has no connection report its end. */
const end = (request: ClientRequest): void => {
  request.onSocket(undefined as unknown as Socket)
}

export class KeepAliveAgent extends Agent {
  readonly #onIdleClosed: KeepAliveAgentOptions['onIdleClosed']
  readonly #maxConnections: number
  readonly #connections = new WeakMap<Duplex, Connection>()
  readonly #openSockets = new Set<Duplex>()
  /** Requests without a connection, in the order of their arrival. */
  readonly #waiting: WaitingRequest[] = []
  #lastSerial = 0
  /** Connections with a serial up to and including this one are not reused. */
  #retiredSerial = 0

  constructor({ connections, idleTimeoutMs, onIdleClosed }: KeepAliveAgentOptions) {
    super({
      keepAlive: true,
      maxSockets: Infinity,
      maxFreeSockets: connections,
      timeout: idleTimeoutMs,
      scheduling: 'lifo',
    } satisfies AgentOptions)
    this.#maxConnections = connections
    this.#onIdleClosed = onIdleClosed
    // Node's own listener comes first, so the connection is idle or closed by now.
    this.on('free', () => {
      this.#assignConnections()
    })
  }

  /** Called by Node for each request of the agent. */
  addRequest(request: ClientRequest, options: KeepAliveRequestOptions): void {
    request.prependOnceListener('socket', (socket) => {
      this.#connectionOf(socket).recordExchange(options.exchangeId)
    })
    this.#waiting.push({ request, options })
    this.#assignConnections()
  }

  override destroy(): void {
    for (const { request } of this.#waiting.splice(0)) end(request.destroy())
    super.destroy()
  }

  override createConnection(
    ...args: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(...args)
    this.#lastSerial += 1
    if (!socket) return socket
    this.#connections.set(socket, new Connection(this.#lastSerial))
    this.#openSockets.add(socket)
    socket.once('close', () => {
      this.#openSockets.delete(socket)
      // Node's agent still has to take note of the end of the connection.
      queueMicrotask(() => {
        this.#assignConnections()
      })
    })
    return socket
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const connection = this.#connectionOf(socket)
    if (connection.serial <= this.#retiredSerial || socket.readableLength > 0) return false
    if (connection.exchanges >= maxExchangesPerConnection) return false
    // The type declarations say void, but the method returns whether the socket is kept.
    if (!(super.keepSocketAlive(socket) as unknown as boolean)) return false
    connection.closeOnData = (): void => {
      this.#onIdleClosed(IdleCloseReason.unsolicitedBytes, connection)
      socket.destroy()
    }
    connection.idleSinceMs = performance.now()
    socket.on('data', connection.closeOnData)
    return true
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const { closeOnData } = this.#connectionOf(socket)
    if (closeOnData !== undefined) socket.off('data', closeOnData)
    super.reuseSocket(socket, request)
  }

  historyOf(socket: Duplex): ConnectionHistory {
    return this.#connectionOf(socket)
  }

  /** Closes idle connections as old as this one or older; those in use are closed after their request. */
  dropOlder(socket: Socket): void {
    this.#retiredSerial = Math.max(this.#retiredSerial, this.#connectionOf(socket).serial)
    this.#dropRetired()
  }

  /** Closes all idle connections, and those in use after their request, so that none is reused. */
  dropIdle(): void {
    this.#retiredSerial = this.#lastSerial
    this.#dropRetired()
  }

  /** Gives waiting requests connections, as long as there are any. */
  #assignConnections(): void {
    for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
      const { request, options } = next
      if (request.destroyed) {
        this.#waiting.shift()
        end(request)
        continue
      }
      this.#closeUnusable(options)
      if (this.#idleSockets().length === 0 && this.#openSockets.size >= this.#maxConnections) return
      this.#waiting.shift()
      addRequest.call(this, request, options)
    }
  }

  /** Closes the idle connections that the request must not get, and removes the closed ones from the pool. */
  #closeUnusable(options: KeepAliveRequestOptions): void {
    const sockets = this.#idleSockets()
    for (let index = sockets.length - 1; index >= 0; index -= 1) {
      const socket = sockets[index]
      if (socket === undefined) continue
      if (!this.#connectionOf(socket).accepts(options)) socket.destroy()
      // Node's agent removes a closed connection only after its event, and would hand it out until then.
      if (socket.destroyed) sockets.splice(index, 1)
    }
  }

  /** Node's own list of idle connections; there is one, as all connections go to the same address. */
  #idleSockets(): Socket[] {
    for (const name in this.freeSockets) return this.freeSockets[name] ?? []
    return []
  }

  #connectionOf(socket: Duplex): Connection {
    return this.#connections.get(socket) ?? new Connection(0)
  }

  /** Closes the idle connections that must not be reused. */
  #dropRetired(): void {
    for (const socket of this.#idleSockets()) {
      const connection = this.#connectionOf(socket)
      if (connection.serial > this.#retiredSerial) continue
      this.#onIdleClosed(IdleCloseReason.droppedIdle, connection)
      socket.destroy()
    }
  }
}
