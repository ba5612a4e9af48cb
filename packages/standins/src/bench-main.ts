/** Command line of the load tool, `npm run bench`. It is not part of the checks that run for each change. */
import { execFileSync } from 'node:child_process'
import { mkdir, readFile, readdir, writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { DeploymentFile } from '@pimentotally/config'
import { SystemClock } from '@pimentotally/core'
import yargs from 'yargs'
import { BenchDeployment } from './bench-deployment.js'
import { runModel, type ModelResult } from './bench-model.js'
import { measureOverhead } from './bench-overhead.js'
import { modelLine, overheadLine, plot, resultLine, tables, type BenchRun } from './bench-report.js'
import { router, runScenario, type Policy, type ScenarioResult } from './bench-run.js'
import { scenarios } from './bench-scenarios.js'
import { Baseline } from './bench-senders.js'

/** Name of the run that measures the overhead of a daemon; see bench-overhead.ts. */
const overheadName = 'overhead'
/** Name of the run in virtual time of the policies that choose targets; see bench-model.ts. */
const policyName = 'policy'
const deployments = ['atap-batu', 'barlavento'] as const
const names = [...scenarios.map(({ name }) => name), overheadName, policyName]

const root = fileURLToPath(new URL('../../../', import.meta.url))
const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`)
}

const flags = await yargs(process.argv.slice(2))
  .options({
    only: { type: 'string', array: true, choices: names, default: names, describe: 'scenarios' },
    deployment: { type: 'string', array: true, choices: deployments, default: [...deployments] },
    seed: { type: 'number', default: 1 },
    'duration-ms': { type: 'number', default: 10_000, describe: 'duration of each scenario' },
    rate: { type: 'number', default: 1, describe: 'factor for the request rates' },
    'hosts-per-domain': { type: 'number', describe: 'by default 3 for atap-batu and 2 for barlavento' },
    'service-time': { type: 'string', default: 'uniform:10', describe: 'distribution:mean in ms' },
    'base-port': { type: 'number', default: 27_000, describe: 'first port of the platform and the hosts' },
    'port-offset': { type: 'number', default: 4000, describe: "added to the targets' ports" },
    'log-level': {
      type: 'string',
      choices: ['debug', 'info', 'warn', 'error'] as const,
      default: 'error' as const,
    },
    baselines: { type: 'boolean', default: true },
    label: { type: 'string', describe: 'stores the results under this name' },
  })
  .strict()
  .parse()

const clock = new SystemClock()
const { seed, durationMs, rate } = flags
/** Load that is sent before the first scenario: a cold target gets more slots only as its requests succeed. */
const warmUpMs = 5000

const hostsPerDomain = (name: (typeof deployments)[number]): number =>
  flags.hostsPerDomain ?? (name === 'atap-batu' ? 3 : 2)

const runDeployment = async (name: (typeof deployments)[number]): Promise<ScenarioResult[]> => {
  const chosen = scenarios.filter((scenario) => flags.only.includes(scenario.name))
  if (chosen.length === 0) return []
  const deployment = new BenchDeployment({
    document: await readFile(`${root}examples/${name}.toml`, 'utf8'),
    portOffset: flags.portOffset,
    basePort: flags.basePort,
    hostsPerDomain: hostsPerDomain(name),
    serviceTime: flags.serviceTime,
    logLevel: flags.logLevel,
    clock,
    seed,
    onLog: (line) => {
      process.stderr.write(`${line}\n`)
    },
  })
  const interrupt = (): void => {
    void deployment.stop().finally(() => process.exit(130))
  }
  process.once('SIGINT', interrupt).once('SIGTERM', interrupt)
  const results: ScenarioResult[] = []
  try {
    await deployment.start()
    const common = { deployment, clock, seed, rate }
    const warmUp = { name: 'warm-up', title: 'Warm-up' }
    await runScenario({ ...common, scenario: warmUp, policy: router, durationMs: warmUpMs })
    for (const scenario of chosen) {
      const compared = flags.baselines && scenario.baselines === true
      const policies: Policy[] = compared ? [router, ...Object.values(Baseline)] : [router]
      for (const policy of policies) {
        const result = await runScenario({ ...common, scenario, policy, durationMs })
        printLine(resultLine(result))
        results.push(result)
      }
    }
  } finally {
    process.off('SIGINT', interrupt).off('SIGTERM', interrupt)
    await deployment.stop()
  }
  return results
}

/** Virtual time for which each policy is simulated. */
const simulatedDurationMs = 70_000

const runPolicies = async (name: (typeof deployments)[number]): Promise<ModelResult[]> => {
  const deployment = DeploymentFile.parse(await readFile(`${root}examples/${name}.toml`, 'utf8'))
  const results: ModelResult[] = []
  for (const modelRate of [rate, 3 * rate]) {
    for (const policy of [router, ...Object.values(Baseline)] as const) {
      for (const stragglers of [false, true]) {
        const result = await runModel({
          ...{ deployment, policy, stragglers, seed, rate: modelRate, durationMs: simulatedDurationMs },
          hostsPerDomain: hostsPerDomain(name),
          meanServiceMs: 10,
        })
        printLine(modelLine(result))
        results.push(result)
      }
    }
  }
  return results
}

const storeRun = async (run: BenchRun): Promise<void> => {
  const directory = `${root}docs/measurements/`
  await mkdir(directory, { recursive: true })
  await writeFile(`${directory}${run.label}.json`, `${JSON.stringify(run, undefined, 1)}\n`)
  await writeFile(`${directory}${run.label}.svg`, plot(run))
  const files = (await readdir(directory)).filter((file) => file.endsWith('.json')).sort()
  const stored = await Promise.all(
    files.map(async (file) => JSON.parse(await readFile(directory + file, 'utf8')) as BenchRun),
  )
  // The part of the page above the marker is written by hand and kept.
  const page = `${root}docs/measurements.md`
  const marker = '<!-- Written by npm run bench from here on. -->'
  const text = await readFile(page, 'utf8').catch(() => '# Measurements\n\n')
  const handWritten = text.split(marker, 1)[0] ?? ''
  await writeFile(
    page,
    `${handWritten}${marker}\n\n${tables(stored.sort((a, b) => a.date.localeCompare(b.date)))}`,
  )
}

const results: ScenarioResult[] = []
for (const name of deployments)
  if (flags.deployment.includes(name)) results.push(...(await runDeployment(name)))
const policies: ModelResult[] = []
if (flags.only.includes(policyName)) {
  for (const name of deployments)
    if (flags.deployment.includes(name)) policies.push(...(await runPolicies(name)))
}
const overhead = flags.only.includes(overheadName)
  ? await measureOverhead({ basePort: flags.basePort, durationMs, clock })
  : undefined
if (overhead !== undefined) printLine(overheadLine(overhead))
if (flags.label !== undefined) {
  const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { cwd: root, encoding: 'utf8' }).trim()
  const command = ['npm run bench --', ...process.argv.slice(2)].join(' ')
  const date = new Date().toISOString().slice(0, 16)
  await storeRun({ date, label: flags.label, command, seed, commit, results, policies, overhead })
}
