/**
 * The request path of one host over real sockets, without the rest of the daemon, and targets whose responses
 * a test defines.
 */
import {
  createServer,
  request as httpRequest,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http'
import { createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net'
import type { TestContext } from 'node:test'
import { Random, SilentLogger, SystemClock, type Logger } from '@pimentotally/core'
import { KeepAliveAgent } from '@pimentotally/http'
import { blockCount, encodeBlock, initialAssignment } from '@pimentotally/assignment'
import {
  answerHeaders,
  callerHeaders,
  configurationRow,
  requestIdOf,
  targetRow,
  type CallerFields,
  type TenantDocument,
} from '@pimentotally/platform/testing'
import type { Tenant } from '@pimentotally/routing'
import { CallerServer } from './caller-server.js'
import { CrashingRequests } from './crashing-requests.js'
import { Directory } from './directory.js'
import { Dispatcher, type DispatcherOptions, type InboundRequest } from './dispatcher.js'
import { GatewayMetrics } from './metrics.js'
import { routerStateKeys } from './router-state-rows.js'
import { TargetExchange, type ExchangeResult } from './target-exchange.js'
import { TargetObservations } from './target-observations.js'

export type Handler = (request: IncomingMessage, response: ServerResponse) => void

export interface TestTarget {
  readonly id: string
  readonly address: string
  /** Ids of the requests that arrived, in order. */
  readonly receivedIds: string[]
}

/** Answers with the status; with `notExecuted` the response states that the request was not executed. */
export const answerWith =
  (status: number, { notExecuted = false } = {}): Handler =>
  (request, response) => {
    response.writeHead(status, answerHeaders(requestIdOf(request), { notExecuted })).end('body')
  }

/** Resets the connection without a response. */
export const reset: Handler = (request) => {
  request.socket.resetAndDestroy()
}

/** Answers 503 and states that the request was not executed. */
export const refuseUnexecuted = answerWith(503, { notExecuted: true })

export const startTarget = async (t: TestContext, id: string, handler: Handler): Promise<TestTarget> => {
  const receivedIds: string[] = []
  const server = createServer((request, response) => {
    receivedIds.push(requestIdOf(request))
    handler(request, response)
  })
  t.after(() => {
    server.close()
    server.closeAllConnections()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { id, receivedIds, address: `127.0.0.1:${String((server.address() as AddressInfo).port)}` }
}

export interface RawTarget extends TestTarget {
  readonly connections: () => number
  /** Ends the target as a crash of its process does. */
  readonly end: () => void
}

/**
 * Starts a target that may send any bytes. `respond` is called with each request's id, the number of requests
 * before it, and its path, `accepted` with each new connection.
 */
export const startRawTarget = async (
  t: TestContext,
  id: string,
  respond: (socket: Socket, requestId: string, index: number, path: string) => void,
  accepted: (socket: Socket) => void = () => undefined,
): Promise<RawTarget> => {
  const receivedIds: string[] = []
  const sockets = new Set<Socket>()
  const server = createTcpServer((socket) => {
    sockets.add(socket)
    accepted(socket)
    let text = ''
    socket.on('error', () => undefined)
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1')
      for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
        const requestId = /x-request-id: (\S+)/i.exec(text.slice(0, end))?.[1] ?? ''
        const path = /^\S+ (\S+)/.exec(text)?.[1] ?? ''
        const length = Number(/content-length: (\d+)/i.exec(text.slice(0, end))?.[1] ?? 0)
        text = text.slice(end + 4 + length)
        receivedIds.push(requestId)
        respond(socket, requestId, receivedIds.length - 1, path)
      }
    })
  })
  const end = (): void => {
    for (const socket of sockets) socket.resetAndDestroy()
    server.close()
  }
  t.after(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`
  return { id, receivedIds, address, connections: () => sockets.size, end }
}

/** The head of a target's response, without the empty line that ends it. */
export const rawHead = (requestId: string, fields: readonly string[]): string =>
  [
    'HTTP/1.1 200 OK',
    ...Object.entries(answerHeaders(requestId)).map(([name, value]) => `${name}: ${value}`),
    ...fields,
    '',
  ].join('\r\n')

/** A target's refusal of a request, which it states that it has not run; without an id if that is undefined. */
export const rawRefusal = (requestId: string | undefined): string => {
  const fields = Object.entries(answerHeaders(requestId ?? '', { notExecuted: true }))
    .filter(([, value]) => value !== '')
    .map(([name, value]) => `${name}: ${value}\r\n`)
  return `HTTP/1.1 503 Service Unavailable\r\n${fields.join('')}Content-Length: 0\r\n\r\n`
}

export const exchangeRequestId = 'r-1'

export interface ExchangeTestOptions {
  readonly connectTimeoutMs?: number
  readonly delayAfterConnectMs?: number
  readonly requestId?: string
  /** Opens a new connection by default. */
  readonly agent?: KeepAliveAgent
}

/** Returns an agent with a single connection, which is closed after the test. */
export const singleConnectionAgent = (t: TestContext): KeepAliveAgent => {
  const agent = new KeepAliveAgent({ connections: 1, idleTimeoutMs: 1000, onIdleClosed: () => undefined })
  t.after(() => {
    agent.destroy()
  })
  return agent
}

/** Sends one request, by default with the id `exchangeRequestId` on a new connection. */
export const startExchange = (
  t: TestContext,
  address: string,
  {
    connectTimeoutMs = 5000,
    delayAfterConnectMs = 0,
    requestId = exchangeRequestId,
    agent = singleConnectionAgent(t),
  }: ExchangeTestOptions = {},
): Promise<ExchangeResult> =>
  new Promise((resolve) => {
    new TargetExchange({
      agent,
      address,
      method: 'GET',
      path: '/',
      headers: ['Host', 'h', ...Object.entries(callerHeaders({ requestId })).flat()],
      body: undefined,
      requestId,
      connectTimeoutMs,
      delayAfterConnectMs,
      mayStart: () => true,
      settled: resolve,
    })
  })

export interface TestResponse {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: string
}

export interface CallOptions {
  readonly method?: string
  readonly fields?: Partial<CallerFields>
  readonly headers?: Record<string, string | string[]>
  readonly body?: string
  /** Opens a new connection by default. */
  readonly agent?: Agent
}

export interface TestGatewayOptions {
  readonly isSharded?: boolean
  /** Connections that each target accepts from all hosts together. */
  readonly maxConnections?: number
  readonly tenants?: readonly TenantDocument[]
  /** Whether the deployment asks for ordered waiting. */
  readonly isContended?: boolean
  readonly objectiveMs?: number
  readonly timeoutMs?: number
  readonly logger?: Logger
  readonly quotas?: DispatcherOptions['quotas']
  /** Tenant of all requests. */
  readonly tenant?: Tenant
}

class TenantDispatcher extends Dispatcher {
  readonly #tenant: Tenant | undefined

  constructor(tenant: Tenant | undefined, options: DispatcherOptions) {
    super(options)
    this.#tenant = tenant
  }

  override dispatch(inbound: InboundRequest): void {
    super.dispatch(this.#tenant === undefined ? inbound : { ...inbound, tenant: this.#tenant })
  }
}

export class TestGateway {
  readonly directory: Directory
  readonly crashingRequests: CrashingRequests
  readonly #targets: TargetObservations
  readonly #server: CallerServer
  /** The port for callers. */
  readonly port: number
  #requestCount = 0
  #outgoing: ClientRequest | undefined

  private constructor(
    directory: Directory,
    targets: TargetObservations,
    crashingRequests: CrashingRequests,
    server: CallerServer,
    port: number,
  ) {
    this.#server = server
    this.directory = directory
    this.crashingRequests = crashingRequests
    this.#targets = targets
    this.port = port
  }

  static async start(
    t: TestContext,
    targets: readonly TestTarget[],
    {
      isSharded = false,
      maxConnections,
      tenants,
      quotas,
      tenant,
      isContended = false,
      objectiveMs,
      timeoutMs,
      logger = new SilentLogger(),
    }: TestGatewayOptions = {},
  ): Promise<TestGateway> {
    const clock = new SystemClock()
    const random = new Random(1)
    const directory = new Directory({ clock, logger, hasPressure: isContended })
    directory.applyOperatorTable({
      changed: [configurationRow({ isSharded, maxConnections, tenants, objectiveMs, timeoutMs })],
      removed: [],
      version: 1,
    })
    directory.applyTargetRegistry({
      changed: targets.map(({ id, address }) => targetRow({ id, address })),
      removed: [],
      version: 2,
    })
    const observations = new TargetObservations({ clock, logger, directory, hostName: 'h' })
    const crashingRequests = new CrashingRequests({ clock, logger, directory, hostName: 'h' })
    const dispatcher = new TenantDispatcher(tenant, {
      clock,
      logger,
      random,
      directory,
      targets: observations,
      crashingRequests,
      metrics: new GatewayMetrics(),
      domain: 'a',
      retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 60 },
      countKey: () => undefined,
      observeSpeed: () => undefined,
      admittedShare: () => 1,
      ...(quotas === undefined ? {} : { quotas }),
    })
    const server = new CallerServer({ clock, logger, directory, dispatcher })
    const port = await server.listen('127.0.0.1:0')
    t.after(() => server.closeWhenDrained(0))
    return new TestGateway(directory, observations, crashingRequests, server, port)
  }

  /** The operator replaces the tenants by a configuration with this version. */
  replaceTenants(tenants: readonly TenantDocument[], version: number): void {
    const changed = [configurationRow({ tenants, version, rowVersion: version })]
    this.directory.applyOperatorTable({ changed, removed: [], version })
  }

  /** Assigns all keys to one target; with `formerOwner`, as moves from that target that are not complete. */
  assign(owner: string, { version, formerOwner }: { version: number; formerOwner?: string }): void {
    const { ranges } = initialAssignment('notes', [{ id: owner, startedAtEpochMs: 1000, weight: 1 }])
    const assignment = {
      service: 'notes',
      lastFence: version,
      addresses: {},
      ranges: ranges.map((range) => ({ ...range, fence: version, formerOwner })),
    }
    for (let block = 0; block < blockCount; block += 1) {
      this.directory.applyRouterStateRow({
        key: routerStateKeys.assignment('notes', block),
        version,
        value: Buffer.from(encodeBlock(assignment, block)),
      })
    }
  }

  /** Registers another target; with `coldRemainingMs`, as one that is cold for so long. */
  addTarget({ id, address }: TestTarget, { coldRemainingMs }: { coldRemainingMs?: number } = {}): void {
    const changed = [targetRow({ id, address, coldRemainingMs })]
    this.directory.applyTargetRegistry({ changed, removed: [], version: 2 })
  }

  /** Removes the target's entry, and what the host keeps about it. */
  remove(id: string): void {
    this.directory.applyTargetRegistry({ changed: [], removed: [id], version: 3 })
    this.#targets.dropRemovedTargets()
  }

  /** Stops taking connections, and resolves to the number of requests that are cut after the time. */
  stop(timeoutMs: number): Promise<number> {
    return this.#server.closeWhenDrained(timeoutMs)
  }

  /** The operator takes the failure domain out of service. */
  evacuate(domain: string): void {
    this.directory.applyOperatorTable({
      changed: [{ key: `evacuate/${domain}`, version: 4, value: Buffer.from('{}') }],
      removed: [],
      version: 4,
    })
  }

  /** The limit that the target names, as the host knows it. */
  requestLimit(id: string): number | undefined {
    const target = this.directory.target(id)
    return target === undefined ? undefined : this.#targets.limits.requestsPerSecond(target)
  }

  connectFailures(id: string): number {
    return this.#targets.of(id).connectFailures
  }

  /** The caller of the last request closes its connection. */
  closeCallerConnection(): void {
    this.#outgoing?.destroy()
  }

  call(
    path: string,
    { method = 'GET', fields = {}, headers = {}, body, agent }: CallOptions = {},
  ): Promise<TestResponse> {
    this.#requestCount += 1
    const requestId = `r-${String(this.#requestCount)}`
    return new Promise((resolve, reject) => {
      const outgoing = httpRequest(
        {
          host: '127.0.0.1',
          port: this.port,
          path,
          method,
          agent,
          headers: {
            host: 'shop.example',
            ...callerHeaders({ requestId, deadlineMs: 3000, ...fields }),
            ...headers,
          },
        },
        (incoming) => {
          const chunks: Buffer[] = []
          incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
          incoming.on('error', reject)
          incoming.on('end', () => {
            const text = Buffer.concat(chunks).toString()
            resolve({ status: incoming.statusCode ?? 0, headers: incoming.headers, body: text })
          })
        },
      )
      outgoing.on('error', reject)
      this.#outgoing = outgoing
      outgoing.end(body)
    })
  }
}
