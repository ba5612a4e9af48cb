import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Forwarder } from './forwarder.js'
import { TestCluster, portOffset } from './test-cluster.js'

const keys = Array.from({ length: 12 }, (_, index) => `key-${String(index)}`)

/** Starts a deployment whose platform and first target of each service are reached through forwarders. */
const startForwarded = async (
  context: TestContext,
): Promise<{ cluster: TestCluster; forwarders: Forwarder[] }> => {
  const forwarders: Forwarder[] = []
  context.after(() => Promise.all(forwarders.map((forwarder) => forwarder.close())))
  const forward = async (basePort: number, from: number, to: number): Promise<void> => {
    const target = `127.0.0.1:${String(basePort + to)}`
    forwarders.push(await Forwarder.start({ target, port: basePort + from }))
  }
  const { free, notes, deposits, platform } = portOffset
  const cluster = await TestCluster.start(context, {
    hosts: 2,
    beforeStart: async (basePort) => {
      await forward(basePort, free, platform)
      await forward(basePort, notes, free + 1)
      await forward(basePort, deposits, free + 2)
    },
    platformAddressFor: (_, address) => {
      const [host = '', port = ''] = address.split(':')
      return `${host}:${String(Number(port) + free)}`
    },
    targetPortFor: ({ name }, port) => {
      if (name === 'notes-1') return port - notes + free + 1
      return name === 'deposits-1' ? port - deposits + free + 2 : port
    },
  })
  return { cluster, forwarders }
}

// Guards against a daemon that waits for ever on a connection that stays open but carries no more bytes.
test('connections to the platform and to targets that go silent are replaced', async (context) => {
  const { cluster, forwarders } = await startForwarded(context)
  const [host, other] = cluster.hosts
  assert.ok(host !== undefined && other !== undefined)
  await cluster.waitForKeys(host, keys)
  await cluster.waitForKeys(other, keys)
  assert.equal((await cluster.deposit(host, 'before')).kind, 'answer')

  for (const forwarder of forwarders) forwarder.silence()
  await cluster.waitForKeys(host, keys)
  await cluster.waitForKeys(other, keys)
  await cluster.waitFor('deposits through both hosts', async () => {
    const seen = await Promise.all(
      [host, other].map((through) => cluster.deposit(through, `after-${through.name}-${String(Date.now())}`)),
    )
    return seen.every((one) => one.kind === 'answer' && one.status === 200)
  })

  const records = await Promise.all(cluster.targets.map((target) => cluster.record(target)))
  const bookedTwice = records.flatMap(({ runs }) =>
    Object.entries(runs).filter(([identity, count]) => identity !== '' && count > 1),
  )
  assert.deepEqual(bookedTwice, [])
  assert.deepEqual(await cluster.keysServedByTwoTargets(), [])
})
