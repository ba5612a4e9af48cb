/** Client of the targets' grant protocol over HTTP/1.1, with one keep-alive connection for each target. */
import { Agent, request as httpRequest } from 'node:http'
import { Term, type Clock } from '@pimentotally/core'
import { TargetGrantClient, type GrantRequest, type GrantResponse, type ProbeResponse } from './grant.js'

export interface HttpTargetGrantClientOptions {
  /** IP address and port. */
  readonly address: string
  readonly clock: Clock
  readonly timeoutMs?: number
  /** Longest response body in bytes; reading stops beyond it and the call has no response. */
  readonly maxResponseBytes?: number
}

/**
 * When a call has no complete 200 response in time, its connection is closed; the next call opens a new one.
 */
export class HttpTargetGrantClient extends TargetGrantClient {
  readonly #host: string
  readonly #port: number
  readonly #clock: Clock
  readonly #timeoutMs: number
  readonly #maxResponseBytes: number
  #agent = newAgent()
  #isBusy = false

  constructor({ address, clock, timeoutMs = 200, maxResponseBytes = 4 << 20 }: HttpTargetGrantClientOptions) {
    super()
    const colon = address.lastIndexOf(':')
    this.#host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1')
    this.#port = Number(address.slice(colon + 1))
    this.#clock = clock
    this.#timeoutMs = timeoutMs
    this.#maxResponseBytes = maxResponseBytes
  }

  override async send(request: GrantRequest): Promise<GrantResponse | undefined> {
    const response = await this.#call('POST', '/grants', JSON.stringify(request))
    return isGrantResponse(response) ? response : undefined
  }

  override async probe(): Promise<ProbeResponse | undefined> {
    const response = await this.#call('GET', '/health')
    if (response === undefined) return undefined
    const { instanceId, uptimeMs } = (typeof response === 'object' ? (response ?? {}) : {}) as ProbeResponse
    return {
      ...(typeof instanceId === 'string' ? { instanceId } : {}),
      ...(typeof uptimeMs === 'number' ? { uptimeMs } : {}),
    }
  }

  override close(): void {
    this.#agent.destroy()
  }

  /**
   * The parsed body of a 200 response; null when the body is not JSON. Undefined without a complete 200
   * response, and at once when another call is in flight.
   */
  async #call(method: string, path: string, body?: string): Promise<unknown> {
    if (this.#isBusy) return undefined
    this.#isBusy = true
    try {
      const text = await this.#exchange(method, path, body)
      return text === undefined ? undefined : parseOrNull(text)
    } finally {
      this.#isBusy = false
    }
  }

  #exchange(method: string, path: string, body?: string): Promise<string | undefined> {
    return new Promise((resolve) => {
      let isDone = false
      const finish = (text: string | undefined): void => {
        if (isDone) return
        isDone = true
        cancel()
        if (text === undefined) this.#replaceConnection()
        resolve(text)
      }
      const cancel = this.#clock.schedule(this.#timeoutMs, () => {
        finish(undefined)
      })
      const headers =
        body === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
      const outgoing = httpRequest(
        { host: this.#host, port: this.#port, method, path, agent: this.#agent, headers },
        (incoming) => {
          const chunks: Buffer[] = []
          let size = 0
          incoming.on('data', (chunk: Buffer) => {
            size += chunk.length
            if (size > this.#maxResponseBytes) finish(undefined)
            else chunks.push(chunk)
          })
          incoming.on('error', () => {
            finish(undefined)
          })
          incoming.on('close', () => {
            const isWhole = incoming.complete && incoming.statusCode === 200
            finish(isWhole ? Buffer.concat(chunks).toString('utf8') : undefined)
          })
        },
      )
      outgoing.on('error', () => {
        finish(undefined)
      })
      outgoing.end(body)
    })
  }

  #replaceConnection(): void {
    this.#agent.destroy()
    this.#agent = newAgent()
  }
}

const newAgent = (): Agent => new Agent({ keepAlive: true, maxSockets: 1 })

const parseOrNull = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return null
  }
}

const isGrantResponse = (value: unknown): value is GrantResponse => {
  if (typeof value !== 'object' || value === null) return false
  const { accepted, highestTerm, previousTerm, instanceId, uptimeMs, clockMs, setVersion } =
    value as Partial<GrantResponse>
  return (
    typeof accepted === 'boolean' &&
    [highestTerm, previousTerm].every((term) => typeof term === 'string' && Term.isValid(term)) &&
    typeof instanceId === 'string' &&
    [uptimeMs, clockMs, setVersion].every((number) => Number.isFinite(number))
  )
}
