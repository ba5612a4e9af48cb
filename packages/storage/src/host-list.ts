/** The platform's list of live and leaving hosts and targets: only a hint, as it lags and may be wrong. */
import type { CallOptions } from './table.js'
import type { PlatformResult } from './result.js'

export interface HostListEntry {
  /** Name of the host or of the target, depending on `kind`. */
  readonly name: string
  readonly domain: string
  /** IP address and port. */
  readonly address: string
  readonly kind: 'host' | 'target'
  readonly state: 'live' | 'leaving'
}

export abstract class HostList {
  abstract list(options?: CallOptions): Promise<PlatformResult<readonly HostListEntry[]>>
}
