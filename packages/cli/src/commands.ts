/** The commands of the tool: one function for each, which prints its output and returns the exit code. */
import { readFileSync } from 'node:fs'
import { basename } from 'node:path'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import { DeploymentFile, ProcessSettings, checkHostInDeployment } from '@pimentotally/config'
import type { Issue } from '@pimentotally/core'
import {
  AuditResponseSchema,
  BlockedRequestsResponseSchema,
  HistoryResponseSchema,
  OwnerResponseSchema,
  PlanResponseSchema,
  StatusResponseSchema,
  TargetsResponseSchema,
  type PlanResponse,
  type StatusResponse,
} from '@pimentotally/wire'
import type { AcceptedChange, HostConnections } from './connection.js'
import { ExitCode } from './exit-code.js'
import { explainRequest } from './explain.js'
import { CliFailure, usageFailure } from './failure.js'
import { formatMessage, formatTable, type CliEnvironment } from './output.js'

export interface CommandContext {
  readonly environment: CliEnvironment
  readonly json: boolean
  readonly connect: () => HostConnections
}

const readText = (file: string): string => {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    throw usageFailure(`file.read (${file}): ${reason}`, 'give the path of a readable file')
  }
}

const printMessage = <D extends DescMessage>(
  { environment, json }: CommandContext,
  schema: D,
  message: MessageShape<D>,
  text: () => string,
): ExitCode => {
  environment.out(json ? formatMessage(schema, message) : text())
  return ExitCode.done
}

const printAccepted = (
  { environment, json }: CommandContext,
  { version, hash, writeId }: AcceptedChange,
): ExitCode => {
  environment.out(
    json
      ? JSON.stringify({ version, hash, writeId }, undefined, 2)
      : `accepted as version ${String(version)} (${hash})`,
  )
  return ExitCode.done
}

/** Explains a request from a file with the log lines of any number of hosts; nothing is sent. */
export const explain = ({ environment, json }: CommandContext, requestId: string, file: string): ExitCode => {
  const { found, text } = explainRequest(requestId, readText(file))
  if (!found) throw usageFailure(text, 'give the logs of all hosts that may have had the request')
  environment.out(json ? JSON.stringify({ requestId, text }, undefined, 2) : text)
  return ExitCode.done
}

/** Checks the declarative file and, when given, the process settings of a host against it; nothing is sent. */
export const validate = (context: CommandContext, file: string, settingsFile?: string): ExitCode => {
  const deployment = DeploymentFile.safeParse(readText(file), { file })
  const settings =
    settingsFile === undefined
      ? undefined
      : ProcessSettings.safeParse(readText(settingsFile), { file: settingsFile })
  const issues: Issue[] = [
    ...(deployment.isErr ? deployment.error : []),
    ...(settings?.isErr === true ? settings.error : []),
    ...(deployment.isOk && settings?.isOk === true
      ? checkHostInDeployment(settings.value, deployment.value, settingsFile)
      : []),
  ]
  if (context.json)
    context.environment.out(JSON.stringify({ valid: issues.length === 0, issues }, undefined, 2))
  if (issues.length > 0) {
    throw new CliFailure(`validate (${file}): ${String(issues.length)} issue(s)`, {
      exitCode: ExitCode.refused,
      code: 'invalid_document',
      remedy: 'correct the fields named above; docs/settings.md describes them',
      issues,
    })
  }
  if (!context.json && deployment.isOk) {
    const { services, targets, domains } = deployment.value
    context.environment.out(
      `valid: ${String(services.length)} services, ${String(targets.length)} targets, ${String(domains.length)} domains`,
    )
  }
  return ExitCode.done
}

const changeSigns: Readonly<Record<string, string>> = { added: '+', removed: '-', changed: '~' }

const formatPlan = ({ baseVersion, changes, moves }: PlanResponse): string =>
  [
    `on version ${String(baseVersion)}: ${changes.length === 0 ? 'no changes' : `${String(changes.length)} change(s)`}`,
    ...changes.map(
      ({ action, kind, name, fields }) =>
        `${changeSigns[action] ?? action} ${kind} ${name}${fields.length === 0 ? '' : ` (${fields.join(', ')})`}`,
    ),
    ...moves.map(
      ({ service, fromCell, toCell, shards }) =>
        `about ${String(shards)} shards of ${service} move from ${fromCell} to ${toCell}`,
    ),
  ].join('\n')

