/** Collects the points of all slopes, with the machine's load average at each, and writes them as JSON and plots. */
import { mkdir, readdir, rm, writeFile } from 'node:fs/promises'
import { cpus, loadavg, totalmem } from 'node:os'
import { join } from 'node:path'
import { fitLine, median, type Fit, type Point } from './slopes-fit.js'
import { plotSvg, type PlotOptions } from './slopes-plot.js'

export interface SlopeSpec extends PlotOptions {
  readonly id: string
  /** How the figure was measured, and what it leaves out. */
  readonly method: string
}

interface Measurement {
  readonly x: number
  readonly run: number
  readonly value: number
  readonly loadAverage: number
}

export interface SlopeResult extends SlopeSpec {
  readonly points: readonly (Point & { readonly median: number; readonly loadAverage: number })[]
  readonly fit: Fit
}

export interface ValueResult {
  readonly id: string
  readonly unit: string
  readonly method: string
  readonly runs: readonly number[]
  readonly median: number
  readonly loadAverage: number
}

const round = (value: number): number => Number(value.toPrecision(6))

export class SlopeResults {
  readonly #specs = new Map<string, SlopeSpec>()
  readonly #measurements = new Map<string, Measurement[]>()
  readonly #values = new Map<string, ValueResult>()

  /** Adds the value of one run at `x`. */
  add(spec: SlopeSpec, x: number, value: number): void {
    this.#specs.set(spec.id, spec)
    const measurements = this.#measurements.get(spec.id) ?? []
    measurements.push({ x, run: measurements.length, value, loadAverage: loadavg()[0] ?? 0 })
    this.#measurements.set(spec.id, measurements)
  }

  /** Adds a figure that is not a slope, such as the duration of an event, with one value for each run. */
  addValue(id: string, { unit, method }: { unit: string; method: string }, runs: readonly number[]): void {
    this.#values.set(id, {
      id,
      unit,
      method,
      runs: runs.map(round),
      median: round(median(runs)),
      loadAverage: round(loadavg()[0] ?? 0),
    })
  }

  slopes(): SlopeResult[] {
    return [...this.#specs.values()].map((spec) => {
      const measurements = this.#measurements.get(spec.id) ?? []
      const xs = [...new Set(measurements.map(({ x }) => x))].sort((a, b) => a - b)
      const points = xs.map((x) => {
        const atX = measurements.filter((entry) => entry.x === x)
        const runs = atX.map(({ value }) => round(value))
        return {
          x,
          runs,
          median: round(median(runs)),
          loadAverage: round(median(atX.map((entry) => entry.loadAverage))),
        }
      })
      const { slope, slopeError, intercept, interceptError } = fitLine(points)
      const fit = {
        slope: round(slope),
        slopeError: round(slopeError),
        intercept: round(intercept),
        interceptError: round(interceptError),
      }
      return { ...spec, points, fit }
    })
  }

  /** Replaces the files of an earlier run in `directory`. */
  async write(directory: string, seconds: number, note: string): Promise<void> {
    await mkdir(directory, { recursive: true })
    for (const name of await readdir(directory)) {
      if (/^slopes.*\.(json|svg)$/.test(name)) await rm(join(directory, name))
    }
    const slopes = this.slopes()
    const document = {
      takenAt: new Date().toISOString(),
      seconds: round(seconds),
      note,
      machine: {
        cores: cpus().length,
        memoryBytes: totalmem(),
        node: process.version,
        loadAverages: loadavg().map(round),
      },
      slopes: Object.fromEntries(slopes.map((slope) => [slope.id, slope])),
      values: Object.fromEntries(this.#values),
    }
    await writeFile(join(directory, 'slopes.json'), `${JSON.stringify(document, undefined, 2)}\n`)
    for (const slope of slopes) {
      await writeFile(join(directory, `slopes-${slope.id}.svg`), plotSvg(slope.points, slope.fit, slope))
    }
  }
}
