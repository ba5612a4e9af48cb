/**
 * The newest cell records, assignments and coordinators that a host has learned. The known epoch, term and
 * fence of a cell never fall.
 */
import { isDeepStrictEqual } from 'node:util'
import {
  CellRecord,
  Fence,
  Term,
  domainOfCell,
  keyHash,
  type Clock,
  type CoordinatorInfo,
  type InvariantReporter,
  type KnownCell,
  type Logger,
} from '@pimentotally/core'
import type { CellRecordEntry, Coordinator } from '@pimentotally/wire'

export type CoordinatorEntry = Omit<Coordinator, '$typeName' | '$unknown'>
export type CellEntry = Omit<CellRecordEntry, '$typeName' | '$unknown'>

interface KnownCoordinator {
  readonly info: CoordinatorInfo
  readonly heardAtMs: number
}

export interface CellKnowledgeOptions {
  readonly domain: string
  readonly clock: Clock
  readonly logger: Logger
  readonly invariants: InvariantReporter
}

export class CellKnowledge {
  readonly #domain: string
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #invariants: InvariantReporter
  readonly #listeners = new Set<(info: CoordinatorInfo) => void>()
  readonly #coordinators = new Map<string, KnownCoordinator>()
  readonly #cells = new Map<string, KnownCell>()
  /** JSON of each cell's record, by cell id: records are compared and sent in this form. */
  readonly #records = new Map<string, string>()

  constructor({ domain, clock, logger, invariants }: CellKnowledgeOptions) {
    this.#domain = domain
    this.#clock = clock
    this.#logger = logger
    this.#invariants = invariants
  }

