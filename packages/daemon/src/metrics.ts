/** The daemon's metrics, and the server for metrics, liveness and readiness on a separate address. */
import { createServer, type Server } from 'node:http'
import { monitorEventLoopDelay, type IntervalHistogram } from 'node:perf_hooks'
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { InvariantReporter, type Logger } from '@pimentotally/core'
import {
  ProxyMetrics,
  type AttemptRecord,
  type ConnectionEvent,
  type RequestRecord,
} from '@pimentotally/proxy'

/** Node's default of 10 ms wakes an idle process 100 times a second for each of the two samplers below. */
const eventLoopSampleMs = 50

/** The daemon's metrics, in a registry of their own. */
export class Metrics {
  readonly registry = new Registry()
  readonly requests = new Counter({
    name: 'pimentotally_requests_total',
    help: 'Requests of callers by service, outcome class and code',
    labelNames: ['service', 'outcome', 'code'],
    registers: [this.registry],
  })
  readonly requestSeconds = new Histogram({
    name: 'pimentotally_request_duration_seconds',
    help: 'Time from the head of a request to the end of its answer',
    labelNames: ['service'],
    buckets: [0.0005, 0.001, 0.002, 0.004, 0.008, 0.014, 0.03, 0.06, 0.12, 0.25, 0.5, 1, 2],
    registers: [this.registry],
  })
  readonly invariantViolations = new Counter({
    name: 'pimentotally_invariant_violations_total',
    help: 'Violated invariants; the operation was refused',
    labelNames: ['invariant'],
    registers: [this.registry],
  })
  readonly tableCalls = new Counter({
    name: 'pimentotally_table_calls_total',
    help: 'Calls to the table service of the platform',
    labelNames: ['operation', 'result'],
    registers: [this.registry],
  })
  readonly attempts = new Counter({
    name: 'pimentotally_attempts_total',
    help: 'Requests sent to targets by service, kind and outcome',
    labelNames: ['service', 'kind', 'outcome'],
    registers: [this.registry],
  })
  readonly closedConnections = new Counter({
    name: 'pimentotally_closed_connections_total',
    help: 'Connections to targets or peers closed by the router, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  })
  readonly configVersion = new Gauge({
    name: 'pimentotally_config_version',
    help: 'Version of the configuration in force',
    registers: [this.registry],
  })
  readonly coordinating = new Gauge({
    name: 'pimentotally_coordinator',
    help: '1 while this host coordinates the cell',
    labelNames: ['cell'],
    registers: [this.registry],
  })
  readonly ownerlessShards = new Gauge({
    name: 'pimentotally_ownerless_shards',
    help: 'Shards of the coordinated cell without an owner',
    labelNames: ['cell'],
    registers: [this.registry],
  })
  readonly eventLoopDelaySeconds = new Gauge({
    name: 'pimentotally_event_loop_delay_max_seconds',
    help: 'Longest delay of the event loop since the last scrape',
    registers: [this.registry],
    collect: () => {
      this.eventLoopDelaySeconds.set(this.#delay.max / 1e9)
      this.#delay.reset()
    },
  })
  readonly #collectors: (() => void)[] = []
  readonly #delay: IntervalHistogram = monitorEventLoopDelay({ resolution: eventLoopSampleMs })

  constructor() {
    this.#delay.enable()
    collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: eventLoopSampleMs })
  }

  /** Calls `collector` each time before the metrics are read. */
  onCollect(collector: () => void): void {
    this.#collectors.push(collector)
  }

  text(): Promise<string> {
    for (const collect of this.#collectors) collect()
    return this.registry.metrics()
  }
}

/** Counts and logs violations of invariants; the code that checks an invariant refuses the operation. */
export class CountingInvariantReporter extends InvariantReporter {
  readonly #metrics: Metrics
  readonly #logger: Logger
  violations = 0

  constructor({ metrics, logger }: { metrics: Metrics; logger: Logger }) {
    super()
    this.#metrics = metrics
    this.#logger = logger
  }

  override violated(invariant: string, details: Readonly<Record<string, unknown>>): void {
    this.violations += 1
    this.#metrics.invariantViolations.inc({ invariant })
    this.#logger.error('invariant_violated', { step: 'invariant.check', invariant, details })
  }
}

/** Records the events of the request path in the metrics. */
export class RequestMetrics extends ProxyMetrics {
  readonly #metrics: Metrics

  constructor(metrics: Metrics) {
    super()
    this.#metrics = metrics
  }

  override requestEnded({ service, outcome, code = '', latencyMs }: RequestRecord): void {
    this.#metrics.requests.inc({ service, outcome, code })
    this.#metrics.requestSeconds.observe({ service }, latencyMs / 1000)
  }

  override attemptEnded({ service, kind, outcome }: AttemptRecord): void {
    this.#metrics.attempts.inc({ service, kind, outcome })
  }

  override connectionClosed(_address: string, event: ConnectionEvent): void {
    this.#metrics.closedConnections.inc({ reason: event })
  }
}

export interface HealthServerOptions {
  readonly metrics: Metrics
  readonly isReady: () => boolean
  readonly host: string
  readonly port: number
}

/** Serves `/metrics`, `/livez` and `/readyz`. Rejects when the address cannot be bound. */
export const serveHealth = async ({ metrics, isReady, host, port }: HealthServerOptions): Promise<Server> => {
  const server = createServer((request, response) => {
    if (request.url === '/metrics') {
      void metrics.text().then((text) => {
        response.writeHead(200, { 'content-type': metrics.registry.contentType }).end(text)
      })
      return
    }
    if (request.url === '/livez') {
      response.writeHead(200).end('ok\n')
      return
    }
    if (request.url === '/readyz') {
      const ready = isReady()
      response.writeHead(ready ? 200 : 503).end(ready ? 'ready\n' : 'not ready\n')
      return
    }
    response.writeHead(404).end()
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
  return server
}
