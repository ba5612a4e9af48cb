/** Serves the operator service over Connect: checks credentials and converts messages and errors. */
import {
  Code,
  ConnectError,
  createContextKey,
  type ConnectRouter,
  type HandlerContext,
  type Interceptor,
  type ServiceImpl,
} from '@connectrpc/connect'
import { DomainState } from '@pimentotally/core'
import type { OperatorCredential } from '@pimentotally/config'
import { OperatorFailureSchema, OperatorService, bearerOf, requirePeerSecret } from '@pimentotally/wire'
import type { Result } from 'true-myth'
import type { OperatorBackend } from './backend.js'
import type { CellQueries } from './cells.js'
import { maxDocumentBytes } from './changes.js'
import { OperatorCredentials } from './credentials.js'
import { OperatorError, OperatorErrorCode } from './operator-error.js'
import type { CellInspector } from './views.js'

export interface OperatorServiceOptions {
  readonly backend: OperatorBackend
  readonly cells: CellQueries
  readonly operators: readonly OperatorCredential[]
}

export interface CellInspectionOptions {
  readonly cells: CellQueries
  readonly peerSecrets: readonly string[]
}

const statusCodes: Readonly<Record<OperatorErrorCode, Code>> = {
  invalid_argument: Code.InvalidArgument,
  invalid_document: Code.InvalidArgument,
  change_refused: Code.FailedPrecondition,
  conflict: Code.Aborted,
  platform_unavailable: Code.Unavailable,
  outcome_unknown: Code.Unknown,
  stored_configuration_invalid: Code.DataLoss,
  unauthenticated: Code.Unauthenticated,
  unknown_domain: Code.NotFound,
  unknown_target: Code.NotFound,
  unknown_service: Code.NotFound,
  service_not_keyed: Code.FailedPrecondition,
  domain_alive: Code.FailedPrecondition,
  home_unknown: Code.Unavailable,
  not_coordinator: Code.FailedPrecondition,
  coordinator_unreachable: Code.Unavailable,
}

const toConnectError = (error: OperatorError): ConnectError => {
  const { code, step, peer = '', remedy, currentVersion, writeId } = error
  const issues = error.issues.map(({ path, line = 0, file = '', ...issue }) => ({
    code: issue.code,
    message: issue.message,
    file,
    line,
    path: path.map(String),
  }))
  const value = { code, step, peer, remedy, issues, currentVersion, writeId }
  return new ConnectError(error.message, statusCodes[code], undefined, [
    { desc: OperatorFailureSchema, value },
  ])
}

const unwrap = <T>(result: Result<T, OperatorError>): T => {
  if (result.isErr) throw toConnectError(result.error)
  return result.value
}

const operatorKey = createContextKey('', { description: 'name of the authenticated operator' })

const requireOperator =
  (credentials: OperatorCredentials, backend: OperatorBackend): Interceptor =>
  (next) =>
  (request) => {
    const name = credentials.authenticate(bearerOf(request.header))
    if (name === undefined) {
      // Not awaited: otherwise refused callers could keep many calls open while the platform is slow.
      void backend.audit.recordRejectedCredential(request.method.name)
      throw toConnectError(
        new OperatorError('operator credential not accepted', {
          code: OperatorErrorCode.unauthenticated,
          step: 'operator.authenticate',
          remedy: 'use the credential of an operator that the process settings of this host declare',
        }),
      )
    }
    request.contextValues.set(operatorKey, name)
    return next(request)
  }

const parseDomainState = (text: string): DomainState => {
  const state = Object.values(DomainState).find((candidate) => candidate === text)
  if (state !== undefined) return state
  throw toConnectError(
    new OperatorError(`"${text}" is not a domain state`, {
      code: OperatorErrorCode.invalidArgument,
      step: 'domain.set',
      remedy: 'use in, out or lost',
    }),
  )
}

/** Rounds to a value that the protocol's uint32 fields can hold; Infinity becomes the greatest one. */
const toUint32 = (value: number): number => Math.max(0, Math.min(0xffffffff, Math.round(value)))

/**
 * Serves queries for one cell that this host coordinates; calls for another cell fail and are not forwarded.
 */
