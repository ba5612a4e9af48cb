/** Test helpers: a permit pool in virtual time with a given deployment. */
import assert from 'node:assert/strict'
import {
  CellAuthority,
  Configuration,
  type Permit,
  type PermitRefusal,
  type PermitRequest,
  type PermitSource,
  Random,
  type ServiceSpec,
  type ShardOwner,
  SilentLogger,
  type TargetSpec,
  type Term,
  Term as Terms,
  ThrowingInvariantReporter,
} from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { PermitPool, type PermitPoolOptions } from './pool.js'
import { PermitSink } from './session.js'

export const termOf = (ballot: number, hostSequence = 1): Term => Terms.of({ epoch: 1, ballot, hostSequence })

export const serviceSpec = (part: Partial<ServiceSpec> & { readonly name: string }): ServiceSpec => ({
  pathPrefix: `/${part.name}`,
  verifiesGrants: true,
  slots: 6,
  connections: 120,
  idempotentMethods: ['GET'],
  routes: [],
  idempotencyKey: 'optional',
  requestTimeoutMs: 2000,
  stallTimeoutMs: 5000,
  callerStallTimeoutMs: 10_000,
  maxRequestBodyBytes: 1 << 20,
  retryBudget: 0.02,
  hedgeBudget: 0.03,
  crashLimit: 2,
  ...part,
})

/**
 * A configuration with these services and numbers of targets, named `<service>-1` and so on, all in domain
 * `north`.
 */
export const configurationOf = (
  services: readonly ServiceSpec[],
  targets: Readonly<Record<string, number>>,
  operations: Configuration['operations'] = Configuration.empty.operations,
): Configuration => ({
  version: 1,
  hash: '',
  deployment: {
    name: 'test',
    services,
    targets: Object.entries(targets).flatMap(([service, count]) =>
      Array.from({ length: count }, (_, index): TargetSpec => {
        const name = `${service}-${String(index + 1)}`
        return { name, service, domain: 'north', address: `127.0.0.1:${String(9000 + index)}` }
      }),
    ),
    domains: [{ name: 'north', region: 'r' }],
  },
  operations,
})

let requests = 0

export const request = (part: Partial<PermitRequest> = {}): PermitRequest => {
  requests += 1
  return {
    requestId: `r${String(requests)}`,
    service: 'prices',
    excludedTargets: [],
    deadlineMs: 1000,
    identity: `i${String(requests)}`,
    attempt: 'first',
    idempotent: true,
    ...part,
  }
}

export class FakeAuthority extends CellAuthority {
  override readonly cellId = 'north'
  held: Term | undefined = termOf(1)
  validMs = 900
  readonly owners = new Map<number, ShardOwner>()

  override term(): Term | undefined {
    return this.held
  }

  override validForMs(): number {
    return this.held === undefined ? 0 : this.validMs
  }

  override owner(_service: string, shard: number): ShardOwner | undefined {
    return this.owners.get(shard)
  }
}

/** Records the pool's messages to one host. */
export class RecordingSink extends PermitSink {
  readonly permits: Permit[] = []
  readonly refusals: PermitRefusal[] = []
  ended = false

  override lent(_callId: number, permit: Permit): void {
    this.permits.push(permit)
  }
  override refused(_callId: number, refusal: PermitRefusal): void {
    this.refusals.push(refusal)
  }
  override closed(): void {
    this.ended = true
  }
  override blocked = (): void => undefined
  override unblocked = (): void => undefined
  override suspected = (): void => undefined
  override cleared = (): void => undefined
}

export interface PoolFixtureOptions extends Partial<PermitPoolOptions> {
  readonly services: readonly (Partial<ServiceSpec> & { readonly name: string })[]
  readonly targets: Readonly<Record<string, number>>
  /** True by default; with false the targets start cold. */
  readonly warm?: boolean
}

/** A pool that holds term 1, with targets that are warm unless `warm` is false. */
export class PoolFixture {
  readonly time = new VirtualTime()
  readonly authority = new FakeAuthority()
  readonly never: AbortSignal = new AbortController().signal
  readonly pool: PermitPool
  configuration: Configuration
  hosts: readonly string[] = []

  constructor({ services, targets, warm = true, ...options }: PoolFixtureOptions) {
    this.configuration = configurationOf(services.map(serviceSpec), targets)
    this.pool = new PermitPool({
      cellId: 'north',
      clock: this.time.clock(),
      random: new Random(1),
      authority: this.authority,
      configuration: () => this.configuration,
      hosts: () => this.hosts,
      invariants: new ThrowingInvariantReporter(),
      logger: new SilentLogger(),
      ...options,
    })
    this.pool.startTerm(termOf(1), [])
    for (const { name } of this.configuration.deployment.targets) {
      this.pool.targetAnswered(name, { instanceId: 'one', uptimeMs: warm ? 60_000 : 0 })
    }
  }

  /** Acquires a permit; fails the test when the call is refused. */
  async acquirePermit(source: PermitSource, part: Partial<PermitRequest> = {}): Promise<Permit> {
    const result = await source.acquire(request(part), this.never)
    assert.ok(result.isOk, JSON.stringify(result))
    return result.value
  }

  /** Requests a permit; fails the test unless the call is refused with this code. */
  async refused(source: PermitSource, code: string, part: Partial<PermitRequest> = {}): Promise<void> {
    const result = await source.acquire(request(part), this.never)
    assert.ok(result.isErr && result.error.code === code, JSON.stringify(result))
  }

  close(): void {
    this.pool.close()
  }
}
