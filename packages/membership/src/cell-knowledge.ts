/** The newest cell records, assignments and coordinators a host has learned; epochs, terms and fences only rise. */
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
  /** JSON of each record, as compared and sent. */
  readonly #records = new Map<string, string>()

  constructor({ domain, clock, logger, invariants }: CellKnowledgeOptions) {
    this.#domain = domain
    this.#clock = clock
    this.#logger = logger
    this.#invariants = invariants
  }

  /** Calls back when a cell has a new coordinator. */
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

  /** Takes a coordinator of a higher term, or confirms the present one; true when it is new. */
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
      // A released term is not taken up again, so a later message that says otherwise is outdated.
      const newlyReleased = released && known.info.released !== true
      if (newlyReleased || (!released && heardAtMs > known.heardAtMs))
        this.#coordinators.set(cellId, {
          info: newlyReleased ? { ...known.info, released } : known.info,
          heardAtMs: Math.max(heardAtMs, known.heardAtMs),
        })
      if (newlyReleased) this.#tell({ ...known.info, released })
      return newlyReleased
    }
    const info = { cellId, term, hostId, peerAddress, ...(released ? { released } : {}) }
    this.#coordinators.set(cellId, { info, heardAtMs })
    this.#tell(info)
    return true
  }

  /** Forgets when the holder of a term was heard last, as it cannot be reached any more. */
  markCoordinatorUnreachable({ cellId, term }: CoordinatorInfo): void {
    const known = this.#coordinators.get(cellId)
    if (known?.info.term !== term || known.heardAtMs === -Infinity) return
    this.#coordinators.set(cellId, { info: known.info, heardAtMs: -Infinity })
    this.#tell(known.info)
  }

  #tell(info: CoordinatorInfo): void {
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

  /** Takes a higher epoch or a higher fence; true when either was new. */
  mergeCell(cell: KnownCell): boolean {
    const { cellId, record } = cell
    const known = this.#cells.get(cellId)
    // The JSON form is compared, as the order of fields and absent fields carry no meaning.
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
    const from = newAssignment ? cell : known
    this.#cells.set(cellId, {
      cellId,
      record: newRecord ? record : known.record,
      assignment: from?.assignment,
      assignmentFence: from?.assignmentFence,
    })
    if (newRecord) this.#records.set(cellId, json)
    return true
  }

  /** Takes an entry from a peer; true when it was new. */
  mergeEntry({ cellId, epoch, record, assignment, assignmentFence }: CellEntry): boolean {
    const parsed = record === '' ? this.#cells.get(cellId)?.record : parseRecord(record, epoch)
    if (parsed === undefined || cellId === '') return false
    return this.mergeCell({
      cellId,
      record: parsed,
      ...(assignmentFence === '' ? {} : { assignment, assignmentFence }),
    })
  }

  /** Epochs and fences without their contents, as a peer of `domain` may compare them. */
  epochs(domain: string): CellEntry[] {
    return this.cells().map(({ cellId, record, assignmentFence }) => ({
      cellId,
      epoch: record.epoch,
      record: '',
      assignment: '',
      assignmentFence: domain === domainOfCell(cellId) ? (assignmentFence ?? '') : '',
    }))
  }

  /** What a peer of `domain` that has `epochs` lacks. */
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

  /** Whether a peer's epochs or fences are ahead in any cell. */
  isBehind(epochs: readonly CellEntry[]): boolean {
    return epochs.some(({ cellId, epoch, assignmentFence }) => {
      const known = this.#cells.get(cellId)
      const ahead = this.#keepsAssignment(cellId) && assignmentFence > (known?.assignmentFence ?? '')
      return epoch > (known?.record.epoch ?? -1) || ahead
    })
  }

  /** Equal at hosts that know the same coordinators and records; assignments count inside their own domain. */
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
