/** Draws one slope as an SVG plot: each run as a dot, the medians as circles, and the fitted line. */
import { median, type Fit, type Point } from './slopes-fit.js'

export interface PlotOptions {
  readonly title: string
  readonly xLabel: string
  readonly yLabel: string
}

const width = 640
const height = 400
const margin = { left: 80, right: 20, top: 40, bottom: 50 }

const escape = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')

const format = (value: number): string => Number(value.toPrecision(3)).toString()

export const plotSvg = (
  points: readonly Point[],
  { slope, intercept, slopeError }: Fit,
  { title, xLabel, yLabel }: PlotOptions,
): string => {
  const xMax = Math.max(...points.map(({ x }) => x)) * 1.05
  const yMax = Math.max(...points.flatMap(({ runs }) => runs), intercept + slope * xMax, 1e-9) * 1.05
  const px = (x: number): string =>
    (margin.left + (x / xMax) * (width - margin.left - margin.right)).toFixed(1)
  const py = (y: number): string =>
    (height - margin.bottom - (Math.max(0, y) / yMax) * (height - margin.top - margin.bottom)).toFixed(1)
  const text = (x: number, y: number, content: string, extra = ''): string =>
    `<text x="${String(x)}" y="${String(y)}" ${extra}>${escape(content)}</text>`
  const ticks = [0, 0.25, 0.5, 0.75, 1].flatMap((part) => [
    text(Number(px(part * xMax)), height - margin.bottom + 16, format(part * xMax), 'text-anchor="middle"'),
    text(margin.left - 6, Number(py(part * yMax)) + 4, format(part * yMax), 'text-anchor="end"'),
    `<line x1="${px(0)}" x2="${px(xMax)}" y1="${py(part * yMax)}" y2="${py(part * yMax)}" stroke="#ddd"/>`,
  ])
  const dots = points.flatMap(({ x, runs }) => [
    ...runs.map((y) => `<circle cx="${px(x)}" cy="${py(y)}" r="2" fill="#888"/>`),
    `<circle cx="${px(x)}" cy="${py(median(runs))}" r="5" fill="none" stroke="#000"/>`,
  ])
  const line = `<line x1="${px(0)}" y1="${py(intercept)}" x2="${px(xMax)}" y2="${py(intercept + slope * xMax)}" stroke="#06c"/>`
  const caption = `${format(intercept)} + ${format(slope)} x, standard error of the slope ${format(slopeError)}`
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${String(width)}" height="${String(height)}" font-family="sans-serif" font-size="11">`,
    `<rect width="${String(width)}" height="${String(height)}" fill="#fff"/>`,
    text(margin.left, 18, title, 'font-size="13"'),
    text(margin.left, 33, caption),
    text(width / 2, height - 12, xLabel, 'text-anchor="middle"'),
    `<text transform="translate(14 ${String(height / 2)}) rotate(-90)" text-anchor="middle">${escape(yLabel)}</text>`,
    ...ticks,
    ...dots,
    line,
    '</svg>',
    '',
  ].join('\n')
}
