/**
 * Messages between a host and the leader about the quotas of tenants. Numbers stand in arrays without names, as
 * each host sends such a message about once a second for all of its tenants.
 */
import type { QuotaAsk, QuotaGrant } from '@pimentotally/assignment'

/** What a host asks the leader. */
export interface QuotaRequest {
  /** Unique for each start of the host's process. */
  readonly processId: string
  readonly hostName: string
  /** Rises with each request of the process. */
  readonly sequence: number
  /** Whether the host holds no part of a tenant that is not named here. */
  readonly isComplete: boolean
  readonly asks: readonly QuotaAsk[]
}

export interface QuotaReply {
  /** The term of the leader that answers. */
  readonly term: number
  readonly grants: readonly QuotaGrant[]
}

/** Most tenants in one request. */
export const maxAsks = 2000

const hundredths = (value: number): number => Math.round(value * 100) / 100

export const encodeQuotaRequest = ({ asks, ...head }: QuotaRequest): string =>
  JSON.stringify({
    ...head,
    asks: asks.map(({ tenant, held, tokens, returned, demand, waiting }) => [
      tenant,
      held.rate,
      held.capacity,
      tokens,
      returned,
      hundredths(demand),
      waiting,
    ]),
  })

export const encodeQuotaReply = ({ term, grants }: QuotaReply): string =>
  JSON.stringify({
    term,
    grants: grants.map(({ tenant, part, tokens, demandShare, plan }) => [
      tenant,
      part.rate,
      part.capacity,
      hundredths(tokens),
      hundredths(demandShare),
      plan.rate,
      plan.tokens,
    ]),
  })

const parse = (text: string): Readonly<Record<string, unknown>> | undefined => {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : undefined
  } catch {
    return undefined
  }
}

/** Rows of a name and `length` numbers that are not negative; undefined when any row is another. */
const readRows = (
  value: unknown,
  length: number,
): readonly (readonly [string, readonly number[]])[] | undefined => {
  if (!Array.isArray(value) || value.length > maxAsks) return undefined
  const rows: (readonly [string, readonly number[]])[] = []
  for (const row of value as readonly unknown[]) {
    if (!Array.isArray(row) || row.length !== length + 1) return undefined
    const [name, ...numbers] = row as unknown[]
    if (typeof name !== 'string') return undefined
    if (!numbers.every((item): item is number => Number.isFinite(item) && Number(item) >= 0)) return undefined
    rows.push([name, numbers])
  }
  return rows
}

/** Undefined when the text is no such request. */
export const decodeQuotaRequest = (text: string): QuotaRequest | undefined => {
  const { processId, hostName, sequence, isComplete, asks } = parse(text) ?? {}
  const rows = readRows(asks, 6)
  if (typeof processId !== 'string' || typeof hostName !== 'string' || rows === undefined) return undefined
  if (typeof sequence !== 'number' || typeof isComplete !== 'boolean') return undefined
  return {
    processId,
    hostName,
    sequence,
    isComplete,
    asks: rows.map(
      ([tenant, [rate = 0, capacity = 0, tokens = 0, returned = 0, demand = 0, waiting = 0]]) => ({
        tenant,
        held: { rate, capacity },
        tokens,
        returned,
        demand,
        waiting,
      }),
    ),
  }
}

/** Undefined when the text is no such reply. */
export const decodeQuotaReply = (text: string): QuotaReply | undefined => {
  const { term, grants } = parse(text) ?? {}
  const rows = readRows(grants, 6)
  if (typeof term !== 'number' || rows === undefined) return undefined
  return {
    term,
    grants: rows.map(
      ([tenant, [rate = 0, capacity = 0, tokens = 0, demandShare = 0, planRate = 0, planTokens = 0]]) => ({
        tenant,
        part: { rate, capacity },
        tokens,
        demandShare,
        plan: { rate: planRate, tokens: planTokens },
      }),
    ),
  }
}
