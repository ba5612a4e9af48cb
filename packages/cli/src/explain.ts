/**
 * Explains one request from the daemons' logs: the lines with its id, in order of time, and the events that the same
 * host logged shortly before the last of them and that may have to do with it.
 */

export interface LogLine {
  readonly timeMs: number
  readonly host: string
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Events that were logged at most this long before the last line of a request are shown with it. */
const relatedWindowMs = 3000
const omittedFields: ReadonlySet<string> = new Set(['timeMs', 'event', 'host', 'level'])

/** Parses a log line of a daemon; undefined for any other text. */
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
    .filter(([name]) => !omittedFields.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `  ${String(timeMs - sinceMs).padStart(7)} ms  ${event}  ${details.join(' ')}`
}

export interface Explanation {
  readonly found: boolean
  readonly text: string
}

/**
 * Explains the request from the text of `logs`, which may have the lines of several hosts in any order, and other text
 * in front of the JSON of a line.
 */
export const explainRequest = (requestId: string, logs: string): Explanation => {
  const lines = logs.split('\n').flatMap((text) => parseLine(text) ?? [])
  lines.sort((a, b) => a.timeMs - b.timeMs)
  const requestLines = lines.filter(({ fields }) => fields.requestId === requestId)
  const last = requestLines.at(-1)
  if (last === undefined) {
    const dropped = lines.filter(({ event }) => event === 'log.dropped').length
    return {
      found: false,
      text: `no line of request ${requestId} in ${String(lines.length)} lines; ${String(dropped)} lines say that others were dropped`,
    }
  }
  const relatedNames = new Set<unknown>(requestLines.flatMap(({ fields }) => [fields.service, fields.target]))
  relatedNames.delete(undefined)
  const isRelated = ({ host, event, timeMs, fields }: LogLine): boolean =>
    host === last.host &&
    timeMs >= last.timeMs - relatedWindowMs &&
    timeMs <= last.timeMs &&
    fields.requestId === undefined &&
    (fields.target === undefined && fields.service === undefined
      ? /^(replica|relay|leader|configuration|domain|daemon|settings)\./.test(event)
      : relatedNames.has(fields.target) || relatedNames.has(fields.service))
  const related = lines.filter(isRelated)
  return {
    found: true,
    text: [
      `request ${requestId} on ${last.host}`,
      ...requestLines.map((line) => describe(line, last.timeMs)),
      related.length === 0 ? 'no related events in the 3 s before' : 'related events in the 3 s before',
      ...related.map((line) => describe(line, last.timeMs)),
    ].join('\n'),
  }
}
