/**
 * What this host believes about the deployment: the configuration in force, the targets, the evacuated
 * failure domains, which target owns which keys, and the other hosts. It is built from the tables of the
 * store. Each change is logged, with the version of the row that caused it where there is one.
 */
import type { Clock, Logger } from '@pimentotally/core'
import {
  blockCount,
  blockOf,
  decodeBlock,
  findRange,
  joinBlocks,
  type AssignedRange,
  type Assignment,
  type AssignmentBlock,
  type LeaderRecord,
} from '@pimentotally/assignment'
import { configurationKey, decodeConfiguration, decodeTarget, evacuatedDomain } from '@pimentotally/platform'
import {
  RequestKind,
  RouteTable,
  TargetState,
  priorityOf,
  type Configuration,
  type Target,
} from '@pimentotally/routing'
import { absentIn, eraOf, originOf, type StoredRow } from '@pimentotally/storage'
import { Evacuations } from './evacuations.js'
import { LeavingTargets, type LeavingStatement } from './leaving-targets.js'
import type { ReplicaChange } from './replica.js'
import { decodeHost, decodeLeader, routerStateKeys, type HostRecord } from './router-state-rows.js'

/** A target with what this host observed of its entry in the target registry. */
export interface KnownTarget extends Target {
  /** When this host first saw the target in its present state. */
  readonly stateSinceMs: number
  /** The target is cold until this time on this host's monotonic clock. */
  coldUntilMs: number
  /** Set while the entry is missing after an outage of the store, and may come back. */
  readonly missingSinceMs: number | undefined
}

/** What is stored of one service's keys. */
export interface KnownAssignment {
  /** Undefined while this host lacks a block of it. */
  readonly assignment: Assignment | undefined
  /** Versions of the blocks' rows in the present era of the store, as conditions for the next write. */
  readonly versions: readonly number[]
  /** Whether every block was written in the present era, so that none of their changes is lost. */
  readonly isOfPresentEra: boolean
  /** Rises with each change that this host learns of. */
  readonly revision: number
}

/** A process of a target, as an entry of the target registry showed it. */
interface TargetProcess {
  readonly id: string
  readonly startedAtEpochMs: number
  /** Number of the read of the target registry that showed it first. */
  readonly firstRead: number
}

/** The leader's record, and the version of the row that has it. */
export interface KnownLeader {
  readonly record: LeaderRecord
  readonly version: number
}

interface StoredBlocks {
  /** The newest content of each block; an older copy of the store may have an older one. */
  readonly blocks: (AssignmentBlock | undefined)[]
  /** By block, the position at which its content was written, to tell which of two contents is newer. */
  readonly origins: number[]
  /** By block, the version of its row as it was last read. */
  readonly versions: number[]
  revision: number
  /** What `assignment` returned for these blocks; undefined after a change. */
  joined: KnownAssignment | undefined
}

export interface DirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  /**
   * Interval at which each target writes its entry; without it, every long gap
   * counts as an outage of the store.
   */
  readonly heartbeatMs?: number
  /** Whether the settings say that callers compete for too little room at times. */
  readonly hasPressure?: boolean
}

/** After an outage of the store, living targets have written lapsed entries again within this time. */
const reappearanceMs = 2000
/** After a longer gap between two reads, entries may have lapsed because of an outage of the store. */
const outageGapMs = 1800
/** Processes kept for each address; more than can follow each other there while a grant lasts. */
const maxProcessesPerAddress = 8
/** Targets whose latest heartbeat is kept; several times the targets of the largest deployment. */
const maxLatestHeartbeats = 20_000
/**
 * When at least this share of the expected heartbeats was written during a gap,
 * the store was available and only this host was cut off from it.
 */
const storePresentShare = 0.7

