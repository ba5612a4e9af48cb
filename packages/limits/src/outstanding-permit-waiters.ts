/** Lets a move of shards wait until no permit for these shards is outstanding. */
import { RouterError } from '@pimentotally/core'
import type { IssuedPermit } from './state.js'

interface Waiter {
  readonly service: string
  readonly shards: ReadonlySet<number>
  readonly resolve: () => void
}

export class OutstandingPermitWaiters {
  readonly #waiters = new Set<Waiter>()
  readonly #hasNoOutstandingPermit: (service: string, shards: ReadonlySet<number>) => boolean

  constructor(hasNoOutstandingPermit: (service: string, shards: ReadonlySet<number>) => boolean) {
    this.#hasNoOutstandingPermit = hasNoOutstandingPermit
  }

  /**
   * Resolves once no permit for the shards is outstanding; rejects with RouterError `cancelled` on an abort.
   */
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

  /** To be called when a permit has ended. */
  returned({ service, shard }: IssuedPermit): void {
    if (this.#waiters.size === 0 || shard === undefined) return
    this.check((waiter) => waiter.service === service && waiter.shards.has(shard))
  }

  /** Resolves the waiters, of those that `concerns` selects, whose shards have no outstanding permit. */
  check(concerns: (waiter: Waiter) => boolean = () => true): void {
    for (const waiter of [...this.#waiters]) {
      if (!concerns(waiter) || !this.#hasNoOutstandingPermit(waiter.service, waiter.shards)) continue
      this.#waiters.delete(waiter)
      waiter.resolve()
    }
  }
}
