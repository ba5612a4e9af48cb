/** The platform's object store: immutable objects by name. */
import type { CallOptions } from './table.js'
import type { PlatformResult } from './result.js'

export abstract class ObjectStore {
  /** Writing the same bytes again succeeds; other bytes under an existing name are a `conflict`. */
  abstract put(name: string, bytes: Uint8Array, options?: CallOptions): Promise<PlatformResult<void>>

  abstract get(name: string, options?: CallOptions): Promise<PlatformResult<Uint8Array | undefined>>
}
