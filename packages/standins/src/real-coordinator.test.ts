import assert from 'node:assert/strict'
import { test } from 'node:test'
import { TestCluster } from './test-cluster.js'

const keys = Array.from({ length: 12 }, (_, index) => `key-${String(index)}`)
const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

/** Longer than a lease, which is valid for 900 ms. */
const longerThanLeaseMs = 2500

// Guards against a paused coordinator or target that goes on with an expired lease after it was resumed.
test('a coordinator and a target that were paused for longer than a lease serve no key that has a new owner', async (context) => {
  const cluster = await TestCluster.start(context)
  const coordinator = await cluster.coordinator('jb')
  const survivor = cluster.hosts.find((host) => host !== coordinator)
  assert.ok(survivor !== undefined)
  await cluster.waitForKeys(survivor, keys)
  const owner = await cluster.owner('notes', keys[0] ?? '')
  const frozen = cluster.targets.find(({ spec }) => spec.name === owner)
  assert.ok(frozen !== undefined)

  coordinator.child.signal('SIGSTOP')
  frozen.child.signal('SIGSTOP')
  await wait(longerThanLeaseMs)
  await cluster.waitForKeys(survivor, keys)
  coordinator.child.signal('SIGCONT')
  frozen.child.signal('SIGCONT')
  for (let round = 0; round < 20; round += 1) {
    await Promise.all(
      keys.flatMap((key) =>
        [coordinator, survivor].map((host) => cluster.call(host, `/notes/${key}/${String(round)}`)),
      ),
    )
  }

  assert.deepEqual(await cluster.keysServedByTwoTargets(), [])
  await cluster.waitFor('the paused host to follow', async () => {
    const [own, other] = await Promise.all([cluster.status(coordinator), cluster.status(survivor)])
    return own.cells[0]?.term === other.cells[0]?.term && own.cells[0]?.coordinatorHostId !== ''
  })
  await cluster.waitForKeys(coordinator, keys)
  const states = await Promise.all(cluster.hosts.map((host) => cluster.status(host)))
  assert.deepEqual(
    states.map(({ invariantViolations }) => invariantViolations),
    [0, 0, 0],
  )
})

// Guards against a failover that works only while the platform is reachable.
test('keys are served again when the coordinator is killed during a platform outage', async (context) => {
  const cluster = await TestCluster.start(context)
  const coordinator = await cluster.coordinator('jb')
  const survivor = cluster.hosts.find((host) => host !== coordinator)
  assert.ok(survivor !== undefined)
  await cluster.waitForKeys(survivor, keys)

  await cluster.setPlatformFaults({ unavailable: 1 })
  coordinator.child.signal('SIGKILL')
  await coordinator.child.exited
  await cluster.waitForKeys(survivor, keys)
  const refused = await cluster.deposit(survivor, 'during-outage')
  assert.equal(refused.kind, 'notRun')
  assert.equal(await cluster.runsOf('during-outage'), 0)

  await cluster.setPlatformFaults({ unavailable: 0 })
  await cluster.waitFor('deposits after the outage', async () => {
    const seen = await cluster.deposit(survivor, 'during-outage')
    return seen.kind === 'answer' && seen.status === 200
  })
  assert.equal(await cluster.runsOf('during-outage'), 1)
  assert.deepEqual(await cluster.keysServedByTwoTargets(), [])
})
