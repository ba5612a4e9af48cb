/** The error that the throwing parsers raise; it contains all issues of the input. */
import { Issue, RouterError } from '@pimentotally/core'

export class ConfigError extends RouterError {
  readonly issues: readonly Issue[]

  constructor(step: string, issues: readonly Issue[]) {
    super(
      `${String(issues.length)} issue(s)\n${issues.map((issue) => `  ${Issue.format(issue)}`).join('\n')}`,
      {
        code: 'invalid_configuration',
        step,
      },
    )
    this.name = 'ConfigError'
    this.issues = issues
  }
}

export interface ParseOptions {
  /** File name that is given in issues. */
  readonly file?: string
}
