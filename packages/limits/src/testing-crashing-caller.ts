/** A simulated caller that repeatedly sends the same request, which crashes each target that runs it. */
import { request } from './testing.js'
import { crashingIdentity, type SimulatedHost } from './testing-hosts.js'
import type { PermitSimulation } from './testing-simulation.js'

export class CrashingCaller {
  readonly #simulation: PermitSimulation
  #started = false
  #endedAtMs = -Infinity
  /** True while a request was sent and its end is not known. */
  #sent = false

  constructor(simulation: PermitSimulation) {
    this.#simulation = simulation
  }

  start(): void {
    if (!this.#started) this.#next()
    this.#started = true
  }

  /** To be called when the host of the last run knows how it ended. */
  ended(): void {
    this.#endedAtMs = this.#simulation.time.nowMs()
    this.#sent = false
  }

  #next(): void {
    const simulation = this.#simulation
    simulation.time.schedule(5 + simulation.delay(400), () => {
      if (!simulation.stopped && !simulation.blocked) this.#next()
    })
    const host = simulation.random.pick(simulation.hosts.filter(({ lost, clock }) => !lost && !clock.paused))
    // Copies that are sent at the same time as the first, or before the report of its end has arrived, are
    // not sent: each would run beside other requests, as no coordinator can know yet that the request is a
    // suspect.
    const reported = !this.#sent && simulation.time.nowMs() - this.#endedAtMs >= 10
    if (host !== undefined && reported) void this.#send(host)
  }

  async #send(host: SimulatedHost): Promise<void> {
    const simulation = this.#simulation
    const sent = request({ identity: crashingIdentity, deadlineMs: 600 })
    const deadlineAtMs = simulation.time.nowMs() + sent.deadlineMs
    this.#sent = true
    const result = await host.client.acquire(sent, new AbortController().signal)
    if (result.isOk) {
      simulation.start(host, result.value, sent, deadlineAtMs)
      return
    }
    this.#sent = false
    if (result.error.code === 'request_blocked') simulation.blocked = true
  }
}
