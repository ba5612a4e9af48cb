// Mutation tests of the ownership protocol, also over a store that comes back from an older copy, of the limits that
// targets name, of the request path, of the access and the quotas of tenants, and of the limits on callers: for each
// defence against two owners of a key, against more requests than a limit allows, against answers that belong to another
// exchange, against API keys where they must not be, or against callers that send without end, removes it in a copy of
// the built files under target/ and runs the tests of its suite against that copy. Prints a table of the results. Fails
// when a change does not apply, when tests fail on the unchanged copy, or when the random tests pass without a defence
// that they reach and that has no second one behind it. Build first. Arguments narrow the run to rows whose name contains
// one of them, and the unchanged copies to the suites of these.
import { execFile } from 'node:child_process'
import { cpSync, mkdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** Copies that are tested at the same time. */
const atOnce = 2
/** Bound for the tests of one suite on one copy. */
const timeoutMs = 300_000
const copied = [
  'packages/core',
  'packages/assignment',
  'packages/routing',
  'packages/storage',
  'packages/http',
]
const packages = [...copied, 'packages/gateway', 'platform']

const ownershipTests = {
  directed: ['ownership', 'ownership-bounds', 'target-grants', 'directory'],
  random: ['ownership-faults', 'restored-store-faults'],
}
const restoreTests = { directed: ['restored-store'], random: ['restored-store-faults'] }
const limitTests = { directed: ['target-limits'], random: ['target-limit-faults'] }

const responseTests = {
  directed: ['second-answers', 'broken-answers', 'embedded-response', 'packages/http/dist/keep-alive-agent'],
  random: ['second-answer-faults'],
}

const accessTests = {
  directed: ['tenant-access', 'tenant-priority', 'directory', 'first-configuration'],
  random: [],
}
const quotaTests = { directed: ['quotas', 'packages/assignment/dist/quota'], random: ['quota-faults'] }
const callerTests = {
  directed: [
    'untrusted-connections',
    'packages/routing/dist/body-budget',
    'packages/routing/dist/unread-answers',
  ],
  random: [],
}

const gateway = (name) => `packages/gateway/dist/${name}.js`
const assignment = (name) => `packages/assignment/dist/${name}.js`
const requestLimit = 'packages/routing/dist/request-limit.js'
const storePosition = 'packages/storage/dist/store-position.js'

const anyIdCountsAsProof = [
  gateway('directory'),
  'if (startedAtEpochMs === undefined)\n            return false;\n        const processes',
  'if (this.#processesByAddress.get(address)?.some((other) => other.id !== id))\n            return true;\n        const processes',
]
const addressIsNotProbed = [gateway('former-owners'), 'this.#replaced.has(id) &&', '']

/**
 * Each row is named after the fault that its changes cause. A change is a file, a text that occurs in it
 * exactly once, and the text that replaces it. `isBacked` marks a defence with a second one behind it: the
 * directed tests must fail without the one, and the random tests without both. `isOutOfReach` marks one that
 * the random tests cannot reach, because they do without connections and callers: the directed tests must fail.
 */
const ownershipDefences = [
  { name: 'nothing', changes: [] },
  {
    name: 'the service controllers are recreated when the lease is renewed late',
    changes: [
      [gateway('assignment-controller'), 'if (term !== this.#term)', 'if (tenure?.term !== this.#term)'],
    ],
  },
  {
    name: 'a release of the lease never records that long grants may still last',
    changes: [
      [
        gateway('leadership'),
        'const hasLongGrants = this.#options.clock.monotonicMs() < this.#longGrantsLapseAtMs;',
        'const hasLongGrants = false;',
      ],
    ],
  },
  {
    name: 'after a lapsed leader the successor waits for the normal hold only',
    changes: [[gateway('target-grants'), 'lapsed: maxHoldMs', 'lapsed: grantHoldMs']],
  },
  {
    name: 'a leader does not record the long grants that a lapsed predecessor may have sent',
    changes: [[gateway('leadership'), "if (predecessor === 'lapsed')", 'if (false)']],
  },
  {
    name: 'any other id at an address counts as proof that a process has ended',
    isBacked: true,
    changes: [anyIdCountsAsProof],
  },
  {
    name: 'the bound of a hold is halved',
    changes: [[assignment('holds'), 'holdMs * clockDriftFactor', '(holdMs * clockDriftFactor) / 2']],
  },
  {
    name: 'a grant without a response does not extend the bound of the hold',
    changes: [[gateway('target-grants'), "if (result.error.code === 'not_sent')", 'if (true)']],
  },
  {
    name: 'a pending grant does not extend the bound of the hold',
    changes: [
      [assignment('holds'), 'this.#pendingGrants > 0 ? Infinity : this.#lapsesAtMs', 'this.#lapsesAtMs'],
    ],
  },
  {
    name: 'the process at a former owner’s address is not asked for its id',
    isBacked: true,
    changes: [addressIsNotProbed],
  },
  {
    name: 'any other id counts as proof, and the process at the address is not asked for its id',
    changes: [anyIdCountsAsProof, addressIsNotProbed],
  },
  {
    name: 'other hosts do not notice that the last holder of a lease has taken it again',
    changes: [
      [assignment('election'), 'known.term === record.term &&', ''],
      [
        gateway('leadership'),
        'this.#renewals += 1;',
        'this.#renewals = this.#tenure === undefined ? 1 : this.#renewals + 1;',
      ],
    ],
  },
  {
    name: 'a range moves without a release by its former owner',
    changes: [
      [
        gateway('range-moves'),
        'const address = owners.addressOf(formerOwner);',
        'return { end: HoldEndReason.released, handover: undefined };\n            const address = undefined;',
      ],
    ],
  },
  {
    name: 'a lease counts from the response to a write instead of from its sending',
    changes: [
      [
        gateway('leadership'),
        'return;\n        this.#lease = new HeldLease(leaseTimes, sentAt)',
        'return;\n        this.#lease = new HeldLease(leaseTimes, this.#reading())',
      ],
      [
        gateway('leadership'),
        'this.#earlierLease = this.#lease;\n        this.#lease = new HeldLease(leaseTimes, sentAt)',
        'this.#earlierLease = this.#lease;\n        this.#lease = new HeldLease(leaseTimes, this.#reading())',
      ],
      [gateway('leadership'), '#lease?.recordRenewal(sentAt)', '#lease?.recordRenewal(this.#reading())'],
    ],
  },
  {
    name: 'a grant is sent without checking that the range is still owned',
    changes: [[gateway('target-grants'), '!this.mayGrant || !stillOwns(range)', '!this.mayGrant']],
  },
  {
    name: 'an older heartbeat changes the target registry',
    changes: [[gateway('directory'), 'if (this.#isOutdated(target))', 'if (false)']],
  },
  {
    name: 'a new process under the same id gets no higher fence',
    changes: [
      [
        gateway('service-assignment-controller'),
        'const isNew = target !== undefined && target.startedAtEpochMs !== ownerStartedAtEpochMs;',
        'const isNew = false;',
      ],
    ],
  },
]

const restoreDefences = [
  { name: 'nothing, restored store', changes: [] },
  {
    name: 'positions do not say which era they belong to',
    changes: [[storePosition, '? era * versionsPerEra + version', '? version']],
  },
  {
    name: 'the content of an older copy replaces a newer one that is known',
    changes: [[storePosition, 'Math.min(era, eraOf(position))', 'eraOf(position)']],
  },
  {
    name: 'fences of a lost time are given out again',
    changes: [[storePosition, 'era * fencesPerEra + 1', '1']],
  },
  {
    name: 'keys are granted before the grants of a lost time have lapsed',
    changes: [
      [
        gateway('service-assignment-controller'),
        'return clock.monotonicMs() < tenure.earlierErasLapseAtMs;',
        'return false;',
      ],
    ],
  },
  {
    name: 'a copy without any assignment counts as a first start',
    changes: [[gateway('leadership'), '|| this.#options.directory.routerStateEra > firstEra', '']],
  },
  {
    name: 'a leader that goes on after a return grants by an assignment that is not stored again',
    changes: [
      [
        gateway('service-assignment-controller'),
        'return isStored ? remainingMs() : unstoredRemainingMs();',
        'return remainingMs();',
      ],
    ],
  },
  {
    name: 'owners of an older copy get their keys under the fences of the copy',
    changes: [
      [
        assignment('range-map'),
        'const fence = assignment.lastFence + 1;\n    const ranges = assignment.ranges.map((range) => ({ ...range, fence,',
        'const fence = assignment.lastFence + 1;\n    const ranges = assignment.ranges.map((range) => ({ ...range,',
      ],
    ],
  },
  {
    name: 'a lease of an older copy may be taken over at once',
    changes: [
      [gateway('leadership'), 'const eraWaitMs = isOfPresentEra ? 0 :', 'const eraWaitMs = true ? 0 :'],
    ],
  },
]

const limitDefences = [
  { name: 'nothing, limits', changes: [] },
  {
    name: 'each host takes the whole limit for itself',
    changes: [[requestLimit, 'const rate = total / senders;', 'const rate = total;']],
  },
  {
    name: 'hosts that were not picked send as well',
    changes: [[requestLimit, 'if (rank < senders)', 'if (true)']],
  },
  {
    name: 'hosts take turns by what they hear alone',
    changes: [[requestLimit, 'hearsOtherHosts && isAnswered', 'isAnswered']],
  },
  {
    name: 'a request without a response does not end a host’s turn',
    changes: [
      [requestLimit, 'const isAnswered = silentMs <= unsentMs;', 'const isAnswered = true;'],
      [requestLimit, 'Math.min(silentMs, unsentMs)', 'silentMs'],
    ],
  },
  {
    name: 'the waits of the other hosts are too short',
    changes: [[requestLimit, 'const reserveShare = 1 / 6;', 'const reserveShare = 3;']],
  },
  {
    name: 'a host saves up requests for a minute',
    changes: [[requestLimit, 'const burstMs = 1000;', 'const burstMs = 60000;']],
  },
  {
    name: 'requests are not counted when they are sent',
    changes: [[gateway('target-observations'), 'this.limits.recordSent(id);', '']],
  },
  {
    name: 'requests that are chosen for together are counted afterwards',
    isOutOfReach: true,
    changes: [
      [
        gateway('proxied-request'),
        'const refusal = this.#crashHistory.refuse() ??',
        'await undefined;\n        const refusal = this.#crashHistory.refuse() ??',
      ],
    ],
  },
  {
    name: 'a response to a request from before the limit ends it',
    isOutOfReach: true,
    changes: [[gateway('target-limits'), '|| sentAtMs < known.heardAtMs', '']],
  },
  {
    name: 'a limit is forgotten while the target’s entry is missing',
    isOutOfReach: true,
    changes: [[gateway('target-limits'), 'if (nowMs - heardAtMs < statementLifetimeMs)', 'if (false)']],
  },
]

const exchange = gateway('target-exchange')
const pool = 'packages/http/dist/keep-alive-agent.js'

const responseDefences = [
  { name: 'nothing, second answers', changes: [] },
  {
    name: 'a response is accepted whatever id it repeats',
    changes: [[exchange, 'echoed !== this.#options.requestId', 'false']],
  },
  {
    name: 'a connection carries the same request id again',
    // The random test reaches it only now and then: the third attempt has to get the connection of the first.
    isOutOfReach: true,
    changes: [[pool, 'if (exchangeId !== undefined && this.exchangeIds.has(exchangeId))', 'if (false)']],
  },
  {
    name: 'a response within the body of another one is passed on',
    changes: [[gateway('embedded-response'), "return { kind: 'response' };", 'return other;']],
  },
  {
    name: 'a success without a signature is passed on',
    changes: [[exchange, 'if (status < 300 && !isProvenSuccess(incoming.headers))', 'if (false)']],
  },
  {
    name: 'a retired connection is reused',
    isOutOfReach: true,
    changes: [[pool, 'connection.serial <= this.#retiredSerial || ', '']],
  },
  {
    name: 'a connection is reused after bytes behind a response',
    isOutOfReach: true,
    changes: [[exchange, 'if (hasCompleted)', 'if (false)']],
  },
]

const headers = 'platform/dist/headers.js'
const accessDecision = gateway('tenant-access')

/** There are no random tests of access beside the soak, which runs real processes. */
const accessDefences = [
  { name: 'nothing, access of tenants', changes: [] },
  {
    name: 'the key of a tenant is passed on',
    changes: [
      [headers, '...replacedTargetHeaders,\n    platformHeaders.authorization,', '...replacedTargetHeaders,'],
    ],
  },
  {
    name: 'the tenant that a caller names is passed on',
    changes: [
      [
        headers,
        'platformHeaders.authorization,\n    platformHeaders.tenant,',
        'platformHeaders.authorization,',
      ],
    ],
  },
  {
    name: 'a key is not looked up again after the body',
    changes: [
      [accessDecision, 'routes === decided.routes\n    ? decided', 'routes !== undefined\n    ? decided'],
    ],
  },
  {
    name: 'the first of several keys counts',
    changes: [[headers, 'count === 1 ?', 'count >= 1 ?']],
  },
  {
    name: 'an unknown key belongs to no tenant, but is let in',
    changes: [[accessDecision, 'refusal: AccessRefusal.keyUnknown', 'refusal: undefined']],
  },
  {
    name: 'peers pass on a configuration that is older than the one in force',
    changes: [[gateway('directory'), 'ignored.push(row.key);', 'continue;']],
  },
  {
    name: 'a host that starts takes an older configuration from the store',
    changes: [[gateway('first-configuration'), 'if (newest === own)', 'if (true)']],
  },
  {
    name: 'a configuration with bad tenants is taken',
    changes: [['platform/dist/configuration.js', 'if (issues.length > 0)', 'if (false)']],
  },
].map((row) => ({ ...row, isOutOfReach: true }))

const quotaDefences = [
  { name: 'nothing, quotas', changes: [] },
  {
    name: 'a part that is lowered does not count until its host has heard of it',
    // The random test reaches it only now and then: replies have to be lost while demand moves away.
    isOutOfReach: true,
    changes: [
      [assignment('quota-lender'), 'Math.max(ask.held.rate, part.rate)', 'part.rate'],
      [assignment('quota-lender'), 'Math.max(ask.held.capacity, part.capacity)', 'part.capacity'],
    ],
  },
  {
    name: 'a new leader lends before the parts of earlier ones are known',
    changes: [
      [
        gateway('quota-lending'),
        'settledAtMs: isFirst ? startedAtMs : undefined',
        'settledAtMs: startedAtMs',
      ],
    ],
  },
  {
    name: 'a new leader does not wait for the hosts that it has not heard',
    changes: [
      [
        gateway('quota-lending'),
        'return directory.hostNames.every((name) => heardHosts.has(name));',
        'return true;',
      ],
    ],
  },
  {
    name: 'a part lasts while the steady clock stands still',
    changes: [
      [
        assignment('election'),
        'to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs',
        'to.monotonicMs - from.monotonicMs',
      ],
    ],
  },
  {
    name: 'a renewed part comes with a full bucket',
    changes: [[assignment('quota-share'), 'this.#add(stored);', 'this.#tokens = this.#part.capacity;']],
  },
  {
    name: 'a host keeps what it was lent when it is cut off',
    changes: [
      [assignment('quota-plan'), 'quotaLeaseMs = 7000', 'quotaLeaseMs = 7e8'],
      [assignment('quota-lender'), 'quotaLeaseMs)', '7000)'],
      [gateway('quota-lending'), 'quotaLeaseMs)', '7000)'],
    ],
  },
]

const bodyBudget = 'packages/routing/dist/body-budget.js'
const bodyReader = gateway('body-reader')
const callerServer = gateway('caller-server')

/** No random test sends bodies that do not end, so all rows are out of reach of these. */
const callerDefences = [
  { name: 'nothing, callers', changes: [] },
  {
    name: 'bodies have no bound together',
    changes: [[bodyBudget, 'if (this.#bytes <= maxBytes ||', 'if (true ||']],
  },
  {
    name: 'the largest body gives way before one that does not arrive',
    changes: [[bodyBudget, 'if (nowMs - progressAtMs >= progressMs)', 'if (false)']],
  },
  {
    name: 'bodies in flight do not count',
    changes: [[bodyReader, 'this.#budget.complete(reading, body.length)', 'this.#budget.release(reading)']],
  },
  {
    name: 'small pieces have no bound',
    changes: [[bodyBudget, 'if (!this.#spendToken(nowMs))', 'if (false)']],
  },
  {
    name: 'a body that is announced to be too large is read',
    changes: [[bodyReader, "Number(request.headers['content-length'] ?? 0) > maxBodyBytes", 'false']],
  },
  {
    name: 'the rest of a refused request is read for ever',
    changes: [[bodyReader, 'if (before <= maxBodyBytes && bytes > maxBodyBytes)', 'if (false)']],
  },
  {
    name: 'a connection with a dispatched request is closed for another one',
    changes: [[gateway('connection-limit'), 'if (dispatched === 0)', 'if (true)']],
  },
  {
    name: 'requests of a closed connection go on counting',
    changes: [[callerServer, 'if (response.req.socket === socket)', 'if (false)']],
  },
  {
    name: 'a connection may have any number of requests without an answer',
    changes: [[callerServer, 'limit.dispatchedOf(socket) >= maxRequestsAhead', 'false']],
  },
  {
    name: 'answers that are not read have no bound',
    changes: [[callerServer, 'if (this.#dispatches % dispatchesPerCheck === 0)', 'if (false)']],
  },
].map((row) => ({ ...row, isOutOfReach: true }))

const defences = [
  ...ownershipDefences.map((row) => ({ ...row, tests: ownershipTests })),
  ...restoreDefences.map((row) => ({ ...row, tests: restoreTests })),
  ...limitDefences.map((row) => ({ ...row, tests: limitTests })),
  ...quotaDefences.map((row) => ({ ...row, tests: quotaTests })),
  ...responseDefences.map((row) => ({ ...row, tests: responseTests })),
  ...accessDefences.map((row) => ({ ...row, tests: accessTests })),
  ...callerDefences.map((row) => ({ ...row, tests: callerTests })),
]

const root = join('target', 'defences')

const copy = ({ changes }, dir) => {
  rmSync(dir, { recursive: true, force: true })
  const links = join(dir, 'node_modules', '@pimentotally')
  mkdirSync(links, { recursive: true })
  for (const path of packages) {
    for (const part of ['dist', 'package.json'])
      cpSync(join(path, part), join(dir, path, part), { recursive: true })
    symlinkSync(join('..', '..', path), join(links, path.split('/').at(-1)))
  }
  for (const [file, text, replacement] of changes) {
    const path = join(dir, file)
    const parts = readFileSync(path, 'utf8').split(text)
    if (parts.length !== 2) throw new Error(`${file}: ${String(parts.length - 1)} occurrences of: ${text}`)
    writeFileSync(path, parts.join(replacement))
  }
}

/** Resolves to the names of the tests that failed and that passed, and a summary of the result. */
const runTests = (dir, names) =>
  new Promise((resolve) => {
    if (names.length === 0) {
      resolve({ failed: [], text: 'none', passed: [] })
      return
    }
    const files = names.map((name) =>
      join(dir, name.includes('/') ? `${name}.test.js` : gateway(`${name}.test`)),
    )
    execFile(
      process.execPath,
      ['--test', '--test-reporter=tap', ...files],
      { timeout: timeoutMs, killSignal: 'SIGKILL', maxBuffer: 1 << 28 },
      (error, stdout) => {
        const passed = [...stdout.matchAll(/^(?: {4})?ok \d+ - (.+)$/gm)].map(([, name]) => name)
        const failed = [...stdout.matchAll(/^(?: {4})?not ok \d+ - (.+)$/gm)].map(([, name]) => name)
        const tests = failed.filter((name) => !name.endsWith('.test.js'))
        if (error?.killed === true) resolve({ failed: tests, text: 'timed out', passed })
        else if (error !== null && tests.length === 0) resolve({ failed: ['?'], text: 'did not run', passed })
        else resolve({ failed: tests, text: tests.length === 0 ? 'pass' : `${tests.length} fail`, passed })
      },
    )
  })

const wanted = process.argv.slice(2)
const isWanted = ({ name, changes }) =>
  changes.length > 0 && (wanted.length === 0 || wanted.some((part) => name.includes(part)))
const wantedSuites = new Set(defences.filter(isWanted).map(({ tests }) => tests))
const rows = defences.filter(
  (row) => isWanted(row) || (row.changes.length === 0 && wantedSuites.has(row.tests)),
)
rows.forEach((row, index) => copy(row, join(root, String(index))))

const results = new Map()
const queue = rows.map((row, index) => ({ row, dir: join(root, String(index)) }))
const work = async () => {
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const { row, dir } = next
    const directed = await runTests(dir, row.tests.directed)
    const random = await runTests(dir, row.tests.random)
    results.set(row, { directed, random })
    console.error(`${row.name}: ${[...directed.failed, ...random.failed].join('; ') || 'pass'}`)
  }
}
await Promise.all(Array.from({ length: atOnce }, work))

console.log('| taken out | directed tests | random tests |\n|---|---|---|')
for (const row of rows) {
  const { directed, random } = results.get(row)
  console.log(`| ${row.name} | ${directed.text} | ${random.text} |`)
}
const unexpected = rows.filter((row) => {
  const { directed, random } = results.get(row)
  return row.changes.length === 0
    ? directed.text !== 'pass' || !['pass', 'none'].includes(random.text)
    : !/^\d+ fail$/.test(row.isBacked === true || row.isOutOfReach === true ? directed.text : random.text)
})
for (const { name } of unexpected) console.log(`unexpected result: ${name}`)
process.exitCode = unexpected.length === 0 ? 0 : 1
