/** The stored form of a configuration: a JSON document in the object store, named by its SHA-256. */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { RouterError, type Configuration } from '@pimentotally/core'

export interface ConfigurationDocument {
  /** SHA-256 of the bytes, in hex. */
  readonly hash: string
  readonly bytes: Uint8Array
}

/** Key of the table row that names the newest configuration. */
export const currentConfigurationKey = 'config/current'

/** The value of the row at `currentConfigurationKey`. */
export interface CurrentConfiguration {
  readonly version: number
  readonly hash: string
  readonly author: string
  /** When the version was written, in ms since the Unix epoch by the wall clock of the writing host. */
  readonly time: number
  readonly writeId: string
}

export const configurationObjectName = (hash: string): string => `config/${hash}`

export const hashDocument = (bytes: Uint8Array): string => createHash('sha256').update(bytes).digest('hex')

export const encodeConfiguration = ({
  version,
  deployment,
  operations,
}: Omit<Configuration, 'hash'>): ConfigurationDocument => {
  const bytes = new TextEncoder().encode(JSON.stringify({ version, deployment, operations }))
  return { hash: hashDocument(bytes), bytes }
}

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value)

const isConfiguration = (value: unknown): value is Omit<Configuration, 'hash'> => {
  if (!isObject(value) || !isObject(value['deployment']) || !isObject(value['operations'])) return false
  const { version, deployment, operations } = value
  return (
    Number.isSafeInteger(version) &&
    (version as number) > 0 &&
    [deployment['services'], deployment['targets'], deployment['domains']].every(Array.isArray) &&
    isObject(operations['domains']) &&
    Array.isArray(operations['drainingTargets'])
  )
}

/** Decodes and checks a stored document; fails when `hash` is given and is not the SHA-256 of `bytes`. */
export const safeDecodeConfiguration = (
  bytes: Uint8Array,
  hash?: string,
): Result<Configuration, RouterError> => {
  const fail = (message: string): Result<Configuration, RouterError> =>
    Result.err(new RouterError(message, { code: 'configuration_invalid', step: 'configuration.decode' }))
  const actual = hashDocument(bytes)
  if (hash !== undefined && hash !== actual) return fail(`document has SHA-256 ${actual}, not ${hash}`)
  try {
    const value: unknown = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes))
    if (!isConfiguration(value)) return fail('document is not a configuration')
    const { version, deployment, operations } = value
    return Result.ok({ version, hash: actual, deployment, operations })
  } catch (error) {
    return fail(error instanceof Error ? error.message : String(error))
  }
}

/** Like `safeDecodeConfiguration`, but throws a RouterError with code `configuration_invalid`. */
export const decodeConfiguration = (bytes: Uint8Array, hash?: string): Configuration => {
  const result = safeDecodeConfiguration(bytes, hash)
  if (result.isErr) throw result.error
  return result.value
}
