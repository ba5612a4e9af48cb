/**
 * The voters of a cell keep a term valid. A voter accepts a message if its term is at least the highest that
 * the voter has accepted. When a majority has accepted messages that were sent after some instant, no other
 * term can have been valid at that instant, and no other term becomes valid without one of these voters.
 */
import { Instant, Term, type Clock } from '@pimentotally/core'
import { ElapsedTime } from './elapsed.js'
import { Wakeup } from './wakeup.js'

export interface VoteRequest {
  readonly cellId: string
  readonly term: Term
  /** A claim asks the voters to accept a new term; any other message renews the term. */
  readonly claim: boolean
}

export interface VoteResponse {
  readonly accepted: boolean
  readonly highestTerm: Term
  /** The highest term accepted before the present one. */
  readonly previousTerm: Term
  readonly uptimeMs: number
  /**
   * Time since a renewal of an earlier term was accepted last; absent when there was none since the start.
   */
  readonly earlierRenewalAgoMs?: number
}

/** A request to a voter and its response, with the instants on the coordinator's clocks. */
export interface VoteExchange {
  readonly term: Term
  readonly claim: boolean
  readonly sentAt: Instant
  readonly receivedAt: Instant
  readonly response: VoteResponse
}

/** What a coordinator knows of one voter under its present term. */
export abstract class Voter {
  /** Target name or host name. */
  readonly id: string
  readonly #leaseMs: number
  #term: Term = Term.none
  #acceptedSince: Instant | undefined
  #renewedSince: Instant | undefined
  #earlierRenewedAtMs = -Infinity

  constructor(id: string, leaseMs: number) {
    this.id = id
    this.#leaseMs = leaseMs
  }

  /** When the newest accepted message of `term` was sent. */
  acceptedSince(term: Term): Instant | undefined {
    return term === this.#term ? this.#acceptedSince : undefined
  }

  /** When the newest accepted renewal of `term` was sent; claims do not count. */
  renewedSince(term: Term): Instant | undefined {
    return term === this.#term ? this.#renewedSince : undefined
  }

  /** Upper bound, on the coordinator's monotonic clock, of the last renewal of an earlier term. */
  get earlierRenewedAtMs(): number {
    return this.#earlierRenewedAtMs
  }

  recordVote({ term, claim, sentAt, receivedAt, response }: VoteExchange): void {
    // A voter that restarted has forgotten which terms it accepted: until its uptime covers a lease, its vote
    // proves nothing.
    if (!response.accepted || response.uptimeMs < this.#leaseMs || term < this.#term) return
    if (term > this.#term) {
      this.#term = term
      this.#acceptedSince = undefined
      this.#renewedSince = undefined
    }
    this.#acceptedSince = later(this.#acceptedSince, sentAt)
    if (!claim) this.#renewedSince = later(this.#renewedSince, sentAt)
    // Without a recorded renewal there may have been one before the start of the voter's process.
    const agoMs = response.earlierRenewalAgoMs ?? response.uptimeMs
    this.#earlierRenewedAtMs = Math.max(this.#earlierRenewedAtMs, receivedAt.monotonicMs - agoMs)
  }
}

const later = (left: Instant | undefined, right: Instant): Instant =>
  left === undefined || right.monotonicMs > left.monotonicMs ? right : left

/** A target votes by accepting grant messages, which its session sends and reports here. */
export class TargetVoter extends Voter {}

export interface HostVoterOptions {
  readonly id: string
  readonly leaseMs: number
  readonly renewIntervalMs: number
  readonly clock: Clock
  /** Resolves to undefined when no response came in time. */
  readonly call: (request: VoteRequest) => Promise<VoteResponse | undefined>
}

/** A host of the failure domain votes through `PeerService.Vote`; `run` keeps asking it. */
export class HostVoter extends Voter {
  readonly #options: HostVoterOptions
  readonly #wakeup: Wakeup

  constructor(options: HostVoterOptions) {
    super(options.id, options.leaseMs)
    this.#options = options
    this.#wakeup = new Wakeup(options.clock)
  }

  wake(): void {
    this.#wakeup.wake()
  }

  async run(
    nextRequest: () => VoteRequest | undefined,
    onExchange: (exchange: VoteExchange) => void,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, call, renewIntervalMs } = this.#options
    while (!signal.aborted) {
      const sentAt = Instant.now(clock)
      const request = nextRequest()
      const response = request === undefined ? undefined : await call(request)
      if (signal.aborted) return
      if (request !== undefined && response !== undefined) {
        const exchange: VoteExchange = {
          term: request.term,
          claim: request.claim,
          sentAt,
          receivedAt: Instant.now(clock),
          response,
        }
        this.recordVote(exchange)
        onExchange(exchange)
      }
      await this.#wakeup.wait(renewIntervalMs - Instant.holderElapsedMs(sentAt, clock), signal)
    }
  }
}

/** What a host remembers as a voter, by cell; each process has one. */
export class HostVoterState {
  readonly #elapsed: ElapsedTime
  readonly #cells = new Map<string, CellVote>()

  constructor(clock: Clock) {
    this.#elapsed = new ElapsedTime(clock)
  }

  vote({ cellId, term, claim }: VoteRequest): VoteResponse {
    const state = this.#cells.get(cellId) ?? { term: Term.none, previousTerm: Term.none }
    this.#cells.set(cellId, state)
    const accepted = Term.isValid(term) && term >= state.term
    const uptimeMs = this.#elapsed.waiterMs()
    if (accepted && term > state.term) {
      state.previousTerm = state.term
      state.term = term
      state.earlierRenewedAtMs = state.renewedAtMs ?? state.earlierRenewedAtMs
      state.renewedAtMs = undefined
    }
    if (accepted && !claim) state.renewedAtMs = uptimeMs
    return {
      accepted,
      highestTerm: state.term,
      previousTerm: state.previousTerm,
      uptimeMs,
      ...(state.earlierRenewedAtMs === undefined
        ? {}
        : { earlierRenewalAgoMs: uptimeMs - state.earlierRenewedAtMs }),
    }
  }
}

interface CellVote {
  term: Term
  previousTerm: Term
  renewedAtMs?: number
  earlierRenewedAtMs?: number
}

/** The latest instant since which a majority of the voters has accepted; undefined without a majority. */
export const majoritySince = (
  voters: readonly string[],
  acceptedSince: (voter: string) => Instant | undefined,
): Instant | undefined => {
  const accepted = voters
    .map(acceptedSince)
    .filter((instant) => instant !== undefined)
    .sort((left, right) => right.monotonicMs - left.monotonicMs)
  return accepted[Math.floor(voters.length / 2)]
}
