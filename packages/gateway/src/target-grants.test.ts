/** Guards against bounds of an owner's hold that leave out grants which may still arrive. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Result } from 'true-myth'
import { SilentLogger } from '@pimentotally/core'
import { VirtualTime } from '@pimentotally/core/testing'
import {
  GrantOutcome,
  TargetControl,
  type ControlError,
  type GrantCall,
  type ProbeAnswer,
} from '@pimentotally/assignment'
import { targetRow } from '@pimentotally/platform/testing'
import { Directory, type KnownTarget } from './directory.js'
import { TargetGrants, type TargetGrantsOptions } from './target-grants.js'

const range = {
  from: 0,
  to: 9,
  owner: 't0',
  ownerStartedAtEpochMs: 1000,
  fence: 1,
  formerOwner: undefined,
}
/** Longest hold that targets accept. */
const maxHoldMs = 10_000

/** Responds to each grant after `responseMs`. */
class SlowTarget extends TargetControl {
  /** The grants that were sent to the target, in order. */
  readonly calls: GrantCall[] = []
  readonly #time: VirtualTime
  responseMs = 0

  constructor(time: VirtualTime) {
    super()
    this.#time = time
  }

  override probe(): Promise<ProbeAnswer> {
    return Promise.resolve({ id: undefined })
  }

  override async grant(_target: unknown, call: GrantCall): Promise<Result<GrantOutcome, ControlError>> {
    this.calls.push(call)
    await new Promise<void>((resolve) => this.#time.schedule(this.responseMs, resolve))
    return Result.ok(GrantOutcome.granted)
  }

  override release(): ReturnType<TargetControl['release']> {
    return Promise.resolve(Result.ok({ released: true, handover: undefined }))
  }
}

const build = (options: Partial<TargetGrantsOptions> = {}) => {
  const time = new VirtualTime()
  const clock = time.clock()
  const logger = new SilentLogger()
  const directory = new Directory({ clock, logger })
  directory.applyTargetRegistry({
    changed: [targetRow({ id: 't0', address: '10.0.0.1:8000', rowVersion: 1 })],
    removed: [],
    version: 1,
  })
  const calls = new SlowTarget(time)
  const grants = new TargetGrants({
    service: 'notes',
    clock,
    logger,
    directory,
    targetControl: calls,
    tenure: { term: 1, predecessor: 'none', startedAtMs: 0, earlierErasLapseAtMs: 0 },
    maxHoldMs,
    remainingMs: () => 2000,
    beforeLongGrant: () => undefined,
    ...options,
  })
  const target = directory.target('t0')
  assert.ok(target)
  return { time, calls, grants, target: target as KnownTarget }
}

test('an owner counts as holding its keys while a grant to it is pending', async () => {
  const { time, calls, grants, target } = build()
  // Longer than the longest hold, so that no earlier grant could still last.
  await time.advance(20_000)
  assert.ok(grants.lapsesAtMs('t0') < time.nowMs(), 'nothing has been granted yet')
  calls.responseMs = 700
  void grants.grant(target, range)
  await time.advance(600)
  // The normal hold time is 4700 ms, counted from when the grant arrives.
  assert.ok(grants.lapsesAtMs('t0') > time.nowMs() + 4700, 'the grant may have arrived just now')
  await time.advance(200)
  assert.ok(grants.lapsesAtMs('t0') > time.nowMs())
})

test('grants have the longest hold only until the lease is renewed, and each of them is announced before it is sent', async () => {
  let remainingMs = 600
  let announced = 0
  const { time, calls, grants, target } = build({
    remainingMs: () => remainingMs,
    beforeLongGrant: () => (announced += 1),
  })
  const ranges = Array.from({ length: 12 }, (_, index) => ({ ...range, from: index, to: index }))
  calls.responseMs = 700
  grants.renew(new Map([[target, ranges]]), () => true)
  await time.advance(1500)
  remainingMs = 2000
  await time.advance(8000)
  // A grant takes 700 ms, so three of them are sent before the lease is renewed after 1500 ms.
  const longGrants = calls.calls.filter(({ holdMs }) => holdMs === maxHoldMs)
  assert.equal(calls.calls.length, 12)
  assert.equal(longGrants.length, 3)
  assert.equal(announced, 3)
})
