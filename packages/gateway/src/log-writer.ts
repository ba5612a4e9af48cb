/**
 * Writes structured logs to standard output without ever blocking a request: lines go to a bounded buffer,
 * and at most one asynchronous write is pending. When standard output is read too slowly, or an event occurs
 * too often, lines are dropped and counted, and the counts are logged.
 */
import { write } from 'node:fs'
import { Logger, type Clock, type LogFields, type LogLevel } from '@pimentotally/core'

/** Writes text, and calls `done` once the next text may follow. */
export type TextSink = (text: string, done: () => void) => void

/** File descriptor of standard output. */
const standardOutput = 1

/** Writes to standard output. A failed write drops its text, as there is nowhere else to report it. */
export const stdoutSink: TextSink = (text, done) => {
  const bytes = Buffer.from(text)
  const writeFrom = (offset: number): void => {
    write(standardOutput, bytes, offset, bytes.length - offset, null, (error, written) => {
      if (error === null && offset + written < bytes.length) writeFrom(offset + written)
      else done()
    })
  }
  writeFrom(0)
}

export interface LogWriterOptions {
  readonly clock: Clock
  readonly sink?: TextSink
  /** Fields of every line, such as the host. */
  readonly common?: Readonly<Record<string, unknown>>
  /** Lines are dropped while more than this is buffered. */
  readonly maxBufferedBytes?: number
  /** Most lines of one event in a second; further ones are dropped. */
  readonly maxLinesPerEvent?: number
  /** The same for events of the level debug, such as answered requests. */
  readonly maxDebugLinesPerEvent?: number
}

/** Period in which the lines of an event are counted. */
const periodMs = 1000

export class LogWriter extends Logger {
  readonly #options: Required<LogWriterOptions>
  #buffer: string[] = []
  /** Length of the lines that are buffered or being written, in UTF-16 code units. */
  #bufferedBytes = 0
  #writing = false
  #periodStartMs = 0
  readonly #countByEvent = new Map<string, number>()
  readonly #droppedByEvent = new Map<string, number>()

  constructor({
    clock,
    sink = stdoutSink,
    common = {},
    maxBufferedBytes = 256 * 1024,
    maxLinesPerEvent = 25,
    maxDebugLinesPerEvent = 5,
  }: LogWriterOptions) {
    super()
    this.#options = { clock, sink, common, maxBufferedBytes, maxLinesPerEvent, maxDebugLinesPerEvent }
  }

  override log(level: LogLevel, event: string, fields: LogFields = {}): void {
    const { clock, maxBufferedBytes, maxLinesPerEvent, maxDebugLinesPerEvent } = this.#options
    const limit = level === 'debug' ? maxDebugLinesPerEvent : maxLinesPerEvent
    this.#startPeriodIfDue(clock.monotonicMs())
    const count = (this.#countByEvent.get(event) ?? 0) + 1
    this.#countByEvent.set(event, count)
    if (count > limit || this.#bufferedBytes > maxBufferedBytes) {
      this.#droppedByEvent.set(event, (this.#droppedByEvent.get(event) ?? 0) + 1)
      return
    }
    this.#push(level, event, fields)
  }

  /** Starts a new period if the last one is over, and logs how many lines were dropped. */
  #startPeriodIfDue(nowMs: number): void {
    if (nowMs - this.#periodStartMs < periodMs) return
    this.#periodStartMs = nowMs
    this.#countByEvent.clear()
    if (this.#droppedByEvent.size === 0 || this.#bufferedBytes > this.#options.maxBufferedBytes) return
    const dropped = Object.fromEntries(this.#droppedByEvent)
    this.#droppedByEvent.clear()
    this.#push('warn', 'log.dropped', { dropped })
  }

  #push(level: LogLevel, event: string, fields: LogFields): void {
    const { clock, common } = this.#options
    const line = `${JSON.stringify({ level, timeMs: Math.round(clock.wallMs()), event, ...common, ...fields }, formatValue)}\n`
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

/** Replacer for `JSON.stringify`: errors keep message and code, numbers two decimals. */
const formatValue = (_key: string, value: unknown): unknown => {
  if (value instanceof Error)
    return { message: value.message, ...('code' in value ? { code: value.code } : {}) }
  return typeof value === 'number' && !Number.isInteger(value) ? Math.round(value * 100) / 100 : value
}
