/**
 * Stand-in of an upstream of a service that is divided by key: takes grants and releases, runs a request only
 * while it holds the request's key, and answers a release when the work on its keys has ended. It can hand out
 * a second copy of an answer, late, where the next answer on the same connection is expected.
 */
import { createServer } from 'node:http'
import { heartbeatMs } from './upstream.mjs'

const overlaps = (a, b) => a.from <= b.to && b.from <= a.to

const without = (hold, { from, to }) => {
  if (!overlaps(hold, { from, to })) return [hold]
  const parts = []
  if (hold.from < from) parts.push({ ...hold, to: from - 1 })
  if (hold.to > to) parts.push({ ...hold, from: to + 1 })
  return parts
}

export class KeyedUpstream {
  holds = []
  /** Highest fences seen, by range. */
  fences = []
  /** Work in progress: key, id and start of each. */
  running = new Set()
  state = 'ready'
  grants = 0
  releases = 0
  /** Called for each grant that is taken, before anything else happens. */
  onGrant = () => undefined
  /** Whether an answer gets a second copy, late. */
  copies = () => false
  copied = 0
  #waiting = []
  #sequence = 0
  #closed = false
  #copyOf = new WeakMap()

  static async start({ store, id, service, zone, slots = 6, queue = 24, workMs }) {
    const upstream = new KeyedUpstream()
    Object.assign(upstream, { store, id, service, zone, slots, queue, workMs, born: Date.now() })
    upstream.server = createServer({ keepAliveTimeout: 10_000, noDelay: true }, (request, response) => {
      const copy = upstream.#copyOf.get(request.socket)
      if (copy !== undefined) {
        upstream.#copyOf.delete(request.socket)
        upstream.copied += 1
        request.socket.write(copy.bytes)
        upstream.onCopy?.(copy.path, request.url)
      }
      const chunks = []
      request.on('error', () => undefined)
      response.on('error', () => undefined)
      request.on('data', (chunk) => chunks.push(chunk))
      request.on('end', () => upstream.#handle(request, response, Buffer.concat(chunks).toString()))
    })
    await new Promise((resolve) => upstream.server.listen(0, '127.0.0.1', resolve))
    upstream.address = `127.0.0.1:${upstream.server.address().port}`
    upstream.#beat()
    upstream.timer = setInterval(() => upstream.#beat(), heartbeatMs)
    return upstream
  }

  #beat() {
    if (this.#closed) return
    this.#sequence += 1
    const { address, service, zone, slots, state, born } = this
    this.store.write('servers', this.id, {
      address,
      born,
      info: { service, version: 'v1', zone, slots },
      status: { state, sequence: this.#sequence, coldRemaining: '0ms' },
    })
  }

  exit() {
    if (this.#closed) return
    this.#closed = true
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** When the hold of a key runs out; 0 for a key that is not held. */
  heldUntilMs(key) {
    const hold = this.holds.find(({ from, to }) => from <= key && key <= to)
    return hold === undefined ? 0 : hold.untilMs
  }

  #handle(request, response, body) {
    if (request.url === '/grant') this.#grant(JSON.parse(body), request, response)
    else if (request.url === '/release') this.#release(JSON.parse(body), request, response)
    else if (request.url === '/healthz')
      this.#answer(request, response, 200, { 'X-Instance-Id': this.id }, '')
    else this.#serve(request, response)
  }

  #grant({ rangeStart: from, target: to, fence, hold_time: holdTime, handover }, request, response) {
    const nowMs = performance.now()
    if (this.fences.some((seen) => overlaps(seen, { from, to }) && seen.fence > fence)) {
      this.#answer(request, response, 409, {}, '')
      return
    }
    this.grants += 1
    this.onGrant({ from, to, fence, nowMs, handover })
    this.#see(from, to, fence)
    const untilMs = nowMs + Number.parseFloat(holdTime)
    this.holds = [...this.holds.flatMap((hold) => without(hold, { from, to })), { from, to, fence, untilMs }]
    this.#answer(request, response, 200, {}, '')
  }

  #see(from, to, fence) {
    this.fences = [...this.fences.flatMap((seen) => without(seen, { from, to })), { from, to, fence }]
  }

  #release({ rangeStart: from, target: to, fence }, request, response) {
    this.releases += 1
    this.#see(from, to, fence)
    // The hold ends for new work; work in progress goes on and is bound by the time that the hold had left.
    for (const run of this.running) {
      if (from <= run.key && run.key <= to) run.heldUntilMs = this.heldUntilMs(run.key) || run.heldUntilMs
    }
    this.holds = this.holds.flatMap((hold) => without(hold, { from, to }))
    const left = [...this.running].filter(({ key }) => from <= key && key <= to)
    void Promise.all(left.map(({ ended }) => ended)).then(() =>
      this.#answer(request, response, 200, { 'X-Lease-Handover': `${this.id}-${from}-${fence}` }, ''),
    )
  }

  #serve(request, response) {
    const id = request.headers['x-request-id']
    const key = Number(request.headers['x-shard-key'])
    const refuse = (status) =>
      this.#answer(request, response, status, { 'X-Request-Id': id, 'X-Not-Executed': '1' }, '')
    if (request.headers['x-target-instance'] !== this.id) return refuse(421)
    if (this.running.size >= this.slots && this.#waiting.length >= this.queue) return refuse(503)
    const start = () => {
      if (response.destroyed) return this.#next()
      if (this.heldUntilMs(key) <= performance.now()) {
        refuse(421)
        return this.#next()
      }
      const run = { id, key, startedMs: performance.now(), heldUntilMs: this.heldUntilMs(key) }
      run.ended = new Promise((resolve) => {
        const end = () => {
          clearTimeout(timer)
          this.running.delete(run)
          resolve()
          this.#next()
        }
        const timer = setTimeout(() => {
          end()
          const headers = { 'X-Request-Id': id, 'X-Response-Signature': `sig.${id}` }
          this.#answer(request, response, 200, headers, `done ${id}`)
        }, this.workMs())
        // The server drops a request when its connection closes.
        response.once('close', () => this.running.has(run) && end())
      })
      this.running.add(run)
    }
    if (this.running.size < this.slots) start()
    else this.#waiting.push(start)
  }

  #next() {
    if (this.running.size < this.slots) this.#waiting.shift()?.()
  }

  #answer(request, response, status, headers, body) {
    if (response.destroyed || this.#closed) return
    const load = `${this.running.size},${this.#waiting.length},${this.slots},100`
    const echoed = request.headers['x-request-id']
    const fields = {
      ...(echoed === undefined ? {} : { 'X-Request-Id': echoed }),
      ...headers,
      'X-Instance-Load': load,
      'Content-Length': String(body.length),
    }
    if (this.copies(request)) {
      const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`)
      const bytes = `HTTP/1.1 ${status} OK\r\n${lines.join('')}\r\n${body}`
      this.#copyOf.set(request.socket, { bytes, path: request.url })
    }
    response.writeHead(status, fields).end(body)
  }
}
