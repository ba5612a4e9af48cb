import assert from 'node:assert/strict'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { test } from 'node:test'
import { createDirectory, removeDirectory } from './process.js'
import { TestCluster } from './test-cluster.js'

// Guards against two changes that are both accepted on the same base version, and hosts that end with different versions.
test('when two operators apply at the same time, one is accepted and the other gets a conflict that names the version', async (context) => {
  const cluster = await TestCluster.start(context, { hosts: 2 })
  const directory = await createDirectory()
  context.after(() => removeDirectory(directory))
  const attempts = await Promise.all(
    cluster.hosts.map(async (host, index) => {
      const file = join(directory, `${String(index)}.toml`)
      await writeFile(
        file,
        cluster.document.replace('requestTimeoutMs = 3000', `requestTimeoutMs = ${String(2000 + index)}`),
      )
      return { file, host }
    }),
  )
  const results = await Promise.all(
    attempts.map(({ file, host }) => cluster.runCli(['apply', file, '--base-version', '1'], [host])),
  )

  assert.deepEqual(
    results.map(({ code }) => code).sort((a, b) => a - b),
    [0, 3],
    JSON.stringify(results),
  )
  const loser = results.find(({ code }) => code === 3)
  assert.match(loser?.err ?? '', /version 2/)
  await cluster.waitFor('version 2 on both hosts', async () => {
    const states = await Promise.all(cluster.hosts.map((host) => cluster.status(host)))
    return (
      states.every(({ configVersion }) => configVersion === 2) &&
      states[0]?.configHash === states[1]?.configHash
    )
  })
  const history = await cluster.runCli(['history', '--json'])
  const { versions } = JSON.parse(history.out) as { versions: { version: number | string }[] }
  assert.deepEqual(
    versions.map(({ version }) => Number(version)),
    [2, 1],
  )
})
