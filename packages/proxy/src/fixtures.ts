/**
 * Test helpers of this package: scripted targets, a permit source and a ledger in memory, and HTTP clients.
 */
import {
  Agent,
  createServer,
  request as httpRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import {
  CellRecord,
  PeerDirectory,
  PermitSource,
  ShardSet,
  Term,
  type Configuration,
  type KnownCell,
  type Peer,
  type Permit,
  type PermitRefusal,
  type PermitReport,
  type PermitRequest,
  type ServiceSpec,
} from '@pimentotally/core'
import { Result } from 'true-myth'
import {
  RequestLedgerPort,
  type LedgerResponse,
  type LedgerAttempt,
  type LedgerBeginResult,
  type LedgerRequest,
} from './ledger-port.js'
import { ProxyMetrics, type AttemptRecord, type ConnectionEvent, type RequestRecord } from './metrics.js'

/** How a target handles a request. */
export type TargetScript = (
  request: IncomingMessage,
  response: ServerResponse,
  target: ScriptedTarget,
) => void

/** Responds with the echo of the request id that the router requires. */
export const respond = (
  request: IncomingMessage,
  response: ServerResponse,
  body = 'ok',
  status = 200,
  headers: Record<string, string> = {},
): void => {
  const id = String(request.headers['pimentotally-request-id'])
  response.writeHead(status, { 'pimentotally-request-id': id, ...headers })
  response.end(body)
}

/** Counts a run of the request and responds with its path. */
export const run: TargetScript = (request, response, scripted) => {
  scripted.recordRun(request)
  respond(request, response, request.url)
}

/** A target that handles every request by the script of the test, and cancels by `cancelStatus`. */
export class ScriptedTarget {
  readonly runs = new Map<string, number>()
  readonly receivedRequests: IncomingMessage[] = []
  readonly cancels: string[] = []
  readonly sockets = new Set<Socket>()
  connections = 0
  address = ''
  script: TargetScript
  cancelStatus = 200
  readonly #server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    response.on('error', () => undefined)
    if (request.method === 'DELETE' && request.url?.startsWith('/requests/') === true) {
      this.cancels.push(request.url.slice('/requests/'.length))
      response.writeHead(this.cancelStatus).end()
      return
    }
    this.receivedRequests.push(request)
    this.script(request, response, this)
  })

  constructor(script: TargetScript) {
    this.script = script
    this.#server.on('connection', (socket: Socket) => {
      this.connections += 1
      this.sockets.add(socket)
      socket.on('error', () => undefined).on('close', () => this.sockets.delete(socket))
    })
  }

  /** Counts a run of the request, by its idempotency key or `x-request-identity`. */
  recordRun(request: IncomingMessage): void {
    const identity = String(request.headers['idempotency-key'] ?? request.headers['x-request-identity'])
    this.runs.set(identity, (this.runs.get(identity) ?? 0) + 1)
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    const { address, port } = this.#server.address() as AddressInfo
    this.address = `${address}:${String(port)}`
    return this
  }

  close(): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}

/** Issues permits for the first target that is not excluded, unless a test replaces `choose`. */
export class FakePermits extends PermitSource {
  readonly requests: PermitRequest[] = []
  readonly released: { permit: Permit; report: PermitReport }[] = []
  outstanding = 0
  hedgeAfterMs: number | undefined
  sendWithinMs = 10_000
  choose: (request: PermitRequest) => string | PermitRefusal
  #permits = 0

  constructor(addresses: () => readonly string[]) {
    super()
    this.choose = ({ excludedTargets }) =>
      addresses().find((address) => !excludedTargets.includes(address)) ?? {
        code: 'no_target',
        message: 'every target is excluded',
      }
  }

  override acquire(request: PermitRequest, signal: AbortSignal): Promise<Result<Permit, PermitRefusal>> {
    this.requests.push(request)
    if (signal.aborted) return Promise.resolve(Result.err({ code: 'cancelled', message: 'cancelled' }))
    const chosen = this.choose(request)
    if (typeof chosen !== 'string') return Promise.resolve(Result.err(chosen))
    this.#permits += 1
    this.outstanding += 1
    return Promise.resolve(
      Result.ok({
        permitId: `p${String(this.#permits)}`,
        cellId: 'a',
        term: Term.of({ epoch: 1, ballot: 1, hostSequence: 1 }),
        target: chosen,
        address: chosen,
        sendWithinMs: this.sendWithinMs,
        hedgeAfterMs: this.hedgeAfterMs,
      }),
    )
  }

  override release(permit: Permit, report: PermitReport): void {
    this.outstanding -= 1
    this.released.push({ permit, report })
  }

  get outcomes(): string[] {
    return this.released.map(({ report }) => report.outcome)
  }
}

/** A ledger in memory, which the hosts of a test can share. */
export class FakeLedger extends RequestLedgerPort {
  readonly rows = new Map<
    string,
    { hash: string; state: 'started' | 'done' | 'notRun'; answer?: LedgerResponse }
  >()
  available = true
  #attempts = 0

