import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { VirtualTime, type VirtualClock } from '@pimentotally/core/testing'
import { FaultEffect, RandomFaults, ScriptedFaults, type PlatformCall } from './fault.js'
import { HostSequence } from './host-sequence.js'
import { MemoryTable } from './memory-table.js'
import type { Transaction } from './table.js'
import { sweepCommitMarkers, transactResolved, type ResolveOptions } from './transact-resolved.js'

const isWrite = ({ kind }: PlatformCall): boolean => kind === 'write'
const isRead = ({ kind }: PlatformCall): boolean => kind === 'read'

class Setup {
  readonly time = new VirtualTime()
  readonly clock: VirtualClock = this.time.clock()
  readonly faults = new ScriptedFaults()
  readonly table = new MemoryTable({ clock: this.clock, faults: this.faults })

  write(writeId: string, version: number): Transaction {
    return { writeId, conditions: [{ key: 'a', version }], puts: [{ key: 'a', value: `"${writeId}"` }] }
  }

  async resolve(transaction: Transaction, options: Partial<ResolveOptions> = {}) {
    const settled = transactResolved(this.table, transaction, { clock: this.clock, ...options })
    await this.time.advance(20_000)
    return settled
  }

  async value(): Promise<string | undefined> {
    return (await this.table.read('a')).unwrapOr(undefined)?.value
  }
}

const codeOf = (result: Awaited<ReturnType<typeof transactResolved>>): string =>
  result.isOk ? 'ok' : result.error.code

test('after a lost response the commit is recognised by its write id, and the row is written once', async () => {
  const setup = new Setup()
  setup.faults.push({ effect: FaultEffect.loseAnswer }, isWrite)
  const result = await setup.resolve(setup.write('one', 0))
  const row = (await setup.table.read('a')).unwrapOr(undefined)
  assert.deepEqual(result.isOk && result.value.versions, { a: row?.version })
  assert.equal(row?.version, 1)
})

test('a refused write is not sent again: it is reported as unavailable and nothing is written', async () => {
  const setup = new Setup()
  setup.faults.push({ effect: FaultEffect.refuse }, isWrite)
  assert.equal(codeOf(await setup.resolve(setup.write('one', 0))), 'unavailable')
  assert.equal(await setup.value(), undefined)
})

test('a write that arrives only after its rows were read back takes effect once', async () => {
  const setup = new Setup()
  setup.faults.push({ delayMs: 6000 }, isWrite)
  const result = await setup.resolve(setup.write('one', 0))
  assert.equal(codeOf(result), 'ok')
  const row = (await setup.table.read('a')).unwrapOr(undefined)
  assert.equal(row?.version, result.isOk ? result.value.versions['a'] : 0)
})

test('a write whose row is overwritten before it is read back is reported as committed only with a commit marker', async () => {
  for (const putCommitMarker of [false, true]) {
    const setup = new Setup()
    setup.faults.push({ effect: FaultEffect.loseAnswer }, isWrite)
    setup.faults.push({ effect: FaultEffect.refuse }, isRead)
    const settled = transactResolved(setup.table, setup.write('one', 0), {
      clock: setup.clock,
      putCommitMarker,
    })
    await setup.time.advance(10)
    const version = (await setup.table.scan('a')).unwrapOr([])[0]?.version ?? 0
    assert.ok((await setup.table.transact(setup.write('two', version))).isOk)
    await setup.time.advance(10_000)
    assert.equal(codeOf(await settled), putCommitMarker ? 'ok' : 'unknown')
    assert.equal(await setup.value(), '"two"')
  }
})

test('an overtaken write is a conflict with a commit marker and unknown without, but never ok', async () => {
  for (const putCommitMarker of [false, true]) {
    const setup = new Setup()
    setup.faults.push({ delayMs: 10_000 }, isWrite)
    const settled = transactResolved(setup.table, setup.write('one', 0), {
      clock: setup.clock,
      putCommitMarker,
    })
    await setup.time.advance(10)
    await setup.table.transact(setup.write('two', 0))
    await setup.time.advance(20_000)
    assert.equal(codeOf(await settled), putCommitMarker ? 'conflict' : 'unknown')
    assert.equal(await setup.value(), '"two"')
  }
})

