/** The body of a caller's request: held in memory up to a limit, streamed beyond it. */
import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { keyHash, type Clock } from '@pimentotally/core'
import { GeneratedResponse } from './generated-response.js'
import { scheduleStallTimeout } from './stall-timeout.js'

export type RequestBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'buffered'; readonly bytes: Buffer }
  /** `prefix` was read already; the source is paused. */
  | {
      readonly kind: 'stream'
      readonly prefix: Buffer
      readonly source: IncomingMessage
      readonly declared?: number
    }

export interface ReadBodyOptions {
  readonly bufferedBytes: number
  readonly maxBytes: number
  readonly stallTimeoutMs: number
  readonly clock: Clock
}

/** The caller's connection ended before its body did. */
export const callerGone = Symbol('callerGone')

const none: RequestBody = { kind: 'none' }

const tooLarge = GeneratedResponse.notRun(413, 'body_too_large', 'the request body is too large', {
  close: true,
})

const stalled = GeneratedResponse.notRun(400, 'body_stalled', 'the request body made no progress', {
  close: true,
})

const declaredLength = ({ headers }: IncomingMessage): number | undefined =>
  headers['content-length'] === undefined ? undefined : Number(headers['content-length'])

export const RequestBody = {
  /** The body when nothing needs to be awaited: there is none, or it is refused by its declared length. */
  withoutReading: (
    request: IncomingMessage,
    maxBytes: number,
  ): RequestBody | GeneratedResponse | undefined => {
    const declared = declaredLength(request)
    if (declared === undefined ? request.headers['transfer-encoding'] === undefined : declared === 0)
      return none
    return declared !== undefined && declared > maxBytes ? tooLarge : undefined
  },

  /** Resolves when the body is complete or has passed `bufferedBytes`. */
  read: (
    request: IncomingMessage,
    { bufferedBytes, maxBytes, stallTimeoutMs, clock }: ReadBodyOptions,
  ): Promise<RequestBody | GeneratedResponse | typeof callerGone> =>
    new Promise((resolve) => {
      const chunks: Buffer[] = []
      let size = 0
      let progress = 0
      const settle = (result: RequestBody | GeneratedResponse | typeof callerGone): void => {
        cancelTimer()
        request.off('data', onData).off('end', onEnd).off('close', onClose)
        request.pause()
        resolve(result)
      }
      const watch = (seen: number): (() => void) =>
        scheduleStallTimeout(clock, stallTimeoutMs, () => {
          if (progress === seen) settle(stalled)
          else cancelTimer = watch(progress)
        })
      const onData = (chunk: Buffer): void => {
        chunks.push(chunk)
        progress += 1
        size += chunk.length
        if (size > maxBytes) settle(tooLarge)
        else if (size > bufferedBytes) {
          settle({
            kind: 'stream',
            prefix: Buffer.concat(chunks),
            source: request,
            declared: declaredLength(request),
          })
        }
      }
      const onEnd = (): void => {
        settle({ kind: 'buffered', bytes: Buffer.concat(chunks, size) })
      }
      const onClose = (): void => {
        settle(callerGone)
      }
      let cancelTimer = watch(progress)
      request.on('data', onData).once('end', onEnd).once('close', onClose)
    }),

  /** What of the body counts towards the identity of a request. */
  identitySample: (body: RequestBody): Buffer | undefined =>
    body.kind === 'none' ? undefined : body.kind === 'buffered' ? body.bytes : body.prefix,

  /** Identity by which a crashing request is recognised, when it has no idempotency key. */
  identity: (service: string, method: string, path: string, body: RequestBody): string => {
    const sample = RequestBody.identitySample(body)
    return keyHash(
      service,
      sample === undefined ? `${method}\0${path}` : `${method}\0${path}\0${sample.toString('latin1')}`,
    )
  },

  /** SHA-256 in hex, by which the reuse of an idempotency key for another request is found. */
  hash: (method: string, path: string, body: RequestBody): string => {
    const hash = createHash('sha256').update(`${method}\0${path}\0`)
    const sample = RequestBody.identitySample(body)
    if (sample !== undefined) hash.update(sample)
    if (body.kind === 'stream') hash.update(`\0${String(body.declared)}`)
    return hash.digest('hex')
  },
}
