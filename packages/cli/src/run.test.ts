import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, describe, it } from 'node:test'
import { SilentLogger, SystemClock } from '@pimentotally/core'
import { CellQueries, operatorService } from '@pimentotally/operator'
import {
  TransactionOutcome,
  FakeCell,
  FakeDirectory,
  FakeObjects,
  FakeTable,
  exampleFile,
  fakeBackend,
  setNextCommitOutcome,
} from '@pimentotally/operator/testing'
import { serveRpc, type RunningServer } from '@pimentotally/wire'
import { run } from './run.js'

const credential = 'credential-of-siti-1'
const operators = [{ name: 'siti', credentialSha256: createHash('sha256').update(credential).digest('hex') }]

const directory = mkdtempSync(join(tmpdir(), 'pimentotally-cli-'))
after(() => {
  rmSync(directory, { recursive: true })
})
const fileOf = (name: string, text: string): string => {
  const path = join(directory, name)
  writeFileSync(path, text)
  return path
}
const valid = fileOf('valid.toml', exampleFile())
const larger = fileOf('larger.toml', exampleFile({ slots: 8 }))
const invalid = fileOf('invalid.toml', `${exampleFile()}\nspeed = 3`)
const resharded = fileOf('resharded.toml', exampleFile({ shardCount: 128 }))

interface Host {
  readonly address: string
  readonly cell: FakeCell
  /** Called when a change has taken effect, before the response is sent. */
  onAccepted: () => void
  readonly close: () => Promise<void>
}

const serveHost = async (table: FakeTable, objects: FakeObjects): Promise<Host> => {
  const cell = new FakeCell()
  const host: { onAccepted: () => void } = { onAccepted: () => undefined }
  const { backend } = fakeBackend({
    table,
    objects,
    clock: new SystemClock(),
    // Looks up the outcome of a write only once, so that an unknown outcome is reported without a delay.
    outcomeLookupTimeoutMs: 0,
    onAccepted: () => {
      host.onAccepted()
    },
  })
  const logger = new SilentLogger()
  const cells = new CellQueries({ backend, directory: new FakeDirectory({ local: cell }), logger })
  const server: RunningServer = await serveRpc({
    routes: operatorService({ backend, cells, operators }),
    host: '127.0.0.1',
    port: 0,
  })
  return Object.assign(host, { cell, address: server.address, close: () => server.close() })
}

/** Runs `use` with two hosts that share one stand-in platform, and closes the hosts at the end. */
const withHosts = async (
  use: (setting: {
    readonly table: FakeTable
    readonly hosts: readonly [Host, Host]
    /** Runs a command against both hosts, or the given addresses. */
    readonly tool: (
      command: string,
      options?: { addresses?: readonly string[]; env?: Record<string, string> },
    ) => Promise<{ code: number; out: string; err: string }>
  }) => Promise<void>,
): Promise<void> => {
  const table = new FakeTable()
  const objects = new FakeObjects()
  const hosts = [await serveHost(table, objects), await serveHost(table, objects)] as const
  const both = hosts.map(({ address }) => address)
  try {
    await use({
      table,
      hosts,
      tool: async (command, { addresses = both, env = { PIMENTOTALLY_CREDENTIAL: credential } } = {}) => {
        const out: string[] = []
        const err: string[] = []
        const argv = [...command.split(' '), ...addresses.flatMap((address) => ['--address', address])]
        const code = await run(argv, { env, out: (text) => out.push(text), err: (text) => err.push(text) })
        return { code, out: out.join('\n'), err: err.join('\n') }
      },
    })
  } finally {
    await Promise.all(hosts.map(({ close }) => close()))
  }
}

