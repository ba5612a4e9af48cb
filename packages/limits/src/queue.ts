/**
 * A queue of requests that wait for a slot. The package p-queue does not fit: it runs a task as soon as a
 * concurrency limit allows, and can neither check whether the request may go to the target that became free
 * (excluded targets, limit per host, suspects) nor remove a request from the middle when its deadline passes
 * or its caller disconnects.
 */
import type { Call } from './state.js'

/** A first-in, first-out queue from which any call can be removed in constant time. */
export class WaitQueue {
  readonly #calls = new Set<Call>()

  get size(): number {
    return this.#calls.size
  }

  add(call: Call): void {
    call.queue = this
    this.#calls.add(call)
  }

  remove(call: Call): void {
    if (this.#calls.delete(call)) call.queue = undefined
  }

  /** Iterates in order of arrival; calls may be removed meanwhile. */
  [Symbol.iterator](): IterableIterator<Call> {
    return this.#calls.values()
  }
}
