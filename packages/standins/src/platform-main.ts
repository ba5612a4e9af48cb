/** Entry point of the stand-in platform as a process of its own. */
import { readFileSync } from 'node:fs'
import type { HostListEntry } from '@pimentotally/storage'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { PlatformServer } from './platform-server.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('platform')
  .strict()
  .options({
    host: { type: 'string', default: '127.0.0.1', describe: 'IP address to listen on' },
    port: { type: 'number', default: 0, describe: 'port of the platform; 0 takes a free one' },
    'admin-port': { type: 'number', default: 0, describe: 'port of the admin listener' },
    seed: { type: 'number', default: 1, describe: 'seed of the faults' },
    hosts: { type: 'string', describe: 'JSON file with the initial host list' },
  })
  .parseAsync()

const server = await PlatformServer.start({
  host: options.host,
  port: options.port,
  adminPort: options.adminPort,
  seed: options.seed,
  hosts:
    options.hosts === undefined
      ? []
      : (JSON.parse(readFileSync(options.hosts, 'utf8')) as readonly HostListEntry[]),
})
process.on('SIGTERM', () => {
  void server.close()
})
const { address, adminAddress } = server
process.stdout.write(`${JSON.stringify({ event: 'listening', address, adminAddress })}\n`)
