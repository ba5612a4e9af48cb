/** Parser of the declarative file, which declares services, targets and failure domains. */
import {
  IdempotencyKeyRule,
  type Deployment,
  type DomainSpec,
  type Issue,
  type KeySource,
  type RouteSpec,
  type ServiceSpec,
  type TargetSpec,
} from '@pimentotally/core'
import { Result } from 'true-myth'
import { ConfigError, type ParseOptions } from './config-error.js'
import { checkDeployment } from './deployment-checks.js'
import { IssueCollector, TableReader } from './reader.js'
import { safeParseToml } from './toml.js'

/** Bounds the size of cell records: the bitmap of the shards of one service then takes 8 KiB. */
export const maxShardCount = 65_536

const pathRule = {
  pattern: /^\/(?:[A-Za-z0-9._~!$&'()*+,;=:@%-]+(?:\/|$))*$/,
  code: 'invalid_path_prefix',
  expected: 'an absolute path without empty segments, query or fragment',
}

const methodRule = { pattern: /^[A-Z][A-Z-]{0,19}$/, expected: 'an HTTP method in upper case' }

const readPathPrefix = (table: TableReader): string => {
  const prefix = table.string('pathPrefix', pathRule)
  if (prefix.split('/').some((part) => part === '.' || part === '..')) {
    table.issue(pathRule.code, 'pathPrefix', 'must not contain the segments . and ..')
  }
  return prefix
}

const readKeySource = (table: TableReader): KeySource => {
  const hasHeader = table.has('header')
  const hasSegment = table.has('pathSegment')
  const header = table.string('header', {
    fallback: '',
    pattern: /^(?!pimentotally-)[a-z0-9!#$%&'*+.^_`|~-]+$/,
    expected: 'a lower-case header name that does not start with pimentotally-',
  })
  const index = table.integer('pathSegment', { min: 0, max: 31, fallback: 0 })
  if (!hasHeader && !hasSegment) {
    table.issue('key_source_missing', undefined, 'a keyed service needs header or pathSegment')
  } else if (hasHeader && hasSegment) {
    table.issue('key_source_ambiguous', undefined, 'header and pathSegment exclude each other')
  }
  return hasHeader ? { kind: 'header', name: header } : { kind: 'pathSegment', index }
}

const readKeyed = (service: TableReader): ServiceSpec['keyed'] => {
  const table = service.table('keyed')
  if (table === undefined) return undefined
  const shardCount = table.integer('shardCount', { min: 1, max: maxShardCount, fallback: 4096 })
  if (Number.isInteger(shardCount) && shardCount > 0 && (shardCount & (shardCount - 1)) !== 0) {
    table.issue('shard_count_not_power_of_two', 'shardCount', `${String(shardCount)} is not a power of two`)
  }
  const source = readKeySource(table)
  table.reportUnknownFields()
  return { shardCount, source }
}

const readRoutes = (service: TableReader, servicePrefix: string): readonly RouteSpec[] => {
  const seen = new Set<string>()
  return service.tables('routes').map((table) => {
    const method = table.string('method', methodRule)
    const pathPrefix = readPathPrefix(table)
    const idempotent = table.boolean('idempotent')
    table.reportUnknownFields()
    if (!pathPrefix.startsWith(servicePrefix)) {
      table.issue('route_outside_service', 'pathPrefix', `must start with the service's ${servicePrefix}`)
    }
    const id = `${method} ${pathPrefix}`
    if (seen.has(id)) table.issue('duplicate_route', undefined, `${id} is declared twice`)
    seen.add(id)
    return { method, pathPrefix, idempotent }
  })
}

const readService = (table: TableReader): ServiceSpec => {
  const pathPrefix = readPathPrefix(table)
  const keyed = readKeyed(table)
  const service: ServiceSpec = {
    name: table.name('name'),
    pathPrefix,
    ...(keyed === undefined ? {} : { keyed }),
    verifiesGrants: table.boolean('verifiesGrants', false),
    // One host may hold slots - max(1, floor(slots / 3)) permits, which is none for a single slot.
    slots: table.integer('slots', { min: 2, max: 10_000 }),
    // One host may hold floor(connections / 10) connections, which is none below 10.
    connections: table.integer('connections', { min: 10, max: 100_000 }),
    idempotentMethods: table.strings('idempotentMethods', {
      fallback: ['GET', 'HEAD', 'OPTIONS'],
      check: (text, index) => {
        if (!methodRule.pattern.test(text)) {
          table.elementIssue(
            'invalid_value',
            'idempotentMethods',
            index,
            `must be ${methodRule.expected}, not "${text}"`,
          )
        }
      },
    }),
    routes: readRoutes(table, pathPrefix),
    idempotencyKey: table.oneOf(
      'idempotencyKey',
      Object.values(IdempotencyKeyRule),
      IdempotencyKeyRule.required,
    ),
    requestTimeoutMs: table.integer('requestTimeoutMs', { min: 10, max: 600_000, fallback: 10_000 }),
    stallTimeoutMs: table.integer('stallTimeoutMs', { min: 10, max: 600_000, fallback: 5000 }),
    callerStallTimeoutMs: table.integer('callerStallTimeoutMs', { min: 10, max: 600_000, fallback: 10_000 }),
    maxRequestBodyBytes: table.integer('maxRequestBodyBytes', {
      min: 0,
      max: 2 ** 40,
      fallback: 8 * 2 ** 20,
    }),
    retryBudget: table.number('retryBudget', { min: 0, max: 0.05, fallback: 0.02 }),
    hedgeBudget: table.number('hedgeBudget', { min: 0, max: 0.05, fallback: 0.03 }),
    crashLimit: table.integer('crashLimit', { min: 1, max: 100, fallback: 2 }),
  }
  table.reportUnknownFields()
  return service
}

const readTarget = (table: TableReader): TargetSpec => {
  const target = {
    name: table.name('name'),
    service: table.name('service'),
    domain: table.name('domain'),
    address: table.address('address'),
  }
  table.reportUnknownFields()
  return target
}

const readDomain = (table: TableReader): DomainSpec => {
  const domain = { name: table.name('name'), region: table.name('region') }
  table.reportUnknownFields()
  return domain
}

export const DeploymentFile = {
  /** Returns the deployment with defaults filled in, or all issues of the file. */
  safeParse: (text: string, { file }: ParseOptions = {}): Result<Deployment, readonly Issue[]> =>
    safeParseToml(text, file).andThen((document) => {
      const collector = new IssueCollector(document, file)
      const root = new TableReader(collector, document.root, [])
      const deployment: Deployment = {
        name: root.name('name'),
        services: root.tables('services').map(readService),
        targets: root.tables('targets').map(readTarget),
        domains: root.tables('domains').map(readDomain),
      }
      root.reportUnknownFields()
      checkDeployment(deployment, collector)
      return collector.issues.length === 0 ? Result.ok(deployment) : Result.err(collector.issues)
    }),

  /** Like `safeParse`, but throws a ConfigError with all issues of the file. */
  parse: (text: string, options: ParseOptions = {}): Deployment => {
    const result = DeploymentFile.safeParse(text, options)
    if (result.isErr) throw new ConfigError('deployment.parse', result.error)
    return result.value
  },
}
