/**
 * Fault injection for the in-memory platform. A fault source decides for each call whether it is delayed,
 * refused without taking effect, or performed with its response lost.
 */
import { Result } from 'true-myth'
import { type Clock, type Random } from '@pimentotally/core'
import type { PlatformError, PlatformResult } from './result.js'

export const FaultEffect = { none: 'none', refuse: 'refuse', loseAnswer: 'loseAnswer' } as const
export type FaultEffect = (typeof FaultEffect)[keyof typeof FaultEffect]

export interface Fault {
  readonly effect: FaultEffect
  /** One half passes before the call takes effect, the other half after it. */
  readonly delayMs: number
}

export interface PlatformCall {
  readonly step: string
  readonly kind: 'read' | 'write'
  /** Row keys, the prefix of a scan, or the object name; empty for the host list. */
  readonly keys: readonly string[]
}

export abstract class FaultSource {
  abstract next(call: PlatformCall): Fault
}

const none: Fault = { effect: FaultEffect.none, delayMs: 0 }

export class NoFaults extends FaultSource {
  override next(): Fault {
    return none
  }
}

export interface FaultPolicy {
  /** Delays are distributed uniformly between `minDelayMs` and `maxDelayMs`. */
  readonly minDelayMs: number
  readonly maxDelayMs: number
  /** Probability that a call is refused without taking effect. */
  readonly unavailable: number
  /** Probability that the response of a write is lost after it took effect. */
  readonly loseAnswer: number
}

/** Draws faults by probability; the policy may be changed at any time. */
export class RandomFaults extends FaultSource {
  readonly #random: Random
  policy: FaultPolicy = { minDelayMs: 0, maxDelayMs: 0, unavailable: 0, loseAnswer: 0 }

  constructor(random: Random, policy: Partial<FaultPolicy> = {}) {
    super()
    this.#random = random
    this.policy = { ...this.policy, ...policy }
  }

  override next({ kind }: PlatformCall): Fault {
    const { minDelayMs, maxDelayMs, unavailable, loseAnswer } = this.policy
    // Every call draws three numbers, whatever the policy, so that a change of policy does not shift the
    // random sequence of a seed.
    const [delay, refuse, lose] = [this.#random.float(), this.#random.float(), this.#random.float()]
    return {
      delayMs: minDelayMs + delay * Math.max(0, maxDelayMs - minDelayMs),
      effect:
        refuse < unavailable
          ? FaultEffect.refuse
          : kind === 'write' && lose < loseAnswer
            ? FaultEffect.loseAnswer
            : FaultEffect.none,
    }
  }
}

/** Applies each pushed fault once, to the next call that it matches; all other calls have no fault. */
export class ScriptedFaults extends FaultSource {
  readonly #queue: { fault: Fault; matches: (call: PlatformCall) => boolean }[] = []

  push(fault: Partial<Fault>, matches: (call: PlatformCall) => boolean = () => true): void {
    this.#queue.push({ fault: { ...none, ...fault }, matches })
  }

  override next(call: PlatformCall): Fault {
    const index = this.#queue.findIndex(({ matches }) => matches(call))
    return index < 0 ? none : (this.#queue.splice(index, 1)[0]?.fault ?? none)
  }
}

export interface MemoryServiceOptions {
  readonly clock?: Clock
  readonly faults?: FaultSource
  /** Timeout of calls that set none of their own. */
  readonly timeoutMs?: number
}

/** The error after a lost response: a write may have taken effect, while a read has simply failed. */
export const lostResponseError = ({ kind, step }: PlatformCall, message: string): PlatformError => ({
  code: kind === 'write' ? 'unknown' : 'unavailable',
  step,
  message,
})

export interface FaultyCall<T> {
  readonly clock: Clock
  readonly faults: FaultSource
  readonly timeoutMs: number
  readonly call: PlatformCall
  readonly perform: () => PlatformResult<T>
}

/** Performs a call with the next fault. A call that has timed out may still take effect later. */
export const performWithFault = async <T>(options: FaultyCall<T>): Promise<PlatformResult<T>> => {
  const { clock, faults, timeoutMs, call, perform } = options
  const { effect, delayMs } = faults.next(call)
  const work = async (): Promise<PlatformResult<T>> => {
    if (delayMs > 0) await clock.sleep(delayMs / 2)
    if (effect === FaultEffect.refuse) {
      return Result.err({ code: 'unavailable', step: call.step, message: 'refused by fault policy' })
    }
    const result = perform()
    if (delayMs > 0) await clock.sleep(delayMs / 2)
    return effect === FaultEffect.loseAnswer ? Result.err(lostResponseError(call, 'response lost')) : result
  }
  if (delayMs <= timeoutMs) return work()
  void work()
  await clock.sleep(timeoutMs)
  return Result.err(lostResponseError(call, `no response within ${String(timeoutMs)} ms`))
}
