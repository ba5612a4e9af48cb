/** Calls to the operator service: the given addresses are tried in order until a host answers. */
import { randomUUID } from 'node:crypto'
import { ConnectError, type Client } from '@connectrpc/connect'
import { OperatorService, openClient } from '@pimentotally/wire'
import { ExitCode } from './exit-code.js'
import { CliFailure, operatorFailureOf, reportedFailure } from './failure.js'

export interface HostConnectionsOptions {
  /** IP addresses and ports of the hosts' operator listeners, in the order in which they are tried. */
  readonly addresses: readonly string[]
  readonly credential: string
  /** Called with notes for the operator, such as the reason for which a host was skipped. */
  readonly note: (text: string) => void
  /** Timeout of the status call that finds out, before a change, whether the host answers. */
  readonly probeTimeoutMs?: number
  /** Timeout of calls that change nothing. */
  readonly readTimeoutMs?: number
  /** Timeout of a change; longer than a host needs to find out what became of a write whose response was lost. */
  readonly changeTimeoutMs?: number
}

export type OperatorClient = Client<typeof OperatorService>

/** A change that was accepted, and the version that it produced. */
export interface AcceptedChange {
  readonly version: number
  readonly hash: string
  readonly writeId: string
}

/** Codes of failures after which another host may succeed; with these the call has certainly changed nothing. */
const otherHostMayAccept = new Set([
  'platform_unavailable',
  'coordinator_unreachable',
  'home_unknown',
  'not_coordinator',
])

const reasonOf = (error: unknown): string =>
  error instanceof ConnectError ? error.rawMessage : error instanceof Error ? error.message : String(error)

export class HostConnections {
  readonly #options: Required<HostConnectionsOptions>

  constructor({
    probeTimeoutMs = 3000,
    readTimeoutMs = 10_000,
    changeTimeoutMs = 20_000,
    ...options
  }: HostConnectionsOptions) {
    this.#options = { probeTimeoutMs, readTimeoutMs, changeTimeoutMs, ...options }
  }

  /** Makes a call that is safe to repeat: tries each host in turn until one answers. */
  async read<T>(
    step: string,
    call: (client: OperatorClient, options: { timeoutMs: number }) => Promise<T>,
  ): Promise<T> {
    const { addresses, readTimeoutMs } = this.#options
    return this.#tryEachHost(step, addresses, (client) => call(client, { timeoutMs: readTimeoutMs }))
  }

  /**
   * Makes a change at most once. Each host is first asked for its status, so a host that cannot be reached is skipped
   * before the change is sent to it. When the change was sent and its outcome is not known, it is looked up by its
   * write id and never sent again.
   */
  async change(
    step: string,
    call: (
      client: OperatorClient,
      writeId: string,
      options: { timeoutMs: number },
    ) => Promise<{ version: number; hash: string }>,
  ): Promise<AcceptedChange> {
    const { addresses, probeTimeoutMs, changeTimeoutMs } = this.#options
    const writeId = randomUUID()
    return this.#tryEachHost(step, addresses, async (client, address) => {
      await client.status({}, { timeoutMs: probeTimeoutMs })
      try {
        const { version, hash } = await call(client, writeId, { timeoutMs: changeTimeoutMs })
        return { version, hash, writeId }
      } catch (error) {
        const code = operatorFailureOf(error)?.code
        if (code !== undefined && code !== 'outcome_unknown') throw error
        this.#options.note(`${step} (${address}): the outcome is not known: ${reasonOf(error)}`)
        return await this.#lookUp(step, writeId, address, error)
      }
    })
  }

  /** Looks up a change whose outcome is not known by its write id, at the other hosts first. */
  async #lookUp(step: string, writeId: string, address: string, cause: unknown): Promise<AcceptedChange> {
    const { addresses, readTimeoutMs, note } = this.#options
    const others = [...addresses.filter((other) => other !== address), address]
    let lookUpResult = 'no host could look it up'
    try {
      const { versions, currentVersion } = await this.#tryEachHost('history', others, (client) =>
        client.history({ writeId }, { timeoutMs: readTimeoutMs }),
      )
      const found = versions[0]
      if (found !== undefined) {
        note(`the change was found as version ${String(found.version)}`)
        return { version: found.version, hash: found.hash, writeId }
      }
      lookUpResult = `no version up to ${String(currentVersion)} has its write id yet`
    } catch (error) {
      note(reasonOf(error))
    }
    throw new CliFailure(
      `${step} (host ${address}): the change may have taken effect; ${lookUpResult}; write id ${writeId}`,
      {
        exitCode: ExitCode.outcomeUnknown,
        code: 'outcome_unknown',
        remedy: `look it up with: pimentotally history --write-id ${writeId}`,
        cause,
      },
    )
  }

  async #tryEachHost<T>(
    step: string,
    addresses: readonly string[],
    call: (client: OperatorClient, address: string) => Promise<T>,
  ): Promise<T> {
    let reported: CliFailure | undefined
    for (const address of addresses) {
      const { client, close } = openClient(OperatorService, {
        address,
        credential: this.#options.credential,
      })
      try {
        return await call(client, address)
      } catch (error) {
        if (error instanceof CliFailure) throw error
        const failure = operatorFailureOf(error)
        if (failure !== undefined && error instanceof ConnectError) {
          reported = reportedFailure(error, failure, address)
          if (!otherHostMayAccept.has(failure.code)) throw reported
        }
        this.#options.note(`${step} (${address}): ${reasonOf(error)}`)
      } finally {
        close()
      }
    }
    throw (
      reported ??
      new CliFailure(`${step}: no host answered at ${addresses.join(', ')}`, {
        exitCode: ExitCode.unreachable,
        code: 'unreachable',
        remedy: "check the addresses of the operators' listeners, or give more with --address",
      })
    )
  }
}
