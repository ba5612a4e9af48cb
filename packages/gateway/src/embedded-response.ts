/**
 * Finds a response of the protocol inside the body of another one. A faulty target may write a response a second
 * time while it writes a later one, and a body without a length takes all bytes until its connection ends. Such a
 * response repeats the id of a request that its connection has carried; no body of ours does so in the field of a
 * response head.
 */
import { requestIdInField } from '@pimentotally/platform'

const marker = Buffer.from('HTTP/1.')
/** The first byte of the marker, as it is searched for alone. */
const markerByte = 'H'.charCodeAt(0)
/**
 * The id is looked for in so many bytes of a head; targets send less. Bounds the bytes that are held back while a head
 * is incomplete, and the work for bytes that resemble many heads.
 */
const maxHeadBytes = 2 * 1024
const lineFeed = '\n'.charCodeAt(0)
const statusLine = /^HTTP\/1\.[01] [1-5]\d\d(?: .*)?$/
const field = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+:/
/** Every beginning of a status line that holds the marker. */
const statusLineStart = /^HTTP\/1\.(?:[01](?: (?:[1-5](?:\d(?:\d(?: .*)?)?)?)?)?)?\r?$/

/** `unfinished`: the bytes may be the beginning of a head; `begun` tells whether its status line is complete. */
type Verdict =
  | { readonly kind: 'response' }
  | { readonly kind: 'other' }
  | { readonly kind: 'unfinished'; readonly begun: boolean }

const other: Verdict = { kind: 'other' }

export class EmbeddedResponseScanner {
  readonly #carriedIds: ReadonlySet<string>
  /** Bytes that may begin a head. */
  #held: Buffer = Buffer.alloc(0)
  #hasBegunHead = false

  /** `carriedIds`: ids of the requests that the connection has carried. */
  constructor(carriedIds: ReadonlySet<string>) {
    this.#carriedIds = carriedIds
  }

  /** Takes the next part of the body; returns what of the body is checked, or undefined if another response began. */
  push(chunk: Buffer): Buffer | undefined {
    const bytes = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk])
    this.#held = Buffer.alloc(0)
    this.#hasBegunHead = false
    for (let at = bytes.indexOf(marker); at >= 0; at = bytes.indexOf(marker, at + marker.length)) {
      const verdict = this.#classify(bytes, at)
      if (verdict.kind === 'response') return undefined
      if (verdict.kind === 'other') continue
      this.#hasBegunHead = verdict.begun
      return this.#hold(bytes, at)
    }
    return this.#hold(bytes, bytes.length - markerStartLength(bytes))
  }

  /** Takes the end of the body; returns the rest of it, or undefined if the body ends within another response's head. */
  end(): Buffer | undefined {
    return this.#hasBegunHead ? undefined : this.#held
  }

  #hold(bytes: Buffer, at: number): Buffer {
    // A copy, so that a few bytes do not keep a whole chunk in memory.
    this.#held = Buffer.from(bytes.subarray(at))
    return bytes.subarray(0, at)
  }

  /** Reads the bytes from `start` on as the head of a response. */
  #classify(bytes: Buffer, start: number): Verdict {
    const end = Math.min(bytes.length, start + maxHeadBytes)
    let at = start
    for (let lineEnd = bytes.indexOf(lineFeed, at); lineEnd >= 0 && lineEnd < end;) {
      const line = bytes.toString('latin1', at, lineEnd).replace(/\r$/, '')
      if (!(at === start ? statusLine : field).test(line)) return other
      const id = requestIdInField(line)
      if (id !== undefined && this.#carriedIds.has(id)) return { kind: 'response' }
      at = lineEnd + 1
      lineEnd = bytes.indexOf(lineFeed, at)
    }
    if (end < bytes.length) return other
    const begun = at > start
    return begun || statusLineStart.test(bytes.toString('latin1', at, end))
      ? { kind: 'unfinished', begun }
      : other
  }
}

/** Length of the longest end of the bytes that begins the marker. */
const markerStartLength = (bytes: Buffer): number => {
  const from = Math.max(0, bytes.length - marker.length + 1)
  for (let at = bytes.indexOf(markerByte, from); at >= 0; at = bytes.indexOf(markerByte, at + 1)) {
    if (bytes.subarray(at).equals(marker.subarray(0, bytes.length - at))) return bytes.length - at
  }
  return 0
}
