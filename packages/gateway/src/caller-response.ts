/** Sends responses to callers: a target's, buffered or streamed, or one that the router generates itself. */
import type { ServerResponse } from 'node:http'
import type { Clock } from '@pimentotally/core'
import { breakOffResponse, endToEndHeaders } from '@pimentotally/http'
import { generatedResponseHeaders } from '@pimentotally/platform'
import type { TargetResponse } from './target-exchange.js'

const isBodiless = (status: number): boolean => status === 204 || status === 304

/** Forwards a response that has arrived completely. */
const sendBuffered = (response: ServerResponse, { status, incoming, body }: TargetResponse): void => {
  // The length in a response to HEAD is that of the body which GET would get.
  const isHead = response.req.method === 'HEAD'
  const headers = endToEndHeaders(incoming, { dropContentLength: !isHead })
  const buffer = Buffer.concat(body)
  if (!isHead && !isBodiless(status)) headers.push('Content-Length', String(buffer.length))
  response.writeHead(status, headers).end(buffer)
}

export interface ForwardResponseOptions {
  readonly clock: Clock
  /**
   * Time limit of a streamed response, from the start of its forwarding. It ends after the caller's deadline,
   * when nobody waits any more, or after a long time if the caller set none: a faulty target may send bytes
   * without end.
   */
  readonly longestMs: number
  readonly cut: (reason: CutReason) => void
}

/**
 * Why a response does not reach its caller completely: the target broke it off, another response began within its
 * body, or it had not ended after `longestMs`.
 */
export type CutReason = 'broken_off' | 'crossed' | 'too_long'

/** Forwards a large response while it arrives. */
const streamResponse = (
  response: ServerResponse,
  { status, incoming, body, scanner, endsCleanly }: TargetResponse,
  { clock, longestMs, cut }: ForwardResponseOptions,
): void => {
  response.writeHead(status, endToEndHeaders(incoming, { dropContentLength: false }))
  for (const chunk of body) response.write(chunk)
  let ended = false
  const endOnce = (): boolean => {
    if (ended) return false
    ended = true
    cancel()
    return true
  }
  const abort = (reason: CutReason): void => {
    if (!endOnce()) return
    cut(reason)
    breakOffResponse(response)
  }
  const cancel = clock.schedule(longestMs, () => {
    abort('too_long')
  })
  const onBrokenOff = (): void => {
    abort('broken_off')
  }
  incoming.on('data', (chunk: Buffer) => {
    const checked = scanner.push(chunk)
    if (checked === undefined) abort('crossed')
    else if (!response.write(checked)) incoming.pause()
  })
  response.on('drain', () => incoming.resume())
  incoming.once('end', () => {
    incoming.off('close', onBrokenOff)
    const rest = scanner.end()
    if (!incoming.complete) onBrokenOff()
    else if (rest === undefined) abort('crossed')
    else {
      if (rest.length > 0) response.write(rest)
      // Where the body ends with its connection, this tells a closed connection from a reset one.
      endsCleanly.then((isClean) => {
        if (!isClean) onBrokenOff()
        else if (endOnce()) response.end()
      }, onBrokenOff)
    }
  })
  incoming.once('aborted', onBrokenOff).once('close', onBrokenOff)
  response.once('close', () => {
    endOnce()
    incoming.destroy()
  })
  incoming.resume()
}

/**
 * Forwards a target's response with its status, end-to-end header fields and body unchanged. When the target
 * breaks it off, the caller's connection is closed too, so that the response does not look complete.
 */
export const forwardResponse = (
  response: ServerResponse,
  received: TargetResponse,
  options: ForwardResponseOptions,
): void => {
  if (received.complete) sendBuffered(response, received)
  else streamResponse(response, received, options)
}

/** Whether a response with this status tells the caller that its request has certainly not run. */
export const isNotRunStatus = (status: number): boolean =>
  status === 503 || status === 429 || status === 408 || status === 421

/** A response that the router generates itself, when no target's response can be forwarded. */
export interface GeneratedResponse {
  readonly status: 429 | 502 | 503 | 504
  readonly code: string
  readonly requestId: string
  readonly retryAfterMs?: number
}

/** Sends a response that the router generates. It has no `x-response-signature`, which only targets set. */
export const sendGeneratedResponse = (
  response: ServerResponse,
  { status, code, requestId, retryAfterMs }: GeneratedResponse,
): void => {
  if (response.destroyed) return
  response.writeHead(status, {
    'content-type': 'application/json',
    ...generatedResponseHeaders(requestId, retryAfterMs),
  })
  response.end(JSON.stringify({ code, outcome: isNotRunStatus(status) ? 'not-run' : 'unknown' }))
}
