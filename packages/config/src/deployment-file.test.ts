import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ConfigError } from './config-error.js'
import { DeploymentFile } from './deployment-file.js'

const examples = join(import.meta.dirname, '../../../examples')

const base = `name = "test"
[[domains]]
name = "jb"
region = "my"
[[services]]
name = "notes"
pathPrefix = "/notes/"
slots = 6
connections = 120
[services.keyed]
shardCount = 64
header = "x-key"
[[targets]]
name = "notes-1"
service = "notes"
domain = "jb"
address = "127.0.0.1:9001"
`

const service = (name: string, pathPrefix: string): string =>
  `[[services]]\nname = "${name}"\npathPrefix = "${pathPrefix}"\nslots = 6\nconnections = 120\n` +
  `[[targets]]\nname = "${name}-1"\nservice = "${name}"\ndomain = "jb"\naddress = "127.0.0.1:9100"\n`

const add = (text: string) => (file: string) => `${file}${text}`
const swap = (from: string, to: string) => (file: string) => {
  assert.ok(file.includes(from), from)
  return file.replace(from, to)
}
/** Adds a field to the service. */
const field = (text: string) => swap('slots = 6', `slots = 6\n${text}`)

/** What is wrong, the change of the valid file that makes it so, and `code line path` of each issue. */
const malformed: readonly [string, (file: string) => string, readonly string[]][] = [
  ['not TOML', swap('slots = 6', 'slots = = 6'), ['toml_syntax 8 ']],
  ['an unsafe key', add('[__proto__]\na = 1'), ['toml_syntax 18 ']],
  ['an unknown field', field('colour = "red"'), ['unknown_field 9 services.0.colour']],
  ['an unknown top-level table', add('[extra]\na = 1'), ['unknown_field 18 extra']],
  ['a missing unit', field('timeout = 5000'), ['wrong_unit 9 services.0.timeout']],
  ['another unit', field('requestTimeoutSeconds = 5'), ['wrong_unit 9 services.0.requestTimeoutSeconds']],
  ['a size without unit', field('maxRequestBody = 5'), ['wrong_unit 9 services.0.maxRequestBody']],
  ['a string with a unit', field('requestTimeoutMs = "5s"'), ['wrong_unit 9 services.0.requestTimeoutMs']],
  ['a string for a number', swap('slots = 6', 'slots = "many"'), ['wrong_type 8 services.0.slots']],
  ['a fraction for a count', swap('slots = 6', 'slots = 6.5'), ['wrong_type 8 services.0.slots']],
  ['a number for a string', swap('region = "my"', 'region = 5'), ['wrong_type 4 domains.0.region']],
  ['a date for a string', swap('region = "my"', 'region = 2026-01-01'), ['wrong_type 4 domains.0.region']],
  ['a table for a list', field('routes = { method = "GET" }'), ['wrong_type 9 services.0.routes']],
  [
    'infinity',
    field('retryBudget = inf'),
    ['out_of_range 9 services.0.retryBudget', 'budget_sum 5 services.0'],
  ],
  ['not a number', field('hedgeBudget = nan'), ['out_of_range 9 services.0.hedgeBudget']],
  [
    'a percentage for a fraction',
    field('retryBudget = 2\nhedgeBudget = 0'),
    ['out_of_range 9 services.0.retryBudget', 'budget_sum 5 services.0'],
  ],
  ['budgets above 5% together', field('retryBudget = 0.03\nhedgeBudget = 0.03'), ['budget_sum 5 services.0']],
  [
    'a single slot, with which each host would be limited to 0 permits',
    swap('slots = 6', 'slots = 1'),
    ['out_of_range 8 services.0.slots'],
  ],
  [
    'so few connections that a host could have none',
    swap('connections = 120', 'connections = 9'),
    ['out_of_range 9 services.0.connections'],
  ],
  [
    'more slots than connections',
    swap('slots = 6', 'slots = 121'),
    ['slots_above_connections 8 services.0.slots'],
  ],
  ['a missing field', swap('slots = 6\n', ''), ['missing_field 5 services.0.slots']],
  ['a shard count of 48', swap('64', '48'), ['shard_count_not_power_of_two 11 services.0.keyed.shardCount']],
  ['a shard count above 65536', swap('64', '131072'), ['out_of_range 11 services.0.keyed.shardCount']],
  ['no key source', swap('header = "x-key"', ''), ['key_source_missing 10 services.0.keyed']],
  [
    'two key sources',
    swap('header = "x-key"', 'header = "x-key"\npathSegment = 0'),
    ['key_source_ambiguous 10 services.0.keyed'],
  ],
  [
    'a header that the router removes',
    swap('x-key', 'pimentotally-key'),
    ['invalid_value 12 services.0.keyed.header'],
  ],
  [
    'an upper-case name',
    swap('name = "jb"', 'name = "JB"'),
    ['invalid_name 3 domains.0.name', 'undeclared_domain 16 targets.0.domain'],
  ],
  [
    'a domain name with a slash, which separates the parts of cell ids',
    swap('name = "jb"', 'name = "jb/1"'),
    ['invalid_name 3 domains.0.name', 'undeclared_domain 16 targets.0.domain'],
  ],
  [
    'a name that is a property of every JavaScript object',
    swap('"notes-1"', '"constructor"'),
    ['invalid_name 14 targets.0.name'],
  ],
  [
    'a duplicate domain',
    add('[[domains]]\nname = "jb"\nregion = "my"'),
    ['duplicate_name 19 domains.1.name'],
  ],
  [
    'a duplicate service',
    add(service('notes', '/other/')),
    ['duplicate_name 19 services.1.name', 'duplicate_name 24 targets.1.name'],
  ],
  [
    'a duplicate target and address',
    add('[[targets]]\nname = "notes-1"\nservice = "notes"\ndomain = "jb"\naddress = "127.0.0.1:9001"'),
    ['duplicate_name 19 targets.1.name', 'duplicate_address 22 targets.1.address'],
  ],
  [
    'a duplicate path prefix',
    add(service('more', '/notes/')),
    ['duplicate_path_prefix 20 services.1.pathPrefix'],
  ],
  [
    'a path prefix below another',
    add(service('more', '/notes/old/')),
    ['overlapping_path_prefix 20 services.1.pathPrefix'],
  ],
  [
    'a path prefix above another',
    add(service('more', '/')),
    ['overlapping_path_prefix 20 services.1.pathPrefix'],
  ],
  ['a relative path prefix', swap('"/notes/"', '"notes/"'), ['invalid_path_prefix 7 services.0.pathPrefix']],
  [
    'a path prefix with dots',
    swap('"/notes/"', '"/a/../b/"'),
    ['invalid_path_prefix 7 services.0.pathPrefix'],
  ],
  [
    'a target of an undeclared service',
    swap('service = "notes"', 'service = "other"'),
    ['service_without_targets 5 services.0', 'undeclared_service 15 targets.0.service'],
  ],
  [
    'a target in an undeclared domain',
    swap('domain = "jb"', 'domain = "kl"'),
    ['undeclared_domain 16 targets.0.domain'],
  ],
  ['a host name for an address', swap('127.0.0.1', 'localhost'), ['invalid_address 17 targets.0.address']],
  ['an address without port', swap('127.0.0.1:9001', '127.0.0.1'), ['invalid_address 17 targets.0.address']],
  [
    'an address that is not a valid IP address',
    swap('127.0.0.1', '127.0.0.256'),
    ['invalid_address 17 targets.0.address'],
  ],
  ['port 0', swap(':9001', ':0'), ['invalid_address 17 targets.0.address']],
  ['port 65536', swap(':9001', ':65536'), ['invalid_address 17 targets.0.address']],
  ['the wildcard address', swap('127.0.0.1', '0.0.0.0'), ['invalid_address 17 targets.0.address']],
  ['an unknown rule', field('idempotencyKey = "never"'), ['invalid_value 9 services.0.idempotencyKey']],
  [
    'a method in lower case',
    field('idempotentMethods = ["get", 5]'),
    ['invalid_value 9 services.0.idempotentMethods.0', 'wrong_type 9 services.0.idempotentMethods.1'],
  ],
  [
    'a route outside its service',
    field('routes = [{ method = "POST", pathPrefix = "/x", idempotent = true }]'),
    ['route_outside_service 9 services.0.routes.0.pathPrefix'],
  ],
  // The inserted tables end the service, so its `connections` becomes a field of the second route.
  [
    'a duplicate route',
    field('[[services.routes]]\nmethod = "POST"\npathPrefix = "/notes/a"\nidempotent = true\n'.repeat(2)),
    [
      'duplicate_route 13 services.0.routes.1',
      'unknown_field 18 services.0.routes.1.connections',
      'missing_field 5 services.0.connections',
    ],
  ],
  [
    'no services and no domains',
    () => 'name = "test"',
    ['no_services undefined services', 'no_domains undefined domains'],
  ],
]

