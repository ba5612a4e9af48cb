/** A caller whose request crashes each target that runs it, and who sends it again and again. */
import { request } from './testing.js'
import { crashingIdentity, type SimulatedHost } from './testing-hosts.js'
import type { PermitSimulation } from './testing-world.js'

export class CrashingCaller {
  readonly #world: PermitSimulation
  #started = false
  #endedAtMs = -Infinity
  /** Sent, and its end not known yet. */
  #sent = false

  constructor(world: PermitSimulation) {
    this.#world = world
  }

  start(): void {
    if (!this.#started) this.#next()
    this.#started = true
  }

  /** The host of the last run knows its end. */
  ended(): void {
    this.#endedAtMs = this.#world.time.nowMs()
    this.#sent = false
  }

  #next(): void {
    const world = this.#world
    world.time.schedule(5 + world.delay(400), () => {
      if (!world.stopped && !world.blocked) this.#next()
    })
    const host = world.random.pick(world.hosts.filter(({ lost, clock }) => !lost && !clock.paused))
    // Copies that are sent at the same time, or overtake the report of the first, are each a shared run, which no
    // coordinator can know of.
    const reported = !this.#sent && world.time.nowMs() - this.#endedAtMs >= 10
    if (host !== undefined && reported) void this.#send(host)
  }

  async #send(host: SimulatedHost): Promise<void> {
    const world = this.#world
    const sent = request({ identity: crashingIdentity, deadlineMs: 600 })
    const deadlineAtMs = world.time.nowMs() + sent.deadlineMs
    this.#sent = true
    const result = await host.client.acquire(sent, new AbortController().signal)
    if (result.isOk) {
      world.start(host, result.value, sent, deadlineAtMs)
      return
    }
    this.#sent = false
    if (result.error.code === 'request_blocked') world.blocked = true
  }
}
