// Shows that the ownership tests can fail: takes out one line of defence after the other, in a copy of the built files
// under target/, and runs the tests against each copy. Prints a table of what failed, and fails when a change does not
// apply, when tests fail on the unchanged copy, or when the random tests pass without a defence that stands alone.
// Build first. Arguments narrow the run to rows whose name contains one of them; the unchanged copy always runs.
import { execFile } from 'node:child_process'
import { cpSync, mkdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const atOnce = 2
const timeoutMs = 300_000
const copied = [
  'packages/core',
  'packages/assignment',
  'packages/routing',
  'packages/storage',
  'packages/http',
]
const packages = [...copied, 'packages/gateway', 'platform']

const suites = {
  directed: ['ownership', 'ownership-bounds', 'target-grants', 'directory'],
  random: ['ownership-faults'],
}

const gateway = (name) => `packages/gateway/dist/${name}.js`
const assignment = (name) => `packages/assignment/dist/${name}.js`

const anyIdProvesAnEnd = [
  gateway('directory'),
  'if (startedAtEpochMs === undefined)\n            return false;\n        const lives',
  'if (this.#livesByAddress.get(address)?.some((life) => life.id !== id))\n            return true;\n        const lives',
]
const addressIsNotAsked = [gateway('former-owners'), 'this.#replaced.has(id) &&', '']

/**
 * Each change is a file, a text that it must have exactly once, and what takes its place. A defence with `isBacked` has a
 * second one behind it: alone it is found by directed tests only, and both together by the random ones.
 */
const defences = [
  { name: 'nothing', changes: [] },
  {
    name: 'the controllers of services are made anew when the lease is renewed late',
    changes: [
      [gateway('assignment-controller'), 'if (term !== this.#term)', 'if (tenure?.term !== this.#term)'],
    ],
  },
  {
    name: 'a release of the lease never says that long grants may last',
    changes: [
      [
        gateway('leadership'),
        'const hasLongGrants = this.#options.clock.monotonicMs() < this.#longGrantsLapseAtMs;',
        'const hasLongGrants = false;',
      ],
    ],
  },
  {
    name: 'after a lapsed leader the successor waits for the normal hold only',
    changes: [[gateway('target-grants'), 'lapsed: maxHoldMs', 'lapsed: grantHoldMs']],
  },
  {
    name: 'a leader does not note the long grants of a lapsed predecessor',
    changes: [[gateway('leadership'), "if (predecessor === 'lapsed')", 'if (false)']],
  },
  {
    name: 'any other id at an address proves an end',
    isBacked: true,
    changes: [anyIdProvesAnEnd],
  },
  {
    name: 'the bound of a hold is halved',
    changes: [[assignment('holds'), 'holdMs * clockDriftFactor', '(holdMs * clockDriftFactor) / 2']],
  },
  {
    name: 'a grant without an answer does not count',
    changes: [[gateway('target-grants'), "if (result.error.code === 'not_sent')", 'if (true)']],
  },
  {
    name: 'a grant under way does not count',
    changes: [
      [assignment('holds'), 'this.#pendingGrants > 0 ? Infinity : this.#lapsesAtMs', 'this.#lapsesAtMs'],
    ],
  },
  {
    name: 'the process at an owner’s address is not asked',
    isBacked: true,
    changes: [addressIsNotAsked],
  },
  {
    name: 'any other id proves an end, and the process at the address is not asked',
    changes: [anyIdProvesAnEnd, addressIsNotAsked],
  },
  {
    name: 'a lease that its last holder takes again does not count anew',
    changes: [
      [assignment('election'), 'known.term === record.term &&', ''],
      [
        gateway('leadership'),
        'this.#renewals += 1;',
        'this.#renewals = this.#tenure === undefined ? 1 : this.#renewals + 1;',
      ],
    ],
  },
  {
    name: 'a release is not asked for',
    changes: [
      [
        gateway('range-moves'),
        'const address = owners.addressOf(formerOwner);',
        'return { end: HoldEndReason.released, handover: undefined };\n            const address = undefined;',
      ],
    ],
  },
  {
    name: 'a lease counts from the answer',
    changes: [
      [
        gateway('leadership'),
        'new HeldLease(leaseTimes, sentAt)',
        'new HeldLease(leaseTimes, this.#reading())',
      ],
      [gateway('leadership'), '#lease?.recordRenewal(sentAt)', '#lease?.recordRenewal(this.#reading())'],
    ],
  },
  {
    name: 'whether a range is still owned is not asked before each grant',
    changes: [[gateway('target-grants'), '!this.mayGrant || !stillOwns(range)', '!this.mayGrant']],
  },
  {
    name: 'an older heartbeat changes the target registry',
    changes: [[gateway('directory'), 'if (this.#isOutdated(target))', 'if (false)']],
  },
  {
    name: 'a new process under the same id gets no higher fence',
    changes: [
      [
        gateway('service-assignment-controller'),
        'const isNew = target !== undefined && target.startedAtEpochMs !== ownerStartedAtEpochMs;',
        'const isNew = false;',
      ],
    ],
  },
]

const root = join('target', 'defences')

const copy = ({ changes }, dir) => {
  rmSync(dir, { recursive: true, force: true })
  const links = join(dir, 'node_modules', '@pimentotally')
  mkdirSync(links, { recursive: true })
  for (const path of packages) {
    for (const part of ['dist', 'package.json'])
      cpSync(join(path, part), join(dir, path, part), { recursive: true })
    symlinkSync(join('..', '..', path), join(links, path.split('/').at(-1)))
  }
  for (const [file, text, replacement] of changes) {
    const path = join(dir, file)
    const parts = readFileSync(path, 'utf8').split(text)
    if (parts.length !== 2) throw new Error(`${file}: ${String(parts.length - 1)} places with: ${text}`)
    writeFileSync(path, parts.join(replacement))
  }
}

/** Resolves to the names of the tests that failed, and how long all took. */
const runTests = (dir, names) =>
  new Promise((resolve) => {
    const files = names.map((name) => join(dir, gateway(`${name}.test`)))
    execFile(
      process.execPath,
      ['--test', '--test-reporter=tap', ...files],
      { timeout: timeoutMs, killSignal: 'SIGKILL', maxBuffer: 1 << 28 },
      (error, stdout) => {
        const passed = [...stdout.matchAll(/^(?: {4})?ok \d+ - (.+)$/gm)].map(([, name]) => name)
        const failed = [...stdout.matchAll(/^(?: {4})?not ok \d+ - (.+)$/gm)].map(([, name]) => name)
        const tests = failed.filter((name) => !name.endsWith('.test.js'))
        if (error?.killed === true) resolve({ failed: tests, text: 'timed out', passed })
        else if (error !== null && tests.length === 0) resolve({ failed: ['?'], text: 'did not run', passed })
        else resolve({ failed: tests, text: tests.length === 0 ? 'pass' : `${tests.length} fail`, passed })
      },
    )
  })

const wanted = process.argv.slice(2)
const rows = defences.filter(
  ({ name, changes }) =>
    changes.length === 0 || wanted.length === 0 || wanted.some((part) => name.includes(part)),
)
rows.forEach((row, index) => copy(row, join(root, String(index))))

const results = new Map()
const queue = rows.map((row, index) => ({ row, dir: join(root, String(index)) }))
const work = async () => {
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const { row, dir } = next
    const directed = await runTests(dir, suites.directed)
    const random = await runTests(dir, suites.random)
    results.set(row, { directed, random })
    console.error(`${row.name}: ${[...directed.failed, ...random.failed].join('; ') || 'pass'}`)
  }
}
await Promise.all(Array.from({ length: atOnce }, work))

console.log('| taken out | directed tests | random tests |\n|---|---|---|')
for (const row of rows) {
  const { directed, random } = results.get(row)
  console.log(`| ${row.name} | ${directed.text} | ${random.text} |`)
}
const unexpected = rows.filter((row) => {
  const { directed, random } = results.get(row)
  return row.changes.length === 0
    ? directed.text !== 'pass' || random.text !== 'pass'
    : !/^\d+ fail$/.test(row.isBacked === true ? directed.text : random.text)
})
for (const { name } of unexpected) console.log(`not as it should be: ${name}`)
process.exitCode = unexpected.length === 0 ? 0 : 1
