/** Helpers that the tests of this package share. */
import { createServer, type AddressInfo } from 'node:net'

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
