/** Carries out the calls of the operator service at one host: changes of the configuration, and queries. */
import { randomUUID } from 'node:crypto'
import {
  DomainState,
  keyHash,
  shardOf,
  type Clock,
  type Configuration,
  type Deployment,
  type Logger,
} from '@pimentotally/core'
import type { ChangePlan } from '@pimentotally/config'
import type { AuditTrail, ObjectStore, RecordedAuditEntry, TableService } from '@pimentotally/storage'
import { Result } from 'true-myth'
import { AuditOutcome, OperatorAudit } from './audit.js'
import {
  deploymentChange,
  domainChange,
  parseDeployment,
  planDeployment,
  targetChange,
  type ConfigurationChange,
} from './changes.js'
import { OperatorError, OperatorErrorCode } from './operator-error.js'
import { ConfigurationStore, conflictError, unavailable, type VersionRecord } from './store.js'
import type { HostInspector, ServiceHomes } from './views.js'

export interface OperatorBackendOptions {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly audit: AuditTrail
  readonly host: HostInspector
  readonly clock: Clock
  readonly logger: Logger
  /** Called with each configuration that this host committed, before the operator gets the response. */
  readonly onAccepted: (configuration: Configuration) => void
  /** Needed to refuse a service that was removed and is declared again with another shard count. */
  readonly homes?: ServiceHomes
  /** Timeout of one call to the platform. */
  readonly timeoutMs?: number
  /**
   * After a lost response of the platform, the outcome is looked up for this long before it is reported as
   * unknown.
   */
  readonly outcomeLookupTimeoutMs?: number
  /** A domain cannot be reported lost while one of its members was confirmed within this time. */
  readonly aliveWithinMs?: number
}

/** The operator who makes a change, and the id by which its outcome can be looked up. */
export interface ChangeOrigin {
  readonly author: string
  /** A random one is used when it is absent or empty. */
  readonly writeId?: string
}

export interface ApplyInput {
  readonly fileName: string
  readonly document: string
  readonly baseVersion?: number
}

/** The version that an accepted change produced. */
export type AcceptedVersion = Pick<Configuration, 'version' | 'hash'>

export type OperatorResult<T> = Promise<Result<T, OperatorError>>

const writeIdPattern = /^[A-Za-z0-9-]{8,64}$/

/**
 * A write id counts as repeated only if one of this many newest versions has it. At 1,800 changes a day these
 * are the versions of some hours.
 */
const maxVersionsSearchedForWriteId = 500

/** At most this many entries are listed by one call, however many are asked for. */
const maxListLength = 1000
/** The number of entries to list; 20 when none is given. */
const listLength = (limit: number): number => (limit <= 0 ? 20 : Math.min(limit, maxListLength))

export class OperatorBackend {
  readonly audit: OperatorAudit
  readonly store: ConfigurationStore
  readonly host: HostInspector
  readonly #logger: Logger
  readonly #onAccepted: (configuration: Configuration) => void
  readonly #homes: ServiceHomes | undefined
  readonly #aliveWithinMs: number

  constructor({
    table,
    objects,
    audit,
    host,
    clock,
    logger,
    onAccepted,
    homes,
    timeoutMs = 2000,
    outcomeLookupTimeoutMs = 5000,
    aliveWithinMs = 3000,
  }: OperatorBackendOptions) {
    this.audit = new OperatorAudit({ trail: audit, clock, logger })
    this.store = new ConfigurationStore({
      table,
      objects,
      clock,
      timeoutMs,
      outcomeLookupTimeoutMs,
    })
    this.host = host
    this.#logger = logger
    this.#onAccepted = onAccepted
    this.#homes = homes
    this.#aliveWithinMs = aliveWithinMs
  }

  /** Plans an apply: says what applying the document would change, and writes nothing. */
  async plan(fileName: string, document: string): OperatorResult<ChangePlan> {
    const deployment = parseDeployment(document, fileName)
    if (deployment.isErr) return Result.err(deployment.error)
    const base = await this.store.load()
    if (base.isErr) return Result.err(base.error)
    const { configuration } = base.value
    const plan = planDeployment(configuration, deployment.value, fileName)
    if (plan.isErr) return plan
    const homes = await this.#checkHomes(configuration, deployment.value)
    return homes.map(() => plan.value)
  }