export const plan = async (context: CommandContext, file: string): Promise<ExitCode> => {
  const request = { fileName: basename(file), document: readText(file) }
  const response = await context.connect().read('plan', (client, options) => client.plan(request, options))
  return printMessage(context, PlanResponseSchema, response, () => formatPlan(response))
}

export const apply = async (
  context: CommandContext,
  file: string,
  baseVersion?: number,
): Promise<ExitCode> => {
  const request = {
    fileName: basename(file),
    document: readText(file),
    ...(baseVersion === undefined ? {} : { baseVersion, hasBaseVersion: true }),
  }
  const accepted = await context
    .connect()
    .change('apply', (client, writeId, options) => client.apply({ ...request, writeId }, options))
  return printAccepted(context, accepted)
}

export const setDomain = async (
  context: CommandContext,
  domain: string,
  state: string,
): Promise<ExitCode> => {
  const accepted = await context
    .connect()
    .change(`domain.${state}`, (client, writeId, options) =>
      client.setDomain({ domain, state, writeId }, options),
    )
  return printAccepted(context, accepted)
}

export const setTarget = async (
  context: CommandContext,
  target: string,
  draining: boolean,
): Promise<ExitCode> => {
  const accepted = await context
    .connect()
    .change(draining ? 'target.drain' : 'target.undrain', (client, writeId, options) =>
      client.setTarget({ target, draining, writeId }, options),
    )
  return printAccepted(context, accepted)
}

const formatStatus = (status: StatusResponse): string =>
  [
    `host ${status.hostId} (domain ${status.domain}), ${status.ready ? 'ready' : 'not ready'}`,
    status.configVersion === 0
      ? 'no configuration is in force; apply a declarative file to start service'
      : `configuration version ${String(status.configVersion)} (${status.configHash})`,
    `platform ${status.platformReachable ? 'reachable' : 'not reachable'}`,
    `invariant violations ${String(status.invariantViolations)}`,
    '',
    formatTable(
      ['DOMAIN', 'STATE'],
      Object.entries(status.domainStates).sort(([a], [b]) => a.localeCompare(b)),
    ),
    '',
    formatTable(
      ['CELL', 'COORDINATOR', 'HEARD MS AGO', 'EPOCH', 'TERM'],
      status.cells.map(({ cellId, coordinatorHostId, heardAgoMs, epoch, term }) => [
        cellId,
        coordinatorHostId,
        String(heardAgoMs),
        String(epoch),
        term,
      ]),
    ),
    '',
    formatTable(
      ['MEMBER', 'DOMAIN', 'ADDRESS', 'STATE', 'AGE MS'],
      status.members.map(({ hostId, domain, peerAddress, leaving, ageMs }) => [
        hostId,
        domain,
        peerAddress,
        leaving ? 'leaving' : 'live',
        String(ageMs),
      ]),
    ),
  ].join('\n')

export const status = async (context: CommandContext): Promise<ExitCode> => {
  const response = await context.connect().read('status', (client, options) => client.status({}, options))
  return printMessage(context, StatusResponseSchema, response, () => formatStatus(response))
}

export const targets = async (context: CommandContext, service = ''): Promise<ExitCode> => {
  const response = await context
    .connect()
    .read('targets', (client, options) => client.targets({ service }, options))
  if (service !== '' && response.targets.length === 0) {
    throw new CliFailure(`targets: no service with targets is named "${service}"`, {
      exitCode: ExitCode.refused,
      code: 'unknown_service',
      remedy: 'use a service of the file in force; pimentotally targets shows them',
    })
  }
  return printMessage(context, TargetsResponseSchema, response, () =>
    formatTable(
      ['TARGET', 'SERVICE', 'DOMAIN', 'ADDRESS', 'STATE', 'IN FLIGHT', 'SLOTS', 'SHARDS', 'LATENCY MS'],
      response.targets.map((target) => [
        target.name,
        target.service,
        target.domain,
        target.address,
        target.state,
        String(target.inFlight),
        `${String(target.allowedSlots)}/${String(target.slots)}`,
        String(target.shards),
        target.latencyMs.toFixed(1),
      ]),
    ),
  )
}

