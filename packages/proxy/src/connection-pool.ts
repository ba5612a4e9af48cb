/** Keep-alive connections to targets and peers, with agents for each address. */
import { request as httpRequest } from 'node:http'
import type { Clock } from '@pimentotally/core'
import type { ProxyMetrics } from './metrics.js'
import type { ProxyLimits } from './proxy-limits.js'
import { KeepAliveAgent } from '@pimentotally/http'

/** The connections to a target are divided among the hosts of its domain, of which there are at most ten. */
const maxHostsPerDomain = 10

export interface ConnectionPoolOptions {
  readonly limits: ProxyLimits
  readonly clock: Clock
  readonly metrics: ProxyMetrics
}

export interface Endpoint {
  readonly agent: KeepAliveAgent
  readonly host: string
  readonly port: number
  readonly address: string
}

interface Entry extends Endpoint {
  /**
   * Separate from `agent` when there is more than one connection: cancels must not wait behind hanging
   * requests.
   */
  readonly cancelAgent: KeepAliveAgent
  readonly connections: number
}

export class ConnectionPool {
  readonly #options: ConnectionPoolOptions
  readonly #entries = new Map<string, Entry>()

  constructor(options: ConnectionPoolOptions) {
    this.#options = options
  }

  /**
   * `connections` is for all hosts of the domain together; this host uses its share. If the share is more
   * than one connection, one of them is reserved for cancels.
   */
  forTarget(address: string, connections: number): Endpoint {
    return this.#entry(address, Math.max(1, Math.floor(connections / maxHostsPerDomain)))
  }

  forPeer(address: string): Endpoint {
    return this.#entry(address, this.#options.limits.peerConnections)
  }

  /**
   * Tries once to cancel a request at its target; true when the target says that the request has ended. Answers to
   * cancels repeat no id, so each cancel has a connection on which no other answer can arrive.
   */
  cancel(address: string, requestId: string): Promise<boolean> {
    const entry = this.#entries.get(address)
    if (entry === undefined) return Promise.resolve(false)
    entry.cancelAgent.dropIdle()
    return new Promise((resolve) => {
      const settle = (ended: boolean): void => {
        stopTimer()
        resolve(ended)
        if (!ended) request.destroy()
      }
      const stopTimer = this.#options.clock.schedule(this.#options.limits.cancelTimeoutMs, () => {
        settle(false)
      })
      const request = httpRequest({
        agent: entry.cancelAgent,
        host: entry.host,
        port: entry.port,
        method: 'DELETE',
        path: `/requests/${encodeURIComponent(requestId)}`,
        headers: { host: address },
      })
      request.shouldKeepAlive = false
      request.on('response', (response) => {
        response.resume().on('error', () => undefined)
        settle(response.statusCode === 200 || response.statusCode === 404)
      })
      request.on('error', () => {
        settle(false)
      })
      request.end()
    })
  }

  /** Closes the idle connections to all addresses except the given ones. */
  dropRemovedAddresses(addresses: ReadonlySet<string>): void {
    for (const [address, { agent, cancelAgent }] of this.#entries) {
      if (addresses.has(address)) continue
      agent.dropIdle()
      cancelAgent.dropIdle()
      if (Object.keys(agent.sockets).length + Object.keys(cancelAgent.sockets).length === 0)
        this.#entries.delete(address)
    }
  }

  close(): void {
    for (const { agent, cancelAgent } of this.#entries.values()) {
      agent.destroy()
      cancelAgent.destroy()
    }
    this.#entries.clear()
  }

  #entry(address: string, connections: number): Entry {
    const existing = this.#entries.get(address)
    if (existing?.connections === connections) return existing
    existing?.agent.dropIdle()
    existing?.cancelAgent.dropIdle()
    const { limits, metrics } = this.#options
    const createAgent = (count: number): KeepAliveAgent =>
      new KeepAliveAgent({
        connections: count,
        idleTimeoutMs: limits.idleTimeoutMs,
        onIdleClosed: (event) => {
          metrics.connectionClosed(address, event)
        },
      })
    const separator = address.lastIndexOf(':')
    const agent = createAgent(Math.max(1, connections - 1))
    const entry: Entry = {
      agent,
      cancelAgent: connections > 1 ? createAgent(1) : agent,
      address,
      connections,
      host: address.slice(0, separator).replace(/^\[|\]$/g, ''),
      port: Number(address.slice(separator + 1)),
    }
    this.#entries.set(address, entry)
    return entry
  }
}
