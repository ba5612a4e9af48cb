import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ThrowingInvariantReporter } from '@pimentotally/core'
import { PeerClients, PeerService, requirePeerSecret, serveRpc } from '@pimentotally/wire'
import { encodeConfiguration } from '@pimentotally/storage'
import { membershipHandlers } from './handlers.js'
import { Membership } from './membership.js'
import { WirePeerNetwork } from './peer-network.js'
import { MembershipSimulation, operations } from './testing.js'

test('over loopback a host with a wrong peer secret learns no members, and two hosts with the right one find each other by a seed', async () => {
  const closers: (() => Promise<void>)[] = []
  const startHost = async (name: string, seeds: string[], credential = 'secret') => {
    // Filled once the host exists: the server starts first, as the host needs the address of its listener.
    const started: Membership[] = []
    const current = () => started[0] ?? assert.fail('not started')
    const server = await serveRpc({
      host: '127.0.0.1',
      port: 0,
      interceptors: [requirePeerSecret(['secret'])],
      routes: (router) =>
        router.service(PeerService, {
          exchange: (...call) => membershipHandlers(current()).exchange(...call),
          notify: (...call) => membershipHandlers(current()).notify(...call),
          fetchConfiguration: (...call) => membershipHandlers(current()).fetchConfiguration(...call),
        }),
    })
    const clients = new PeerClients({ credential })
    const network = new WirePeerNetwork({ clients })
    const identity = { name, domain: 'a', region: 'r', peerAddress: server.address, seeds }
    const host = new Membership({
      ...identity,
      network,
      invariants: new ThrowingInvariantReporter(),
      gossipIntervalMs: 20,
    })
    started.push(host)
    host.start()
    closers.push(async () => {
      current().stop()
      clients.close()
      await server.close()
    })
    return host
  }
  const one = await startHost('one', [])
  const { hash, bytes } = encodeConfiguration({
    version: 1,
    deployment: new MembershipSimulation(1, 1).deployment,
    operations,
  })
  one.offerConfiguration(bytes, hash)
  const unauthenticated = await startHost('stranger', [one.self().peerAddress], 'wrong')
  const two = await startHost('two', [one.self().peerAddress])
  await new Promise<void>((resolve) => {
    two.onConfiguration(() => {
      resolve()
    })
  })
  assert.equal(two.configuration().hash, hash)
  assert.deepEqual(
    one.peers().map(({ name }) => name),
    ['two'],
  )
  assert.equal(unauthenticated.peers().length, 0)
  await Promise.all(closers.map((close) => close()))
})
