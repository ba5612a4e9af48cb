/**
 * Clients that wait for as long as a 32-bit number of milliseconds can say download reports on kept connections. Each
 * of them must get the whole answer of its sound upstream.
 */
import http from 'node:http'
import { Daemon, Store, freePorts, isTroubled, runCase, sleep } from '../lib-2/stand-ins.mjs'
import { Upstream, configuration, signatureOf } from '../lib-2/upstream.mjs'

const hostname = 'hulo84.example'
const clientCount = 4
const downloadsPerClient = 5
/** A client sends a request once, and once more after a failure. */
const attempts = 2
const deadlineMs = isTroubled ? 2_147_483_647 : 1500
/** Between the mean and the largest report of the users' sheet, written in parts. */
const reportBytes = 270_000
const parts = 3
const partDelayMs = 65
/** The rule allows three. */
const allowedLost = 3

await runCase(import.meta.url, async ({ record, directory, atEnd }) => {
  const store = new Store()
  await store.listen()
  atEnd(() => store.close())
  const route = { name: 'r-reports', prefix: '/reports/', type: 'download', service: 'report-files' }
  const routes = [{ ...route, timeout: '1500ms', targetLatency: '400ms', priority: 2, maxAttempts: 2 }]
  store.put('op', 'config', configuration({ services: [{ name: 'report-files' }], routes }))
  const report = Buffer.alloc(reportBytes, 'report ')
  for (let index = 0; index < 4; index += 1) {
    const upstream = new Upstream({
      id: `i-${index}`,
      service: 'report-files',
      store,
      work: async (request, body, response) => {
        const id = request.headers['x-request-id']
        record.line(`${upstream.id} runs ${id}`)
        response.writeHead(200, {
          ...upstream.headers(request),
          'x-response-signature': signatureOf(id, report),
          'content-length': report.length,
        })
        for (let part = 0; part < parts; part += 1) {
          const from = (report.length / parts) * part
          response.write(report.subarray(from, from + report.length / parts))
          await sleep(partDelayMs)
        }
        const isLost = response.destroyed
        response.end()
        record.line(`${upstream.id} has ${isLost ? 'lost the connection of' : 'answered'} ${id}`)
      },
    })
    await upstream.listen()
    atEnd(() => upstream.close())
  }
  const ports = await freePorts(12)
  const daemon = new Daemon({ directory, name: 'front-kl-a-1', ports, storeAddress: store.address })
  daemon.start()
  atEnd(() => daemon.end())
  await daemon.waitUntilReady()
  await sleep(1000)

  /** Resolves to the bytes of the body, and whether the answer was whole. */
  const download = (agent, id) =>
    new Promise((resolve) => {
      const headers = { host: hostname, 'x-request-id': id, 'x-deadline-ms': String(deadlineMs) }
      const target = { host: daemon.ip, port: daemon.port, path: '/reports/1', agent, headers }
      const request = http.get(target, (response) => {
        let bytes = 0
        const end = () =>
          resolve({ status: response.statusCode, bytes, isWhole: response.complete && bytes === reportBytes })
        response.on('data', (chunk) => (bytes += chunk.length))
        response.on('error', end).on('end', end)
      })
      request.on('error', (error) => resolve({ status: error.code, bytes: 0, isWhole: false }))
    })
  let cut = 0
  let neverServed = 0
  const client = async (name) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    for (let count = 0; count < downloadsPerClient; count += 1) {
      let isServed = false
      for (let attempt = 1; attempt <= attempts && !isServed; attempt += 1) {
        const id = `${name}-${count}-${attempt}`
        const { status, bytes, isWhole } = await download(agent, id)
        record.line(
          `${id}: ${status}, ${bytes} of ${reportBytes} bytes, ${isWhole ? 'whole' : 'connection closed'}`,
        )
        isServed = isWhole
        if (!isWhole && status === 200) cut += 1
        await sleep(50)
      }
      if (!isServed) neverServed += 1
    }
    agent.destroy()
  }
  await Promise.all(Array.from({ length: clientCount }, (_, index) => client(`client-${index}`)))
  record.line(
    `connections closed without a whole answer: ${cut}; downloads never served: ${neverServed} of ${clientCount * downloadsPerClient}`,
  )
  return cut > allowedLost
})
