// Runs the compiled test files with the test runner of Node.js: those whose path contains one of the arguments, or all
// without arguments. Failures of tests that KNOWN-RED.txt lists are printed, but do not fail the run. A file whose
// process does not end, such as one that leaves a connection open, fails under its path.
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
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
const results = run({ files, concurrency: 4, timeout: fileTimeoutMs })
results.on('test:fail', ({ name, todo, skip }) => {
  if (todo === undefined && skip === undefined) failed.add(name)
})
results.compose(tap).pipe(process.stdout)
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
