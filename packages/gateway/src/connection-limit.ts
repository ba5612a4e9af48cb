/**
 * Bounds the connections of callers and their requests in flight. A new connection always gets in: the one that has been inactive for longest gives
 * way, be it idle between two requests or with a request that does not arrive. A connection whose request was
 * dispatched is never closed for another one.
 */
import type { Socket } from 'node:net'

export interface ConnectionLimitOptions {
  readonly maxConnections: number
  /** Requests of all connections that are dispatched and have no answer. */
  readonly maxInFlight: number
}

export class ConnectionLimit {
  readonly #options: ConnectionLimitOptions
  /** The number of dispatched requests of each connection, in the order of their last activity. */
  readonly #dispatched = new Map<Socket, number>()
  #inFlight = 0
  #closed = 0

  constructor(options: ConnectionLimitOptions) {
    this.#options = options
  }

  /** Number of connections that were closed for others. */
  get closed(): number {
    return this.#closed
  }

  /** Adds a connection. Returns whether another one, or this one if all others are in use, was closed for it. */
  add(socket: Socket): boolean {
    this.#dispatched.set(socket, 0)
    socket.once('close', () => {
      this.#inFlight -= this.dispatchedOf(socket)
      this.#dispatched.delete(socket)
    })
    if (this.#dispatched.size <= this.#options.maxConnections) return false
    const leastActive = this.#leastActive() ?? socket
    this.#dispatched.delete(leastActive)
    this.#closed += 1
    leastActive.destroy()
    return true
  }

  /** Records that bytes of a request have arrived. */
  touch(socket: Socket): void {
    this.#change(socket, 0)
  }

  /** Number of requests of the connection that were dispatched and have no answer. */
  dispatchedOf(socket: Socket): number {
    return this.#dispatched.get(socket) ?? 0
  }

  /**
   * Keeps the connection until `responded`, or returns false, if there are too many requests in flight for one more.
   */
  dispatch(socket: Socket): boolean {
    if (this.#inFlight >= this.#options.maxInFlight) return false
    this.#change(socket, 1)
    return true
  }

  responded(socket: Socket): void {
    this.#change(socket, -1)
  }

  #change(socket: Socket, difference: number): void {
    const dispatched = this.#dispatched.get(socket)
    if (dispatched === undefined) return
    this.#inFlight += difference
    this.#dispatched.delete(socket)
    this.#dispatched.set(socket, dispatched + difference)
  }

  #leastActive(): Socket | undefined {
    for (const [socket, dispatched] of this.#dispatched) if (dispatched === 0) return socket
    return undefined
  }
}
