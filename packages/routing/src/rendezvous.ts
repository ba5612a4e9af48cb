/**
 * Rendezvous hashing: ranks the hosts by a hash of the target and the host, so that all hosts agree on which
 * of them may send to the target, without messages between them.
 */

/** FNV-1a hash with a final mix. It only has to give the same result on all hosts. */
const hash = (text: string): number => {
  let value = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
  }
  // FNV-1a alone lets the last characters affect only some of the bits.
  value = Math.imul(value ^ (value >>> 16), 0x45d9f3b)
  return (value ^ (value >>> 16)) >>> 0
}

export interface HostRankOptions {
  readonly targetId: string
  readonly hostName: string
  /** Names of all known hosts; this host is counted even when the list lacks it. */
  readonly hostNames: readonly string[]
}

export interface HostRank {
  /** Number of hosts that come before this one for the target. */
  readonly rank: number
  /** Number of hosts. */
  readonly count: number
}

export const hostRank = ({ targetId, hostName, hostNames }: HostRankOptions): HostRank => {
  const own = hash(`${targetId}/${hostName}`)
  let rank = 0
  for (const other of hostNames) {
    if (other === hostName) continue
    const score = hash(`${targetId}/${other}`)
    if (score > own || (score === own && other > hostName)) rank += 1
  }
  return { rank, count: hostNames.length + (hostNames.includes(hostName) ? 0 : 1) }
}
