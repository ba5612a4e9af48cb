/**
 * A simulated network in virtual time: nodes with clocks of their own, delays, and cuts in either direction.
 */
import type { Random } from '@pimentotally/core'
import type { VirtualClock, VirtualTime } from '@pimentotally/core/testing'

export interface NetworkNode {
  readonly name: string
  readonly clock: VirtualClock
  isUp: boolean
}

export class Network {
  readonly time: VirtualTime
  readonly #random: Random
  readonly #cuts = new Map<string, number>()
  /** Longest one-way delay. */
  maxDelayMs = 1

  constructor(time: VirtualTime, random: Random) {
    this.time = time
    this.#random = random
  }

  /**
   * Drops messages from one node to another, `*` standing for any, until the function it returns is called.
   */
  cut(from: string, to: string): () => void {
    const key = `${from}>${to}`
    this.#cuts.set(key, (this.#cuts.get(key) ?? 0) + 1)
    return () => {
      this.#cuts.set(key, (this.#cuts.get(key) ?? 1) - 1)
    }
  }

  isCut(from: string, to: string): boolean {
    return [`${from}>${to}`, `${from}>*`, `*>${to}`].some((key) => (this.#cuts.get(key) ?? 0) > 0)
  }

  send(from: NetworkNode, to: NetworkNode, deliver: () => void): void {
    if (!from.isUp || this.isCut(from.name, to.name)) return
    const delayMs = 0.2 + this.#random.float() * (this.maxDelayMs - 0.2)
    this.time.schedule(delayMs, () => {
      if (this.isCut(from.name, to.name)) return
      to.clock.run(() => {
        if (to.isUp) deliver()
      })
    })
  }

  /** Resolves to the response, or to undefined after the timeout; the request may still arrive later. */
  call<T>(from: NetworkNode, to: NetworkNode, timeoutMs: number, serve: () => T): Promise<T | undefined> {
    return new Promise((resolve) => {
      const cancel = from.clock.schedule(timeoutMs, () => {
        resolve(undefined)
      })
      this.send(from, to, () => {
        const response = serve()
        this.send(to, from, () => {
          cancel()
          resolve(response)
        })
      })
    })
  }
}
