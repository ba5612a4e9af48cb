/**
 * The stand-in platform: serves the table, the object store and the host list over HTTP. An admin listener sets faults
 * at run time and reports how often keys were read and written, by key prefix.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Random } from '@pimentotally/core'
import {
  MemoryHostList,
  MemoryObjectStore,
  MemoryTable,
  RandomFaults,
  type Fault,
  type FaultPolicy,
  type HostListEntry,
  type PlatformCall,
  type PlatformResult,
  type ScanOptions,
  type Transaction,
} from '@pimentotally/storage'

export interface PlatformServerOptions {
  readonly host?: string
  readonly port?: number
  readonly adminPort?: number
  readonly seed?: number
  readonly hosts?: readonly HostListEntry[]
}

/** Body of `POST /faults` at the admin listener; fields that are left out keep their value. */
export interface PlatformFaults extends FaultPolicy {
  readonly hostListLagMs: number
  /** How a response is lost: the connection is closed (`cut`), or it stays open and carries no byte (`silent`). */
  readonly lostAnswers: 'cut' | 'silent'
}

export type PlatformCounters = Record<string, { reads: number; writes: number }>

/**
 * Counts the keys that calls name, by the first part of the key, whether or not a fault follows. Calls without keys are
 * counted under `hosts`.
 */
class CountingFaults extends RandomFaults {
  counters: PlatformCounters = {}

  override next(call: PlatformCall): Fault {
    const prefixes = call.keys.length === 0 ? ['hosts'] : call.keys.map((key) => key.split('/', 1)[0] ?? '')
    for (const prefix of prefixes) {
      const counter = (this.counters[prefix] ??= { reads: 0, writes: 0 })
      counter[call.kind === 'read' ? 'reads' : 'writes'] += 1
    }
    return super.next(call)
  }
}

/** Larger request bodies are refused. */
const maxBodyBytes = 64 * 1024 * 1024

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request) {
    chunks.push(chunk as Buffer)
    length += (chunk as Buffer).length
    if (length > maxBodyBytes) throw new Error('request body is larger than 64 MiB')
  }
  return Buffer.concat(chunks)
}

const readJson = async <T>(request: IncomingMessage): Promise<T> =>
  JSON.parse((await readBody(request)).toString('utf8')) as T

const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  const body = JSON.stringify(value)
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  })
  response.end(body)
}

const listen = async (server: Server, host: string, port: number): Promise<string> => {
  // The client closes idle connections. If the server did, a write could be sent just as its connection closes.
  server.keepAliveTimeout = 0
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return `${host}:${String((server.address() as AddressInfo).port)}`
}

export class PlatformServer {
  readonly table: MemoryTable
  readonly objects: MemoryObjectStore
  readonly hosts: MemoryHostList
  readonly #faults: CountingFaults
  #lostAnswers: PlatformFaults['lostAnswers'] = 'cut'
  readonly #server: Server
  readonly #admin: Server
  #address = ''
  #adminAddress = ''

