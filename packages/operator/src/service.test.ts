import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { describe, it } from 'node:test'
import { Code, ConnectError } from '@connectrpc/connect'
import { Configuration, Logger, SilentLogger, shardOf } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { OperatorFailureSchema, OperatorService, openClient, serveRpc } from '@pimentotally/wire'
import { CellQueries } from './cells.js'
import { RemoteCellInspector } from './remote-cell-inspector.js'
import { operatorService, cellInspectionService } from './service.js'
import {
  FakeCell,
  FakeDirectory,
  FakeObjects,
  FakeTable,
  apply,
  exampleFile,
  fakeBackend,
  setUpOperators,
} from './testing.js'
import type { CellInspector } from './views.js'

const credential = 'credential-of-siti-1'
const peerSecret = 'peer-secret-0000001'
const operators = [{ name: 'siti', credentialSha256: createHash('sha256').update(credential).digest('hex') }]

/** Opens a client of the operator service with the given credential. */
const openOperatorClient = (address: string, given: string) =>
  openClient(OperatorService, { address, credential: given })

class CollectingLogger extends Logger {
  readonly lines: string[] = []

  override log(...args: readonly unknown[]): void {
    this.lines.push(JSON.stringify(args))
  }
}

/** Serves the operator listener of a host while `use` runs; `call` opens a client with a credential. */
const withHost = async (
  cells: { readonly local?: CellInspector; readonly remote?: CellInspector },
  use: (host: {
    call: (given?: string) => ReturnType<typeof openOperatorClient>['client']
    table: FakeTable
    time: VirtualTime
    logger: CollectingLogger
    backend: ReturnType<typeof fakeBackend>['backend']
  }) => Promise<void>,
): Promise<void> => {
  const time = new VirtualTime()
  const table = new FakeTable()
  const logger = new CollectingLogger()
  const { backend } = fakeBackend({ table, objects: new FakeObjects(), clock: time.clock(), logger })
  const queries = new CellQueries({ backend, directory: new FakeDirectory(cells), logger })
  const server = await serveRpc({
    routes: operatorService({ backend, cells: queries, operators }),
    host: '127.0.0.1',
    port: 0,
  })
  const clients: { close(): void }[] = []
  const call = (given = credential) => {
    const managed = openOperatorClient(server.address, given)
    clients.push(managed)
    return managed.client
  }
  try {
    await use({ call, table, time, logger, backend })
  } finally {
    for (const { close } of clients) close()
    await server.close()
  }
}

/**
 * Serves the peer listener of a coordinator while `use` runs; the inspector calls it with the given secret.
 */
const withCoordinator = async (
  cell: CellInspector | undefined,
  secret: string,
  use: (inspector: RemoteCellInspector) => Promise<void>,
): Promise<void> => {
  const { backend } = setUpOperators()
  const directory = new FakeDirectory(cell === undefined ? {} : { local: cell })
  const cells = new CellQueries({ backend, directory, logger: new SilentLogger() })
  const routes = cellInspectionService({ cells, peerSecrets: [peerSecret] })
  const server = await serveRpc({ routes, host: '127.0.0.1', port: 0 })
  const { client, close } = openOperatorClient(server.address, secret)
  try {
    await use(new RemoteCellInspector({ client, cellId: 'jb' }))
  } finally {
    close()
    await server.close()
  }
}

const failureOf = async (
  call: Promise<unknown>,
): Promise<{ error: ConnectError; code: string | undefined }> => {
  const error = ConnectError.from(
    await call.then(
      () => assert.fail('expected an error'),
      (reason: unknown) => reason,
    ),
  )
  return { error, code: error.findDetails(OperatorFailureSchema)[0]?.code }
}

await describe('credentials', async () => {
  await it('are required by every method; a wrong one is audited but neither stored nor logged itself', async () => {
    await withHost({}, async ({ call, table, time, logger }) => {
      const wrong = 'wrong-credential-12345'
      const calls = Object.keys(OperatorService.method) as (keyof typeof OperatorService.method)[]
      for (const method of calls) {
        const { error, code } = await failureOf(call(wrong)[method]({}))
        assert.deepEqual([method, error.code, code], [method, Code.Unauthenticated, 'unauthenticated'])
      }
      await time.advance(2000)
      await failureOf(call('').status({}))
      await time.advance(0)
      const entries = table.values('audit/')
      // At most one row a second is written, so that refused callers cannot flood the platform with writes.
      assert.deepEqual(
        entries.map(({ action, outcome }) => [action, outcome]),
        [
          ['authenticate', 'refused'],
          ['authenticate', 'refused'],
        ],
      )
      assert.match(String(entries[1]?.['details']), new RegExp(`${String(calls.length - 1)} more`))
      assert.doesNotMatch(JSON.stringify([...table.rows.values()]) + logger.lines.join(), /wrong-credential/)
    })
  })

  await it('determine the author of a change', async () => {
    await withHost({}, async ({ call, table }) => {
      const { version } = await call().apply({ fileName: 'test.toml', document: exampleFile() })
      assert.equal(version, 1)
      assert.equal(table.values('config/')[0]?.['author'], 'siti')
    })
  })
})

