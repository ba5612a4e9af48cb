/**
 * What the leader knows of owners that may have to give their keys up, also after they have left the register: where
 * they were, whether they can hold keys any more, and whether their keys can move now.
 */
import type { Clock } from '@pimentotally/core'
import type { Assignment } from '@pimentotally/assignment'
import type { Directory, KnownTarget } from './directory.js'
import type { TargetGrants } from './target-grants.js'

/** Two heartbeats and a read of the register. */
const reentryMs = 2500
/** Between two probes of an owner that left the register. */
const probePauseMs = 500

/** What proves that a target holds none of a range's keys. */
export const HoldEndReason = {
  /** The target gave them up. */
  released: 'released',
  /** Every grant that was sent to it has lapsed. */
  lapsed: 'lapsed',
  /** A later process runs at its address, as the register and that process say. */
  processEnded: 'process_ended',
  /** The range goes to a new process of the same target, which began without keys. */
  newProcess: 'new_life',
} as const
export type HoldEndReason = (typeof HoldEndReason)[keyof typeof HoldEndReason]

export interface FormerOwnersOptions {
  readonly service: string
  readonly clock: Clock
  readonly directory: Directory
  readonly grants: TargetGrants
  /** What is stored; undefined before it is read. */
  readonly assignment: () => Assignment | undefined
}

interface SeenOwner {
  readonly address: string
  /** Undefined for an address that was only read with the assignment. */
  readonly startedAtEpochMs: number | undefined
}

/** An owner that left the register while its grants may last. */
interface VanishedOwner {
  wasSilent: boolean
  /** Undefined while it does not answer. */
  answersSinceMs: number | undefined
  isProbed: boolean
}

export class FormerOwners {
  readonly #options: FormerOwnersOptions
  readonly #seen = new Map<string, SeenOwner>()
  readonly #vanished = new Map<string, VanishedOwner>()
  /** Owners at whose addresses another process has answered. */
  readonly #replaced = new Set<string>()

  constructor(options: FormerOwnersOptions) {
    this.#options = options
  }

  /** Records where the targets of the register are. */
  recordAddresses(targets: readonly KnownTarget[]): void {
    for (const { id, address, startedAtEpochMs } of targets) {
      this.#seen.set(id, { address, startedAtEpochMs })
      this.#replaced.delete(id)
    }
  }

  addressOf(id: string): string | undefined {
    return this.#find(id)?.address
  }

  /**
   * Why the target cannot hold any of the service's keys; undefined while it may. One that is in the register may have
   * taken a grant in a new life already; it answers a release.
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

  /** Asks at the address of an owner that left the register who runs there. */
  async probeUnregistered(id: string): Promise<void> {
    const address = this.addressOf(id)
    if (address === undefined || this.#options.directory.target(id) !== undefined) return
    await this.#probeAddress(id, address)
  }

  /**
   * Owners whose ranges cannot move now: a silent owner that left the register may come back, and a move would keep it
   * from serving its keys. Load pattern: a failure domain is cut off for some seconds.
   */
  pinned({ ranges }: Assignment): ReadonlySet<string> {
    const pinned = new Set<string>()
    for (const owner of new Set(ranges.map((range) => range.owner))) {
      if (this.#isPinned(owner)) pinned.add(owner)
      else this.#vanished.delete(owner)
    }
    return pinned
  }

  #find(id: string): SeenOwner | undefined {
    const address = this.#options.assignment()?.addresses[id]
    return (
      this.#seen.get(id) ?? (address === undefined ? undefined : { address, startedAtEpochMs: undefined })
    )
  }

  #isPinned(owner: string): boolean {
    const { directory, clock, service } = this.#options
    if (directory.target(owner)?.service === service || this.holdEndReason(owner) !== undefined) return false
    const address = this.addressOf(owner)
    if (address === undefined) return true
    const vanished = this.#vanished.get(owner) ?? {
      wasSilent: false,
      answersSinceMs: undefined,
      isProbed: false,
    }
    this.#vanished.set(owner, vanished)
    if (!vanished.isProbed) void this.#probe(owner, address, vanished)
    if (vanished.answersSinceMs === undefined) return true
    // A target that was cut off enters the register again after its next heartbeat.
    return vanished.wasSilent && clock.monotonicMs() - vanished.answersSinceMs < reentryMs
  }

  /** Resolves true when somebody answers. */
  async #probeAddress(id: string, address: string): Promise<boolean> {
    const answer = await this.#options.grants.probe({ id, address })
    if (answer?.id !== undefined && answer.id !== id) this.#replaced.add(id)
    return answer !== undefined
  }

  async #probe(id: string, address: string, vanished: VanishedOwner): Promise<void> {
    const { clock } = this.#options
    vanished.isProbed = true
    if (await this.#probeAddress(id, address)) {
      vanished.answersSinceMs ??= clock.monotonicMs()
    } else {
      vanished.wasSilent = true
      vanished.answersSinceMs = undefined
    }
    await clock.sleep(probePauseMs)
    vanished.isProbed = false
  }
}
