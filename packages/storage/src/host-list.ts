/** The platform's list of live and leaving hosts; it lags and may be wrong, so it is only a hint. */
import type { CallOptions } from './table.js'
import type { PlatformResult } from './result.js'

export interface ListedHost {
  /** Host name, or target name. */
  readonly name: string
  readonly domain: string
  /** IP address and port. */
  readonly address: string
  readonly kind: 'host' | 'target'
  readonly state: 'live' | 'leaving'
}

export abstract class HostList {
  abstract list(options?: CallOptions): Promise<PlatformResult<readonly ListedHost[]>>
}
