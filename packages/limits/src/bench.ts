/**
 * Measures the rate and the latency of acquiring and releasing a permit: `node dist/bench.js local [seconds]`
 * in one process on one core, and `node dist/bench.js stream [seconds]` over a loopback stream between two
 * threads. Prints one line of JSON for each number of concurrent workers.
 */
import { setMaxListeners } from 'node:events'
import { isMainThread, parentPort, Worker } from 'node:worker_threads'
import {
  type CoordinatorInfo,
  PeerDirectory,
  type PermitRequest,
  type PermitSource,
  Random,
  SilentLogger,
  SystemClock,
  ThrowingInvariantReporter,
} from '@pimentotally/core'
import { PeerClients, PeerService, requirePeerSecret, serveRpc } from '@pimentotally/wire'
import { StreamChannel } from './channel.js'
import { PermitClient } from './client.js'
import { PermitPool } from './pool.js'
import { permitStreamHandler } from './stream.js'
import { configurationOf, FakeAuthority, serviceSpec, termOf } from './testing.js'

const never = new AbortController().signal
setMaxListeners(0, never)
const clock = new SystemClock()
const logger = new SilentLogger()
const random = new Random(1)

const pool = (): PermitPool => {
  const configuration = configurationOf([serviceSpec({ name: 'notes' })], { notes: 16 })
  const created = new PermitPool({
    cellId: 'north',
    clock,
    random,
    authority: new FakeAuthority(),
    configuration: () => configuration,
    hosts: () => ['a', 'b'],
    invariants: new ThrowingInvariantReporter(),
    logger,
  })
  created.startTerm(termOf(1), [])
  for (const { name } of configuration.deployment.targets) {
    created.targetAnswered(name, { instanceId: 'one', uptimeMs: 60_000 })
  }
  return created
}

/**
 * Runs `workers` concurrent loops, each of which acquires a permit and releases it at once, for `durationMs`.
 */
const run = async (source: PermitSource, workers: number, durationMs: number): Promise<object> => {
  const startedAt = performance.now()
  const cpu = process.cpuUsage()
  const latencies: number[] = []
  let count = 0
  let refused = 0
  await Promise.all(
    Array.from({ length: workers }, async (_, worker) => {
      while (performance.now() - startedAt < durationMs) {
        const request: PermitRequest = {
          requestId: 'r',
          service: 'notes',
          excludedTargets: [],
          deadlineMs: 1000,
          identity: `i${String(worker)}`,
          attempt: 'first',
          idempotent: true,
        }
        const before = performance.now()
        const result = await source.acquire(request, never)
        if (count % 64 === 0) latencies.push(performance.now() - before)
        count += 1
        if (result.isOk) source.release(result.value, { outcome: 'ok', latencyMs: 1 })
        else refused += 1
        if (count % 1000 === 0) await new Promise(setImmediate)
      }
    }),
  )
  const elapsedMs = performance.now() - startedAt
  const used = process.cpuUsage(cpu)
  latencies.sort((left, right) => left - right)
  const at = (share: number): number =>
    Number((latencies[Math.floor(latencies.length * share)] ?? 0).toFixed(4))
  return {
    workers,
    pairsPerSecond: Math.round((count / elapsedMs) * 1000),
    processCpuUsPerPair: Number(((used.user + used.system) / count).toFixed(2)),
    refused,
    acquireMs: { p50: at(0.5), p99: at(0.99) },
  }
}

/** A peer directory with one coordinator, which never changes. */
class FixedDirectory extends PeerDirectory {
  readonly #info: CoordinatorInfo

  constructor(peerAddress: string) {
    super()
    this.#info = { cellId: 'north', term: termOf(1), hostId: 'b', peerAddress }
  }

  override self = (): never => {
    throw new Error('not used')
  }
  override configuration = (): never => {
    throw new Error('not used')
  }
  override peers = (): [] => []
  override cells = (): [] => []
  override announce = (): void => undefined
  override offerCell = (): void => undefined
  override onConfiguration = () => (): void => undefined
  override onCoordinator = () => (): void => undefined
  override coordinator = (): { info: CoordinatorInfo; heardAgoMs: number } => ({
    info: this.#info,
    heardAgoMs: 0,
  })
}

const durationMs = 1000 * Number(process.argv[3] ?? 3)

if (!isMainThread) {
  const server = await serveRpc({
    routes: (router) => {
      const created = pool()
      router.rpc(
        PeerService.method.permits,
        permitStreamHandler(() => created, { clock, logger }),
      )
    },
    interceptors: [requirePeerSecret(['secret'])],
    host: '127.0.0.1',
    port: 0,
  })
  parentPort?.postMessage(server.address)
} else if (process.argv[2] === 'stream') {
  const worker = new Worker(new URL(import.meta.url))
  const address = await new Promise<string>((resolve) => worker.once('message', resolve))
  const clients = new PeerClients({ credential: 'secret', hostId: 'a' })
  const client = new PermitClient({
    cellId: 'north',
    hostId: 'a',
    clock,
    random,
    directory: new FixedDirectory(address),
    channel: new StreamChannel({ clients, clock, logger }),
    logger,
  })
  for (const workers of [1, 16, 48]) {
    process.stdout.write(
      `${JSON.stringify({ mode: 'stream', ...(await run(client, workers, durationMs)) })}\n`,
    )
  }
  client.close()
  clients.close()
  await worker.terminate()
} else {
  const created = pool()
  const source = created.attach('a')
  for (const workers of [1, 16, 48]) {
    process.stdout.write(
      `${JSON.stringify({ mode: 'local', ...(await run(source, workers, durationMs)) })}\n`,
    )
  }
  created.close()
}