const localInspection = (
  cells: CellQueries,
): Pick<ServiceImpl<typeof OperatorService>, 'targets' | 'owner' | 'blocked' | 'unblock'> => {
  const inspect = (cellId: string): CellInspector => unwrap(cells.local(cellId))
  return {
    targets: async ({ service, cellId }) => ({
      targets: [...(await inspect(cellId).targets(service === '' ? undefined : service))],
    }),
    owner: async ({ service, shard, keyHash, cellId }) => ({
      ...(await inspect(cellId).owner(service, shard, keyHash)),
      service,
      shard,
      cellId,
    }),
    blocked: async ({ cellId }) => ({ entries: (await inspect(cellId).blocked()).map(toBlockedEntry) }),
    unblock: async ({ identity, cellId }) => ({ found: await inspect(cellId).release(identity) }),
  }
}

const toBlockedEntry = (entry: {
  identity: string
  service: string
  crashes: number
  sinceMs: number
}): { identity: string; service: string; crashes: number; since: string } => ({
  identity: entry.identity,
  service: entry.service,
  crashes: entry.crashes,
  since: new Date(entry.sinceMs).toISOString(),
})

/** Routes of the operator listener; every call needs the credential of a declared operator. */
export const operatorService = ({
  backend,
  cells,
  operators,
}: OperatorServiceOptions): ((router: ConnectRouter) => void) => {
  const author = ({ values }: HandlerContext): string => values.get(operatorKey)
  const implementation: ServiceImpl<typeof OperatorService> = {
    plan: async ({ fileName, document }) => {
      const { baseVersion, changes, moves } = unwrap(await backend.plan(fileName, document))
      return {
        baseVersion,
        changes: changes.map((change) => ({ ...change, fields: [...change.fields] })),
        moves: [...moves],
      }
    },
    apply: async ({ fileName, document, baseVersion, hasBaseVersion, writeId }, context) => {
      const input = { fileName, document, ...(hasBaseVersion ? { baseVersion } : {}) }
      return unwrap(await backend.apply(input, { author: author(context), writeId }))
    },
    setDomain: async ({ domain, state, writeId }, context) =>
      unwrap(await backend.setDomain(domain, parseDomainState(state), { author: author(context), writeId })),
    setTarget: async ({ target, draining, writeId }, context) =>
      unwrap(await backend.setTarget(target, draining, { author: author(context), writeId })),
    status: () => {
      const configuration = backend.host.configuration()
      const { members, cells: knownCells, ...status } = backend.host.status()
      return {
        ...status,
        configVersion: configuration.version,
        configHash: configuration.hash,
        members: members.map((member) => ({ ...member, ageMs: toUint32(member.ageMs) })),
        cells: knownCells.map((cell) => ({ ...cell, heardAgoMs: toUint32(cell.heardAgoMs) })),
        domainStates: Object.fromEntries([
          ...configuration.deployment.domains.map(({ name }) => [name, DomainState.in] as const),
          ...Object.entries(configuration.operations.domains),
        ]),
      }
    },
    targets: async ({ service }) => ({ targets: [...(await cells.targets(service))] }),
    owner: async ({ service, key }) => unwrap(await cells.owner(service, key)),
    history: async ({ limit, writeId }) => {
      const { versions, currentVersion } = unwrap(await backend.history(limit, writeId))
      return { versions: [...versions], currentVersion }
    },
    audit: async ({ limit }) => ({ entries: [...unwrap(await backend.auditEntries(limit))] }),
    blocked: async () => {
      const { entries, unreachableCells } = await cells.blocked()
      return { entries: entries.map(toBlockedEntry), unreachableCells: [...unreachableCells] }
    },
    unblock: async ({ identity }, context) => {
      const { found, unreachableCells } = unwrap(await cells.release(identity, author(context)))
      return { found, unreachableCells: [...unreachableCells] }
    },
  }
  const credentials = new OperatorCredentials(operators)
  return (router) => {
    router.service(OperatorService, implementation, {
      interceptors: [requireOperator(credentials, backend)],
      readMaxBytes: 2 * maxDocumentBytes,
    })
  }
}

/** Routes of the peer listener: hosts with the peer secret query the cells that this host coordinates. */
export const cellInspectionService =
  ({ cells, peerSecrets }: CellInspectionOptions): ((router: ConnectRouter) => void) =>
  (router) => {
    router.service(OperatorService, localInspection(cells), {
      interceptors: [requirePeerSecret(peerSecrets)],
      readMaxBytes: 65_536,
    })
  }
