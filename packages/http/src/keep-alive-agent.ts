/**
 * Keep-alive connections to one address. Node's agent limits their number and reuses them. This class also
 * numbers them in the order of their creation, so that when one does not respond, the idle ones that are as
 * old or older can be closed too. It closes an idle connection on which bytes arrive, as no request is
 * waiting for them.
 */
import { Agent, type AgentOptions, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Why the agent closed an idle connection. */
export const IdleCloseReason = { unsolicitedBytes: 'unsolicited-bytes', droppedIdle: 'dropped-idle' } as const
export type IdleCloseReason = (typeof IdleCloseReason)[keyof typeof IdleCloseReason]

export interface KeepAliveAgentOptions {
  /** Most connections, idle ones and those in use together. */
  readonly connections: number
  readonly idleTimeoutMs: number
  readonly onIdleClosed: (event: IdleCloseReason) => void
}

export class KeepAliveAgent extends Agent {
  readonly #onIdleClosed: (event: IdleCloseReason) => void
  /** The number of each connection, counted from 1 in the order of creation. */
  readonly #serials = new WeakMap<Duplex, number>()
  /** The data listener of each idle connection; it closes the connection when bytes arrive. */
  readonly #idleListeners = new WeakMap<Duplex, () => void>()
  readonly #used = new WeakSet<Duplex>()
  /** Monotonic time at which each connection last became idle. */
  readonly #idleSinceMs = new WeakMap<Duplex, number>()
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

  override createConnection(
    ...args: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(...args)
    this.#lastSerial += 1
    if (socket) this.#serials.set(socket, this.#lastSerial)
    return socket
  }

  override keepSocketAlive(socket: Duplex): boolean {
    if (this.#serialOf(socket) <= this.#retiredSerial || socket.readableLength > 0) return false
    // The type declarations say void, but the method returns whether the socket is kept.
    if (!(super.keepSocketAlive(socket) as unknown as boolean)) return false
    const closeOnData = (): void => {
      this.#onIdleClosed(IdleCloseReason.unsolicitedBytes)
      socket.destroy()
    }
    this.#idleListeners.set(socket, closeOnData)
    this.#idleSinceMs.set(socket, performance.now())
    socket.on('data', closeOnData)
    return true
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const closeOnData = this.#idleListeners.get(socket)
    if (closeOnData !== undefined) socket.off('data', closeOnData)
    super.reuseSocket(socket, request)
  }

  /** Records that a request uses the connection; returns whether an earlier request has used it. */
  recordUse(socket: Duplex): boolean {
    const reused = this.#used.has(socket)
    this.#used.add(socket)
    return reused
  }

  /** Closes idle connections as old as this one or older; those in use are closed after their request. */
  dropOlder(socket: Socket): void {
    this.#retiredSerial = Math.max(this.#retiredSerial, this.#serialOf(socket))
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
      if (socket !== undefined && (this.#idleSinceMs.get(socket) ?? 0) < beforeMs) socket.destroy()
    }
  }

  #serialOf(socket: Duplex): number {
    return this.#serials.get(socket) ?? 0
  }

  /** Closes the idle connections that must not be reused. */
  #dropRetired(): void {
    for (const socket of Object.values(this.freeSockets).flat()) {
      if (socket === undefined || this.#serialOf(socket) > this.#retiredSerial) continue
      this.#onIdleClosed(IdleCloseReason.droppedIdle)
      socket.destroy()
    }
  }
}
