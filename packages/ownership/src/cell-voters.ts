/**
 * The voters that the cell record of a tenure names, and since when majorities of them have accepted its
 * term.
 */
import { VoterKind, domainOfCell, type CellRecord, type Instant, type Term } from '@pimentotally/core'
import type { CoordinatorSettings } from './options.js'
import {
  HostVoter,
  majoritySince,
  type VoteExchange,
  type Voter,
  type VoteRequest,
  type VoteResponse,
} from './voter.js'

export interface CellVotersOptions {
  readonly settings: CoordinatorSettings
  /** The voter of a target, when the tenure has a session with it. */
  readonly targetVoter: (target: string) => Voter | undefined
  /** The next request to a voting host; undefined while none may be sent. */
  readonly nextRequest: () => VoteRequest | undefined
  readonly onExchange: (exchange: VoteExchange) => void
  readonly spawn: (task: Promise<void>) => void
  readonly signal: AbortSignal
}

export class CellVoters {
  readonly #options: CellVotersOptions
  readonly #hosts = new Map<string, HostVoter>()
  #record: CellRecord

  constructor(record: CellRecord, options: CellVotersOptions) {
    this.#record = record
    this.#options = options
  }

  /** Sets the cell record, and starts a task for each voting host that it names and that has none. */
  setRecord(record: CellRecord): void {
    this.#record = record
    const { settings, nextRequest, onExchange, spawn, signal } = this.#options
    const { clock, leaseMs, renewIntervalMs } = settings
    for (const { kind, ids } of this.#sets()) {
      if (kind !== VoterKind.host) continue
      for (const id of ids) {
        if (this.#hosts.has(id)) continue
        const call = (request: VoteRequest): Promise<VoteResponse | undefined> => this.#ask(id, request)
        const voter = new HostVoter({ id, leaseMs, renewIntervalMs, clock, call })
        this.#hosts.set(id, voter)
        spawn(voter.run(nextRequest, onExchange, signal))
      }
    }
  }

  wake(): void {
    for (const voter of this.#hosts.values()) voter.wake()
  }

  /**
   * Since when majorities of the voters, and of the previous voters if there are any, have accepted a term;
   * undefined without these majorities.
   */
  acceptedSince(term: Term): Instant | undefined {
    return this.#majority((voter) => voter.acceptedSince(term))
  }

  /** As `acceptedSince`, but counts only renewals, not claims. */
  renewedSince(term: Term): Instant | undefined {
    return this.#majority((voter) => voter.renewedSince(term))
  }

  /**
   * Upper bound, on this host's monotonic clock, of the last time at which any voter that has accepted `term`
   * renewed an earlier term.
   */
  earlierRenewedAtMs(term: Term): number {
    const voters = this.#sets().flatMap(({ kind, ids }) => ids.flatMap((id) => this.#voter(kind, id) ?? []))
    return Math.max(
      ...voters
        .filter((voter) => voter.acceptedSince(term) !== undefined)
        .map((voter) => voter.earlierRenewedAtMs),
    )
  }

  #sets(): readonly CellRecord['voters'][] {
    const { voters, previousVoters } = this.#record
    return previousVoters === undefined ? [voters] : [voters, previousVoters]
  }

  #voter(kind: VoterKind, id: string): Voter | undefined {
    return kind === VoterKind.host ? this.#hosts.get(id) : this.#options.targetVoter(id)
  }

  #majority(since: (voter: Voter) => Instant | undefined): Instant | undefined {
    const instants = this.#sets().map(({ kind, ids }) =>
      majoritySince(ids, (id) => {
        const voter = this.#voter(kind, id)
        return voter && since(voter)
      }),
    )
    if (instants.some((instant) => instant === undefined)) return undefined
    return instants
      .flatMap((instant) => instant ?? [])
      .reduce((earliest, instant) => (instant.monotonicMs < earliest.monotonicMs ? instant : earliest))
  }

  #ask(id: string, request: VoteRequest): Promise<VoteResponse | undefined> {
    const { directory, peers, hostVoterState, cellId } = this.#options.settings
    if (id === directory.self().name) return Promise.resolve(hostVoterState?.vote(request))
    const peer = directory.peers(domainOfCell(cellId)).find(({ name }) => name === id)
    return peer === undefined ? Promise.resolve(undefined) : peers.vote(peer, request)
  }
}
