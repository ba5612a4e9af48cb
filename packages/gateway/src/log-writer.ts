/**
 * Structured logs on standard output that never block a request: lines go to a bounded buffer, and one asynchronous
 * write is under way at a time. When the reader is slow or the rate of an event is high, lines are dropped and counted,
 * and the count is logged.
 */
import { write } from 'node:fs'
import { Logger, type Clock, type LogFields, type LogLevel } from '@pimentotally/core'

/** Writes text and calls back when it has been taken. */
export type TextSink = (text: string, done: () => void) => void

/** The file descriptor. */
const standardOutput = 1

/** A failed write drops its text: there is nowhere else to report it. */
export const stdoutSink: TextSink = (text, done) => {
  const bytes = Buffer.from(text)
  const rest = (offset: number): void => {
    write(standardOutput, bytes, offset, bytes.length - offset, null, (error, written) => {
      if (error === null && offset + written < bytes.length) rest(offset + written)
      else done()
    })
  }
  rest(0)
}

export interface LogWriterOptions {
  readonly clock: Clock
  readonly sink?: TextSink
  readonly common?: Readonly<Record<string, unknown>>
  readonly maxBufferedBytes?: number
  /** Lines of the same event in one second. */
  readonly maxLinesPerEvent?: number
  /** The same for lines of the level debug, such as those of answered requests. */
  readonly maxDebugLinesPerEvent?: number
}

/** Span of the limits for one event. */
const windowMs = 1000

export class LogWriter extends Logger {
  readonly #options: Required<LogWriterOptions>
  #buffer: string[] = []
  #bufferedBytes = 0
  #writing = false
  #windowStartMs = 0
  readonly #countByEvent = new Map<string, number>()
  readonly #droppedByEvent = new Map<string, number>()

  constructor({
    clock,
    sink = stdoutSink,
    common = {},
    maxBufferedBytes = 256 * 1024,
    maxLinesPerEvent: maxPerEvent = 25,
    maxDebugLinesPerEvent: maxDebugPerEvent = 5,
  }: LogWriterOptions) {
    super()
    this.#options = {
      clock,
      sink,
      common,
      maxBufferedBytes,
      maxLinesPerEvent: maxPerEvent,
      maxDebugLinesPerEvent: maxDebugPerEvent,
    }
  }

  override log(level: LogLevel, event: string, fields: LogFields = {}): void {
    const {
      clock,
      maxBufferedBytes,
      maxLinesPerEvent: maxPerEvent,
      maxDebugLinesPerEvent: maxDebugPerEvent,
    } = this.#options
    const limit = level === 'debug' ? maxDebugPerEvent : maxPerEvent
    this.#turnWindow(clock.monotonicMs())
    const count = (this.#countByEvent.get(event) ?? 0) + 1
    this.#countByEvent.set(event, count)
    if (count > limit || this.#bufferedBytes > maxBufferedBytes) {
      this.#droppedByEvent.set(event, (this.#droppedByEvent.get(event) ?? 0) + 1)
      return
    }
    this.#push(level, event, fields)
  }

  #turnWindow(nowMs: number): void {
    if (nowMs - this.#windowStartMs < windowMs) return
    this.#windowStartMs = nowMs
    this.#countByEvent.clear()
    if (this.#droppedByEvent.size === 0 || this.#bufferedBytes > this.#options.maxBufferedBytes) return
    const dropped = Object.fromEntries(this.#droppedByEvent)
    this.#droppedByEvent.clear()
    this.#push('warn', 'log.dropped', { dropped })
  }

  #push(level: LogLevel, event: string, fields: LogFields): void {
    const { clock, common } = this.#options
    const line = `${JSON.stringify({ level, timeMs: Math.round(clock.wallMs()), event, ...common, ...fields }, plain)}\n`
    this.#buffer.push(line)
    this.#bufferedBytes += line.length
    this.#flush()
  }

  #flush(): void {
    if (this.#writing || this.#buffer.length === 0) return
    this.#writing = true
    const text = this.#buffer.join('')
    this.#buffer = []
    this.#options.sink(text, () => {
      this.#bufferedBytes -= text.length
      this.#writing = false
      this.#flush()
    })
  }
}

const plain = (_key: string, value: unknown): unknown => {
  if (value instanceof Error)
    return { message: value.message, ...('code' in value ? { code: value.code } : {}) }
  return typeof value === 'number' && !Number.isInteger(value) ? Math.round(value * 100) / 100 : value
}
