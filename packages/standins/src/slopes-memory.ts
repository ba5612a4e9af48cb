/**
 * Measures state and gossip at sizes that cannot be run as processes: state is built in this process, and the gossip of
 * many hosts is simulated in this process in virtual time.
 */
import { randomUUID } from 'node:crypto'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import {
  CellRecord,
  Fence,
  Random,
  ShardSet,
  Term,
  ThrowingInvariantReporter,
  VoterKind,
  keyHash,
} from '@pimentotally/core'
import { DeploymentFile } from '@pimentotally/config'
import { VirtualTime } from '@pimentotally/core/testing'
import { HeavyHitters } from '@pimentotally/limits'
import { Membership } from '@pimentotally/membership'
import { encodeConfiguration } from '@pimentotally/storage'
import { SimulatedNetwork } from '@pimentotally/membership/testing'
import { Assignment } from '@pimentotally/ownership'
import { slopesDocument } from './slopes-cluster.js'
import type { SlopeResults, SlopeSpec } from './slopes-results.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Bytes of heap and buffers that the result of `build` occupies, measured after garbage collections. */
const retainedBytes = (build: () => unknown): number => {
  collectGarbage()
  const before = process.memoryUsage()
  const built = build()
  collectGarbage()
  const after = process.memoryUsage()
  // This use keeps the result alive during the garbage collection.
  if (built === undefined) throw new Error('build returned undefined, so there is nothing to measure')
  return after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers
}

const fence = (sequence: number): string =>
  Fence.of(Term.of({ epoch: 1, ballot: 1, hostSequence: 1 }), sequence)

const heapMethod =
  'heap and buffers left after a garbage collection, in one process; a fresh copy for each run; not resident memory of a daemon'

const assignmentOf = (shards: number, overrides: number): Assignment => {
  const assignment = new Assignment()
  for (let shard = 0; shard < shards; shard += 1) {
    assignment.set({ service: 'keys', shard, target: `target-${String(shard % 6)}`, fence: fence(shard) })
  }
  for (let key = 0; key < overrides; key += 1) {
    const entry = { service: 'keys', shard: key % Math.max(1, shards), keyHash: keyHash('keys', String(key)) }
    assignment.set({ ...entry, target: `target-${String(key % 6)}`, fence: fence(shards + key) })
  }
  return assignment
}

const recordOf = (shardCount: number, cells: number, cell: number): CellRecord => {
  const shards = Array.from({ length: shardCount }, (_, shard) => shard).filter((s) => s % cells === cell)
  const homes = { keys: { shardCount, shards: ShardSet.of(shardCount, shards).toBase64() } }
  const ids = Array.from({ length: 6 }, (_, index) => `target-${String(index)}`)
  return { epoch: 1, voters: { kind: VoterKind.target, ids }, homes, leaving: [] }
}

export const measureState = (results: SlopeResults, runs: number): void => {
  const add = (spec: Omit<SlopeSpec, 'method'>, method: string, x: number, value: () => number): void => {
    for (let run = 0; run < runs; run += 1) results.add({ ...spec, method }, x, value())
  }
  for (const shards of [1024, 4096, 16_384, 65_536]) {
    const spec = {
      id: 'assignment-memory-by-shards',
      title: 'Assignment of one cell by its shards',
      xLabel: 'shards',
      yLabel: 'bytes of heap',
    }
    add(spec, heapMethod, shards, () => retainedBytes(() => assignmentOf(shards, 0)))
    const row = { ...spec, id: 'assignment-row-by-shards', yLabel: 'bytes of the stored row' }
    add(row, 'length of the JSON, 6 targets, one fence for each target', shards, () => {
      const assignment = new Assignment()
      for (let shard = 0; shard < shards; shard += 1) {
        const target = shard % 6
        assignment.set({ service: 'keys', shard, target: `target-${String(target)}`, fence: fence(target) })
      }
      return assignment.stringify(Term.none, () => shards).length
    })
    const record = {
      id: 'record-by-shards',
      title: 'One cell record by the shards of the service',
      xLabel: 'shards of the service',
      yLabel: 'bytes of JSON',
    }
    add(
      record,
      'length of the JSON, one keyed service, 6 voters',
      shards,
      () => JSON.stringify(recordOf(shards, 64, 0)).length,
    )
  }
  for (const keys of [64, 256, 1024, 4096]) {
    const spec = {
      id: 'hot-key-memory',
      title: 'Overrides of hot keys in an assignment',
      xLabel: 'hot keys',
      yLabel: 'bytes of heap',
    }
    add(spec, heapMethod, keys, () => retainedBytes(() => assignmentOf(64, keys)))
    const sketch = {
      id: 'sketch-memory',
      title: 'Heavy-hitter sketch by its counters',
      xLabel: 'counters',
      yLabel: 'bytes of heap',
    }
    add(sketch, heapMethod, keys, () =>
      retainedBytes(() => {
        const hitters = new HeavyHitters(keys)
        for (let key = 0; key < 2 * keys; key += 1) hitters.add(keyHash('keys', String(key)), key)
        return hitters
      }),
    )
  }
  for (const targets of [45, 450, 1800, 7200]) {
    const spec = {
      id: 'document-by-targets',
      title: 'Configuration document by targets',
      xLabel: 'targets',
      yLabel: 'bytes',
    }
    const size = {
      domains: 1,
      hostsPerDomain: 1,
      targetsPerDomain: targets,
      shardCount: 1024,
      basePort: 10_000,
    }
    const deployment = DeploymentFile.parse(slopesDocument(size))
    const operations = { domains: {}, drainingTargets: [] }
    add(
      spec,
      'length of the stored document, one service',
      targets,
      () => encodeConfiguration({ version: 1, deployment, operations }).bytes.length,
    )
  }
}

