/**
 * A share of the upstreams spoils a share of its answers: one byte of the head is wrong, so that the answer has
 * no `X-Response-Signature`. No client may get a success without the upstream's signature.
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

const record = new Record(new URL('record.txt', import.meta.url))

const head = (status, fields) =>
  `HTTP/1.1 ${status}\r\n${Object.entries(fields)
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('')}\r\n`

const spoilAnswer = ({ fields, body }) =>
  head('200 OK', fields).replace('X-Response-Signature', 'X-Response-Signaturf') + body

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
  if (hasTrouble) {
    for (const upstream of spoiling) {
      let answers = 0
      upstream.spoil = (answer) => {
        answers += 1
        if (answers % spoiltEvery !== 0) return undefined
        return spoilAnswer(answer)
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
  const unsigned = seen.filter(
    ({ status, headers }) => status === 200 && headers['x-response-signature'] === undefined,
  )
  const isUnsafe = ({ path }) => path.startsWith('/deposits/')
  for (const { id, path, startedMs, tookMs } of unsigned) {
    record.line(`MIXED: ${path.split('/')[1]} ${id} got 200 without a signature`, startedMs + tookMs)
  }
  record.print(`requests ${seen.length}, with a spoiled answer ${spoiledIds.size}`)
  record.print(`MIXED: clients that got a success without a signature: ${unsigned.length}`)
  record.print(`  of these for deposits: ${unsigned.filter(isUnsafe).length}`)
  await system.stop()
  for (const upstream of upstreams) upstream.exit()
  store.close()
  const isCalm = seen.filter(({ status }) => status === 200).length > seen.length / 2
  if (!isCalm || system.daemons.some(({ starts }) => starts > 1)) return 2
  return unsigned.length > 0 ? 1 : 0
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
