// Runs every compiled test file with node's test runner, except those listed in KNOWN-RED.txt.
// Arguments narrow the run to files whose path contains one of them.
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'

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
const knownRed = existsSync('KNOWN-RED.txt')
  ? [...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^test: (.+)$/gm)].map((match) => match[1])
  : []
if (knownRed.length > 0) {
  process.stdout.write(
    `known failing tests, not run (see KNOWN-RED.txt):\n${knownRed.map((name) => `  ${name}\n`).join('')}`,
  )
}
const escape = (text) => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')
const skip = knownRed.length > 0 ? [`--test-name-pattern=^(?!(?:${knownRed.map(escape).join('|')})$)`] : []
const args = ['--test', '--test-concurrency=4', ...skip, ...files]
const result = spawnSync(process.execPath, args, { stdio: 'inherit' })
process.exit(result.status ?? 1)
