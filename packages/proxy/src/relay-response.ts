/** Streams a response to the caller, with backpressure and with stall timeouts on both sides. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Cancel, Clock } from '@pimentotally/core'
import { breakOffResponse } from '@pimentotally/http'
import { scheduleStallTimeout } from './stall-timeout.js'

export type RelayEnd = 'complete' | 'truncated' | 'targetStalled' | 'callerStalled' | 'callerGone'

export interface RelayOptions {
  readonly clock: Clock
  readonly stallTimeoutMs: number
  readonly callerStallTimeoutMs: number
  /** The body is also captured if it is not longer than this; 0 captures nothing. */
  readonly captureBytes: number
}

export interface RelayResult {
  readonly end: RelayEnd
  /** The complete body; absent when it was not captured. */
  readonly captured?: Buffer
}

/**
 * Closes the connection of a caller that does not read the last bytes of a complete response within
 * `limitMs`.
 */
const limitFlushTime = (response: ServerResponse, clock: Clock, limitMs: number): void => {
  if (!response.writableNeedDrain) return
  const cancel = clock.schedule(limitMs, () => {
    if (!response.writableFinished) breakOffResponse(response)
  })
  response.once('close', cancel)
}

/** Bodies up to this size are written together with the head, in one write. */
const maxSingleWriteBytes = 16_384

/** Sends a response that has already arrived completely; undefined when there is more to come. */
export const relayCompleteResponse = (
  incoming: IncomingMessage,
  response: ServerResponse,
  { clock, callerStallTimeoutMs, captureBytes }: RelayOptions,
): RelayResult | undefined => {
  if (!incoming.complete || incoming.destroyed || response.destroyed) return undefined
  // Reading the buffer makes Node emit `end` and release the connection to the target.
  const body = (incoming.read() as Buffer | null) ?? Buffer.alloc(0)
  if (body.length === 0) response.end()
  // Node writes the head and a string in one piece, but the head and a buffer in two.
  else if (body.length <= maxSingleWriteBytes) response.end(body.toString('latin1'), 'latin1')
  else response.end(body)
  limitFlushTime(response, clock, callerStallTimeoutMs)
  return { end: 'complete', captured: captureBytes >= body.length && captureBytes > 0 ? body : undefined }
}

/**
 * Streams a response whose head has already been written to `response`. Resolves when it has ended at the
 * target or was given up. With `captureBytes`, a response whose caller is gone is still read to its end while
 * it fits.
 */
export const relayResponse = (
  incoming: IncomingMessage,
  response: ServerResponse,
  { clock, stallTimeoutMs, callerStallTimeoutMs, captureBytes }: RelayOptions,
): Promise<RelayResult> =>
  new Promise((resolve) => {
    let settled = false
    let progress = 0
    let waitsForCaller = false
    let isCallerGone = response.destroyed
    let captured: Buffer[] | undefined = captureBytes > 0 ? [] : undefined
    let capturedBytes = 0
    let stopTimer: Cancel | undefined

    const settle = (end: RelayEnd): void => {
      if (settled) return
      settled = true
      stopTimer?.()
      response.off('drain', onDrain).off('close', onCallerClose)
      if (end === 'complete' && !isCallerGone) {
        response.end()
        limitFlushTime(response, clock, callerStallTimeoutMs)
      } else if (!isCallerGone) breakOffResponse(response)
      resolve({
        end: isCallerGone && end !== 'complete' ? 'callerGone' : end,
        captured: end === 'complete' && captured !== undefined ? Buffer.concat(captured) : undefined,
      })
    }
    const watch = (): void => {
      const progressBefore = progress
      const waitedForCaller = waitsForCaller
      stopTimer = scheduleStallTimeout(clock, waitedForCaller ? callerStallTimeoutMs : stallTimeoutMs, () => {
        if (progress !== progressBefore || waitedForCaller !== waitsForCaller) watch()
        else settle(waitedForCaller ? 'callerStalled' : 'targetStalled')
      })
    }
    const onDrain = (): void => {
      progress += 1
      waitsForCaller = false
      incoming.resume()
    }
    const onCallerClose = (): void => {
      isCallerGone = true
      if (captured === undefined) settle('callerGone')
      else if (waitsForCaller) onDrain()
    }
    incoming.on('data', (chunk: Buffer) => {
      if (settled) return
      progress += 1
      if (captured !== undefined) {
        capturedBytes += chunk.length
        captured.push(chunk)
        if (capturedBytes > captureBytes) captured = undefined
      }
      if (isCallerGone) {
        if (captured === undefined) settle('callerGone')
        return
      }
      if (!response.write(chunk)) {
        waitsForCaller = true
        incoming.pause()
        stopTimer?.()
        watch()
      }
    })
    incoming.on('end', () => {
      settle(incoming.complete ? 'complete' : 'truncated')
    })
    incoming.on('error', () => {
      settle('truncated')
    })
    incoming.on('close', () => {
      settle(incoming.complete ? 'complete' : 'truncated')
    })
    response.on('drain', onDrain)
    response.on('close', onCallerClose)
    if (isCallerGone && captured === undefined) settle('callerGone')
    else watch()
  })
