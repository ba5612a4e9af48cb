import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { VirtualTime } from '@pimentotally/core/testing'
import type { PlatformError } from '@pimentotally/storage'
import { Result } from 'true-myth'
import type { AcceptedVersion, OperatorBackend } from './backend.js'
import type { OperatorError } from './operator-error.js'
import {
  TransactionOutcome,
  apply,
  exampleFile,
  fakeBackend,
  setNextCommitOutcome,
  setUpOperators as setUp,
} from './testing.js'

type ChangeResult = Result<AcceptedVersion, OperatorError>

const errorOf = (result: ChangeResult): OperatorError => {
  assert.ok(result.isErr, 'expected an error')
  return result.error
}

const versionOf = (result: ChangeResult): number => {
  if (result.isErr) assert.fail(result.error.message)
  return result.value.version
}

await describe('an accepted change', async () => {
  await it('stores the document, the current version, a history row and an audit row, and takes effect at the local host', async () => {
    const { run, backend, table, objects, accepted } = setUp()
    const conditions: unknown[] = []
    table.onTransact = (transaction) => {
      conditions.push(...transaction.conditions)
      return TransactionOutcome.answered
    }
    const result = await run(apply(backend, 'siti'))
    assert.equal(versionOf(result), 1)
    assert.deepEqual([...table.rows.keys()].map((key) => key.split('/')[0]).sort(), [
      'audit',
      'config',
      'config-history',
    ])
    assert.ok([...table.rows.keys()].some((key) => /^audit\/\d{15}\/[A-Za-z0-9-]+$/.test(key)))
    assert.deepEqual(table.values('config/'), table.values('config-history/0000000001'))
    assert.deepEqual([...objects.objects.keys()], [`config/${String(accepted[0]?.hash)}`])
    // Without this condition two operators could both replace the same version.
    assert.deepEqual(conditions[0], { key: 'config/current', version: 0 })
    const [entry] = table.values('audit/')
    assert.deepEqual(
      [
        entry?.['who'],
        entry?.['action'],
        entry?.['versionBefore'],
        entry?.['versionAfter'],
        entry?.['outcome'],
      ],
      ['siti', 'apply', 0, 1, 'accepted'],
    )
    const loaded = await run(backend.store.load())
    assert.deepEqual(loaded.isOk && loaded.value.configuration, accepted[0])
  })

  await it('does not reset the states that operators set when it applies a file, even one that omits the domain', async () => {
    const { run, backend, accepted } = setUp()
    await run(apply(backend, 'siti'))
    await run(backend.setDomain('kl', 'out', { author: 'siti' }))
    await run(backend.setTarget('notes-0', true, { author: 'siti' }))
    await run(apply(backend, 'joana', exampleFile({ domains: ['jb'] })))
    await run(apply(backend, 'joana', exampleFile({ slots: 5 })))
    assert.deepEqual(accepted.at(-1)?.operations, { domains: { kl: 'out' }, drainingTargets: ['notes-0'] })
    await run(backend.setDomain('kl', 'in', { author: 'siti' }))
    assert.equal(versionOf(await run(backend.setTarget('notes-0', false, { author: 'siti' }))), 7)
    assert.deepEqual(accepted.at(-1)?.operations, { domains: {}, drainingTargets: [] })
  })
})

