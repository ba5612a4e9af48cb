/**
 * The newest configuration that this host has learned, with the stored document, so that peers can fetch it.
 */
import { Configuration, RouterError, type InvariantReporter, type Logger } from '@pimentotally/core'
import { Result } from 'true-myth'
import { safeDecodeConfiguration } from '@pimentotally/storage'

export class LatestConfiguration {
  readonly #logger: Logger
  readonly #invariants: InvariantReporter
  readonly #listeners = new Set<(configuration: Configuration) => void>()
  #current: Configuration = Configuration.empty
  #document: Uint8Array = new Uint8Array()

  constructor(logger: Logger, invariants: InvariantReporter) {
    this.#logger = logger
    this.#invariants = invariants
  }

  get current(): Configuration {
    return this.#current
  }

  get document(): Uint8Array {
    return this.#document
  }

  onChange(listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /**
   * Reports a violated invariant when another document of the current version exists. `hash` is the hash of
   * the other document, or its first digits.
   */
  checkSameVersion(version: number, hash: string): void {
    if (version === 0 || version !== this.#current.version || hash === '') return
    this.#invariants.check(this.#current.hash.startsWith(hash), 'one document for each version', () => ({
      version,
      hashes: [this.#current.hash, hash],
    }))
  }

  /** Accepts a document whose SHA-256 is `hash` if its version is newer; false when it is not. */
  acceptIfNewer(bytes: Uint8Array, hash: string): Result<boolean, RouterError> {
    const decoded = safeDecodeConfiguration(bytes, hash)
    if (decoded.isErr) return Result.err(decoded.error)
    const { version } = decoded.value
    this.checkSameVersion(version, hash)
    if (version <= this.#current.version) return Result.ok(false)
    this.#current = decoded.value
    this.#document = bytes
    for (const listener of this.#listeners) {
      try {
        listener(decoded.value)
      } catch (error) {
        this.#logger.error('configuration listener failed', { step: 'configuration.take', version, error })
      }
    }
    return Result.ok(true)
  }
}
