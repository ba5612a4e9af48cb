/**
 * Collects the body of a request in blocks of one size. Pieces are copied as they come, so that small ones cost their
 * bytes, and blocks are used again, so that bodies that were given up leave no garbage outside the heap, which the
 * garbage collector hardly notices.
 */

/** Size of a block: a body takes at most this much more than its bytes. */
export const blockBytes = 8 * 1024

/** Blocks that are used again. It keeps at most as many as were in use at once. */
export class BlockPool {
  readonly #free: Buffer[] = []

  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(blockBytes)
  }

  giveBack(blocks: readonly Buffer[]): void {
    for (const block of blocks) this.#free.push(block)
  }
}

export class RequestBody {
  readonly #pool: BlockPool
  #blocks: Buffer[] = []
  #bytes = 0

  constructor(pool: BlockPool) {
    this.#pool = pool
  }

  get bytes(): number {
    return this.#bytes
  }

  /** Copies the piece; returns the bytes of the blocks that were taken for it. */
  append(piece: Buffer): number {
    const before = this.#blocks.length
    for (let from = 0; from < piece.length;) {
      const used = this.#bytes % blockBytes
      if (used === 0) this.#blocks.push(this.#pool.take())
      const copied = piece.copy(this.#blocks.at(-1) as Buffer, used, from)
      from += copied
      this.#bytes += copied
    }
    return (this.#blocks.length - before) * blockBytes
  }

  /** Returns the whole body in one buffer of its own, and gives the blocks back. */
  join(): Buffer {
    const whole = Buffer.concat(this.#blocks, this.#bytes)
    this.discard()
    return whole
  }

  discard(): void {
    this.#pool.giveBack(this.#blocks)
    this.#blocks = []
    this.#bytes = 0
  }
}
