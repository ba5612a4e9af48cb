/**
 * An upstream leaves as planned while the platform's store is down, so that only its answers say so.
 * No daemon may send it a request of a client later than `drain` after it has passed on such an answer.
 */
import { Balancer, newId, send } from '../lib/client.mjs'
import { Record } from '../lib/record.mjs'
import { Store } from '../lib/store.mjs'
import { System, configuration, sleep } from '../lib/system.mjs'
import { Upstream, leaseMs } from '../lib/upstream.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const zones = ['a', 'b', 'c']
const deadlineMs = 2500
const intervalMs = 15
const calmMs = 5000
/** Longest outage of the whole store in the site file; the leases of the entries run out meanwhile. */
const outageMs = 8000
const leavesAfterMs = 500
const restMs = 4000
const drainMs = 2000
/** The upstream goes on serving for `drain` after its entry has been removed, and a little longer. */
const servingMs = drainMs + 1000

const record = new Record(new URL('record.txt', import.meta.url))

const main = async () => {
  const store = await Store.start()
  const upstreams = []
  for (const [index, zone] of [...zones, ...zones].entries()) {
    const id = `i-deposits-${index + 1}`
    upstreams.push(await Upstream.start({ store, id, service: 'deposits', zone, workMs: 210 }))
  }
  const times = { timeout: '1200ms', targetLatency: '600ms', priority: 1, maxAttempts: 2 }
  const route = {
    name: 'deposit-confirm',
    prefix: '/deposits/',
    type: 'unsafe',
    service: 'deposits',
    ...times,
  }
  store.write('op', 'config', configuration(1, [{ name: 'deposits' }], [route]))
  const system = await System.start({ store, zones })
  const balancer = new Balancer(system.daemons)
  const seen = []
  const pending = []
  let isOver = false
  const traffic = (async () => {
    for (let turn = 0; !isOver; turn += 1) {
      const id = newId()
      const daemon = balancer.pick(zones[turn % zones.length])
      const sent = send(daemon, {
        method: 'POST',
        path: `/deposits/${id}`,
        id,
        deadlineMs,
        body: `pay ${id}`,
      })
      pending.push(sent.then((result) => seen.push(result)))
      await sleep(intervalMs)
    }
  })()
  await sleep(calmMs)
  const [leaving] = upstreams
  if (hasTrouble) {
    record.line('the store is down')
    store.isSilent = true
    setTimeout(() => {
      record.line('the leases of the entries have run out')
      for (const upstream of upstreams) upstream.lapse()
    }, leaseMs)
    setTimeout(() => {
      store.isSilent = false
      record.line('the store is back')
    }, outageMs)
  }
  await sleep(leavesAfterMs)
  record.line(`${leaving.id} leaves, and says so in its answers`)
  void leaving.leave(servingMs).then(() => record.line(`the entry of ${leaving.id} is removed`))
  await sleep(outageMs + restMs)
  isOver = true
  await traffic
  await Promise.all(pending)
  balancer.stop()

  const arrivals = new Map(leaving.arrivals.map((each) => [each.id, each]))
  const heardMs = new Map()
  for (const { daemon, startedMs, tookMs, headers } of seen) {
    if (headers['server-leaving'] !== '1' || headers['x-instance-id'] !== leaving.id) continue
    heardMs.set(daemon, Math.min(heardMs.get(daemon) ?? Infinity, startedMs + tookMs))
  }
  for (const [daemon, ms] of heardMs)
    record.line(`${daemon} has passed on the first answer with Server-Leaving`, ms)
  const late = seen.filter(
    ({ id, daemon, startedMs }) =>
      arrivals.has(id) && startedMs > (heardMs.get(daemon) ?? Infinity) + drainMs,
  )
  for (const { id, daemon, startedMs, outcome, status } of seen) {
    if (!arrivals.has(id)) continue
    const afterMs = startedMs - (heardMs.get(daemon) ?? Infinity)
    const after = afterMs > 0 ? `, sent ${afterMs.toFixed(0)} ms after ${daemon} had heard` : ''
    record.line(`${id} by ${daemon} to ${leaving.id}: ${outcome} ${status}${after}`, startedMs)
  }
  const longest = Math.max(0, ...late.map(({ daemon, startedMs }) => startedMs - heardMs.get(daemon)))
  record.print(
    `requests ${seen.length}, answered with success ${seen.filter(({ status }) => status === 200).length}`,
  )
  record.print(
    `daemons that have passed on an answer with Server-Leaving: ${heardMs.size} of ${system.daemons.length}`,
  )
  record.print(
    `DRAIN: requests that reached ${leaving.id} later than ${drainMs} ms after that: ${late.length}`,
  )
  record.print(`the latest was sent ${longest.toFixed(0)} ms after it`)
  const lost = seen.filter(
    ({ id, status }) => arrivals.get(id)?.ran && arrivals.get(id).answered === undefined && status !== 200,
  )
  record.print(`deposits that ran there and whose answer was lost when it ended: ${lost.length}`)
  const hasRestarted = system.daemons.some(({ starts }) => starts > 1)
  await system.stop()
  for (const upstream of upstreams) upstream.exit()
  store.close()
  return hasRestarted || (hasTrouble && heardMs.size === 0) ? 2 : late.length > 0 ? 1 : 0
}

main().then(
  (code) => {
    record.print(`exit code ${code}`)
    record.save()
    process.exit(code)
  },
  (error) => {
    record.print(`could not run: ${error.message}`)
    record.save()
    process.exit(2)
  },
)
