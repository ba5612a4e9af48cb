import assert from 'node:assert/strict'
import { test } from 'node:test'
import { TableService, type Committed, type PlatformResult, type Row } from '@pimentotally/storage'
import type { Transaction } from '@pimentotally/storage'
import type { CellRecord } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { Result } from 'true-myth'
import { Assignment } from './assignment.js'
import { CellStore } from './cell-store.js'

const lost = { code: 'unknown', step: 'table.transact', message: 'no response' } as const

/**
 * A table that can lose the response to its next transaction: after it took effect, after it was dropped, or
 * after another write of the same values came first (`overtake`). With `hang` the transaction never settles.
 */
class LosingTable extends TableService {
  readonly rows = new Map<string, Row>()
  next: 'answer' | 'take effect' | 'drop' | 'overtake' | 'hang' = 'answer'

  override read(key: string): Promise<PlatformResult<Row | undefined>> {
    return Promise.resolve(Result.ok(this.rows.get(key)))
  }
  override scan(): Promise<PlatformResult<readonly Row[]>> {
    throw new Error('not used')
  }
  override transact({ writeId, conditions, puts }: Transaction): Promise<PlatformResult<Committed>> {
    const { next } = this
    this.next = 'answer'
    if (next === 'hang') return new Promise(() => undefined)
    if (next === 'drop') return Promise.resolve(Result.err(lost))
    const versions: Record<string, number> = {}
    for (const { key, value } of puts) {
      const version = (this.rows.get(key)?.version ?? 0) + 1
      const wanted = conditions.find((condition) => condition.key === key)?.version
      if (wanted !== version - 1) {
        const error = { ...lost, code: 'conflict', key, actualVersion: version - 1 } as const
        return Promise.resolve(Result.err(error))
      }
      versions[key] = version
      this.rows.set(key, { key, value, version, writeId: next === 'overtake' ? 'other' : writeId })
    }
    return Promise.resolve(next === 'answer' ? Result.ok({ versions }) : Result.err(lost))
  }
}

const record: CellRecord = { epoch: 1, voters: { kind: 'target', ids: ['t'] }, homes: {}, leaving: [] }

for (const [next, expected] of [
  ['answer', 'ok'],
  ['take effect', 'ok'],
  ['drop', 'unknown'],
  ['overtake', 'conflict'],
] as const) {
  test(`the outcome of a record write is not misjudged: transaction "${next}" ends as ${expected}`, async () => {
    const table = new LosingTable()
    const store = new CellStore({ table, clock: new VirtualTime().clock() })
    table.next = next
    const result = await store.writeRecords([{ cellId: 'a', record, version: 0 }])
    assert.equal(result.isOk ? 'ok' : result.error.code, expected)
    if (result.isOk) assert.deepEqual(result.value, { 'cell/a': 1 })
    const again = await store.writeRecords([{ cellId: 'a', record, version: 0 }])
    assert.equal(again.isOk, next === 'drop')
  })
}

test('a platform call that never gets a response ends as unknown at the time limit', async () => {
  const time = new VirtualTime()
  const table = new LosingTable()
  table.next = 'hang'
  const store = new CellStore({ table, clock: time.clock(), timeoutMs: 250 })
  const writing = store.writeRecords([{ cellId: 'a', record, version: 0 }])
  await time.advance(250)
  const result = await writing
  assert.equal(result.isErr && result.error.code, 'unknown')
})

test('an assignment is unchanged after stringify and parse; merge refuses a lower fence and drops an override below its shard fence', () => {
  const term = '00000001.00000001.00000001'
  const shard = { service: 'notes', shard: 3, target: 't0', fence: `${term}.00000001` }
  // An override: a key that is assigned separately from its shard.
  const key = { ...shard, keyHash: '00000000000000aa', target: 't1', fence: `${term}.00000002` }
  // The service has 16 shards.
  const stored = Assignment.parse(new Assignment([shard, key]).stringify(term, () => 16))
  assert.equal(stored.term, term)
  assert.deepEqual([...stored.assignment.values()], [shard, key])
  assert.equal(stored.assignment.merge([{ ...shard, target: 't2', fence: `${term}.00000000` }]), false)
  stored.assignment.merge([{ ...shard, fence: `${term}.00000003` }])
  assert.deepEqual(stored.assignment.overridesOfShard('notes', 3), [])
  assert.equal(Assignment.safeParse('{"term":""}'), undefined)
})
