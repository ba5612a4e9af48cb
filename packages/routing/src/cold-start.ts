/**
 * Limits requests to a cold target over all hosts without a message between them. With few hosts each takes an equal
 * part of the rate; with more hosts than the rate allows, rendezvous hashing picks the hosts that may send. Load
 * pattern: the targets of a failure domain come back cold together while requests wait for them.
 */
import { SlidingCount } from './sliding-count.js'

/** The rate of a cold target is given per second. */
const windowMs = 1000

export interface ColdShareOptions {
  /** Requests a second that the target tolerates from all hosts together. */
  readonly requestsPerSecond: number
  readonly targetId: string
  readonly hostName: string
  /** All known hosts; this one counts even when it is missing. */
  readonly hostNames: readonly string[]
}

/** FNV-1a; the result only has to be the same on all hosts. */
const hash = (text: string): number => {
  let value = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
  }
  // Spreads the last characters over all bits.
  value = Math.imul(value ^ (value >>> 16), 0x45d9f3b)
  return (value ^ (value >>> 16)) >>> 0
}

/** This host's part of the rate, in requests a second; 0 when other hosts were picked. */
export const coldShare = ({ requestsPerSecond, targetId, hostName, hostNames }: ColdShareOptions): number => {
  const count = hostNames.length + (hostNames.includes(hostName) ? 0 : 1)
  const whole = Math.floor(requestsPerSecond)
  const each = Math.floor(whole / count)
  const rest = whole - each * count
  const own = hash(`${targetId}/${hostName}`)
  let rank = 0
  for (const other of hostNames) {
    if (other === hostName) continue
    const score = hash(`${targetId}/${other}`)
    if (score > own || (score === own && other > hostName)) rank += 1
  }
  return each + (rank < rest ? 1 : 0)
}

/** Counts what this host sent to one target in the last second. */
export class ColdSends {
  readonly #sent = new SlidingCount(windowMs)

  record(nowMs: number): void {
    this.#sent.add(nowMs)
  }

  /** Whether one more request stays within `share` requests a second. */
  allows(nowMs: number, share: number): boolean {
    return this.#sent.count(nowMs) < share
  }

  /** Time until one more request is allowed again, at least. */
  waitMs(nowMs: number, share: number): number {
    return this.allows(nowMs, share) ? 0 : this.#sent.nextExpiryMs(nowMs) || windowMs
  }
}
