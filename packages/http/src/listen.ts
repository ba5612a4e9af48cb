/** Binds a server to an address. */
import type { AddressInfo, Server } from 'node:net'

export interface ListenOptions {
  readonly host: string
  readonly port: number
  /** Most connections that may wait to be accepted. */
  readonly backlog?: number
}

/** Resolves to the port when the server listens; rejects when the address cannot be bound. Port 0 is any free one. */
export const listenOn = (server: Server, options: ListenOptions): Promise<number> =>
  new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(options, () => {
      server.off('error', reject)
      resolve((server.address() as AddressInfo).port)
    })
  })
