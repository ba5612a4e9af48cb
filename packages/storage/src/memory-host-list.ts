/** In-memory host list whose changes become visible after a configurable lag. */
import { Result } from 'true-myth'
import { SystemClock } from '@pimentotally/core'
import { NoFaults, performWithFault, type MemoryServiceOptions } from './fault.js'
import { HostList, type HostListEntry } from './host-list.js'
import type { PlatformResult } from './result.js'
import type { CallOptions } from './table.js'

export interface MemoryHostListOptions extends MemoryServiceOptions {
  readonly hosts?: readonly HostListEntry[]
  /** Time from a change until `list` shows it. */
  readonly lagMs?: number
}

export class MemoryHostList extends HostList {
  readonly #options: Required<MemoryServiceOptions>
  #visible: readonly HostListEntry[]
  #pending: { readonly atMs: number; readonly hosts: readonly HostListEntry[] }[] = []
  #newest: readonly HostListEntry[]
  /** Lag of the changes made from now on; pending changes keep the lag with which they were made. */
  lagMs: number

  constructor(options: MemoryHostListOptions = {}) {
    super()
    const { clock = new SystemClock(), faults = new NoFaults(), timeoutMs = 1000 } = options
    this.#options = { clock, faults, timeoutMs }
    this.#visible = this.#newest = options.hosts ?? []
    this.lagMs = options.lagMs ?? 0
  }

  /** Adds the entry, or replaces the one with the same name and kind. */
  set(host: HostListEntry): void {
    this.replace([...this.#newest.filter((other) => !sameHost(other, host)), host])
  }

  remove(host: Pick<HostListEntry, 'name' | 'kind'>): void {
    this.replace(this.#newest.filter((other) => !sameHost(other, host)))
  }

  replace(hosts: readonly HostListEntry[]): void {
    this.#newest = hosts
    this.#pending.push({ atMs: this.#options.clock.monotonicMs() + this.lagMs, hosts })
  }

  override list(options: CallOptions = {}): Promise<PlatformResult<readonly HostListEntry[]>> {
    return performWithFault<readonly HostListEntry[]>({
      ...this.#options,
      ...options,
      call: { step: 'hosts.list', kind: 'read', keys: [] },
      perform: () => {
        const nowMs = this.#options.clock.monotonicMs()
        while (this.#pending[0] !== undefined && this.#pending[0].atMs <= nowMs) {
          this.#visible = this.#pending.shift()?.hosts ?? this.#visible
        }
        return Result.ok(this.#visible)
      },
    })
  }
}

const sameHost = (
  a: Pick<HostListEntry, 'name' | 'kind'>,
  b: Pick<HostListEntry, 'name' | 'kind'>,
): boolean => a.name === b.name && a.kind === b.kind
