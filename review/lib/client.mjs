/**
 * Stand-in of clients behind the platform's balancer: it asks each daemon once a second whether it is ready,
 * takes it out after two misses, and sends each request on a new connection to a daemon that is in.
 */
import { connect } from 'node:net'
import { sleep } from './system.mjs'

let lastId = 0
export const newId = () => `${process.pid.toString(16)}${(lastId += 1).toString(16).padStart(8, '0')}`

export class Balancer {
  #out = new Map()
  #stopped = false

  constructor(daemons) {
    this.daemons = daemons
    for (const daemon of daemons) void this.#check(daemon)
  }

  async #check(daemon) {
    let misses = 0
    while (!this.#stopped) {
      misses = (await daemon.isReady()) ? 0 : misses + 1
      this.#out.set(daemon, misses >= 2)
      await sleep(1000)
    }
  }

  isIn(daemon) {
    return this.#out.get(daemon) !== true
  }

  pick(zone) {
    const inRotation = this.daemons.filter((daemon) => this.isIn(daemon))
    const own = inRotation.filter((daemon) => daemon.zone === zone)
    const from = own.length > 0 ? own : inRotation.length > 0 ? inRotation : this.daemons
    return from[Math.floor(Math.random() * from.length)]
  }

  stop() {
    this.#stopped = true
  }
}

/**
 * Sends one request on a connection of its own and returns what was seen: `status` with the header fields and
 * the body, or `status` 0 where the connection ended without a complete answer, or `refused` where it could
 * not be opened. The client leaves after `deadlineMs` and a second.
 */
export const send = (daemon, { method = 'GET', path, id, deadlineMs, body, key }) =>
  new Promise((resolve) => {
    const startedMs = performance.now()
    const seen = { id, path, daemon: daemon.name, startedMs, status: 0, headers: {}, body: '' }
    let bytes = Buffer.alloc(0)
    const socket = connect({ host: daemon.host, port: daemon.ports.front })
    const end = (fields) => {
      clearTimeout(timer)
      socket.destroy()
      resolve({ ...seen, ...fields, tookMs: performance.now() - startedMs })
    }
    const timer = setTimeout(() => end({ outcome: 'no answer' }), deadlineMs + 1000)
    socket.once('connect', () => {
      seen.connected = true
      const fields = [
        `${method} ${path} HTTP/1.1`,
        'Host: shop.example',
        `X-Request-Id: ${id}`,
        `X-Deadline-Ms: ${deadlineMs}`,
        'Connection: keep-alive',
        ...(key === undefined ? [] : [`X-Shard-Key: ${key}`]),
        ...(body === undefined ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
      ]
      socket.write(`${fields.join('\r\n')}\r\n\r\n${body ?? ''}`)
    })
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk])
      const headEnd = bytes.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const [first, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n')
      const headers = Object.fromEntries(
        lines.map((line) => {
          const colon = line.indexOf(':')
          return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
        }),
      )
      const length = Number(headers['content-length'] ?? 0)
      if (bytes.length < headEnd + 4 + length) return
      const text = bytes.subarray(headEnd + 4, headEnd + 4 + length).toString('latin1')
      end({ outcome: 'answered', status: Number(first.split(' ')[1]), headers, body: text })
    })
    socket.once('error', () => end({ outcome: seen.connected ? 'closed' : 'refused' }))
    socket.once('close', () => end({ outcome: seen.connected ? 'closed' : 'refused' }))
  })
