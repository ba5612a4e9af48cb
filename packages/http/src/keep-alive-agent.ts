/**
 * Keep-alive connections to one address. Node's agent limits their number and reuses them. This class also
 * numbers them in the order of their creation, so that when one does not respond, the idle ones that are as
 * old or older can be closed too. It closes an idle connection on which bytes arrive, as no request is
 * waiting for them, and records what each connection has carried.
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
}

/** Node calls this method for each request of an agent; the type declarations lack it. */
type AddRequest = (this: Agent, request: ClientRequest, options: KeepAliveRequestOptions) => void
const { addRequest } = Agent.prototype as unknown as { readonly addRequest: AddRequest }

export class KeepAliveAgent extends Agent {
  readonly #onIdleClosed: KeepAliveAgentOptions['onIdleClosed']
  readonly #connections = new WeakMap<Duplex, Connection>()
  readonly #used = new WeakSet<Duplex>()
  #lastSerial = 0
  /** Connections with a serial up to and including this one are not reused. */
  #retiredSerial = 0

  constructor({ connections, idleTimeoutMs, onIdleClosed }: KeepAliveAgentOptions) {
    super({
      keepAlive: true,
      maxSockets: connections,
      maxFreeSockets: connections,
      timeout: idleTimeoutMs,
      scheduling: 'lifo',
    } satisfies AgentOptions)
    this.#onIdleClosed = onIdleClosed
  }

  addRequest(request: ClientRequest, options: KeepAliveRequestOptions): void {
    request.prependOnceListener('socket', (socket) => {
      this.#connectionOf(socket).recordExchange(options.exchangeId)
    })
    addRequest.call(this, request, options)
  }

  override createConnection(
    ...args: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(...args)
    this.#lastSerial += 1
    if (socket) this.#connections.set(socket, new Connection(this.#lastSerial))
    return socket
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const connection = this.#connectionOf(socket)
    if (connection.serial <= this.#retiredSerial || socket.readableLength > 0) return false
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

  /** Records that a request uses the connection; returns whether an earlier request has used it. */
  recordUse(socket: Duplex): boolean {
    const reused = this.#used.has(socket)
    this.#used.add(socket)
    return reused
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

  /** Closes connections that have been idle for longer than `idleMs`. */
  dropIdleLongerThan(idleMs: number): void {
    const beforeMs = performance.now() - idleMs
    for (const socket of Object.values(this.freeSockets).flat()) {
      if (socket !== undefined && (this.#connectionOf(socket).idleSinceMs ?? 0) < beforeMs) socket.destroy()
    }
  }

  #connectionOf(socket: Duplex): Connection {
    return this.#connections.get(socket) ?? new Connection(0)
  }

  /** Closes the idle connections that must not be reused. */
  #dropRetired(): void {
    for (const socket of Object.values(this.freeSockets).flat()) {
      if (socket === undefined) continue
      const connection = this.#connectionOf(socket)
      if (connection.serial > this.#retiredSerial) continue
      this.#onIdleClosed(IdleCloseReason.droppedIdle, connection)
      socket.destroy()
    }
  }
}
