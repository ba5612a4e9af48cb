/**
 * Guards against a host that keeps callers whom it cannot serve, and against all hosts turning callers away
 * together.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SilentLogger } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { configurationRow, targetRow } from '@pimentotally/platform/testing'
import { Directory, type KnownTarget } from './directory.js'
import { Reachability } from './reachability.js'

const ownDomain = 'a'
const perDomain = 3

interface Host {
  readonly time: VirtualTime
  readonly directory: Directory
  readonly reachability: Reachability
  readonly link: { hasNoTableSource: boolean; isUp: boolean }
  /** Reports failed connections to the first `count` targets of the domain. */
  readonly fail: (domain: string, count?: number) => void
}

const evacuate = (directory: Directory, domain: string): void => {
  const row = { key: `evacuate/${domain}`, version: 3, value: Buffer.from('{}') }
  directory.applyOperatorTable({ changed: [row], removed: [], version: 3 })
}

/** Starts a host that cannot reach the store and, by default, has no usable targets in its own domain. */
const startHost = ({ domains = ['a', 'b', 'c'], isOwnUsable = false } = {}): Host => {
  const time = new VirtualTime()
  const clock = time.clock()
  const logger = new SilentLogger()
  const directory = new Directory({ clock, logger })
  directory.applyOperatorTable({ changed: [configurationRow()], removed: [], version: 1 })
  const rows = domains.flatMap((domain, place) =>
    Array.from({ length: perDomain }, (_, index) =>
      targetRow({
        id: `${domain}-${String(index)}`,
        address: `10.0.${String(place)}.${String(index)}:80`,
        domain,
      }),
    ),
  )
  directory.applyTargetRegistry({ changed: rows, removed: [], version: 2 })
  if (!isOwnUsable) evacuate(directory, ownDomain)
  const link = { hasNoTableSource: true, isUp: false }
  const reachability = new Reachability({
    clock,
    logger,
    directory,
    domain: ownDomain,
    hasNoTableSource: () => link.hasNoTableSource,
    probe: async () => Promise.resolve(link.isUp),
  })
  const fail = (domain: string, count = perDomain): void => {
    for (let index = 0; index < count; index += 1) {
      reachability.recordConnectFailure(directory.target(`${domain}-${String(index)}`) as KnownTarget)
    }
  }
  return { time, directory, reachability, link, fail }
}

test('a host that reaches neither the store nor any other domain is cut off', () => {
  const { reachability, fail } = startHost()
  assert.equal(reachability.isCutOff, false)
  fail('b')
  assert.equal(reachability.isCutOff, false, 'a single domain may have failed')
  fail('c')
  assert.equal(reachability.isCutOff, true)
  reachability.recordAnswer('b')
  assert.equal(reachability.isCutOff, false)
})

test('a host whose own domain has targets of every service keeps its callers', () => {
  const { reachability, fail } = startHost({ isOwnUsable: true })
  fail('b')
  fail('c')
  assert.equal(reachability.isCutOff, false)
})

test('while the store is unreachable for all hosts, crashed targets make no host count as cut off', () => {
  const { reachability, fail } = startHost()
  fail('b', 1)
  fail('c', 1)
  assert.equal(reachability.isCutOff, false, 'one target of each domain has crashed')
  fail('b')
  reachability.recordAnswer('b')
  fail('c')
  assert.equal(reachability.isCutOff, false, 'another target of the domain has answered since')
})

test('a host with current tables is not cut off: targets of other domains that it cannot reach have ended', () => {
  const { reachability, link, fail } = startHost()
  link.hasNoTableSource = false
  fail('b')
  fail('c')
  assert.equal(reachability.isCutOff, false)
})

test('with only one other domain, the loss of that domain and of the store does not make a host count as cut off', () => {
  const { reachability, fail } = startHost({ domains: ['a', 'b'] })
  fail('b')
  assert.equal(reachability.isCutOff, false)
})

test('an evacuated domain gets no requests, so it is left out of the decision whether a host is cut off', () => {
  const { reachability, directory, fail } = startHost()
  evacuate(directory, 'c')
  fail('b')
  assert.equal(reachability.isCutOff, true)
})

test('a host without callers notices that other domains are reachable again while the store is not', async () => {
  const { reachability, time, link, fail } = startHost()
  fail('b')
  fail('c')
  assert.equal(reachability.isCutOff, true)
  await time.advance(5000)
  assert.equal(reachability.isCutOff, true)
  link.isUp = true
  await time.advance(1000)
  assert.equal(reachability.isCutOff, false)
})
