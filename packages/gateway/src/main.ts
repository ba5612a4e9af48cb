/**
 * Entry point of the process: reads the settings, starts the daemon, handles signals, and logs changes of the
 * settings file.
 */
import { readFileSync } from 'node:fs'
import { stat } from 'node:fs/promises'
import { Issue, SystemClock } from '@pimentotally/core'
import { safeParseSettings, settingsVariable } from '@pimentotally/platform'
import { Daemon } from './daemon.js'
import { LogWriter } from './log-writer.js'

/** Interval between two checks of the settings file; settings change rarely, and mostly with a signal. */
const settingsCheckIntervalMs = 3000

const clock = new SystemClock()
const path = process.env[settingsVariable] ?? '/etc/pimentotally/node.toml'
const source = readFileSync(path, 'utf8')
const parsed = safeParseSettings(source)
if (parsed.isErr) {
  for (const issue of parsed.error) process.stderr.write(`${Issue.format({ ...issue, file: path })}\n`)
  process.exit(2)
}
const settings = parsed.value
const logger = new LogWriter({ clock, common: { host: settings.hostName } })
const daemon = new Daemon({ settings, clock, logger })

let lastText = source
/** Logs whether the settings have changed and are valid. New settings take effect at the next start only. */
const logSettingsChange = (reason: string): void => {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    logger.error('settings.unreadable', { reason, error })
    return
  }
  if (text === lastText) {
    if (reason === 'SIGHUP') logger.info('settings.unchanged', { reason })
    return
  }
  lastText = text
  const result = safeParseSettings(text)
  if (result.isErr) logger.error('settings.invalid', { reason, issues: result.error })
  else logger.info('settings.changed', { reason, storeAddress: result.value.storeAddress })
}

process.on('SIGHUP', () => {
  logSettingsChange('SIGHUP')
})
process.on('SIGTERM', () => {
  void daemon.stop('SIGTERM').then(() => {
    // Leaves time for the last log lines to be written.
    clock.schedule(30, () => process.exit(0))
  })
})
process.on('uncaughtException', (error) => {
  logger.error('process.uncaught', { error, stack: error.stack })
})
process.on('unhandledRejection', (error) => {
  logger.error('process.unhandled_rejection', { error })
})

let modifiedMs = 0
const watchSettings = (): void => {
  stat(path).then(
    ({ mtimeMs }) => {
      if (modifiedMs !== 0 && mtimeMs !== modifiedMs) logSettingsChange('file changed')
      modifiedMs = mtimeMs
      clock.schedule(settingsCheckIntervalMs, watchSettings)
    },
    (error: unknown) => {
      logger.warn('settings.unreadable', { error })
      clock.schedule(settingsCheckIntervalMs, watchSettings)
    },
  )
}

daemon.start().then(watchSettings, (error: unknown) => {
  process.stderr.write(`start: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exit(1)
})
