import assert from 'node:assert/strict'
import { request } from 'node:http'
import { test } from 'node:test'
import { TestCluster } from './test-cluster.js'

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

// Guards against a planned stop that cuts off a response in progress.
test('a download that is in progress at SIGTERM is completed, and the daemon exits with code 0', async (context) => {
  const cluster = await TestCluster.start(context, { hosts: 2 })
  const [host] = cluster.hosts
  assert.ok(host !== undefined)
  // Much more than all socket buffers on the way hold, so the download cannot end while the caller does not read.
  const bytes = 64 * 1024 * 1024
  const received = await new Promise<number>((resolve, reject) => {
    const call = request(
      `http://${host.addresses.callers}/notes/a/big?bytes=${String(bytes)}`,
      { agent: false },
      (response) => {
        let count = 0
        response.on('error', reject)
        response.on('data', (chunk: Buffer) => (count += chunk.length))
        response.on('end', () => {
          resolve(response.complete ? count : -1)
        })
        response.once('data', () => {
          response.pause()
          host.child.signal('SIGTERM')
          void wait(1500).then(() => {
            assert.ok(host.child.isRunning, 'the daemon exited during the download')
            response.resume()
          })
        })
      },
    )
    call.on('error', reject)
    call.end()
  })
  assert.equal(received, bytes)
  assert.equal(await host.child.exited, 0)
})

// Guards against a second run when the host that sent a booking to a target is lost before it passed on the response.
test('a deposit that is sent again through another host after its first host was killed runs only once', async (context) => {
  const cluster = await TestCluster.start(context, {
    hosts: 3,
    depositTargets: 2,
    targetArgs: (_, { name }) => (name === 'deposits' ? ['--service-time', 'fixed:1500'] : []),
  })
  const [first, second, third] = cluster.hosts
  assert.ok(first !== undefined && second !== undefined && third !== undefined)
  // A first deposit sets up the connections on the way, so the deposit below reaches a target soon.
  assert.equal((await cluster.deposit(first, 'warm')).kind, 'answer')

  const sent = cluster.deposit(first, 'lost')
  await cluster.waitFor('the deposit to run', async () => (await cluster.runsOf('lost')) === 1)
  first.child.signal('SIGKILL')
  assert.equal((await sent).kind, 'cut')
  for (const host of [second, third, second]) {
    const seen = await cluster.deposit(host, 'lost')
    assert.ok(
      seen.kind === 'unknown' || (seen.kind === 'notRun' && seen.code === 'request_in_progress'),
      JSON.stringify(seen),
    )
    await wait(1000)
  }
  assert.equal(await cluster.runsOf('lost'), 1)
})
