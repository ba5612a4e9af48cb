/** Entry point of the TCP forwarder as a process of its own. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { Forwarder } from './forwarder.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('forwarder')
  .strict()
  .options({
    target: { type: 'string', demandOption: true, describe: 'IP address and port to forward to' },
    host: { type: 'string', default: '127.0.0.1', describe: 'IP address to listen on' },
    port: { type: 'number', default: 0, describe: 'port to listen on; 0 takes a free one' },
    'admin-port': { type: 'number', default: 0, describe: 'port of the admin listener' },
  })
  .parseAsync()

const { target, host, port, adminPort } = options
const forwarder = await Forwarder.start({ target, host, port, adminPort })
process.on('SIGTERM', () => {
  void forwarder.close()
})
const { address, adminAddress } = forwarder
process.stdout.write(`${JSON.stringify({ event: 'listening', address, adminAddress })}\n`)
