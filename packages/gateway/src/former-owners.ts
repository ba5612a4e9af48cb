/**
 * What the leader knows of targets whose keys have to move, also after they have left the target registry:
 * their last address, whether they may still hold keys, and whether their keys may be moved now.
 */
import type { Clock } from '@pimentotally/core'
import type { Assignment } from '@pimentotally/assignment'
import type { Directory, KnownTarget } from './directory.js'
import type { TargetGrants } from './target-grants.js'

/**
 * An owner that can write to the store again is back in the target registry within this time, which covers
 * two heartbeats and a read of the registry.
 */
const reregistrationMs = 2500
/** Pause between two probes of an owner that has left the target registry. */
const probePauseMs = 500

/** What proves that a target holds none of a range's keys. */
export const HoldEndReason = {
  /** The target has released them. */
  released: 'released',
  /** Every grant that was sent to it has lapsed. */
  lapsed: 'lapsed',
  /** A later process runs at its address, as both the target registry and that process say. */
  processEnded: 'process_ended',
  /** The range goes to a later process of the same target, which started without keys. */
  newProcess: 'new_life',
} as const
export type HoldEndReason = (typeof HoldEndReason)[keyof typeof HoldEndReason]

export interface FormerOwnersOptions {
  readonly service: string
  readonly clock: Clock
  readonly directory: Directory
  readonly grants: TargetGrants
  /** The stored assignment; undefined before it is read. */
  readonly assignment: () => Assignment | undefined
}

interface SeenOwner {
  readonly address: string
  /** Undefined when only the address is known, from the assignment. */
  readonly startedAtEpochMs: number | undefined
}

/** An owner that has left the target registry while its grants may last. */
interface UnregisteredOwner {
  /** Whether a probe has gone unanswered. */
  wasSilent: boolean
  /** Undefined while it does not answer probes. */
  answersSinceMs: number | undefined
  /** A probe, or the pause after one, is in progress. */
  isProbing: boolean
}

export class FormerOwners {
  readonly #options: FormerOwnersOptions
  readonly #lastSeen = new Map<string, SeenOwner>()
  readonly #unregistered = new Map<string, UnregisteredOwner>()
  /** Owners at whose addresses a target with another id has answered. */
  readonly #replaced = new Set<string>()

  constructor(options: FormerOwnersOptions) {
    this.#options = options
  }

  /** Records the addresses of targets that are in the target registry. */
  recordAddresses(targets: readonly KnownTarget[]): void {
    for (const { id, address, startedAtEpochMs } of targets) {
      this.#lastSeen.set(id, { address, startedAtEpochMs })
      this.#replaced.delete(id)
    }
  }

  addressOf(id: string): string | undefined {
    return this.#find(id)?.address
  }

  /**
   * Why the target certainly cannot hold any of the service's keys; undefined while it may. A target that is
   * in the target registry may already have a grant in a later process, so the end of its earlier process
   * proves nothing; it answers a release instead.
   */
  holdEndReason(id: string): HoldEndReason | undefined {
    const { directory, clock, grants } = this.#options
    if (clock.monotonicMs() >= grants.lapsesAtMs(id)) return HoldEndReason.lapsed
    const seen = this.#find(id)
    const hasEnded =
      seen !== undefined &&
      this.#replaced.has(id) &&
      directory.target(id) === undefined &&
      directory.hasCertainlyEnded(id, seen.address, seen.startedAtEpochMs)
    return hasEnded ? HoldEndReason.processEnded : undefined
  }

  /** Asks who answers at the address of an owner that has left the target registry. */
  async probeUnregistered(id: string): Promise<void> {
    const address = this.addressOf(id)
    if (address === undefined || this.#options.directory.target(id) !== undefined) return
    await this.#probeAddress(id, address)
  }

  /**
   * Owners whose ranges must not move now: a silent owner that has left the target registry may come back,
   * and a move would keep it from serving its keys. Load pattern: a failure domain is cut off for some
   * seconds.
   */
  pinned({ ranges }: Assignment): ReadonlySet<string> {
    const pinned = new Set<string>()
    for (const owner of new Set(ranges.map((range) => range.owner))) {
      if (this.#isPinned(owner)) pinned.add(owner)
      else this.#unregistered.delete(owner)
    }
    return pinned
  }

  #find(id: string): SeenOwner | undefined {
    const address = this.#options.assignment()?.addresses[id]
    return (
      this.#lastSeen.get(id) ?? (address === undefined ? undefined : { address, startedAtEpochMs: undefined })
    )
  }

  #isPinned(owner: string): boolean {
    const { directory, clock, service } = this.#options
    if (directory.target(owner)?.service === service || this.holdEndReason(owner) !== undefined) return false
    const address = this.addressOf(owner)
    if (address === undefined) return true
    const unregistered = this.#unregistered.get(owner) ?? {
      wasSilent: false,
      answersSinceMs: undefined,
      isProbing: false,
    }
    this.#unregistered.set(owner, unregistered)
    if (!unregistered.isProbing) void this.#probe(owner, address, unregistered)
    if (unregistered.answersSinceMs === undefined) return true
    // A target that was cut off is back in the target registry after its next heartbeat.
    return unregistered.wasSilent && clock.monotonicMs() - unregistered.answersSinceMs < reregistrationMs
  }

  /** Resolves to true when there is an answer, whoever sent it. */
  async #probeAddress(id: string, address: string): Promise<boolean> {
    const answer = await this.#options.grants.probe({ id, address })
    if (answer?.id !== undefined && answer.id !== id) this.#replaced.add(id)
    return answer !== undefined
  }

  async #probe(id: string, address: string, unregistered: UnregisteredOwner): Promise<void> {
    const { clock } = this.#options
    unregistered.isProbing = true
    if (await this.#probeAddress(id, address)) {
      unregistered.answersSinceMs ??= clock.monotonicMs()
    } else {
      unregistered.wasSilent = true
      unregistered.answersSinceMs = undefined
    }
    await clock.sleep(probePauseMs)
    unregistered.isProbing = false
  }
}
