/** Looks for a newer configuration on the platform, once in two seconds for a failure domain. */
import type { Clock, Logger, Random } from '@pimentotally/core'
import type { ObjectStore, TableService } from '@pimentotally/storage'
import {
  configurationObjectName,
  currentConfigurationKey,
  type CurrentConfiguration,
} from '@pimentotally/storage'

export interface PlatformCheckOptions {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly intervalMs: number
  readonly callTimeoutMs: number
  /** Whether this host is to look now. */
  readonly isDue: () => boolean
  readonly currentVersion: () => number
  readonly onNewDocument: (bytes: Uint8Array, hash: string) => void
  readonly signal: AbortSignal
}

const parseCurrent = (text: string): CurrentConfiguration | undefined => {
  try {
    const value = JSON.parse(text) as CurrentConfiguration
    return Number.isSafeInteger(value.version) && typeof value.hash === 'string' ? value : undefined
  } catch {
    return undefined
  }
}

/** One look at the platform; failures are logged and left to the next look. */
export const checkPlatformConfiguration = async ({
  table,
  objects,
  logger,
  callTimeoutMs,
  currentVersion,
  onNewDocument: take,
}: PlatformCheckOptions): Promise<void> => {
  const step = 'configuration.check'
  const read = await table.read(currentConfigurationKey, { timeoutMs: callTimeoutMs })
  if (read.isErr) {
    logger.debug('platform not reached', { step, reason: read.error.message })
    return
  }
  if (read.value === undefined) return
  const current = parseCurrent(read.value.value)
  if (current === undefined) {
    logger.error('config/current is not valid', { step })
    return
  }
  if (current.version < currentVersion()) {
    logger.warn('platform holds an older configuration', { step, version: current.version })
  }
  if (current.version <= currentVersion()) return
  const document = await objects.get(configurationObjectName(current.hash), { timeoutMs: callTimeoutMs })
  if (document.isErr || document.value === undefined) {
    const reason = document.isErr ? document.error.message : 'object is absent'
    logger.warn('configuration document not fetched', { step, version: current.version, reason })
    return
  }
  take(document.value, current.hash)
}

/** Runs until the signal aborts. The jitter keeps the domains' looks apart. */
export const pollPlatformConfiguration = async (options: PlatformCheckOptions): Promise<void> => {
  const { clock, random, intervalMs, isDue, signal } = options
  await clock.sleep(random.float() * (intervalMs / 4), signal)
  while (!signal.aborted) {
    if (isDue()) await checkPlatformConfiguration(options)
    await clock.sleep(intervalMs * (0.9 + 0.2 * random.float()), signal)
  }
}
