/** Converts between protobuf messages and the types of slot accounting. */
import { create } from '@bufbuild/protobuf'
import {
  AttemptKind,
  AttemptOutcome,
  type Permit,
  type PermitRefusal,
  PermitRefusalCode,
  type PermitReport,
  type PermitRequest,
} from '@pimentotally/core'
import {
  type Acquire,
  AcquireSchema,
  type BlockedRequest,
  BlockedRequestSchema,
  type HeldPermit as HeldPermitMessage,
  HeldPermitSchema,
  type Lent,
  LentSchema,
  type Refused,
  RefusedSchema,
  type Release,
  ReleaseSchema,
} from '@pimentotally/wire'
import type { CrashRecord, HeldPermit } from './session.js'

/** Messages carry whole milliseconds; a remaining time is rounded down, so that it never becomes longer. */
const wholeMs = (durationMs: number): number => Math.max(0, Math.floor(durationMs))

const oneOf = <T extends string>(values: Readonly<Record<string, T>>, text: string, otherwise: T): T =>
  Object.values(values).find((value) => value === text) ?? otherwise

export const acquireMessage = (callId: number, request: PermitRequest): Acquire =>
  create(AcquireSchema, {
    callId,
    requestId: request.requestId,
    service: request.service,
    shard: request.shard ?? 0,
    hasShard: request.shard !== undefined,
    keyHash: request.keyHash ?? '',
    excludedTargets: [...request.excludedTargets],
    deadlineMs: wholeMs(request.deadlineMs),
    identity: request.identity,
    attempt: request.attempt,
    idempotent: request.idempotent,
  })

export const permitRequest = (message: Acquire): PermitRequest => ({
  requestId: message.requestId,
  service: message.service,
  shard: message.hasShard ? message.shard : undefined,
  keyHash: message.keyHash === '' ? undefined : message.keyHash,
  excludedTargets: message.excludedTargets,
  deadlineMs: message.deadlineMs,
  identity: message.identity,
  // An unknown kind counts against a budget rather than escaping it.
  attempt: oneOf(AttemptKind, message.attempt, AttemptKind.retry),
  idempotent: message.idempotent,
})

export const releaseMessage = (permitId: string, { outcome, latencyMs }: PermitReport): Release =>
  create(ReleaseSchema, {
    permitId,
    outcome,
    latencyUs: Math.min(0xffffffff, Math.max(0, Math.round(latencyMs * 1000))),
  })

export const permitReport = ({ outcome, latencyUs }: Release): PermitReport => ({
  outcome: oneOf(AttemptOutcome, outcome, AttemptOutcome.failed),
  latencyMs: latencyUs / 1000,
})

export const lentMessage = (callId: number, permit: Permit): Lent =>
  create(LentSchema, {
    callId,
    permitId: permit.permitId,
    target: permit.target,
    address: permit.address,
    fence: permit.fence ?? '',
    sendWithinMs: wholeMs(permit.sendWithinMs),
    // 0 means no hedge, so a shorter delay is rounded up to 1.
    hedgeAfterMs: permit.hedgeAfterMs === undefined ? 0 : Math.max(1, Math.ceil(permit.hedgeAfterMs)),
  })

export const permitOf = (message: Lent, cellId: string, term: string): Permit => ({
  permitId: message.permitId,
  cellId,
  term,
  target: message.target,
  address: message.address,
  fence: message.fence === '' ? undefined : message.fence,
  sendWithinMs: message.sendWithinMs,
  hedgeAfterMs: message.hedgeAfterMs === 0 ? undefined : message.hedgeAfterMs,
})

export const refusedMessage = (callId: number, { code, message, retryAfterMs = 0 }: PermitRefusal): Refused =>
  create(RefusedSchema, { callId, code, message, retryAfterMs: wholeMs(retryAfterMs) })

export const permitRefusal = ({ code, message, retryAfterMs }: Refused): PermitRefusal => ({
  code: oneOf(PermitRefusalCode, code, PermitRefusalCode.noTarget),
  message,
  retryAfterMs: retryAfterMs === 0 ? undefined : retryAfterMs,
})

export const heldMessage = (permit: HeldPermit): HeldPermitMessage =>
  create(HeldPermitSchema, {
    permitId: permit.permitId,
    target: permit.target,
    service: permit.service,
    shard: permit.shard ?? 0,
    hasShard: permit.shard !== undefined,
    // Rounded up, so that the coordinator does not take the request to have ended too early.
    deadlineMs: Math.ceil(Math.max(0, permit.deadlineMs)),
    identity: permit.identity,
  })

export const heldPermitOf = (message: HeldPermitMessage): HeldPermit => ({
  permitId: message.permitId,
  target: message.target,
  service: message.service,
  shard: message.hasShard ? message.shard : undefined,
  deadlineMs: message.deadlineMs,
  identity: message.identity,
})

export const crashMessage = (entry: CrashRecord): BlockedRequest =>
  create(BlockedRequestSchema, {
    ...entry,
  })

export const crashRecord = ({ identity, service, crashes }: BlockedRequest): CrashRecord => ({
  identity,
  service,
  crashes,
})
