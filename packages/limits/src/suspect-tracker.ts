/**
 * Tracks suspects: requests that may have crashed a target. A suspect runs alone on its target. A crash while
 * it runs alone is conclusive, and after `crashLimit` of those (a setting of the service) its identity is
 * blocked.
 */
import type { CrashRecord } from './session.js'

/** Bounds the memory; above this number the oldest suspect is dropped. */
const maxSuspects = 10_000

/** A suspect that has no lost connection and no crash for this long is dropped. */
const suspectTtlMs = 600_000

/**
 * A lost connection is taken to have another cause than a crash when no crash was detected for this long.
 * Until then a request that lost its connection while running alone gets no new permit. A crashed target may
 * take over 2 s until it is seen again; with 1.5 s a fourth crash was possible (seed 436508 of the
 * simulation).
 */
export const crashDetectionTimeoutMs = 3000

interface Suspect {
  readonly identity: string
  readonly service: string
  crashes: number
  atMs: number
  /**
   * Number of lost connections whose cause is not known. At 0, and without a crash, the suspicion is dropped.
   */
  unexplainedLosses: number
  /** True while the request runs alone. */
  running: boolean
  /**
   * No permit is issued before this time, as the request may have crashed its target when it last ran alone.
   */
  noPermitBeforeMs: number
  /** True once the request was in flight when a target crashed, here or at an earlier coordinator. */
  wasInFlightAtCrash: boolean
  /** The first target that crashed with the request in flight; several copies on one target count as one. */
  crashedTarget: string | undefined
}

/** A request that was in flight when its target crashed. */
export interface Crash {
  readonly identity: string
  readonly service: string
  readonly target: string
  /** True when nothing else ran on the target, so that the crash is conclusive. */
  readonly alone: boolean
  /** The service's limit on crashes, at which the identity is blocked. */
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

  /**
   * False while the suspect runs alone, and while it isn't known whether its last lone run crashed the
   * target.
   */
  mayRun(identity: string, nowMs: number): boolean {
    const suspect = this.#suspects.get(identity)
    return suspect === undefined || (!suspect.running && suspect.noPermitBeforeMs <= nowMs)
  }

  /** A request of the identity begins to run alone. */
  recordLoneRunStart(identity: string): void {
    const suspect = this.#suspects.get(identity)
    if (suspect !== undefined) suspect.running = true
  }

  /** A request that ran alone has ended, with whatever outcome. */
  recordLoneRunEnd(identity: string): void {
    const suspect = this.#suspects.get(identity)
    if (suspect !== undefined) suspect.running = false
  }

  /**
   * The connection of a request was lost. The identity runs alone until it is known whether the target
   * crashed.
   */
  recordConnectionLost(identity: string, service: string, alone: boolean, nowMs: number): void {
    const suspect = this.#add(identity, service, nowMs)
    if (suspect === undefined) return
    suspect.unexplainedLosses += 1
    if (alone) suspect.noPermitBeforeMs = nowMs + crashDetectionTimeoutMs
  }

  /**
   * It is now known, or assumed after the timeout, that the target did not crash when a connection was lost.
   */
  recordNoCrash(identity: string, alone: boolean): void {
    const suspect = this.#suspects.get(identity)
    if (suspect === undefined) return
    suspect.unexplainedLosses = Math.max(0, suspect.unexplainedLosses - 1)
    if (alone) suspect.noPermitBeforeMs = 0
    if (suspect.unexplainedLosses === 0 && !suspect.wasInFlightAtCrash) this.clear(identity)
  }

  /** The identity was in flight when a target crashed. */
  recordCrash({ identity, service, target, alone, crashLimit }: Crash, nowMs: number): void {
    const suspect = this.#add(identity, service, nowMs)
    if (suspect === undefined) return
    suspect.unexplainedLosses = Math.max(0, suspect.unexplainedLosses - 1)
    // A copy of the request, such as a hedge, was in flight on another target when the first one crashed. It
    // counts, so that there are at most 1 + crashLimit crashes, but only a crash while running alone can
    // block an identity.
    const isCopy = !alone && suspect.crashedTarget !== undefined && suspect.crashedTarget !== target
    suspect.wasInFlightAtCrash = true
    suspect.crashedTarget ??= target
    if (isCopy && suspect.crashes + 1 < crashLimit) {
      suspect.crashes += 1
      this.#listener.suspected({ identity, service, crashes: suspect.crashes })
    }
    // A crash in an earlier run beside other requests doesn't decide how a run alone has ended, so the wait
    // goes on.
    if (!alone) return
    suspect.noPermitBeforeMs = 0
    suspect.crashes += 1
    this.#listener.suspected({ identity, service, crashes: suspect.crashes })
    if (suspect.crashes >= crashLimit) this.#block({ identity, service, crashes: suspect.crashes })
  }

  /** Drops the suspicion, for example after a success while running alone. */
  clear(identity: string): void {
    if (this.#suspects.delete(identity)) this.#listener.cleared(identity)
  }

  /** Adds suspects of an earlier coordinator. A count of crashes is never lowered. */
  adopt(entries: readonly CrashRecord[], nowMs: number): void {
    for (const { identity, service, crashes } of entries) {
      const suspect = this.#add(identity, service, nowMs)
      if (suspect === undefined) continue
      suspect.wasInFlightAtCrash = true
      suspect.crashes = Math.max(suspect.crashes, crashes)
    }
  }

  /**
   * Adds blocked identities, for example those stored on the platform; returns those that were not blocked
   * yet.
   */
  setBlocked(entries: readonly CrashRecord[]): CrashRecord[] {
    const added = entries.filter(({ identity }) => !this.#blocked.has(identity))
    for (const entry of added) {
      this.#blocked.set(entry.identity, entry)
      this.#suspects.delete(entry.identity)
    }
    return added
  }

  /** Releases an identity for an operator; false when it was not blocked. */
  unblock(identity: string): boolean {
    if (!this.#blocked.delete(identity)) return false
    this.#listener.unblocked(identity)
    return true
  }

  /**
   * Gives up waiting for the cause of lost connections after the timeout, and drops suspects that are too
   * old.
   */
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
        noPermitBeforeMs: 0,
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
