/**
 * Tells a connection that its peer closed from one that was reset. A body without a length ends with its connection,
 * and is complete only if that was closed.
 */
import type { Socket } from 'node:net'

/**
 * Resolves to whether the connection is closed rather than reset; to be called before it has ended. Node reports an
 * end for some reset connections as well; at that moment a reset connection has no remote port any more, while a
 * closed one still has.
 */
export const waitForCleanClose = (socket: Socket): Promise<boolean> =>
  new Promise((resolve) => {
    if (socket.closed) {
      resolve(false)
      return
    }
    let hasRemotePort = false
    socket.prependOnceListener('end', () => {
      hasRemotePort = socket.remotePort !== undefined
    })
    socket.once('close', (hadError) => {
      resolve(hasRemotePort && !hadError)
    })
  })
