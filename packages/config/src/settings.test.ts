import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { DeploymentFile } from './deployment-file.js'
import { ProcessSettings, checkHostInDeployment } from './settings.js'

const examples = join(import.meta.dirname, '../../../examples')
const example = readFileSync(join(examples, 'host.toml'), 'utf8')
const digest = (text: string): string => createHash('sha256').update(text).digest('hex')

const swap = (from: string, to: string): string => {
  assert.ok(example.includes(from), from)
  return example.replace(from, to)
}

const malformed: readonly [string, string, readonly string[]][] = [
  [
    'a host name for an address',
    swap('127.0.0.1:20100', 'localhost:20100'),
    ['invalid_address listen.callers'],
  ],
  ['one address for two listeners', swap(':20101', ':20100'), ['duplicate_address listen.peers']],
  ['a missing listener', swap('peers = "127.0.0.1:20101"', ''), ['missing_field listen.peers']],
  ['no listeners', swap('[listen]', '[listeners]'), ['missing_field listen', 'unknown_field listeners']],
  ['no platform', swap('[platform]', '[platfrom]'), ['missing_field platform', 'unknown_field platfrom']],
  ['a seed without port', swap('127.0.0.1:20111', '127.0.0.1'), ['invalid_address seeds.0']],
  ['a short secret', swap('example-peer-secret-0001', 'short'), ['weak_secret peerSecrets.0']],
  ['no secret', swap('["example-peer-secret-0001"]', '[]'), ['out_of_range peerSecrets']],
  ['a missing unit', swap('shutdownTimeoutMs', 'shutdownTimeout'), ['wrong_unit limits.shutdownTimeout']],
  ['an unknown log level', swap('"info"', '"loud"'), ['invalid_value logLevel']],
  [
    'an operator without credential',
    swap('credential = "example-credential-siti"', ''),
    ['missing_credential operators.0'],
  ],
  ['an operator declared twice', swap('"joana"', '"siti"'), ['duplicate_name operators.1.name']],
  [
    'a shared credential',
    swap(digest('example-credential-joana'), digest('example-credential-siti')),
    ['duplicate_credential operators.1'],
  ],
  [
    'a digest that is not SHA-256 in hex',
    swap(digest('example-credential-joana'), 'abc'),
    ['invalid_value operators.1.credentialSha256'],
  ],
]

await describe('process settings', async () => {
  await it('are read from the example, with credentials kept only as digests', () => {
    const settings = ProcessSettings.parse(example)
    assert.deepEqual(settings.operators, [
      { name: 'siti', credentialSha256: digest('example-credential-siti') },
      { name: 'joana', credentialSha256: digest('example-credential-joana') },
    ])
    assert.equal(settings.limits.platformTimeoutMs, 2000)
    assert.equal(settings.listen.operators, '127.0.0.1:20102')
  })

  for (const [what, text, expected] of malformed) {
    await it(`are refused with the code and path of each issue: ${what}`, () => {
      const result = ProcessSettings.safeParse(text, { file: 'host.toml' })
      assert.ok(result.isErr, 'expected issues')
      const found = result.error.map(({ code, path }) => `${code} ${path.join('.')}`)
      assert.deepEqual(found.sort(), [...expected].sort())
    })
  }

  await it('do not show secrets in issues, which end up in logs', () => {
    const broken = [
      swap('peerSecrets = ["example-peer-secret-0001"]', 'peerSecrets = ["a secret with spaces"]'),
      swap('peerSecrets = ["example-peer-secret-0001"]', 'peerSecrets = ["a secret without end'),
      swap('credential = "example-credential-siti"', 'credential = "a secret with spaces"'),
    ]
    for (const text of broken) {
      const result = ProcessSettings.safeParse(text)
      assert.ok(result.isErr)
      assert.doesNotMatch(JSON.stringify(result.error), /a secret/)
    }
  })

  await it('are checked against the declarative file: an undeclared domain, another region', () => {
    const settings = ProcessSettings.parse(example)
    const codes = (name: string): string[] => {
      const deployment = DeploymentFile.parse(readFileSync(join(examples, `${name}.toml`), 'utf8'))
      return checkHostInDeployment(settings, deployment).map(({ code }) => code)
    }
    assert.deepEqual([codes('atap-batu'), codes('barlavento')], [[], ['undeclared_domain']])
    const atapBatu = DeploymentFile.parse(readFileSync(join(examples, 'atap-batu.toml'), 'utf8'))
    const moved = checkHostInDeployment({ ...settings, region: 'ne' }, atapBatu)
    assert.deepEqual(
      moved.map(({ code }) => code),
      ['wrong_region'],
    )
  })
})
