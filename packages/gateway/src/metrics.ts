/**
 * Counters and latency histograms for Prometheus. The library is loaded once the daemon serves requests;
 * loading it earlier would delay a restart.
 */
import type { Counter, Gauge, Histogram, Registry } from 'prom-client'

interface Instruments {
  readonly registry: Registry
  readonly requests: Counter<'service' | 'outcome'>
  readonly requestSeconds: Histogram<'service'>
  readonly attempts: Counter<'service' | 'outcome'>
  readonly attemptSeconds: Histogram<'service'>
  readonly discardedResponses: Counter<'service' | 'reason'>
  readonly unauthorizedRequests: Counter<'reason'>
  readonly lineWaitSeconds: Histogram<'service'>
  readonly lineRefusals: Counter<'service' | 'reason'>
}

/** A gauge whose value is read when the metrics are fetched. */
export interface SampledGauge {
  readonly name: string
  readonly help: string
  readonly read: () => number
}

export interface LabelledSample {
  readonly labels: Readonly<Record<string, string>>
  readonly value: number
}

/** A gauge whose values and labels are read when the metrics are fetched. */
export interface LabelledGauge {
  readonly name: string
  readonly help: string
  readonly labelNames: readonly string[]
  readonly read: () => readonly LabelledSample[]
}

/** Upper bounds of the buckets, in seconds. */
const latencyBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8]

export class GatewayMetrics {
  #instruments: Instruments | undefined

  /** Loads the library; requests and attempts before that are not counted. */
  async load(gauges: readonly SampledGauge[], labelledGauges: readonly LabelledGauge[] = []): Promise<void> {
    const { Counter, Gauge, Histogram, Registry } = await import('prom-client')
    const registry = new Registry()
    const registers = [registry]
    for (const { name, help, read } of gauges) {
      const gauge: Gauge = new Gauge({
        name,
        help,
        registers,
        collect: () => {
          gauge.set(read())
        },
      })
    }
    for (const { name, help, labelNames, read } of labelledGauges) {
      const gauge: Gauge = new Gauge({
        name,
        help,
        labelNames: [...labelNames],
        registers,
        collect: () => {
          gauge.reset()
          for (const { labels, value } of read()) gauge.set(labels, value)
        },
      })
    }
    this.#instruments = {
      registry,
      requests: new Counter({
        name: 'pimentotally_requests_total',
        help: 'Requests of callers by service and outcome',
        labelNames: ['service', 'outcome'],
        registers,
      }),
      requestSeconds: new Histogram({
        name: 'pimentotally_request_duration_seconds',
        help: 'Time from the head of a request to its answer',
        labelNames: ['service'],
        buckets: latencyBucketsSeconds,
        registers,
      }),
      attempts: new Counter({
        name: 'pimentotally_attempts_total',
        help: 'Requests sent to targets by service and outcome',
        labelNames: ['service', 'outcome'],
        registers,
      }),
      attemptSeconds: new Histogram({
        name: 'pimentotally_attempt_duration_seconds',
        help: 'Time from sending a request to a target to the result',
        labelNames: ['service'],
        buckets: latencyBucketsSeconds,
        registers,
      }),
      discardedResponses: new Counter({
        name: 'pimentotally_discarded_responses_total',
        help: 'Bytes from targets that were accepted as no response, by service and reason',
        labelNames: ['service', 'reason'],
        registers,
      }),
      unauthorizedRequests: new Counter({
        name: 'pimentotally_unauthorized_requests_total',
        help: 'Requests that were refused for their API key, by reason',
        labelNames: ['reason'],
        registers,
      }),
      lineWaitSeconds: new Histogram({
        name: 'pimentotally_line_wait_seconds',
        help: 'Time that requests waited on this host for room at a target, until they were sent',
        labelNames: ['service'],
        buckets: latencyBucketsSeconds,
        registers,
      }),
      lineRefusals: new Counter({
        name: 'pimentotally_line_refusals_total',
        help: 'Requests that were not held for room at a target, or not any longer, by service and reason',
        labelNames: ['service', 'reason'],
        registers,
      }),
    }
  }

  requestEnded(service: string, outcome: string, tookMs: number): void {
    this.#instruments?.requests.inc({ service, outcome })
    this.#instruments?.requestSeconds.observe({ service }, tookMs / 1000)
  }

  attemptEnded(service: string, outcome: string, tookMs: number): void {
    this.#instruments?.attempts.inc({ service, outcome })
    this.#instruments?.attemptSeconds.observe({ service }, tookMs / 1000)
  }

  responseDiscarded(service: string, reason: string): void {
    this.#instruments?.discardedResponses.inc({ service, reason })
  }

  unauthorized(reason: string): void {
    this.#instruments?.unauthorizedRequests.inc({ reason })
  }

  /** A waiting request was sent. */
  lineLeft(service: string, waitedMs: number): void {
    this.#instruments?.lineWaitSeconds.observe({ service }, waitedMs / 1000)
  }

  lineRefused(service: string, reason: string): void {
    this.#instruments?.lineRefusals.inc({ service, reason })
  }

  /** All metrics in the text format of Prometheus; empty until the library is loaded. */
  async text(): Promise<string> {
    return (await this.#instruments?.registry.metrics()) ?? ''
  }
}