  private constructor({ seed = 1, hosts = [] }: PlatformServerOptions) {
    this.#faults = new CountingFaults(new Random(seed))
    // A delayed call is ended only by the timeout of the client, and may still take effect after it.
    const memory = { faults: this.#faults, timeoutMs: Infinity }
    this.table = new MemoryTable(memory)
    this.objects = new MemoryObjectStore(memory)
    this.hosts = new MemoryHostList({ ...memory, hosts })
    this.#server = createServer((request, response) => {
      this.#handle(response, () => this.#servePlatform(request, response))
    })
    this.#admin = createServer((request, response) => {
      this.#handle(response, () => this.#serveAdmin(request, response))
    })
  }

  /** Starts to listen. Port 0 takes a free port. Rejects when an address cannot be bound. */
  static async start(options: PlatformServerOptions = {}): Promise<PlatformServer> {
    const { host = '127.0.0.1', port = 0, adminPort = 0 } = options
    const server = new PlatformServer(options)
    server.#address = await listen(server.#server, host, port)
    server.#adminAddress = await listen(server.#admin, host, adminPort)
    return server
  }

  /** IP address and port. */
  get address(): string {
    return this.#address
  }

  get adminAddress(): string {
    return this.#adminAddress
  }

  get counters(): PlatformCounters {
    return this.#faults.counters
  }

  setFaults({ hostListLagMs, lostAnswers, ...policy }: Partial<PlatformFaults>): void {
    this.#faults.policy = { ...this.#faults.policy, ...policy }
    this.hosts.lagMs = hostListLagMs ?? this.hosts.lagMs
    this.#lostAnswers = lostAnswers ?? this.#lostAnswers
  }

  async close(): Promise<void> {
    const closed = [this.#server, this.#admin].map(
      (server) =>
        new Promise<void>((resolve) =>
          server.close(() => {
            resolve()
          }),
        ),
    )
    this.#server.closeAllConnections()
    this.#admin.closeAllConnections()
    await Promise.all(closed)
  }

  #handle(response: ServerResponse, serve: () => Promise<void>): void {
    serve().catch((error: unknown) => {
      if (response.headersSent) response.destroy()
      else sendJson(response, 400, { message: error instanceof Error ? error.message : String(error) })
    })
  }

  async #servePlatform(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname } = new URL(request.url ?? '/', 'http://platform')
    const route = `${request.method ?? ''} ${pathname}`
    const name = decodeURIComponent(pathname.slice('/objects/'.length))
    if (route === 'POST /table/read') {
      const { key } = await readJson<{ key: string }>(request)
      this.#respond(response, await this.table.read(key), (row) => ({ row }))
    } else if (route === 'POST /table/scan') {
      const { prefix, ...options } = await readJson<{ prefix: string } & ScanOptions>(request)
      this.#respond(response, await this.table.scan(prefix, options), (rows) => ({ rows }))
    } else if (route === 'POST /table/transact') {
      this.#respond(response, await this.table.transact(await readJson<Transaction>(request)), (done) => done)
    } else if (route === 'GET /hosts') {
      this.#respond(response, await this.hosts.list(), (hosts) => ({ hosts }))
    } else if (pathname.startsWith('/objects/') && request.method === 'PUT') {
      this.#respond(response, await this.objects.put(name, await readBody(request)), () => ({}))
    } else if (pathname.startsWith('/objects/') && request.method === 'GET') {
      const result = await this.objects.get(name)
      if (result.isOk && result.value !== undefined) response.end(result.value)
      else if (result.isOk) sendJson(response, 404, { message: `no object ${name}` })
      else this.#respond(response, result, () => ({}))
    } else {
      sendJson(response, 404, { message: `no route ${route}` })
    }
  }

  #respond<T>(response: ServerResponse, result: PlatformResult<T>, body: (value: T) => unknown): void {
    if (result.isOk) {
      sendJson(response, 200, body(result.value))
      return
    }
    const { error } = result
    if (error.code === 'conflict') sendJson(response, 409, error)
    else if (error.code === 'unavailable') sendJson(response, 503, error)
    else if (this.#lostAnswers === 'cut') response.destroy()
  }

  async #serveAdmin(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const route = `${request.method ?? ''} ${request.url ?? ''}`
    if (route === 'GET /faults') {
      const faults = {
        ...this.#faults.policy,
        hostListLagMs: this.hosts.lagMs,
        lostAnswers: this.#lostAnswers,
      }
      sendJson(response, 200, faults)
    } else if (route === 'POST /faults') {
      this.setFaults(await readJson<Partial<PlatformFaults>>(request))
      sendJson(response, 200, {})
    } else if (route === 'GET /counters') {
      sendJson(response, 200, this.counters)
    } else if (route === 'DELETE /counters') {
      this.#faults.counters = {}
      sendJson(response, 200, {})
    } else if (route === 'PUT /hosts') {
      this.hosts.replace(await readJson<readonly HostListEntry[]>(request))
      sendJson(response, 200, {})
    } else {
      sendJson(response, 404, { message: `no route ${route}` })
    }
  }
}
