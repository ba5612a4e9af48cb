/** Binds a server to an address. */
import type { Server } from 'node:net'

export interface ListenOptions {
  readonly host: string
  readonly port: number
  /** Most connections that may wait to be accepted. */
  readonly backlog?: number
}

/** Resolves when the server listens; rejects when the address cannot be bound. */
export const listenOn = (server: Server, options: ListenOptions): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(options, () => {
      server.off('error', reject)
      resolve()
    })
  })
