// Computes the tables of docs/CAPACITY.md from docs/measurements/slopes.json and fails when those of the page differ;
// with --write it writes them into the page instead. Another page and JSON file may be given as arguments. Each table
// of the page stands between `<!-- table: NAME -->` and `<!-- end -->`.
import { readFileSync, writeFileSync } from 'node:fs'

const [
  pagePath = new URL('../docs/CAPACITY.md', import.meta.url),
  dataPath = new URL('../docs/measurements/slopes.json', import.meta.url),
] = process.argv.slice(2).filter((argument) => !argument.startsWith('--'))
const { slopes, values, machine, takenAt, seconds } = JSON.parse(readFileSync(dataPath, 'utf8'))

// The size for which the capacity is computed, from section 2 of the design. The numbers of cells and of targets per
// cell are assumptions: the design gives 5 to 16 targets per cell.
const size = {
  daemons: 1100,
  domains: 7,
  requestsPerS: 12e6,
  changesPerDay: 1800,
  hotKeys: 56,
  cells: 1100,
  targetsPerCell: 8,
  shards: 65_536,
  restartsPerDay: 132,
  rackHosts: 20,
}
// Limits for one daemon: CPU time in ms per second, memory in MB, and bytes per second of control traffic sent.
const limits = { cpuMs: 42, memoryMb: 128, bytes: 8000 }
// The most hosts of a cluster that was measured.
const largestCluster = 24
const hostsPerDomain = Math.round(size.daemons / size.domains)
const targets = size.cells * size.targetsPerCell
const requestsPerDaemon = size.requestsPerS / size.daemons
const daySeconds = 86_400

