/** Computes medians and least-squares fits of measured points. */

export interface Point {
  readonly x: number
  /** The measured values, one for each run. */
  readonly runs: readonly number[]
}

export interface Fit {
  readonly slope: number
  /** Standard error of the slope, from the residuals of the medians. */
  readonly slopeError: number
  readonly intercept: number
  readonly interceptError: number
}

export const median = (values: readonly number[]): number => {
  if (values.length === 0) throw new RangeError('cannot take the median of no values')
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted.length >> 1
  const upper = sorted[middle] ?? NaN
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? NaN) + upper) / 2
}

/** Fits a line to the medians by ordinary least squares; throws RangeError for fewer than three points. */
export const fitLine = (points: readonly Point[]): Fit => {
  const n = points.length
  if (n < 3) throw new RangeError('a fit with a standard error needs at least three points')
  const xs = points.map(({ x }) => x)
  const ys = points.map(({ runs }) => median(runs))
  const mean = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0) / n
  const [xMean, yMean] = [mean(xs), mean(ys)]
  const spread = xs.reduce((sum, x) => sum + (x - xMean) ** 2, 0)
  if (spread === 0) throw new RangeError('cannot fit a line: all points have the same x')
  const slope = xs.reduce((sum, x, i) => sum + (x - xMean) * ((ys[i] ?? 0) - yMean), 0) / spread
  const intercept = yMean - slope * xMean
  const residual = xs.reduce((sum, x, i) => sum + ((ys[i] ?? 0) - intercept - slope * x) ** 2, 0)
  const variance = residual / (n - 2)
  return {
    slope,
    slopeError: Math.sqrt(variance / spread),
    intercept,
    interceptError: Math.sqrt(variance * (1 / n + xMean ** 2 / spread)),
  }
}
