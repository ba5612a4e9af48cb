/** Streams an answer to the caller with backpressure and stall limits on both sides. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Cancel, Clock } from '@pimentotally/core'
import { scheduleStallTimeout } from './stall-timeout.js'

export type RelayEnd = 'complete' | 'truncated' | 'targetStalled' | 'callerStalled' | 'callerGone'

export interface RelayOptions {
  readonly clock: Clock
  readonly stallTimeoutMs: number
  readonly callerStallTimeoutMs: number
  /** Collects the body while it is not longer than this; 0 collects nothing. */
  readonly captureBytes: number
}

export interface RelayResult {
  readonly end: RelayEnd
  /** The whole body, when it was captured. */
  readonly captured?: Buffer
}

/** An ended answer whose last bytes the caller does not take must not hold its connection for ever. */
const limitFlushTime = (response: ServerResponse, clock: Clock, limitMs: number): void => {
  if (!response.writableNeedDrain) return
  const cancel = clock.schedule(limitMs, () => {
    if (!response.writableFinished) response.destroy()
  })
  response.once('close', cancel)
}

const maxSingleWriteBytes = 16_384

/** Ends an answer that has already arrived as a whole; undefined when there is more to come. */
export const relayCompleteResponse = (
  answer: IncomingMessage,
  response: ServerResponse,
  { clock, callerStallTimeoutMs, captureBytes }: RelayOptions,
): RelayResult | undefined => {
  if (!answer.complete || answer.destroyed || response.destroyed) return undefined
  // Node emits the end, and frees the connection, once the buffer is read.
  const body = (answer.read() as Buffer | null) ?? Buffer.alloc(0)
  if (body.length === 0) response.end()
  // Node writes a head and a string in one piece, but a head and a buffer as two.
  else if (body.length <= maxSingleWriteBytes) response.end(body.toString('latin1'), 'latin1')
  else response.end(body)
  limitFlushTime(response, clock, callerStallTimeoutMs)
  return { end: 'complete', captured: captureBytes >= body.length && captureBytes > 0 ? body : undefined }
}

/**
 * Resolves when the answer has ended at the target, or was given up. With `captureBytes`, an answer whose caller has
 * gone is still read to its end while it fits. The head must have been written to `response` before.
 */
export const relayResponse = (
  answer: IncomingMessage,
  response: ServerResponse,
  { clock, stallTimeoutMs, callerStallTimeoutMs, captureBytes }: RelayOptions,
): Promise<RelayResult> =>
  new Promise((resolve) => {
    let settled = false
    let progress = 0
    let waitsForCaller = false
    let gone = response.destroyed
    let captured: Buffer[] | undefined = captureBytes > 0 ? [] : undefined
    let capturedBytes = 0
    let stopTimer: Cancel | undefined

    const settle = (end: RelayEnd): void => {
      if (settled) return
      settled = true
      stopTimer?.()
      response.off('drain', onDrain).off('close', onCallerClose)
      if (end === 'complete' && !gone) {
        response.end()
        limitFlushTime(response, clock, callerStallTimeoutMs)
      } else if (!gone) response.destroy()
      resolve({
        end: gone && end !== 'complete' ? 'callerGone' : end,
        captured: end === 'complete' && captured !== undefined ? Buffer.concat(captured) : undefined,
      })
    }
    const watch = (): void => {
      const seen = progress
      const waited = waitsForCaller
      stopTimer = scheduleStallTimeout(clock, waited ? callerStallTimeoutMs : stallTimeoutMs, () => {
        if (progress !== seen || waited !== waitsForCaller) watch()
        else settle(waited ? 'callerStalled' : 'targetStalled')
      })
    }
    const onDrain = (): void => {
      progress += 1
      waitsForCaller = false
      answer.resume()
    }
    const onCallerClose = (): void => {
      gone = true
      if (captured === undefined) settle('callerGone')
      else if (waitsForCaller) onDrain()
    }
    answer.on('data', (chunk: Buffer) => {
      if (settled) return
      progress += 1
      if (captured !== undefined) {
        capturedBytes += chunk.length
        captured.push(chunk)
        if (capturedBytes > captureBytes) captured = undefined
      }
      if (gone) {
        if (captured === undefined) settle('callerGone')
        return
      }
      if (!response.write(chunk)) {
        waitsForCaller = true
        answer.pause()
        stopTimer?.()
        watch()
      }
    })
    answer.on('end', () => {
      settle(answer.complete ? 'complete' : 'truncated')
    })
    answer.on('error', () => {
      settle('truncated')
    })
    answer.on('close', () => {
      settle(answer.complete ? 'complete' : 'truncated')
    })
    response.on('drain', onDrain)
    response.on('close', onCallerClose)
    if (gone && captured === undefined) settle('callerGone')
    else watch()
  })