export const owners = async (context: CommandContext, service: string, key: string): Promise<ExitCode> => {
  const response = await context
    .connect()
    .read('owners', (client, options) => client.owner({ service, key }, options))
  const { shard, cellId, target, fence, stored } = response
  return printMessage(context, OwnerResponseSchema, response, () =>
    [
      `shard ${String(shard)} of ${service}, cell ${cellId}`,
      target === '' ? 'no owner at this moment' : `owner ${target}, fence ${fence}`,
      ...(target === '' || stored ? [] : ['the assignment has not reached the platform yet']),
    ].join('\n'),
  )
}

export const history = async (context: CommandContext, limit: number, writeId = ''): Promise<ExitCode> => {
  const response = await context
    .connect()
    .read('history', (client, options) => client.history({ limit, writeId }, options))
  if (writeId !== '' && response.versions.length === 0) {
    throw new CliFailure(
      `history: no version up to ${String(response.currentVersion)} has write id ${writeId}`,
      {
        exitCode: ExitCode.refused,
        code: 'unknown_write_id',
        remedy:
          'plan the change again on the newest version and repeat it; the earlier one then ends in a conflict',
      },
    )
  }
  return printMessage(context, HistoryResponseSchema, response, () =>
    formatTable(
      ['VERSION', 'TIME', 'AUTHOR', 'WRITE ID', 'SUMMARY'],
      response.versions.map((entry) => [
        String(entry.version),
        entry.time,
        entry.author,
        entry.writeId,
        entry.summary,
      ]),
    ),
  )
}

export const audit = async (context: CommandContext, limit: number): Promise<ExitCode> => {
  const response = await context
    .connect()
    .read('audit', (client, options) => client.audit({ limit }, options))
  return printMessage(context, AuditResponseSchema, response, () =>
    formatTable(
      ['TIME', 'WHO', 'ACTION', 'SUBJECT', 'VERSIONS', 'OUTCOME', 'DETAILS'],
      response.entries.map(
        ({ time, who, action, subject, versionBefore, versionAfter, outcome, details }) => [
          time,
          who,
          action,
          subject,
          `${String(versionBefore)} to ${String(versionAfter)}`,
          outcome,
          details,
        ],
      ),
    ),
  )
}

const warnUnreachable = ({ environment }: CommandContext, cells: readonly string[]): void => {
  if (cells.length > 0)
    environment.err(`warning: the coordinator did not answer for cell ${cells.join(', ')}`)
}

export const blockedList = async (context: CommandContext): Promise<ExitCode> => {
  const response = await context
    .connect()
    .read('blocked.list', (client, options) => client.blocked({}, options))
  warnUnreachable(context, response.unreachableCells)
  return printMessage(context, BlockedRequestsResponseSchema, response, () =>
    formatTable(
      ['IDENTITY', 'SERVICE', 'CRASHES', 'SINCE'],
      response.entries.map(({ identity, service, crashes, since }) => [
        identity,
        service,
        String(crashes),
        since,
      ]),
    ),
  )
}

export const blockedRelease = async (context: CommandContext, identity: string): Promise<ExitCode> => {
  const { found, unreachableCells } = await context
    .connect()
    .read('blocked.release', (client, options) => client.unblock({ identity }, options))
  warnUnreachable(context, unreachableCells)
  if (!found) {
    throw new CliFailure(`blocked.release: no blocked request has identity ${identity}`, {
      exitCode: ExitCode.refused,
      code: 'unknown_identity',
      remedy: 'pimentotally blocked list shows the identities',
    })
  }
  context.environment.out(context.json ? JSON.stringify({ found, unreachableCells }) : `released ${identity}`)
  return ExitCode.done
}
