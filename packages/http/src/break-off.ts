/** Ends responses whose rest will not follow, so that they do not look complete. */
import type { ServerResponse } from 'node:http'
import { resetConnection } from './reset-connection.js'

/**
 * Closes the connection of a response that cannot be completed. A caller that takes no chunks, as with HTTP/1.0,
 * reads a body to the end of its connection, and would take a closed one for the end of the body; so its connection
 * is reset. A reset also discards what the caller has not read yet, so others are closed.
 */
export const breakOffResponse = (response: ServerResponse): void => {
  const readsToEnd = response.headersSent && response.req.httpVersion !== '1.1' && !response.chunkedEncoding
  if (readsToEnd && response.socket !== null) resetConnection(response.socket)
  else response.destroy()
}