const domains = 7
/** Virtual time in which the hosts learn of each other before anything is measured. */
const warmUpMs = 8000
/** Virtual time of a measuring window. */
const windowMs = 2000

/** The gossip of `size` hosts in this process, in virtual time. */
class GossipSimulation {
  readonly time = new VirtualTime()
  readonly #hosts: Membership[] = []
  readonly #network: SimulatedNetwork

  constructor(size: number, seed: number) {
    const clock = this.time.clock()
    const random = new Random(seed)
    this.#network = new SimulatedNetwork({ clock, random })
    const addressOf = (index: number): string => `10.0.${String(index >> 8)}.${String(index & 255)}:7000`
    for (let index = 0; index < size; index += 1) {
      const domain = `domain-${String(index % domains)}`
      const address = addressOf(index)
      const host = new Membership({
        name: `host-${String(index)}`,
        domain,
        region: 'r1',
        hostId: `host-${String(index)}-${randomUUID().slice(0, 8)}`,
        peerAddress: address,
        network: this.#network.peerNetworkOf(address),
        invariants: new ThrowingInvariantReporter(),
        seeds: Array.from({ length: 5 }, (_, offset) => addressOf((index + 1 + offset) % size)),
        clock,
        random,
      })
      this.#network.attach(address, host)
      this.#hosts.push(host)
    }
  }

  /** Starts the hosts. Each coordinates one cell, so there are as many cells as hosts. */
  start(): void {
    this.#hosts.forEach((host, index) => {
      host.start()
      const cellId = this.#cellId(index)
      host.offerCell({ cellId, record: recordOf(64, 64, index % 64) })
      this.announce(index, 1)
    })
  }

  /** Announces the host as the coordinator of its cell, with a term of this ballot. */
  announce(index: number, ballot: number): void {
    const host = this.#hosts[index]
    if (host === undefined) return
    const { hostId, peerAddress } = host.self()
    const term = Term.of({ epoch: 1, ballot, hostSequence: index + 1 })
    host.announce({ cellId: this.#cellId(index), term, hostId, peerAddress })
  }

  /** Share of the hosts that know the term of this ballot as the term of the cell. */
  knownShare(index: number, ballot: number): number {
    const term = Term.of({ epoch: 1, ballot, hostSequence: index + 1 })
    const informed = this.#hosts.filter((host) => host.coordinator(this.#cellId(index))?.info.term === term)
    return informed.length / this.#hosts.length
  }

  bytes(): number {
    return [...this.#network.traffic.values()].reduce((total, { bytes }) => total + bytes, 0)
  }

  stop(): void {
    for (const host of this.#hosts) host.stop()
  }

  #cellId(index: number): string {
    return `domain-${String(index % domains)}/${String(Math.floor(index / domains))}`
  }
}

/** Measures the gossip of hosts with one cell each: bytes and CPU time at rest, and the bytes of a new coordinator. */
export const measureGossip = async (results: SlopeResults, runs: number): Promise<void> => {
  const method = `gossip of all hosts in one process over ${String(domains)} domains in virtual time, one cell for each host; encoded messages without HTTP/2 framing and headers`
  for (const size of [14, 28, 42, 56]) {
    for (let run = 0; run < runs; run += 1) {
      const simulation = new GossipSimulation(size, 11 + run)
      simulation.start()
      await simulation.time.advance(warmUpMs)
      const window = async (): Promise<{ bytes: number; cpuMs: number }> => {
        const [bytes, cpu] = [simulation.bytes(), process.cpuUsage()]
        await simulation.time.advance(windowMs)
        const { user, system } = process.cpuUsage(cpu)
        const perHost = size * (windowMs / 1000)
        return { bytes: (simulation.bytes() - bytes) / perHost, cpuMs: (user + system) / 1000 / perHost }
      }
      const rest = await window()
      simulation.announce(0, 2)
      const event = await window()
      if (simulation.knownShare(0, 2) < 1)
        throw new Error('some hosts did not learn of the new coordinator within the window')
      simulation.stop()
      const xLabel = 'hosts and cells in 7 domains'
      const add = (id: string, title: string, yLabel: string, value: number): void => {
        results.add({ id, title, xLabel, yLabel, method }, size, value)
      }
      add('gossip-bytes', 'Gossip at rest for each host', 'bytes/s sent', rest.bytes)
      add(
        'gossip-cpu',
        'Gossip at rest for each host',
        'processor ms/s, both ends in one process',
        rest.cpuMs,
      )
      add(
        'gossip-bytes-per-coordinator',
        'A new coordinator of one cell, for each host',
        'bytes sent above rest',
        (event.bytes - rest.bytes) * (windowMs / 1000),
      )
    }
  }
}
