#!/usr/bin/env node
/**
 * `pimentotallyd`: one entry host. SIGTERM or SIGINT stops it gracefully; a second signal forces the stop.
 */
import { readFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { ProcessSettings } from '@pimentotally/config'
import { Issue, JsonLogger } from '@pimentotally/core'
import { Daemon } from './daemon.js'

export const ExitCode = { ok: 0, failed: 1, invalidSettings: 2, forced: 3 } as const
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]

const { settings: file } = await yargs(hideBin(process.argv))
  .scriptName('pimentotallyd')
  .usage('$0 --settings FILE\n\nRuns one entry host until SIGTERM.')
  .option('settings', { type: 'string', demandOption: true, describe: 'TOML file with the process settings' })
  .epilogue(
    'Exit codes: 0 stopped with nothing cut, 1 failed, 2 invalid settings, 3 forced stop that cut requests.',
  )
  .strict()
  .parse()

const readSettings = (): ProcessSettings | undefined => {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    process.stderr.write(`settings.read: ${String(error)}\n`)
    return undefined
  }
  const parsed = ProcessSettings.safeParse(text, { file })
  if (parsed.isOk) return parsed.value
  for (const issue of parsed.error) process.stderr.write(`${Issue.format(issue)}\n`)
  return undefined
}

const settings = readSettings()
if (settings === undefined) {
  process.exitCode = ExitCode.invalidSettings
} else {
  const { hostName, domain, logLevel } = settings
  const logger = new JsonLogger({ level: logLevel, common: { host: hostName, domain } })
  const daemon = new Daemon({ settings, logger })
  const force = new AbortController()
  const onSignal = (): void => {
    if (stopping) {
      force.abort()
      return
    }
    stopping = true
    void daemon.stop(force.signal).then(
      ({ cut }) => process.exit(cut.length === 0 ? ExitCode.ok : ExitCode.forced),
      (error: unknown) => {
        logger.error('stop_failed', { step: 'daemon.stop', error })
        process.exit(ExitCode.failed)
      },
    )
  }
  let stopping = false
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
  try {
    await daemon.start()
    process.stdout.write(`${JSON.stringify({ event: 'listening', ...daemon.addresses })}\n`)
  } catch (error) {
    logger.error('start_failed', { step: 'daemon.start', error })
    process.exitCode = ExitCode.failed
  }
}
