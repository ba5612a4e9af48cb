/**
 * Stand-in of an upstream: runs requests in slots with a short queue, keeps its entry in the store up to date,
 * and records what arrived, what ran and what it answered. It closes like a sound server: it accepts nothing
 * new, and its process ends with the requests that it still has.
 */
import { createServer } from 'node:http'

export const heartbeatMs = 870
const idleCloseMs = 10_000
/** An entry is removed after three heartbeat intervals of silence. */
export const leaseMs = 3 * heartbeatMs

export class Upstream {
  /** Requests of clients that arrived: id, when, and whether they ran. */
  arrivals = []
  /** The ids of requests whose answer was spoiled. */
  spoiled = new Set()
  /** Returns the bytes of a spoiled answer instead of the sound ones, or undefined to answer soundly. */
  spoil = () => undefined
  state = 'ready'
  #running = 0
  #waiting = []
  #sequence = 0
  #closed = false

  static async start({ store, id, service, zone, host = '127.0.0.1', slots = 6, queue = 24, workMs = 60 }) {
    const upstream = new Upstream()
    Object.assign(upstream, { store, id, service, zone, slots, queue, workMs, born: Date.now() })
    upstream.server = createServer({ keepAliveTimeout: idleCloseMs, noDelay: true }, (request, response) => {
      const chunks = []
      request.on('error', () => undefined)
      response.on('error', () => undefined)
      request.on('data', (chunk) => chunks.push(chunk))
      request.on('end', () => upstream.#handle(request, response))
    })
    await new Promise((resolve) => upstream.server.listen(0, host, resolve))
    upstream.address = `${host}:${upstream.server.address().port}`
    upstream.#beat()
    upstream.timer = setInterval(() => upstream.#beat(), heartbeatMs)
    return upstream
  }

  #beat() {
    if (this.store.isSilent || this.#closed) return
    this.#sequence += 1
    const { address, service, zone, slots, state, born } = this
    this.store.write('servers', this.id, {
      address,
      born,
      info: { service, version: 'v1', zone, slots },
      status: { state, sequence: this.#sequence, coldRemaining: '0ms' },
    })
  }

  /**
   * Leaves as planned, as one that never reports `draining`: it says so in all answers, its entry is removed
   * (by itself, or when its lease has run out if the store is down), and it ends `servingMs` after that.
   */
  async leave(servingMs) {
    this.state = 'leaving'
    clearInterval(this.timer)
    if (this.store.isSilent) await new Promise((resolve) => setTimeout(resolve, leaseMs))
    this.store.write('servers', this.id, undefined)
    setTimeout(() => this.exit(), servingMs)
  }

  /** The store has dropped the entry, because it was down and the lease has run out. */
  lapse() {
    this.store.write('servers', this.id, undefined)
  }

  /** Ends the process: open connections are closed with what is still at work on them. */
  exit() {
    if (this.#closed) return
    this.#closed = true
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  #leaving() {
    return this.state === 'ready' ? {} : { 'Server-Leaving': '1' }
  }

  #load() {
    return `${this.#running},${this.#waiting.length},${this.slots},100`
  }

  #handle(request, response) {
    const id = request.headers['x-request-id']
    if (request.url === '/healthz') {
      const status = this.state === 'ready' ? 200 : 503
      response.writeHead(status, { 'X-Instance-Id': this.id, 'X-Instance-Load': this.#load() }).end()
      return
    }
    const record = { id, atMs: performance.now(), ran: false, answered: undefined }
    this.arrivals.push(record)
    if (request.headers['x-target-instance'] !== this.id) return this.#refuse(response, id, record, 421)
    if (this.#running >= this.slots && this.#waiting.length >= this.queue)
      return this.#refuse(response, id, record, 503)
    const run = () => {
      if (response.destroyed) return this.#next()
      this.#running += 1
      record.ran = true
      setTimeout(() => {
        this.#running -= 1
        this.#answer(response, id, record)
        this.#next()
      }, this.workMs)
    }
    if (this.#running < this.slots) run()
    else this.#waiting.push(run)
  }

  #next() {
    if (this.#running < this.slots) this.#waiting.shift()?.()
  }

  #refuse(response, id, record, status) {
    record.answered = status
    response
      .writeHead(status, {
        'X-Request-Id': id,
        'X-Instance-Id': this.id,
        'X-Not-Executed': '1',
        'X-Instance-Load': this.#load(),
        ...this.#leaving(),
      })
      .end()
  }

  #answer(response, id, record) {
    if (response.destroyed || this.#closed) return
    const body = `done ${id}`
    const fields = {
      'X-Request-Id': id,
      'X-Instance-Id': this.id,
      'X-Response-Signature': `sig.${id}`,
      'X-Instance-Load': this.#load(),
      'Content-Length': String(body.length),
      ...this.#leaving(),
    }
    const spoilt = this.spoil({ id, fields, body })
    if (spoilt !== undefined) {
      this.spoiled.add(id)
      record.answered = 'spoiled'
      response.socket?.write(Buffer.from(spoilt, 'latin1'))
      return
    }
    record.answered = 200
    response.writeHead(200, fields).end(body)
  }
}
