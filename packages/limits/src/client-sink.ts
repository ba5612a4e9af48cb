/** Handles the messages of a coordinator to this host, as long as their session is the current one. */
import type { Permit, PermitRefusal } from '@pimentotally/core'
import { type CrashRecord, PermitSink } from './session.js'

/** Bounds the memory of a list; above this number the oldest entries are dropped. */
const maxEntries = 10_000

/** Blocked or suspected identities as the coordinator listed them, at most `maxEntries`. */
export class CrashList {
  readonly #entries = new Map<string, CrashRecord>()

  has(identity: string): boolean {
    return this.#entries.size > 0 && this.#entries.has(identity)
  }

  list(): readonly CrashRecord[] {
    return [...this.#entries.values()]
  }

  add(entries: readonly CrashRecord[]): void {
    for (const entry of entries) this.#entries.set(entry.identity, entry)
    for (const identity of this.#entries.keys()) {
      if (this.#entries.size <= maxEntries) return
      this.#entries.delete(identity)
    }
  }

  remove(identities: readonly string[]): void {
    for (const identity of identities) this.#entries.delete(identity)
  }

  clear(): void {
    this.#entries.clear()
  }
}

export interface ClientSinkOptions {
  /**
   * Messages of an earlier session are dropped: the current coordinator doesn't count permits issued in them.
   */
  readonly isCurrent: () => boolean
  readonly lent: (callId: number, permit: Permit) => void
  readonly refused: (callId: number, refusal: PermitRefusal) => void
  readonly heard: () => void
  readonly closed: (isConnectionLost: boolean) => void
  readonly blockedList: CrashList
  readonly suspectList: CrashList
}

export class ClientSink extends PermitSink {
  readonly #options: ClientSinkOptions

  constructor(options: ClientSinkOptions) {
    super()
    this.#options = options
  }

  override lent(callId: number, permit: Permit): void {
    if (this.#options.isCurrent()) this.#options.lent(callId, permit)
  }

  override refused(callId: number, refusal: PermitRefusal): void {
    if (this.#options.isCurrent()) this.#options.refused(callId, refusal)
  }

  override blocked(entries: readonly CrashRecord[]): void {
    if (!this.#options.isCurrent()) return
    this.#options.blockedList.add(entries)
    this.#options.suspectList.remove(entries.map(({ identity }) => identity))
  }

  override unblocked(identities: readonly string[]): void {
    if (this.#options.isCurrent()) this.#options.blockedList.remove(identities)
  }

  override suspected(entries: readonly CrashRecord[]): void {
    if (this.#options.isCurrent()) this.#options.suspectList.add(entries)
  }

  override cleared(identities: readonly string[]): void {
    if (this.#options.isCurrent()) this.#options.suspectList.remove(identities)
  }

  override heard(): void {
    if (this.#options.isCurrent()) this.#options.heard()
  }

  override closed(isConnectionLost = false): void {
    if (this.#options.isCurrent()) this.#options.closed(isConnectionLost)
  }
}
