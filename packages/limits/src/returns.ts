/** Waiters for the return of all permits of some shards, as a move needs it. */
import { RouterError } from '@pimentotally/core'
import type { IssuedPermit } from './state.js'

interface Waiter {
  readonly service: string
  readonly shards: ReadonlySet<number>
  readonly resolve: () => void
}

export class OutstandingPermitWaiters {
  readonly #waiters = new Set<Waiter>()
  readonly #isClear: (service: string, shards: ReadonlySet<number>) => boolean

  constructor(isClear: (service: string, shards: ReadonlySet<number>) => boolean) {
    this.#isClear = isClear
  }

  /** Rejects with RouterError `cancelled` when the signal aborts first. */
  wait(service: string, shards: readonly number[], signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const set = new Set(shards)
      const abort = (): void => {
        this.#waiters.delete(waiter)
        reject(new RouterError('the wait was cancelled', { code: 'cancelled', step: 'permits.return' }))
      }
      const waiter: Waiter = {
        service,
        shards: set,
        resolve: () => {
          signal.removeEventListener('abort', abort)
          resolve()
        },
      }
      if (signal.aborted) {
        abort()
        return
      }
      signal.addEventListener('abort', abort, { once: true })
      this.#waiters.add(waiter)
      this.check()
    })
  }

  /** A permit was returned. */
  returned({ service, shard }: IssuedPermit): void {
    if (this.#waiters.size === 0 || shard === undefined) return
    this.check((waiter) => waiter.service === service && waiter.shards.has(shard))
  }

  check(concerns: (waiter: Waiter) => boolean = () => true): void {
    for (const waiter of [...this.#waiters]) {
      if (!concerns(waiter) || !this.#isClear(waiter.service, waiter.shards)) continue
      this.#waiters.delete(waiter)
      waiter.resolve()
    }
  }
}