await describe('exit codes', async () => {
  await it('are 0 for changes that are accepted and views that are shown', async () => {
    await withHosts(async ({ tool, hosts }) => {
      const plan = await tool(`plan ${valid}`)
      assert.deepEqual([plan.code, plan.err], [0, ''])
      assert.match(plan.out, /on version 0: 5 change\(s\)\n\+ domain jb/)
      const applied = await tool(`apply ${valid} --base-version 0 --json`)
      assert.equal((JSON.parse(applied.out) as { version: number }).version, 1)
      assert.match((await tool('domain out kl')).out, /accepted as version 2/)
      assert.match((await tool('target drain notes-0')).out, /accepted as version 3/)
      assert.match((await tool('domain in kl')).out, /accepted as version 4/)
      assert.match((await tool('target undrain notes-0')).out, /accepted as version 5/)
      const history = JSON.parse((await tool('history --limit 2 --json')).out) as {
        versions: { version: number }[]
      }
      assert.deepEqual(
        history.versions.map(({ version }) => version),
        [5, 4],
      )
      assert.match((await tool('audit')).out, /siti +domain\.out +kl +1 to 2 +accepted/)
      assert.match((await tool('status')).out, /host jb-1-aaaa \(domain jb\), ready/)
      assert.match(
        (await tool('targets --service notes')).out,
        /notes-1 +notes +kl +127\.0\.0\.1:9002 +unknown/,
      )
      hosts[0].cell.blockedById.set('id-1', { identity: 'id-1', service: 'notes', crashes: 2, sinceMs: 0 })
      assert.match((await tool('blocked list')).out, /id-1 +notes +2/)
      assert.deepEqual((await tool('blocked release id-1')).out, 'released id-1')
      assert.equal((await tool('blocked release id-1')).code, 1)
    })
  })

  await it('are 0 for owners, and a key of digits is taken as text: 007 is not the key 7', async () => {
    await withHosts(async ({ tool }) => {
      await tool(`apply ${valid}`)
      const [text, number] = [await tool('owners notes 007'), await tool('owners notes 7')]
      assert.deepEqual([text.code, number.code], [0, 0])
      assert.notEqual(text.out, number.out)
    })
  })

  await it('are 1 for invalid input and refused calls, which are shown with their issues and a remedy', async () => {
    await withHosts(async ({ tool, table }) => {
      await tool(`apply ${valid}`)
      const local = await run(['validate', invalid], { env: {}, out: () => undefined, err: () => undefined })
      assert.equal(local, 1)
      const refused = await tool(`apply ${invalid}`)
      assert.equal(refused.code, 1)
      assert.match(
        refused.err,
        /deployment\.parse.*\n {2}invalid\.toml:\d+: targets\.1\.speed: .* \[unknown_field\]\nremedy: /,
      )
      for (const command of [
        `plan ${resharded}`,
        `apply ${resharded}`,
        // The example file declares no such domain, target or service.
        'domain out pg',
        'target drain x',
        'targets --service x',
        // A host of the domain is alive.
        'domain out jb --lost --yes',
        // No version was made by a write with this id.
        'history --write-id 12345678',
      ]) {
        const { code, out, err } = await tool(command)
        assert.deepEqual([command, code, out], [command, 1, ''])
        assert.match(err, /^error: .*\[[a-z_]+\](\n {2}.*)*\nremedy: ./)
      }
      const wrong = await tool('status', { env: { PIMENTOTALLY_CREDENTIAL: 'wrong-credential-1' } })
      assert.equal(wrong.code, 1)
      assert.match(wrong.err, /credential not accepted/)
      assert.equal(table.values('config-history/').length, 1)
      table.down = true
      const unavailable = await tool(`apply ${larger}`)
      assert.equal(unavailable.code, 1)
      assert.match(unavailable.err, /platform_unavailable/)
    })
  })

  await it('are 2 for wrong usage, and 0 for help', async () => {
    await withHosts(async ({ tool }) => {
      for (const command of [
        '',
        'fly',
        'domain',
        'domain out',
        'domain out kl --lost',
        'status --credential x',
        `apply ${valid} --base-version x`,
        'apply absent.toml',
        'status --address localhost:1',
      ]) {
        const { code, out, err } = await tool(command)
        assert.deepEqual([command, code, out], [command, 2, ''])
        assert.match(err, /^error: /)
      }
      assert.equal((await tool('status', { addresses: [] })).code, 2)
      assert.equal((await tool('status', { env: {} })).code, 2)
      assert.equal(
        (await tool(`status --credential-file ${fileOf('credential', `${credential}\n`)}`, { env: {} })).code,
        0,
      )
      for (const command of [
        '--help',
        'apply --help',
        'domain --help',
        'domain out --help',
        'blocked release --help',
      ]) {
        const { code, out } = await tool(command)
        assert.deepEqual([command, code, out.startsWith('pimentotally ')], [command, 0, true])
      }
    })
  })

  await it('come with a remedy for wrong usage that names the help of the command that was given', async () => {
    await withHosts(async ({ tool }) => {
      const seen = await Promise.all(
        ['fly', 'target drain', 'owners notes', 'domain'].map((command) => tool(command)),
      )
      assert.deepEqual(
        seen.map(({ err }) => err.split('\n')),
        [
          ['error: Unknown command: fly [usage]', 'remedy: see pimentotally --help'],
          ['error: an argument is missing [usage]', 'remedy: see pimentotally target drain --help'],
          ['error: an argument is missing [usage]', 'remedy: see pimentotally owners --help'],
          ['error: domain needs a command: out or in [usage]', 'remedy: see pimentotally domain --help'],
        ],
      )
    })
  })

  await it('are 0 for views of a host without a configuration, which say that there is nothing to show', async () => {
    await withHosts(async ({ tool }) => {
      const [status, targets] = [await tool('status'), await tool('targets')]
      assert.deepEqual([status.code, targets.code], [0, 0])
      assert.match(status.out, /no configuration is in force/)
      assert.match(targets.out, /\n\(none\)$/)
    })
  })

  await it('are 3 for a conflict, whose message names the newer version and its author', async () => {
    await withHosts(async ({ tool }) => {
      await tool(`apply ${valid}`)
      await tool(`apply ${larger}`)
      const { code, err } = await tool(`apply ${valid} --base-version 1`)
      assert.equal(code, 3)
      assert.match(err, /version 2 was made by siti/)
    })
  })

  await it('are 4 only when no host can be reached; while one can, a host that cannot is skipped', async () => {
    await withHosts(async ({ tool, hosts, table }) => {
      const [first, second] = hosts
      await first.close()
      const skipped = await tool(`apply ${valid}`)
      assert.equal(skipped.code, 0)
      assert.match(skipped.err, new RegExp(`note: apply \\(${first.address}\\)`))
      await second.close()
      for (const command of ['status', `apply ${larger}`]) {
        const { code, err } = await tool(command)
        assert.equal(code, 4)
        assert.match(err, new RegExp(`${first.address}, ${second.address}.*\\[unreachable\\]\nremedy: `))
      }
      assert.equal(table.values('config-history/').length, 1)
    })
  })

  await it('are 0 when the connection is lost after the change took effect and another host finds it', async () => {
    await withHosts(async ({ tool, hosts, table }) => {
      hosts[0].onAccepted = () => void hosts[0].close()
      const { code, out, err } = await tool(`apply ${valid}`)
      assert.equal(code, 0)
      assert.match(out, /accepted as version 1/)
      assert.match(err, /the change was found as version 1/)
      assert.equal(table.values('config-history/').length, 1)
    })
  })

  await it('are 5 while the outcome cannot be looked up; the history shows it later by write id', async () => {
    await withHosts(async ({ tool, table }) => {
      setNextCommitOutcome(table, () => {
        table.down = true
        return TransactionOutcome.answerLost
      })
      const { code, err } = await tool(`apply ${valid}`)
      assert.equal(code, 5)
      const command = /remedy: look it up with: pimentotally (history --write-id \S+)/.exec(err)?.[1]
      assert.ok(command !== undefined)
      // While the platform is down, the history cannot be read.
      assert.equal((await tool(command)).code, 1)
      table.down = false
      const found = await tool(command)
      assert.deepEqual([found.code, /\n1 .*siti/.test(found.out)], [0, true])
    })
  })

  await it('are 5 when the connection is lost and no other host can be asked', async () => {
    await withHosts(async ({ tool, hosts, table }) => {
      const [first, second] = hosts
      first.onAccepted = () => void Promise.all([first.close(), second.close()])
      const { code, err } = await tool(`apply ${valid}`)
      assert.equal(code, 5)
      assert.match(err, /the change may have taken effect; no host could look it up/)
      assert.equal(table.values('config-history/').length, 1)
    })
  })
})
