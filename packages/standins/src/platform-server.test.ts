import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { createInterface } from 'node:readline'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { HttpHostList, HttpObjectStore, PlatformHttpClient, HttpTable } from '@pimentotally/storage'
import { describePlatform } from '@pimentotally/storage/testing'
import { Forwarder } from './forwarder.js'
import { PlatformServer, type PlatformCounters } from './platform-server.js'

const post = async (
  adminAddress: string,
  path: string,
  body: unknown = {},
  method = 'POST',
): Promise<void> => {
  const response = await fetch(`http://${adminAddress}${path}`, { method, body: JSON.stringify(body) })
  assert.equal(response.status, 200)
  await response.arrayBuffer()
}

describePlatform('the HTTP platform', async () => {
  const server = await PlatformServer.start()
  const platform = new PlatformHttpClient({ address: server.address })
  return {
    table: new HttpTable(platform),
    objects: new HttpObjectStore(platform),
    hosts: new HttpHostList(platform),
    setFaults: (policy) => post(server.adminAddress, '/faults', policy),
    setHosts: async (hosts, hostListLagMs) => {
      await post(server.adminAddress, '/faults', { hostListLagMs })
      await post(server.adminAddress, '/hosts', hosts, 'PUT')
    },
    close: async () => {
      platform.close()
      await server.close()
    },
  }
})

const write = (table: HttpTable, key: string, timeoutMs: number) =>
  table.transact({ writeId: key, conditions: [], puts: [{ key, value: '1' }] }, { timeoutMs })

test('a write without a connection is unavailable, a write on a silent connection is unknown, and the next one works', async () => {
  const server = await PlatformServer.start()
  const forwarder = await Forwarder.start({ target: server.address })
  const platform = new PlatformHttpClient({ address: forwarder.address })
  const table = new HttpTable(platform)
  try {
    assert.ok((await write(table, 'a/1', 10_000)).isOk)
    await post(forwarder.adminAddress, '/silence')
    const silent = await write(table, 'a/2', 60)
    assert.ok(silent.isErr && silent.error.code === 'unknown')
    assert.ok((await write(table, 'a/3', 10_000)).isOk)
    await post(forwarder.adminAddress, '/cut/toSource')
    const oneWay = await write(table, 'a/4', 500)
    assert.ok(oneWay.isErr && oneWay.error.code === 'unknown')
    await post(forwarder.adminAddress, '/restore')
    const keys = (await table.scan('a/')).unwrapOr([]).map(({ key }) => key)
    assert.deepEqual(keys, ['a/1', 'a/3', 'a/4'])
    await post(forwarder.adminAddress, '/cut')
    await forwarder.close()
    const refused = await write(table, 'a/5', 10_000)
    assert.ok(refused.isErr && refused.error.code === 'unavailable')
    const response = await fetch(`http://${server.adminAddress}/counters`)
    assert.deepEqual(((await response.json()) as PlatformCounters)['a'], { reads: 1, writes: 3 })
  } finally {
    platform.close()
    await server.close()
  }
})

test('the forwarder passes on a whole stream and the response to it after the sender closed its direction', async () => {
  const echo = createServer({ allowHalfOpen: true }, (socket) => socket.pipe(socket))
  await new Promise<void>((resolve) => echo.listen(0, '127.0.0.1', resolve))
  const target = `127.0.0.1:${String((echo.address() as AddressInfo).port)}`
  const forwarder = await Forwarder.start({ target })
  const socket: Socket = connect(Number(forwarder.address.split(':')[1]), '127.0.0.1')
  const sent = Buffer.alloc(2_000_000, 'x')
  socket.end(sent)
  let received = 0
  for await (const chunk of socket) received += (chunk as Buffer).length
  assert.equal(received, sent.length)
  await forwarder.close()
  echo.close()
})

for (const [main, args] of [
  ['platform-main.js', []],
  ['forwarder-main.js', ['--target', '127.0.0.1:1']],
] as const) {
  test(`${main} prints its addresses when it listens, and exits with code 0 on SIGTERM`, async () => {
    const path = fileURLToPath(new URL(main, import.meta.url))
    const child = spawn(process.execPath, [path, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
    const [line] = (await once(createInterface(child.stdout), 'line')) as [string]
    const ready = JSON.parse(line) as Record<string, string>
    assert.equal(ready['event'], 'listening')
    assert.match(
      `${ready['address'] ?? ''} ${ready['adminAddress'] ?? ''}`,
      /^127\.0\.0\.1:\d+ 127\.0\.0\.1:\d+$/,
    )
    child.kill('SIGTERM')
    const [code] = (await once(child, 'exit')) as [number | null]
    assert.equal(code, 0)
  })
}
