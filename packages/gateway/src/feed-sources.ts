/**
 * From whom a host takes changes of the store's tables, and to whom it reports. One host of each failure domain follows
 * the leader and the others of the domain follow that host, so that neither the leader nor the store serves every host,
 * and little crosses domains. Hosts with more processor time come first. Load pattern: a hundred hosts, most of them with
 * a quarter of a core, follow one leader.
 */
import type { HostRecord } from './router-state-rows.js'

/** Hosts of the same domain that are asked before the host turns to the store. */
const sourcesInDomain = 2

export interface FeedSourcesOptions {
  /** The asking host. */
  readonly hostName: string
  readonly domain: string
  readonly hosts: ReadonlyMap<string, HostRecord>
  /** Where the leader answers; undefined when there is none. */
  readonly leaderAddress: string | undefined
}

const comesFirst = (
  [nameA, a]: readonly [string, HostRecord],
  [nameB, b]: readonly [string, HostRecord],
): number => b.capacity - a.capacity || (nameA < nameB ? -1 : 1)

/** Addresses in the order in which they are asked; a host only follows hosts that come before it. */
export const feedSources = ({ hostName, domain, hosts, leaderAddress }: FeedSourcesOptions): string[] => {
  const own = hosts.get(hostName)
  if (own === undefined) return leaderAddress === undefined ? [] : [leaderAddress]
  if (own.peerAddress === leaderAddress) return []
  const inDomain = [...hosts].filter(([, host]) => host.domain === domain).sort(comesFirst)
  const rank = inDomain.findIndex(([name]) => name === hostName)
  const before = inDomain.slice(0, Math.min(rank, sourcesInDomain)).map(([, { peerAddress }]) => peerAddress)
  if (leaderAddress === undefined) return before
  const others = before.filter((address) => address !== leaderAddress)
  if (inDomain.some(([, { peerAddress }]) => peerAddress === leaderAddress)) return [leaderAddress, ...others]
  // From another domain, only the first hosts ask the leader.
  return rank < sourcesInDomain ? [...others, leaderAddress] : others
}