await describe('a refused change', async () => {
  const cases: readonly [string, string, (backend: OperatorBackend) => Promise<ChangeResult>][] = [
    [
      'a malformed file',
      'invalid_document',
      (backend) => backend.apply({ fileName: 'f', document: 'name = 5' }, { author: 'siti' }),
    ],
    [
      'a changed shard count',
      'change_refused',
      (backend) =>
        backend.apply({ fileName: 'f', document: exampleFile({ shardCount: 128 }) }, { author: 'siti' }),
    ],
    [
      'an old base version',
      'conflict',
      (backend) =>
        backend.apply({ fileName: 'f', document: exampleFile(), baseVersion: 0 }, { author: 'siti' }),
    ],
    ['an unknown domain', 'unknown_domain', (backend) => backend.setDomain('pg', 'out', { author: 'siti' })],
    ['an unknown target', 'unknown_target', (backend) => backend.setTarget('x', true, { author: 'siti' })],
    [
      'a lost domain of the responding host',
      'domain_alive',
      (backend) => backend.setDomain('jb', 'lost', { author: 'siti' }),
    ],
    [
      'a lost domain with a recently confirmed host',
      'domain_alive',
      (backend) => backend.setDomain('kl', 'lost', { author: 'siti' }),
    ],
  ]
  for (const [what, code, call] of cases) {
    await it(`has no effect and is in the audit trail: ${what}`, async () => {
      const { run, backend, host, table, accepted } = setUp()
      const member = {
        hostId: 'kl-1',
        name: 'kl-1',
        domain: 'kl',
        peerAddress: '',
        leaving: false,
        ageMs: 100,
      }
      host.members = [member]
      await run(apply(backend, 'joana'))
      const before = table.values('config')
      const error = errorOf(await run(call(backend)))
      assert.equal(error.code, code)
      assert.notEqual(error.remedy, '')
      assert.deepEqual(table.values('config'), before)
      assert.equal(accepted.length, 1)
      const last = table.values('audit/').at(-1)
      assert.equal(last?.['who'], 'siti')
      assert.equal(last['outcome'], code === 'conflict' ? 'conflict' : 'refused')
      assert.match(String(last['details']), new RegExp(`^${code}: `))
    })
  }

  await it('cannot declare a removed service with another shard count, as its homes still exist', async () => {
    const { run, table, objects } = setUp()
    const clock = new VirtualTime().clock()
    const homes = { shardCount: () => Promise.resolve(Result.ok<number | undefined, PlatformError>(64)) }
    const { backend } = fakeBackend({ table, objects, clock, homes })
    const error = errorOf(await run(apply(backend, 'siti', exampleFile({ shardCount: 128 }))))
    assert.equal(error.code, 'change_refused')
    assert.deepEqual(table.values('config'), [])
    assert.equal(versionOf(await run(apply(backend, 'siti', exampleFile({ shardCount: 64 })))), 1)
  })

  await it('changes no row and no configuration while the platform is unavailable', async () => {
    for (const part of ['table', 'objects'] as const) {
      const { run, backend, accepted, ...platform } = setUp()
      await run(apply(backend, 'siti'))
      const before = platform.table.values('')
      platform[part].down = true
      assert.equal(
        errorOf(await run(apply(backend, 'siti', exampleFile({ slots: 5 })))).code,
        'platform_unavailable',
      )
      assert.deepEqual(platform.table.values(''), before)
      assert.equal(accepted.length, 1)
    }
  })

  await it('refuses a change when the stored document does not have the recorded hash', async () => {
    const { run, backend, objects } = setUp()
    await run(apply(backend, 'siti'))
    for (const name of objects.objects.keys()) objects.objects.set(name, new TextEncoder().encode('{}'))
    assert.equal(errorOf(await run(apply(backend, 'siti'))).code, 'stored_configuration_invalid')
  })
})

await describe('two operators who change the same version', async () => {
  await it('do not overwrite each other: one succeeds, the other gets a conflict with the newer version and its author', async () => {
    const { run, backend, anotherHost, table } = setUp()
    const other = anotherHost()
    await run(apply(backend, 'siti'))
    let rivalResult: ChangeResult | undefined
    setNextCommitOutcome(table, async () => {
      rivalResult = await apply(other.backend, 'joana', exampleFile({ slots: 6 }))
      return TransactionOutcome.answered
    })
    const error = errorOf(await run(apply(backend, 'siti', exampleFile({ slots: 5 }))))
    assert.equal(rivalResult?.isOk && rivalResult.value.version, 2)
    assert.deepEqual([error.code, error.currentVersion], ['conflict', 2])
    assert.match(error.message, /version 2 was made by joana/)
    assert.equal(table.values('config-history/').length, 2)
    // Rows of the same millisecond are ordered by write id.
    assert.deepEqual(
      table
        .values('audit/')
        .map(({ outcome }) => outcome)
        .sort(),
      ['accepted', 'accepted', 'conflict'],
    )
  })
})
