/**
 * Checks the platform for a newer configuration, by default about once in two seconds for a failure domain.
 */
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
  /** Whether this host has to check the platform now. */
  readonly isDue: () => boolean
  readonly currentVersion: () => number
  /** Called with the document of a newer version and its hash. */
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

/** Checks the platform once. Failures are logged; the next check tries again. */
export const checkPlatformConfiguration = async ({
  table,
  objects,
  logger,
  callTimeoutMs,
  currentVersion,
  onNewDocument,
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
  onNewDocument(document.value, current.hash)
}

/** Checks the platform until the signal aborts. Jitter keeps the domains from checking at the same moment. */
export const pollPlatformConfiguration = async (options: PlatformCheckOptions): Promise<void> => {
  const { clock, random, intervalMs, isDue, signal } = options
  await clock.sleep(random.float() * (intervalMs / 4), signal)
  while (!signal.aborted) {
    if (isDue()) await checkPlatformConfiguration(options)
    await clock.sleep(intervalMs * (0.9 + 0.2 * random.float()), signal)
  }
}
