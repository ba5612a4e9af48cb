/**
 * Resets a connection. Node's `resetAndDestroy` must not be called while the end of the socket's writable side is being
 * sent: it fails with EINVAL, the socket is never closed, and the process cannot end, as it waits in its exit for that
 * socket without pause (seen with Node 20.19).
 */
import type { Socket } from 'node:net'

export const resetConnection = (socket: Socket): void => {
  const isEnding = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0
  if (!isEnding) socket.resetAndDestroy()
  else socket.once('finish', () => socket.resetAndDestroy())
}
