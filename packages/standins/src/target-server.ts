/**
 * A stand-in for a server behind the router. It runs at most `slots` requests at once and refuses others, is slow while
 * it is cold, and can fail in the ways that the router must cope with. An admin listener changes this behaviour at run
 * time and returns the record of what the target has seen.
 */
import { randomBytes } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Cancel, Clock, Random } from '@pimentotally/core'
import {
  AcceptingGrantChecker,
  type GrantChecker,
  type TargetBehaviour,
  type TargetRecord,
} from './target-settings.js'

export interface TargetServerOptions {
  readonly name: string
  readonly service: string
  readonly clock: Clock
  readonly random: Random
  readonly host?: string
  readonly port?: number
  readonly adminPort?: number
  readonly connections?: number
  readonly coldMs?: number
  readonly behaviour?: Partial<TargetBehaviour>
  /** Creates the checker of grants, given the id of this instance; by default one that accepts every request. */
  readonly createGrantChecker?: (instanceId: string) => GrantChecker
  /** Called with the identity of each run when it starts, for a record that outlives the process. */
  readonly onRun?: (identity: string) => void
  /** Called for a request with the header `x-crash: 1`. */
  readonly onCrash?: () => void
}

interface RunningRequest {
  end: (status: number, body: string) => void
}

const header = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks)
}

const parseJson = (bytes: Buffer): unknown => {
  try {
    return JSON.parse(bytes.toString())
  } catch {
    return undefined
  }
}

const listen = (server: Server, port: number, host: string): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      const bound = server.address() as AddressInfo
      resolve(`${bound.address}:${String(bound.port)}`)
    })
  })

const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
}

export class TargetServer {
  readonly behaviour: TargetBehaviour
  readonly instanceId = randomBytes(6).toString('hex')
  readonly #options: TargetServerOptions
  readonly #grantChecker: GrantChecker
  readonly #running = new Map<string, RunningRequest>()
  readonly #sockets = new Set<Socket>()
  readonly #silenced = new WeakSet<Socket>()
  readonly #server: Server
  readonly #admin: Server
  readonly #loadHistory: { atMs: number; inFlight: number }[] = []
  readonly #startedAtMs: number
  #coldUntilMs: number
  #requestsInWork = 0
  #previousRequestId = 'none'
  #record: TargetRecord

