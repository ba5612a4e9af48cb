/**
 * A simulated network between memberships in one process: random latency, one-way cuts, and counts of the
 * traffic.
 */
import { create, fromBinary, toBinary, type DescMessage, type MessageInitShape } from '@bufbuild/protobuf'
import { RouterError, type Clock, type Random } from '@pimentotally/core'
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FetchConfigurationResponseSchema,
  NotifyRequestSchema,
  NotifyResponseSchema,
  type ExchangeResponse,
  type FetchConfigurationResponse,
} from '@pimentotally/wire'
import type { Membership } from './membership.js'
import { PeerNetwork, type PeerCallOptions } from './peer-network.js'

export interface SimulatedNetworkOptions {
  readonly clock: Clock
  readonly random: Random
  readonly maxLatencyMs?: number
}

export interface Traffic {
  messages: number
  /** Total size of the encoded messages, without HTTP/2 framing and headers. */
  bytes: number
}

export class SimulatedNetwork {
  readonly #clock: Clock
  readonly #random: Random
  readonly #maxLatencyMs: number
  readonly #hosts = new Map<string, Membership>()
  readonly traffic = new Map<string, Traffic>()
  /** Whether messages from one address reach another; those that do not are lost without an error. */
  isDelivered: (from: string, to: string) => boolean = () => true

  constructor({ clock, random, maxLatencyMs = 3 }: SimulatedNetworkOptions) {
    this.#clock = clock
    this.#random = random
    this.#maxLatencyMs = maxLatencyMs
  }

  attach(address: string, membership: Membership): void {
    this.#hosts.set(address, membership)
  }

  detach(address: string): void {
    this.#hosts.delete(address)
  }

  /** The calls of the host at `address` to other hosts. */
  peerNetworkOf(address: string): PeerNetwork {
    return new SimulatedPeerNetwork(this, address)
  }

  /**
   * Delivers a request and its response. Where either direction is cut, rejects `timeoutMs` after the message
   * was lost.
   */
  async deliverCall<R extends DescMessage>(
    from: string,
    to: string,
    { timeoutMs }: PeerCallOptions,
    request: Uint8Array,
    schema: R,
    serve: (host: Membership) => MessageInitShape<R>,
  ): Promise<Uint8Array> {
    const unreachable = (cause?: unknown) =>
      cause instanceof RouterError
        ? cause
        : new RouterError('no response', { code: 'peer_unreachable', step: 'peer.call', peer: to, cause })
    this.#count(from, request)
    await this.#clock.sleep(this.#random.float() * this.#maxLatencyMs)
    if (!this.isDelivered(from, to)) {
      await this.#clock.sleep(timeoutMs)
      throw unreachable()
    }
    const host = this.#hosts.get(to)
    if (host === undefined) throw unreachable()
    let response: Uint8Array
    try {
      response = toBinary(schema, create(schema, serve(host)))
    } catch (error) {
      throw unreachable(error)
    }
    this.#count(to, response)
    await this.#clock.sleep(this.#random.float() * this.#maxLatencyMs)
    if (!this.isDelivered(to, from)) {
      await this.#clock.sleep(timeoutMs)
      throw unreachable()
    }
    return response
  }

  #count(address: string, message: Uint8Array): void {
    const traffic = this.traffic.get(address) ?? { messages: 0, bytes: 0 }
    traffic.messages += 1
    traffic.bytes += message.length
    this.traffic.set(address, traffic)
  }
}

class SimulatedPeerNetwork extends PeerNetwork {
  readonly #network: SimulatedNetwork
  readonly #from: string

  constructor(network: SimulatedNetwork, from: string) {
    super()
    this.#network = network
    this.#from = from
  }

  override async exchange(
    address: string,
    request: MessageInitShape<typeof ExchangeRequestSchema>,
    options: PeerCallOptions,
  ): Promise<ExchangeResponse> {
    const bytes = toBinary(ExchangeRequestSchema, create(ExchangeRequestSchema, request))
    const response = await this.#network.deliverCall(
      this.#from,
      address,
      options,
      bytes,
      ExchangeResponseSchema,
      (host) => host.handleExchange(fromBinary(ExchangeRequestSchema, bytes)),
    )
    return fromBinary(ExchangeResponseSchema, response)
  }

  override async notify(
    address: string,
    request: MessageInitShape<typeof NotifyRequestSchema>,
    options: PeerCallOptions,
  ): Promise<void> {
    const bytes = toBinary(NotifyRequestSchema, create(NotifyRequestSchema, request))
    await this.#network.deliverCall(this.#from, address, options, bytes, NotifyResponseSchema, (host) => {
      host.handleNotify(fromBinary(NotifyRequestSchema, bytes))
      return {}
    })
  }

  override async fetchConfiguration(
    address: string,
    _version: number,
    options: PeerCallOptions,
  ): Promise<FetchConfigurationResponse> {
    const response = await this.#network.deliverCall(
      this.#from,
      address,
      options,
      new Uint8Array(4),
      FetchConfigurationResponseSchema,
      (host) => host.handleFetchConfiguration(),
    )
    return fromBinary(FetchConfigurationResponseSchema, response)
  }
}
