/** Exit codes of the command-line tool `pimentotally`; scripts rely on them. */
export const ExitCode = {
  done: 0,
  /** The input is invalid, or a host refused the call. */
  refused: 1,
  usage: 2,
  /** Another change was accepted first. */
  conflict: 3,
  /** No host could be reached; nothing was sent. */
  unreachable: 4,
  /** The change was sent and may have taken effect. */
  outcomeUnknown: 5,
} as const
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]
