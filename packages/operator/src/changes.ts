/** Changes that operators make: each produces the next configuration from the present one. */
import { Configuration, DomainState, type Deployment, type OperatorOverrides } from '@pimentotally/core'
import { DeploymentFile, planChanges, type ChangePlan, type PlannedChange } from '@pimentotally/config'
import { Result } from 'true-myth'
import { OperatorError, OperatorErrorCode } from './operator-error.js'

/**
 * A change that an operator asks for: its name in the audit trail, and how it produces the next
 * configuration.
 */
export interface ConfigurationChange {
  readonly action: string
  readonly subject: string
  /**
   * The version that the operator based the change on; if another is current, the change is a conflict.
   * Optional.
   */
  readonly baseVersion?: number
  /** Present when the change replaces the deployment. */
  readonly deployment?: Deployment
  readonly applyTo: (base: Configuration) => Result<NextConfiguration, OperatorError>
}

export interface NextConfiguration {
  readonly next: Pick<Configuration, 'deployment' | 'operations'>
  readonly summary: string
}

/** Documents with more bytes are refused before they are parsed. */
export const maxDocumentBytes = 8 * 2 ** 20

/**
 * Longer summaries of changes are shortened to this many characters, as history and audit rows contain them.
 */
const maxSummaryLength = 300

export const parseDeployment = (document: string, file: string): Result<Deployment, OperatorError> => {
  const remedy = 'correct the file; pimentotally validate lists the same issues'
  if (Buffer.byteLength(document) > maxDocumentBytes) {
    return Result.err(
      new OperatorError(`the document is larger than ${String(maxDocumentBytes)} bytes`, {
        code: OperatorErrorCode.invalidDocument,
        step: 'deployment.parse',
        remedy,
      }),
    )
  }
  return DeploymentFile.safeParse(document, { file }).mapErr(
    (issues) =>
      new OperatorError(
        `${String(issues.length)} issue(s), nothing was changed: ${[...new Set(issues.map(({ code }) => code))].join(', ')}`,
        { code: OperatorErrorCode.invalidDocument, step: 'deployment.parse', remedy, issues },
      ),
  )
}

/** The plan of an apply, or an error that lists every issue for which the change is refused. */
export const planDeployment = (
  base: Configuration,
  deployment: Deployment,
  file: string,
): Result<ChangePlan, OperatorError> => {
  const plan = planChanges(base, deployment)
  if (plan.issues.length === 0) return Result.ok(plan)
  return Result.err(
    new OperatorError(`the change is refused: ${plan.issues.map(({ message }) => message).join('; ')}`, {
      code: OperatorErrorCode.changeRefused,
      step: 'deployment.plan',
      remedy: 'restore the fixed fields, or declare a service of another name',
      issues: plan.issues.map((issue) => ({ ...issue, file })),
    }),
  )
}

const describe = ({ action, kind, name, fields }: PlannedChange): string =>
  `${action} ${kind} ${name}${fields.length === 0 ? '' : ` (${fields.join(', ')})`}`

const shorten = (text: string): string =>
  text.length <= maxSummaryLength ? text : `${text.slice(0, maxSummaryLength - 3)}...`

export const deploymentChange = (
  deployment: Deployment,
  file: string,
  baseVersion: number | undefined,
): ConfigurationChange => ({
  action: 'apply',
  subject: file,
  baseVersion,
  deployment,
  applyTo: (base) =>
    planDeployment(base, deployment, file).map(({ changes }) => ({
      next: { deployment, operations: base.operations },
      summary: shorten(changes.length === 0 ? 'no changes' : changes.map(describe).join('; ')),
    })),
})

const withDomain = (
  { domains, ...rest }: OperatorOverrides,
  domain: string,
  state: DomainState,
): OperatorOverrides => {
  const others = Object.entries(domains).filter(([name]) => name !== domain)
  return {
    ...rest,
    domains: Object.fromEntries(state === DomainState.in ? others : [...others, [domain, state] as const]),
  }
}

export const domainChange = (domain: string, state: DomainState): ConfigurationChange => ({
  action: `domain.${state}`,
  subject: domain,
  applyTo: ({ deployment, operations }) => {
    const declared = deployment.domains.some(({ name }) => name === domain)
    // The state of a domain stays when a file no longer declares the domain, so it must be possible to clear
    // it then.
    if (!declared && !(state === DomainState.in && Object.hasOwn(operations.domains, domain))) {
      return Result.err(unknownName(OperatorErrorCode.unknownDomain, 'domain', domain))
    }
    const before = operations.domains[domain] ?? DomainState.in
    return Result.ok({
      next: { deployment, operations: withDomain(operations, domain, state) },
      summary: `domain ${domain}: ${before} to ${state}`,
    })
  },
})

export const targetChange = (target: string, draining: boolean): ConfigurationChange => ({
  action: draining ? 'target.drain' : 'target.undrain',
  subject: target,
  applyTo: ({ deployment, operations }) => {
    const declared = deployment.targets.some(({ name }) => name === target)
    if (!declared && (draining || !operations.drainingTargets.includes(target))) {
      return Result.err(unknownName(OperatorErrorCode.unknownTarget, 'target', target))
    }
    const others = operations.drainingTargets.filter((name) => name !== target)
    return Result.ok({
      next: {
        deployment,
        operations: { ...operations, drainingTargets: draining ? [...others, target].sort() : others },
      },
      summary: `target ${target}: ${draining ? 'draining' : 'not draining'}`,
    })
  },
})

const unknownName = (code: OperatorErrorCode, kind: string, name: string): OperatorError =>
  new OperatorError(`no ${kind} is named "${name}"`, {
    code,
    step: 'change.make',
    remedy: `use a ${kind} of the file in force; pimentotally status and targets show them`,
  })
