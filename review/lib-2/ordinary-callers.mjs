/**
 * Ordinary callers: each sends one unsafe request after the other on a kept connection, and notes which of them the
 * upstreams began to run and the daemon closed the connection of without an answer.
 */
import http from 'node:http'
import { sleep } from './stand-ins.mjs'

export class OrdinaryCallers {
  answered = 0
  /** Ids of requests that had reached an upstream when their connection closed without an answer. */
  cut = []
  /** Number of requests by status, or by what became of them. */
  outcomes = {}
  #isOver = false
  #running

  /** `hasArrived` tells whether a request has reached an upstream. */
  constructor({ daemon, hostname, path, count, deadlineMs, hasArrived, record }) {
    Object.assign(this, { daemon, hostname, path, deadlineMs, hasArrived, record })
    this.#running = Array.from({ length: count }, (_, index) => this.#run(`ordinary-${index}`))
  }

  async end() {
    this.#isOver = true
    await Promise.all(this.#running)
    this.record.line(`outcomes of ordinary requests: ${JSON.stringify(this.outcomes)}`)
    this.record.line(`${this.cut.length} of them had reached an upstream and were not answered`)
  }

  async #run(name) {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    for (let count = 0; !this.#isOver; count += 1) {
      const id = `${name}-${count}`
      const outcome = await this.#call(agent, id)
      this.outcomes[outcome] = (this.outcomes[outcome] ?? 0) + 1
      if (typeof outcome === 'number') this.answered += 1
      else if (outcome === 'cut' && this.hasArrived(id)) {
        this.cut.push(id)
        this.record.line(`connection closed without an answer to ${id}, which had reached an upstream`)
      }
      await sleep(typeof outcome === 'number' ? 20 + Math.random() * 200 : 200)
    }
    agent.destroy()
  }

  #call(agent, id) {
    const { daemon, hostname, path, deadlineMs } = this
    return new Promise((resolve) => {
      const headers = { host: hostname, 'x-request-id': id, 'x-deadline-ms': String(deadlineMs) }
      const request = http.request(
        { host: daemon.ip, port: daemon.port, path, method: 'POST', agent, headers },
        (response) => {
          response.resume()
          response.on('error', () => resolve('cut'))
          response.on('end', () => resolve(response.complete ? response.statusCode : 'cut'))
        },
      )
      request.setTimeout(deadlineMs + 5000, () => {
        resolve('no answer')
        request.destroy()
      })
      request.on('error', (error) => resolve(error.code === 'ECONNREFUSED' ? 'connection refused' : 'cut'))
      request.end('d'.repeat(300))
    })
  }
}