test('a write without a condition on a row that it puts is never sent again', async () => {
  const setup = new Setup()
  setup.faults.push({ delayMs: 80_000 }, isWrite)
  assert.equal(codeOf(await setup.resolve({ ...setup.write('one', 0), conditions: [] })), 'unknown')
  assert.equal(await setup.value(), undefined)
})

test('while the platform stays down, unknown is reported within the timeout', async () => {
  const setup = new Setup()
  setup.faults.push({ effect: FaultEffect.loseAnswer }, isWrite)
  for (let call = 0; call < 1000; call += 1) setup.faults.push({ effect: FaultEffect.refuse }, isRead)
  assert.equal(codeOf(await setup.resolve(setup.write('one', 0), { timeoutMs: 3000 })), 'unknown')
})

test('under random faults each reported commit took effect exactly once, and each reported conflict never', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const time = new VirtualTime()
    const clock = time.clock()
    const policy = { minDelayMs: 0, maxDelayMs: 900, unavailable: 0.2, loseAnswer: 0.3 }
    const table = new MemoryTable({
      clock,
      faults: new RandomFaults(new Random(seed), policy),
      timeoutMs: 400,
    })
    const reported = new Map<string, string>()
    const writer = async (name: string): Promise<void> => {
      for (let index = 0; index < 40; index += 1) {
        const read = await table.read('list')
        if (read.isErr) continue
        const writeId = `${name}-${String(index)}`
        const list = JSON.parse(read.value?.value ?? '[]') as string[]
        const conditions = [{ key: 'list', version: read.value?.version ?? 0 }]
        const puts = [{ key: 'list', value: JSON.stringify([...list, writeId]) }]
        const result = await transactResolved(
          table,
          { writeId, conditions, puts },
          { clock, putCommitMarker: true, callTimeoutMs: 400, timeoutMs: 10_000 },
        )
        reported.set(writeId, codeOf(result))
      }
    }
    void Promise.all(['a', 'b', 'c', 'd'].map(writer))
    await time.advance(2_000_000)
    const final = table.read('list', { timeoutMs: 10_000 })
    await time.advance(2000)
    let row = await final
    while (row.isErr) {
      const again = table.read('list', { timeoutMs: 10_000 })
      await time.advance(2000)
      row = await again
    }
    const list = JSON.parse(row.value?.value ?? '[]') as string[]
    assert.equal(new Set(list).size, list.length, 'a write took effect twice')
    const count = (code: string) => [...reported.values()].filter((value) => value === code).length
    assert.ok(count('ok') > 20, `seed ${String(seed)}: only ${String(count('ok'))} commits`)
    for (const [writeId, code] of reported) {
      if (code !== 'unknown')
        assert.equal(list.includes(writeId), code === 'ok', `${writeId} reported ${code}`)
    }
  }
})

test('a sweep deletes old commit markers and keeps recent ones', async () => {
  const setup = new Setup()
  await setup.resolve(setup.write('one', 0), { putCommitMarker: true })
  await setup.time.advance(3_600_000)
  await setup.resolve(setup.write('two', (await setup.table.read('a')).unwrapOr(undefined)?.version ?? 0), {
    putCommitMarker: true,
  })
  const swept = await sweepCommitMarkers(setup.table, { clock: setup.clock, olderThanMs: 60_000 })
  assert.equal(swept.unwrapOr(0), 1)
  assert.deepEqual(
    (await setup.table.scan('write/')).unwrapOr([]).map(({ key }) => key),
    ['write/two'],
  )
})

test('no host sequence number is given out twice, even when responses are lost', async () => {
  const time = new VirtualTime()
  const clock = time.clock()
  const faults = new RandomFaults(new Random(7), { maxDelayMs: 300, unavailable: 0.1, loseAnswer: 0.3 })
  const table = new MemoryTable({ clock, faults })
  const reservations = Array.from({ length: 20 }, () =>
    HostSequence.reserve(table, { clock, timeoutMs: 60_000, callTimeoutMs: 200 }),
  )
  await time.advance(120_000)
  const numbers = (await Promise.all(reservations)).map((result) => result.unwrapOr(0))
  assert.equal(new Set(numbers).size, 20)
  assert.ok(Math.min(...numbers) > 0)
})
