/**
 * The failure domains that the operator evacuates. When the store comes back from an older copy, it may have
 * the row of an evacuation that ended after the copy was made. The operator removes such a row again within
 * `rewriteMs`; what is still there afterwards is in force.
 */
import type { Clock, Logger } from '@pimentotally/core'
import { eraOf, versionOf, type StoredRow } from '@pimentotally/storage'
import { rewriteMs } from './replica.js'

interface Evacuation {
  /** When this host first saw the row. */
  readonly seenAtMs: number
  /** From this time on, the evacuation is in force. */
  readonly inForceAtMs: number
}

export class Evacuations {
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #evacuations = new Map<string, Evacuation>()
  /** By domain, the position up to which its last evacuation was known to have ended. */
  readonly #endedAt = new Map<string, number>()

  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock
    this.#logger = logger
  }

  has(domain: string): boolean {
    const inForceAtMs = this.#evacuations.get(domain)?.inForceAtMs ?? Infinity
    return this.#clock.monotonicMs() >= inForceAtMs
  }

  /** How long this host has known of the evacuation; 0 for a domain that is not evacuated. */
  knownForMs(domain: string): number {
    const evacuation = this.#evacuations.get(domain)
    return evacuation === undefined || !this.has(domain) ? 0 : this.#clock.monotonicMs() - evacuation.seenAtMs
  }

  begin(domain: string, { version }: Pick<StoredRow, 'version'>): void {
    const known = this.#evacuations.get(domain)
    const mayBeOfCopy = this.#mayBeOfCopy(domain, version)
    if (known !== undefined && (mayBeOfCopy || this.has(domain))) return
    const seenAtMs = known?.seenAtMs ?? this.#clock.monotonicMs()
    const inForceAtMs = mayBeOfCopy ? seenAtMs + rewriteMs : seenAtMs
    this.#evacuations.set(domain, { seenAtMs, inForceAtMs })
    this.#logger.info('domain.evacuated', { domain, version, inForceInMs: inForceAtMs - seenAtMs })
  }

  /** Ends an evacuation, as of this position; false when none was known. */
  end(domain: string, position: number): boolean {
    if (!this.#evacuations.delete(domain)) return false
    this.#endedAt.set(domain, position)
    this.#logger.info('domain.restored', { domain })
    return true
  }

  /**
   * Whether the row may have been written before the evacuation ended, and be there again only because the
   * store came back. A row that is written again in the new era may have as low a version, so it counts too.
   */
  #mayBeOfCopy(domain: string, version: number): boolean {
    const endedAt = this.#endedAt.get(domain)
    return (
      endedAt !== undefined && eraOf(version) > eraOf(endedAt) && versionOf(version) <= versionOf(endedAt)
    )
  }
}
