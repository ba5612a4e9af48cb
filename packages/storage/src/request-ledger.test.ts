import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { FaultEffect, RandomFaults, ScriptedFaults, type FaultSource, type PlatformCall } from './fault.js'
import { MemoryTable } from './memory-table.js'
import { RequestLedger, type BeginResult, type RequestLedgerOptions } from './request-ledger.js'

const response = { status: 201, headers: { 'content-type': 'text/plain' }, body: Buffer.from('ok') }
const attempt = { service: 'payments', key: 'k/1', requestHash: 'h' }

class Setup {
  readonly time = new VirtualTime()
  readonly clock = this.time.clock()
  readonly table: MemoryTable
  readonly alive = new Set<string>()
  transactions = 0

  constructor(faults: FaultSource = new ScriptedFaults()) {
    const counting = {
      next: (call: PlatformCall) => {
        if (call.step === 'table.transact') this.transactions += 1
        return faults.next(call)
      },
    }
    this.table = new MemoryTable({ clock: this.clock, faults: counting })
  }

  ledger(hostId: string, options: Partial<RequestLedgerOptions> = {}): RequestLedger {
    this.alive.add(hostId)
    const isHostAlive = (id: string): boolean => this.alive.has(id)
    return new RequestLedger({ table: this.table, hostId, isHostAlive, clock: this.clock, ...options })
  }

  async wait<T>(result: Promise<T>, durationMs = 5000): Promise<T> {
    await this.time.advance(durationMs)
    return result
  }
}

const idOf = (result: BeginResult): string =>
  result.kind === 'started' ? result.attemptId : assert.fail(`not started but ${result.kind}`)

test('a resend is answered according to the state of its row', async () => {
  const setup = new Setup()
  const [here, there] = [setup.ledger('here'), setup.ledger('there')]
  const begin = (ledger: RequestLedger, requestHash = 'h') =>
    setup.wait(ledger.begin({ ...attempt, requestHash }))
  const first = idOf(await begin(here))
  assert.equal((await begin(here)).kind, 'inProgress')
  assert.equal((await begin(there)).kind, 'inProgress')
  assert.equal((await begin(there, 'other')).kind, 'keyReused')
  setup.alive.delete('here')
  assert.equal((await begin(there)).kind, 'unknownOutcome')
  assert.equal(await setup.wait(here.markNotRun(first)), 'stored')
  const second = idOf(await begin(there))
  assert.equal(await setup.wait(there.finish(second, response)), 'stored')
  assert.deepEqual(await begin(here), { kind: 'done', ...response, body: new Uint8Array(response.body) })
  const large = { ...attempt, key: 'large' }
  const third = idOf(await setup.wait(here.begin(large)))
  await setup.wait(here.finish(third, { status: 200, body: Buffer.alloc(4097) }))
  assert.deepEqual(await setup.wait(there.begin(large)), { kind: 'done', status: 200, headers: undefined })
})

test('after a restart a host does not report its earlier attempt as in progress', async () => {
  const setup = new Setup()
  idOf(await setup.wait(setup.ledger('here').begin(attempt)))
  assert.equal((await setup.wait(setup.ledger('here').begin(attempt))).kind, 'unknownOutcome')
})

test('64 attempts begun together take one transaction, and conflicting rows do not fail the others', async () => {
  const setup = new Setup()
  const [here, there] = [setup.ledger('here'), setup.ledger('there')]
  const beginAll = (ledger: RequestLedger, from: number) =>
    Promise.all(Array.from({ length: 64 }, (_, i) => ledger.begin({ ...attempt, key: String(from + i) })))
  const first = await setup.wait(beginAll(here, 0))
  assert.ok(first.every(({ kind }) => kind === 'started'))
  assert.equal(setup.transactions, 1)
  const second = await setup.wait(beginAll(there, 60))
  assert.deepEqual(
    second.map(({ kind }) => kind),
    Array.from({ length: 64 }, (_, i) => (i < 4 ? 'inProgress' : 'started')),
  )
  assert.ok(setup.transactions <= 12, `${String(setup.transactions)} transactions`)
})

test('exactly one of several concurrent attempts with the same key starts, even when responses are lost', async () => {
  for (let seed = 0; seed < 20; seed += 1) {
    const setup = new Setup(new RandomFaults(new Random(seed), { maxDelayMs: 50, loseAnswer: 0.5 }))
    const ledgers = Array.from({ length: 6 }, (_, index) => setup.ledger(`host-${String(index)}`))
    const results = await setup.wait(
      Promise.all([...ledgers, ...ledgers].map((ledger) => ledger.begin(attempt))),
    )
    const kinds = results.map(({ kind }) => kind)
    assert.equal(kinds.filter((kind) => kind === 'started').length, 1, kinds.join(' '))
  }
})

