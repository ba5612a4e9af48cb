/**
 * Errors of operator calls. The code says what is known of the change's outcome, the remedy what the operator
 * can do.
 */
import { RouterError, type Issue } from '@pimentotally/core'

export const OperatorErrorCode = {
  invalidArgument: 'invalid_argument',
  invalidDocument: 'invalid_document',
  changeRefused: 'change_refused',
  conflict: 'conflict',
  /** The change certainly did not take effect. */
  platformUnavailable: 'platform_unavailable',
  /** The change may have taken effect, or may still take effect. */
  outcomeUnknown: 'outcome_unknown',
  storedConfigurationInvalid: 'stored_configuration_invalid',
  unauthenticated: 'unauthenticated',
  unknownDomain: 'unknown_domain',
  unknownTarget: 'unknown_target',
  unknownService: 'unknown_service',
  serviceNotKeyed: 'service_not_keyed',
  domainAlive: 'domain_alive',
  homeUnknown: 'home_unknown',
  notCoordinator: 'not_coordinator',
  coordinatorUnreachable: 'coordinator_unreachable',
} as const
export type OperatorErrorCode = (typeof OperatorErrorCode)[keyof typeof OperatorErrorCode]

export interface OperatorErrorInfo {
  readonly code: OperatorErrorCode
  readonly step: string
  readonly peer?: string
  readonly remedy: string
  readonly issues?: readonly Issue[]
  /** For a conflict: the newest version that is known. */
  readonly currentVersion?: number
  /** For an unknown outcome: the id by which the history can be searched for the change. */
  readonly writeId?: string
  readonly cause?: unknown
}

export class OperatorError extends RouterError {
  override readonly code: OperatorErrorCode
  readonly remedy: string
  readonly issues: readonly Issue[]
  readonly currentVersion: number
  readonly writeId: string

  constructor(message: string, info: OperatorErrorInfo) {
    super(message, info)
    this.name = 'OperatorError'
    this.code = info.code
    this.remedy = info.remedy
    this.issues = info.issues ?? []
    this.currentVersion = info.currentVersion ?? 0
    this.writeId = info.writeId ?? ''
  }
}
