import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Random } from '@pimentotally/core'
import { configRowKeys } from './store.js'
import { TransactionOutcome, apply, exampleFile, setNextCommitOutcome, setUpOperators } from './testing.js'

const writeId = '11111111-aaaa'

await describe('a change whose response from the platform was lost', async () => {
  await it('is accepted once when its write id is found in the history', async () => {
    const { run, backend, table, accepted } = setUpOperators()
    setNextCommitOutcome(table, () => TransactionOutcome.answerLost)
    const result = await run(apply(backend, 'siti', exampleFile(), writeId))
    assert.equal(result.isOk && result.value.version, 1)
    assert.equal(accepted.length, 1)
    assert.equal(table.values('config-history/').length, 1)
    assert.equal(table.values('audit/').length, 1)
  })

  await it('is committed exactly once when the request was lost instead', async () => {
    const { run, backend, table } = setUpOperators()
    setNextCommitOutcome(table, () => TransactionOutcome.requestLost)
    const result = await run(apply(backend, 'siti', exampleFile(), writeId))
    assert.equal(result.isOk && result.value.version, 1)
    assert.equal(table.values('config-history/').length, 1)
  })

  await it('is a conflict when the request was lost and another operator committed first', async () => {
    const { run, backend, anotherHost, table } = setUpOperators()
    setNextCommitOutcome(table, async () => {
      await apply(anotherHost().backend, 'joana')
      return TransactionOutcome.requestLost
    })
    const result = await run(apply(backend, 'siti', exampleFile(), writeId))
    assert.equal(result.isErr && result.error.code, 'conflict')
    assert.match(result.isErr ? result.error.message : '', /version 1 was made by joana/)
  })

  await it('is accepted also when a newer version is committed before the lookup', async () => {
    const { run, backend, anotherHost, table } = setUpOperators()
    setNextCommitOutcome(table, () => {
      table.onRead = () => {
        // Another operator commits between the lost response and the lookup.
        table.onRead = () => true
        void apply(anotherHost().backend, 'joana', exampleFile({ slots: 6 }))
        return false
      }
      return TransactionOutcome.answerLost
    })
    const result = await run(apply(backend, 'siti', exampleFile(), writeId))
    assert.equal(result.isOk && result.value.version, 1)
    assert.equal(table.values('config-history/').length, 2)
  })

  await it('has an unknown outcome while the platform is unavailable, and is found in the history later', async () => {
    const { run, backend, anotherHost, table, accepted } = setUpOperators()
    setNextCommitOutcome(table, () => {
      table.down = true
      return TransactionOutcome.answerLost
    })
    const result = await run(apply(backend, 'siti', exampleFile(), writeId))
    assert.ok(result.isErr)
    assert.deepEqual([result.error.code, result.error.writeId], ['outcome_unknown', writeId])
    assert.match(result.error.remedy, new RegExp(`--write-id ${writeId}`))
    assert.equal(accepted.length, 0)
    table.down = false
    const found = await run(anotherHost().backend.history(0, writeId))
    assert.deepEqual(found.isOk && found.value.versions.map(({ version, author }) => [version, author]), [
      [1, 'siti'],
    ])
    const absent = await run(backend.history(0, 'never-sent'))
    assert.deepEqual(absent.isOk && absent.value, { versions: [], currentVersion: 1 })
  })
})

await describe('the lookup of a write id', async () => {
  await it('does not end at a page shorter than the limit, and finds versions on later pages', async () => {
    const { run, backend, table } = setUpOperators()
    for (let version = 1; version <= 1300; version += 1) {
      const key = configRowKeys.history(version)
      const value = JSON.stringify({ version, hash: '', writeId: `write-${String(version)}` })
      table.rows.set(key, { key, value, version: 1, writeId: '' })
    }
    const scan = table.scan.bind(table)
    table.scan = (prefix, options) => scan(prefix, { ...options, limit: 300 })
    for (const version of [1, 2, 1001, 1300]) {
      const found = await run(backend.history(0, `write-${String(version)}`))
      assert.deepEqual(found.isOk && found.value.versions.map((record) => record.version), [version])
    }
    const absent = await run(backend.history(0, 'write-1301'))
    assert.deepEqual(absent.isOk && absent.value.versions, [])
  })
})

await describe('a change that is sent again with its write id', async () => {
  await it('does not take effect again after a newer version', async () => {
    const { run, backend, anotherHost, table } = setUpOperators()
    await run(apply(backend, 'siti', exampleFile({ slots: 5 }), writeId))
    await run(apply(backend, 'joana', exampleFile({ slots: 6 })))
    const again = await run(apply(anotherHost().backend, 'siti', exampleFile({ slots: 5 }), writeId))
    assert.equal(again.isOk && again.value.version, 1)
    assert.equal(table.values('config-history/').length, 2)
  })

  await it('is refused when another operator sends it', async () => {
    const { run, backend } = setUpOperators()
    await run(apply(backend, 'siti', exampleFile(), writeId))
    const other = await run(apply(backend, 'joana', exampleFile({ slots: 5 }), writeId))
    assert.equal(other.isErr && other.error.code, 'invalid_argument')
  })
})

await describe('concurrent operators on a platform that loses requests and responses', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    await it(`get no wrong result, and each version is committed exactly once (seed ${String(seed)})`, async () => {
      const { run, table, anotherHost } = setUpOperators()
      const random = new Random(seed)
      table.onTransact = () => random.pick(Object.values(TransactionOutcome)) ?? TransactionOutcome.answered
      table.onRead = () => random.float() > 0.2
      const hosts = [anotherHost(), anotherHost(), anotherHost()]
      const results = new Map<string, string>()
      const sendChanges = async (operator: number): Promise<void> => {
        for (let round = 0; round < 15; round += 1) {
          const id = `write-${String(operator)}-${String(round)}`
          const { backend } = hosts[random.integer(hosts.length)] ?? hosts[0] ?? assert.fail()
          const result = await apply(
            backend,
            `operator-${String(operator)}`,
            exampleFile({ slots: 2 + random.integer(9) }),
            id,
          )
          results.set(id, result.isOk ? `version ${String(result.value.version)}` : result.error.code)
        }
      }
      await run(Promise.all([0, 1, 2, 3].map(sendChanges)))

      const history = table.values('config-history/')
      assert.deepEqual(
        history.map(({ version }) => version),
        history.map((_, index) => index + 1),
      )
      assert.deepEqual(table.values(configRowKeys.current), history.slice(-1))
      const versionByWriteId = new Map(
        history.map(({ writeId: id, version }) => [id, `version ${String(version)}`]),
      )
      assert.equal(versionByWriteId.size, history.length)
      for (const [id, result] of results) {
        if (result !== 'outcome_unknown')
          assert.equal(versionByWriteId.get(id) ?? 'none', result.startsWith('version') ? result : 'none', id)
      }
      const auditKeys = [...table.rows.keys()].filter((key) => key.startsWith('audit/'))
      for (const id of versionByWriteId.keys())
        assert.ok(
          auditKeys.some((key) => key.endsWith(`/${String(id)}`)),
          String(id),
        )
      assert.ok([...results.values()].some((result) => result === 'conflict'))
      assert.ok(history.length > 3)
    })
  }
})
