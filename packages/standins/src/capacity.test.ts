import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { fitLine, median } from './slopes-fit.js'

const path = (name: string): string => fileURLToPath(new URL(`../../../${name}`, import.meta.url))
const check = (...args: string[]): { status: number | null; stderr: string } =>
  spawnSync(process.execPath, [path('scripts/check-capacity.mjs'), ...args], { encoding: 'utf8' })

test('the tables of the capacity page are those that the stored measurements give', () => {
  // Guards against tables that were edited by hand, and against new measurements without an update of the page.
  const { status, stderr } = check()
  assert.equal(status, 0, stderr)
})

test('the check fails for a page whose table differs from the measurements', async () => {
  // Guards against a check that passes for any page.
  const directory = await mkdtemp(join(tmpdir(), 'pimentotally-capacity-'))
  try {
    const page = await readFile(path('docs/CAPACITY.md'), 'utf8')
    const changed = join(directory, 'CAPACITY.md')
    await writeFile(changed, page.replace(/(<!-- table: bytes -->[\s\S]*?)\d(?=[^\d]*<!-- end -->)/, '$1x'))
    assert.notEqual(await readFile(changed, 'utf8'), page)
    assert.equal(check(changed).status, 1)
  } finally {
    await rm(directory, { recursive: true, force: true })
  }
})

test('a line is fitted to the medians of the runs, and the standard error of its slope is right', () => {
  // Guards against slopes that a single outlier run changes, and against a wrong standard error.
  const exact = [1, 2, 3, 4].map((x) => ({ x, runs: [2 * x + 1, 2 * x + 1, 900] }))
  const { slope, intercept, slopeError } = fitLine(exact)
  assert.deepEqual([slope, intercept, slopeError], [2, 1, 0])
  // Residuals 0.5, -1, 0.5 leave one degree of freedom: sqrt(1.5 / 1 / 2).
  const scattered = [1.5, 1, 3.5].map((y, index) => ({ x: index + 1, runs: [y] }))
  assert.ok(Math.abs(fitLine(scattered).slopeError - Math.sqrt(0.75)) < 1e-12)
  assert.equal(median([4, 1, 3, 2]), 2.5)
  assert.throws(() => fitLine(exact.slice(0, 2)), RangeError)
})