export class Directory {
  readonly #options: DirectoryOptions
  #routes: RouteTable | undefined
  readonly #targets = new Map<string, KnownTarget>()
  /** The latest heartbeat of each target, also of targets that have left the target registry. */
  readonly #latestHeartbeats = new Map<
    string,
    { readonly startedAtEpochMs: number; readonly sequence: number }
  >()
  readonly #leaving = new LeavingTargets()
  readonly #byService = new Map<string, KnownTarget[]>()
  /** The processes that were seen at each address, in the order in which they were first seen. */
  readonly #processesByAddress = new Map<string, TargetProcess[]>()
  readonly #evacuations: Evacuations
  readonly #assignments = new Map<string, StoredBlocks>()
  readonly #hosts = new Map<string, HostRecord>()
  #hostNames: readonly string[] = []
  /** By service: the priorities of its requests in ascending order; the index of a priority is its rank. */
  readonly #ranks = new Map<string, number[]>()
  readonly #assignmentWaiters = new Set<() => void>()
  #leader: KnownLeader | undefined
  /** The row `leader` as it was last read, which an older copy of the store may have set back. */
  #storedLeader: KnownLeader | undefined
  #routerStateEra = 0
  #registryReadAtMs: number | undefined
  #registryReads = 0
  /** The store's version at the last read of the target registry. */
  #registryVersion = 0
  /** Until this time, targets whose entries are missing are kept, as the entries may come back. */
  #graceUntilMs = 0
  #malformedRows = 0
  #isRouterStateKnown = false
  /** Whether the configuration has a route for uploads. */
  #hasUploads = false

  constructor(options: DirectoryOptions) {
    this.#options = options
    this.#evacuations = new Evacuations(options.clock, options.logger)
  }

  get routes(): RouteTable | undefined {
    return this.#routes
  }

  /**
   * Whether the deployment asks for what hard load needs: ordered waiting, and even load from old reports. It does by
   * its settings, or by routes for large bodies that may run only once, which cannot be repeated elsewhere.
   */
  get isContended(): boolean {
    return this.#options.hasPressure === true || this.#hasUploads
  }

  get isTargetRegistryKnown(): boolean {
    return this.#registryReadAtMs !== undefined
  }

  get isRouterStateKnown(): boolean {
    return this.#isRouterStateKnown
  }

  /** All known hosts, this one included once it is registered. */
  get hostNames(): readonly string[] {
    return this.#hostNames
  }

  /** The records that the known hosts have written of themselves. */
  get hosts(): ReadonlyMap<string, HostRecord> {
    return this.#hosts
  }

  /** Number of known hosts; at least 1. */
  get hostCount(): number {
    return Math.max(1, this.#hostNames.length)
  }

  /** The newest content of the row `leader` that this host knows. */
  get leader(): KnownLeader | undefined {
    return this.#leader
  }

  /** The row `leader` as the store has it in its present era. */
  get storedLeader(): KnownLeader | undefined {
    const stored = this.#storedLeader
    return stored !== undefined && eraOf(stored.version) === this.#routerStateEra ? stored : undefined
  }

  /** The latest era of the store that this host has read the router state in. */
  get routerStateEra(): number {
    return this.#routerStateEra
  }

  get malformedRows(): number {
    return this.#malformedRows
  }

  target(id: string): KnownTarget | undefined {
    return this.#targets.get(id)
  }

  targets(service: string): readonly KnownTarget[] {
    return this.#byService.get(service) ?? []
  }

  /** Whether new work may be sent to the target. */
  isUsable(target: KnownTarget): boolean {
    return target.state === TargetState.ready && !this.#evacuations.has(target.domain)
  }

  /** Records that the process of the target has said in a response that it is leaving. */
  recordLeaving(id: string, startedAtEpochMs: number | undefined): void {
    if (!this.#leaving.add(id, startedAtEpochMs)) return
    const target = this.#targets.get(id)
    if (target === undefined || target.startedAtEpochMs !== startedAtEpochMs) return
    const { service, address, domain, state } = target
    this.#options.logger.info('target.leaving', { target: id, service, address, domain, state })
    if (state === TargetState.draining) return
    const stateSinceMs = this.#options.clock.monotonicMs()
    this.#targets.set(id, { ...target, state: TargetState.draining, stateSinceMs })
    this.#index()
  }

  /** The targets in the target registry that have said that they are leaving, to tell other hosts. */
  leavingStatements(): readonly LeavingStatement[] {
    return this.#leaving.statements().filter(({ target, startedAtEpochMs }) => {
      const known = this.#targets.get(target)
      return known !== undefined && (known.startedAtEpochMs ?? null) === startedAtEpochMs
    })
  }