const found = (text: string): string[] => {
  const result = DeploymentFile.safeParse(text, { file: 'test.toml' })
  assert.ok(result.isErr, 'expected issues')
  assert.ok(result.error.every(({ file }) => file === 'test.toml'))
  return result.error.map(({ code, line, path }) => `${code} ${String(line)} ${path.join('.')}`)
}

await describe('a malformed declarative file', async () => {
  for (const [what, change, expected] of malformed) {
    await it(`is refused with its code, line and path: ${what}`, () => {
      assert.deepEqual(found(change(base)).sort(), [...expected].sort())
    })
  }

  await it('never makes the parser throw, whatever text is put into it', () => {
    const snippet = fc.oneof(
      fc.string(),
      fc.constantFrom('[[', ']', '"', '\n', '= ', '{', '.', '[services.keyed]\n', 'inf', '1979-05-27'),
    )
    fc.assert(
      fc.property(fc.nat(base.length), fc.nat(10), fc.array(snippet, { maxLength: 5 }), (at, cut, texts) => {
        const result = DeploymentFile.safeParse(base.slice(0, at) + texts.join('') + base.slice(at + cut))
        assert.ok(result.isOk || result.error.length > 0)
      }),
      { seed: 20261204, numRuns: 500 },
    )
  })

  await it('gives a report of bounded size, even with very many issues and long values', () => {
    const fields = Array.from({ length: 5000 }, (_, index) => `field${String(index)} = 1`).join('\n')
    const result = DeploymentFile.safeParse(`${fields}\nname = "${'x'.repeat(100_000)}"`)
    assert.ok(result.isErr)
    // 1000 issues, and one that says that further ones are not listed.
    assert.equal(result.error.length, 1001)
    assert.equal(result.error.at(-1)?.code, 'too_many_issues')
    assert.ok(JSON.stringify(result.error).length < 500_000)
  })

  await it('has all its issues reported together, also by the throwing parser', () => {
    const text = add('[extra]\na = 1')(swap('127.0.0.1', 'localhost')(field('timeout = 1')(base)))
    assert.deepEqual(found(text), [
      'wrong_unit 9 services.0.timeout',
      'invalid_address 18 targets.0.address',
      'unknown_field 19 extra',
    ])
    assert.throws(
      () => DeploymentFile.parse(text, { file: 'test.toml' }),
      (error) =>
        error instanceof ConfigError &&
        error.issues.length === 3 &&
        error.message.includes('test.toml:9: services.0.timeout: unknown field; use requestTimeoutMs'),
    )
  })
})

