/** The state of one cell as it is reported to operators. */
import { Instant, Term, type Clock } from '@pimentotally/core'
import type { Tenure } from './tenure.js'

export interface TargetStatus {
  readonly name: string
  readonly service: string
  readonly state: 'serving' | 'silent' | 'lost'
  /** Shards and overridden keys that the target has confirmed. */
  readonly shards: number
  readonly keys: number
  readonly lastAnswerAgoMs?: number
}

export interface CellStatus {
  readonly cellId: string
  readonly role: string
  /** Present while this host's term is valid. */
  readonly term?: Term
  readonly epoch?: number
  /** True when the platform holds the assignment in force. */
  readonly isStored: boolean
  readonly unstoredMoves: number
  /** Shards and keys that changed their target under this tenure. */
  readonly movedItems: number
  /** Time since the newest renewal that a majority accepted was sent. */
  readonly lastRenewalAgoMs?: number
  readonly targets: readonly TargetStatus[]
  /** Shards that this cell may grant and that have no confirmed owner at present. */
  readonly unownedShards: number
}

export interface CellStatusInput {
  readonly cellId: string
  readonly role: string
  readonly clock: Clock
  readonly tenure?: Tenure
  readonly isStored: boolean
  readonly unstoredMoves: number
  readonly movedItems: number
}

export const describeCell = ({ clock, tenure, ...common }: CellStatusInput): CellStatus => {
  if (tenure === undefined) return { ...common, targets: [], unownedShards: 0 }
  const shards = new Map<string, number>()
  const keys = new Map<string, number>()
  let unownedShards = 0
  for (const [service, homes] of tenure.grantable) {
    for (const shard of homes) {
      const owner = tenure.owner(service, shard, '')
      if (owner === undefined) unownedShards += 1
      else shards.set(owner.target, (shards.get(owner.target) ?? 0) + 1)
      for (const { keyHash = '' } of tenure.assignment.overridesOfShard(service, shard)) {
        const keyOwner = tenure.owner(service, shard, keyHash)
        if (keyOwner !== undefined) keys.set(keyOwner.target, (keys.get(keyOwner.target) ?? 0) + 1)
      }
    }
  }
  return {
    ...common,
    ...(tenure.validForMs() > 0 ? { term: tenure.term } : {}),
    epoch: tenure.record.epoch,
    ...(tenure.validSince === undefined
      ? {}
      : { lastRenewalAgoMs: Instant.holderElapsedMs(tenure.validSince, clock) }),
    targets: [...tenure.sessions.values()].map((session) => {
      const lastAnswerAgoMs = session.respondedAgoMs()
      return {
        name: session.name,
        service: session.spec.service,
        state: session.alive ? 'serving' : session.lost ? 'lost' : 'silent',
        shards: shards.get(session.name) ?? 0,
        keys: keys.get(session.name) ?? 0,
        ...(lastAnswerAgoMs === undefined ? {} : { lastAnswerAgoMs }),
      }
    }),
    unownedShards,
  }
}
