/** Structured logs: one JSON object per line on standard error, filtered by level with loglevel. */
import loglevel from 'loglevel'

export const LogLevel = { debug: 'debug', info: 'info', warn: 'warn', error: 'error' } as const
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel]

/** `step` names the operation and `peer` the other side of it; the other fields depend on the event. */
export interface LogFields {
  readonly step?: string
  readonly peer?: string
  readonly [field: string]: unknown
}

export abstract class Logger {
  abstract log(level: LogLevel, event: string, fields?: LogFields): void

  debug(event: string, fields?: LogFields): void {
    this.log(LogLevel.debug, event, fields)
  }

  info(event: string, fields?: LogFields): void {
    this.log(LogLevel.info, event, fields)
  }

  warn(event: string, fields?: LogFields): void {
    this.log(LogLevel.warn, event, fields)
  }

  error(event: string, fields?: LogFields): void {
    this.log(LogLevel.error, event, fields)
  }
}

export interface JsonLoggerOptions {
  readonly level?: LogLevel
  /** Fields that are added to every line, such as host and failure domain. */
  readonly common?: Readonly<Record<string, unknown>>
}

/** JSON leaves out the message of an Error, so errors are logged as their message and code. */
const serializableError = (value: unknown): unknown =>
  value instanceof Error
    ? { message: value.message, ...('code' in value ? { code: value.code } : {}) }
    : value

export class JsonLogger extends Logger {
  readonly #common: Readonly<Record<string, unknown>>
  readonly #sink: loglevel.Logger

  constructor({ level = LogLevel.info, common = {} }: JsonLoggerOptions = {}) {
    super()
    this.#common = common
    this.#sink = loglevel.getLogger(`pimentotally-${JSON.stringify(common)}`)
    this.#sink.methodFactory = () => (line: string) => {
      process.stderr.write(`${line}\n`)
    }
    this.#sink.setLevel(level, false)
  }

  override log(level: LogLevel, event: string, fields: LogFields = {}): void {
    const line = JSON.stringify(
      { level, time: new Date().toISOString(), ...this.#common, event, ...fields },
      (_key, value: unknown) => serializableError(value),
    )
    this.#sink[level](line)
  }
}

/** Discards all messages. */
export class SilentLogger extends Logger {
  override log(): void {
    return
  }
}
