/**
 * Command line of the soak test: `node packages/standins/dist/gateway-soak-main.js --seeds 50 [--from SEED]
 * [--hosts 60]`.
 */
import { randomInt } from 'node:crypto'
import yargs from 'yargs'
import { runSoak } from './gateway-soak.js'

const args = await yargs(process.argv.slice(2))
  .option('seeds', { type: 'number', default: 5, describe: 'Number of seeds' })
  .option('from', { type: 'number', describe: 'First seed; a random one by default' })
  .option('faults', { type: 'number', default: 8, describe: 'Number of faults in the run of each seed' })
  .option('hosts', { type: 'number', default: 3, describe: 'Number of daemons in the run of each seed' })
  .strict()
  .parse()

const first = args.from ?? randomInt(1e6)
let failed = 0
for (let seed = first; seed < first + args.seeds; seed += 1) {
  const report = await runSoak({ seed, faults: args.faults, hosts: args.hosts })
  if (report.violations.length > 0) failed += 1
  process.stdout.write(`${JSON.stringify(report)}\n`)
}
process.stdout.write(`${String(args.seeds)} seeds from ${String(first)}, ${String(failed)} with violations\n`)
process.exitCode = failed > 0 ? 1 : 0
