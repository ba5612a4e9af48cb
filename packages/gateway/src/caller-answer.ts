/** Gives a caller its answer: a target's, whole or while it arrives, or one of the router's own. */
import type { ServerResponse } from 'node:http'
import type { Clock } from '@pimentotally/core'
import { endToEnd } from '@pimentotally/http'
import { generatedHeaders } from '@pimentotally/platform'
import type { TargetResponse } from './target-exchange.js'

const isBodiless = (status: number): boolean => status === 204 || status === 304

/** Passes on an answer that has arrived completely. */
const sendWhole = (response: ServerResponse, { status, incoming, body }: TargetResponse): void => {
  const headers = endToEnd(incoming, { dropContentLength: true })
  const whole = Buffer.concat(body)
  if (!isBodiless(status)) headers.push('Content-Length', String(whole.length))
  response.writeHead(status, headers).end(whole)
}

export interface PassOnOptions {
  readonly clock: Clock
  /** Time after which nobody waits for the rest of an answer any more; a broken target may send bytes without end. */
  readonly longestMs: number
  /** Called when the target breaks off, or its answer does not end in time. */
  readonly cut: (reason: 'broken_off' | 'too_long') => void
}

/** Passes on the rest of a large answer while it arrives. */
const stream = (
  response: ServerResponse,
  { status, incoming, body, endsCleanly }: TargetResponse,
  { clock, longestMs, cut }: PassOnOptions,
): void => {
  response.writeHead(status, endToEnd(incoming, { dropContentLength: false }))
  for (const chunk of body) response.write(chunk)
  let ended = false
  const finish = (): boolean => {
    if (ended) return false
    ended = true
    cancel()
    return true
  }
  const cutOff = (reason: 'broken_off' | 'too_long'): void => {
    if (!finish()) return
    cut(reason)
    response.destroy()
  }
  const cancel = clock.schedule(longestMs, () => {
    cutOff('too_long')
  })
  const brokenOff = (): void => {
    cutOff('broken_off')
  }
  incoming.on('data', (chunk: Buffer) => {
    if (!response.write(chunk)) incoming.pause()
  })
  response.on('drain', () => incoming.resume())
  incoming.once('end', () => {
    incoming.off('close', brokenOff)
    if (!incoming.complete) brokenOff()
    else {
      endsCleanly.then((isClean) => {
        if (!isClean) brokenOff()
        else if (finish()) response.end()
      }, brokenOff)
    }
  })
  incoming.once('aborted', brokenOff).once('close', brokenOff)
  response.once('close', () => {
    finish()
    incoming.destroy()
  })
  incoming.resume()
}

/** A target's answer, unchanged; one that breaks off does not look complete. */
export const passOn = (response: ServerResponse, answer: TargetResponse, options: PassOnOptions): void => {
  if (answer.complete) sendWhole(response, answer)
  else stream(response, answer, options)
}

/** These statuses promise that the request has not run. */
export const promisesNotRun = (status: number): boolean =>
  status === 503 || status === 429 || status === 408 || status === 421

export interface GeneratedAnswer {
  readonly status: 502 | 503 | 504
  readonly code: string
  readonly requestId: string
  readonly retryAfterMs?: number
}

/** An answer of the router's own, without a target's signature. */
export const sendGenerated = (
  response: ServerResponse,
  { status, code, requestId, retryAfterMs }: GeneratedAnswer,
): void => {
  if (response.destroyed) return
  response.writeHead(status, {
    'content-type': 'application/json',
    ...generatedHeaders(requestId, retryAfterMs),
  })
  response.end(JSON.stringify({ code, outcome: promisesNotRun(status) ? 'not-run' : 'unknown' }))
}
