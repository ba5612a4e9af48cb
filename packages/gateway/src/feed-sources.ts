/**
 * Chooses the hosts from which a host takes changes of the store's tables, and to which it sends its reports.
 * In the leader's failure domain, the hosts follow the leader. In each other one, one host follows the leader
 * and the other hosts follow that one, so that neither the leader nor the store serves every host, and little
 * traffic crosses domains. Hosts with more processor time come first. Load pattern: a hundred hosts, most of
 * them with a quarter of a core, follow one leader.
 */
import type { HostRecord } from './router-state-rows.js'

/**
 * A host tries at most this many hosts of its own domain, besides the leader, before it reads the store
 * itself. The same number of hosts of a domain may follow a leader in another domain.
 */
const sourcesInDomain = 2

export interface FeedSourcesOptions {
  /** The host whose sources are chosen. */
  readonly hostName: string
  readonly domain: string
  readonly hosts: ReadonlyMap<string, HostRecord>
  /** Address of the leader; undefined when there is none. */
  readonly leaderAddress: string | undefined
}

const compareHosts = (
  [nameA, a]: readonly [string, HostRecord],
  [nameB, b]: readonly [string, HostRecord],
): number => b.capacity - a.capacity || (nameA < nameB ? -1 : 1)

/** Addresses in the order in which they are tried; a host only follows hosts that come before it. */
export const feedSources = ({ hostName, domain, hosts, leaderAddress }: FeedSourcesOptions): string[] => {
  const own = hosts.get(hostName)
  if (own === undefined) return leaderAddress === undefined ? [] : [leaderAddress]
  if (own.peerAddress === leaderAddress) return []
  const inDomain = [...hosts].filter(([, host]) => host.domain === domain).sort(compareHosts)
  const rank = inDomain.findIndex(([name]) => name === hostName)
  const before = inDomain.slice(0, Math.min(rank, sourcesInDomain)).map(([, { peerAddress }]) => peerAddress)
  if (leaderAddress === undefined) return before
  const others = before.filter((address) => address !== leaderAddress)
  if (inDomain.some(([, { peerAddress }]) => peerAddress === leaderAddress)) return [leaderAddress, ...others]
  // The leader is in another domain: only the first hosts of this domain follow it.
  return rank < sourcesInDomain ? [...others, leaderAddress] : others
}
