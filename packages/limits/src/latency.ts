/** The recent latency of a service: its 95th percentile from histograms, and a moving average. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Length of a histogram's window. A sample is dropped after one to two windows. */
const windowMs = 5000

/** With fewer samples the p95 is too random to be used. */
const minSamples = 20

const emptyHistogram = (): Histogram =>
  build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 2,
  })

/**
 * Keeps two windows; the percentile is that of the current one, or of the one before while it has too few
 * samples.
 */
export class MovingLatency {
  #current = emptyHistogram()
  #previous = emptyHistogram()
  #startedAtMs: number
  #hasNewSamples = false
  #p95Ms: number | undefined
  #meanMs = 0

  constructor(nowMs: number) {
    this.#startedAtMs = nowMs
  }

  /** Exponential moving average in ms, 0 before the first sample. */
  get meanMs(): number {
    return this.#meanMs
  }

  /** The p95 of the latest `refresh` that had enough samples; undefined before the first of these. */
  get p95Ms(): number | undefined {
    return this.#p95Ms
  }

  record(latencyMs: number): void {
    this.#current.recordValue(Math.max(1, Math.min(599_000_000, Math.round(latencyMs * 1000))))
    this.#meanMs = this.#meanMs === 0 ? latencyMs : this.#meanMs + (latencyMs - this.#meanMs) / 32
    this.#hasNewSamples = true
  }

  /**
   * Starts a new window when it is due and computes the percentile; called by the pool's sweep, not per
   * request.
   */
  refresh(nowMs: number): void {
    if (nowMs - this.#startedAtMs >= windowMs) {
      const spare = this.#previous
      spare.reset()
      this.#previous = this.#current
      this.#current = spare
      this.#startedAtMs = nowMs
    }
    if (!this.#hasNewSamples) return
    this.#hasNewSamples = false
    const samples = this.#current.totalCount + this.#previous.totalCount
    if (samples < minSamples) return
    const larger = this.#current.totalCount >= minSamples ? this.#current : this.#previous
    if (larger.totalCount < minSamples) return
    this.#p95Ms = larger.getValueAtPercentile(95) / 1000
  }
}
