/**
 * Queries and releases that the coordinator of a cell carries out: at this host, or at another host by
 * one forwarded call.
 */
import { randomUUID } from 'node:crypto'
import type { Logger } from '@pimentotally/core'
import { Configuration } from '@pimentotally/core'
import { Result } from 'true-myth'
import { AuditOutcome } from './audit.js'
import type { OperatorBackend, OperatorResult } from './backend.js'
import { OperatorError, OperatorErrorCode } from './operator-error.js'
import {
  TargetState,
  type BlockedView,
  type CellDirectory,
  type CellInspector,
  type OwnerView,
  type TargetView,
} from './views.js'

export interface CellQueriesOptions {
  readonly backend: OperatorBackend
  readonly directory: CellDirectory
  readonly logger: Logger
}

export interface LocatedOwner extends OwnerView {
  readonly service: string
  readonly shard: number
  readonly cellId: string
}

export class CellQueries {
  readonly #backend: OperatorBackend
  readonly #directory: CellDirectory
  readonly #logger: Logger

  constructor({ backend, directory, logger }: CellQueriesOptions) {
    this.#backend = backend
    this.#directory = directory
    this.#logger = logger
  }

  /** The inspector of a cell that this host coordinates, for calls forwarded by other hosts. */
  local(cellId: string): Result<CellInspector, OperatorError> {
    const inspector = this.#directory.local(cellId)
    if (inspector !== undefined) return Result.ok(inspector)
    return Result.err(
      new OperatorError(`this host does not coordinate cell "${cellId}"`, {
        code: OperatorErrorCode.notCoordinator,
        step: 'cell.query',
        remedy: 'try again when the coordinator of the cell is known',
      }),
    )
  }

  /**
   * Every declared target, or every one of a service; a target that no coordinator reports has the state
   * `unknown`.
   */
  async targets(service = ''): Promise<readonly TargetView[]> {
    const configuration = this.#backend.host.configuration()
    const wanted = service === '' ? undefined : service
    const { found } = await this.#queryAll('targets', (inspector) => inspector.targets(wanted))
    const views = new Map(found.flat().map((view) => [view.name, view]))
    return configuration.deployment.targets
      .filter((target) => wanted === undefined || target.service === wanted)
      .map((target) => views.get(target.name) ?? unknownTarget(configuration, target))
  }

  async owner(service: string, key: string): OperatorResult<LocatedOwner> {
    const located = this.#backend.locate(service, key)
    if (located.isErr) return Result.err(located.error)
    const { shard, keyHash } = located.value
    const cellId = this.#directory.homeCell(service, shard)
    if (cellId === undefined) {
      return Result.err(
        new OperatorError(`the home cell of shard ${String(shard)} of "${service}" is not known here`, {
          code: OperatorErrorCode.homeUnknown,
          step: 'owner.locate',
          remedy: 'try again in a moment, or through another host',
        }),
      )
    }
    const result = await this.#query(cellId, 'owner', (inspector) => inspector.owner(service, shard, keyHash))
    return result.map((view) => ({ ...view, service, shard, cellId }))
  }

  async blocked(): Promise<{
    readonly entries: readonly BlockedView[]
    readonly unreachableCells: readonly string[]
  }> {
    const { found, unreachable } = await this.#queryAll('blocked', (inspector) => inspector.blocked())
    const entries = new Map(found.flat().map((entry) => [entry.identity, entry]))
    return { entries: [...entries.values()], unreachableCells: unreachable }
  }

  /** Releases a blocked request in every cell; fails when no coordinator of the cells responded. */
  async release(
    identity: string,
    author: string,
  ): OperatorResult<{ readonly found: boolean; readonly unreachableCells: readonly string[] }> {
    const { found, unreachable } = await this.#queryAll('release', (inspector) => inspector.release(identity))
    if (found.length === 0 && unreachable.length > 0) {
      return Result.err(unreachableError('blocked.release', unreachable.join(', ')))
    }
    const released = found.includes(true)
    const { version } = this.#backend.host.configuration()
    const missing = unreachable.length === 0 ? '' : `; not asked: ${unreachable.join(', ')}`
    await this.#backend.audit.record(randomUUID(), {
      who: author,
      action: 'blocked.release',
      subject: identity,
      versionBefore: version,
      versionAfter: version,
      outcome: released ? AuditOutcome.accepted : AuditOutcome.refused,
      details: `${released ? 'released' : 'not blocked'}${missing}`,
    })
    return Result.ok({ found: released, unreachableCells: unreachable })
  }

  async #queryAll<T>(
    queryName: string,
    query: (inspector: CellInspector) => Promise<T>,
  ): Promise<{ readonly found: readonly T[]; readonly unreachable: readonly string[] }> {
    const cells = this.#directory.cells()
    const results = await Promise.all(cells.map((cellId) => this.#query(cellId, queryName, query)))
    return {
      found: results.flatMap((result) => (result.isOk ? [result.value] : [])),
      unreachable: cells.filter((_, index) => results[index]?.isErr === true),
    }
  }

  async #query<T>(
    cellId: string,
    queryName: string,
    query: (inspector: CellInspector) => Promise<T>,
  ): OperatorResult<T> {
    const inspector = this.#directory.local(cellId) ?? this.#directory.remote(cellId)
    if (inspector === undefined) return Result.err(unreachableError(`cell.${queryName}`, cellId))
    try {
      return Result.ok(await query(inspector))
    } catch (error) {
      this.#logger.warn('coordinator did not answer', { step: `cell.${queryName}`, peer: cellId, error })
      return Result.err(unreachableError(`cell.${queryName}`, cellId, error))
    }
  }
}

const unreachableError = (step: string, cells: string, cause?: unknown): OperatorError =>
  new OperatorError('the coordinator of the cell does not answer', {
    code: OperatorErrorCode.coordinatorUnreachable,
    step,
    peer: cells,
    remedy: 'try again in a moment, or through a host of that failure domain',
    cause,
  })

const unknownTarget = (
  configuration: Configuration,
  { name, service, domain, address }: Configuration['deployment']['targets'][number],
): TargetView => ({
  name,
  service,
  domain,
  address,
  state: Configuration.isDraining(configuration, name) ? TargetState.draining : TargetState.unknown,
  inFlight: 0,
  slots: configuration.deployment.services.find((spec) => spec.name === service)?.slots ?? 0,
  allowedSlots: 0,
  shards: 0,
  latencyMs: 0,
})