await describe('failures', async () => {
  await it('carry every issue with file, path and line', async () => {
    await withHost({}, async ({ call }) => {
      const document = `${exampleFile()}\nspeed = 3\n[[domains]]\nname = "pg"\ntimeout = 1`
      const { error } = await failureOf(call().apply({ fileName: 'test.toml', document }))
      const [failure] = error.findDetails(OperatorFailureSchema)
      const lines = document.split('\n').length
      assert.deepEqual(
        failure?.issues.map(({ code, file, path, line }) => [code, file, path.join('.'), line]),
        [
          ['unknown_field', 'test.toml', 'targets.1.speed', lines - 3],
          ['missing_field', 'test.toml', 'domains.2.region', lines - 2],
          ['unknown_field', 'test.toml', 'domains.2.timeout', lines],
        ],
      )
    })
  })
})

await describe('queries of a cell', async () => {
  const remoteCell = (): FakeCell => {
    const cell = new FakeCell()
    cell.blockedById.set('id-1', {
      identity: 'id-1',
      service: 'notes',
      crashes: 2,
      sinceMs: 1_700_000_000_000,
    })
    const view = { service: 'notes', domain: 'jb', address: '127.0.0.1:9001', inFlight: 1, slots: 4 }
    cell.views = [
      { ...view, name: 'notes-0', state: 'slow-start', allowedSlots: 2, shards: 32, latencyMs: 1.5 },
    ]
    return cell
  }

  await it('are forwarded to the coordinator in one hop', async () => {
    const cell = remoteCell()
    await withCoordinator(cell, peerSecret, async (remote) => {
      await withHost({ remote }, async ({ call, backend, table }) => {
        await apply(backend, 'siti')
        const owner = await call().owner({ service: 'notes', key: '007' })
        assert.equal(owner.shard, shardOf('notes', '007', 64))
        assert.match(owner.target, new RegExp(`^notes-${String(owner.shard)}-[0-9a-f]{16}$`))
        const { targets } = await call().targets({ service: 'notes' })
        assert.deepEqual(
          targets.map(({ name, state, shards }) => [name, state, shards]),
          [
            ['notes-0', 'slow-start', 32],
            ['notes-1', 'unknown', 0],
          ],
        )
        const { entries } = await call().blocked({})
        assert.deepEqual(
          entries.map(({ identity, since }) => [identity, since]),
          [['id-1', '2023-11-14T22:13:20.000Z']],
        )
        assert.equal((await call().unblock({ identity: 'id-1' })).found, true)
        assert.equal((await call().unblock({ identity: 'id-1' })).found, false)
        assert.deepEqual(
          table
            .values('audit/')
            .filter(({ action }) => action === 'blocked.release')
            .map(({ outcome }) => outcome)
            .sort(),
          ['accepted', 'refused'],
        )
      })
    })
  })

  await it('report the cell as unreachable when its coordinator changed, rejects the secret or is not known', async () => {
    const cases: [CellInspector | undefined, string][] = [
      [undefined, peerSecret],
      [remoteCell(), 'another-secret-0001'],
    ]
    const check = async (cells: { remote?: CellInspector }): Promise<void> =>
      withHost(cells, async ({ call, backend }) => {
        await apply(backend, 'siti')
        assert.equal(
          (await failureOf(call().owner({ service: 'notes', key: 'k' }))).code,
          'coordinator_unreachable',
        )
        assert.equal((await failureOf(call().unblock({ identity: 'id-1' }))).code, 'coordinator_unreachable')
        assert.deepEqual((await call().blocked({})).unreachableCells, ['jb'])
        assert.deepEqual(
          (await call().targets({})).targets.map(({ state }) => state),
          ['unknown', 'unknown'],
        )
      })
    await check({})
    for (const [cell, secret] of cases) {
      await withCoordinator(cell, secret, async (remote) => check({ remote }))
    }
  })

  await it('are the only calls of the peer listener: it serves no changes', async () => {
    const { backend } = setUpOperators()
    const cells = new CellQueries({ backend, directory: new FakeDirectory({}), logger: new SilentLogger() })
    const routes = cellInspectionService({ cells, peerSecrets: [peerSecret] })
    const server = await serveRpc({ routes, host: '127.0.0.1', port: 0 })
    const { client, close } = openOperatorClient(server.address, peerSecret)
    const { error } = await failureOf(client.apply({ document: exampleFile() }))
    assert.equal(error.code, Code.Unimplemented)
    assert.equal(backend.host.configuration(), Configuration.empty)
    close()
    await server.close()
  })
})
