/** Errors with a code, the failed step and the peer concerned; the reporting of violated invariants. */

/** What is known of a request to which no target responded: it certainly did not run, or it may have. */
export const Outcome = { notRun: 'not-run', unknown: 'unknown' } as const
export type Outcome = (typeof Outcome)[keyof typeof Outcome]

export interface RouterErrorInfo {
  /** Stable, machine-readable, in snake_case. */
  readonly code: string
  /** What was being done, for example `grant.renew`. */
  readonly step: string
  /** The other end: a host id, target name or address. */
  readonly peer?: string
  readonly cause?: unknown
}

/** Base class of the errors that this project raises itself. */
export class RouterError extends Error {
  readonly code: string
  readonly step: string
  readonly peer: string | undefined

  constructor(message: string, { code, step, peer, cause }: RouterErrorInfo) {
    super(
      `${step}${peer === undefined ? '' : ` (${peer})`}: ${message}`,
      cause === undefined ? undefined : { cause },
    )
    this.name = 'RouterError'
    this.code = code
    this.step = step
    this.peer = peer
  }
}

/** Reports violated invariants. */
export abstract class InvariantReporter {
  abstract violated(invariant: string, details: Readonly<Record<string, unknown>>): void

  /** Returns `condition` and reports a violation when it is false; the operation must then be refused. */
  check(condition: boolean, invariant: string, details: () => Readonly<Record<string, unknown>>): boolean {
    if (!condition) this.violated(invariant, details())
    return condition
  }
}

/** Throws at the first violation; for tests. */
export class ThrowingInvariantReporter extends InvariantReporter {
  override violated(invariant: string, details: Readonly<Record<string, unknown>>): void {
    throw new RouterError(`invariant ${invariant} violated: ${JSON.stringify(details)}`, {
      code: 'invariant_violated',
      step: 'invariant.check',
    })
  }
}