  /** Replaces the whole deployment; the states of domains and targets that operators have set stay. */
  async apply(
    { fileName, document, baseVersion }: ApplyInput,
    origin: ChangeOrigin,
  ): OperatorResult<AcceptedVersion> {
    const deployment = parseDeployment(document, fileName)
    if (deployment.isOk)
      return this.#change(deploymentChange(deployment.value, fileName, baseVersion), origin)
    const refused = { action: 'apply', subject: fileName }
    await this.#recordRefusal(refused, origin, this.host.configuration().version, deployment.error)
    return Result.err(deployment.error)
  }

  /**
   * By the state `lost` the operator confirms that all hosts and targets of the domain are stopped, so that
   * its shards may get homes in other domains. It is refused while a host of the domain is known to run or
   * was confirmed recently.
   */
  async setDomain(domain: string, state: DomainState, origin: ChangeOrigin): OperatorResult<AcceptedVersion> {
    const change = domainChange(domain, state)
    const alive = state === DomainState.lost ? this.#aliveHost(domain) : undefined
    if (alive === undefined) return this.#change(change, origin)
    const error = new OperatorError(
      `host ${alive} of domain "${domain}" is alive, so the domain is not lost`,
      {
        code: OperatorErrorCode.domainAlive,
        step: 'domain.lost',
        peer: alive,
        remedy: 'take the domain out without --lost, or stop all its hosts and targets first',
      },
    )
    await this.#recordRefusal(change, origin, this.host.configuration().version, error)
    return Result.err(error)
  }

  async setTarget(target: string, draining: boolean, origin: ChangeOrigin): OperatorResult<AcceptedVersion> {
    return this.#change(targetChange(target, draining), origin)
  }

  /** The versions, newest first; with a write id, only the version that this write produced. */
  async history(
    limit: number,
    writeId = '',
  ): OperatorResult<{ readonly versions: readonly VersionRecord[]; readonly currentVersion: number }> {
    const current = await this.store.current()
    if (current.isErr) return Result.err(current.error)
    const currentVersion = current.value.record?.version ?? 0
    if (writeId === '') {
      const versions = await this.store.history(listLength(limit))
      return versions.map((records) => ({ versions: records, currentVersion }))
    }
    const found = await this.store.findWrite(writeId)
    return found.map((version) => ({ versions: version === undefined ? [] : [version], currentVersion }))
  }

  /** The entries of the audit trail, newest first. */
  async auditEntries(limit: number): OperatorResult<readonly RecordedAuditEntry[]> {
    const entries = await this.audit.list(listLength(limit))
    return entries.mapErr((error) => unavailable('audit.read', error))
  }

  /** The shard and the hash of a key, by the configuration that is in force at this host. */
  locate(
    service: string,
    key: string,
  ): Result<{ readonly shard: number; readonly keyHash: string }, OperatorError> {
    const spec = this.host.configuration().deployment.services.find(({ name }) => name === service)
    if (spec === undefined) {
      return Result.err(
        new OperatorError(`no service is named "${service}"`, {
          code: OperatorErrorCode.unknownService,
          step: 'owner.locate',
          remedy: 'use a service of the file in force; pimentotally targets shows them',
        }),
      )
    }
    if (spec.keyed === undefined) {
      return Result.err(
        new OperatorError(`"${service}" is not divided by key, so its keys have no owner`, {
          code: OperatorErrorCode.serviceNotKeyed,
          step: 'owner.locate',
          remedy: 'ask for a keyed service',
        }),
      )
    }
    return Result.ok({ shard: shardOf(service, key, spec.keyed.shardCount), keyHash: keyHash(service, key) })
  }

  async #change(change: ConfigurationChange, origin: ChangeOrigin): OperatorResult<AcceptedVersion> {
    const writeId = origin.writeId === undefined || origin.writeId === '' ? randomUUID() : origin.writeId
    if (!writeIdPattern.test(writeId)) {
      return Result.err(
        new OperatorError('the write id must be 8 to 64 letters, digits or hyphens', {
          code: OperatorErrorCode.invalidArgument,
          step: 'change.check',
          remedy: 'leave the write id empty or use a UUID',
        }),
      )
    }
    const loaded = await this.store.load()
    if (loaded.isErr) return Result.err(loaded.error)
    const base = loaded.value
    // A change that is sent again must not take effect again and thus undo a newer one.
    const repeated = await this.store.findWrite(writeId, maxVersionsSearchedForWriteId)
    if (repeated.isErr) return Result.err(repeated.error)
    if (repeated.value !== undefined) {
      return this.#resultOfRepeatedWrite(repeated.value, origin.author, base.configuration)
    }