test('an attempt whose insert cannot be confirmed is unavailable, and its row blocks no later attempt', async () => {
  for (const other of [false, true]) {
    const faults = new ScriptedFaults()
    const setup = new Setup(faults)
    const here = setup.ledger('here')
    faults.push({ effect: FaultEffect.loseAnswer }, ({ kind }) => kind === 'write')
    for (let call = 0; call < 20; call += 1)
      faults.push({ effect: FaultEffect.refuse }, ({ kind }) => kind === 'read')
    assert.equal((await setup.wait(here.begin(attempt), 2500)).kind, 'unavailable')
    const ledger = other ? setup.ledger('there') : here
    // Another host can start the request only after this one has marked the row as not run.
    await setup.time.advance(other ? 20_000 : 10_000)
    assert.equal((await setup.wait(ledger.begin(attempt))).kind, 'started')
  }
})

test('an outcome from during an outage is stored afterwards, and until then the request counts as in progress', async () => {
  const faults = new RandomFaults(new Random(1))
  const setup = new Setup(faults)
  const [here, there] = [setup.ledger('here'), setup.ledger('there')]
  const id = idOf(await setup.wait(here.begin(attempt)))
  faults.policy = { ...faults.policy, unavailable: 1 }
  assert.equal(await setup.wait(here.finish(id, response), 100), 'queued')
  assert.equal((await setup.wait(there.begin(attempt), 100)).kind, 'unavailable')
  faults.policy = { ...faults.policy, unavailable: 0 }
  assert.equal((await setup.wait(here.begin(attempt), 100)).kind, 'inProgress')
  await setup.time.advance(2000)
  assert.equal(here.pendingOutcomes, 0)
  assert.equal((await setup.wait(there.begin(attempt))).kind, 'done')
})

test('under random faults, restarts and resends no request runs twice', async () => {
  let ran = 0
  for (const seed of [1, 2, 3, 4, 5]) {
    const random = new Random(seed)
    const faults = new RandomFaults(random, { maxDelayMs: 800, unavailable: 0.15, loseAnswer: 0.25 })
    const setup = new Setup(faults)
    const ledgers = [0, 1, 2, 3].map((index) => setup.ledger(`host-${String(index)}-0`))
    const runs = new Map<string, number>()
    const callers = Array.from({ length: 60 }, async (_, index) => {
      const key = `key-${String(index % 30)}`
      for (let resend = 0; resend < 6; resend += 1) {
        const ledger = random.pick(ledgers) ?? assert.fail()
        const begun = await ledger.begin({ ...attempt, key })
        if (begun.kind === 'started') {
          if (random.float() < 0.3) await ledger.markNotRun(begun.attemptId)
          else {
            runs.set(key, (runs.get(key) ?? 0) + 1)
            await setup.clock.sleep(random.float() * 200)
            if (random.float() < 0.9) await ledger.finish(begun.attemptId, response)
          }
        }
        await setup.clock.sleep(random.float() * 3000)
        if (random.float() < 0.05) {
          const restarted = random.integer(ledgers.length)
          ledgers[restarted]?.close()
          ledgers[restarted] = setup.ledger(`host-${String(restarted)}-${String(index)}-${String(resend)}`)
        }
      }
    })
    await setup.wait(Promise.all(callers), 300_000)
    for (const [key, count] of runs)
      assert.equal(count, 1, `${key} ran ${String(count)} times (seed ${String(seed)})`)
    ran += runs.size
  }
  assert.ok(ran > 100, `only ${String(ran)} of 150 requests ran`)
})

test('sweeps delete all expired rows, page by page, and no others', async () => {
  const setup = new Setup()
  const ledger = setup.ledger('here', { retentionMs: 60_000 })
  const begin = (key: string) => ledger.begin({ ...attempt, key })
  await setup.wait(Promise.all(Array.from({ length: 150 }, (_, index) => begin(`old-${String(index)}`))))
  await setup.time.advance(60_000)
  await setup.wait(begin('new'), 100)
  let deleted = 0
  for (let complete = false; !complete;) {
    const swept = (await ledger.sweep({ limit: 40 })).unwrapOrElse((error) => assert.fail(error.message))
    deleted += swept.deleted
    complete = swept.complete
  }
  assert.equal(deleted, 150)
  assert.equal((await setup.table.scan('idem/')).unwrapOr([]).length, 1)
})
