/** Virtual time, the coordinator directory and permit streams of the simulation, all in one process. */
import {
  type Cancel,
  type CoordinatorInfo,
  PeerDirectory,
  type Permit,
  type PermitRefusal,
} from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { PermitChannel } from './channel.js'
import { type HostSession, PermitSink, type SessionOptions } from './session.js'
import type { SimulatedHost } from './testing-hosts.js'
import type { PermitSimulation } from './testing-simulation.js'

interface Timer {
  readonly atMs: number
  readonly order: number
  callback: (() => void) | undefined
}

/**
 * Virtual time that needs no real turn of the event loop per timer, so that hundreds of runs take only
 * seconds.
 */
export class FastTime extends VirtualTime {
  #nowMs = 0
  #order = 0
  readonly #heap: Timer[] = []

  override nowMs(): number {
    return this.#nowMs
  }

  override schedule(delayMs: number, callback: () => void): Cancel {
    const timer: Timer = { atMs: this.#nowMs + Math.max(0, delayMs), order: (this.#order += 1), callback }
    this.#push(timer)
    return () => {
      timer.callback = undefined
    }
  }

  override async advance(durationMs: number): Promise<void> {
    const untilMs = this.#nowMs + durationMs
    for (let next = this.#heap[0]; next !== undefined && next.atMs <= untilMs; next = this.#heap[0]) {
      this.#pop()
      this.#nowMs = next.atMs
      next.callback?.()
      // Promises of clients and pools are awaited directly, so their continuations run within two microtask
      // turns.
      for (let turn = 0; turn < 2; turn += 1) await Promise.resolve()
    }
    this.#nowMs = untilMs
  }

  #push(timer: Timer): void {
    const heap = this.#heap
    let place = heap.length
    while (place > 0) {
      const parent = heap[(place - 1) >> 1]
      if (parent === undefined || before(parent, timer)) break
      heap[place] = parent
      place = (place - 1) >> 1
    }
    heap[place] = timer
  }

  #pop(): void {
    const heap = this.#heap
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return
    let place = 0
    for (;;) {
      const left = heap[2 * place + 1]
      const right = heap[2 * place + 2]
      const child = left !== undefined && right !== undefined && before(right, left) ? right : left
      if (child === undefined || before(last, child)) break
      heap[place] = child
      place = child === right ? 2 * place + 2 : 2 * place + 1
    }
    heap[place] = last
  }
}

const before = (left: Timer, right: Timer): boolean =>
  left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order)

export class FakeDirectory extends PeerDirectory {
  readonly #listeners = new Set<(info: CoordinatorInfo) => void>()
  #info: CoordinatorInfo | undefined

