/** Command line of `npm run slopes`: takes the measurements for docs/CAPACITY.md and writes docs/measurements/. */
import { loadavg } from 'node:os'
import { fileURLToPath } from 'node:url'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { measureEvents } from './slopes-events.js'
import { measureHosts, measureShards, measureTargets } from './slopes-idle.js'
import { measureGossip, measureState } from './slopes-memory.js'
import { measureRequests } from './slopes-requests.js'
import { SlopeResults } from './slopes-results.js'

const flags = await yargs(hideBin(process.argv))
  .scriptName('slopes')
  .strict()
  .options({
    runs: { type: 'number', default: 3, describe: 'runs of each point' },
    'base-port': {
      type: 'number',
      default: 13_000,
      describe: 'first of 1000 ports on the loopback interface',
    },
    'settle-ms': { type: 'number', default: 4000, describe: 'waiting time before the first window' },
    'window-ms': { type: 'number', default: 3000, describe: 'length of a measuring window' },
    only: { type: 'string', describe: 'one part: state, gossip, hosts, targets, shards, requests or events' },
    out: { type: 'string', default: fileURLToPath(new URL('../../../docs/measurements/', import.meta.url)) },
    note: {
      type: 'string',
      default: '',
      describe: 'stored in the JSON, for example what else the machine ran',
    },
  })
  .parseAsync()

const { runs, basePort, settleMs, windowMs } = flags
const options = { basePort, runs, settleMs, windowMs }
const results = new SlopeResults()
const parts: Record<string, () => Promise<void> | void> = {
  state: () => {
    measureState(results, runs)
  },
  gossip: () => measureGossip(results, runs),
  hosts: () => measureHosts(results, options),
  targets: () => measureTargets(results, options),
  shards: () => measureShards(results, options),
  requests: () => measureRequests(results, options),
  events: () => measureEvents(results, options),
}
const startedAt = performance.now()
const seconds = (): number => (performance.now() - startedAt) / 1000
for (const [name, measure] of Object.entries(parts)) {
  if (flags.only !== undefined && flags.only !== name) continue
  await measure()
  const load = loadavg()[0] ?? 0
  process.stdout.write(`${name}: done after ${seconds().toFixed(0)} s, load average ${load.toFixed(1)}\n`)
}
await results.write(flags.out, seconds(), flags.note)
process.stdout.write(`${String(results.slopes().length)} slopes written\n`)
