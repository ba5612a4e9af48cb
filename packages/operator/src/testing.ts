/** In-process fakes for tests: a host, a cell, and a platform that can lose requests and responses. */
import { AuditTrail } from '@pimentotally/storage'
import { Configuration, SilentLogger, type Clock, type Logger } from '@pimentotally/core'
import {
  ObjectStore,
  TableService,
  type Committed,
  type PlatformError,
  type PlatformResult,
  type Row,
  type ScanOptions,
  type Transaction,
} from '@pimentotally/storage'
import { VirtualTime } from '@pimentotally/core/testing'
import { Result } from 'true-myth'
import { OperatorBackend, type AcceptedVersion, type OperatorResult } from './backend.js'
import { configRowKeys } from './store.js'
import {
  CellDirectory,
  CellInspector,
  HostInspector,
  type BlockedView,
  type HostView,
  type MemberView,
  type OwnerView,
  type ServiceHomes,
  type TargetView,
} from './views.js'

/** What happens to one transaction. */
export const TransactionOutcome = {
  answered: 'answered',
  /** Refused; it has certainly not taken effect. */
  unavailable: 'unavailable',
  /** Carried out if its conditions hold, but the response is lost. */
  answerLost: 'answerLost',
  /** Not carried out, and there is no response. */
  requestLost: 'requestLost',
} as const
export type TransactionOutcome = (typeof TransactionOutcome)[keyof typeof TransactionOutcome]

const failed = (code: 'unavailable' | 'unknown'): Result<never, PlatformError> =>
  Result.err({ code, step: 'fake', message: code === 'unknown' ? 'no answer' : 'not reachable' })

export class FakeTable extends TableService {
  readonly rows = new Map<string, Row>()
  /** While set, every call fails as unavailable. */
  down = false
  /** Called before each transaction; its result says what happens to the transaction. */
  onTransact: (transaction: Transaction) => TransactionOutcome | Promise<TransactionOutcome> = () =>
    TransactionOutcome.answered
  /** Called before each read and scan, which fails as unavailable when it returns false. */
  onRead: () => boolean = () => true

  override async read(key: string): Promise<PlatformResult<Row | undefined>> {
    await Promise.resolve()
    return this.down || !this.onRead() ? failed('unavailable') : Result.ok(this.rows.get(key))
  }

  override async scan(prefix: string, options: ScanOptions = {}): Promise<PlatformResult<readonly Row[]>> {
    await Promise.resolve()
    const { after, limit = Infinity, reverse = false } = options
    if (this.down || !this.onRead()) return failed('unavailable')
    const beyond = ({ key }: Row): boolean => after === undefined || (reverse ? key < after : key > after)
    const found = [...this.rows.values()]
      .filter((row) => row.key.startsWith(prefix) && beyond(row))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
    return Result.ok((reverse ? found.reverse() : found).slice(0, limit))
  }

  override async transact(transaction: Transaction): Promise<PlatformResult<Committed>> {
    const outcome = this.down ? TransactionOutcome.unavailable : await this.onTransact(transaction)
    if (outcome === TransactionOutcome.unavailable) return failed('unavailable')
    if (outcome === TransactionOutcome.requestLost) return failed('unknown')
    const { conditions, puts, writeId } = transaction
    const failedCondition = conditions.find(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version,
    )
    if (failedCondition === undefined) {
      for (const { key, value } of puts) {
        this.rows.set(key, { key, value, writeId, version: (this.rows.get(key)?.version ?? 0) + 1 })
      }
    }
    if (outcome === TransactionOutcome.answerLost) return failed('unknown')
    if (failedCondition !== undefined) {
      const actualVersion = this.rows.get(failedCondition.key)?.version ?? 0
      return Result.err({
        code: 'conflict',
        step: 'fake',
        message: failedCondition.key,
        key: failedCondition.key,
        actualVersion,
      })
    }
    return Result.ok({
      versions: Object.fromEntries(puts.map(({ key }) => [key, this.rows.get(key)?.version ?? 0])),
    })
  }

  /** Parsed values of the rows below a prefix, in key order. */
  values(prefix: string): readonly Readonly<Record<string, unknown>>[] {
    return [...this.rows.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .map(({ value }) => JSON.parse(value) as Record<string, unknown>)
  }
}

export class FakeObjects extends ObjectStore {
  readonly objects = new Map<string, Uint8Array>()
  /** While set, every call fails as unavailable. */
  down = false

  override async put(name: string, bytes: Uint8Array): Promise<PlatformResult<void>> {
    await Promise.resolve()
    if (this.down) return failed('unavailable')
    this.objects.set(name, bytes)
    return Result.ok(undefined)
  }

  override async get(name: string): Promise<PlatformResult<Uint8Array | undefined>> {
    await Promise.resolve()
    return this.down ? failed('unavailable') : Result.ok(this.objects.get(name))
  }
}

export class FakeHost extends HostInspector {
  current: Configuration = Configuration.empty
  members: readonly MemberView[] = []

  override configuration(): Configuration {
    return this.current
  }

