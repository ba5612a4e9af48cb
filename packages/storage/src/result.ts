/** Results of platform calls: a transaction whose answer is lost is neither done nor refused. */
import type { Result } from 'true-myth'

export type PlatformError =
  /** Not reached, or it refused before it did anything. */
  | { readonly code: 'unavailable'; readonly step: string; readonly message: string }
  /** Sent, and no answer came: it may have taken effect. */
  | { readonly code: 'unknown'; readonly step: string; readonly message: string }
  /** A condition did not hold; nothing was written. */
  | {
      readonly code: 'conflict'
      readonly step: string
      readonly message: string
      readonly key: string
      readonly actualVersion: number
    }

export type PlatformResult<T> = Result<T, PlatformError>
