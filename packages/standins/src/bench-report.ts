/** Formats results as lines of text, Markdown tables and an SVG plot. */
import type { ModelResult } from './bench-model.js'
import type { OverheadResult } from './bench-overhead.js'
import type { ScenarioResult } from './bench-run.js'

/** One run of the load tool, as it is stored in docs/measurements. */
export interface BenchRun {
  readonly date: string
  readonly label: string
  readonly command: string
  readonly seed: number
  /** Short hash of the commit that was checked out. */
  readonly commit: string
  readonly results: readonly ScenarioResult[]
  readonly policies?: readonly ModelResult[]
  readonly overhead?: OverheadResult
}

const ms = (value: number): string => (value >= 100 ? value.toFixed(0) : value.toFixed(1))
const percent = (share: number): string => `${(100 * share).toFixed(1)}%`

export const resultLine = ({
  deployment,
  scenario,
  policy,
  all,
  targets,
  attempts,
  codes,
  extraLoad,
  loadAverage,
}: ScenarioResult): string =>
  [
    `${deployment} ${scenario} (${policy}):`,
    `p50 ${ms(all.p50Ms)} p99 ${ms(all.p99Ms)} p99.9 ${ms(all.p999Ms)} ms,`,
    `${String(all.requests)} requests, ${String(all.refused)} refused, ${String(all.unknown)} unknown,`,
    `${String(all.failed)} failed, gap ${ms(all.longestGapMs)} ms, most at once ${String(targets.mostAtOnce)}`,
    `(${String(targets.targetsOverSlots)} targets over), no_slot ${String(targets.noSlot)},`,
    `double runs ${String(targets.doubleRuns)}, extra ${percent(extraLoad)}, load ${loadAverage.toFixed(1)},`,
    `sent late p99 ${ms(all.lateP99Ms)} ms, daemons' CPU ${attempts.cpuSeconds.toFixed(1)} s`,
    Object.keys(codes).length === 0 ? '' : JSON.stringify(codes),
  ].join(' ')

export const overheadLine = ({
  direct,
  routed,
  addedMedianMs,
  requestsPerCpuSecond,
  loadAverage,
}: OverheadResult): string =>
  [
    `overhead: direct p50 ${direct.p50Ms.toFixed(2)} ms, through a daemon ${routed.p50Ms.toFixed(2)} ms,`,
    `added ${addedMedianMs.toFixed(2)} ms; ${requestsPerCpuSecond.toFixed(0)} requests per CPU second of the daemon,`,
    `load ${loadAverage.toFixed(1)}`,
  ].join(' ')

const columns = [
  ...[
    'run',
    'deployment',
    'policy',
    'service',
    'requests',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'refused',
    'unknown',
  ],
  ...['failed', 'longest gap ms', 'most at once', 'no_slot', 'double runs', 'hedges and retries', 'load'],
]

const row = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`

const rows = (run: BenchRun, result: ScenarioResult): string[] => {
  const { targets, extraLoad, loadAverage, deployment, policy } = result
  const services = [['all', result.all] as const, ...Object.entries(result.byService)]
  return services.map(([service, figures]) =>
    row([
      ...[run.label, deployment, policy, service, String(figures.requests)],
      ...[ms(figures.p50Ms), ms(figures.p99Ms), ms(figures.p999Ms)],
      ...[String(figures.refused), String(figures.unknown), String(figures.failed), ms(figures.longestGapMs)],
      ...(service === 'all'
        ? [String(targets.mostAtOnce), String(targets.noSlot), String(targets.doubleRuns), percent(extraLoad)]
        : ['', '', '', '']),
      service === 'all' ? loadAverage.toFixed(1) : '',
    ]),
  )
}

/** The Markdown text of all runs: a list of the runs, and one table for each scenario. */
export const tables = (runs: readonly BenchRun[]): string => {
  const list = [
    ...['## Runs', '', row(['run', 'date', 'commit', 'seed', 'command']), row(Array<string>(5).fill('---'))],
    ...runs.map(({ label, date, commit, seed, command }) =>
      row([label, date, commit, String(seed), `\`${command}\``]),
    ),
  ]
  const titles = new Map(
    runs.flatMap(({ results }) => results.map(({ scenario, title }) => [scenario, title])),
  )
  const sections = [...titles].map(([scenario, title]) =>
    [
      ...[`## ${scenario}`, '', `${title}.`, '', row(columns), row(columns.map(() => '---'))],
      ...runs.flatMap((run) =>
        run.results.filter((result) => result.scenario === scenario).flatMap((result) => rows(run, result)),
      ),
    ].join('\n'),
  )
  return (
    [list.join('\n'), ...sections, policyTable(runs), overheadTable(runs)]
      .filter((part) => part !== '')
      .join('\n\n') + '\n'
  )
}

export const modelLine = (result: ModelResult): string => {
  const { deployment, policy, stragglers, rate, byService, extraLoad, mostAtOnce, noSlot } = result
  const services = Object.entries(byService).map(
    ([name, { p50Ms, p99Ms, p999Ms, refused }]) =>
      `${name} ${ms(p50Ms)}/${ms(p99Ms)}/${ms(p999Ms)} ms, ${String(refused)} refused`,
  )
  return [
    `policy ${deployment} x${String(rate)} ${stragglers ? 'stragglers' : 'steady'} (${policy}): ${services.join('; ')};`,
    `extra ${percent(extraLoad)}, most at once ${String(mostAtOnce)}, no_slot ${String(noSlot)}`,
  ].join(' ')
}

