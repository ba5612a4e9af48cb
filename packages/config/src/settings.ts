/** Process settings: the TOML file that the daemon of one host reads at start. */
import { createHash } from 'node:crypto'
import { LogLevel, type Deployment, type Issue } from '@pimentotally/core'
import { Result } from 'true-myth'
import { Address } from './address.js'
import { ConfigError, type ParseOptions } from './config-error.js'
import { IssueCollector, TableReader } from './reader.js'
import { safeParseToml } from './toml.js'

/** The name of an operator and the SHA-256 of the operator's credential, in hex. */
export interface OperatorCredential {
  readonly name: string
  readonly credentialSha256: string
}

/**
 * The limits of connections and heads apply to the listeners `callers` and `forwarded`, to each on its own.
 */
export interface ProcessLimits {
  /** Highest size of the head of a request. */
  readonly maxHeaderBytes: number
  /** Highest number of connections that are open at once. */
  readonly maxConnections: number
  /**
   * Time to receive the head of a request: from the connect for the first request of a connection, and from
   * its first byte for each later one.
   */
  readonly headersTimeoutMs: number
  /** A connection that has been idle for this time after a response is closed. */
  readonly keepAliveTimeoutMs: number
  /** A graceful shutdown that takes longer than this is forced. */
  readonly shutdownTimeoutMs: number
  /** Timeout of one call to the platform. */
  readonly platformTimeoutMs: number
}

export interface ProcessSettings {
  readonly hostName: string
  readonly domain: string
  readonly region: string
  /** IP address and port of each listener. */
  readonly listen: {
    readonly callers: string
    /** RPCs of peer hosts: gossip, votes, permits and queries about cells. */
    readonly peers: string
    /** Requests that peer hosts forward. */
    readonly forwarded: string
    readonly operators: string
    readonly metrics: string
  }
  /**
   * IP address and port of each service of the platform: the table service, the object store, which holds the
   * configuration documents, and the list from which hosts learn of each other.
   */
  readonly platform: { readonly table: string; readonly objects: string; readonly hostList: string }
  /** Shared secrets of the hosts: the first is sent to peers, all of them are accepted from peers. */
  readonly peerSecrets: readonly string[]
  readonly operators: readonly OperatorCredential[]
  /** Addresses of peers that are contacted at start to join. */
  readonly seeds: readonly string[]
  readonly logLevel: LogLevel
  readonly limits: ProcessLimits
}

const secretRule = {
  pattern: /^[\x21-\x7e]{16,256}$/,
  expected: '16 to 256 printable characters without spaces',
  code: 'weak_secret',
  secret: true,
}

const readOperators = (root: TableReader): readonly OperatorCredential[] => {
  const operators = root.tables('operators').map((entry) => {
    const name = entry.name('name')
    const credential = entry.has('credential') ? entry.string('credential', secretRule) : undefined
    const digest = entry.string('credentialSha256', {
      fallback: '',
      pattern: /^(?:[0-9a-f]{64})?$/,
      expected: 'a SHA-256 in 64 lower-case hex digits',
      secret: true,
    })
    if ((credential === undefined) === (digest === '')) {
      entry.issue('missing_credential', undefined, 'needs exactly one of credential and credentialSha256')
    }
    entry.reportUnknownFields()
    const credentialSha256 =
      credential === undefined ? digest : createHash('sha256').update(credential).digest('hex')
    return { entry, name, credentialSha256 }
  })
  const names = new Set<string>()
  const digests = new Set<string>()
  for (const { entry, name, credentialSha256 } of operators) {
    if (names.has(name)) entry.issue('duplicate_name', 'name', `operator "${name}" is declared twice`)
    // With a shared credential, the audit trail could name the wrong operator.
    if (credentialSha256 !== '' && digests.has(credentialSha256)) {
      entry.issue('duplicate_credential', undefined, 'another operator has the same credential')
    }
    names.add(name)
    digests.add(credentialSha256)
  }
  return operators.map(({ name, credentialSha256 }) => ({ name, credentialSha256 }))
}

const readListeners = (root: TableReader): ProcessSettings['listen'] => {
  const table = root.table('listen')
  if (table === undefined) {
    if (!root.has('listen')) root.issue('missing_field', 'listen', 'is required')
    return { callers: '', peers: '', forwarded: '', operators: '', metrics: '' }
  }
  const listen = {
    callers: table.address('callers', { listener: true }),
    peers: table.address('peers', { listener: true }),
    forwarded: table.address('forwarded', { listener: true }),
    operators: table.address('operators', { listener: true }),
    metrics: table.address('metrics', { listener: true }),
  }
  table.reportUnknownFields()
  const seen = new Set<string>()
  for (const [key, address] of Object.entries(listen)) {
    if (address === '' || Address.parse(address)?.port === 0) continue
    if (seen.has(address)) table.issue('duplicate_address', key, `${address} is used by two listeners`)
    seen.add(address)
  }
  return listen
}

