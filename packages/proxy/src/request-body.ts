/** The body of a request: kept in memory up to a limit, streamed beyond it. */
import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { keyHash, type Clock } from '@pimentotally/core'
import { GeneratedResponse } from './generated-response.js'
import { scheduleStallTimeout } from './stall-timeout.js'

export type RequestBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'buffered'; readonly bytes: Buffer }
  /** `prefix` has been read from `source`, which is paused; `declared` is its content-length. */
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

/** The caller's connection ended before the whole body arrived. */
export const callerGone = Symbol('callerGone')

const none: RequestBody = { kind: 'none' }

const tooLarge = GeneratedResponse.notRun(413, 'body_too_large', 'the request body is too large', {
  close: true,
})

const stalled = GeneratedResponse.notRun(
  400,
  'body_stalled',
  'no part of the request body arrived for too long',
  {
    close: true,
  },
)

const declaredLength = ({ headers }: IncomingMessage): number | undefined =>
  headers['content-length'] === undefined ? undefined : Number(headers['content-length'])

export const RequestBody = {
  /**
   * The result without reading: there is no body, or its content-length is too large; undefined when it must
   * be read.
   */
  withoutReading: (
    request: IncomingMessage,
    maxBytes: number,
  ): RequestBody | GeneratedResponse | undefined => {
    const declared = declaredLength(request)
    if (declared === undefined ? request.headers['transfer-encoding'] === undefined : declared === 0)
      return none
    return declared !== undefined && declared > maxBytes ? tooLarge : undefined
  },

  /** Resolves when the body is complete, is longer than `bufferedBytes`, or is refused. */
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

  /** The part of the body that counts towards the identity of a request: of a streamed one, the start. */
  identitySample: (body: RequestBody): Buffer | undefined =>
    body.kind === 'none' ? undefined : body.kind === 'buffered' ? body.bytes : body.prefix,

  /** The identity by which a request that crashes targets is recognised, when it has no idempotency key. */
  identity: (service: string, method: string, path: string, body: RequestBody): string => {
    const sample = RequestBody.identitySample(body)
    return keyHash(
      service,
      sample === undefined ? `${method}\0${path}` : `${method}\0${path}\0${sample.toString('latin1')}`,
    )
  },

  /** SHA-256 in hex, which shows that an idempotency key was used again for another request. */
  hash: (method: string, path: string, body: RequestBody): string => {
    const hash = createHash('sha256').update(`${method}\0${path}\0`)
    const sample = RequestBody.identitySample(body)
    if (sample !== undefined) hash.update(sample)
    if (body.kind === 'stream') hash.update(`\0${String(body.declared)}`)
    return hash.digest('hex')
  },
}
