/**
 * A large response that has arrived completely, but waits for a slow caller, when its connection fails. Guards against
 * a body that loses its last part and still looks complete.
 */
import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { maxBufferedBytes } from './target-exchange.js'
import { TestGateway, rawHead, startExchange, startRawTarget } from './testing-gateway.js'

const timeoutMs = 20_000
const large = 'x'.repeat(maxBufferedBytes + 20_000)

const framings: Record<string, (id: string, body: string) => string> = {
  'a length': (id, body) => `${rawHead(id, [`Content-Length: ${String(body.length)}`])}\r\n${body}`,
  chunks: (id, body) => {
    const parts = body.match(/.{1,10000}/gs) ?? []
    const chunks = parts.map((part) => `${part.length.toString(16)}\r\n${part}\r\n`).join('')
    return `${rawHead(id, ['Transfer-Encoding: chunked'])}\r\n${chunks}0\r\n\r\n`
  },
}
const failures: Record<string, (socket: Socket, response: string) => void> = {
  'is reset': (socket, response) => {
    socket.write(response)
    setTimeout(() => socket.resetAndDestroy(), 50)
  },
  'carries other bytes in the same segment': (socket, response) => {
    socket.write(`${response}garbage\r\n\r\n`)
  },
}

for (const [framing, write] of Object.entries(framings)) {
  for (const [failure, fail] of Object.entries(failures)) {
    test(
      `a body with ${framing} that waits when its connection ${failure} is whole or broken off`,
      { timeout: timeoutMs },
      async (t) => {
        const target = await startRawTarget(t, 'a', (socket, id) => {
          fail(socket, write(id, large))
        })
        const result = await startExchange(t, target.address)
        assert.ok(result.kind === 'response')
        const { incoming } = result
        let bytes = result.body.reduce((sum, { length }) => sum + length, 0)
        const ended = await new Promise<boolean>((resolve) => {
          incoming.pause()
          incoming.on('data', (chunk: Buffer) => (bytes += chunk.length))
          incoming.once('end', () => {
            resolve(incoming.complete)
          })
          incoming.once('close', () => {
            resolve(false)
          })
          incoming.once('aborted', () => {
            resolve(false)
          })
          setTimeout(() => incoming.resume(), 150)
          setTimeout(() => {
            resolve(false)
          }, 500)
        })
        assert.ok(
          !ended || bytes === large.length,
          `complete with ${String(bytes)} of ${String(large.length)} bytes`,
        )
      },
    )

    test(
      `a caller that reads at once gets a body with ${framing} whole or broken off when its connection ${failure}`,
      { timeout: timeoutMs },
      async (t) => {
        const body = 'x'.repeat(200_000)
        const target = await startRawTarget(t, 'a', (socket, id) => {
          fail(socket, write(id, body))
        })
        const gateway = await TestGateway.start(t, [target])
        const lengths: number[] = []
        for (let index = 0; index < 20; index += 1) {
          const answer = await Promise.race([
            gateway.call('/notes/1').catch(() => undefined),
            sleep(700).then(() => undefined),
          ])
          if (answer?.status === 200) lengths.push(answer.body.length)
        }
        t.diagnostic(lengths.join(' '))
        assert.ok(
          lengths.every((length) => length === body.length),
          lengths.join(' '),
        )
      },
    )

    test(
      `a caller that reads slowly gets a body with ${framing} whole or broken off when its connection ${failure}`,
      { timeout: timeoutMs },
      async (t) => {
        const big = 'x'.repeat(8_000_000)
        const target = await startRawTarget(t, 'a', (socket, id, index) => {
          if (index === 0) fail(socket, write(id, big))
          else socket.write(write(id, 'second'))
        })
        const gateway = await TestGateway.start(t, [target])
        const socket = connect(gateway.port, '127.0.0.1')
        t.after(() => socket.destroy())
        let closed = false
        socket.once('close', () => (closed = true)).on('error', () => undefined)
        const head = (id: string): string =>
          `GET /notes/${id} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 9000\r\n\r\n`
        socket.write(head('r-1'))
        let text = ''
        // Reads in small steps, so that the body waits in the router.
        socket.on('data', (chunk) => {
          text += chunk.toString('latin1')
          socket.pause()
          setTimeout(() => socket.resume(), 2)
        })
        let before = -1
        while (text.length !== before) {
          before = text.length
          await sleep(400)
        }
        const looksComplete = framing === 'chunks' ? text.endsWith('\r\n0\r\n\r\n') : !closed
        const bodyBytes = text.split('x').length - 1
        assert.ok(
          !looksComplete || bodyBytes >= big.length,
          `open or ended with ${String(bodyBytes)} of ${String(big.length)} bytes`,
        )
      },
    )
  }
}
