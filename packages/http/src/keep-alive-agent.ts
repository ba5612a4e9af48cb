/**
 * Connections to one address. Node's agent bounds and reuses them; this adds the age of each connection, so that all
 * idle ones older than a silent one can be dropped, and closes an idle connection on which bytes arrive.
 */
import { Agent, type AgentOptions, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Why an idle connection was closed. */
export const IdleCloseReason = { unsolicitedBytes: 'unsolicited-bytes', droppedIdle: 'dropped-idle' } as const
export type IdleCloseReason = (typeof IdleCloseReason)[keyof typeof IdleCloseReason]

export interface KeepAliveAgentOptions {
  /** Idle and used connections together. */
  readonly connections: number
  readonly idleTimeoutMs: number
  readonly onIdleClosed: (event: IdleCloseReason) => void
}

export class KeepAliveAgent extends Agent {
  readonly #onIdleClosed: (event: IdleCloseReason) => void
  readonly #born = new WeakMap<Duplex, number>()
  readonly #guards = new WeakMap<Duplex, () => void>()
  readonly #used = new WeakSet<Duplex>()
  readonly #idleSinceMs = new WeakMap<Duplex, number>()
  #births = 0
  /** Connections born up to this number are not reused. */
  #retired = 0

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
    this.#births += 1
    if (socket) this.#born.set(socket, this.#births)
    return socket
  }

  override keepSocketAlive(socket: Duplex): boolean {
    if (this.#birth(socket) <= this.#retired || socket.readableLength > 0) return false
    // Declared as void, though it returns whether the socket is kept.
    if (!(super.keepSocketAlive(socket) as unknown as boolean)) return false
    const guard = (): void => {
      this.#onIdleClosed(IdleCloseReason.unsolicitedBytes)
      socket.destroy()
    }
    this.#guards.set(socket, guard)
    this.#idleSinceMs.set(socket, performance.now())
    socket.on('data', guard)
    return true
  }

  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const guard = this.#guards.get(socket)
    if (guard !== undefined) socket.off('data', guard)
    super.reuseSocket(socket, request)
  }

  /** Records that a request uses the connection; true when an earlier one did. */
  recordUse(socket: Duplex): boolean {
    const reused = this.#used.has(socket)
    this.#used.add(socket)
    return reused
  }

  /** Closes idle connections as old as this one or older; those in use are closed after their request. */
  dropOlder(socket: Socket): void {
    this.#retired = Math.max(this.#retired, this.#birth(socket))
    this.#dropRetired()
  }

  /** Closes all idle connections, so that the next request opens a fresh one. */
  dropIdle(): void {
    this.#retired = this.#births
    this.#dropRetired()
  }

  /** Closes connections that were idle for longer than `idleMs`. */
  dropIdleLongerThan(idleMs: number): void {
    const beforeMs = performance.now() - idleMs
    for (const socket of Object.values(this.freeSockets).flat()) {
      if (socket !== undefined && (this.#idleSinceMs.get(socket) ?? 0) < beforeMs) socket.destroy()
    }
  }

  #birth(socket: Duplex): number {
    return this.#born.get(socket) ?? 0
  }

  #dropRetired(): void {
    for (const socket of Object.values(this.freeSockets).flat()) {
      if (socket === undefined || this.#birth(socket) > this.#retired) continue
      this.#onIdleClosed(IdleCloseReason.droppedIdle)
      socket.destroy()
    }
  }
}