await describe('a valid declarative file', async () => {
  await it('gets the documented defaults', () => {
    const { services } = DeploymentFile.parse(base)
    assert.deepEqual(services[0], {
      name: 'notes',
      pathPrefix: '/notes/',
      keyed: { shardCount: 64, source: { kind: 'header', name: 'x-key' } },
      verifiesGrants: false,
      slots: 6,
      connections: 120,
      idempotentMethods: ['GET', 'HEAD', 'OPTIONS'],
      routes: [],
      idempotencyKey: 'required',
      requestTimeoutMs: 10_000,
      stallTimeoutMs: 5000,
      callerStallTimeoutMs: 10_000,
      maxRequestBodyBytes: 8_388_608,
      retryBudget: 0.02,
      hedgeBudget: 0.03,
      crashLimit: 2,
    })
  })

  for (const [name, domains, counts] of [
    ['atap-batu', 3, { 'survey-notes': 20, deposits: 10, 'report-files': 5, prices: 5 }],
    ['barlavento', 4, { inventory: 15, bookings: 10, manifests: 10, inspections: 10 }],
  ] as const) {
    await it(`is examples/${name}.toml, with as many domains and targets as designed`, () => {
      const deployment = DeploymentFile.parse(readFileSync(join(examples, `${name}.toml`), 'utf8'))
      assert.equal(deployment.domains.length, domains)
      const count = (service: string): number =>
        deployment.targets.filter((target) => target.service === service).length
      const found = Object.fromEntries(
        deployment.services.map((service) => [service.name, count(service.name)]),
      )
      assert.deepEqual(found, counts)
    })
  }
})
