/**
 * HTTP client for calls to the store, to the control endpoints of targets and to peers. Each response is held
 * in memory as a whole. One timeout covers the whole call. A call that times out resets its connection, so
 * that bytes still in transit are not delivered later, and closes the idle connections to the same address,
 * as they may no longer work either.
 */
import { request, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { Result } from 'true-myth'
import { waitForCleanClose } from './clean-close.js'
import { isFinalStatus } from './final-status.js'
import { KeepAliveAgent } from './keep-alive-agent.js'
import { resetConnection } from './reset-connection.js'

export interface HttpCallSpec {
  /** Names the call in errors, for example `grant.renew`. */
  readonly step: string
  /** IP address and port. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Uint8Array | undefined
  readonly timeoutMs: number
  /** Whether the call gets a connection of its own, on which no other response can arrive. */
  readonly newConnection?: boolean
}

export interface HttpResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  /** Whether the connection carried another call before, so that the response may be a copy of an earlier one. */
  readonly usedConnection: boolean
}

/**
 * `not_sent` means that certainly no byte reached the peer. With the other codes the peer may have received
 * the request and may have acted on it.
 */
export interface HttpCallError {
  readonly code: 'not_sent' | 'lost' | 'timed_out'
  readonly step: string
  readonly peer: string
  readonly message: string
  /** The error code of the operating system or of Node, for example `ECONNREFUSED`. */
  readonly cause?: string
}

export interface HttpClientOptions {
  /** Most connections to one address. */
  readonly connections?: number
  readonly idleTimeoutMs?: number
  readonly maxResponseBytes?: number
}

/** Splits `ip:port`. */
export const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/**
 * Limit on the bytes of a response besides its body: far more than a head, chunk sizes and trailers take. Node's
 * parser accepts any number of leading zeros in a chunk size.
 */
const maxFramingBytes = 1024 * 1024

/** A call fails when it gets more interim (1xx) responses than this before the final one. */
const maxInterimResponses = 16

export class HttpClient {
  readonly #options: Required<HttpClientOptions>
  readonly #agents = new Map<string, KeepAliveAgent>()

  constructor({
    connections = 4,
    idleTimeoutMs = 8000,
    maxResponseBytes = 64 * 1024 * 1024,
  }: HttpClientOptions = {}) {
    this.#options = { connections, idleTimeoutMs, maxResponseBytes }
  }

  /**
   * Makes one call. An idempotent call that fails on a reused connection, for example because the peer has
   * just closed it, is repeated once on a new connection within the same timeout; a call that timed out is
   * not repeated.
   */
  async call(spec: HttpCallSpec, { idempotent = false } = {}): Promise<Result<HttpResponse, HttpCallError>> {
    const startedMs = performance.now()
    const first = await this.#attempt(spec)
    if (first.result.isOk || !first.reused || !idempotent || first.result.error.code === 'timed_out') {
      return first.result
    }
    this.dropIdle(spec.address)
    const timeoutMs = spec.timeoutMs - (performance.now() - startedMs)
    if (timeoutMs < 1) return first.result
    const { result } = await this.#attempt({ ...spec, timeoutMs })
    // The first attempt was sent, so the call as a whole may have reached the peer.
    return result.isErr && result.error.code === 'not_sent' ? first.result : result
  }

  /** Closes the idle connections to an address, so that the next call to it opens a new one. */
  dropIdle(address: string): void {
    this.#agents.get(address)?.dropIdle()
  }

  close(): void {
    for (const agent of this.#agents.values()) agent.destroy()
    this.#agents.clear()
  }

  #agent(address: string): KeepAliveAgent {
    let agent = this.#agents.get(address)
    if (agent === undefined) {
      const { connections, idleTimeoutMs } = this.#options
      agent = new KeepAliveAgent({ connections, idleTimeoutMs, onIdleClosed: () => undefined })
      this.#agents.set(address, agent)
    }
    return agent
  }

