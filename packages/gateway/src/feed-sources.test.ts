/**
 * Guards against every host reading from the leader or the store, and against cycles of hosts that read from
 * each other.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { feedSources } from './feed-sources.js'
import type { HostRecord } from './router-state-rows.js'

const domains = ['a', 'b', 'c']

/** A deployment in which the first host of each domain is larger than the others. */
const deployment = (count: number): Map<string, HostRecord> =>
  new Map(
    Array.from({ length: count }, (_, index) => [
      `h${String(index).padStart(4, '0')}`,
      {
        peerAddress: `10.0.${String(index >>> 8)}.${String(index & 255)}:1`,
        domain: domains[index % domains.length] ?? '',
        capacity: index < domains.length ? 1.35 : 0.27,
      },
    ]),
  )

const firstSources = (hosts: ReadonlyMap<string, HostRecord>, leaderAddress: string | undefined): string[] =>
  [...hosts].map(
    ([hostName, { domain }]) => feedSources({ hostName, domain, hosts, leaderAddress })[0] ?? 'store',
  )

for (const count of [3, 10, 85, 300, 1150]) {
  test(`${String(count)} hosts: only the leader reads the store, and only its own domain and one host of each other domain ask the leader`, () => {
    const hosts = deployment(count)
    const leaderAddress = hosts.get('h0000')?.peerAddress ?? ''
    const sources = firstSources(hosts, leaderAddress)
    assert.equal(sources.filter((source) => source === 'store').length, 1)
    const followers = sources.filter((source) => source === leaderAddress).length
    assert.ok(followers <= Math.ceil(count / domains.length) - 1 + domains.length - 1, String(followers))
  })
}

test('without a leader one host of each domain reads the store', () => {
  const sources = firstSources(deployment(85), undefined)
  assert.equal(sources.filter((source) => source === 'store').length, domains.length)
})

test('no host reads from a host that reads from it, directly or through others', () => {
  const hosts = deployment(30)
  const byAddress = new Map([...hosts].map(([name, host]) => [host.peerAddress, { name, ...host }]))
  for (const leaderAddress of [undefined, ...[...hosts.values()].map(({ peerAddress }) => peerAddress)]) {
    const visit = (hostName: string, path: readonly string[]): void => {
      assert.ok(!path.includes(hostName), [...path, hostName].join(' '))
      const domain = hosts.get(hostName)?.domain ?? ''
      for (const address of feedSources({ hostName, domain, hosts, leaderAddress })) {
        visit(byAddress.get(address)?.name ?? '', [...path, hostName])
      }
    }
    for (const hostName of hosts.keys()) visit(hostName, [])
  }
})

test('a host that is not registered yet asks the leader', () => {
  const hosts = deployment(10)
  const leaderAddress = '10.0.0.0:1'
  assert.deepEqual(feedSources({ hostName: 'new', domain: 'a', hosts, leaderAddress }), [leaderAddress])
})