  constructor(options: TargetServerOptions) {
    this.#options = options
    const {
      clock,
      createGrantChecker = (id) => new AcceptingGrantChecker(clock, id),
      connections,
      coldMs = 0,
    } = options
    this.behaviour = {
      slots: 6,
      serviceTime: { kind: 'fixed', ms: 1 },
      coldSlots: 1,
      coldFactor: 4,
      stragglerFactor: 1,
      loadLagMs: 0,
      loadFactor: 1,
      draining: false,
      stallBody: 0,
      truncateBody: 0,
      crossAnswer: 0,
      unsolicitedBytes: 0,
      ...options.behaviour,
    }
    this.#grantChecker = createGrantChecker(this.instanceId)
    this.#startedAtMs = clock.monotonicMs()
    this.#coldUntilMs = this.#startedAtMs + coldMs
    this.#record = this.#emptyRecord()
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.#handleRequest(request, response)
    })
    if (connections !== undefined) this.#server.maxConnections = connections
    this.#server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket)
      this.#record.mostConnections = Math.max(this.#record.mostConnections, this.#sockets.size)
      socket.on('error', () => undefined).on('close', () => this.#sockets.delete(socket))
    })
    this.#admin = createServer((request, response) => {
      void this.#handleAdmin(request, response)
    })
  }

  get inFlight(): number {
    return this.#running.size
  }

  get record(): TargetRecord {
    return this.#record
  }

  async listen(): Promise<{ address: string; adminAddress: string }> {
    const { host = '127.0.0.1', port = 0, adminPort = 0 } = this.#options
    return {
      address: await listen(this.#server, port, host),
      adminAddress: await listen(this.#admin, adminPort, host),
    }
  }

  close(): void {
    for (const server of [this.#server, this.#admin]) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Makes the target cold for `durationMs`, as when its caches have become invalid. */
  turnCold(durationMs: number): void {
    this.#coldUntilMs = this.#options.clock.monotonicMs() + durationMs
  }

  /** Answers no more requests on the connections that are open now, and leaves them open. New connections work. */
  silence(): void {
    for (const socket of this.#sockets) this.#silenced.add(socket)
  }

  #emptyRecord(): TargetRecord {
    return {
      instanceId: this.instanceId,
      runs: {},
      mostAtOnce: 0,
      mostRunning: 0,
      mostConnections: 0,
      refusals: {},
      cancelled: 0,
      fences: {},
    }
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => undefined)
    request.on('error', () => undefined)
    if (this.#silenced.has(request.socket)) return
    const route = `${request.method ?? ''} ${request.url ?? ''}`
    const cancel = /^DELETE \/requests\/(.+)$/.exec(route)
    if (cancel !== null) this.#cancel(decodeURIComponent(cancel[1] ?? ''), response)
    else if (route === 'GET /health') sendJson(response, 200, this.#health())
    else if (route === 'GET /load') sendJson(response, 200, this.#load())
    else if (route === 'POST /drain') {
      this.behaviour.draining = true
      sendJson(response, 200, { inFlight: this.inFlight })
    } else if (route === 'POST /grants') {
      void readBody(request).then((bytes) => {
        sendJson(response, 200, this.#grantChecker.handle(parseJson(bytes), this.inFlight))
      })
    } else void this.#serve(request, response).catch(() => response.destroy())
  }

  #cancel(id: string, response: ServerResponse): void {
    const running = this.#running.get(id)
    if (running !== undefined) {
      this.#record.cancelled += 1
      running.end(499, 'cancelled')
    }
    sendJson(response, running === undefined ? 404 : 200, {})
  }

  #health(): { ok: boolean; draining: boolean; instanceId: string; uptimeMs: number } {
    const uptimeMs = this.#options.clock.monotonicMs() - this.#startedAtMs
    return { ok: true, draining: this.behaviour.draining, instanceId: this.instanceId, uptimeMs }
  }

  #load(): { inFlight: number; queued: number; reportAgeMs: number } {
    const { clock } = this.#options
    const { loadLagMs, loadFactor } = this.behaviour
    const atMs = clock.monotonicMs() - loadLagMs
    const shown = this.#loadHistory.findLast((load) => load.atMs <= atMs)?.inFlight ?? 0
    return { inFlight: Math.round(shown * loadFactor), queued: 0, reportAgeMs: loadLagMs }
  }

  #recordLoad(): void {
    this.#loadHistory.push({ atMs: this.#options.clock.monotonicMs(), inFlight: this.inFlight })
    if (this.#loadHistory.length > 10_000) this.#loadHistory.splice(0, 5000)
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await readBody(request)
    this.#requestsInWork += 1
    this.#record.mostAtOnce = Math.max(this.#record.mostAtOnce, this.#requestsInWork)
    response.once('close', () => (this.#requestsInWork -= 1))
    const reason = this.#refusal(request)
    if (reason !== undefined) {
      this.#record.refusals[reason] = (this.#record.refusals[reason] ?? 0) + 1
      const id = header(request, 'pimentotally-request-id') ?? ''
      response.writeHead(503, {
        'pimentotally-request-id': id,
        'pimentotally-target-refused': 'true',
        'content-type': 'application/json',
      })
      response.end(JSON.stringify({ reason }))
      return
    }
    this.#start(request, response)
  }

  /** The reason for which a request is refused at the moment it would start; undefined when it may start. */
  #refusal(request: IncomingMessage): string | undefined {
    if (this.behaviour.draining) return 'draining'
    const shard = header(request, 'pimentotally-shard')
    const checked = this.#grantChecker.check({
      service: header(request, 'pimentotally-service') ?? this.#options.service,
      shard: shard === undefined ? undefined : Number(shard),
      keyHash: header(request, 'pimentotally-key-hash'),
      fence: header(request, 'pimentotally-fence'),
      term: header(request, 'pimentotally-term'),
    })
    if (!checked.ok) return checked.reason
    return this.#running.size >= this.behaviour.slots ? 'no_slot' : undefined
  }

  #start(request: IncomingMessage, response: ServerResponse): void {
    const { clock, onRun, onCrash } = this.#options
    const record = this.#record
    const id = header(request, 'pimentotally-request-id') ?? randomBytes(6).toString('hex')
    const identity = header(request, 'idempotency-key') ?? header(request, 'x-request-identity') ?? ''
    record.runs[identity] = (record.runs[identity] ?? 0) + 1
    onRun?.(identity)
    this.#recordFence(request)
    if (header(request, 'x-crash') === '1') {
      onCrash?.()
      return
    }
    let stop: Cancel = () => undefined
    const end = (status: number, body: string): void => {
      if (!this.#running.delete(id)) return
      stop()
      this.#recordLoad()
      this.#respond(request, response, id, status, body)
    }
    this.#running.set(id, { end })
    record.mostRunning = Math.max(record.mostRunning, this.#running.size)
    this.#recordLoad()
    const cold = clock.monotonicMs() < this.#coldUntilMs
    if (cold && this.#running.size > this.behaviour.coldSlots) {
      end(500, 'overloaded while cold')
      return
    }
    const factor = (cold ? this.behaviour.coldFactor : 1) * this.behaviour.stragglerFactor
    const deadlineMs = Number(header(request, 'pimentotally-deadline-ms') ?? Infinity)
    const serviceMs = this.#serviceMs() * factor
    const exceedsDeadline = serviceMs > deadlineMs
    stop = clock.schedule(Math.min(serviceMs, deadlineMs), () => {
      if (exceedsDeadline) end(504, 'deadline passed while running')
      else end(200, JSON.stringify({ target: this.#options.name, identity, url: request.url }))
    })
  }

  #serviceMs(): number {
    const { kind, ms } = this.behaviour.serviceTime
    const { random } = this.#options
    switch (kind) {
      case 'fixed':
        return ms
      case 'uniform':
        return 2 * ms * random.float()
      case 'exponential':
        return -Math.log(1 - random.float()) * ms
    }
  }

  #recordFence(request: IncomingMessage): void {
    const fence = header(request, 'pimentotally-fence')
    if (fence === undefined) return
    const key = header(request, 'x-key') ?? request.url?.split(/[/?]/)[2] ?? ''
    const seen = (this.#record.fences[key] ??= [])
    const last = seen.at(-1)
    const nowMs = this.#options.clock.wallMs()
    if (last?.fence === fence) last.lastMs = nowMs
    else seen.push({ fence, firstMs: nowMs, lastMs: nowMs })
  }

  #respond(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    status: number,
    text: string,
  ): void {
    if (this.#silenced.has(request.socket)) return
    const { random, clock } = this.#options
    const url = new URL(request.url ?? '/', 'http://target')
    const bytes = Number(url.searchParams.get('bytes') ?? 0)
    const large = url.pathname.endsWith('/big') && status === 200
    const occurs = (share: number): boolean => share > 0 && random.float() < share
    const echoed = occurs(this.behaviour.crossAnswer) ? this.#previousRequestId : id
    this.#previousRequestId = id
    const length = large ? bytes : Buffer.byteLength(text)
    response.writeHead(status, { 'pimentotally-request-id': echoed, 'content-length': length })
    const { socket } = response
    if (occurs(this.behaviour.stallBody)) response.write(text.slice(0, text.length / 2))
    else if (occurs(this.behaviour.truncateBody)) {
      response.write(text.slice(0, text.length / 2), () => socket?.destroy())
    } else if (large) this.#stream(response, bytes)
    else {
      response.end(text)
      if (occurs(this.behaviour.unsolicitedBytes)) {
        clock.schedule(1, () => socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate'))
      }
    }
  }

  #stream(response: ServerResponse, bytes: number): void {
    const block = Buffer.alloc(65_536, 'x')
    let remainingBytes = bytes
    const more = (): void => {
      while (remainingBytes > 0) {
        const chunk = remainingBytes < block.length ? block.subarray(0, remainingBytes) : block
        remainingBytes -= chunk.length
        if (!response.write(chunk)) {
          response.once('drain', more)
          return
        }
      }
      response.end()
    }
    more()
  }

  async #handleAdmin(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (parseJson(await readBody(request)) ?? {}) as Record<string, unknown>
    switch (`${request.method ?? ''} ${request.url ?? ''}`) {
      case 'GET /record':
        sendJson(response, 200, this.#record)
        break
      case 'DELETE /record':
        this.#record = this.#emptyRecord()
        sendJson(response, 200, {})
        break
      case 'POST /behaviour':
        Object.assign(this.behaviour, body)
        sendJson(response, 200, this.behaviour)
        break
      case 'POST /cold':
        this.turnCold(Number(body.durationMs ?? 1000))
        sendJson(response, 200, {})
        break
      case 'POST /silence':
        this.silence()
        sendJson(response, 200, {})
        break
      default:
        sendJson(response, 404, { code: 'not_found' })
    }
  }
}