  /** Takes what other hosts have heard of targets. */
  mergeLeaving(statements: readonly LeavingStatement[]): void {
    for (const { target, startedAtEpochMs } of statements)
      this.recordLeaving(target, startedAtEpochMs ?? undefined)
  }

  isEvacuated(domain: string): boolean {
    return this.#evacuations.has(domain)
  }

  /** How long this host has known that the domain is evacuated; 0 for a domain that is not. */
  evacuatedForMs(domain: string): number {
    return this.#evacuations.knownForMs(domain)
  }

  /**
   * Whether the process has certainly ended, because a process with another id started later at its address.
   * Both the start times and the order in which the entries were first seen have to show this: a late write
   * may bring the entry of an earlier process back, and the clocks from which start times are taken may be
   * set. An unknown start time proves nothing, nor does the order of two entries that the same read showed
   * first.
   */
  hasCertainlyEnded(id: string, address: string, startedAtEpochMs: number | undefined): boolean {
    if (startedAtEpochMs === undefined) return false
    const processes = this.#processesByAddress.get(address) ?? []
    const own = processes.find((other) => other.id === id && other.startedAtEpochMs === startedAtEpochMs)
    if (own === undefined) return false
    return processes.some(
      (other) =>
        other.id !== id && other.startedAtEpochMs > startedAtEpochMs && other.firstRead > own.firstRead,
    )
  }

  assignment(service: string): KnownAssignment | undefined {
    const stored = this.#assignments.get(service)
    if (stored === undefined) return undefined
    const era = this.#routerStateEra
    stored.joined ??= {
      assignment: joinBlocks(service, stored.blocks),
      versions: stored.versions.map((version) => (eraOf(version) === era ? version : absentIn(era))),
      isOfPresentEra: stored.blocks.every((block) => block?.era === era),
      revision: stored.revision,
    }
    return stored.joined
  }

  range(service: string, key: number): AssignedRange | undefined {
    const block = this.#assignments.get(service)?.blocks[blockOf(key)]
    return block === undefined ? undefined : findRange(block.ranges, key)
  }

