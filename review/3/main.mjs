/**
 * A share of the upstreams spoils a share of its answers, by writing one wrong byte into the head: a space in
 * the name of a header field, or a status code below 100. Such bytes are not a response. Every request must
 * still get an answer at its route's timeout at the latest.
 */
import { Balancer, newId, send } from '../lib/client.mjs'
import { Record } from '../lib/record.mjs'
import { Store } from '../lib/store.mjs'
import { System, configuration, sleep } from '../lib/system.mjs'
import { Upstream } from '../lib/upstream.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const zones = ['a', 'b', 'c']
const deadlineMs = 2500
const timeoutMs = 1200
const intervalMs = 12
const calmMs = 3500
const troubleMs = 20_000
const restMs = 1000
/** Largest dose of the site file for spoiled answers: 0.6 of the upstreams, 0.03 of their answers. */
const spoilingShare = 0.6
const spoiltEvery = 34
/** The rule: eight or more requests, and more than a quarter of those that reach the timeout. */
const leastHeld = 8

const record = new Record(new URL('record.txt', import.meta.url))

const head = (status, fields) =>
  `HTTP/1.1 ${status}\r\n${Object.entries(fields)
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('')}\r\n`

const spoilers = [
  ({ fields, body }) => head('200 OK', fields).replace('X-Instance-Load', 'X Instance-Load') + body,
  ({ fields, body }) => head('020 OK', fields) + body,
]

const main = async () => {
  const store = await Store.start()
  const upstreams = []
  for (const service of ['deposits', 'slate-prices']) {
    for (const [index, zone] of [...zones, ...zones].entries()) {
      const id = `i-${service}-${index + 1}`
      const workMs = service === 'deposits' ? 210 : 64
      upstreams.push(await Upstream.start({ store, id, service, zone, workMs }))
    }
  }
  const times = { timeout: `${timeoutMs}ms`, targetLatency: '600ms', priority: 1, maxAttempts: 2 }
  const routes = [
    { name: 'deposit-confirm', prefix: '/deposits/', type: 'unsafe', service: 'deposits', ...times },
    { name: 'price-check', prefix: '/prices/', type: 'safe', service: 'slate-prices', ...times },
  ]
  store.write('op', 'config', configuration(1, [{ name: 'deposits' }, { name: 'slate-prices' }], routes))
  const system = await System.start({ store, zones })
  const balancer = new Balancer(system.daemons)
  const seen = []
  const pending = []
  let isOver = false
  const traffic = (async () => {
    for (let turn = 0; !isOver; turn += 1) {
      const id = newId()
      const daemon = balancer.pick(zones[turn % zones.length])
      const request =
        Math.floor(turn / zones.length) % 2 === 0
          ? { method: 'POST', path: `/deposits/${id}`, body: `pay ${id}` }
          : { method: 'GET', path: `/prices/${id}` }
      pending.push(send(daemon, { ...request, id, deadlineMs }).then((result) => seen.push(result)))
      await sleep(intervalMs)
    }
  })()
  await sleep(calmMs)
  record.line('upstreams begin to spoil answers')
  const spoiling = upstreams.filter((_, index) => index % 6 < Math.floor(6 * spoilingShare))
  let spoilt = 0
  if (hasTrouble) {
    for (const upstream of spoiling) {
      let answers = 0
      upstream.spoil = (answer) => {
        answers += 1
        if (answers % spoiltEvery !== 0) return undefined
        spoilt += 1
        return spoilers[spoilt % spoilers.length](answer)
      }
    }
  }
  await sleep(troubleMs)
  for (const upstream of spoiling) upstream.spoil = () => undefined
  record.line('upstreams answer soundly again')
  await sleep(restMs)
  isOver = true
  await traffic
  await Promise.all(pending)
  balancer.stop()

  const spoiledIds = new Set(upstreams.flatMap(({ spoiled }) => [...spoiled]))
  const ranIds = new Set(
    upstreams.flatMap(({ arrivals }) => arrivals.filter(({ ran }) => ran)).map(({ id }) => id),
  )
  for (const { id, path, daemon, startedMs, outcome, status, tookMs } of seen) {
    const what = spoiledIds.has(id) ? ', its answer was spoiled' : ''
    const run = ranIds.has(id) ? 'ran' : 'did not run'
    const sent = `${path.split('/')[1]} ${id} to ${daemon}`
    record.line(`${sent}: ${outcome} ${status} after ${tookMs.toFixed(0)} ms, ${run}${what}`, startedMs)
  }
  const atTimeout = seen.filter(({ tookMs }) => tookMs >= timeoutMs)
  const held = atTimeout.filter(({ tookMs }) => tookMs > timeoutMs + 500)
  const never = held.filter(({ outcome }) => outcome !== 'answered')
  const isUnsafe = ({ path }) => path.startsWith('/deposits/')
  record.print(`requests ${seen.length}, with a spoiled answer ${spoiledIds.size}`)
  record.print(`unanswered at the route's timeout: ${atTimeout.length}`)
  record.print(`CONFIG: of these, still without an answer half a second later: ${held.length}`)
  record.print(
    `never answered: ${never.length}, of these deposits that ran: ${never.filter(isUnsafe).filter(({ id }) => ranIds.has(id)).length}`,
  )
  const thrown = system.daemons
    .flatMap(({ lines }) => lines)
    .filter((line) => line.includes('process.uncaught'))
  record.print(`uncaught errors in the daemons' logs: ${thrown.length}`)
  for (const line of thrown.slice(0, 4)) record.line(`daemon: ${JSON.stringify(JSON.parse(line).error)}`)
  await system.stop()
  for (const upstream of upstreams) upstream.exit()
  store.close()
  const isCalm = seen.filter(({ status }) => status === 200).length > seen.length / 2
  if (!isCalm || system.daemons.some(({ starts }) => starts > 1)) return 2
  return held.length >= leastHeld && held.length > atTimeout.length / 4 ? 1 : 0
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
