import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { Term } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import { HttpTargetGrantClient } from './grant-client.js'
import { GrantHolder } from './grant-holder.js'
import type { GrantRequest } from './grant.js'

const request: GrantRequest = {
  term: Term.of({ epoch: 1, ballot: 1, hostSequence: 1 }),
  cellId: 'a',
  validUntilMs: null,
  setVersion: 0,
  claim: true,
}

/** Starts a target that serves grants; requests that it receives while `isSilent` never get a response. */
const startTarget = async (): Promise<{
  server: Server
  sockets: Set<Socket>
  state: { isSilent: boolean; body: string | undefined; onSilent: () => void }
  address: string
}> => {
  const holder = new GrantHolder({ clock: new VirtualTime().clock(), instanceId: 'i1' })
  const state: { isSilent: boolean; body: string | undefined; onSilent: () => void } = {
    isSilent: false,
    body: undefined,
    onSilent: () => undefined,
  }
  const sockets = new Set<Socket>()
  const server = createServer((incoming, response) => {
    const chunks: Buffer[] = []
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
    incoming.on('end', () => {
      if (state.isSilent) {
        state.onSilent()
        return
      }
      const text = Buffer.concat(chunks).toString()
      const result = text === '' ? { instanceId: 'i1' } : holder.handle(JSON.parse(text) as GrantRequest)
      response.end(state.body ?? JSON.stringify(result))
    })
  })
  server.on('connection', (socket) => sockets.add(socket))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { server, sockets, state, address: `127.0.0.1:${String((server.address() as AddressInfo).port)}` }
}

test('the grant client reuses its connection, and replaces one on which a call timed out', async () => {
  const { server, sockets, state, address } = await startTarget()
  const time = new VirtualTime()
  const client = new HttpTargetGrantClient({ address, clock: time.clock() })
  try {
    assert.equal((await client.send(request))?.accepted, true)
    assert.equal((await client.probe())?.instanceId, 'i1')
    assert.equal(sockets.size, 1)
    state.isSilent = true
    const received = new Promise<void>((resolve) => (state.onSilent = resolve))
    const silent = client.send(request)
    assert.equal(await client.send(request), undefined, 'only one message may be in flight')
    await received
    await time.advance(200)
    assert.equal(await silent, undefined)
    state.isSilent = false
    assert.equal((await client.send(request))?.accepted, true)
    assert.equal(sockets.size, 2)
    state.body = '{"accepted":true,"highestTerm":"not a term"}'
    assert.equal(await client.send(request), undefined, 'a malformed response counts as none')
  } finally {
    client.close()
    server.closeAllConnections()
    server.close()
  }
  assert.equal(await client.send(request), undefined, 'a call to a stopped target ends without a response')
})
