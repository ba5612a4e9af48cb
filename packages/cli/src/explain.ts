/**
 * Explains one request from the daemons' logs: the lines that carry its id, in order, and the changes of belief that
 * came shortly before its end on the same host.
 */

export interface LogLine {
  readonly timeMs: number
  readonly host: string
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Changes this long before the end of a request may have to do with it. */
const contextMs = 3000
const shownFields: ReadonlySet<string> = new Set(['timeMs', 'event', 'host', 'level'])

/** Undefined for a line that a daemon has not written. */
const parseLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const fields = JSON.parse(text.slice(start)) as Record<string, unknown>
    const { timeMs, host, event } = fields
    return typeof timeMs === 'number' && typeof host === 'string' && typeof event === 'string'
      ? { timeMs, host, event, fields }
      : undefined
  } catch {
    return undefined
  }
}

const describe = ({ timeMs, event, fields }: LogLine, sinceMs: number): string => {
  const details = Object.entries(fields)
    .filter(([name]) => !shownFields.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `  ${String(timeMs - sinceMs).padStart(7)} ms  ${event}  ${details.join(' ')}`
}

export interface Explanation {
  readonly found: boolean
  readonly text: string
}

/** `logs` may hold the lines of several hosts, in any order, with text before each line. */
export const explainRequest = (requestId: string, logs: string): Explanation => {
  const lines = logs.split('\n').flatMap((text) => parseLine(text) ?? [])
  lines.sort((a, b) => a.timeMs - b.timeMs)
  const own = lines.filter(({ fields }) => fields.requestId === requestId)
  const last = own.at(-1)
  if (last === undefined) {
    const dropped = lines.filter(({ event }) => event === 'log.dropped').length
    return {
      found: false,
      text: `no line of request ${requestId} in ${String(lines.length)} lines; ${String(dropped)} lines say that others were dropped`,
    }
  }
  const names = new Set<unknown>(own.flatMap(({ fields }) => [fields.service, fields.target]))
  names.delete(undefined)
  const concerns = ({ host, event, timeMs, fields }: LogLine): boolean =>
    host === last.host &&
    timeMs >= last.timeMs - contextMs &&
    timeMs <= last.timeMs &&
    fields.requestId === undefined &&
    (fields.target === undefined && fields.service === undefined
      ? /^(replica|relay|leader|configuration|domain|daemon|settings)\./.test(event)
      : names.has(fields.target) || names.has(fields.service))
  const context = lines.filter(concerns)
  return {
    found: true,
    text: [
      `request ${requestId} on ${last.host}`,
      ...own.map((line) => describe(line, last.timeMs)),
      context.length === 0 ? 'no change of belief in the 3 s before' : 'changes of belief in the 3 s before',
      ...context.map((line) => describe(line, last.timeMs)),
    ].join('\n'),
  }
}
