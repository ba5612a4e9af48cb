/**
 * Reads the bodies of requests whole before they are dispatched, so that a request that has certainly not run can be
 * sent to another target. All bodies of the host share one budget, until their requests have been answered.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@pimentotally/core'
import { BodyBudget, BodyRefusal } from '@pimentotally/routing'
import { BlockPool, RequestBody } from './request-body.js'

/** Pieces that a connection may have in one turn of the event loop; they take some milliseconds. */
const maxPiecesPerTurn = 1000

export interface BodyReaderOptions {
  readonly clock: Clock
  /** Bytes that the bodies of all requests may take. */
  readonly maxBytes: number
  /** Answers a request that is not dispatched; the connection closes after it. */
  readonly refuse: (arriving: ArrivingRequest, status: number, code: string) => void
}

/** A request whose body is arriving, or that is in flight with its body. */
export interface ArrivingRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
}

interface Reading extends ArrivingRequest {
  readonly body: RequestBody
  isRefused: boolean
}

export class BodyReader {
  readonly #options: BodyReaderOptions
  readonly #budget: BodyBudget<Reading>
  readonly #pool = new BlockPool()
  readonly #refused = new Map<BodyRefusal, number>()

  constructor(options: BodyReaderOptions) {
    this.#options = options
    this.#budget = new BodyBudget({ maxBytes: options.maxBytes })
  }

  /** Bytes of the bodies that are arriving or in flight. */
  get heldBytes(): number {
    return this.#budget.bytes
  }

  refusedFor(reason: BodyRefusal): number {
    return this.#refused.get(reason) ?? 0
  }

  /**
   * Calls `done` with the whole body, unless it is refused or its connection closes. `grown` is called for each piece.
   */
  read(
    { request, response }: ArrivingRequest,
    maxBodyBytes: number,
    { grown, done }: { readonly grown: () => void; readonly done: (body: Buffer) => void },
  ): void {
    const { clock } = this.#options
    const { socket } = request
    const reading: Reading = { request, response, body: new RequestBody(this.#pool), isRefused: false }
    if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
      this.#refuse(reading, 413, 'body_too_large')
      return
    }
    const turn = new ReadTurn(socket)
    const release = (): void => {
      this.#budget.release(reading)
      reading.body.discard()
      socket.off('close', release)
      response.off('close', release)
    }
    // With several requests on one connection, only the response that is next in turn is told that it has closed.
    socket.setMaxListeners(0).once('close', release)
    response.once('close', release)
    this.#budget.begin(reading, clock.monotonicMs())
    request.on('data', (piece: Buffer) => {
      turn.count()
      if (reading.isRefused) return
      grown()
      if (reading.body.bytes + piece.length > maxBodyBytes) {
        this.#refuse(reading, 413, 'body_too_large')
        return
      }
      const heldBytes = reading.body.append(piece)
      this.#makeRoom(reading, piece.length, heldBytes)
    })
    request.once('end', () => {
      if (reading.isRefused) return
      const body = reading.body.join()
      this.#budget.complete(reading, body.length)
      done(body)
    })
  }

  /**
   * Reads and drops the rest of a request that is not dispatched, which Node.js would keep in one object for each piece.
   * Calls `tooLong` once when the rest is longer than `maxBodyBytes`.
   */
  discard(
    request: IncomingMessage,
    maxBodyBytes = Number.POSITIVE_INFINITY,
    tooLong: () => void = () => undefined,
  ): void {
    const turn = new ReadTurn(request.socket)
    let bytes = 0
    request.on('data', (piece: Buffer) => {
      turn.count()
      const before = bytes
      bytes += piece.length
      if (before <= maxBodyBytes && bytes > maxBodyBytes) tooLong()
    })
  }

  #makeRoom(reading: Reading, pieceBytes: number, heldBytes: number): void {
    const nowMs = this.#options.clock.monotonicMs()
    let shortage = this.#budget.grow(reading, { pieceBytes, heldBytes }, nowMs)
    while (shortage !== undefined) {
      const { body, reason } = shortage
      this.#refused.set(reason, this.refusedFor(reason) + 1)
      this.#refuse(body, 503, reason)
      shortage = this.#budget.shortage(nowMs)
    }
  }

  #refuse(reading: Reading, status: number, code: string): void {
    reading.isRefused = true
    this.#budget.release(reading)
    reading.body.discard()
    this.#options.refuse(reading, status, code)
  }
}

/**
 * Lets the event loop serve other connections between the pieces of a body. Node.js reads up to two megabytes of a
 * connection in one turn, which are several hundred thousand pieces of one byte.
 */
class ReadTurn {
  readonly #socket: Socket
  #pieces = 0
  #isOver = false

  constructor(socket: Socket) {
    this.#socket = socket
  }

  count(): void {
    this.#pieces += 1
    if (this.#pieces <= maxPiecesPerTurn) return
    // Node.js resumes the socket after each piece that it has passed on, and the rest of what was read still follows.
    queueMicrotask(() => {
      if (this.#isOver) this.#socket.pause()
    })
    if (this.#isOver) return
    this.#isOver = true
    setImmediate(() => {
      this.#isOver = false
      this.#pieces = 0
      this.#socket.resume()
    })
  }
}