  override begin({ service, key, requestHash }: LedgerRequest): Promise<LedgerBeginResult> {
    if (!this.available) return Promise.resolve({ kind: 'unavailable' })
    const row = this.rows.get(`${service}/${key}`)
    if (row !== undefined && row.hash !== requestHash) return Promise.resolve({ kind: 'keyReused' })
    if (row?.state === 'done' && row.answer !== undefined)
      return Promise.resolve({ kind: 'done', ...row.answer })
    if (row?.state === 'started') return Promise.resolve({ kind: 'unknownOutcome' })
    this.rows.set(`${service}/${key}`, { hash: requestHash, state: 'started' })
    this.#attempts += 1
    return Promise.resolve({ kind: 'started', attemptId: String(this.#attempts) })
  }

  override finish({ service, key }: LedgerAttempt, response: LedgerResponse): Promise<void> {
    this.#change(`${service}/${key}`, 'done', response)
    return Promise.resolve()
  }

  override markNotRun({ service, key }: LedgerAttempt): Promise<void> {
    this.#change(`${service}/${key}`, 'notRun')
    return Promise.resolve()
  }

  #change(row: string, state: 'done' | 'notRun', response?: LedgerResponse): void {
    const existing = this.rows.get(row)
    if (existing !== undefined) this.rows.set(row, { ...existing, state, answer: response })
  }
}

export class RecordingMetrics extends ProxyMetrics {
  readonly requests: RequestRecord[] = []
  readonly attempts: AttemptRecord[] = []
  readonly events: ConnectionEvent[] = []
  override requestEnded = (record: RequestRecord): unknown => this.requests.push(record)
  override attemptEnded = (record: AttemptRecord): unknown => this.attempts.push(record)
  override connectionClosed = (_address: string, event: ConnectionEvent): unknown => this.events.push(event)
}

export const service = (overrides: Partial<ServiceSpec> = {}): ServiceSpec => ({
  name: 'notes',
  pathPrefix: '/notes',
  verifiesGrants: true,
  slots: 6,
  connections: 120,
  idempotentMethods: ['GET', 'HEAD', 'PUT', 'DELETE'],
  routes: [],
  idempotencyKey: 'required',
  requestTimeoutMs: 2000,
  stallTimeoutMs: 300,
  callerStallTimeoutMs: 300,
  maxRequestBodyBytes: 1_000_000,
  retryBudget: 0.02,
  hedgeBudget: 0.03,
  crashLimit: 2,
  ...overrides,
})

export const peer = (domain: string, overrides: Partial<Peer> = {}): Peer => ({
  hostId: `host-${domain}`,
  name: domain,
  domain,
  region: 'r',
  peerAddress: '',
  forwardAddress: '',
  leaving: false,
  ...overrides,
})

const doNothing = (): undefined => undefined

export class FakeDirectory extends PeerDirectory {
  peerList: Peer[] = []
  cellList: KnownCell[] = []
  settings: Configuration
  readonly #self: Peer

  constructor(self: Peer, settings: Configuration) {
    super()
    this.#self = self
    this.settings = settings
  }
  override self = (): Peer => this.#self
  override peers(domain?: string): readonly Peer[] {
    return this.peerList.filter((known) => domain === undefined || known.domain === domain)
  }
  override cells = (): readonly KnownCell[] => this.cellList
  override configuration = (): Configuration => this.settings
  override onConfiguration = (): (() => void) => doNothing
  override coordinator = doNothing
  override onCoordinator = (): (() => void) => doNothing
  override announce = doNothing
  override offerCell = doNothing
}

/** A cell that is the home cell of all shards of the given services. */
export const cell = (cellId: string, shardCounts: Record<string, number>, epoch = 1): KnownCell => {
  const homes = Object.entries(shardCounts).map(([name, shardCount]) => [
    name,
    { shardCount, shards: ShardSet.all(shardCount).toBase64() },
  ])
  const record: CellRecord = {
    epoch,
    voters: { kind: 'target', ids: [] },
    homes: Object.fromEntries(homes) as CellRecord['homes'],
    leaving: [],
  }
  return { cellId, record }
}

export interface TestResponse {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: string
  /** False when the connection ended in the middle of the response. */
  readonly isComplete: boolean
  readonly outcome: string | undefined
  readonly code: string | undefined
}

export interface SendOptions {
  readonly method?: string
  readonly path?: string
  readonly headers?: Record<string, string>
  readonly body?: string | Buffer
  readonly agent?: Agent
}

const codeOf = (body: string): string | undefined => {
  try {
    return (JSON.parse(body) as { code?: string }).code
  } catch {
    return undefined
  }
}

/** Sends one request; resolves to undefined when the connection ended before any response. */
export const send = (
  address: string,
  { method = 'GET', path = '/notes/1', headers = {}, body, agent }: SendOptions = {},
): Promise<TestResponse | undefined> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':')
    const request = httpRequest({ host, port, method, path, headers, agent: agent ?? false })
    request.on('error', () => {
      resolve(undefined)
    })
    request.on('response', (response) => {
      const chunks: Buffer[] = []
      response.on('error', () => undefined)
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('close', () => {
        const text = Buffer.concat(chunks).toString()
        const outcome = response.headers['pimentotally-outcome'] as string | undefined
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: text,
          isComplete: response.complete,
          outcome,
          code: outcome === undefined ? undefined : codeOf(text),
        })
      })
    })
    request.end(body)
  })

/** Polls a condition that events of sockets make true; throws after about 5 s. */
export const until = async (condition: () => boolean, what: string): Promise<void> => {
  for (let tries = 0; !condition(); tries += 1) {
    if (tries > 1000) throw new Error(`still waiting for ${what}`)
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}

/** Writes bytes as they are; resolves to all that was received when the connection closes. */
export const sendRaw = (address: string, bytes: string): Promise<string> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':')
    const socket = connect(Number(port), host)
    let text = ''
    socket.on('data', (chunk) => (text += chunk.toString()))
    socket
      .on('error', () => undefined)
      .on('close', () => {
        resolve(text)
      })
    socket.write(bytes)
  })

/** A non-idempotent request with an idempotency key; the tests call such a request a booking. */
export const booking = (key: string, body = 'seat 4'): SendOptions => ({
  method: 'POST',
  path: '/notes/book',
  headers: { 'idempotency-key': key },
  body,
})