const slope = (id) => {
  if (slopes[id] === undefined) throw new Error(`no slope ${id} in slopes.json`)
  return slopes[id].fit
}
// The value of the fitted line at x, also beyond the measured points.
const at = (id, x) => slope(id).intercept + slope(id).slope * x
const value = (id) => {
  if (values[id] === undefined) throw new Error(`no value ${id} in slopes.json`)
  return values[id].median
}
const format = (number) => {
  if (!Number.isFinite(number)) throw new Error('a figure is not a number')
  const rounded = Number(number.toPrecision(3))
  return Math.abs(rounded) >= 1000 ? rounded.toLocaleString('en-GB') : String(rounded)
}
const table = (head, rows) =>
  [head, head.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`).join('\n')
const sum = (numbers) => numbers.reduce((a, b) => a + b, 0)
// Says whether the number is within the limit, as a cell of a table.
const ratio = (number, limit) =>
  number <= limit ? `within (${format(number / limit)} of it)` : `missed, ${format(number / limit)} times`

// Bytes/s of the heartbeats of one permit stream in one direction: a coordinator sends this much more than other hosts
// for each host of its domain. The measured clusters have 3 domains, hence the factor 3 on slopes by all hosts.
const streamBytesPerS =
  3 * (slope('peers-coordinator-by-hosts').slope - slope('peers-follower-by-hosts').slope)
const streamBytesError =
  3 * Math.hypot(slope('peers-coordinator-by-hosts').slopeError, slope('peers-follower-by-hosts').slopeError)
const streams = hostsPerDomain - 1
const documentBytes = at('document-by-targets', targets)
const documentBytesPerS = (documentBytes * size.changesPerDay) / daySeconds
const announcementBytes =
  (Math.max(0, at('gossip-bytes-per-coordinator', size.daemons)) * 2 * size.restartsPerDay) / daySeconds
const gossipGrowth = slope('gossip-bytes').slope * (size.daemons - largestCluster)
const gossipCpuGrowth = slope('gossip-cpu').slope * (size.daemons - largestCluster)
const targetBytes = slope('targets-coordinator-by-targets').slope
const shardCpu = slope('cpu-coordinator-by-shards').slope
const targetCpu = slope('cpu-coordinator-by-targets').slope
const base = at('sent-follower-by-hosts', largestCluster)
const baseCpu = at('cpu-follower-by-hosts', largestCluster)

const controlRows = () => {
  const perDomainTargets = targets / size.domains
  const rows = [
    [
      'an idle daemon in a cluster of 24: gossip, one stream, checks of the platform',
      base,
      base,
      base,
      'sent-follower-by-hosts',
    ],
    [
      'membership: growth of gossip from 24 to 1,100 hosts',
      gossipGrowth,
      gossipGrowth,
      gossipGrowth,
      'gossip-bytes',
    ],
    [
      `lending: heartbeats of streams, ${format(streamBytesPerS)} ± ${format(streamBytesError)} for one and direction`,
      0,
      streamBytesPerS * streams,
      2 * streamBytesPerS * streams,
      'peers-coordinator-by-hosts, peers-follower-by-hosts',
    ],
    [
      'coordinating and probing: renewals, grants, load reports',
      0,
      targetBytes * perDomainTargets,
      targetBytes * size.targetsPerCell,
      'targets-coordinator-by-targets',
    ],
    [
      'configuration: one fetch of the document for each change',
      documentBytesPerS,
      documentBytesPerS,
      documentBytesPerS,
      'document-by-targets',
    ],
    ['news of coordinators', 0, 0, announcementBytes, 'gossip-bytes-per-coordinator'],
  ]
  const totals = [1, 2, 3].map((column) => sum(rows.map((row) => row[column])))
  return table(
    [
      'bytes/s sent by one daemon',
      "today's follower",
      "today's coordinator",
      'cells of 8 targets, every daemon',
      'input',
    ],
    [
      ...rows.map(([name, ...rest]) => [name, ...rest.slice(0, 3).map(format), rest[3]]),
      ['**sum**', ...totals.map(format), ''],
      ['against 8 KB/s', ...totals.map((total) => ratio(total, limits.bytes)), ''],
    ],
  )
}

const cpuRows = () => {
  const perDomainTargets = targets / size.domains
  const streamCpu = 3 * (slope('cpu-coordinator-by-hosts').slope - slope('cpu-follower-by-hosts').slope)
  const streamCpuError =
    3 * Math.hypot(slope('cpu-coordinator-by-hosts').slopeError, slope('cpu-follower-by-hosts').slopeError)
  // The real cost cannot be negative, so a negative difference comes from noise in the two slopes and counts as 0.
  const countedCpu = Math.max(0, streamCpu)
  const rows = [
    ['an idle daemon in a cluster of 24', baseCpu, baseCpu, baseCpu, 'cpu-follower-by-hosts'],
    [
      'membership: growth of gossip from 24 to 1,100 hosts',
      gossipCpuGrowth,
      gossipCpuGrowth,
      gossipCpuGrowth,
      'gossip-cpu',
    ],
    [
      `lending: heartbeats of streams, ${format(streamCpu)} ± ${format(streamCpuError)} for one and direction`,
      0,
      countedCpu * streams,
      2 * countedCpu * streams,
      'cpu-coordinator-by-hosts, cpu-follower-by-hosts',
    ],
    [
      'coordinating and probing',
      0,
      targetCpu * perDomainTargets,
      targetCpu * size.targetsPerCell,
      'cpu-coordinator-by-targets',
    ],
    [
      'the shards of the own cell, 65,536 in the service',
      0,
      (shardCpu * size.shards) / size.domains,
      (shardCpu * size.shards) / size.cells,
      'cpu-coordinator-by-shards',
    ],
  ]
  const totals = [1, 2, 3].map((column) => sum(rows.map((row) => row[column])))
  return table(
    [
      'processor ms/s of one daemon',
      "today's follower",
      "today's coordinator",
      'cells of 8 targets, every daemon',
      'input',
    ],
    [
      ...rows.map(([name, ...rest]) => [name, ...rest.slice(0, 3).map(format), rest[3]]),
      ['**sum**', ...totals.map(format), ''],
      ['against 4.2% of a core (42 ms/s)', ...totals.map((total) => ratio(total, limits.cpuMs)), ''],
    ],
  )
}

const memoryRows = () => {
  const mb = (bytes) => bytes / 1e6
  const today = size.shards / size.domains
  const cell = size.shards / size.cells
  const perShard = slope('assignment-memory-by-shards').slope
  const record = at('record-by-shards', size.shards)
  const rows = [
    [
      'idle daemon in a cluster of 24, resident',
      mb(at('memory-coordinator-by-hosts', largestCluster)),
      mb(at('memory-coordinator-by-hosts', largestCluster)),
      'memory-coordinator-by-hosts',
    ],
    [
      'assignment of the own cell, 65,536 shards in the service',
      mb(perShard * today),
      mb(perShard * cell),
      'assignment-memory-by-shards',
    ],
    [
      'overrides of 56 hot keys',
      mb(slope('hot-key-memory').slope * size.hotKeys),
      mb(slope('hot-key-memory').slope * size.hotKeys),
      'hot-key-memory',
    ],
    ['sketch of 256 counters', mb(at('sketch-memory', 256)), mb(at('sketch-memory', 256)), 'sketch-memory'],
    [
      'records of all cells, as JSON and as parsed',
      mb(2 * record * size.domains),
      mb(2 * record * size.cells),
      'record-by-shards',
    ],
    [
      'configuration, as bytes and as parsed (taken as 3 times the bytes)',
      mb(3 * documentBytes),
      mb(3 * documentBytes),
      'document-by-targets',
    ],
  ]
  const totals = [1, 2].map((column) => sum(rows.map((row) => row[column])))
  return table(
    ['MB of one daemon', "today's coordinator", 'cells of 8 targets', 'input'],
    [
      ...rows.map(([name, a, b, input]) => [name, format(a), format(b), input]),
      ['**sum**', ...totals.map(format), ''],
      ['against 128 MB', ...totals.map((total) => ratio(total, limits.memoryMb)), ''],
    ],
  )
}

const dataRows = () => {
  const perDomain = size.requestsPerS / size.domains
  const rows = [
    ['proxying a request, permit of the own process', 'request-cpu-local', requestsPerDaemon],
    ['proxying a request, permit over the stream', 'request-cpu-stream', requestsPerDaemon],
    ['lending a permit over the stream, cells of 8 targets', 'permit-cpu-coordinator', requestsPerDaemon],
    ["lending a permit over the stream, today's one cell in a domain", 'permit-cpu-coordinator', perDomain],
  ].map(([name, id, rate]) => [
    name,
    `${format(1000 * slope(id).slope)} ± ${format(1000 * slope(id).slopeError)}`,
    format(rate),
    format((slope(id).slope * rate) / 1000),
    id,
  ])
  const bytes = [
    ['permit: bytes sent by the entry host', 'permit-bytes-follower'],
    ['permit: bytes sent by the coordinator', 'permit-bytes-coordinator'],
  ].map(([name, id]) => [
    name,
    `${format(slope(id).slope)} ± ${format(slope(id).slopeError)} bytes`,
    format(requestsPerDaemon),
    `${format((slope(id).slope * requestsPerDaemon) / 1e6)} MB/s`,
    id,
  ])
  return table(
    ['work', 'µs or bytes each', 'each second, per daemon', 'cores or MB/s', 'input'],
    [...rows, ...bytes],
  )
}

const platformRows = () => {
  const at24 = (id) => at(id, largestCluster)
  const perHost = (id) => slope(id).slope
  const perEvent = (event, kind) => value(`event-${event}-${kind}`) - value(`event-rest-${kind}`)
  return table(
    ['table calls', 'reads', 'writes', 'input'],
    [
      [
        'at rest each second, 24 hosts in 3 domains (fit)',
        format(at24('table-reads-by-hosts')),
        format(at24('table-writes-by-hosts')),
        'table-reads-by-hosts, table-writes-by-hosts',
      ],
      [
        'at rest each second, for one more host (slope)',
        format(perHost('table-reads-by-hosts')),
        format(perHost('table-writes-by-hosts')),
        'the same',
      ],
      [
        'at rest each second, 1,100 hosts (fit, 46 times beyond the largest cluster)',
        format(at('table-reads-by-hosts', size.daemons)),
        format(at('table-writes-by-hosts', size.daemons)),
        'the same',
      ],
      [
        'loss of a target, above rest in 5 s',
        format(perEvent('target', 'reads')),
        format(perEvent('target', 'writes')),
        'event-target-reads, -writes, event-rest-reads, -writes',
      ],
      [
        'loss of a coordinator and its restart of the role, above rest in 5 s',
        format(perEvent('coordinator', 'reads')),
        format(perEvent('coordinator', 'writes')),
        'event-coordinator-reads, -writes, event-rest-reads, -writes',
      ],
      [
        'one apply, in the second after it, 24 hosts',
        format(at24('apply-reads-by-hosts')),
        format(at24('apply-writes-by-hosts')),
        'apply-reads-by-hosts, apply-writes-by-hosts',
      ],
      [
        '1,800 applies a day, each second',
        format((at24('apply-reads-by-hosts') * size.changesPerDay) / daySeconds),
        format((at24('apply-writes-by-hosts') * size.changesPerDay) / daySeconds),
        'the same',
      ],
    ],
  )
}

const range = (id) => `${format(Math.min(...values[id].runs))} to ${format(Math.max(...values[id].runs))}`
const timeRows = () => {
  const apply = slopes['apply-by-hosts']
  const largest = apply.points.at(-1)
  return table(
    ['time', 'bound', 'measured here, median', 'range of the runs', 'input'],
    [
      [
        'a key served again after the loss of a target',
        '2 s',
        `${format(value('gap-target'))} ms`,
        range('gap-target'),
        'gap-target',
      ],
      [
        'a key served again after the loss of a coordinator',
        '2 s',
        `${format(value('gap-coordinator'))} ms`,
        range('gap-coordinator'),
        'gap-coordinator',
      ],
      [
        'longest gap of a key without an event',
        '',
        `${format(value('gap-rest'))} ms`,
        range('gap-rest'),
        'gap-rest',
      ],
      [
        'a change in force on 24 hosts',
        '9 s',
        `${format(largest.median)} ms`,
        `${format(Math.min(...largest.runs))} to ${format(Math.max(...largest.runs))}`,
        'apply-by-hosts',
      ],
      [
        'a change in force on 1,100 hosts (the line extrapolated 46 times)',
        '9 s',
        `${format(at('apply-by-hosts', size.daemons))} ms`,
        `slope ${format(apply.fit.slope)} ± ${format(apply.fit.slopeError)} ms a host`,
        'apply-by-hosts',
      ],
      [
        '99 in 100 requests, local permit',
        '14 ms',
        `${format(value('request-latency-local-p99'))} ms`,
        range('request-latency-local-p99'),
        'request-latency-local-p99',
      ],
      [
        '99 in 100 requests, permit over the stream',
        '14 ms',
        `${format(value('request-latency-stream-p99'))} ms`,
        range('request-latency-stream-p99'),
        'request-latency-stream-p99',
      ],
    ],
  )
}

const dayRows = () => {
  const event = (kind, name) => Math.max(0, value(`event-${name}-${kind}`) - value(`event-rest-${kind}`))
  const handOvers = size.restartsPerDay
  const lost = size.daemons - hostsPerDomain
  return table(
    ['event', 'control work with cells of 8 targets', 'effect on the rest', 'input'],
    [
      [
        'ordinary day: 2 hosts fail, 130 restart',
        `${format(handOvers)} changes of a coordinator; ${format(event('reads', 'coordinator') * handOvers)} reads and ${format(event('writes', 'coordinator') * handOvers)} writes of the table in the day; ${format(announcementBytes)} bytes/s of news`,
        `keys of one cell (1 in ${format(size.cells)}) wait up to ${format(value('gap-coordinator'))} ms for each crash`,
        'event-coordinator-*, gap-coordinator, gossip-bytes-per-coordinator',
      ],
      [
        `a rack: taken as ${String(size.rackHosts)} hosts of one domain at once`,
        `${format(size.rackHosts)} takeovers; ${format(event('reads', 'coordinator') * size.rackHosts)} reads and ${format(event('writes', 'coordinator') * size.rackHosts)} writes of the table; ${format((Math.max(0, at('gossip-bytes-per-coordinator', size.daemons)) * size.rackHosts) / 1e6)} MB of news at each host`,
        `each other host of the domain takes ${format(requestsPerDaemon * (hostsPerDomain / (hostsPerDomain - size.rackHosts)))} requests/s instead of ${format(requestsPerDaemon)}`,
        'event-coordinator-*, gossip-bytes-per-coordinator',
      ],
      [
        'a failure domain',
        `${format(hostsPerDomain)} cells are gone; nothing is taken over until an operator says so`,
        `1 in ${format(size.domains)} keys is refused; each other host takes ${format(size.requestsPerS / lost)} requests/s if callers move`,
        'none, arithmetic on the size',
      ],
      [
        'an hour without a link between regions',
        `${format(size.changesPerDay / 24)} changes are missed by a region that reaches neither the platform nor a peer; on return each host fetches one document, ${format(documentBytes / 1e6)} MB`,
        'each region serves the keys homed in it and refuses the others',
        'document-by-targets',
      ],
    ],
  )
}

const inputRows = () =>
  table(
    ['slope', 'x', 'points', 'intercept', 'slope for one x', 'standard error', 'load average'],
    Object.values(slopes).map(({ id, xLabel, points, fit }) => [
      `[${id}](measurements/slopes-${id}.svg)`,
      xLabel,
      points.map(({ x }) => String(x)).join(', '),
      format(fit.intercept),
      format(fit.slope),
      format(fit.slopeError),
      `${format(Math.min(...points.map(({ loadAverage }) => loadAverage)))} to ${format(Math.max(...points.map(({ loadAverage }) => loadAverage)))}`,
    ]),
  )

const runRow = () =>
  table(
    ['run', 'seconds', 'cores', 'Node.js', 'load averages at its end'],
    [
      [
        takenAt,
        format(seconds),
        format(machine.cores),
        machine.node,
        machine.loadAverages.map(format).join(', '),
      ],
    ],
  )

const tables = {
  run: runRow,
  bytes: controlRows,
  cpu: cpuRows,
  memory: memoryRows,
  data: dataRows,
  platform: platformRows,
  times: timeRows,
  days: dayRows,
  inputs: inputRows,
}

const page = readFileSync(pagePath, 'utf8')
const wanted = page.replace(/<!-- table: (\w+) -->[\s\S]*?<!-- end -->/g, (_, name) => {
  if (tables[name] === undefined) throw new Error(`docs/CAPACITY.md asks for an unknown table ${name}`)
  return `<!-- table: ${name} -->\n${tables[name]()}\n<!-- end -->`
})
for (const name of Object.keys(tables)) {
  if (!page.includes(`<!-- table: ${name} -->`)) throw new Error(`docs/CAPACITY.md lacks the table ${name}`)
}
if (process.argv.includes('--write')) writeFileSync(pagePath, wanted)
else if (page !== wanted) {
  process.stderr.write('docs/CAPACITY.md differs from docs/measurements/slopes.json; run npm run capacity\n')
  process.exitCode = 1
}