  /**
   * Calls back when a cell has a new coordinator, and when the known one released its term or became
   * unreachable.
   */
  onCoordinator(listener: (info: CoordinatorInfo) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  coordinator(cellId: string): { info: CoordinatorInfo; heardAgoMs: number } | undefined {
    const known = this.#coordinators.get(cellId)
    return known === undefined
      ? undefined
      : { info: known.info, heardAgoMs: Math.max(0, this.#clock.monotonicMs() - known.heardAtMs) }
  }

  coordinators(): CoordinatorEntry[] {
    return [...this.#coordinators.values()].map(({ info, heardAtMs }) => ({
      ...info,
      released: info.released === true,
      heardAgoMs: Math.min(0xffffffff, Math.max(0, Math.ceil(this.#clock.monotonicMs() - heardAtMs))),
    }))
  }

  cells(): KnownCell[] {
    return [...this.#cells.values()]
  }

  /**
   * Merges a report that the coordinator was last heard from `heardAgoMs` ago. A higher term replaces the
   * known coordinator, and the same term confirms it. True when the term, or its release, was not known yet.
   */
  mergeCoordinator(
    { cellId, term, hostId, peerAddress, released = false }: CoordinatorInfo,
    heardAgoMs: number,
  ): boolean {
    if (!Term.isValid(term) || cellId === '') return false
    const known = this.#coordinators.get(cellId)
    if (known !== undefined && term < known.info.term) return false
    const heardAtMs = this.#clock.monotonicMs() - heardAgoMs
    if (known?.info.term === term) {
      const sameHost = this.#invariants.check(
        known.info.hostId === hostId,
        'one holder for each term',
        () => ({
          cellId,
          term,
          hosts: [known.info.hostId, hostId],
        }),
      )
      if (!sameHost) return false
      // A host that has released a term does not hold it again, so a message that says otherwise is outdated.
      const newlyReleased = released && known.info.released !== true
      if (newlyReleased || (!released && heardAtMs > known.heardAtMs))
        this.#coordinators.set(cellId, {
          info: newlyReleased ? { ...known.info, released } : known.info,
          heardAtMs: Math.max(heardAtMs, known.heardAtMs),
        })
      if (newlyReleased) this.#notifyListeners({ ...known.info, released })
      return newlyReleased
    }
    const info = { cellId, term, hostId, peerAddress, ...(released ? { released } : {}) }
    this.#coordinators.set(cellId, { info, heardAtMs })
    this.#notifyListeners(info)
    return true
  }

  /**
   * Treats the holder of the term as never heard from, as its host refuses connections. The term stays known.
   */
  markCoordinatorUnreachable({ cellId, term }: CoordinatorInfo): void {
    const known = this.#coordinators.get(cellId)
    if (known?.info.term !== term || known.heardAtMs === -Infinity) return
    this.#coordinators.set(cellId, { info: known.info, heardAtMs: -Infinity })
    this.#notifyListeners(known.info)
  }

  #notifyListeners(info: CoordinatorInfo): void {
    for (const listener of this.#listeners) {
      try {
        listener(info)
      } catch (error) {
        this.#logger.error('coordinator listener failed', {
          step: 'membership.coordinator',
          cellId: info.cellId,
          error,
        })
      }
    }
  }

  /**
   * Merges a record with a higher epoch and, for a cell of this host's domain, an assignment with a higher
   * fence. True when either was new.
   */
  mergeCell(cell: KnownCell): boolean {
    const { cellId, record } = cell
    const known = this.#cells.get(cellId)
    // Records are compared as parsed JSON: the order of fields and fields that are undefined have no meaning.
    const json = JSON.stringify(record)
    const newRecord = known === undefined || record.epoch > known.record.epoch
    if (known?.record.epoch === record.epoch) {
      const same = this.#invariants.check(
        isDeepStrictEqual(JSON.parse(json), JSON.parse(this.#records.get(cellId) ?? 'null')),
        'one record for each epoch',
        () => ({ cellId, epoch: record.epoch }),
      )
      if (!same) return false
    }
    const fence = this.#keepsAssignment(cellId) ? cell.assignmentFence : undefined
    const newAssignment =
      fence !== undefined && Fence.isValid(fence) && fence > (known?.assignmentFence ?? Fence.none)
    if (!newRecord && !newAssignment) return false
    const assignmentSource = newAssignment ? cell : known
    this.#cells.set(cellId, {
      cellId,
      record: newRecord ? record : known.record,
      assignment: assignmentSource?.assignment,
      assignmentFence: assignmentSource?.assignmentFence,
    })
    if (newRecord) this.#records.set(cellId, json)
    return true
  }

  /** Merges an entry received from a peer; true when its record or its assignment was new. */
  mergeEntry({ cellId, epoch, record, assignment, assignmentFence }: CellEntry): boolean {
    const parsed = record === '' ? this.#cells.get(cellId)?.record : parseRecord(record, epoch)
    if (parsed === undefined || cellId === '') return false
    return this.mergeCell({
      cellId,
      record: parsed,
      ...(assignmentFence === '' ? {} : { assignment, assignmentFence }),
    })
  }

  /**
   * Epochs and fences without records and assignments, for a peer of `domain` to compare. Fences are included
   * only for cells of that domain, as the peer keeps no assignments of other domains.
   */
  epochs(domain: string): CellEntry[] {
    return this.cells().map(({ cellId, record, assignmentFence }) => ({
      cellId,
      epoch: record.epoch,
      record: '',
      assignment: '',
      assignmentFence: domain === domainOfCell(cellId) ? (assignmentFence ?? '') : '',
    }))
  }

  /** The records and assignments that a peer of `domain` lacks when it knows `epochs`. */
  missingEntries(domain: string, epochs: readonly CellEntry[]): CellEntry[] {
    const theirs = new Map(epochs.map((entry) => [entry.cellId, entry]))
    return this.epochs(domain).flatMap((own) => {
      const other = theirs.get(own.cellId)
      const record = own.epoch > (other?.epoch ?? -1) ? (this.#records.get(own.cellId) ?? '') : ''
      const newer = own.assignmentFence > (other?.assignmentFence ?? '')
      const assignment = newer ? (this.#cells.get(own.cellId)?.assignment ?? '') : ''
      if (record === '' && !newer) return []
      return [{ ...own, record, assignment, assignmentFence: newer ? own.assignmentFence : '' }]
    })
  }

  /** Whether a peer that knows `epochs` has a higher epoch or fence than this host in any cell. */
  isBehind(epochs: readonly CellEntry[]): boolean {
    return epochs.some(({ cellId, epoch, assignmentFence }) => {
      const known = this.#cells.get(cellId)
      const hasHigherFence = this.#keepsAssignment(cellId) && assignmentFence > (known?.assignmentFence ?? '')
      return epoch > (known?.record.epoch ?? -1) || hasHigherFence
    })
  }

  /** Equal at hosts that know the same terms, epochs and, for cells of `domain`, the same fences. */
  hash(domain: string): bigint {
    const parts = [
      ...this.epochs(domain).map(({ cellId, epoch, assignmentFence }) =>
        [cellId, epoch, assignmentFence].join('='),
      ),
      ...[...this.#coordinators.values()].map(({ info }) => `${info.cellId}@${info.term}`),
    ]
    return BigInt(`0x${keyHash('cells', parts.sort().join(','))}`)
  }

  #keepsAssignment(cellId: string): boolean {
    return domainOfCell(cellId) === this.#domain
  }
}

const parseRecord = (text: string, epoch: number): CellRecord | undefined => {
  try {
    const record = JSON.parse(text) as CellRecord
    return record.epoch === epoch && typeof record.homes === 'object' && Array.isArray(record.leaving)
      ? record
      : undefined
  } catch {
    return undefined
  }
}
