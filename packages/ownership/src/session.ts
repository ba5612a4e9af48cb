/**
 * The session of one tenure with one target: a task that keeps at most one message in flight, and a record of
 * what the target may hold. The record errs on the safe side: a set counts as held from before it is sent
 * until a newer set was acknowledged or the target's lease has certainly lapsed.
 */
import {
  Instant,
  ShardSet,
  type Clock,
  type TargetReport,
  type TargetSpec,
  type Term,
} from '@pimentotally/core'
import { AssignmentItem, type AssignmentEntry } from './assignment.js'
import type { GrantRequest, GrantResponse, GrantSet, KeyGrant, TargetGrantClient } from './grant.js'
import { TargetVoter, type VoteExchange } from './voter.js'
import { Wakeup } from './wakeup.js'

/**
 * Items, by id, that a target is to hold or may hold. `excluded` are keys of its shards that it must not run.
 */
export interface ItemSet {
  readonly items: ReadonlyMap<string, AssignmentEntry>
  readonly excluded: ReadonlyMap<string, AssignmentItem & { readonly fence: string }>
}

/** A set that was sent, or reported in response to the claim, and may be in force at the target. */
interface SentSet extends ItemSet {
  readonly version: number
  readonly instanceId: string
  acked: boolean
  /**
   * When an instance that has since been replaced last responded; the lapse of its lease is counted from
   * then.
   */
  lastRespondedAt?: Instant
}

/** The part of its tenure that a session uses. */
export interface SessionTenure {
  readonly cellId: string
  readonly term: Term
  /** True once a majority has accepted the claim. */
  readonly isElected: boolean
  /** False once the tenure has ended or its term has lapsed; checked before every send. */
  mayContinue(): boolean
  validForMs(): number
  shardCount(service: string): number
  recordClaimResponse(session: TargetSession, sentAt: Instant, response: GrantResponse): void
  /** `isChanged` is true when the response changed what is known of the target's items or of its liveness. */
  recordExchange(session: TargetSession, isChanged: boolean, exchange?: VoteExchange): void
}

export interface SessionOptions {
  readonly spec: TargetSpec
  readonly verifies: boolean
  readonly client: TargetGrantClient
  readonly clock: Clock
  readonly leaseMs: number
  /**
   * Time after a response at which the target's lease has certainly lapsed: the lease and a margin for drift.
   */
  readonly lapseMs: number
  readonly renewIntervalMs: number
  readonly tenure: SessionTenure
}

const emptySet: ItemSet = { items: new Map(), excluded: new Map() }

export class TargetSession {
  readonly spec: TargetSpec
  readonly verifies: boolean
  readonly voter: TargetVoter
  readonly #options: SessionOptions
  readonly #wakeup: Wakeup
  #respondedAt: Instant | undefined
  #instanceId: string | undefined
  #uptimeMs = 0
  /** Requests that were in flight at the target at its newest response that accepted `term`. */
  #lastInFlight: { readonly term: Term; readonly inFlight: number } | undefined
  /**
   * The target's clock at its last response; undefined before the first response and after a lapse of the
   * lease.
   */
  #clockMs: number | undefined
  /** True once the target has accepted the claim of this tenure. */
  #claimed = false
  #lost = false
  #desired: ItemSet = emptySet
  /** The version of the newest set that was sent. */
  #version = 0
  /** The set that the target has last acknowledged, and under which term and as which instance. */
  #acked = { term: '', instanceId: '', version: 0 }
  /** The sets that may be in force at the target, oldest first. */
  #sets: SentSet[] = []

  constructor(options: SessionOptions) {
    this.#options = options
    this.spec = options.spec
    this.verifies = options.verifies
    this.voter = new TargetVoter(options.spec.name, options.leaseMs)
    this.#wakeup = new Wakeup(options.clock)
  }

  get name(): string {
    return this.spec.name
  }

  /** True when the target has responded and its lease has not certainly lapsed since. */
  get alive(): boolean {
    return this.#respondedAt !== undefined && !this.#lost
  }

  get lost(): boolean {
    return this.#lost
  }

  get sets(): readonly ItemSet[] {
    return this.#sets
  }