const readPlatform = (root: TableReader): ProcessSettings['platform'] => {
  const table = root.table('platform')
  if (table === undefined) {
    if (!root.has('platform')) root.issue('missing_field', 'platform', 'is required')
    return { table: '', objects: '', hostList: '' }
  }
  const platform = {
    table: table.address('table'),
    objects: table.address('objects'),
    hostList: table.address('hostList'),
  }
  table.reportUnknownFields()
  return platform
}

const readLimits = (root: TableReader, collector: IssueCollector): ProcessLimits => {
  const table = root.table('limits') ?? new TableReader(collector, {}, ['limits'])
  const limits = {
    maxHeaderBytes: table.integer('maxHeaderBytes', { min: 1024, max: 262_144, fallback: 16_384 }),
    maxConnections: table.integer('maxConnections', { min: 1, max: 1_000_000, fallback: 10_000 }),
    headersTimeoutMs: table.integer('headersTimeoutMs', { min: 100, max: 120_000, fallback: 10_000 }),
    keepAliveTimeoutMs: table.integer('keepAliveTimeoutMs', { min: 100, max: 600_000, fallback: 60_000 }),
    shutdownTimeoutMs: table.integer('shutdownTimeoutMs', { min: 100, max: 600_000, fallback: 30_000 }),
    platformTimeoutMs: table.integer('platformTimeoutMs', { min: 50, max: 30_000, fallback: 2000 }),
  }
  table.reportUnknownFields()
  return limits
}

const readSettings = (root: TableReader, collector: IssueCollector): ProcessSettings => {
  const settings: ProcessSettings = {
    hostName: root.name('hostName'),
    domain: root.name('domain'),
    region: root.name('region'),
    listen: readListeners(root),
    platform: readPlatform(root),
    peerSecrets: root.strings('peerSecrets', {
      check: (text, index) => {
        if (!secretRule.pattern.test(text)) {
          root.elementIssue(secretRule.code, 'peerSecrets', index, `must be ${secretRule.expected}`)
        }
      },
    }),
    operators: readOperators(root),
    seeds: root.addresses('seeds'),
    logLevel: root.oneOf('logLevel', Object.values(LogLevel), LogLevel.info),
    limits: readLimits(root, collector),
  }
  root.reportUnknownFields()
  // Two secrets are needed while a secret is rotated; more would only accept more than necessary.
  if (root.has('peerSecrets') && (settings.peerSecrets.length < 1 || settings.peerSecrets.length > 2)) {
    root.issue('out_of_range', 'peerSecrets', 'must hold one secret, or two during a rotation')
  }
  return settings
}

export const ProcessSettings = {
  /** Returns the settings with defaults filled in, or all issues of the file. */
  safeParse: (text: string, { file }: ParseOptions = {}): Result<ProcessSettings, readonly Issue[]> =>
    safeParseToml(text, file).andThen((document) => {
      const collector = new IssueCollector(document, file)
      const settings = readSettings(new TableReader(collector, document.root, []), collector)
      return collector.issues.length === 0 ? Result.ok(settings) : Result.err(collector.issues)
    }),

  /** Like `safeParse`, but throws a ConfigError with all issues of the file. */
  parse: (text: string, options: ParseOptions = {}): ProcessSettings => {
    const result = ProcessSettings.safeParse(text, options)
    if (result.isErr) throw new ConfigError('settings.parse', result.error)
    return result.value
  },
}

/**
 * Checks the settings of a host against the declarative file, which must declare the failure domain of the
 * host, and in the same region. The issues concern the settings; `file` is the name of the settings file.
 */
export const checkHostInDeployment = (
  { domain, region }: ProcessSettings,
  { domains }: Deployment,
  file?: string,
): readonly Issue[] => {
  const declared = domains.find(({ name }) => name === domain)
  const place = file === undefined ? {} : { file }
  if (declared === undefined) {
    return [
      { code: 'undeclared_domain', path: ['domain'], message: `no domain is named "${domain}"`, ...place },
    ]
  }
  if (declared.region === region) return []
  const message = `domain "${domain}" is declared in region "${declared.region}", not "${region}"`
  return [{ code: 'wrong_region', path: ['region'], message, ...place }]
}