  /**
   * Rank of a request's priority (see `priorityOf`) among those that requests to the service have: 0 for the most
   * urgent, 1 for the next, and so on.
   */
  rank(service: string, priority: number): number {
    return Math.max(0, this.#ranks.get(service)?.indexOf(priority) ?? 0)
  }

  /** Resolves to true at the next change of any assignment, to false after `waitMs`. */
  waitForAssignmentChange(waitMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const changed = (): void => {
        this.#assignmentWaiters.delete(changed)
        cancel()
        resolve(true)
      }
      const cancel = this.#options.clock.schedule(waitMs, () => {
        this.#assignmentWaiters.delete(changed)
        resolve(false)
      })
      this.#assignmentWaiters.add(changed)
    })
  }

  /**
   * Applies changed rows of the operator's table. Returns the keys of those that were ignored because they are
   * rejected, or older than what is in force.
   */
  applyOperatorTable({ changed, removed, version }: ReplicaChange): string[] {
    const ignored: string[] = []
    for (const row of changed) {
      if (row.key === configurationKey && !this.#configure(row)) ignored.push(row.key)
      const domain = evacuatedDomain(row.key)
      if (domain !== undefined) this.#evacuations.begin(domain, row)
    }
    for (const key of removed) {
      const domain = evacuatedDomain(key)
      if (domain !== undefined) this.#restoreDomain(domain, version)
    }
    return ignored
  }

  /**
   * Applies changed entries of the target registry. Returns the keys of those that were ignored because a
   * later heartbeat of the same process is known.
   */
  applyTargetRegistry({ changed, removed, version }: ReplicaChange): string[] {
    const nowMs = this.#options.clock.monotonicMs()
    const gapMs = this.#registryReadAtMs === undefined ? 0 : nowMs - this.#registryReadAtMs
    const isRestored = eraOf(version) > eraOf(this.#registryVersion) && this.#registryReadAtMs !== undefined
    if (isRestored || (gapMs > outageGapMs && !this.#wasStoreAvailable(gapMs, version))) {
      this.#graceUntilMs = nowMs + reappearanceMs
    }
    this.#registryReadAtMs = nowMs
    this.#registryReads += 1
    this.#registryVersion = version
    const outdated = changed.filter((row) => !this.#applyEntry(row, nowMs)).map(({ key }) => key)
    for (const id of removed) this.#entryRemoved(id, nowMs)
    for (const target of this.#targets.values()) {
      if (target.missingSinceMs !== undefined && nowMs >= this.#graceUntilMs) this.#remove(target, 'not_back')
    }
    if (changed.length + removed.length > 0) this.#index()
    return outdated
  }

  /**
   * Whether targets wrote their heartbeats during a gap in which this host read nothing. If they did, the
   * entries that are missing after the gap did not lapse because of an outage of the store. Load pattern: a
   * host is cut off for seconds while targets leave.
   */
  #wasStoreAvailable(gapMs: number, version: number): boolean {
    const { heartbeatMs } = this.#options
    if (heartbeatMs === undefined) return false
    // The store's version rises with each write of any target.
    const expected = (this.#targets.size * gapMs) / heartbeatMs
    return version - this.#registryVersion >= expected * storePresentShare
  }

  /** Applies changed rows of the router state. */
  applyRouterState({ changed, removed, version }: ReplicaChange): void {
    this.#isRouterStateKnown = true
    this.#observeEra(version)
    for (const row of changed) this.applyRouterStateRow(row)
    const leftHosts = new Set(removed.map((key) => routerStateKeys.hostOf(key)))
    this.#hostNames = this.#hostNames.filter((host) => !leftHosts.has(host))
    for (const host of leftHosts) if (host !== undefined) this.#hosts.delete(host)
  }

  applyRouterStateRow(row: StoredRow): void {
    this.#observeEra(row.version)
    const host = routerStateKeys.hostOf(row.key)
    if (host !== undefined) this.#applyHost(host, row)
    if (row.key === routerStateKeys.leader) this.#applyLeader(row)
    if (routerStateKeys.isAssignment(row.key)) this.#applyBlock(row)
  }

  #observeEra(version: number): void {
    const era = eraOf(version)
    if (era <= this.#routerStateEra) return
    this.#routerStateEra = era
    for (const stored of this.#assignments.values()) {
      stored.revision += 1
      stored.joined = undefined
    }
  }

  #applyHost(name: string, row: StoredRow): void {
    const record = decodeHost(row.value)
    if (record === undefined) this.#recordMalformed(row, 'host')
    else this.#hosts.set(name, record)
    // A host whose row cannot be decoded still counts among the hosts that share the budgets.
    if (!this.#hostNames.includes(name)) this.#hostNames = [...this.#hostNames, name]
  }

  /** False for a row that is rejected, or older than the configuration in force. */
  #configure(row: StoredRow): boolean {
    const { logger } = this.#options
    const decoded = decodeConfiguration(row.value)
    if (decoded.isErr) {
      this.#recordMalformed(row, 'configuration')
      logger.error('configuration.rejected', { rowVersion: row.version, issues: decoded.error })
      return false
    }
    const configuration = decoded.value
    const current = this.#routes?.configuration.version
    if (current !== undefined && configuration.version <= current) return configuration.version === current
    this.#routes = new RouteTable(configuration)
    this.#rankRequests(configuration)
    logger.info('configuration.applied', {
      configurationVersion: configuration.version,
      previousVersion: current,
      rowVersion: row.version,
      routes: configuration.routes.length,
      tenants: configuration.tenants?.tenants.length,
    })
    return true
  }

  #rankRequests({ routes, tenants }: Configuration): void {
    this.#ranks.clear()
    this.#hasUploads = routes.some(({ kind }) => kind === RequestKind.upload)
    // A tenant without a priority of its own stands for all of these, as only the priority counts here.
    const byPriority = new Map(tenants?.tenants.map((tenant) => [tenant.priority, tenant]))
    for (const route of routes) {
      const tenantsOfRoute =
        tenants === undefined || route.isAnonymous ? [undefined] : [...byPriority.values()]
      for (const { service } of route.split) {
        const priorities = new Set(this.#ranks.get(service))
        for (const tenant of tenantsOfRoute) priorities.add(priorityOf(route, tenant))
        this.#ranks.set(
          service,
          [...priorities].sort((a, b) => a - b),
        )
      }
    }
  }

  #restoreDomain(domain: string, position: number): void {
    if (!this.#evacuations.end(domain, position)) return
    // Its targets may have turned cold, so they count as cold for `coldStartMs`, unless their next entries
    // say otherwise.
    const nowMs = this.#options.clock.monotonicMs()
    for (const target of this.#targets.values()) {
      if (target.domain === domain)
        target.coldUntilMs = Math.max(target.coldUntilMs, nowMs + this.#coldStartMs(target))
    }
  }

  #coldStartMs({ service }: Target): number {
    return this.#routes?.configuration.services.get(service)?.coldStartMs ?? 0
  }

  /** False for a late write of a heartbeat that is older than the latest known one of the same process. */
  #applyEntry(row: StoredRow, nowMs: number): boolean {
    const { logger } = this.#options
    const decoded = decodeTarget(row.key, row.value)
    const hasSaidThatItLeaves =
      decoded !== undefined && this.#leaving.has(decoded.id, decoded.startedAtEpochMs)
    const target = hasSaidThatItLeaves ? { ...decoded, state: TargetState.draining } : decoded
    if (target === undefined) {
      this.#recordMalformed(row, 'target')
      this.#entryRemoved(row.key, nowMs)
      return true
    }
    if (this.#isOutdated(target)) {
      logger.info('target.outdated', {
        target: target.id,
        sequence: target.sequence,
        rowVersion: row.version,
      })
      return false
    }
    const known = this.#targets.get(target.id)
    const restarted = known?.startedAtEpochMs !== target.startedAtEpochMs
    const coldUntilMs = target.coldRemainingMs > 0 ? nowMs + target.coldRemainingMs : 0
    const stateSinceMs =
      known !== undefined && known.state === target.state && !restarted ? known.stateSinceMs : nowMs
    this.#targets.set(target.id, { ...target, stateSinceMs, coldUntilMs, missingSinceMs: undefined })
    this.#recordProcess(target)
    if (
      known === undefined ||
      known.state !== target.state ||
      restarted ||
      known.address !== target.address
    ) {
      logger.info('target.changed', {
        target: target.id,
        service: target.service,
        address: target.address,
        state: target.state,
        domain: target.domain,
        coldRemainingMs: target.coldRemainingMs,
        startedAtEpochMs: target.startedAtEpochMs,
        rowVersion: row.version,
      })
    }
    return true
  }

  #isOutdated({ id, startedAtEpochMs, sequence }: Target): boolean {
    if (startedAtEpochMs === undefined) return false
    const latest = this.#latestHeartbeats.get(id)
    if (latest?.startedAtEpochMs === startedAtEpochMs && sequence < latest.sequence) return true
    // Deleted first, so that the map is ordered by the latest heartbeats, the oldest first.
    this.#latestHeartbeats.delete(id)
    this.#latestHeartbeats.set(id, { startedAtEpochMs, sequence })
    if (this.#latestHeartbeats.size > maxLatestHeartbeats) {
      const [oldest] = this.#latestHeartbeats.keys()
      if (oldest !== undefined) this.#latestHeartbeats.delete(oldest)
    }
    return false
  }

  #recordProcess({ id, address, startedAtEpochMs }: Target): void {
    if (startedAtEpochMs === undefined) return
    const processes = this.#processesByAddress.get(address) ?? []
    if (processes.some((other) => other.id === id && other.startedAtEpochMs === startedAtEpochMs)) return
    processes.push({ id, startedAtEpochMs, firstRead: this.#registryReads })
    if (processes.length > maxProcessesPerAddress) processes.shift()
    this.#processesByAddress.set(address, processes)
  }

  #entryRemoved(id: string, nowMs: number): void {
    const target = this.#targets.get(id)
    if (target === undefined) return
    if (nowMs < this.#graceUntilMs) {
      this.#targets.set(id, { ...target, missingSinceMs: target.missingSinceMs ?? nowMs })
      this.#options.logger.info('target.missing', { target: id, graceMs: this.#graceUntilMs - nowMs })
    } else {
      this.#remove(target, 'entry_removed')
    }
  }

  #remove({ id, service, address }: KnownTarget, reason: string): void {
    this.#targets.delete(id)
    this.#options.logger.info('target.removed', { target: id, service, address, reason })
    this.#index()
  }

  #index(): void {
    this.#byService.clear()
    for (const target of this.#targets.values()) {
      const targets = this.#byService.get(target.service) ?? []
      targets.push(target)
      this.#byService.set(target.service, targets)
    }
  }

  #applyLeader(row: StoredRow): void {
    if (this.#storedLeader !== undefined && this.#storedLeader.version >= row.version) return
    const record = decodeLeader(row.value)
    if (record === undefined) {
      this.#recordMalformed(row, 'leader')
      return
    }
    this.#storedLeader = { record, version: row.version }
    if (this.#leader !== undefined && this.#leader.version >= originOf(record.era, row.version)) return
    if (this.#leader?.record.term !== record.term) {
      this.#options.logger.info('leader.changed', {
        leader: record.leader,
        term: record.term,
        era: record.era,
        rowVersion: row.version,
      })
    }
    this.#leader = { record, version: originOf(record.era, row.version) }
  }

  #applyBlock(row: StoredRow): void {
    const block = decodeBlock(row.value.toString('utf8'))
    if (block === undefined) {
      this.#recordMalformed(row, 'assignment')
      return
    }
    const stored = this.#assignments.get(block.service) ?? {
      blocks: Array.from({ length: blockCount }, () => undefined),
      origins: Array.from({ length: blockCount }, () => -1),
      versions: Array.from({ length: blockCount }, () => -1),
      revision: 0,
      joined: undefined,
    }
    this.#assignments.set(block.service, stored)
    if ((stored.versions[block.block] ?? -1) >= row.version) return
    stored.versions[block.block] = row.version
    stored.revision += 1
    stored.joined = undefined
    const origin = originOf(block.era, row.version)
    if ((stored.origins[block.block] ?? -1) >= origin) return
    stored.blocks[block.block] = block
    stored.origins[block.block] = origin
    for (const waiter of [...this.#assignmentWaiters]) waiter()
  }

  #recordMalformed(row: StoredRow, kind: string): void {
    this.#malformedRows += 1
    this.#options.logger.warn('row.malformed', { kind, key: row.key, rowVersion: row.version })
  }
}
