/**
 * One request among those that may crash their targets: whether it may be sent, which targets it is kept apart from,
 * and what its attempts tell. The request is identified only while some request is under suspicion, or when a run
 * has ended.
 */
import { CrashVerdict } from '@pimentotally/routing'
import { CrashingRequests } from './crashing-requests.js'
import type { KnownTarget } from './directory.js'
import type { InboundRequest } from './dispatcher.js'
import type { ExchangeResult } from './target-exchange.js'
import { defaultRetryAfterMs, type Refusal, type SelectionRequest } from './target-selector.js'

export class RequestCrashHistory {
  readonly #crashingRequests: CrashingRequests
  readonly #inbound: InboundRequest
  /** Address of the caller; a closed connection does not tell it any more. */
  readonly #caller: string
  #names: readonly string[] | undefined

  constructor(crashingRequests: CrashingRequests, inbound: InboundRequest) {
    this.#crashingRequests = crashingRequests
    this.#inbound = inbound
    this.#caller = inbound.request.socket.remoteAddress ?? ''
  }

  /** The names by which the request is known when it comes again. */
  get #identity(): readonly string[] {
    const { request, body } = this.#inbound
    this.#names ??= CrashingRequests.identify({
      method: request.method ?? 'GET',
      hostname: request.headers.host ?? '',
      path: request.url ?? '/',
      caller: this.#caller,
      body,
    })
    return this.#names
  }

  get verdict(): CrashVerdict {
    return this.#crashingRequests.isEmpty
      ? CrashVerdict.unsuspected
      : this.#crashingRequests.verdict(this.#identity)
  }

  /** Keeps a suspect away from targets that run others, so that a crash tells which of them caused it. */
  isolation(): Pick<SelectionRequest, 'occupied' | 'runsAlone'> {
    const { verdict } = this
    if (verdict === CrashVerdict.unsuspected) return {}
    return {
      occupied: this.#crashingRequests.occupiedTargets(this.#identity),
      runsAlone: verdict !== CrashVerdict.suspected,
    }
  }

  /** Why the request must not be sent to any target now; undefined if it may be. */
  refuse(): Refusal | undefined {
    return this.#crashingRequests.isEmpty
      ? undefined
      : this.#crashingRequests.refuse(this.#identity, defaultRetryAfterMs)
  }

  mayRepeat(): boolean {
    return this.#crashingRequests.isEmpty || this.#crashingRequests.mayRepeat(this.#identity)
  }

  /**
   * Whether lost runs of the request that became known while it waited for a connection keep it from running. A first
   * sending that was chosen to run alone still may; a repeat is held to what is asked of it at its choice.
   */
  isSuspectedMore(verdictBefore: CrashVerdict, { isRepeat }: { readonly isRepeat: boolean }): boolean {
    if (isRepeat) return !this.mayRepeat()
    const { verdict } = this
    if (verdict === verdictBefore) return false
    if (verdict === CrashVerdict.runsAlone || verdict === CrashVerdict.blocked) return true
    // Its own run would be found among those under suspicion if it had been a suspect at its choice.
    return verdictBefore === CrashVerdict.unsuspected && this.refuse() !== undefined
  }

  /** Records that the request is sent to a target; returns the function that records its end. */
  runStarted(targetId: string): () => void {
    return this.#crashingRequests.isEmpty
      ? () => undefined
      : this.#crashingRequests.runStarted(this.#identity, targetId)
  }

  /** Records what the result of an attempt tells about whether the request crashes its targets. */
  record(target: KnownTarget, sentAtMs: number, result: ExchangeResult): void {
    const lost = (): void => {
      const { requestId } = this.#inbound
      void this.#crashingRequests.runLost({ names: this.#identity, requestId, target, sentAtMs })
    }
    const completed = (): void => {
      this.#crashingRequests.runCompleted(this.#identity)
    }
    if (result.kind === 'lost' && (result.reason === 'reset' || result.reason === 'truncated')) lost()
    if (result.kind !== 'response' || result.notExecuted) return
    if (result.complete) completed()
    // The connection may still be lost while the rest of the body arrives.
    else result.incoming.once('end', completed).once('error', lost)
  }
}
