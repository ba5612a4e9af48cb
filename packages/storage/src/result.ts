/** Results of platform calls. After a lost response, a write is neither done nor refused but `unknown`. */
import type { Result } from 'true-myth'

export type PlatformError =
  /** Nothing was written: the platform was not reached, it refused the call beforehand, or a read failed. */
  | { readonly code: 'unavailable'; readonly step: string; readonly message: string }
  /** A write was sent and no response came: it may have taken effect, or may still do so. */
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
