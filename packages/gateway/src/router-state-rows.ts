/** Keys and values of the rows that the router writes into the store: leader, hosts and assignments. */
import type { LeaderRecord } from '@pimentotally/assignment'
import type { StoredRow } from '@pimentotally/storage'

const hostPrefix = 'host/'
const assignmentPrefix = 'assignment/'

const withoutPrefix = (key: string, prefix: string): string | undefined =>
  key.startsWith(prefix) ? key.slice(prefix.length) : undefined

export const routerStateKeys = {
  leader: 'leader',
  host: (name: string): string => `${hostPrefix}${name}`,
  hostOf: (key: string): string | undefined => withoutPrefix(key, hostPrefix),
  /** One row for each block of a service's keys. */
  assignment: (service: string, block: number): string => `${assignmentPrefix}${service}/${String(block)}`,
  isAssignment: (key: string): boolean => key.startsWith(assignmentPrefix),
} as const

/** What a host writes of itself, for the other hosts. */
export interface HostRecord {
  /** Address at which other hosts reach it. */
  readonly peerAddress: string
  readonly domain: string
  /** Processor time that the host may use, in cores. */
  readonly capacity: number
}

export const encodeHost = (record: HostRecord): Buffer => Buffer.from(JSON.stringify(record))

/** Undefined when the bytes are not a host's record. */
export const decodeHost = (bytes: Buffer): HostRecord | undefined => {
  try {
    const { peerAddress, domain, capacity } = JSON.parse(bytes.toString('utf8')) as HostRecord
    const valid = typeof peerAddress === 'string' && typeof domain === 'string' && Number.isFinite(capacity)
    return valid ? { peerAddress, domain, capacity } : undefined
  } catch {
    return undefined
  }
}

export const encodeLeader = (record: LeaderRecord): Buffer => Buffer.from(JSON.stringify(record))

/** Undefined when the bytes are not a leader's record. */
export const decodeLeader = (bytes: Buffer): LeaderRecord | undefined => {
  try {
    // Records of earlier versions of the router have no era.
    const { era = 0, ...rest } = JSON.parse(bytes.toString('utf8')) as Omit<LeaderRecord, 'era'> & {
      era?: number
    }
    const record: LeaderRecord = { ...rest, era }
    const valid =
      typeof record.leader === 'string' &&
      typeof record.peerAddress === 'string' &&
      Number.isInteger(record.term) &&
      Number.isInteger(record.renewal) &&
      Number.isInteger(record.era) &&
      typeof record.hasLongGrants === 'boolean'
    return valid ? record : undefined
  } catch {
    return undefined
  }
}

/** Whether a changed row is only a renewal of the lease by the same leader. */
export const isRenewalOnly = (row: StoredRow, previous: StoredRow | undefined): boolean => {
  if (row.key !== routerStateKeys.leader || previous === undefined) return false
  const [now, before] = [decodeLeader(row.value), decodeLeader(previous.value)]
  return (
    now !== undefined &&
    before !== undefined &&
    now.term === before.term &&
    now.leader === before.leader &&
    now.released === before.released
  )
}
