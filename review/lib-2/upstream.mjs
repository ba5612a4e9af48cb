/**
 * A stand-in of an upstream without keys, as the users' pages describe it: it runs requests in slots with a queue,
 * answers with the signature and the request's id, and writes its entry into the store.
 */
import http from 'node:http'
import { createHash } from 'node:crypto'

export const signatureOf = (id, body) =>
  `sig.${createHash('sha1').update(`${id}\n`).update(body).digest('hex')}`

export class Upstream {
  /** Ids of the requests that ran, in the order of their start. */
  runs = []
  state = 'ready'
  #sequence = 0
  #running = 0
  #waiting = []
  #timer

  constructor({
    id,
    service,
    zone = 'kl-a',
    store,
    slots = 6,
    queue = 24,
    work,
    host = '127.0.0.1',
    born = Date.now(),
  }) {
    Object.assign(this, { id, service, zone, store, slots, queue, host, born })
    /** Takes the request, its body and the response; resolves when the answer is given. */
    this.work = work ?? (async (request, body, response) => this.answer(request, response, 200, 'done'))
    this.server = http.createServer(
      { keepAliveTimeout: 10_000, requestTimeout: 0, maxHeaderSize: 256 * 1024 },
      (request, response) => {
        this.#handle(request, response).catch(() => response.destroy())
      },
    )
    this.server.maxHeadersCount = 0
  }

  async listen(port = 0) {
    await new Promise((resolve) => this.server.listen(port, this.host, resolve))
    this.address = `${this.host}:${this.server.address().port}`
    this.beat()
    this.#timer = setInterval(() => this.beat(), 870)
  }

  beat() {
    this.#sequence += 1
    const { service, zone, slots, state } = this
    this.store.put('servers', this.id, {
      address: this.address,
      born: this.born,
      info: { service, version: 'v1', zone, slots },
      status: { state, sequence: this.#sequence, coldRemaining: '0ms' },
    })
  }

  close() {
    clearInterval(this.#timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  headers(request) {
    return {
      'x-request-id': request.headers['x-request-id'] ?? '',
      'x-instance-id': this.id,
      'x-instance-load': `${this.#running},${this.#waiting.length},${this.slots},100`,
    }
  }

  answer(request, response, status, body, more = {}) {
    const bytes = Buffer.from(body)
    response.writeHead(status, {
      ...this.headers(request),
      'x-response-signature': signatureOf(request.headers['x-request-id'], bytes),
      'content-length': bytes.length,
      ...more,
    })
    response.end(bytes)
  }

  async #handle(request, response) {
    request.on('error', () => undefined)
    response.on('error', () => undefined)
    if (request.url === '/healthz') {
      request.resume()
      response.writeHead(this.state === 'ready' ? 200 : 503, this.headers(request)).end()
      return
    }
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    if (
      request.headers['x-target-instance'] !== undefined &&
      request.headers['x-target-instance'] !== this.id
    ) {
      response.writeHead(421, { ...this.headers(request), 'x-not-executed': '1' }).end()
      return
    }
    if (this.#running >= this.slots && this.#waiting.length >= this.queue) {
      response.writeHead(503, { ...this.headers(request), 'x-not-executed': '1' }).end()
      return
    }
    if (this.#running >= this.slots) await new Promise((resolve) => this.#waiting.push(resolve))
    else this.#running += 1
    try {
      if (!response.destroyed) {
        this.runs.push(request.headers['x-request-id'])
        this.onRun?.(request, body)
        await this.work(request, body, response)
      }
    } finally {
      const next = this.#waiting.shift()
      if (next === undefined) this.#running -= 1
      else next()
    }
  }
}

/** A configuration as the operator writes it. */
export const configuration = ({ version = 1, services, routes, limits = {} }) => ({
  version,
  baseVersion: version - 1,
  services: services.map((service) => ({
    healthPath: '/healthz',
    maxConnections: 120,
    protocol: 'h1',
    tls: false,
    coldStart: '3s',
    coldPerS: 12.0,
    ...service,
  })),
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 67108864,
    headerTimeout: '3000ms',
    idleTimeout: '15000ms',
    ...limits,
  },
  virtualHosts: [{ hostname: 'hulo84.example', paths: routes }],
})
