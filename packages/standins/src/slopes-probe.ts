/**
 * Module that is preloaded into each process that `slopes` measures (`NODE_OPTIONS=--import=...`). On SIGUSR2 it writes
 * one JSON line to standard error: CPU time, memory, and the bytes of all TCP connections since the start, by port.
 */
import diagnostics from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

/** Bytes of TCP payload, without the headers of TCP and IP. */
export interface PortBytes {
  sent: number
  received: number
}

export interface ProbeSample {
  readonly event: 'slopes_probe'
  readonly pid: number
  readonly atMs: number
  readonly cpuUs: number
  readonly rssBytes: number
  readonly heapBytes: number
  /** By the port to which connections were opened: `in:PORT` for accepted, `out:PORT` for opened connections. */
  readonly bytes: Record<string, PortBytes>
}

const ended = new Map<string, PortBytes>()
const open = new Map<Socket, string>()

const add = (totals: Map<string, PortBytes>, label: string, sent: number, received: number): void => {
  const total = totals.get(label) ?? { sent: 0, received: 0 }
  totals.set(label, { sent: total.sent + sent, received: total.received + received })
}

const watch = (socket: Socket, label: string): void => {
  open.set(socket, label)
  socket.once('close', () => {
    open.delete(socket)
    add(ended, label, socket.bytesWritten, socket.bytesRead)
  })
}

diagnostics.subscribe('net.server.socket', (message) => {
  const { socket } = message as { socket: Socket }
  watch(socket, `in:${String(socket.localPort)}`)
})
diagnostics.subscribe('net.client.socket', (message) => {
  const { socket } = message as { socket: Socket }
  socket.once('connect', () => {
    watch(socket, `out:${String(socket.remotePort)}`)
  })
})

process.on('SIGUSR2', () => {
  const totals = new Map(ended)
  for (const [socket, label] of open) add(totals, label, socket.bytesWritten, socket.bytesRead)
  const { user, system } = process.cpuUsage()
  const { rss, heapUsed } = process.memoryUsage()
  const sample: ProbeSample = {
    event: 'slopes_probe',
    pid: process.pid,
    atMs: performance.now(),
    cpuUs: user + system,
    rssBytes: rss,
    heapBytes: heapUsed,
    bytes: Object.fromEntries(totals),
  }
  process.stderr.write(`${JSON.stringify(sample)}\n`)
})
