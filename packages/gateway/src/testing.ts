/** Rows and fakes that the tests of this package share. */
import { createServer, type AddressInfo } from 'node:net'
import type { StoredRow } from '@pimentotally/storage'

export interface ConfigurationRowOptions {
  readonly version?: number
  readonly rowVersion?: number
  readonly isSharded?: boolean
}

/** A configuration of one service `notes` behind `shop.example/notes/`, as the operator writes it. */
export const configurationRow = ({
  version = 1,
  rowVersion = 1,
  isSharded = false,
}: ConfigurationRowOptions = {}): StoredRow => ({
  key: 'config',
  version: rowVersion,
  value: Buffer.from(
    JSON.stringify({
      version,
      services: [
        {
          name: 'notes',
          healthPath: '/healthz',
          maxConnections: 100,
          coldStart: '3s',
          coldPerS: 12,
          isSharded,
          warmup: '2s',
        },
      ],
      limits: {
        maxHeaderBytes: 16384,
        maxBodyBytes: 1048576,
        headerTimeout: '3000ms',
        idleTimeout: '15000ms',
      },
      virtualHosts: [
        {
          hostname: 'shop.example',
          paths: [
            {
              name: 'notes',
              prefix: '/notes/',
              type: 'safe',
              timeout: '2000ms',
              targetLatency: '500ms',
              priority: 1,
              service: 'notes',
              maxAttempts: 2,
            },
            {
              name: 'orders',
              prefix: '/orders/',
              type: 'unsafe',
              timeout: '2000ms',
              targetLatency: '500ms',
              priority: 1,
              service: 'notes',
              maxAttempts: 2,
            },
          ],
        },
      ],
    }),
  ),
})

export interface TargetRowOptions {
  readonly id: string
  readonly address: string
  readonly rowVersion?: number
  readonly state?: string
  readonly domain?: string
  readonly born?: number
  readonly coldRemaining?: string
  readonly sequence?: number
}

/** An entry of a target of the service `notes`, as the target writes it. */
export const targetRow = ({
  id,
  address,
  rowVersion = 1,
  state = 'ready',
  domain = 'a',
  born = 1000,
  coldRemaining = '0ms',
  sequence = 1,
}: TargetRowOptions): StoredRow => ({
  key: id,
  version: rowVersion,
  value: Buffer.from(
    JSON.stringify({
      address,
      born,
      info: { service: 'notes', version: 'v1', zone: domain, slots: 4 },
      status: { state, sequence, coldRemaining },
    }),
  ),
})

/** A port of the loopback address that is free just now. */
export const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo
      server.close(() => {
        resolve(port)
      })
    })
  })