  setCoordinator(info: CoordinatorInfo): void {
    if (this.#info !== undefined && info.term <= this.#info.term) return
    this.#info = info
    for (const listener of this.#listeners) listener(info)
  }

  override coordinator(): { info: CoordinatorInfo; heardAgoMs: number } | undefined {
    return this.#info === undefined ? undefined : { info: this.#info, heardAgoMs: 0 }
  }

  override onCoordinator(listener: (info: CoordinatorInfo) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  override self = (): never => {
    throw new Error('not used')
  }
  override configuration = (): never => {
    throw new Error('not used')
  }
  override peers = (): [] => []
  override cells = (): [] => []
  override announce = (): void => undefined
  override offerCell = (): void => undefined
  override onConfiguration = () => (): void => undefined
}

/**
 * Streams that delay messages and keep their order. They can be cut (both ends notice) or silenced (neither
 * does).
 */
export class FakeChannel extends PermitChannel {
  readonly #simulation: PermitSimulation
  readonly #host: SimulatedHost
  readonly #streams = new Set<SimulatedStream>()

  constructor(simulation: PermitSimulation, host: SimulatedHost) {
    super()
    this.#simulation = simulation
    this.#host = host
  }

  override open(coordinator: CoordinatorInfo, options: SessionOptions): HostSession {
    const peer = this.#simulation.hosts.find(({ id }) => id === coordinator.hostId)
    const stream = new SimulatedStream(this.#simulation, this.#host, peer, options)
    this.#streams.add(stream)
    return stream
  }

  cut(): void {
    for (const stream of this.#streams) stream.cut()
    this.#streams.clear()
  }

  silence(): void {
    for (const stream of this.#streams) stream.silent = true
  }
}

class SimulatedStream extends PermitSink implements HostSession {
  open = true
  silent = false
  #server: HostSession | undefined
  #upAtMs = 0
  #downAtMs = 0
  #heardUpAtMs = 0

  constructor(
    readonly simulation: PermitSimulation,
    readonly host: SimulatedHost,
    readonly peer: SimulatedHost | undefined,
    readonly options: SessionOptions,
  ) {
    super()
    this.#up(() => {
      const active = peer?.pool.active === true
      if (active) this.#server = peer.pool.connect({ ...options, sink: this })
      else this.closed()
    })
    this.#beat(simulation.time.nowMs())
  }

  acquire(...args: Parameters<HostSession['acquire']>): void {
    this.#up(() => this.#server?.acquire(...args))
  }

  cancel(callId: number): void {
    this.#up(() => this.#server?.cancel(callId))
  }

  release(...args: Parameters<HostSession['release']>): void {
    this.#up(() => this.#server?.release(...args))
  }

  end(): void {
    this.open = false
    this.#up(() => this.#server?.end())
  }

  cut(): void {
    this.silent = true
    const { time } = this.simulation
    time.schedule(this.simulation.delay(20), () => this.peer?.clock.run(() => this.#server?.end()))
    time.schedule(this.simulation.delay(20), () => {
      this.host.clock.run(() => {
        this.#lose()
      })
    })
  }

  override lent(callId: number, permit: Permit): void {
    this.simulation.issuedAtMs.set(permit.permitId, this.simulation.time.nowMs())
    this.#down(() => {
      this.options.sink.lent(callId, permit)
    })
  }

  override refused(callId: number, refusal: PermitRefusal): void {
    this.#down(() => {
      this.options.sink.refused(callId, refusal)
    })
  }

  override blocked(...args: Parameters<PermitSink['blocked']>): void {
    this.#down(() => {
      this.options.sink.blocked(...args)
    })
  }

  override unblocked(...args: Parameters<PermitSink['unblocked']>): void {
    this.#down(() => {
      this.options.sink.unblocked(...args)
    })
  }

  override suspected(...args: Parameters<PermitSink['suspected']>): void {
    this.#down(() => {
      this.options.sink.suspected(...args)
    })
  }

  override cleared(...args: Parameters<PermitSink['cleared']>): void {
    this.#down(() => {
      this.options.sink.cleared(...args)
    })
  }

  override closed(): void {
    this.#down(() => {
      this.#lose()
    })
  }

  #lose(): void {
    if (!this.open) return
    this.open = false
    this.options.sink.closed()
  }

  /** Simulates heartbeats of the coordinator; without one for 600 ms the host closes the stream. */
  #beat(heardAtMs: number): void {
    let last = heardAtMs
    const tick = (): void => {
      if (!this.open) return
      if (this.simulation.time.nowMs() - last >= 600) {
        this.#lose()
        return
      }
      this.#send(this.peer, () => {
        this.#down(() => {
          last = this.simulation.time.nowMs()
          this.options.sink.heard()
        })
      })
      this.host.clock.schedule(200, tick)
    }
    this.host.clock.schedule(200, tick)
  }

  #up(work: () => void): void {
    this.#upAtMs = Math.max(this.#upAtMs, this.simulation.time.nowMs() + this.simulation.delay(4))
    this.#at(this.#upAtMs, this.peer, work)
  }

  #down(work: () => void): void {
    this.#downAtMs = Math.max(this.#downAtMs, this.simulation.time.nowMs() + this.simulation.delay(4))
    this.#at(this.#downAtMs, this.host, work)
  }

  #send(to: SimulatedHost | undefined, work: () => void): void {
    this.#at(this.simulation.time.nowMs() + this.simulation.delay(4), to, work)
  }

  #at(atMs: number, to: SimulatedHost | undefined, work: () => void): void {
    if (this.silent || to === undefined) return
    this.simulation.time.schedule(atMs - this.simulation.time.nowMs(), () => {
      if (!this.silent && !to.lost) to.clock.run(work)
    })
  }
}