  /**
   * The target's latest report. `inFlight` is left out unless it was reported under `term`, the present term.
   */
  targetReport(term: Term): TargetReport {
    const inFlight = this.#lastInFlight?.term === term ? this.#lastInFlight.inFlight : undefined
    const instanceId = this.#instanceId ?? ''
    return { instanceId, uptimeMs: this.#uptimeMs, ...(inFlight === undefined ? {} : { inFlight }) }
  }

  get instanceId(): string | undefined {
    return this.#instanceId
  }

  /** The newest set sent under this tenure; undefined when none was sent or the lease has lapsed since. */
  get newestSent(): ItemSet | undefined {
    const newest = this.#sets.at(-1)
    return newest !== undefined && newest.version > 0 ? newest : undefined
  }

  respondedAgoMs(): number | undefined {
    return this.#respondedAt && Instant.waiterElapsedMs(this.#respondedAt, this.#options.clock)
  }

  /** True when the target confirmed the item and every set sent since still has it with the same fence. */
  hasConfirmed(id: string, fence: string): boolean {
    return (
      this.alive &&
      this.#sets.some(({ acked }) => acked) &&
      this.#sets.every((set) => set.items.get(id)?.fence === fence)
    )
  }

  /** Sets what the target is to hold; it is sent at once when it differs from what was sent last. */
  setDesired(set: ItemSet): void {
    this.#desired = set
    if (this.#needsNewSet()) this.wake()
  }

  /** Ends the wait for the next renewal. */
  wake(): void {
    this.#wakeup.wake()
  }

  /**
   * Called once leases of earlier terms have lapsed: declares the target lost if it has never responded to
   * this tenure.
   */
  markSilentLost(): void {
    if (this.#respondedAt === undefined) this.#lost = true
  }

  /**
   * Drops sets whose lease has certainly lapsed; `released` is true when the target may have held one until
   * now.
   */
  dropLapsed(): { released: boolean; becameLost: boolean } {
    const { clock, lapseMs } = this.#options
    const lapsed = (since: Instant): boolean => Instant.waiterElapsedMs(since, clock) >= lapseMs
    const countBefore = this.#sets.length
    this.#sets = this.#sets.filter(
      ({ lastRespondedAt }) => lastRespondedAt === undefined || !lapsed(lastRespondedAt),
    )
    const becameLost = !this.#lost && this.#respondedAt !== undefined && lapsed(this.#respondedAt)
    if (becameLost) {
      this.#lost = true
      this.#sets = []
      this.#clockMs = undefined
    }
    return { released: this.#sets.length < countBefore, becameLost }
  }

  /** Time until `dropLapsed` may have something to drop. */
  nextLapseMs(): number {
    const instants = this.#sets.flatMap(({ lastRespondedAt }) => lastRespondedAt ?? [])
    if (this.#respondedAt !== undefined && !this.#lost) instants.push(this.#respondedAt)
    const { clock, lapseMs } = this.#options
    return Math.min(...instants.map((since) => lapseMs - Instant.waiterElapsedMs(since, clock)))
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, renewIntervalMs, tenure, client } = this.#options
    while (!signal.aborted && tenure.mayContinue()) {
      const sentAt = Instant.now(clock)
      if (this.verifies) await this.#exchange(sentAt, signal)
      else {
        const response = await client.probe()
        if (!isAborted(signal) && response !== undefined) {
          const isChanged = !this.alive || this.#instanceId !== response.instanceId
          this.#respondedAt = Instant.now(clock)
          this.#lost = false
          this.#instanceId = response.instanceId
          this.#uptimeMs = response.uptimeMs ?? 0
          tenure.recordExchange(this, isChanged)
        }
      }
      await this.#wakeup.wait(renewIntervalMs - Instant.holderElapsedMs(sentAt, clock), signal)
    }
  }

  async #exchange(sentAt: Instant, signal: AbortSignal): Promise<void> {
    const { tenure, client, clock } = this.#options
    const request = this.#request()
    if (request === undefined) return
    const response = await client.send(request)
    if (response === undefined || isAborted(signal)) return
    const receivedAt = Instant.now(clock)
    const isChanged = response.accepted && this.#recordResponse(request, sentAt, receivedAt, response)
    const { term, claim = false } = request
    this.#uptimeMs = response.uptimeMs
    if (response.accepted) this.#lastInFlight = { term, inFlight: response.inFlight }
    tenure.recordExchange(this, isChanged, { term, claim, sentAt, receivedAt, response })
  }

  #request(): GrantRequest | undefined {
    const { tenure, leaseMs, clock } = this.#options
    const base = { term: tenure.term, cellId: tenure.cellId, validUntilMs: null }
    if (!this.#claimed) return { ...base, setVersion: 0, claim: true }
    if (!tenure.isElected) return undefined
    const termRemainingMs = tenure.validForMs()
    const instanceId = this.#instanceId
    if (this.#clockMs === undefined || this.#respondedAt === undefined || instanceId === undefined) {
      return { ...base, setVersion: this.#version }
    }
    // While no majority has accepted a new term yet, messages only ask for the target's vote.
    if (termRemainingMs <= 0) return { ...base, instanceId, setVersion: this.#version }
    if (this.#needsNewSet()) {
      this.#version += 1
      this.#sets.push({ ...this.#desired, version: this.#version, instanceId, acked: false })
    }
    const untilTermEndMs = termRemainingMs + Instant.waiterElapsedMs(this.#respondedAt, clock)
    const hasNewestSet =
      this.#acked.term === tenure.term &&
      this.#acked.instanceId === instanceId &&
      this.#acked.version === this.#version
    return {
      ...base,
      instanceId,
      validUntilMs: this.#clockMs + Math.min(leaseMs, untilTermEndMs),
      setVersion: this.#version,
      ...(hasNewestSet ? {} : this.#packedSet()),
    }
  }

  #recordResponse(
    request: GrantRequest,
    sentAt: Instant,
    receivedAt: Instant,
    response: GrantResponse,
  ): boolean {
    const { instanceId, setVersion, clockMs, held } = response
    let isChanged = !this.alive || this.#instanceId !== instanceId
    if (this.#instanceId !== instanceId) {
      for (const set of this.#sets) set.lastRespondedAt ??= this.#respondedAt
      this.#instanceId = instanceId
    }
    this.#respondedAt = receivedAt
    this.#clockMs = clockMs
    this.#lost = false
    if (!this.#claimed && request.claim === true) {
      this.#claimed = true
      if (held !== undefined) {
        this.#sets.push({ ...unpackSet(this.name, held), version: 0, instanceId, acked: true })
      }
      this.#options.tenure.recordClaimResponse(this, sentAt, response)
    }
    if (setVersion === 0) return isChanged
    this.#acked = { term: request.term, instanceId, version: setVersion }
    const isCurrent = (set: SentSet): boolean => set.instanceId === instanceId
    this.#sets = this.#sets.filter((set) => !isCurrent(set) || set.version >= setVersion)
    for (const set of this.#sets) {
      if (!isCurrent(set) || set.version !== setVersion || set.acked) continue
      set.acked = true
      isChanged = true
    }
    return isChanged
  }

  /** True when the newest set sent to the present instance is not the desired one. */
  #needsNewSet(): boolean {
    const newest = this.#sets.findLast(({ instanceId }) => instanceId === this.#instanceId)
    if (newest === undefined || newest.version === 0) return true
    const { items, excluded } = this.#desired
    return !sameFences(newest.items, items) || !sameFences(newest.excluded, excluded)
  }

  #packedSet(): GrantSet {
    const groups = new Map<string, { service: string; fence: string; shards: ShardSet }>()
    const overrides: KeyGrant[] = []
    const newest = this.#sets.at(-1) ?? emptySet
    for (const { service, shard, keyHash, fence } of newest.items.values()) {
      if (keyHash !== undefined) {
        overrides.push({ service, shard, keyHash, fence })
        continue
      }
      const id = `${service}\0${fence}`
      const group = groups.get(id) ?? {
        service,
        fence,
        shards: new ShardSet(this.#options.tenure.shardCount(service)),
      }
      group.shards.add(shard)
      groups.set(id, group)
    }
    return {
      grants: [...groups.values()].map(({ service, fence, shards }) => ({
        service,
        fence,
        shardCount: shards.size,
        shards: shards.toBase64(),
      })),
      overrides,
      excluded: [...newest.excluded.values()].map(({ service, shard, keyHash = '', fence }) => ({
        service,
        shard,
        keyHash,
        fence,
      })),
    }
  }
}

/** Read through a function, as the compiler takes the property to be unchanged after an `await`. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted

const sameFences = (
  left: ReadonlyMap<string, { readonly fence: string }>,
  right: ReadonlyMap<string, { readonly fence: string }>,
): boolean => left.size === right.size && [...left].every(([id, { fence }]) => right.get(id)?.fence === fence)

/** The grants that a target reports in response to a claim, as a set of items. */
export const unpackSet = (target: string, { grants, overrides, excluded }: GrantSet): ItemSet => {
  const items = new Map<string, AssignmentEntry>()
  for (const { service, shardCount, shards, fence } of grants) {
    for (const shard of ShardSet.fromBase64(shardCount, shards)) {
      items.set(AssignmentItem.shardId(service, shard), { service, shard, target, fence })
    }
  }
  for (const grant of overrides) items.set(AssignmentItem.id(grant), { ...grant, target })
  return { items, excluded: new Map(excluded.map((grant) => [AssignmentItem.id(grant), grant])) }
}