const policyTable = (runs: readonly BenchRun[]): string => {
  const header = [
    ...[
      'run',
      'deployment',
      'rate',
      'policy',
      'service',
      'steady p99 ms',
      'stragglers p50 ms',
      'stragglers p99 ms',
    ],
    ...['stragglers p99.9 ms', 'times steady', 'refused', 'most at once', 'no_slot', 'hedges'],
  ]
  const lines = runs.flatMap(({ label, policies = [] }) =>
    policies
      .filter(({ stragglers }) => stragglers)
      .flatMap((slow) => {
        const steady = policies.find(
          ({ deployment, rate, policy, stragglers }) =>
            !stragglers && deployment === slow.deployment && rate === slow.rate && policy === slow.policy,
        )
        return Object.entries(slow.byService).map(([service, figures]) => {
          const steadyMs = steady?.byService[service]?.p99Ms ?? NaN
          return row([
            ...[
              label,
              slow.deployment,
              String(slow.rate),
              slow.policy,
              service,
              ms(steadyMs),
              ms(figures.p50Ms),
            ],
            ...[ms(figures.p99Ms), ms(figures.p999Ms), (figures.p99Ms / steadyMs).toFixed(1)],
            ...[
              String(figures.refused),
              String(slow.mostAtOnce),
              String(slow.noSlot),
              percent(slow.extraLoad),
            ],
          ])
        })
      }),
  )
  if (lines.length === 0) return ''
  const text =
    'The permit pools in virtual time with simulated targets: no network, no daemons and no influence of the machine. ' +
    'Service times are uniform between 0 and 20 ms, stragglers as above; the first 10 of 70 s are not counted.'
  return ['## policy', '', text, '', row(header), row(header.map(() => '---')), ...lines].join('\n')
}

const overheadTable = (runs: readonly BenchRun[]): string => {
  const measured = runs.flatMap((run) =>
    run.overhead === undefined ? [] : [{ run, overhead: run.overhead }],
  )
  if (measured.length === 0) return ''
  const header = ['run', 'direct p50 ms', 'routed p50 ms', 'added p50 ms', 'requests per CPU second', 'load']
  return [
    ...[
      '## overhead',
      '',
      'One daemon on an otherwise idle deployment against a direct call to the target.',
      '',
    ],
    ...[row(header), row(header.map(() => '---'))],
    ...measured.map(
      ({ run, overhead: { direct, routed, addedMedianMs, requestsPerCpuSecond, loadAverage } }) =>
        row([
          ...[run.label, direct.p50Ms.toFixed(2), routed.p50Ms.toFixed(2), addedMedianMs.toFixed(2)],
          ...[requestsPerCpuSecond.toFixed(0), loadAverage.toFixed(1)],
        ]),
    ),
  ].join('\n')
}

const colors = { p50Ms: '#4c78a8', p99Ms: '#f58518', p999Ms: '#e45756' } as const
const rowHeight = 34
const left = 330
const width = 1000

/** An SVG plot with the latency percentiles of each scenario and policy as bars on a logarithmic scale. */
export const plot = ({ results, label, date }: BenchRun): string => {
  const height = 70 + rowHeight * results.length
  const scale = (value: number): number => ((width - left - 70) * Math.log10(Math.max(1, value))) / 4
  const text = (x: number, y: number, content: string, extra = ''): string =>
    `<text x="${String(x)}" y="${y.toFixed(0)}" ${extra}>${content}</text>`
  const ticks = [1, 10, 100, 1000, 10_000].flatMap((value) => {
    const x = left + scale(value)
    return [
      `<line x1="${x.toFixed(1)}" y1="50" x2="${x.toFixed(1)}" y2="${String(height - 10)}" stroke="#ddd"/>`,
      text(Math.round(x), 46, `${String(value)} ms`, 'text-anchor="middle"'),
    ]
  })
  const bars = results.flatMap(({ deployment, scenario, policy, all }, index) => {
    const top = 58 + rowHeight * index
    const names = ['p50Ms', 'p99Ms', 'p999Ms'] as const
    return [
      text(left - 8, top + 18, `${deployment}, ${scenario}, ${policy}`, 'text-anchor="end"'),
      ...names.flatMap((name, position) => {
        const y = top + position * 9
        const length = Math.max(1, scale(all[name]))
        return [
          `<rect x="${String(left)}" y="${String(y)}" width="${length.toFixed(1)}" height="8" fill="${colors[name]}"/>`,
          text(Math.round(left + length + 4), y + 8, ms(all[name]), 'font-size="9"'),
        ]
      }),
    ]
  })
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${String(width)}" height="${String(height)}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="white"/>',
    text(10, 20, `Latency p50, p99 and p99.9 (blue, orange, red), run ${label} of ${date}`, 'font-size="14"'),
    ...ticks,
    ...bars,
    '</svg>\n',
  ].join('\n')
}
