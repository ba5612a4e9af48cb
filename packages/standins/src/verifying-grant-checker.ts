/** A checker that verifies grants, as the targets of services with `verifiesGrants` do. */
import { SystemClock, type Clock } from '@pimentotally/core'
import { GrantHolder, type GrantRequest } from '@pimentotally/ownership'
import type { GrantCheck, GrantChecker } from './target-settings.js'

const isGrantRequest = (body: unknown): body is GrantRequest =>
  typeof body === 'object' && body !== null && 'term' in body && typeof body.term === 'string'

export class VerifyingGrantChecker implements GrantChecker {
  readonly #holder: GrantHolder
  #inFlight = 0

  constructor(instanceId: string, clock: Clock = new SystemClock()) {
    this.#holder = new GrantHolder({ clock, instanceId, inFlight: () => this.#inFlight })
  }

  handle(body: unknown, inFlight: number): unknown {
    this.#inFlight = inFlight
    return isGrantRequest(body) ? this.#holder.handle(body) : { error: 'not a grant request' }
  }

  check({ service, shard, keyHash = '', fence = '', term = '' }: GrantCheck) {
    if (shard === undefined) {
      // A request without a key needs no owner, but one with the term of an outdated coordinator must not take a slot.
      return term >= this.#holder.highestTerm ? ({ ok: true } as const) : refuse('term_stale')
    }
    const checked = this.#holder.check({ service, shard, keyHash, fence, term })
    return checked === 'ok' ? ({ ok: true } as const) : refuse(checked)
  }
}

const refuse = (reason: string) => ({ ok: false, reason }) as const
