/**
 * Batches one direction of a stream: all that is added within a turn of the event loop is sent as one
 * message.
 */

/** Runs a callback at the end of this turn of the event loop. */
export type Defer = (callback: () => void) => void

/**
 * Yields each message that was begun with `draft`. After `close` it yields the last message, if any, and
 * ends.
 */
export class Outbox<T> implements AsyncIterable<T> {
  readonly #createMessage: () => T
  readonly #defer: Defer
  #draft: T | undefined
  #ready = false
  #closed = false
  #wake: (() => void) | undefined

  constructor(createMessage: () => T, defer: Defer = setImmediate) {
    this.#createMessage = createMessage
    this.#defer = defer
  }

  /**
   * The message to add to. It is sent at the end of this turn of the event loop, or later if the stream is
   * busy.
   */
  draft(): T {
    if (this.#draft === undefined) {
      this.#draft = this.#createMessage()
      this.#defer(() => {
        this.#ready = true
        this.#notify()
      })
    }
    return this.#draft
  }

  close(): void {
    this.#closed = true
    this.#notify()
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<T, void, undefined> {
    for (;;) {
      const draft = this.#draft
      if (draft !== undefined && (this.#ready || this.#closed)) {
        this.#draft = undefined
        this.#ready = false
        yield draft
      } else if (this.#closed) {
        return
      } else {
        await new Promise<void>((resolve) => {
          this.#wake = resolve
        })
      }
    }
  }

  #notify(): void {
    const wake = this.#wake
    this.#wake = undefined
    wake?.()
  }
}
