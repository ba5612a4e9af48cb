/** Entry point of the stand-in target as a process of its own. */
import { appendFileSync } from 'node:fs'
import { pathToFileURL } from 'node:url'
import { Random, RouterError, SystemClock } from '@pimentotally/core'
import yargs from 'yargs'
import { VerifyingGrantChecker } from './verifying-grant-checker.js'
import { TargetServer } from './target-server.js'
import type { GrantChecker, ServiceTime } from './target-settings.js'

/** Parses a service time such as `fixed:5`, `uniform:5` or `exponential:5`; the number is the mean in milliseconds. */
export const parseServiceTime = (text: string): ServiceTime => {
  const match = /^(fixed|uniform|exponential):(\d+(?:\.\d+)?)$/.exec(text)
  if (match === null) {
    throw new RouterError(`"${text}" is not a service time such as fixed:5, uniform:5 or exponential:5`, {
      code: 'invalid_service_time',
      step: 'target.start',
    })
  }
  return { kind: match[1] as ServiceTime['kind'], ms: Number(match[2]) }
}

export interface TargetMainOptions {
  /** Creates the grant checker that is used with `--verify-grants`; by default one that holds grants in memory. */
  readonly createGrantChecker?: (instanceId: string) => GrantChecker
}

/** Starts a target that serves until SIGTERM. Rejects when a flag is wrong or an address cannot be bound. */
export const runTarget = async (
  args: readonly string[],
  { createGrantChecker = (instanceId) => new VerifyingGrantChecker(instanceId) }: TargetMainOptions = {},
): Promise<void> => {
  const flags = await yargs([...args])
    .options({
      host: { type: 'string', default: '127.0.0.1' },
      port: { type: 'number', default: 0 },
      'admin-port': { type: 'number', default: 0 },
      name: { type: 'string', demandOption: true },
      service: { type: 'string', demandOption: true },
      slots: { type: 'number', default: 6 },
      connections: { type: 'number', default: 120 },
      'service-time': { type: 'string', default: 'fixed:1', describe: 'distribution:mean in ms' },
      seed: { type: 'number', default: 1 },
      'verify-grants': { type: 'boolean', default: false },
      'cold-ms': { type: 'number', default: 0 },
      'cold-slots': { type: 'number', default: 1 },
      'run-log': { type: 'string', describe: 'file to which the identity of each run is appended as a line' },
    })
    .strict()
    .parse()
  const { runLog } = flags
  const server = new TargetServer({
    name: flags.name,
    service: flags.service,
    clock: new SystemClock(),
    random: new Random(flags.seed),
    host: flags.host,
    port: flags.port,
    adminPort: flags.adminPort,
    connections: flags.connections,
    coldMs: flags.coldMs,
    behaviour: {
      slots: flags.slots,
      coldSlots: flags.coldSlots,
      serviceTime: parseServiceTime(flags.serviceTime),
    },
    createGrantChecker: flags.verifyGrants ? createGrantChecker : undefined,
    onRun:
      runLog === undefined
        ? undefined
        : (identity) => {
            appendFileSync(runLog, `${identity}\n`)
          },
    onCrash: () => process.exit(1),
  })
  const addresses = await server.listen()
  process.once('SIGTERM', () => {
    server.close()
  })
  process.stdout.write(`${JSON.stringify({ event: 'listening', ...addresses })}\n`)
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) await runTarget(process.argv.slice(2))
