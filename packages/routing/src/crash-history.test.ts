/** Counting of crashes that one request explains. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
  CrashVerdict,
  areOverlapping,
  crashVerdict,
  successiveCrashes,
  turnWaitMs,
  type CrashedRun,
} from './crash-history.js'

const run = (sentAtMs: number, endedAtMs: number, hostName = 'h'): CrashedRun => ({
  sentAtMs,
  endedAtMs,
  hostName,
})

test('runs that overlap count as one crash, runs one after the other as several', () => {
  assert.equal(successiveCrashes([]).length, 0)
  assert.equal(successiveCrashes([run(0, 100), run(20, 100), run(99, 101)]).length, 1)
  assert.equal(successiveCrashes([run(0, 100), run(100, 180), run(300, 400)]).length, 3)
  assert.equal(successiveCrashes([run(300, 400), run(0, 100), run(50, 350), run(100, 180)]).length, 3)
})

test('the instants of two hosts may differ by the time of a message', () => {
  assert.equal(successiveCrashes([run(0, 100, 'a'), run(95, 180, 'b')]).length, 2)
  assert.equal(successiveCrashes([run(0, 100, 'a'), run(95, 180, 'a')]).length, 1)
  assert.equal(successiveCrashes([run(0, 100, 'a'), run(50, 180, 'b')]).length, 1)
})

test('a request is blocked after three crashes, and runs alone after two', () => {
  assert.deepEqual(
    [0, 1, 2, 3, 4].map((crashes) => crashVerdict(crashes)),
    [
      CrashVerdict.unsuspected,
      CrashVerdict.suspected,
      CrashVerdict.runsAlone,
      CrashVerdict.blocked,
      CrashVerdict.blocked,
    ],
  )
})

test('runs overlap only if each was sent well before the other ended', () => {
  assert.ok(areOverlapping(run(0, 100), run(60, 101)))
  assert.ok(!areOverlapping(run(0, 100), run(100, 101)), 'a repeat after the loss')
  assert.ok(!areOverlapping(run(0, 100, 'a'), run(95, 101, 'b')), 'the same, seen by another host')
})

const hostNames = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => `h${String(index).padStart(4, '0')}`)

test('at no time may more than a tenth of many hosts send a suspect, and each may in its turn', () => {
  for (const count of [2, 3, 10, 15, 195]) {
    const names = hostNames(count)
    const senders = new Set<string>()
    for (let lastCrashAgeMs = 0; lastCrashAgeMs < 21_000; lastCrashAgeMs += 50) {
      const sending = names.filter(
        (hostName) => turnWaitMs({ hostName, hostNames: names, lastCrashAgeMs }) === 0,
      )
      assert.ok(
        sending.length <= Math.ceil(count / 10),
        `${String(sending.length)} of ${String(count)} hosts`,
      )
      if (lastCrashAgeMs < 1000) assert.deepEqual(sending, [], 'the crash is not known to all hosts yet')
      for (const hostName of sending) senders.add(hostName)
    }
    assert.equal(senders.size, count)
  }
  assert.equal(turnWaitMs({ hostName: 'h', hostNames: ['h'], lastCrashAgeMs: 0 }), 0)
  assert.equal(turnWaitMs({ hostName: 'h', hostNames: [], lastCrashAgeMs: 0 }), 0)
})

test('the wait for a turn ends with the turn', () => {
  const names = hostNames(10)
  for (const hostName of names) {
    for (let lastCrashAgeMs = 0; lastCrashAgeMs < 21_000; lastCrashAgeMs += 50) {
      const waitMs = turnWaitMs({ hostName, hostNames: names, lastCrashAgeMs })
      assert.ok(waitMs >= 0 && waitMs <= 10_000)
      assert.equal(turnWaitMs({ hostName, hostNames: names, lastCrashAgeMs: lastCrashAgeMs + waitMs }), 0)
    }
  }
})
