/**
 * Stand-in of the platform's store: rows in tables with one version counter, conditional transactions, reads
 * and a change feed, as PROTOCOL.md describes them. The feed tells the last change of each row.
 */
import { createServer } from 'node:http'

const serverTime = () => `${Math.round(performance.now())}ms`

export class Store {
  /** Whether the store is down and answers nobody, neither the system nor the servers. */
  isSilent = false
  #tables = new Map()
  #version = 0
  #waiters = new Set()
  #server

  static async start(host = '127.0.0.1') {
    const store = new Store()
    store.#server = createServer((request, response) => {
      const chunks = []
      request.on('data', (chunk) => chunks.push(chunk))
      request.on('end', () => void store.#handle(request, response, Buffer.concat(chunks).toString()))
    })
    await new Promise((resolve) => store.#server.listen(0, host, resolve))
    store.address = `${host}:${store.#server.address().port}`
    return store
  }

  /** Writes as the operator or a server does; a value of undefined removes the row. Returns the version. */
  write(table, key, value) {
    this.#version += 1
    const rows = this.#tables.get(table) ?? new Map()
    this.#tables.set(table, rows)
    const bytes = value === undefined ? undefined : Buffer.from(JSON.stringify(value))
    rows.set(key, { key, ver: this.#version, value: bytes?.toString('base64'), deleted: value === undefined })
    for (const waiter of [...this.#waiters]) waiter()
    return this.#version
  }

  close() {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #rows(table) {
    return [...(this.#tables.get(table)?.values() ?? [])]
  }

  #send(response, status, body) {
    response
      .writeHead(status, { 'content-type': 'application/json' })
      .end(JSON.stringify({ ...body, ver: this.#version, serverTime: serverTime() }))
  }

  #wire({ key, ver, value, deleted }) {
    return deleted ? { key, ver, deleted: true } : { key, ver, value }
  }

  async #handle(request, response, body) {
    if (this.isSilent) return
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const table = searchParams.get('tableName') ?? ''
    if (pathname === '/rows-tx') this.#transact(JSON.parse(body), response)
    else if (pathname === '/rows-get') {
      const from = searchParams.get('rangeStart') ?? ''
      const rows = this.#rows(table).filter(({ key, deleted }) => !deleted && key >= from)
      rows.sort((a, b) => (a.key < b.key ? -1 : 1))
      const page = rows.slice(0, Number(searchParams.get('pageSize') ?? 500))
      this.#send(response, 200, { rows: page.map(this.#wire), hasMore: rows.length > page.length })
    } else if (pathname === '/rows-feed') await this.#feed(table, searchParams, response)
    else response.writeHead(404).end()
  }

  #transact({ expectedRev = [], writes = [], remove = [] }, response) {
    const versionOf = ({ tableName, key }) => {
      const row = this.#tables.get(tableName)?.get(key)
      return row === undefined || row.deleted ? 0 : row.ver
    }
    if (expectedRev.some((row) => versionOf(row) !== (row.ver ?? 0))) {
      const rows = expectedRev.map(({ tableName, key }) => this.#tables.get(tableName)?.get(key))
      this.#send(response, 412, { rows: rows.filter((row) => row && !row.deleted).map(this.#wire) })
      return
    }
    this.#version += 1
    for (const { tableName, key, value } of writes) {
      const rows = this.#tables.get(tableName) ?? new Map()
      this.#tables.set(tableName, rows)
      rows.set(key, { key, ver: this.#version, value, deleted: false })
    }
    for (const { tableName, key } of remove) {
      this.#tables.get(tableName)?.set(key, { key, ver: this.#version, deleted: true })
    }
    for (const waiter of [...this.#waiters]) waiter()
    this.#send(response, 200, {})
  }

  async #feed(table, query, response) {
    const after = Number(query.get('after'))
    const endMs = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0))
    const changes = () => this.#rows(table).filter(({ ver }) => ver > after)
    while (changes().length === 0 && performance.now() < endMs && !response.destroyed) {
      await new Promise((resolve) => {
        const done = () => {
          this.#waiters.delete(done)
          clearTimeout(timer)
          resolve()
        }
        const timer = setTimeout(done, Math.max(1, endMs - performance.now()))
        this.#waiters.add(done)
      })
    }
    if (response.destroyed || this.isSilent) return
    const rows = changes().sort((a, b) => a.ver - b.ver)
    this.#send(response, 200, { rows: rows.map(this.#wire) })
  }
}
