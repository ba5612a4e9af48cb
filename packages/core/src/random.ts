/** Seeded random numbers, so that randomised behaviour can be reproduced. */
import { randomInt } from 'node:crypto'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  constructor(seed: number = randomInt(0x7fffffff)) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Uniform in [0, 1). */
  float(): number {
    return uniformFloat64(this.#generator)
  }

  /** Uniform integer in [0, below). */
  integer(below: number): number {
    return Math.floor(this.float() * below)
  }

  /** A random element, or undefined when the list is empty. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.integer(items.length)]
  }

  /** A new array with the items in random order. */
  shuffle<T>(items: readonly T[]): T[] {
    const result = [...items]
    for (let last = result.length - 1; last > 0; last -= 1) {
      const other = this.integer(last + 1)
      ;[result[last], result[other]] = [result[other] as T, result[last] as T]
    }
    return result
  }
}