  #attempt(
    spec: HttpCallSpec,
  ): Promise<{ readonly result: Result<HttpResponse, HttpCallError>; readonly reused: boolean }> {
    return new Promise((resolve) => {
      const { step, address, method, path, headers, body, timeoutMs, newConnection = false } = spec
      const agent = newConnection ? undefined : this.#agent(address)
      let sent = false
      let reused = false
      let socket: Socket | undefined
      let settled = false
      const settle = (result: Result<HttpResponse, HttpCallError>): void => {
        if (settled) return
        settled = true
        clearTimeout(timer)
        resolve({ result, reused })
      }
      const fail = (code: HttpCallError['code'], message: string, cause?: string): void => {
        settle(Result.err({ code: sent ? code : 'not_sent', step, peer: address, message, cause }))
      }
      const timer = setTimeout(() => {
        fail('timed_out', `no response within ${String(Math.round(timeoutMs))} ms`)
        if (socket?.connecting === false) resetConnection(socket)
        outgoing.destroy()
        this.dropIdle(address)
      }, timeoutMs)
      const outgoing = request({
        agent: agent ?? false,
        ...splitAddress(address),
        method,
        path,
        headers: {
          host: address,
          ...headers,
          ...(body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) }),
        },
      })
      outgoing.once('socket', (opened) => {
        socket = opened
        reused = outgoing.reusedSocket
        const { bytesRead: bytesBefore } = opened
        const maxBytes = this.#options.maxResponseBytes + maxFramingBytes
        const checkBytes = (): void => {
          if (opened.bytesRead - bytesBefore <= maxBytes) return
          fail('lost', `more than ${String(maxBytes)} bytes`)
          outgoing.destroy()
        }
        opened.on('data', checkBytes)
        outgoing.once('close', () => opened.off('data', checkBytes))
        if (opened.connecting) opened.once('connect', () => (sent = true))
        else sent = true
      })
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        fail('lost', error.message, error.code)
      })
      let interimResponses = 0
      outgoing.on('information', () => {
        interimResponses += 1
        if (interimResponses <= maxInterimResponses) return
        fail('lost', 'too many interim (1xx) responses without a final one')
        outgoing.destroy()
      })
      outgoing.on('response', (incoming) => {
        const { statusCode: status = 0, headers: fields } = incoming
        if (!isFinalStatus(status)) {
          fail('lost', `a response with the status ${String(status)}`)
          outgoing.destroy()
          return
        }
        collect(incoming, this.#options.maxResponseBytes, socket).then(
          (bytes) => {
            // The peer may read the rest of the call later, and a connection that waits for that is of no use.
            if (!outgoing.writableFinished) socket?.destroy()
            settle(Result.ok({ status, headers: fields, body: bytes, usedConnection: reused }))
          },
          (error: unknown) => {
            fail('lost', error instanceof Error ? error.message : String(error))
            outgoing.destroy()
          },
        )
      })
      outgoing.end(body)
    })
  }
}

/** Whether the header tells where the body ends; otherwise it ends with the connection. */
const isFramed = ({ headers, statusCode }: IncomingMessage): boolean =>
  headers['content-length'] !== undefined ||
  headers['transfer-encoding']?.toLowerCase() === 'chunked' ||
  statusCode === 204 ||
  statusCode === 304

/** Reads the whole response body; rejects when it is incomplete or larger than `maxBytes`. */
const collect = async (
  incoming: IncomingMessage,
  maxBytes: number,
  socket: Socket | undefined,
): Promise<Buffer> => {
  const isClosedCleanly =
    socket === undefined || isFramed(incoming) ? Promise.resolve(true) : waitForCleanClose(socket)
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of incoming) {
    chunks.push(chunk as Buffer)
    length += (chunk as Buffer).length
    if (length > maxBytes) throw new Error(`response exceeds ${String(maxBytes)} bytes`)
  }
  if (!incoming.complete || !(await isClosedCleanly))
    throw new Error('connection closed before the response was complete')
  return Buffer.concat(chunks)
}
