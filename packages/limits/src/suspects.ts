/**
 * Requests that may have crashed a target. A suspect runs alone; a crash while running alone is conclusive, and after
 * the service's `crashLimit` of those the identity is blocked.
 */
import type { CrashRecord } from './session.js'

/** Suspects beyond this many are forgotten, oldest first. */
const maxSuspects = 10_000

/** A suspect that is not sent again within this time is forgotten. */
const suspectTtlMs = 600_000

/**
 * Without a crash seen for this long, a lost connection had another cause. A lone request whose connection was lost is
 * held back meanwhile: a target that crashed may take over 2 s to be seen again, and 1.5 s let a fourth crash happen
 * (seed 436508 of the model).
 */
export const crashDetectionTimeoutMs = 3000

interface Suspect {
  readonly identity: string
  readonly service: string
  crashes: number
  atMs: number
  /** Lost connections whose cause is open; with none and no crash seen, the suspicion is dropped. */
  unexplainedLosses: number
  /** In flight alone. */
  running: boolean
  /** Not lent again before this time: its last lone run may have been a crash. */
  notLentBeforeMs: number
  /** Was in flight when a target crashed. */
  wasInFlightAtCrash: boolean
  /** The first of these targets; requests of one identity on one target are one piece of evidence. */
  crashedTarget: string | undefined
}

/** A request that was in flight when its target crashed. */
export interface Crash {
  readonly identity: string
  readonly service: string
  readonly target: string
  readonly alone: boolean
  readonly crashLimit: number
}

export abstract class SuspectListener {
  abstract suspected(entry: CrashRecord): void
  abstract cleared(identity: string): void
  abstract blocked(entry: CrashRecord): void
  abstract unblocked(identity: string): void
}

export class SuspectTracker {
  readonly #suspects = new Map<string, Suspect>()
  readonly #blocked = new Map<string, CrashRecord>()
  readonly #listener: SuspectListener

  constructor(listener: SuspectListener) {
    this.#listener = listener
  }

