/**
 * Bounds the memory of answers that callers do not read. An answer that was given to a connection stays in memory until
 * its caller has read those before it. While there is room, a caller may read as slowly as it likes; when it is short,
 * the connections from which nothing is read give way, the largest first.
 *
 * Load pattern: callers send many requests ahead and never read an answer.
 */

export interface UnreadConnection<Connection> {
  readonly connection: Connection
  /** Bytes of answers that wait to be sent. */
  readonly unreadBytes: number
  /** Bytes that were sent since the connection was opened. */
  readonly sentBytes: number
}

export interface UnreadAnswersOptions {
  /** Bytes that all connections together may have unread. */
  readonly maxBytes: number
  /** A connection on which nothing was sent for this time is not read; a slow caller reads 64 KB in it. */
  readonly stallMs?: number
}

export class UnreadAnswers<Connection> {
  readonly #maxBytes: number
  readonly #stallMs: number
  #seen = new Map<Connection, { readonly sentBytes: number; readonly sinceMs: number }>()

  constructor({ maxBytes, stallMs = 5000 }: UnreadAnswersOptions) {
    this.#maxBytes = maxBytes
    this.#stallMs = stallMs
  }

  /** Takes all connections with open answers; returns those that have to be closed. */
  check(open: readonly UnreadConnection<Connection>[], nowMs: number): Connection[] {
    // A connection with nothing to read is waiting for its answer, and its time begins with the first unread byte.
    const connections = open.filter(({ unreadBytes }) => unreadBytes > 0)
    const before = this.#seen
    this.#seen = new Map(
      connections.map(({ connection, sentBytes }) => {
        const seen = before.get(connection)
        return [connection, seen?.sentBytes === sentBytes ? seen : { sentBytes, sinceMs: nowMs }]
      }),
    )
    let bytes = connections.reduce((sum, { unreadBytes }) => sum + unreadBytes, 0)
    if (bytes <= this.#maxBytes) return []
    const stalled = connections
      .filter(({ connection }) => nowMs - (this.#seen.get(connection)?.sinceMs ?? nowMs) >= this.#stallMs)
      .sort((one, other) => other.unreadBytes - one.unreadBytes)
    const closed: Connection[] = []
    for (const { connection, unreadBytes } of stalled) {
      if (bytes <= this.#maxBytes) break
      bytes -= unreadBytes
      closed.push(connection)
    }
    return closed
  }
}
