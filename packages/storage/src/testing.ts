/** The contract of the platform's services, as tests that every implementation must pass. */
import assert from 'node:assert/strict'
import { randomUUID } from 'node:crypto'
import { describe, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import type { FaultPolicy } from './fault.js'
import type { HostList, HostListEntry } from './host-list.js'
import type { ObjectStore } from './object-store.js'
import type { PlatformResult } from './result.js'
import type { CallOptions, TableService } from './table.js'

export interface PlatformUnderTest {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly hosts: HostList
  setFaults(policy: Partial<FaultPolicy>): Promise<void>
  /** Replaces the host list; `list` shows the new one after the lag. */
  setHosts(hosts: readonly HostListEntry[], lagMs: number): Promise<void>
  close(): Promise<void>
}

const noFaults: FaultPolicy = { minDelayMs: 0, maxDelayMs: 0, unavailable: 0, loseAnswer: 0 }
/** Timeout of the calls that are expected to time out; short, so that the tests do not wait long. */
const slowTimeoutMs = 60
/** Timeout of all other calls; long, so that they do not time out on a busy machine. */
const timeoutMs = 10_000

type Operation = 'read' | 'scan' | 'transact' | 'put' | 'get' | 'list'

interface FaultCase {
  readonly fault: string
  readonly policy: Partial<FaultPolicy>
  readonly expected: Partial<Record<Operation, 'ok' | 'unavailable' | 'unknown'>>
  /** Whether writes under this fault take effect. */
  readonly effect: boolean
}

const failedReads = {
  read: 'unavailable',
  scan: 'unavailable',
  get: 'unavailable',
  list: 'unavailable',
} as const

const faultCases: readonly FaultCase[] = [
  {
    fault: 'refused',
    policy: { unavailable: 1 },
    expected: { ...failedReads, transact: 'unavailable', put: 'unavailable' },
    effect: false,
  },
  {
    fault: 'response lost',
    policy: { loseAnswer: 1 },
    expected: { read: 'ok', list: 'ok', transact: 'unknown', put: 'unknown' },
    effect: true,
  },
  {
    fault: 'slower than the timeout',
    policy: { minDelayMs: 4 * slowTimeoutMs, maxDelayMs: 4 * slowTimeoutMs },
    expected: { ...failedReads, transact: 'unknown', put: 'unknown' },
    effect: true,
  },
]

const perform = (
  { table, objects, hosts }: PlatformUnderTest,
  operation: Operation,
  key: string,
  options: CallOptions = { timeoutMs },
): Promise<PlatformResult<unknown>> => {
  switch (operation) {
    case 'read':
      return table.read(key, options)
    case 'scan':
      return table.scan(key, options)
    case 'transact': {
      const conditions = [{ key, version: 0 }]
      return table.transact({ writeId: randomUUID(), conditions, puts: [{ key, value: '1' }] }, options)
    }
    case 'put':
      return objects.put(key, Uint8Array.of(1), options)
    case 'get':
      return objects.get(key, options)
    case 'list':
      return hosts.list(options)
  }
}

/** Polls until the condition holds. */
const until = async (condition: () => Promise<boolean>): Promise<void> => {
  while (!(await condition())) await sleep(5)
}

/** Registers the tests of the contract; `open` starts a new platform for each of them. */
export const describePlatform = (name: string, open: () => Promise<PlatformUnderTest>): void => {
  const contract = (title: string, body: (platform: PlatformUnderTest) => Promise<void>): void => {
    test(title, async () => {
      const platform = await open()
      try {
        await body(platform)
      } finally {
        await platform.close()
      }
    })
  }
  const put = async ({ table }: PlatformUnderTest, key: string, version: number, value = '1') =>
    table.transact({ writeId: randomUUID(), conditions: [{ key, version }], puts: [{ key, value }] })

  describe(`${name} keeps the platform's contract`, () => {
    contract('a transaction with a failed condition writes nothing and names the row', async (platform) => {
      const { table } = platform
      const first = (await put(platform, 'a', 0)).unwrapOrElse((error) => assert.fail(error.message))
      const refused = await table.transact({
        writeId: 'w',
        conditions: [
          { key: 'b', version: 0 },
          { key: 'a', version: 0 },
        ],
        puts: [{ key: 'b', value: '1' }],
        deletes: ['a'],
      })
      assert.ok(refused.isErr && refused.error.code === 'conflict')
      assert.deepEqual([refused.error.key, refused.error.actualVersion], ['a', first.versions['a']])
      assert.equal((await table.read('b')).unwrapOr(undefined), undefined)
      assert.ok((await table.read('a')).unwrapOr(undefined) !== undefined)
    })

    contract('a row that was deleted and inserted again has a higher version', async (platform) => {
      const { table } = platform
      const before = (await put(platform, 'a', 0)).unwrapOrElse(() => assert.fail()).versions['a'] ?? 0
      await table.transact({ writeId: 'd', conditions: [], puts: [], deletes: ['a'] })
      const after = (await put(platform, 'a', 0, '"ü"')).unwrapOrElse(() => assert.fail()).versions['a'] ?? 0
      assert.ok(before > 0 && after > before)
      assert.equal((await table.read('a')).unwrapOr(undefined)?.value, '"ü"')
    })

    contract('scans respect the prefix, the limit and the bound in both directions', async (platform) => {
      for (const key of ['p/2', 'p/1', 'q/1', 'p/3', 'o/1', 'p']) await put(platform, key, 0)
      const keys = async (options: Parameters<TableService['scan']>[1]) =>
        (await platform.table.scan('p/', options)).unwrapOr([]).map(({ key }) => key)
      assert.deepEqual(await keys({}), ['p/1', 'p/2', 'p/3'])
      assert.deepEqual(await keys({ after: 'p/1', limit: 1 }), ['p/2'])
      assert.deepEqual(await keys({ reverse: true }), ['p/3', 'p/2', 'p/1'])
      assert.deepEqual(await keys({ reverse: true, after: 'p/3', limit: 1 }), ['p/2'])
      assert.deepEqual(await keys({ reverse: true, after: 'p/1' }), [])
    })

    contract('objects are immutable and may be written twice', async ({ objects }) => {
      const bytes = Uint8Array.of(0, 255, 10)
      assert.ok((await objects.put('a/b c', bytes)).isOk)
      assert.ok((await objects.put('a/b c', bytes)).isOk)
      const other = await objects.put('a/b c', Uint8Array.of(1))
      assert.ok(other.isErr && other.error.code === 'conflict')
      assert.deepEqual((await objects.get('a/b c')).unwrapOr(undefined), bytes)
      assert.equal((await objects.get('none')).unwrapOr(bytes), undefined)
    })

    contract('the host list shows a change only after the lag', async (platform) => {
      const host = { name: 'h', domain: 'd', address: '127.0.0.1:1', kind: 'host', state: 'live' } as const
      await platform.setHosts([host], 3_600_000)
      assert.deepEqual((await platform.hosts.list()).unwrapOr([host]), [])
    })

    for (const { fault, policy, expected, effect } of faultCases) {
      for (const [operation, outcome] of Object.entries(expected) as [Operation, string][]) {
        contract(`${operation}, ${fault}: ${outcome}`, async (platform) => {
          const key = `fault/${operation}`
          await platform.setFaults(policy)
          const limit = policy.minDelayMs === undefined ? timeoutMs : slowTimeoutMs
          const result = await perform(platform, operation, key, { timeoutMs: limit })
          assert.equal(result.isOk ? 'ok' : result.error.code, outcome)
          await platform.setFaults(noFaults)
          const isThere = async () =>
            operation === 'put'
              ? (await platform.objects.get(key)).unwrapOr(undefined) !== undefined
              : (await platform.table.read(key)).unwrapOr(undefined) !== undefined
          if (operation !== 'transact' && operation !== 'put') return
          if (effect) await until(isThere)
          else assert.ok(!(await isThere()))
          // After the fault is removed, calls succeed over the same client.
          assert.ok((await perform(platform, 'read', key)).isOk)
        })
      }
    }
  })
}
