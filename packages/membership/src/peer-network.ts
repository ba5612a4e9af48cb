/** The calls of membership to other hosts, over Connect or simulated in a test. */
import { Code, ConnectError } from '@connectrpc/connect'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { RouterError } from '@pimentotally/core'
import type {
  ExchangeRequestSchema,
  ExchangeResponse,
  FetchConfigurationResponse,
  NotifyRequestSchema,
  PeerClients,
} from '@pimentotally/wire'

export interface PeerCallOptions {
  readonly timeoutMs: number
}

/** Codes of refused calls. An identity is one start of a host: a host that starts again has a new host id. */
export const IdentityRefusal = {
  /** The identity that the call was meant for has ended, as another one received the call at its address. */
  recipient: 'recipient_identity_ended',
  /** The recipient knows a later identity of the sender, or knows that the sender's identity has ended. */
  sender: 'sender_identity_ended',
} as const
export type IdentityRefusal = (typeof IdentityRefusal)[keyof typeof IdentityRefusal]

export const IdentityRefusalCodes = {
  has: (code: string): code is IdentityRefusal => Object.values<string>(IdentityRefusal).includes(code),
}

/**
 * All calls reject with RouterError; its code is an IdentityRefusal if the recipient refused the call for that
 * reason.
 */
export abstract class PeerNetwork {
  abstract exchange(
    address: string,
    request: MessageInitShape<typeof ExchangeRequestSchema>,
    options: PeerCallOptions,
  ): Promise<ExchangeResponse>

  abstract notify(
    address: string,
    request: MessageInitShape<typeof NotifyRequestSchema>,
    options: PeerCallOptions,
  ): Promise<void>

  abstract fetchConfiguration(
    address: string,
    version: number,
    options: PeerCallOptions,
  ): Promise<FetchConfigurationResponse>
}

export interface WirePeerNetworkOptions {
  /** Clients that nothing else uses: a connection is closed when a call on it failed or when it is idle. */
  readonly clients: PeerClients
  /**
   * Connections that were unused for longer than this are closed. Gossip calls every host in turn, and the
   * pings of open connections to all hosts would cost more than gossip does.
   */
  readonly idleTimeoutMs?: number
}

/** Calls over the clients of `@pimentotally/wire`. */
export class WirePeerNetwork extends PeerNetwork {
  readonly #clients: PeerClients
  readonly #idleTimeoutMs: number
  readonly #lastUsedMs = new Map<string, number>()

  constructor({ clients, idleTimeoutMs = 5000 }: WirePeerNetworkOptions) {
    super()
    this.#clients = clients
    this.#idleTimeoutMs = idleTimeoutMs
  }

  override exchange(
    address: string,
    request: MessageInitShape<typeof ExchangeRequestSchema>,
    { timeoutMs }: PeerCallOptions,
  ): Promise<ExchangeResponse> {
    return this.#call('peer.exchange', address, () =>
      this.#clients.get(address).exchange(request, { timeoutMs }),
    )
  }

  override async notify(
    address: string,
    request: MessageInitShape<typeof NotifyRequestSchema>,
    { timeoutMs }: PeerCallOptions,
  ): Promise<void> {
    await this.#call('peer.notify', address, () => this.#clients.get(address).notify(request, { timeoutMs }))
  }

  override fetchConfiguration(
    address: string,
    version: number,
    { timeoutMs }: PeerCallOptions,
  ): Promise<FetchConfigurationResponse> {
    return this.#call('peer.fetchConfiguration', address, () =>
      this.#clients.get(address).fetchConfiguration({ version }, { timeoutMs }),
    )
  }

  async #call<T>(step: string, peer: string, perform: () => Promise<T>): Promise<T> {
    this.#dropIdle()
    this.#lastUsedMs.set(peer, performance.now())
    try {
      return await perform()
    } catch (cause) {
      const error = ConnectError.from(cause)
      const refused = error.code === Code.FailedPrecondition && IdentityRefusalCodes.has(error.rawMessage)
      // A failed call may be the only sign that the connection stopped working, as the connection itself may
      // report no error, so the next call opens a new one.
      if (!refused) this.#clients.drop(peer)
      throw new RouterError(error.message, {
        code: refused ? error.rawMessage : 'peer_unreachable',
        step,
        peer,
        cause,
      })
    }
  }

  #dropIdle(): void {
    for (const [address, usedMs] of this.#lastUsedMs) {
      if (performance.now() - usedMs < this.#idleTimeoutMs) continue
      this.#lastUsedMs.delete(address)
      this.#clients.drop(address)
    }
  }
}
