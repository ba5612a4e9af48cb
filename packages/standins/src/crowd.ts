/**
 * Callers that the operators do not control: many connections at once, each of which sends a part of a request and
 * stays open. Reports what each one received, and what the host's process used meanwhile.
 */
import { readFileSync, readdirSync, readlinkSync } from 'node:fs'
import { connect, type Socket } from 'node:net'
import { callerHeaders } from '@pimentotally/platform/testing'

/** Interval between two samples of the descriptors of a process. */
const sampleIntervalMs = 10

export interface CrowdMember {
  /** Header field that tells the length of the body. */
  readonly framing: string
  /** Parts of the body. Each is sent when all members have written the one before it, or are closed. */
  readonly parts: readonly Buffer[]
}

export interface CrowdResult {
  readonly requestId: string
  /** Status of the response; undefined when the connection got none. */
  readonly status: number | undefined
  readonly isOpen: boolean
}

export class Crowd {
  readonly #sockets: Socket[] = []
  readonly #received: string[] = []

  /**
   * Opens all connections at once and sends each member's request. Resolves when each connection has written its last
   * part or is closed. `received` is awaited after each part, as the host may not have read yet what was written.
   */
  async send(port: number, members: readonly CrowdMember[], received: () => Promise<unknown>): Promise<void> {
    await Promise.all(members.map(({ framing }, index) => this.#open(port, framing, index)))
    const rounds = Math.max(...members.map(({ parts }) => parts.length))
    for (let round = 0; round < rounds; round += 1) {
      await Promise.all(members.map(({ parts }, index) => this.#write(index, parts[round])))
      await received()
    }
  }

  get results(): CrowdResult[] {
    return this.#sockets.map((socket, index) => {
      const status = /^HTTP\/1.1 (\d+)/.exec(this.#received[index] ?? '')?.[1]
      return {
        requestId: requestIdOf(index),
        status: status === undefined ? undefined : Number(status),
        isOpen: !socket.closed,
      }
    })
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy()
  }

  #open(port: number, framing: string, index: number): Promise<void> {
    const fields = Object.entries(callerHeaders({ requestId: requestIdOf(index) }))
    const head = [
      'POST /orders/1 HTTP/1.1',
      'Host: shop.example',
      framing,
      ...fields.map(([name, value]) => `${name}: ${value}`),
    ]
    const socket = connect(port, '127.0.0.1')
    this.#sockets[index] = socket
    this.#received[index] = ''
    socket.on('data', (chunk: Buffer) => {
      this.#received[index] += chunk.toString('latin1')
    })
    socket.on('error', () => undefined)
    return this.#write(index, Buffer.from(`${head.join('\r\n')}\r\n\r\n`))
  }

  /** Resolves when the bytes were written or the connection is closed. */
  #write(index: number, bytes: Buffer | undefined): Promise<void> {
    const socket = this.#sockets[index]
    if (socket === undefined || socket.closed || bytes === undefined) return Promise.resolve()
    return new Promise((resolve) => {
      const done = (): void => {
        socket.off('close', done)
        resolve()
      }
      socket.once('close', done)
      socket.write(bytes, done)
    })
  }
}

const requestIdOf = (index: number): string => `crowd-${String(index)}`

/** The most memory that a process has used so far, in bytes. */
export const peakMemoryBytes = (pid: number): number => {
  const kilobytes = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${String(pid)}/status`, 'utf8'))?.[1]
  return Number(kilobytes) * 1024
}

/** Descriptors that a process has open, and how many of them are no files. */
export interface Descriptors {
  readonly all: number
  readonly sockets: number
}

const readDescriptors = (pid: number): Descriptors => {
  const folder = `/proc/${String(pid)}/fd`
  const targets = readdirSync(folder).map((name) => {
    try {
      return readlinkSync(`${folder}/${name}`)
    } catch {
      return 'closed'
    }
  })
  const sockets = targets.filter((target) => target.startsWith('socket:') || target.startsWith('pipe:'))
  return { all: targets.length, sockets: sockets.length }
}

/** Samples the descriptors of a process until `stop`, which returns the most of each kind that were seen. */
export class DescriptorSampler {
  readonly #pid: number
  readonly #timer: NodeJS.Timeout
  #peak: Descriptors = { all: 0, sockets: 0 }

  constructor(pid: number) {
    this.#pid = pid
    this.#timer = setInterval(() => {
      this.#sample()
    }, sampleIntervalMs)
  }

  stop(): Descriptors {
    clearInterval(this.#timer)
    this.#sample()
    return this.#peak
  }

  #sample(): void {
    try {
      const { all, sockets } = readDescriptors(this.#pid)
      this.#peak = { all: Math.max(all, this.#peak.all), sockets: Math.max(sockets, this.#peak.sockets) }
    } catch {
      // The process has ended, which the test checks itself.
    }
  }
}
