/**
 * Shares the memory of a host for request bodies among callers that may send anything. A body counts with the memory
 * that it takes, from its first byte until it is no longer needed. When the room is short, bodies that are still
 * arriving give way: first those that arrive slowest, then the largest. Bodies that have arrived are in use and stay.
 *
 * Very small pieces cost processor time rather than memory. They draw on a rate of the whole host; when it is used up,
 * the bodies with most of them give way, while a body that is the only one of its kind goes on.
 *
 * Load pattern: hundreds of callers send bodies up to their last byte and wait, or send them in pieces of one byte.
 */

export interface BodyBudgetOptions {
  /** Bytes that all bodies together may take. */
  readonly maxBytes: number
  /**
   * A body that got less than `minProgressBytes` in this time arrives too slowly to keep its room when it is short.
   * Without a shortage it may take any time.
   */
  readonly progressMs?: number
  readonly minProgressBytes?: number
  /** Pieces below this size are small. */
  readonly smallPieceBytes?: number
  /** Small pieces of all bodies together in a second. Reading one takes some microseconds. */
  readonly smallPiecesPerSecond?: number
  /** Small pieces at once, after a time without any. */
  readonly smallPieceBurst?: number
}

/** Why a body has to give way. */
export const BodyRefusal = { room: 'body_room', pieces: 'body_pieces' } as const
export type BodyRefusal = (typeof BodyRefusal)[keyof typeof BodyRefusal]

interface Held {
  bytes: number
  /** Bytes since `progressAtMs`. */
  recentBytes: number
  /** When the body last had got `minProgressBytes` since the time before. */
  progressAtMs: number
  smallPieces: number
  isArriving: boolean
}

/** A body is fragmented from this share of the burst of small pieces on. */
const fragmentedShare = 0.01

/** `Body` is what the owner of the budget knows a body by. */
/** Bodies up to this size are let in while larger ones that have arrived take all the room. */
const ordinaryBodyBytes = 16 * 1024
/** Share of the budget that arriving bodies of that size may take on top of it. */
const ordinaryShare = 1 / 8

export class BodyBudget<Body> {
  readonly #options: Required<BodyBudgetOptions>
  /** The bodies in the order of their last progress. */
  readonly #bodies = new Map<Body, Held>()
  /** The arriving bodies that have got a notable number of small pieces. */
  readonly #fragmented = new Map<Body, Held>()
  #bytes = 0
  #pieceTokens: number
  #tokensAtMs = Number.NEGATIVE_INFINITY

  constructor(options: BodyBudgetOptions) {
    this.#options = {
      progressMs: 1000,
      minProgressBytes: 1024,
      smallPieceBytes: 64,
      smallPiecesPerSecond: 25_000,
      smallPieceBurst: 100_000,
      ...options,
    }
    this.#pieceTokens = this.#options.smallPieceBurst
  }

  /** Bytes that all bodies take. */
  get bytes(): number {
    return this.#bytes
  }

  get bodies(): number {
    return this.#bodies.size
  }

  /** Adds a body that begins to arrive. */
  begin(body: Body, nowMs: number): void {
    const held: Held = { bytes: 0, recentBytes: 0, progressAtMs: nowMs, smallPieces: 0, isArriving: true }
    this.#bodies.set(body, held)
  }

  /**
   * Counts a piece of an arriving body, which takes `heldBytes` more of memory. Returns the body that has to give way
   * for it and why, or undefined if there is room. The owner releases that body and asks again with `shortage`.
   */
  grow(
    body: Body,
    { pieceBytes, heldBytes }: { readonly pieceBytes: number; readonly heldBytes: number },
    nowMs: number,
  ): { readonly body: Body; readonly reason: BodyRefusal } | undefined {
    const held = this.#bodies.get(body)
    if (held === undefined) return undefined
    held.bytes += heldBytes
    this.#bytes += heldBytes
    held.recentBytes += pieceBytes
    if (held.recentBytes >= this.#options.minProgressBytes) {
      held.recentBytes = 0
      held.progressAtMs = nowMs
      this.#bodies.delete(body)
      this.#bodies.set(body, held)
    }
    if (pieceBytes < this.#options.smallPieceBytes) {
      held.smallPieces += 1
      if (held.smallPieces >= this.#options.smallPieceBurst * fragmentedShare)
        this.#fragmented.set(body, held)
      if (!this.#spendToken(nowMs)) {
        const most = this.#mostSmallPieces()
        if (most !== undefined) return { body: most, reason: BodyRefusal.pieces }
      }
    }
    return this.shortage(nowMs)
  }

  /**
   * The next body that has to give way because the bodies take too much. A body that is the only one has all the room
   * that it needs.
   */
  shortage(nowMs: number): { readonly body: Body; readonly reason: BodyRefusal } | undefined {
    const { maxBytes, progressMs } = this.#options
    if (this.#bytes <= maxBytes || this.#bodies.size < 2) return undefined
    let largest: [Body, Held] | undefined
    let arrivingBytes = 0
    for (const entry of this.#bodies) {
      const [body, { isArriving, bytes, progressAtMs }] = entry
      if (!isArriving || bytes === 0) continue
      arrivingBytes += bytes
      if (nowMs - progressAtMs >= progressMs) return { body, reason: BodyRefusal.room }
      if (largest === undefined || bytes > largest[1].bytes) largest = entry
    }
    if (largest === undefined) return undefined
    // Large bodies that have arrived may take all the room for as long as they are in flight.
    const isOrdinary = largest[1].bytes <= ordinaryBodyBytes && arrivingBytes <= maxBytes * ordinaryShare
    return isOrdinary ? undefined : { body: largest[0], reason: BodyRefusal.room }
  }

  /** Counts a body that has arrived with the bytes that it takes from now on. */
  complete(body: Body, bytes: number): void {
    const held = this.#bodies.get(body)
    if (held === undefined) return
    this.#bytes += bytes - held.bytes
    held.bytes = bytes
    held.isArriving = false
    this.#fragmented.delete(body)
  }

  /** Removes a body that is no longer needed. Does nothing if it was removed before. */
  release(body: Body): void {
    this.#bytes -= this.#bodies.get(body)?.bytes ?? 0
    this.#bodies.delete(body)
    this.#fragmented.delete(body)
  }

  /** Whether the rate of small pieces had room for one more. */
  #spendToken(nowMs: number): boolean {
    const { smallPiecesPerSecond, smallPieceBurst } = this.#options
    if (nowMs > this.#tokensAtMs) {
      const refill = ((nowMs - this.#tokensAtMs) / 1000) * smallPiecesPerSecond
      this.#pieceTokens = Math.min(smallPieceBurst, this.#pieceTokens + refill)
      this.#tokensAtMs = nowMs
    }
    if (this.#pieceTokens < 1) return false
    this.#pieceTokens -= 1
    return true
  }

  /** The fragmented body with most small pieces; undefined while there is only one. */
  #mostSmallPieces(): Body | undefined {
    if (this.#fragmented.size < 2) return undefined
    let most: [Body, Held] | undefined
    for (const entry of this.#fragmented)
      if (most === undefined || entry[1].smallPieces > most[1].smallPieces) most = entry
    return most?.[0]
  }
}
