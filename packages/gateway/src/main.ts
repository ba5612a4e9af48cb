/** The process: reads its settings, starts the daemon, and follows signals and changes of the settings file. */
import { readFileSync } from 'node:fs'
import { stat } from 'node:fs/promises'
import { Issue, SystemClock } from '@pimentotally/core'
import { safeParseSettings, settingsVariable } from '@pimentotally/platform'
import { Daemon } from './daemon.js'
import { LogWriter } from './log-writer.js'

/** Settings change rarely, and mostly with a signal. */
const checkSettingsEveryMs = 3000

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

let known = source
/** New settings take effect at the next start, except that invalid ones are reported at once. */
const reload = (reason: string): void => {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    logger.error('settings.unreadable', { reason, error })
    return
  }
  if (text === known) {
    if (reason === 'SIGHUP') logger.info('settings.unchanged', { reason })
    return
  }
  known = text
  const result = safeParseSettings(text)
  if (result.isErr) logger.error('settings.invalid', { reason, issues: result.error })
  else logger.info('settings.changed', { reason, storeAddress: result.value.storeAddress })
}

process.on('SIGHUP', () => {
  reload('SIGHUP')
})
process.on('SIGTERM', () => {
  void daemon.stop('SIGTERM').then(() => {
    // Lets the last log lines out.
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
      if (modifiedMs !== 0 && mtimeMs !== modifiedMs) reload('file changed')
      modifiedMs = mtimeMs
      clock.schedule(checkSettingsEveryMs, watchSettings)
    },
    (error: unknown) => {
      logger.warn('settings.unreadable', { error })
      clock.schedule(checkSettingsEveryMs, watchSettings)
    },
  )
}

daemon.start().then(watchSettings, (error: unknown) => {
  process.stderr.write(`start: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exit(1)
})
