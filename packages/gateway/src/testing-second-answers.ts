/**
 * A target over real sockets that answers at random, and may write an answer a second time, late. It records what it
 * wrote for each attempt, under a signature of its own, so that a test can tell which exchange an answer belongs to.
 */
import type { Socket } from 'node:net'
import type { TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { Random } from '@pimentotally/core'
import { answerHeaders } from '@pimentotally/platform/testing'
import { maxBufferedBytes } from './target-exchange.js'
import { startRawTarget, type RawTarget } from './testing-gateway.js'

/** What the target wrote for one attempt of a request. */
export interface WrittenAnswer {
  readonly requestId: string
  readonly status: number
  readonly body: string
  /** Whether the target ran the request. */
  readonly hasRun: boolean
  /** Number of the request on its connection, counted from 1. */
  readonly exchange: number
  /** How often the target had received the request by then. */
  readonly receipt: number
  /** Id of the target that wrote it. */
  readonly target: string
  /** Number of the connection, in the order of their first requests. */
  readonly connection: number
}

type ReceivedRequest = Pick<WrittenAnswer, 'requestId' | 'exchange' | 'receipt' | 'target' | 'connection'>

type Framing = 'length' | 'chunks' | 'none'

/** Longest time for which the target works on a request. */
const maxWorkMs = 12
/** Longest delay of a second copy; longer than several exchanges, so that it arrives in a later one as well. */
const maxCopyDelayMs = 25
const copyShare = 0.4
const shares: readonly (readonly [
  kind: 'ok' | 'error' | 'refusal' | 'broken' | 'unsigned',
  until: number,
])[] = [
  ['ok', 0.55],
  ['error', 0.8],
  ['refusal', 0.9],
  ['broken', 0.95],
  ['unsigned', 1],
]

export interface RepeatingTargetOptions {
  readonly seed: number
  /** Whether some answers are reset midway. An owner that resets connections gets no request for a while. */
  readonly breaksOff?: boolean
}

export class RepeatingTarget {
  /** By signature. */
  readonly written = new Map<string, WrittenAnswer>()
  /** How often each request was received. */
  readonly receipts = new Map<string, number>()
  readonly #connections = new WeakMap<Socket, { readonly number: number; exchanges: number }>()
  readonly #random: Random
  #signatures = 0
  #connectionCount = 0
  raw!: RawTarget

  readonly #breaksOff: boolean

  private constructor(random: Random, breaksOff: boolean) {
    this.#random = random
    this.#breaksOff = breaksOff
  }

  static async start(
    t: TestContext,
    id: string,
    { seed, breaksOff = true }: RepeatingTargetOptions,
  ): Promise<RepeatingTarget> {
    const target = new RepeatingTarget(new Random(seed), breaksOff)
    target.raw = await startRawTarget(t, id, (socket, requestId) => {
      const connection = target.#connectionOf(socket)
      connection.exchanges += 1
      const receipt = (target.receipts.get(requestId) ?? 0) + 1
      target.receipts.set(requestId, receipt)
      const { number, exchanges } = connection
      void target.#answer(socket, { requestId, exchange: exchanges, receipt, target: id, connection: number })
    })
    return target
  }

  /** How often the target ran the request. */
  runs(requestId: string): number {
    return [...this.written.values()].filter((answer) => answer.hasRun && answer.requestId === requestId)
      .length
  }

  #connectionOf(socket: Socket): { readonly number: number; exchanges: number } {
    const known = this.#connections.get(socket)
    if (known !== undefined) return known
    this.#connectionCount += 1
    const connection = { number: this.#connectionCount, exchanges: 0 }
    this.#connections.set(socket, connection)
    return connection
  }

  async #answer(socket: Socket, received: ReceivedRequest): Promise<void> {
    const { requestId, target } = received
    await sleep(this.#random.integer(maxWorkMs))
    const draw = this.#random.float()
    const kind = shares.find(([, until]) => draw < until)?.[0] ?? 'ok'
    this.#signatures += 1
    const signature = `${target}-${String(this.#signatures)}`
    const notExecuted = kind === 'refusal'
    const status = kind === 'error' ? 500 : notExecuted ? 503 : 200
    const isLarge = this.#random.float() < 0.1
    const body = `${signature} ${requestId} ${'x'.repeat(isLarge ? maxBufferedBytes + 5000 : this.#random.integer(300))}`
    if (kind !== 'unsigned') this.written.set(signature, { ...received, status, body, hasRun: !notExecuted })
    const framing = this.#random.pick<Framing>(['length', 'length', 'chunks', 'none']) ?? 'length'
    const fields = {
      ...answerHeaders(requestId, { notExecuted }),
      ...(kind === 'unsigned' ? {} : { 'x-response-signature': signature }),
      ...(framing === 'length' ? { 'content-length': String(body.length) } : {}),
      ...(framing === 'chunks' ? { 'transfer-encoding': 'chunked' } : {}),
    }
    const lines = Object.entries(fields).filter(
      ([name]) => kind !== 'unsigned' || !name.endsWith('signature'),
    )
    const head = `HTTP/1.1 ${String(status)} S\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`
    const framed = framing === 'chunks' ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body
    if (kind === 'broken' && this.#breaksOff) {
      socket.write(head + framed.slice(0, this.#random.integer(framed.length)))
      setTimeout(() => socket.resetAndDestroy(), this.#random.integer(5))
      return
    }
    const copy = head + framed
    const hasCopy = this.#random.float() < copyShare
    const copyDelayMs = this.#random.integer(maxCopyDelayMs)
    if (hasCopy) setTimeout(() => write(socket, copy), copyDelayMs)
    await this.#writeInParts(socket, head, framed)
    if (framing !== 'none') return
    await sleep(this.#random.integer(maxCopyDelayMs))
    socket.end()
  }

  /** Writes the head with a part of the body, and then the rest in parts. */
  async #writeInParts(socket: Socket, head: string, body: string): Promise<void> {
    const size = Math.ceil(body.length / (1 + this.#random.integer(4)))
    write(socket, head + body.slice(0, size))
    for (let from = size; from < body.length; from += size) {
      await sleep(this.#random.integer(4))
      write(socket, body.slice(from, from + size))
    }
  }
}

const write = (socket: Socket, text: string): void => {
  if (!socket.destroyed && socket.writable) socket.write(text)
}