    const { version } = base.configuration
    const refuse = async (error: OperatorError): OperatorResult<never> => {
      await this.#recordRefusal(change, { ...origin, writeId }, version, error)
      return Result.err(error)
    }
    if (change.baseVersion !== undefined && change.baseVersion !== version) {
      return refuse(conflictError('change.check', base.record))
    }
    const prepared = change.applyTo(base.configuration)
    if (prepared.isErr) return refuse(prepared.error)
    const homes = await this.#checkHomes(base.configuration, change.deployment)
    if (homes.isErr) {
      const { code } = homes.error
      return code === OperatorErrorCode.platformUnavailable ? Result.err(homes.error) : refuse(homes.error)
    }
    const { next, summary } = prepared.value
    const { action, subject } = change
    const committed = await this.store.commit({
      base,
      next,
      author: origin.author,
      writeId,
      summary,
      rows: (versionAfter) => [
        this.audit.row(writeId, {
          who: origin.author,
          action,
          subject,
          versionBefore: version,
          versionAfter,
          outcome: AuditOutcome.accepted,
          details: summary,
        }),
      ],
    })
    if (committed.isErr) {
      return committed.error.code === OperatorErrorCode.conflict
        ? refuse(committed.error)
        : Result.err(committed.error)
    }
    this.#accept(committed.value, origin.author, summary)
    const { version: versionAfter, hash } = committed.value
    return Result.ok({ version: versionAfter, hash })
  }

  /**
   * Refuses a keyed service that is declared with another shard count than an earlier service of its name.
   * Its homes were created with that shard count and stay when the service is removed.
   */
  async #checkHomes(base: Configuration, deployment?: Deployment): OperatorResult<void> {
    if (this.#homes === undefined || deployment === undefined) return Result.ok(undefined)
    for (const { name, keyed } of deployment.services) {
      if (keyed === undefined || base.deployment.services.some((service) => service.name === name)) continue
      const fixed = await this.#homes.shardCount(name)
      if (fixed.isErr) return Result.err(unavailable('homes.read', fixed.error))
      if (fixed.value === undefined || fixed.value === keyed.shardCount) continue
      return Result.err(
        new OperatorError(
          `the shard count of "${name}" is fixed at ${String(fixed.value)} since an earlier version`,
          {
            code: OperatorErrorCode.changeRefused,
            step: 'deployment.plan',
            remedy: 'use that shard count, or declare a service of another name',
          },
        ),
      )
    }
    return Result.ok(undefined)
  }

  #resultOfRepeatedWrite(
    record: VersionRecord,
    author: string,
    current: Configuration,
  ): Result<AcceptedVersion, OperatorError> {
    if (record.author !== author) {
      return Result.err(
        new OperatorError(`the write id belongs to version ${String(record.version)} by ${record.author}`, {
          code: OperatorErrorCode.invalidArgument,
          step: 'change.check',
          remedy: 'use a new write id for each change',
        }),
      )
    }
    if (record.version === current.version) this.#accept(current, record.author, record.summary)
    return Result.ok({ version: record.version, hash: record.hash })
  }

  #accept(configuration: Configuration, author: string, summary: string): void {
    const { version, hash } = configuration
    this.#logger.info('configuration accepted', { step: 'config.commit', version, hash, author, summary })
    try {
      this.#onAccepted(configuration)
    } catch (error) {
      // The change is nevertheless committed on the platform, and this host gets it at the next check.
      this.#logger.error('accepted configuration not applied at this host', {
        step: 'config.offer',
        version,
        error,
      })
    }
  }

  /**
   * Records a refused change in the audit trail. While the platform is unreachable, the row waits in the
   * trail's queue; it is dropped, with a warning in the log, when the queue is full.
   */
  async #recordRefusal(
    { action, subject }: Pick<ConfigurationChange, 'action' | 'subject'>,
    { author, writeId = '' }: ChangeOrigin,
    version: number,
    error: OperatorError,
  ): Promise<void> {
    await this.audit.record(writeIdPattern.test(writeId) ? writeId : randomUUID(), {
      who: author,
      action,
      subject,
      versionBefore: version,
      versionAfter: version,
      outcome: error.code === OperatorErrorCode.conflict ? AuditOutcome.conflict : AuditOutcome.refused,
      details: `${error.code}: ${error.message}`,
    })
  }

  /**
   * The id of a host of the domain that certainly runs (this host) or was confirmed within `aliveWithinMs`.
   */
  #aliveHost(domain: string): string | undefined {
    const { hostId, domain: own, members } = this.host.status()
    if (own === domain) return hostId
    return members.find((member) => member.domain === domain && member.ageMs < this.#aliveWithinMs)?.hostId
  }
}