  override status(): HostView {
    return {
      hostId: 'jb-1-aaaa',
      domain: 'jb',
      platformReachable: true,
      ready: true,
      members: this.members,
      cells: [],
      invariantViolations: 0,
    }
  }
}

export class FakeCell extends CellInspector {
  views: readonly TargetView[] = []
  readonly blockedById = new Map<string, BlockedView>()

  override async targets(service?: string): Promise<readonly TargetView[]> {
    return Promise.resolve(this.views.filter((view) => service === undefined || view.service === service))
  }

  override async owner(service: string, shard: number, keyHash: string): Promise<OwnerView> {
    return Promise.resolve({ target: `${service}-${String(shard)}-${keyHash}`, fence: 'f', stored: true })
  }

  override async blocked(): Promise<readonly BlockedView[]> {
    return Promise.resolve([...this.blockedById.values()])
  }

  override async release(identity: string): Promise<boolean> {
    return Promise.resolve(this.blockedById.delete(identity))
  }
}

/** One cell, `jb`, home of every shard. */
export class FakeDirectory extends CellDirectory {
  readonly localCell: CellInspector | undefined
  readonly remoteCell: CellInspector | undefined

  constructor(cells: { readonly local?: CellInspector; readonly remote?: CellInspector }) {
    super()
    this.localCell = cells.local
    this.remoteCell = cells.remote
  }

  override cells(): readonly string[] {
    return ['jb']
  }

  override homeCell(): string {
    return 'jb'
  }

  override local(): CellInspector | undefined {
    return this.localCell
  }

  override remote(): CellInspector | undefined {
    return this.remoteCell
  }
}

export interface FakeBackendOptions {
  readonly table: FakeTable
  readonly objects: FakeObjects
  readonly clock: Clock
  readonly logger?: Logger
  readonly outcomeLookupTimeoutMs?: number
  readonly homes?: ServiceHomes
  readonly onAccepted?: (configuration: Configuration) => void
}

/** A backend on a fake host whose configuration becomes each one that the backend commits. */
export const fakeBackend = ({
  logger = new SilentLogger(),
  onAccepted,
  ...options
}: FakeBackendOptions): { readonly backend: OperatorBackend; readonly host: FakeHost } => {
  const host = new FakeHost()
  const { table, clock } = options
  const backend = new OperatorBackend({
    ...options,
    audit: new AuditTrail({ table, hostId: 'fake', clock, logger }),
    logger,
    host,
    onAccepted: (configuration) => {
      host.current = configuration
      onAccepted?.(configuration)
    },
  })
  return { backend, host }
}

/** A valid deployment file with one keyed service, which has one target in each domain. */
export const exampleFile = ({ slots = 4, shardCount = 64, domains = ['jb', 'kl'] } = {}): string =>
  [
    'name = "test"',
    ...domains.flatMap((domain) => ['[[domains]]', `name = "${domain}"`, 'region = "my"']),
    '[[services]]',
    'name = "notes"',
    'pathPrefix = "/notes/"',
    `slots = ${String(slots)}`,
    'connections = 100',
    `keyed = { shardCount = ${String(shardCount)}, pathSegment = 0 }`,
    ...domains.flatMap((domain, index) => [
      '[[targets]]',
      `name = "notes-${String(index)}"`,
      'service = "notes"',
      `domain = "${domain}"`,
      `address = "127.0.0.1:${String(9001 + index)}"`,
    ]),
  ].join('\n')

export interface OperatorHarness {
  readonly table: FakeTable
  readonly objects: FakeObjects
  /** The configurations that the backends of all hosts committed, in order. */
  readonly accepted: Configuration[]
  readonly backend: OperatorBackend
  readonly host: FakeHost
  readonly anotherHost: () => { readonly backend: OperatorBackend; readonly host: FakeHost }
  /** Advances the virtual time until the call has ended. */
  readonly run: <T>(call: Promise<T>) => Promise<T>
}

/** Sets up a host, and further ones when asked, on one fake platform in virtual time. */
export const setUpOperators = (): OperatorHarness => {
  const time = new VirtualTime()
  const table = new FakeTable()
  const objects = new FakeObjects()
  const accepted: Configuration[] = []
  const anotherHost: OperatorHarness['anotherHost'] = () =>
    fakeBackend({ table, objects, clock: time.clock(), onAccepted: (next) => accepted.push(next) })
  const run = async <T>(call: Promise<T>): Promise<T> => {
    let done = false
    const watched = call.finally(() => {
      done = true
    })
    while (!done) await time.advance(50)
    return watched
  }
  return { table, objects, accepted, anotherHost, run, ...anotherHost() }
}

/** Applies a deployment file as the given author. */
export const apply = (
  backend: OperatorBackend,
  author: string,
  document = exampleFile(),
  writeId?: string,
): OperatorResult<AcceptedVersion> => backend.apply({ fileName: 'test.toml', document }, { author, writeId })

/** Sets what happens to the next commit of a version; all other transactions are carried out and answered. */
export const setNextCommitOutcome = (
  table: FakeTable,
  outcome: () => TransactionOutcome | Promise<TransactionOutcome>,
): void => {
  let pending = true
  table.onTransact = ({ puts }) => {
    if (!pending || !puts.some(({ key }) => key === configRowKeys.current)) return TransactionOutcome.answered
    pending = false
    return outcome()
  }
}
