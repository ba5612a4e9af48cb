// Runs the compiled test files with the test runner of Node.js: those whose path contains one of the arguments, or all
// without arguments. Files named `*.alone.test.js` run after the others, one at a time, as they load the machine or
// measure processes. Failures of tests that KNOWN-RED.txt lists are printed, but do not fail the run. A file whose
// process does not end, such as one that leaves a connection open, fails under its path.
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { Readable } from 'node:stream'
import { run } from 'node:test'
import { tap } from 'node:test/reporters'

/** Time limit of one test file: so long only because machines differ; without one, a hang does not name its file. */
const fileTimeoutMs = 15 * 60_000

const walk = (dir) =>
  readdirSync(dir, { withFileTypes: true }).flatMap((entry) => {
    const path = join(dir, entry.name)
    return entry.isDirectory() ? walk(path) : path.endsWith('.test.js') ? [path] : []
  })

const packages = [
  ...readdirSync('packages').map((name) => join('packages', name, 'dist')),
  join('platform', 'dist'),
]
const wanted = process.argv.slice(2)
const files = packages
  .filter((dir) => existsSync(dir))
  .flatMap(walk)
  .filter((file) => existsSync(file.replace('/dist/', '/src/').replace(/\.js$/, '.ts')))
  .filter((file) => wanted.length === 0 || wanted.some((part) => file.includes(part)))
  .sort()

// Each entry of KNOWN-RED.txt starts with `test: <exact test name>`.
const knownRed = new Set(
  existsSync('KNOWN-RED.txt')
    ? [...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^test: (.+)$/gm)].map((match) => match[1])
    : [],
)

const failed = new Set()

/**
 * The events of one run after the other, with one plan, one numbering of the tests and one closing summary, as of a
 * single run.
 */
async function* runInTurn(batches) {
  const totals = new Map()
  let tests = 0
  for (const { files, concurrency } of batches) {
    const earlier = tests
    for await (const event of run({ files, concurrency, timeout: fileTimeoutMs })) {
      const { type, data } = event
      const [, name, value] =
        (type === 'test:diagnostic' && data.nesting === 0 && /^([a-z_]+) ([\d.]+)$/.exec(data.message)) || []
      if (name !== undefined) totals.set(name, (totals.get(name) ?? 0) + Number(value))
      else if (type === 'test:plan' && data.nesting === 0) tests += data.count
      else {
        if (type === 'test:fail' && data.todo === undefined && data.skip === undefined) failed.add(data.name)
        yield data?.nesting === 0 && data.testNumber !== undefined
          ? { type, data: { ...data, testNumber: data.testNumber + earlier } }
          : event
      }
    }
  }
  yield { type: 'test:plan', data: { nesting: 0, count: tests } }
  for (const [name, value] of totals) {
    yield { type: 'test:diagnostic', data: { nesting: 0, message: `${name} ${value}` } }
  }
}

const isAlone = (file) => file.endsWith('.alone.test.js')
const batches = [
  { files: files.filter((file) => !isAlone(file)), concurrency: 4 },
  { files: files.filter(isAlone), concurrency: 1 },
].filter((batch) => batch.files.length > 0)
const results = Readable.from(tap(runInTurn(batches)))
results.pipe(process.stdout)
results.on('end', () => {
  const show = (title, names) => {
    if (names.length > 0) console.log(`# ${title}:\n${names.map((name) => `#   ${name}`).join('\n')}`)
  }
  const unexpected = [...failed].filter((name) => !knownRed.has(name))
  show(
    'known to fail, passed over (see KNOWN-RED.txt)',
    [...knownRed].filter((name) => failed.has(name)),
  )
  show(
    'listed in KNOWN-RED.txt, but did not fail',
    [...knownRed].filter((name) => !failed.has(name)),
  )
  show('failed', unexpected)
  process.exitCode = unexpected.length === 0 ? 0 : 1
})
