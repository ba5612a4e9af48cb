/** Failures as they are shown to the operator, with code, remedy and exit code. */
import { ConnectError } from '@connectrpc/connect'
import { Issue } from '@pimentotally/core'
import { OperatorFailureSchema, type OperatorFailure } from '@pimentotally/wire'
import { ExitCode } from './exit-code.js'

export interface CliFailureInfo {
  readonly exitCode: ExitCode
  readonly code: string
  readonly remedy: string
  readonly issues?: readonly Issue[]
  readonly cause?: unknown
}

export class CliFailure extends Error {
  readonly exitCode: ExitCode
  readonly code: string
  readonly remedy: string
  readonly issues: readonly Issue[]

  constructor(message: string, { exitCode, code, remedy, issues = [], cause }: CliFailureInfo) {
    super(message, { cause })
    this.name = 'CliFailure'
    this.exitCode = exitCode
    this.code = code
    this.remedy = remedy
    this.issues = issues
  }

  /** The text for standard error: the message, the issues and the remedy. */
  format(): string {
    const issues = this.issues.map((issue) => `  ${Issue.format(issue)}`)
    const remedy = this.remedy === '' ? [] : [`remedy: ${this.remedy}`]
    return [`error: ${this.message} [${this.code}]`, ...issues, ...remedy].join('\n')
  }
}

const exitCodes: Readonly<Record<string, ExitCode>> = {
  conflict: ExitCode.conflict,
  outcome_unknown: ExitCode.outcomeUnknown,
}

/** The failure that the operator service reported in `error`; undefined for a failure of the connection. */
export const operatorFailureOf = (error: unknown): OperatorFailure | undefined =>
  error instanceof ConnectError ? error.findDetails(OperatorFailureSchema)[0] : undefined

/** Converts a failure that the operator service of the host at `address` reported. */
export const reportedFailure = (
  error: ConnectError,
  { code, remedy, issues }: OperatorFailure,
  address: string,
): CliFailure =>
  new CliFailure(`${error.rawMessage} (host ${address})`, {
    exitCode: exitCodes[code] ?? ExitCode.refused,
    code,
    remedy,
    issues: issues.map(({ file, line, ...issue }) => ({
      ...issue,
      ...(file === '' ? {} : { file }),
      ...(line === 0 ? {} : { line }),
    })),
    cause: error,
  })

export const usageFailure = (message: string, remedy = 'see pimentotally --help'): CliFailure =>
  new CliFailure(message, { exitCode: ExitCode.usage, code: 'usage', remedy })