  get blocked(): readonly CrashRecord[] {
    return [...this.#blocked.values()]
  }

  get suspects(): readonly CrashRecord[] {
    return [...this.#suspects.values()].map(({ identity, service, crashes }) => ({
      identity,
      service,
      crashes,
    }))
  }

  isBlocked(identity: string): boolean {
    return this.#blocked.size > 0 && this.#blocked.has(identity)
  }

  isSuspect(identity: string): boolean {
    return this.#suspects.size > 0 && this.#suspects.has(identity)
  }

  /** False while a lone run of the identity is in flight or its outcome is open. */
  mayRun(identity: string, nowMs: number): boolean {
    const suspect = this.#suspects.get(identity)
    return suspect === undefined || (!suspect.running && suspect.notLentBeforeMs <= nowMs)
  }

  /** A lone run begins. */
  recordLoneRunStart(identity: string): void {
    const suspect = this.#suspects.get(identity)
    if (suspect !== undefined) suspect.running = true
  }

  /** A lone run ended, however it did. */
  recordLoneRunEnd(identity: string): void {
    const suspect = this.#suspects.get(identity)
    if (suspect !== undefined) suspect.running = false
  }

  /** The connection was lost: runs alone until it is known whether the target crashed. */
  recordConnectionLost(identity: string, service: string, alone: boolean, nowMs: number): void {
    const suspect = this.#add(identity, service, nowMs)
    if (suspect === undefined) return
    suspect.unexplainedLosses += 1
    if (alone) suspect.notLentBeforeMs = nowMs + crashDetectionTimeoutMs
  }

  /** The target had not crashed when it lost a connection of this identity. */
  recordNoCrash(identity: string, alone: boolean): void {
    const suspect = this.#suspects.get(identity)
    if (suspect === undefined) return
    suspect.unexplainedLosses = Math.max(0, suspect.unexplainedLosses - 1)
    if (alone) suspect.notLentBeforeMs = 0
    if (suspect.unexplainedLosses === 0 && !suspect.wasInFlightAtCrash) this.clear(identity)
  }

  /** The identity was in flight when a target crashed. */
  recordCrash({ identity, service, target, alone, crashLimit }: Crash, nowMs: number): void {
    const suspect = this.#add(identity, service, nowMs)
    if (suspect === undefined) return
    suspect.unexplainedLosses = Math.max(0, suspect.unexplainedLosses - 1)
    // A copy, such as a hedge, that was in flight already when the first target crashed. It counts, so that the number
    // of crashes stays within 1 + crashLimit, but only lone runs can block an identity.
    const isCopy = !alone && suspect.crashedTarget !== undefined && suspect.crashedTarget !== target
    suspect.wasInFlightAtCrash = true
    suspect.crashedTarget ??= target
    if (isCopy && suspect.crashes + 1 < crashLimit) {
      suspect.crashes += 1
      this.#listener.suspected({ identity, service, crashes: suspect.crashes })
    }
    // The verdict on an earlier, shared run does not end the wait for that on a lone run.
    if (!alone) return
    suspect.notLentBeforeMs = 0
    suspect.crashes += 1
    this.#listener.suspected({ identity, service, crashes: suspect.crashes })
    if (suspect.crashes >= crashLimit) this.#block({ identity, service, crashes: suspect.crashes })
  }

  /** A success while running alone. */
  clear(identity: string): void {
    if (this.#suspects.delete(identity)) this.#listener.cleared(identity)
  }

  /** Takes suspicions of an earlier coordinator; never lowers a count. */
  adopt(entries: readonly CrashRecord[], nowMs: number): void {
    for (const { identity, service, crashes } of entries) {
      const suspect = this.#add(identity, service, nowMs)
      if (suspect === undefined) continue
      suspect.wasInFlightAtCrash = true
      suspect.crashes = Math.max(suspect.crashes, crashes)
    }
  }

  /** Adds blocked identities, for example those stored on the platform. */
  setBlocked(entries: readonly CrashRecord[]): CrashRecord[] {
    const added = entries.filter(({ identity }) => !this.#blocked.has(identity))
    for (const entry of added) {
      this.#blocked.set(entry.identity, entry)
      this.#suspects.delete(entry.identity)
    }
    return added
  }

  /** Released by an operator; false when it was not blocked. */
  unblock(identity: string): boolean {
    if (!this.#blocked.delete(identity)) return false
    this.#listener.unblocked(identity)
    return true
  }

  /** Forgets suspects that were not sent again. */
  expire(nowMs: number): void {
    for (const [identity, suspect] of this.#suspects) {
      if (suspect.unexplainedLosses > 0 && nowMs - suspect.atMs > crashDetectionTimeoutMs) {
        suspect.unexplainedLosses = 0
        if (!suspect.wasInFlightAtCrash && !suspect.running) this.clear(identity)
      }
      if (nowMs - suspect.atMs > suspectTtlMs && !suspect.running) this.clear(identity)
    }
  }

  #add(identity: string, service: string, nowMs: number): Suspect | undefined {
    if (identity === '' || this.#blocked.has(identity)) return undefined
    let suspect = this.#suspects.get(identity)
    if (suspect === undefined) {
      suspect = {
        identity,
        service,
        crashes: 0,
        atMs: nowMs,
        unexplainedLosses: 0,
        running: false,
        notLentBeforeMs: 0,
        wasInFlightAtCrash: false,
        crashedTarget: undefined,
      }
      this.#suspects.set(identity, suspect)
      this.#listener.suspected({ identity, service, crashes: 0 })
      const oldest = this.#suspects.keys().next().value
      if (this.#suspects.size > maxSuspects && oldest !== undefined) this.clear(oldest)
    }
    suspect.atMs = nowMs
    return suspect
  }

  #block(entry: CrashRecord): void {
    this.#suspects.delete(entry.identity)
    this.#blocked.set(entry.identity, entry)
    this.#listener.blocked(entry)
  }
}
